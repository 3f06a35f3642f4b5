"""The control leader combines attempts reported before a crash, also by daemons that died since."""

import pytest

from merlinstand.common.ids import BackendId, ContentDigest, NodeId
from merlinstand.directory.commands import DirectoryCommand
from merlinstand.directory.state_machine import DirectoryState
from merlinstand.kernel.effects import Effect, LogEvent, SetTimer
from merlinstand.quarantine.blame import SuspectStatus
from merlinstand.quarantine.commands import RecordCrashes
from merlinstand.quarantine.incarnations import incarnation_id
from merlinstand.quarantine.leader import (
    PENDING_ATTEMPTS_LIMIT,
    SETTLE_TIMER,
    BackendLiveness,
    QuarantineLeader,
)
from merlinstand.quarantine.lost_senders import LostSenders
from merlinstand.quarantine.messages import (
    BackendCrash,
    SuspectReport,
    UnansweredAttempts,
    encode_suspect_report,
)
from merlinstand.quarantine.rules import (
    ANNOUNCEMENT_SETTLE_SECONDS,
    OUTLIVED_SECONDS,
    UNANSWERED_RETENTION_SECONDS,
)

BACKEND, SUCCESSOR = BackendId("s"), BackendId("s2")
CULPRIT, BYSTANDER = ContentDigest("g"), ContentDigest("i")
REPORTED = (UnansweredAttempts(BACKEND, (CULPRIT,)),)
CRASHED = (BackendCrash(BACKEND, ()),)


class LeaderCase:
    """A leader whose proposals are committed at once."""

    def __init__(self) -> None:
        self.state = DirectoryState()
        self.commands: list[RecordCrashes] = []
        self.heartbeat_at: float | None = None
        self.services = {BACKEND: "shop"}
        self.silences: list[float] = []
        liveness = BackendLiveness(
            self._heartbeat_age_seconds, lambda backend_id: self.services.get(backend_id, "")
        )
        senders = LostSenders(lambda _now: self.silences)
        self.leader = QuarantineLeader(self.state.suspects, self._propose, liveness, senders)

    def _heartbeat_age_seconds(self, _backend_id: BackendId, now: float) -> float | None:
        return None if self.heartbeat_at is None else now - self.heartbeat_at

    def _propose(self, command: DirectoryCommand, now: float) -> list[Effect]:
        assert isinstance(command, RecordCrashes)
        self.commands.append(command)
        self.state.apply(len(self.commands), command, now)
        return []

    def receive(self, now: float, run: str = "d/1", **report: tuple[object, ...]) -> list[Effect]:
        data = encode_suspect_report(SuspectReport(run, 7, **report))  # type: ignore[arg-type]
        effects = list(self.leader.handle_report(NodeId("d"), data, now, now).effects)
        return effects + self.leader.propose_pending(now)

    @property
    def statuses(self) -> dict[ContentDigest, SuspectStatus]:
        return self.state.suspects.statuses


def test_attempts_of_a_dead_gateway_count_when_another_finds_the_backend_gone() -> None:
    case = LeaderCase()
    case.receive(1.0, unanswered=REPORTED)
    assert case.statuses == {}
    case.receive(1.5, "other/1", crashes=CRASHED)
    assert case.statuses == {CULPRIT: SuspectStatus.SUSPECT}


def test_attempts_of_a_dead_gateway_count_when_the_successor_registers() -> None:
    case = LeaderCase()
    case.receive(1.0, unanswered=REPORTED)
    case.leader.record_replacement(BACKEND, 4.0, 4.0)
    assert case.statuses == {CULPRIT: SuspectStatus.SUSPECT}


def test_attempts_of_a_dead_gateway_count_when_the_backend_restarts_under_its_id() -> None:
    case = LeaderCase()
    case.leader.record_start(BACKEND, 100, 0.5, 0.5)
    case.receive(1.0, unanswered=REPORTED)
    case.leader.record_start(BACKEND, 200, 4.0, 4.0)
    assert case.commands[-1].crashes == (BackendCrash(incarnation_id(BACKEND, 100), (CULPRIT,)),)
    case.receive(5.0, unanswered=REPORTED)
    case.leader.record_start(BACKEND, 300, 8.0, 8.0)
    assert case.statuses == {CULPRIT: SuspectStatus.REPEAT_SUSPECT}


