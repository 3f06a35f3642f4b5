"""Requests that end the servers which run them.

Seen: all three servers of a service ended within 0.3 s, were back after 3 s and ended again, nine
times in a row; every lookup in between was refused. How it came about: one caller's request ended
each server that began to run it, and came again with another id, at other gateways. Each gateway
judged each try by itself: two servers a try, then forgotten with the answer; and a server that is
back is a new one without a past. Cause: what a request did to servers was remembered for one try at
one gateway, though the harm adds up over tries, gateways and restarts. Proved by the digest of
what was asked, which is the same on all tries that saw a server end, and by this test.
"""

from collections import Counter
from collections.abc import Callable

import pytest

from merlinstand.common.ids import BackendId
from merlinstand.directory.daemon import DirectoryDaemon
from merlinstand.quarantine.blame import SuspectStatus
from merlinstand.quarantine.commands import RecordCrashes
from merlinstand.quarantine.messages import BackendCrash
from merlinstand.quarantine.request_digest import compute_digest
from tests.users_platform.callers import HOST
from tests.users_platform.checks import (
    answered_share,
    crash_arrivals,
    records,
    violations,
    whole_steps,
)
from tests.users_platform.servers import CRASH_MARK, RegisteredServer
from tests.users_platform.world import LOOKUPS_TENANT, TRAINERS_TENANT, ZONES, SimulatedDeployment

DAY_SECONDS = 40.0
SENDS = tuple(8.0 + 0.7 * number for number in range(40))
"""A caller that comes again all day long."""


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize(
    ("sends", "crashing"),
    [
        pytest.param(SENDS, (), id="a lookup that comes again"),
        pytest.param((), ("t0-0-1-1",), id="an item of a batch job"),
        pytest.param((), ("score-t0-0-1-1",), id="a scoring call"),
    ],
)
def test_a_request_that_ends_servers_is_sent_no_more(
    seed: int, sends: tuple[float, ...], crashing: tuple[str, ...]
) -> None:
    world = SimulatedDeployment(seed, crashing=crashing)
    world.add_repeating_caller(sends)
    world.simulation.run_until(DAY_SECONDS)
    assert len(crash_arrivals(world)) == 1
    assert violations(world) == []


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("deadline_ms", [20, 40])
def test_callers_that_leave_before_the_server_ends_hide_nothing(
    seed: int, deadline_ms: int
) -> None:
    """Their tries are over, and no connection breaks: that the server is gone shows later."""
    world = SimulatedDeployment(seed)
    world.add_repeating_caller(SENDS, deadline_ms=deadline_ms)
    world.simulation.run_until(DAY_SECONDS)
    assert len(crash_arrivals(world)) == 1
    assert violations(world) == []


def test_lookups_beside_such_a_request_are_all_served() -> None:
    """Two servers end; the last one is spared until they are back, and then one of three ends."""
    world = SimulatedDeployment(1)
    world.add_repeating_caller(SENDS)
    world.simulation.run_until(DAY_SECONDS)
    [arrivals] = crash_arrivals(world).values()
    assert len({arrival.server for _time, arrival in arrivals}) == 3
    assert answered_share(world) == 1.0
    assert whole_steps(world) == 5


def kill_gateways(world: SimulatedDeployment) -> None:
    """All of them, one after the other, again and again: each is new, and is asked."""
    for turn in range(8):
        for number, ip in enumerate(world.gateways):
            world.kill(ip, 8.3 + 3.0 * turn + number, 0.3)


def add_gateways(world: SimulatedDeployment) -> None:
    """New ones come, and the request comes to them."""
    for number, zone in enumerate(ZONES, 1):
        ip = f"10.{number}.2.10"
        world.gateway_addresses.append(f"{ip}:8161")
        world.add_daemon("edge", ip, zone, start_at=16.0 + number)


def cut_gateways_off(world: SimulatedDeployment) -> None:
    """Each gateway in turn is cut off from control, and is back."""
    for turn in range(3):
        for number, ip in enumerate(world.gateways):
            ends = (frozenset([ip]), frozenset(world.controls))
            at = 7.9 + 9.0 * turn + 3.0 * number
            for pair in (ends, ends[::-1]):
                world.at(at, world.simulation.network.cut, *pair)
                world.at(at + 2.0, world.simulation.network.heal, *pair)


