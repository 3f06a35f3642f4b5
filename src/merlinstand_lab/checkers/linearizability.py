"""Linearizability of operators' commands on compare-and-set registers.

Every configuration key is a register whose value is its revision. The search is that of
Wing and Gong: find an order of the commands that respects real time and explains every
outcome. Histories of one key are small (operators are few), and equal search states are
visited once.
"""

import math
from collections import Counter, defaultdict

import msgspec

from merlinstand_lab.checkers.report import PromiseResult, Violation
from merlinstand_lab.records.kinds import OperatorRecord
from merlinstand_lab.records.record_set import RecordSet

_ABSENT = 0
"""Value of a key that does not exist."""
_MAXIMUM_STATES = 200_000
"""Search states after which a history counts as not decided."""


class RegisterCommand(msgspec.Struct, frozen=True, kw_only=True):
    """One command on one key."""

    command_id: str
    deletes: bool
    expected_revision: int | None
    sent_at: float
    ended_at: float
    """Infinity if no answer came."""
    outcome: str
    """`done`, `refused` or `unknown`."""
    revision: int


class _Unknown(msgspec.Struct, frozen=True):
    """A register's value after a command whose revision nobody learnt."""

    command_id: str


_Value = int | _Unknown


def check_commands(records: RecordSet) -> PromiseResult:
    """Check resends, revisions and linearizability of all keys."""
    operators = records.operators
    violations = _resend_violations(operators) + _revision_violations(operators)
    for key, history in _histories(operators).items():
        if not is_linearizable(history):
            names = ", ".join(command.command_id for command in history)
            violations.append(Violation(key, f"no order explains the commands {names}"))
    return PromiseResult(
        name="commands-linearizable",
        promise="Operators' commands act one after the other; a resend acts once.",
        checked=len({record.command_id for record in operators}),
        unit="commands",
        violations=violations,
    )


def is_linearizable(history: list[RegisterCommand]) -> bool:
    """Whether some order in real time explains every outcome of one key's commands.

    A search that grows beyond its bound counts as a failure: undecided is not a pass.
    """
    commands = {command.command_id: command for command in history}
    seen: set[tuple[frozenset[str], _Value]] = set()
    stack: list[tuple[frozenset[str], _Value]] = [(frozenset(commands), _ABSENT)]
    while stack:
        remaining, value = stack.pop()
        if all(commands[name].outcome == "unknown" for name in remaining):
            return True
        if (remaining, value) in seen:
            continue
        seen.add((remaining, value))
        if len(seen) > _MAXIMUM_STATES:
            return False
        first_end = min(commands[name].ended_at for name in remaining)
        for name in remaining:
            command = commands[name]
            if command.sent_at > first_end:
                continue
            for following in _values_after(command, value):
                stack.append((remaining - {name}, following))
    return False


def _values_after(command: RegisterCommand, value: _Value) -> list[_Value]:
    """Possible values after a command takes effect now; empty if its outcome forbids that."""
    may_match, may_differ = _precondition(command, value)
    match command.outcome:
        case "done":
            if not may_match:
                return []
            return [_ABSENT if command.deletes else command.revision]
        case "refused":
            return [value] if may_differ else []
        case _:
            after: list[_Value] = [value]
            if may_match:
                after.append(_ABSENT if command.deletes else _Unknown(command.command_id))
            return after


def _precondition(command: RegisterCommand, value: _Value) -> tuple[bool, bool]:
    """Whether a command's expectation may hold, and whether it may fail."""
    expected = command.expected_revision
    if expected is None:
        holds = not (command.deletes and value == _ABSENT)
        return holds, not holds
    if isinstance(value, _Unknown):
        # Some revision above 0 that nobody saw in an answer.
        return expected != _ABSENT, True
    holds = expected == value and not (command.deletes and value == _ABSENT)
    return holds, not holds


def _histories(operators: list[OperatorRecord]) -> dict[str, list[RegisterCommand]]:
    """One history for each key; resends of a command are one command."""
    grouped: dict[tuple[str, str], list[OperatorRecord]] = defaultdict(list)
    for record in operators:
        if record.command.get("command") in ("put_object", "delete_object"):
            grouped[(str(record.command["key"]), record.command_id)].append(record)
    histories: dict[str, list[RegisterCommand]] = defaultdict(list)
    for (key, _), sendings in grouped.items():
        command = _as_register_command(sendings)
        if command is not None:
            histories[key].append(command)
    return histories


def _as_register_command(sendings: list[OperatorRecord]) -> RegisterCommand | None:
    """Merge the sendings of one command; None if it was refused for another reason."""
    answered = [one for one in sendings if one.ended_at is not None]
    told = min(answered, key=lambda one: one.ended_at or math.inf) if answered else sendings[0]
    if told.outcome == "refused" and told.code not in ("conflict", "not_found"):
        return None
    expected = told.command.get("expected_revision")
    return RegisterCommand(
        command_id=told.command_id,
        deletes=told.command["command"] == "delete_object",
        expected_revision=None if expected is None else int(str(expected)),
        sent_at=min(one.sent_at for one in sendings),
        ended_at=math.inf if told.ended_at is None else told.ended_at,
        outcome=told.outcome if answered else "unknown",
        revision=told.revision,
    )


def _resend_violations(operators: list[OperatorRecord]) -> list[Violation]:
    """Sendings of one command that were answered differently."""
    answers: dict[str, set[tuple[str, int]]] = defaultdict(set)
    for record in operators:
        if record.ended_at is not None:
            answers[record.command_id].add((record.outcome, record.revision))
    return [
        Violation(command_id, f"a resend was answered differently: {sorted(given)}")
        for command_id, given in answers.items()
        if len(given) > 1
    ]


def _revision_violations(operators: list[OperatorRecord]) -> list[Violation]:
    """Revisions of done commands that repeat, or run against real time."""
    done = _changes(operators)
    violations = [
        Violation(f"revision {revision}", f"given to {count} commands")
        for revision, count in Counter(one.revision for one in done).items()
        if count > 1
    ]
    highest_before = 0
    ended = sorted(done, key=lambda one: one.ended_at or 0.0)
    index = 0
    for record in sorted(done, key=lambda one: one.sent_at):
        while index < len(ended) and (ended[index].ended_at or 0.0) < record.sent_at:
            highest_before = max(highest_before, ended[index].revision)
            index += 1
        if record.revision < highest_before:
            detail = f"revision {record.revision} came after {highest_before} had been answered"
            violations.append(Violation(record.command_id, detail))
    return violations


def _changes(operators: list[OperatorRecord]) -> list[OperatorRecord]:
    """Done commands, each once, less those that found their object as they wanted it.

    Such a command is answered with the revision of the one that made the object so.
    """
    changes: dict[tuple[int, str, bytes] | str, OperatorRecord] = {}
    seen: set[str] = set()
    for record in sorted(operators, key=lambda one: one.sent_at):
        if record.outcome != "done" or record.ended_at is None or record.command_id in seen:
            continue
        seen.add(record.command_id)
        if record.command.get("command") == "put_object":
            content = msgspec.json.encode(record.command.get("object"))
            made = (record.revision, str(record.command["key"]), content)
            changes.setdefault(made, record)
        else:
            changes[record.command_id] = record
    return list(changes.values())
