"""The control leader batches reports into few log entries, loses none and permits one trial."""

import pytest

from merlinstand.common.ids import BackendId, ContentDigest, NodeId
from merlinstand.directory.commands import DirectoryCommand
from merlinstand.directory.state_machine import DirectoryState
from merlinstand.kernel.effects import Effect, LogEvent, SetTimer
from merlinstand.quarantine.commands import AllowTrials, BeginTrial, EndTrial, RecordCrashes
from merlinstand.quarantine.leader import BATCH_SECONDS, BATCH_TIMER, QuarantineLeader
from merlinstand.quarantine.messages import BackendCrash, SuspectReport, encode_suspect_report
from merlinstand.quarantine.rules import (
    QUARANTINE_SECONDS,
    TRIAL_DELAY_SECONDS,
    TRIAL_TIMEOUT_SECONDS,
)

CULPRIT, BYSTANDER = ContentDigest("g"), ContentDigest("i")


class LeaderCase:
    """A leader whose proposals are committed at once, or can't be made."""

    def __init__(self) -> None:
        self.state = DirectoryState()
        self.commands: list[DirectoryCommand] = []
        self.can_propose = True
        self.leader = QuarantineLeader(self.state.suspects, self._propose)

    def _propose(self, command: DirectoryCommand, now: float) -> list[Effect] | None:
        if not self.can_propose:
            return None
        self.commands.append(command)
        self.state.apply(len(self.commands), command, now)
        return []

    def report(
        self, now: float, *crashes: BackendCrash, **more: tuple[ContentDigest, ...]
    ) -> int | None:
        """Report from a daemon; return the acknowledged sequence number."""
        report = SuspectReport("d/1", 7, crashes, **more)
        return self.handle(now, report).acknowledged

    def handle(self, now: float, report: SuspectReport):  # type: ignore[no-untyped-def]
        return self.leader.handle_report(NodeId("d"), encode_suspect_report(report), now, now)


def crash_of(number: int, *contents: ContentDigest) -> BackendCrash:
    return BackendCrash(BackendId(f"b{number}"), contents)


def test_first_report_is_proposed_at_once_and_acknowledged_when_repeated() -> None:
    case = LeaderCase()
    assert case.report(1.0, crash_of(1, CULPRIT)) is None
    assert case.commands == [RecordCrashes((crash_of(1, CULPRIT),), ())]
    assert case.report(1.3, crash_of(1, CULPRIT)) == 7
    assert len(case.commands) == 1


def test_reports_within_the_batch_interval_are_proposed_together() -> None:
    case = LeaderCase()
    case.report(1.0, crash_of(1, CULPRIT))
    answer = case.handle(1.01, SuspectReport("d/1", 8, (crash_of(2, CULPRIT),)))
    [timer] = [effect for effect in answer.effects if isinstance(effect, SetTimer)]
    assert timer == SetTimer(BATCH_TIMER, pytest.approx(BATCH_SECONDS - 0.01))
    case.report(1.02, crash_of(2, BYSTANDER), served=(CULPRIT,))
    case.report(1.03, crash_of(3, BYSTANDER))
    assert len(case.commands) == 1
    case.leader.propose_pending(1.05)
    assert case.commands[1:] == [
        RecordCrashes((crash_of(2, CULPRIT, BYSTANDER), crash_of(3, BYSTANDER)), (CULPRIT,))
    ]
    assert case.leader.propose_pending(1.06) == []


def test_report_that_could_not_be_proposed_is_proposed_when_repeated() -> None:
    case = LeaderCase()
    case.can_propose = False
    assert case.report(1.0, crash_of(1, CULPRIT)) is None
    case.can_propose = True
    case.leader.begin()
    assert case.report(1.1, crash_of(1, CULPRIT)) is None
    assert len(case.commands) == 1


def test_served_request_that_is_no_suspect_changes_nothing() -> None:
    case = LeaderCase()
    assert case.report(1.0, served=(BYSTANDER,)) == 7
    assert case.commands == []


def test_one_trial_is_permitted_at_a_time() -> None:
    case = LeaderCase()
    for number in range(3):
        case.report(1.0 + number, crash_of(number, CULPRIT, BYSTANDER))
    requested = (CULPRIT, BYSTANDER)
    case.report(3.5, trial_requests=requested)
    assert not any(isinstance(command, BeginTrial) for command in case.commands)
    later = 3.0 + TRIAL_DELAY_SECONDS
    case.report(later, trial_requests=requested)
    case.report(later + 0.1, trial_requests=requested)
    assert case.commands[3:] == [BeginTrial(CULPRIT, "d/1")]


def test_expired_quarantine_and_trial_are_ended() -> None:
    case = LeaderCase()
    for number in range(3):
        case.report(1.0 + number, crash_of(number, CULPRIT))
    assert case.leader.tick(4.0, 4.0) == []
    over = 3.1 + QUARANTINE_SECONDS
    case.leader.tick(over, over)
    case.report(over, trial_requests=(CULPRIT,))
    case.leader.tick(over + 1.0, over + 1.0)
    case.leader.tick(over + TRIAL_TIMEOUT_SECONDS + 0.1, over + TRIAL_TIMEOUT_SECONDS + 0.1)
    assert case.commands[3:] == [
        AllowTrials((CULPRIT,)),
        BeginTrial(CULPRIT, "d/1"),
        EndTrial(1),
    ]


def test_malformed_report_is_logged() -> None:
    answer = LeaderCase().leader.handle_report(NodeId("d"), b"\xc1", 1.0, 1.0)
    [log] = answer.effects
    assert isinstance(log, LogEvent)
    assert (log.name, log.severity) == ("suspects.malformed", "warning")
    assert answer.acknowledged is None
