"""Messages and snapshots are compatible with the previous build in both directions.

The types below are those of that build where they differ: it has no unanswered attempts,
announcements and start times, and ignores unknown fields.
"""

import msgspec
import pytest

from merlinstand.common.ids import BackendId, ContentDigest
from merlinstand.directory.heartbeat_intake import (
    HeartbeatBatch,
    decode_heartbeats,
    encode_heartbeats,
)
from merlinstand.quarantine.blame import SuspectStatus
from merlinstand.quarantine.commands import RecordCrashes
from merlinstand.quarantine.messages import (
    BackendCrash,
    SuspectReport,
    SuspectsView,
    Suspicion,
    Trial,
    UnansweredAttempts,
)
from merlinstand.quarantine.replica import (
    ReplicatedSuspects,
    StoredCrash,
    StoredSuspects,
    StoredTrial,
)

BACKEND, CONTENT = BackendId("s"), ContentDigest("c")
CRASHES = (BackendCrash(BACKEND, (CONTENT,)),)
TRIES = (UnansweredAttempts(BACKEND, (CONTENT,)),)


class OldReport(msgspec.Struct, frozen=True, array_like=True):
    asker: str
    sequence: int
    crashes: tuple[BackendCrash, ...] = ()
    served: tuple[ContentDigest, ...] = ()
    trial_requests: tuple[ContentDigest, ...] = ()


class OldView(msgspec.Struct, frozen=True):
    suspicions: dict[ContentDigest, Suspicion] = {}
    trial: Trial | None = None


class OldNoteCrashes(msgspec.Struct, frozen=True, tag="note_ends"):
    crashes: tuple[BackendCrash, ...] = msgspec.field(name="ends")
    served: tuple[ContentDigest, ...]


class OldBatch(msgspec.Struct, frozen=True):
    heard: tuple[BackendId, ...]
    changed: tuple[str, ...]


class OldStored(msgspec.Struct, frozen=True):
    crashes: dict[BackendId, StoredCrash] = msgspec.field(default_factory=dict, name="ends")
    passed_over: tuple[BackendId, ...] = ()
    allowed: tuple[ContentDigest, ...] = ()
    trial: StoredTrial | None = None
    trials: int = 0
    revision: int = 0


SUSPICIONS = {CONTENT: Suspicion(SuspectStatus.SUSPECT, (BACKEND,))}
STORED = {BACKEND: StoredCrash(1.0, {CONTENT: True})}
PAIRS = [
    pytest.param(
        SuspectReport("d", 3, CRASHES, (CONTENT,), (CONTENT,), TRIES, TRIES),
        OldReport("d", 3, CRASHES, (CONTENT,), (CONTENT,)),
        id="report",
    ),
    pytest.param(
        SuspectsView(SUSPICIONS, Trial(1, CONTENT, "d"), {"shop": 4}),
        OldView(SUSPICIONS, Trial(1, CONTENT, "d")),
        id="view",
    ),
    pytest.param(SuspectsView(), OldView(), id="empty view"),
    pytest.param(
        RecordCrashes(CRASHES, (CONTENT,), TRIES, ("shop",)),
        OldNoteCrashes(CRASHES, (CONTENT,)),
        id="command",
    ),
    pytest.param(
        HeartbeatBatch((BACKEND,), (), {BACKEND: 17}), OldBatch((BACKEND,), ()), id="heartbeats"
    ),
    pytest.param(
        StoredSuspects(
            STORED, (BACKEND,), (CONTENT,), None, 2, 9, {BACKEND: {CONTENT: 1.0}}, {"x": 1}
        ),
        OldStored(STORED, (BACKEND,), (CONTENT,), None, 2, 9),
        id="snapshot",
    ),
]


@pytest.mark.parametrize(("new", "old"), PAIRS)
def test_each_build_decodes_messages_of_the_other(new: msgspec.Struct, old: msgspec.Struct) -> None:
    sent = msgspec.msgpack.encode(new)
    assert msgspec.msgpack.decode(sent, type=type(old)) == old
    read = msgspec.msgpack.decode(msgspec.msgpack.encode(old), type=type(new))
    assert msgspec.msgpack.decode(msgspec.msgpack.encode(read), type=type(old)) == old


def test_heartbeat_batch_of_the_previous_build_has_no_start_times() -> None:
    data = msgspec.msgpack.encode(OldBatch((BACKEND,), ()))
    assert decode_heartbeats(data) == HeartbeatBatch((BACKEND,), ())
    assert encode_heartbeats(HeartbeatBatch((BACKEND,), ())) == data


def test_replicas_of_both_builds_apply_crashes_identically() -> None:
    """Only this build stores attempts; the effect of crashes is the same."""
    commands = [
        RecordCrashes((), (), TRIES),
        RecordCrashes(CRASHES, (), (), ("shop",)),
        RecordCrashes((BackendCrash(BackendId("t"), (CONTENT,)),), ()),
    ]
    ours, theirs = ReplicatedSuspects(), ReplicatedSuspects()
    for index, command in enumerate(commands, 1):
        ours.apply(command, index, float(index))
        theirs.apply(RecordCrashes(command.crashes, command.served), index, float(index))
    assert ours.statuses == theirs.statuses
    assert ours.stored().crashes == theirs.stored().crashes
    assert ours.view().suspicions == theirs.view().suspicions