def test_attempts_of_a_dead_gateway_count_after_a_leader_change() -> None:
    case = LeaderCase()
    case.receive(1.0, unanswered=REPORTED)
    case.leader.begin()
    case.leader.record_replacement(BACKEND, 4.0, 4.0)
    assert case.statuses == {CULPRIT: SuspectStatus.SUSPECT}


@pytest.mark.parametrize(
    ("heartbeat_at", "ends_at"),
    [
        pytest.param(1.0 + OUTLIVED_SECONDS, 4.0, id="heartbeat after the attempt"),
        pytest.param(None, 1.1 + UNANSWERED_RETENTION_SECONDS, id="attempt too old"),
    ],
)
def test_outlived_attempts_are_not_suspected(heartbeat_at: float | None, ends_at: float) -> None:
    case = LeaderCase()
    case.receive(1.0, unanswered=REPORTED)
    case.heartbeat_at = heartbeat_at
    case.leader.record_replacement(BACKEND, ends_at, ends_at)
    assert case.statuses == {}


def test_backend_that_left_has_not_crashed() -> None:
    case = LeaderCase()
    case.receive(1.0, unanswered=REPORTED)
    case.services.clear()
    case.leader.record_replacement(BACKEND, 4.0, 4.0)
    assert case.statuses == {}


def test_later_report_of_a_crash_does_not_add_old_attempts() -> None:
    """A request abandoned 1.7 s before a backend crashed under the trial of another request."""
    case = LeaderCase()
    case.receive(1.0, unanswered=(UnansweredAttempts(BACKEND, (BYSTANDER,)),))
    case.heartbeat_at = 2.5
    case.receive(2.7, crashes=(BackendCrash(BACKEND, (CULPRIT,)),))
    case.receive(4.4, "other/1", crashes=(BackendCrash(BACKEND, (BYSTANDER,)),))
    assert case.statuses == {CULPRIT: SuspectStatus.SUSPECT}


def test_delayed_heartbeat_does_not_clear_a_reported_attempt() -> None:
    """The backend sent the heartbeat before it crashed, and a network partition delayed it."""
    case = LeaderCase()
    case.receive(1.0, unanswered=REPORTED)
    case.heartbeat_at = 2.1
    case.receive(1.9, crashes=(BackendCrash(BACKEND, (CULPRIT,)),))
    assert case.statuses == {CULPRIT: SuspectStatus.SUSPECT}


def test_attempts_alone_do_not_change_the_view() -> None:
    case = LeaderCase()
    case.receive(1.0, unanswered=REPORTED)
    assert case.state.suspects.revision == 0
    assert case.receive(1.2, unanswered=REPORTED) == [], "already stored"


def test_attempts_in_one_log_entry_are_bounded_and_the_rest_follows() -> None:
    case = LeaderCase()
    many = tuple(ContentDigest(f"m{n}") for n in range(PENDING_ATTEMPTS_LIMIT + 3))
    for at in (1.0, 1.1):
        case.receive(at, unanswered=(UnansweredAttempts(BACKEND, many),))
    sizes = [len(group.contents) for c in case.commands for group in c.unanswered]
    assert sizes == [PENDING_ATTEMPTS_LIMIT, 3]


@pytest.mark.parametrize("has_died", [False, True])
def test_daemons_announce_attempts_if_one_may_have_died(has_died: bool) -> None:
    case = LeaderCase()
    case.silences = [2.0] if has_died else [0.1]
    case.receive(1.0, crashes=CRASHED)
    services = [service for c in case.commands for service in c.announced_services]
    assert services == (["shop"] if has_died else [])
    assert set(case.state.suspects.view().announced_services) == set(services)


def test_announced_attempts_of_a_dead_daemon_count_once_live_daemons_reported() -> None:
    case = LeaderCase()
    case.receive(1.0, "dead/1", in_flight=REPORTED)
    case.receive(1.0, "alive/1", in_flight=(UnansweredAttempts(BACKEND, (BYSTANDER,)),))
    effects = case.receive(1.05, "other/1", crashes=CRASHED)
    [timer] = [e for e in effects if isinstance(e, SetTimer) and e.name == SETTLE_TIMER]
    assert timer.delay_seconds > ANNOUNCEMENT_SETTLE_SECONDS
    case.receive(1.1, "alive/1")
    due = 1.05 + timer.delay_seconds
    [log] = [e for e in case.leader.propose_lost_attempts(due, due) if isinstance(e, LogEvent)]
    assert log.name == "suspects.attempts_lost"
    case.leader.propose_pending(due)
    assert case.statuses == {CULPRIT: SuspectStatus.SUSPECT}