def kill_leading_control(world: SimulatedDeployment) -> None:
    """The leader dies while servers end, and its successors later on."""
    for at in (8.06, 11.52, 15.0, 20.0):

        def strike(back_at: float = at + 1.5) -> None:
            leader = world.leading_control()
            world.process(leader).kill(power_loss=True)
            world.at(back_at, lambda: world.simulation.start_if_down(world.process(leader)))

        world.at(at, strike)


def kill_everything(world: SimulatedDeployment) -> None:
    """All machines lose power together, also those that count."""
    for ip in (*world.controls, *world.keepers, *world.gateways):
        world.kill(ip, 14.0, 0.8, power_loss=True)


def kill_leading_keeper(world: SimulatedDeployment) -> None:
    """Another keeper runs the items, and scores them."""
    for at in (6.2, 9.4, 13.0):

        def strike(back_at: float = at + 1.5) -> None:
            leader = world.leading_keeper()
            world.process(leader).kill()
            world.at(back_at, lambda: world.simulation.start_if_down(world.process(leader)))

        world.at(at, strike)


def freeze_daemons(world: SimulatedDeployment) -> None:
    """A gateway, the leading keeper and the control leader stand still in turn."""
    for number, ip in enumerate((world.gateways[0], world.keepers[0], world.controls[0])):
        for turn in range(3):
            at = 8.04 + 5.0 * turn + number
            world.at(at, world.process(ip).freeze)
            world.at(at + 1.5, world.process(ip).thaw)


FAULTS = [
    kill_gateways,
    add_gateways,
    cut_gateways_off,
    kill_leading_control,
    kill_everything,
    kill_leading_keeper,
    freeze_daemons,
]


@pytest.mark.parametrize("seed", range(2))
@pytest.mark.parametrize("strike", FAULTS)
def test_what_is_held_against_a_request_outlives_faults(
    strike: Callable[[SimulatedDeployment], None], seed: int
) -> None:
    world = SimulatedDeployment(seed, crashing=("t0-0-1-1", "score-t0-1-0-0"))
    world.add_repeating_caller(SENDS)
    strike(world)
    world.simulation.run_until(DAY_SECONDS)
    assert len(crash_arrivals(world)) == 3
    assert violations(world) == []


BESIDE = 8


def ends_beside(world: SimulatedDeployment) -> Counter[str]:
    """How often each other request was in flight at a server that ended."""
    leader = world.process(world.leading_control()).reducer
    assert isinstance(leader, DirectoryDaemon)
    guilty = compute_digest("", HOST, "POST", "/lookup/repeated", CRASH_MARK)
    ends = leader.state.suspects.crashes.values()
    return Counter(content for end in ends for content in end.blamed if content != guilty)


