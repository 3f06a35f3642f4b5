"""The permission to found a group stands on the disk until the group is founded."""

import pytest

from merlinstand.common.ids import NodeId
from merlinstand.consensus.first_start import (
    FIRST_START_TOKEN,
    has_first_start_record,
    is_first_start_synced,
    persist_first_start,
)
from merlinstand.consensus.records import FirstStart, HardState, encode_record
from merlinstand.kernel.effects import AppendRecords
from merlinstand.kernel.events import RecordsSynced, Started

VOTE = encode_record(HardState(3, None))
PERMISSION = encode_record(FirstStart())


def started(*records: bytes, snapshot: bytes | None = None) -> Started:
    return Started(NodeId("n"), 7, seed=1, snapshot=snapshot, records=records)


@pytest.mark.parametrize(
    ("event", "may_found", "is_written"),
    [
        (started(), True, True),
        (started(), False, False),
        (started(VOTE), True, False),
        (started(snapshot=b"s"), True, False),
    ],
    ids=["first start", "a later start, wiped", "has voted", "has a snapshot"],
)
def test_only_a_blank_disk_that_is_told_so_keeps_it(
    event: Started, may_found: bool, is_written: bool
) -> None:
    expected = [AppendRecords((PERMISSION,), FIRST_START_TOKEN)] if is_written else []
    assert persist_first_start(event, may_found) == expected


@pytest.mark.parametrize(
    ("records", "remembers"),
    [((PERMISSION,), True), ((PERMISSION, VOTE), True), ((VOTE,), False), ((), False)],
    ids=["kept", "and voted since", "another disk's vote", "wiped"],
)
def test_a_later_start_finds_it(records: tuple[bytes, ...], remembers: bool) -> None:
    assert has_first_start_record(started(*records)) == remembers


def test_nothing_waits_for_its_write() -> None:
    assert is_first_start_synced(RecordsSynced(FIRST_START_TOKEN))
    assert not is_first_start_synced(RecordsSynced(1))
