"""Periods in which a back end was leaving, as outsiders saw them."""

import math
from collections import defaultdict
from collections.abc import Sequence

import msgspec

from merlinstand_lab.records.kinds import OperatorRecord
from merlinstand_lab.records.record_set import RecordSet

_DRAIN_PREFIX = "drain/"
JOB_PREFIX = "job/"
_RUNNING = "running"
_MIRROR = "mirror"


class LeavingPeriod(msgspec.Struct, frozen=True, kw_only=True):
    """From the moment somebody could know that a back end leaves until it may be back."""

    backend_id: str
    signal: str
    """`operator`, `machine list` or `back end`."""
    since: float
    until: float
    incarnation: int | None = None
    """Process of the back end that said so, when it did so itself."""


class PausePeriod(msgspec.Struct, frozen=True, kw_only=True):
    """From the answer to the command that paused a job until the next one was sent."""

    job: str
    phase: str
    since: float
    until: float


def pause_periods(records: RecordSet) -> list[PausePeriod]:
    """Periods in which a job was paused, cancelled, or a mirror of the old scripts' work."""
    history: dict[str, list[OperatorRecord]] = defaultdict(list)
    for record in sorted(records.operators, key=lambda one: one.sent_at):
        key = str(record.command.get("key", ""))
        if key.startswith(JOB_PREFIX) and record.outcome != "refused":
            history[key.removeprefix(JOB_PREFIX)].append(record)
    periods = []
    for job, commands in history.items():
        for index, record in enumerate(commands):
            phase = _phase(record)
            if record.outcome != "done" or record.ended_at is None or phase == _RUNNING:
                continue
            others = commands[:index] + commands[index + 1 :]
            later = [one.sent_at for one in others if _may_follow(one, record)]
            periods.append(
                PausePeriod(
                    job=job,
                    phase=phase,
                    since=record.ended_at,
                    until=min(later, default=math.inf),
                )
            )
    return periods


def _may_follow(other: OperatorRecord, record: OperatorRecord) -> bool:
    """Whether another command may have taken effect after this one."""
    return other.ended_at is None or other.ended_at > record.sent_at


def _phase(record: OperatorRecord) -> str:
    """Phase of a job that a command asks for; a running mirror counts as one of its own."""
    value = record.command.get("object")
    if not isinstance(value, dict):
        return _RUNNING
    phase = str(value.get("phase", _RUNNING))
    return _MIRROR if phase == _RUNNING and value.get("mode") == _MIRROR else phase


def leaving_periods(records: RecordSet) -> list[LeavingPeriod]:
    """Return every leaving period of every back end."""
    return drain_periods(records) + _listed_periods(records) + _own_periods(records)


def drain_periods(records: RecordSet) -> list[LeavingPeriod]:
    """Periods between an accepted drain and the next attempt to take it back."""
    commands: dict[str, list[OperatorRecord]] = defaultdict(list)
    for record in records.operators:
        key = str(record.command.get("key", ""))
        if key.startswith(_DRAIN_PREFIX):
            commands[key.removeprefix(_DRAIN_PREFIX)].append(record)
    periods = []
    for backend_id, history in commands.items():
        for record in history:
            if not _is_accepted_drain(record):
                continue
            assert record.ended_at is not None
            since = record.ended_at
            periods.append(
                LeavingPeriod(
                    backend_id=backend_id,
                    signal="operator",
                    since=since,
                    until=_taken_back_at(history, record.sent_at),
                )
            )
    return periods


def _is_accepted_drain(record: OperatorRecord) -> bool:
    """Whether a command certainly drained a back end."""
    is_put = record.command.get("command") == "put_object"
    return is_put and record.outcome == "done" and record.ended_at is not None


def _taken_back_at(history: list[OperatorRecord], drained_at: float) -> float:
    """Earliest moment at which a drain may have ended: a delete was sent."""
    deletes = [
        record.sent_at
        for record in history
        if record.command.get("command") == "delete_object"
        and record.outcome != "refused"
        and (record.ended_at is None or record.ended_at > drained_at)
    ]
    return min(deletes, default=math.inf)


def _listed_periods(records: RecordSet) -> list[LeavingPeriod]:
    """Periods in which the platform's list showed a back end as leaving."""
    if records.run is None:
        return []
    names = {address: name for name, address in records.run.backend_addresses.items()}
    changes = [
        (names[record.address], record.state, record.visible_at, None)
        for record in records.machines
        if record.address in names
    ]
    return _periods_of_changes(changes, "machine list")


def _own_periods(records: RecordSet) -> list[LeavingPeriod]:
    """Periods in which a back end itself said it was leaving."""
    changes = [
        (record.backend_id, record.state, record.at, record.incarnation)
        for record in records.states
    ]
    return _periods_of_changes(changes, "back end")


def _periods_of_changes(
    changes: Sequence[tuple[str, str, float, int | None]], signal: str
) -> list[LeavingPeriod]:
    """Turn state changes into periods; the next change of the same back end ends one."""
    periods = []
    for index, (backend_id, state, at, incarnation) in enumerate(changes):
        if state != "leaving":
            continue
        later = [change[2] for change in changes[index + 1 :] if change[0] == backend_id]
        periods.append(
            LeavingPeriod(
                backend_id=backend_id,
                signal=signal,
                since=at,
                until=min(later, default=math.inf),
                incarnation=incarnation,
            )
        )
    return periods