@pytest.mark.parametrize("seed", range(3))
def test_requests_that_ran_beside_a_crashing_one_are_served(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Eight others come whenever the guilty one does, and take longer than it needs for an end.

    They end with it, time and again. What tells them apart: they are served whole where it is not,
    and it is found at an end without them. Then nothing is held against them any more.
    """
    monkeypatch.setattr(RegisteredServer, "work_seconds", 0.07)
    world = SimulatedDeployment(seed)
    world.add_repeating_caller(SENDS)
    for number in range(BESIDE):
        name = f"beside-{number}"
        world.add_repeating_caller(SENDS, name, body=name.encode())
    world.simulation.run_until(DAY_SECONDS)
    assert violations(world) == []
    assert len(crash_arrivals(world)) == 1
    assert max(ends_beside(world).values()) >= 1
    for number in range(BESIDE):
        answers = records(world, f"repeated-beside-{number}")
        assert len(answers) == len(SENDS)
        # A first meeting takes three servers, a pause and a trial; then every one is answered.
        assert [answer.status for answer in answers[15:]] == [200] * (len(SENDS) - 15)
    leader = world.process(world.leading_control()).reducer
    assert isinstance(leader, DirectoryDaemon)
    held = leader.state.suspects.statuses
    assert list(held.values()) == [SuspectStatus.QUARANTINED]


@pytest.mark.parametrize("seed", range(2))
def test_a_request_that_was_never_alone_at_an_end_is_tried_once_more(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Others come once, whenever it does, and leave as its server ends: nobody clears them.

    Its quarantine is short, since it may only have run beside guilty ones. Seen: the control
    daemons ended, all of them and again after each restart, as it was over.
    """
    monkeypatch.setattr(RegisteredServer, "work_seconds", 0.07)
    world = SimulatedDeployment(seed)
    sends = tuple(8.0 + 0.7 * number for number in range(60))
    world.add_repeating_caller(sends)
    for place, at in enumerate(sends[:8]):
        for number in range(BESIDE):
            name = f"once-{place}-{number}"
            world.add_repeating_caller((at,), name, body=name.encode(), deadline_ms=60)
    world.simulation.run_until(55.0)
    assert violations(world) == []
    [arrivals] = crash_arrivals(world).values()
    assert len(arrivals) == 4
    assert answered_share(world) > 0.95


def test_another_tenants_equal_request_is_served(monkeypatch: pytest.MonkeyPatch) -> None:
    """Who asks is part of what is asked: here servers end under one tenant's request only."""
    monkeypatch.setattr(RegisteredServer, "crashing_tenant", LOOKUPS_TENANT)
    world = SimulatedDeployment(2, has_tenants=True)
    world.add_repeating_caller(SENDS)
    world.add_repeating_caller(SENDS, "equal", tenant=TRAINERS_TENANT)
    world.simulation.run_until(DAY_SECONDS)
    assert violations(world) == []
    [content] = crash_arrivals(world)
    assert content[1] == LOOKUPS_TENANT
    assert [answer.status for answer in records(world, "repeated-crash")[15:]] == [503] * 25
    assert [answer.status for answer in records(world, "repeated-equal")] == [200] * len(SENDS)


def plant_ends(world: SimulatedDeployment, *bodies: bytes) -> None:
    """Have the control group hold three ends against some requests, all of them each time."""
    process = world.process(world.leading_control())
    control = process.reducer
    assert isinstance(control, DirectoryDaemon)
    contents = tuple(compute_digest("", HOST, "POST", "/lookup/repeated", body) for body in bodies)
    ends = tuple(BackendCrash(BackendId(f"gone-{number}"), contents) for number in range(3))
    now = process.local_clock.now()
    process._perform(control._try_to_propose(RecordCrashes(ends, ()), now) or [])


@pytest.mark.parametrize("seed", range(5))
def test_who_is_in_doubt_is_tried_alone_and_the_innocent_ones_are_served(seed: int) -> None:
    """Three requests were there at the same three ends; one of them is guilty."""
    world = SimulatedDeployment(seed)
    innocent = (b"beside-0", b"beside-1")
    world.at(10.0, plant_ends, world, CRASH_MARK, *innocent)
    sends = tuple(10.1 + 0.2 * number for number in range(100))
    world.add_repeating_caller(sends)
    for number, body in enumerate(innocent):
        world.add_repeating_caller(sends, f"beside-{number}", body=body)
    world.simulation.run_until(DAY_SECONDS)
    assert violations(world) == []
    guilty_sends = [arrival for arrivals in crash_arrivals(world).values() for arrival in arrivals]
    assert len(guilty_sends) <= 1
    for number in range(2):
        answers = records(world, f"repeated-beside-{number}")
        # Refused while the pause lasts, then tried within a second or two.
        assert [answer.status for answer in answers[:10]] == [503] * 10
        assert [answer.status for answer in answers[30:]] == [200] * 70
    refused = records(world, "repeated-crash")
    assert {answer.status for answer in refused} <= {502, 503}


def test_a_gateway_that_dies_with_its_leave_holds_up_nobody_for_long() -> None:
    world = SimulatedDeployment(3)
    world.at(10.0, plant_ends, world, CRASH_MARK, b"beside")
    sends = tuple(10.1 + 0.2 * number for number in range(100))
    world.add_repeating_caller(sends, "beside", body=b"beside")

    def kill_asker() -> None:
        leader = world.process(world.leading_control()).reducer
        assert isinstance(leader, DirectoryDaemon)
        trial = leader.state.suspects.trial
        if trial is None:
            world.at(world.simulation.clock.now + 0.001, kill_asker)
            return
        asker = trial.trial.run_id.partition("/")[0]
        world.process(asker).kill()
        world.at(world.simulation.clock.now + 1.0, world.process(asker).start)

    world.at(12.0, kill_asker)
    world.simulation.run_until(DAY_SECONDS)
    answers = records(world, "repeated-beside")
    assert violations(world) == []
    assert [answer.status for answer in answers[55:]] == [200] * 45
