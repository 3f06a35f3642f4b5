"""The permission to bootstrap a group survives a restart on the disk."""

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
FIRST_START_RECORD = encode_record(FirstStart())


def started(*records: bytes, snapshot: bytes | None = None) -> Started:
    return Started(NodeId("n"), 7, seed=1, snapshot=snapshot, records=records)


@pytest.mark.parametrize(
    ("event", "may_bootstrap", "is_written"),
    [
        (started(), True, True),
        (started(), False, False),
        (started(VOTE), True, False),
        (started(snapshot=b"s"), True, False),
    ],
    ids=["first start", "later start, blank disk", "vote on disk", "snapshot on disk"],
)
def test_record_is_written_only_to_a_blank_disk_with_permission(
    event: Started, may_bootstrap: bool, is_written: bool
) -> None:
    expected = [AppendRecords((FIRST_START_RECORD,), FIRST_START_TOKEN)] if is_written else []
    assert persist_first_start(event, may_bootstrap) == expected


@pytest.mark.parametrize(
    ("records", "is_found"),
    [
        ((FIRST_START_RECORD,), True),
        ((FIRST_START_RECORD, VOTE), True),
        ((VOTE,), False),
        ((), False),
    ],
    ids=["record", "record and vote", "vote only", "blank disk"],
)
def test_record_is_found_by_a_later_start(records: tuple[bytes, ...], is_found: bool) -> None:
    assert has_first_start_record(started(*records)) == is_found


def test_sync_of_the_record_is_recognized() -> None:
    assert is_first_start_synced(RecordsSynced(FIRST_START_TOKEN))
    assert not is_first_start_synced(RecordsSynced(1))
