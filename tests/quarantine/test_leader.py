"""How the control leader takes reports of suspects in: few entries, nothing lost, one trial."""

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

GUILTY, INNOCENT = ContentDigest("g"), ContentDigest("i")


class Leader:
    """An intake whose proposals are committed at once, or not at all."""

    def __init__(self) -> None:
        self.state = DirectoryState()
        self.commands: list[DirectoryCommand] = []
        self.can_propose = True
        self.intake = QuarantineLeader(self.state.suspects, self._propose)

    def _propose(self, command: DirectoryCommand, now: float) -> list[Effect] | None:
        if not self.can_propose:
            return None
        self.commands.append(command)
        self.state.apply(len(self.commands), command, now)
        return []

    def hear(
        self, now: float, *crashes: BackendCrash, **more: tuple[ContentDigest, ...]
    ) -> int | None:
        """A daemon reports; gives the sequence number that is agreed."""
        report = SuspectReport("d/1", 7, crashes, **more)
        return self.answer(now, report).acknowledged

    def answer(self, now: float, report: SuspectReport):  # type: ignore[no-untyped-def]
        return self.intake.handle_report(NodeId("d"), encode_suspect_report(report), now, now)


def crash_of(number: int, *contents: ContentDigest) -> BackendCrash:
    return BackendCrash(BackendId(f"b{number}"), contents)


def test_a_first_report_is_agreed_at_once_and_acknowledged_when_sent_again() -> None:
    leader = Leader()
    assert leader.hear(1.0, crash_of(1, GUILTY)) is None
    assert leader.commands == [RecordCrashes((crash_of(1, GUILTY),), ())]
    assert leader.hear(1.3, crash_of(1, GUILTY)) == 7
    assert len(leader.commands) == 1


def test_reports_that_follow_soon_are_agreed_together() -> None:
    leader = Leader()
    leader.hear(1.0, crash_of(1, GUILTY))
    answer = leader.answer(1.01, SuspectReport("d/1", 8, (crash_of(2, GUILTY),)))
    [timer] = [effect for effect in answer.effects if isinstance(effect, SetTimer)]
    assert timer == SetTimer(BATCH_TIMER, pytest.approx(BATCH_SECONDS - 0.01))
    leader.hear(1.02, crash_of(2, INNOCENT), served=(GUILTY,))
    leader.hear(1.03, crash_of(3, INNOCENT))
    assert len(leader.commands) == 1
    leader.intake.propose_pending(1.05)
    assert leader.commands[1:] == [
        RecordCrashes((crash_of(2, GUILTY, INNOCENT), crash_of(3, INNOCENT)), (GUILTY,))
    ]
    assert leader.intake.propose_pending(1.06) == []


def test_a_report_that_could_not_be_agreed_is_taken_when_sent_again() -> None:
    leader = Leader()
    leader.can_propose = False
    assert leader.hear(1.0, crash_of(1, GUILTY)) is None
    leader.can_propose = True
    leader.intake.begin()
    assert leader.hear(1.1, crash_of(1, GUILTY)) is None
    assert len(leader.commands) == 1


def test_who_is_served_that_nothing_is_held_against_changes_nothing() -> None:
    leader = Leader()
    assert leader.hear(1.0, served=(INNOCENT,)) == 7
    assert leader.commands == []


def test_one_unproven_request_at_a_time_is_permitted_a_trial() -> None:
    leader = Leader()
    for number in range(3):
        leader.hear(1.0 + number, crash_of(number, GUILTY, INNOCENT))
    requested = (GUILTY, INNOCENT)
    leader.hear(3.5, trial_requests=requested)
    assert not any(isinstance(command, BeginTrial) for command in leader.commands)
    later = 3.0 + TRIAL_DELAY_SECONDS
    leader.hear(later, trial_requests=requested)
    leader.hear(later + 0.1, trial_requests=requested)
    assert leader.commands[3:] == [BeginTrial(GUILTY, "d/1")]


def test_what_has_had_its_time_is_ended() -> None:
    leader = Leader()
    for number in range(3):
        leader.hear(1.0 + number, crash_of(number, GUILTY))
    assert leader.intake.tick(4.0, 4.0) == []
    over = 3.1 + QUARANTINE_SECONDS
    leader.intake.tick(over, over)
    leader.hear(over, trial_requests=(GUILTY,))
    leader.intake.tick(over + 1.0, over + 1.0)
    leader.intake.tick(over + TRIAL_TIMEOUT_SECONDS + 0.1, over + TRIAL_TIMEOUT_SECONDS + 0.1)
    assert leader.commands[3:] == [
        AllowTrials((GUILTY,)),
        BeginTrial(GUILTY, "d/1"),
        EndTrial(1),
    ]


def test_a_report_that_can_not_be_read_is_logged() -> None:
    answer = Leader().intake.handle_report(NodeId("d"), b"\xc1", 1.0, 1.0)
    [log] = answer.effects
    assert isinstance(log, LogEvent)
    assert (log.name, log.severity) == ("suspects.malformed", "warning")
    assert answer.acknowledged is None
