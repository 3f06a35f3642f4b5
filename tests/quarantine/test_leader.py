"""How the control leader takes news of suspects in: few entries, nothing lost, leave for one."""

import pytest

from merlinstand.common.ids import BackendId, ContentDigest, NodeId
from merlinstand.directory.commands import DirectoryCommand
from merlinstand.directory.state_machine import DirectoryState
from merlinstand.kernel.effects import Effect, LogEvent, SetTimer
from merlinstand.quarantine.commands import AllowTrials, BeginTrial, EndTrial, NoteCrashes
from merlinstand.quarantine.leader import TOGETHER_SECONDS, TOGETHER_TIMER, QuarantineLeader
from merlinstand.quarantine.messages import ServerCrash, SuspectReport, encode_suspect_report
from merlinstand.quarantine.replica import QUARANTINE_SECONDS, TRIAL_PAUSE_SECONDS, TRIAL_SECONDS

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

    def hear(self, now: float, *ends: ServerCrash, **more: tuple[ContentDigest, ...]) -> int | None:
        """A daemon tells news; gives the mark that is agreed."""
        news = SuspectReport("d/1", 7, ends, **more)
        return self.answer(now, news).mark

    def answer(self, now: float, news: SuspectReport):  # type: ignore[no-untyped-def]
        return self.intake.answer(NodeId("d"), encode_suspect_report(news), now, now)


def end_of(number: int, *contents: ContentDigest) -> ServerCrash:
    return ServerCrash(BackendId(f"b{number}"), contents)


def test_first_news_are_agreed_at_once_and_acknowledged_when_told_again() -> None:
    leader = Leader()
    assert leader.hear(1.0, end_of(1, GUILTY)) is None
    assert leader.commands == [NoteCrashes((end_of(1, GUILTY),), ())]
    assert leader.hear(1.3, end_of(1, GUILTY)) == 7
    assert len(leader.commands) == 1


def test_news_that_follow_soon_are_agreed_together() -> None:
    leader = Leader()
    leader.hear(1.0, end_of(1, GUILTY))
    told = leader.answer(1.01, SuspectReport("d/1", 8, (end_of(2, GUILTY),)))
    [timer] = [effect for effect in told.effects if isinstance(effect, SetTimer)]
    assert timer == SetTimer(TOGETHER_TIMER, pytest.approx(TOGETHER_SECONDS - 0.01))
    leader.hear(1.02, end_of(2, INNOCENT), served=(GUILTY,))
    leader.hear(1.03, end_of(3, INNOCENT))
    assert len(leader.commands) == 1
    leader.intake.agree(1.05)
    assert leader.commands[1:] == [
        NoteCrashes((end_of(2, GUILTY, INNOCENT), end_of(3, INNOCENT)), (GUILTY,))
    ]
    assert leader.intake.agree(1.06) == []


def test_news_that_could_not_be_agreed_are_taken_when_told_again() -> None:
    leader = Leader()
    leader.can_propose = False
    assert leader.hear(1.0, end_of(1, GUILTY)) is None
    leader.can_propose = True
    leader.intake.begin()
    assert leader.hear(1.1, end_of(1, GUILTY)) is None
    assert len(leader.commands) == 1


def test_who_is_served_that_nothing_is_held_against_is_no_news() -> None:
    leader = Leader()
    assert leader.hear(1.0, served=(INNOCENT,)) == 7
    assert leader.commands == []


def test_one_doubtful_request_at_a_time_gets_leave() -> None:
    leader = Leader()
    for number in range(3):
        leader.hear(1.0 + number, end_of(number, GUILTY, INNOCENT))
    wishes = (GUILTY, INNOCENT)
    leader.hear(3.5, wishes=wishes)
    assert not any(isinstance(command, BeginTrial) for command in leader.commands)
    later = 3.0 + TRIAL_PAUSE_SECONDS
    leader.hear(later, wishes=wishes)
    leader.hear(later + 0.1, wishes=wishes)
    assert leader.commands[3:] == [BeginTrial(GUILTY, "d/1")]


def test_what_has_had_its_time_is_ended() -> None:
    leader = Leader()
    for number in range(3):
        leader.hear(1.0 + number, end_of(number, GUILTY))
    assert leader.intake.tick(4.0, 4.0) == []
    over = 3.1 + QUARANTINE_SECONDS
    leader.intake.tick(over, over)
    leader.hear(over, wishes=(GUILTY,))
    leader.intake.tick(over + 1.0, over + 1.0)
    leader.intake.tick(over + TRIAL_SECONDS + 0.1, over + TRIAL_SECONDS + 0.1)
    assert leader.commands[3:] == [
        AllowTrials((GUILTY,)),
        BeginTrial(GUILTY, "d/1"),
        EndTrial(1),
    ]


def test_news_that_can_not_be_read_are_told_in_the_log() -> None:
    told = Leader().intake.answer(NodeId("d"), b"\xc1", 1.0, 1.0)
    [log] = told.effects
    assert isinstance(log, LogEvent)
    assert (log.name, log.severity) == ("suspects.malformed", "warning")
    assert told.mark is None
