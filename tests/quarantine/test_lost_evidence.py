"""How the control leader joins what daemons told before a crash, also those that died since."""

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

SERVER, SUCCESSOR = BackendId("s"), BackendId("s2")
GUILTY, INNOCENT = ContentDigest("g"), ContentDigest("i")
TOLD = (UnansweredAttempts(SERVER, (GUILTY,)),)
GONE = (BackendCrash(SERVER, ()),)


class Leader:
    """A leader whose proposals are committed at once."""

    def __init__(self) -> None:
        self.state = DirectoryState()
        self.commands: list[RecordCrashes] = []
        self.heard_at: float | None = None
        self.services = {SERVER: "shop"}
        self.silences: list[float] = []
        servers = BackendLiveness(self._heard_seconds, lambda server: self.services.get(server, ""))
        senders = LostSenders(lambda _now: self.silences)
        self.leader = QuarantineLeader(self.state.suspects, self._propose, servers, senders)

    def _heard_seconds(self, _server: BackendId, now: float) -> float | None:
        return None if self.heard_at is None else now - self.heard_at

    def _propose(self, command: DirectoryCommand, now: float) -> list[Effect]:
        assert isinstance(command, RecordCrashes)
        self.commands.append(command)
        self.state.apply(len(self.commands), command, now)
        return []

    def hear(self, now: float, run: str = "d/1", **report: tuple[object, ...]) -> list[Effect]:
        data = encode_suspect_report(SuspectReport(run, 7, **report))  # type: ignore[arg-type]
        effects = list(self.leader.handle_report(NodeId("d"), data, now, now).effects)
        return effects + self.leader.propose_pending(now)

    @property
    def standings(self) -> dict[ContentDigest, SuspectStatus]:
        return self.state.suspects.statuses


def test_a_dead_gateways_tries_count_when_another_finds_the_server_gone() -> None:
    leader = Leader()
    leader.hear(1.0, unanswered=TOLD)
    assert leader.standings == {}
    leader.hear(1.5, "other/1", crashes=GONE)
    assert leader.standings == {GUILTY: SuspectStatus.SUSPECT}


def test_they_count_when_the_successor_registers() -> None:
    leader = Leader()
    leader.hear(1.0, unanswered=TOLD)
    leader.leader.record_replacement(SERVER, 4.0, 4.0)
    assert leader.standings == {GUILTY: SuspectStatus.SUSPECT}


def test_they_count_when_the_server_starts_again_under_its_id() -> None:
    leader = Leader()
    leader.leader.record_start(SERVER, 100, 0.5, 0.5)
    leader.hear(1.0, unanswered=TOLD)
    leader.leader.record_start(SERVER, 200, 4.0, 4.0)
    assert leader.commands[-1].crashes == (BackendCrash(incarnation_id(SERVER, 100), (GUILTY,)),)
    leader.hear(5.0, unanswered=TOLD)
    leader.leader.record_start(SERVER, 300, 8.0, 8.0)
    assert leader.standings == {GUILTY: SuspectStatus.REPEAT_SUSPECT}


def test_a_new_leader_knows_them() -> None:
    leader = Leader()
    leader.hear(1.0, unanswered=TOLD)
    leader.leader.begin()
    leader.leader.record_replacement(SERVER, 4.0, 4.0)
    assert leader.standings == {GUILTY: SuspectStatus.SUSPECT}


@pytest.mark.parametrize(
    ("heard_at", "ends_at"),
    [
        pytest.param(1.0 + OUTLIVED_SECONDS, 4.0, id="a heartbeat came after it"),
        pytest.param(None, 1.1 + UNANSWERED_RETENTION_SECONDS, id="long ago"),
    ],
)
def test_what_a_server_has_outlived_is_held_against_nobody(
    heard_at: float | None, ends_at: float
) -> None:
    leader = Leader()
    leader.hear(1.0, unanswered=TOLD)
    leader.heard_at = heard_at
    leader.leader.record_replacement(SERVER, ends_at, ends_at)
    assert leader.standings == {}


def test_a_server_that_left_has_not_crashed() -> None:
    leader = Leader()
    leader.hear(1.0, unanswered=TOLD)
    leader.services.clear()
    leader.leader.record_replacement(SERVER, 4.0, 4.0)
    assert leader.standings == {}


def test_who_finds_a_server_gone_later_adds_nothing_that_was_told_long_before() -> None:
    """A request that was given up 1.7 s before a server crashed under another one's trial."""
    leader = Leader()
    leader.hear(1.0, unanswered=(UnansweredAttempts(SERVER, (INNOCENT,)),))
    leader.heard_at = 2.5
    leader.hear(2.7, crashes=(BackendCrash(SERVER, (GUILTY,)),))
    leader.hear(4.4, "other/1", crashes=(BackendCrash(SERVER, (INNOCENT,)),))
    assert leader.standings == {GUILTY: SuspectStatus.SUSPECT}


def test_a_late_heartbeat_does_not_undo_what_its_sender_has_just_told() -> None:
    """The server sent it before it crashed, and a cut held it back."""
    leader = Leader()
    leader.hear(1.0, unanswered=TOLD)
    leader.heard_at = 2.1
    leader.hear(1.9, crashes=(BackendCrash(SERVER, (GUILTY,)),))
    assert leader.standings == {GUILTY: SuspectStatus.SUSPECT}


def test_tries_alone_change_nothing_that_daemons_are_sent() -> None:
    leader = Leader()
    leader.hear(1.0, unanswered=TOLD)
    assert leader.state.suspects.revision == 0
    assert leader.hear(1.2, unanswered=TOLD) == [], "it is held"


def test_an_entry_of_the_log_holds_so_many_tries_and_the_rest_comes_later() -> None:
    leader = Leader()
    many = tuple(ContentDigest(f"m{n}") for n in range(PENDING_ATTEMPTS_LIMIT + 3))
    for at in (1.0, 1.1):
        leader.hear(at, unanswered=(UnansweredAttempts(SERVER, many),))
    sizes = [len(group.contents) for c in leader.commands for group in c.unanswered]
    assert sizes == [PENDING_ATTEMPTS_LIMIT, 3]


@pytest.mark.parametrize("has_died", [False, True])
def test_daemons_announce_their_tries_if_one_may_have_died(has_died: bool) -> None:
    leader = Leader()
    leader.silences = [2.0] if has_died else [0.1]
    leader.hear(1.0, crashes=GONE)
    services = [service for c in leader.commands for service in c.announced_services]
    assert services == (["shop"] if has_died else [])
    assert set(leader.state.suspects.view().announced_services) == set(services)


def test_what_a_dead_daemon_had_announced_counts_once_the_others_have_reported() -> None:
    leader = Leader()
    leader.hear(1.0, "dead/1", in_flight=TOLD)
    leader.hear(1.0, "alive/1", in_flight=(UnansweredAttempts(SERVER, (INNOCENT,)),))
    effects = leader.hear(1.05, "other/1", crashes=GONE)
    [timer] = [e for e in effects if isinstance(e, SetTimer) and e.name == SETTLE_TIMER]
    assert timer.delay_seconds > ANNOUNCEMENT_SETTLE_SECONDS
    leader.hear(1.1, "alive/1")
    due = 1.05 + timer.delay_seconds
    [log] = [e for e in leader.leader.propose_lost_attempts(due, due) if isinstance(e, LogEvent)]
    assert log.name == "suspects.left"
    leader.leader.propose_pending(due)
    assert leader.standings == {GUILTY: SuspectStatus.SUSPECT}
