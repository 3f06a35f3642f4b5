"""Requests that crash the servers which run them are quarantined.

Guards against a request that crashes one server after another because its crashes are counted per
attempt or gateway only. Crashes are counted by request digest, across request ids, attempts,
gateways and server restarts.
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
    complete_steps,
    crash_arrivals,
    lookup_success_rate,
    records,
    violations,
)
from tests.users_platform.servers import CRASH_BODY_PREFIX, RegisteredServer
from tests.users_platform.world import LOOKUPS_TENANT, TRAINERS_TENANT, ZONES, SimulatedDeployment

RUN_DURATION_SECONDS = 40.0
SENDS = tuple(8.0 + 0.7 * number for number in range(40))
"""Send times of a caller that repeats its request over the whole run."""


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize(
    ("sends", "crashing_ids"),
    [
        pytest.param(SENDS, (), id="repeated lookup"),
        pytest.param(SENDS, ("score-t0-0-1-1",), id="lookup and scoring call"),
        pytest.param((), ("score-t0-0-1-1",), id="scoring call"),
    ],
)
def test_crashing_request_is_quarantined(
    seed: int, sends: tuple[float, ...], crashing_ids: tuple[str, ...]
) -> None:
    deployment = SimulatedDeployment(seed, crashing_ids=crashing_ids)
    deployment.add_repeating_caller(sends)
    deployment.simulation.run_until(RUN_DURATION_SECONDS)
    assert len(crash_arrivals(deployment)) == bool(sends) + len(crashing_ids)
    assert violations(deployment) == []


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("deadline_ms", [20, 40])
def test_crashes_after_the_caller_left_are_counted(seed: int, deadline_ms: int) -> None:
    """The attempts have ended before the crash, which is noticed only on a later connection."""
    deployment = SimulatedDeployment(seed)
    deployment.add_repeating_caller(SENDS, deadline_ms=deadline_ms)
    deployment.simulation.run_until(RUN_DURATION_SECONDS)
    assert len(crash_arrivals(deployment)) == 1
    assert violations(deployment) == []


def test_lookups_concurrent_with_a_crashing_request_succeed() -> None:
    """Two servers crash; the last is spared until they are back, then one of three crashes."""
    deployment = SimulatedDeployment(1)
    deployment.add_repeating_caller(SENDS)
    deployment.simulation.run_until(RUN_DURATION_SECONDS)
    [arrivals] = crash_arrivals(deployment).values()
    assert len({arrival.server for _time, arrival in arrivals}) == 3
    assert lookup_success_rate(deployment) == 1.0
    assert complete_steps(deployment) == 5


def kill_gateways(deployment: SimulatedDeployment) -> None:
    """Kill all gateways in sequence, repeatedly; restarted ones have no local state."""
    for round_number in range(8):
        for number, ip in enumerate(deployment.gateways):
            deployment.kill(ip, 8.3 + 3.0 * round_number + number, 0.3)


def add_gateways(deployment: SimulatedDeployment) -> None:
    """Add gateways, which then receive the request too."""
    for number, zone in enumerate(ZONES, 1):
        ip = f"10.{number}.2.10"
        deployment.gateway_addresses.append(f"{ip}:8161")
        deployment.add_daemon("edge", ip, zone, start_at=16.0 + number)


def partition_gateways(deployment: SimulatedDeployment) -> None:
    """Partition each gateway in turn from the control daemons for 2 s."""
    for round_number in range(3):
        for number, ip in enumerate(deployment.gateways):
            sides = (frozenset([ip]), frozenset(deployment.controls))
            at = 7.9 + 9.0 * round_number + 3.0 * number
            for pair in (sides, sides[::-1]):
                deployment.at(at, deployment.simulation.network.cut, *pair)
                deployment.at(at + 2.0, deployment.simulation.network.heal, *pair)


def kill_leading_control(deployment: SimulatedDeployment) -> None:
    """Kill the control leader while servers crash, and its successors later."""
    for at in (8.06, 11.52, 15.0, 20.0):

        def fault(back_at: float = at + 1.5) -> None:
            leader = deployment.leading_control()
            deployment.process(leader).kill(power_loss=True)
            deployment.at(
                back_at, lambda: deployment.simulation.start_if_down(deployment.process(leader))
            )

        deployment.at(at, fault)


def cut_power_of_all_machines(deployment: SimulatedDeployment) -> None:
    """Cut the power of all machines at once, including the control daemons that count crashes."""
    for ip in (*deployment.controls, *deployment.keepers, *deployment.gateways):
        deployment.kill(ip, 14.0, 0.8, power_loss=True)


def kill_leading_keeper(deployment: SimulatedDeployment) -> None:
    """Kill the leading keeper, so that another one runs and scores the items."""
    for at in (6.2, 9.4, 13.0):

        def fault(back_at: float = at + 1.5) -> None:
            leader = deployment.leading_keeper()
            deployment.process(leader).kill()
            deployment.at(
                back_at, lambda: deployment.simulation.start_if_down(deployment.process(leader))
            )

        deployment.at(at, fault)


def freeze_daemons(deployment: SimulatedDeployment) -> None:
    """Freeze a gateway, a keeper and a control daemon in turn."""
    for number, ip in enumerate(
        (deployment.gateways[0], deployment.keepers[0], deployment.controls[0])
    ):
        for round_number in range(3):
            at = 8.04 + 5.0 * round_number + number
            deployment.at(at, deployment.process(ip).freeze)
            deployment.at(at + 1.5, deployment.process(ip).thaw)


FAULTS = [
    kill_gateways,
    add_gateways,
    partition_gateways,
    kill_leading_control,
    cut_power_of_all_machines,
    kill_leading_keeper,
    freeze_daemons,
]


@pytest.mark.parametrize("seed", range(2))
@pytest.mark.parametrize("fault", FAULTS)
def test_crash_counts_survive_faults(
    fault: Callable[[SimulatedDeployment], None], seed: int
) -> None:
    deployment = SimulatedDeployment(seed, crashing_ids=("score-t0-0-1-1", "score-t0-1-0-0"))
    deployment.add_repeating_caller(SENDS)
    fault(deployment)
    deployment.simulation.run_until(RUN_DURATION_SECONDS)
    assert len(crash_arrivals(deployment)) == 3
    assert violations(deployment) == []


CONCURRENT_REQUESTS = 8


def concurrent_crashes(deployment: SimulatedDeployment) -> Counter[str]:
    """Count how often each other request is blamed for a recorded crash."""
    leader = deployment.process(deployment.leading_control()).reducer
    assert isinstance(leader, DirectoryDaemon)
    crashing_digest = compute_digest("", HOST, "POST", "/lookup/repeated", CRASH_BODY_PREFIX)
    crashes = leader.state.suspects.crashes.values()
    return Counter(
        content for crash in crashes for content in crash.blamed if content != crashing_digest
    )


@pytest.mark.parametrize("seed", range(3))
def test_requests_concurrent_with_a_crashing_one_succeed(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Eight other requests run with the crashing one and take longer than it needs to crash.

    They fail with it repeatedly. They are cleared because they succeed on servers without it, and
    because it crashes servers without them.
    """
    monkeypatch.setattr(RegisteredServer, "work_seconds", 0.07)
    deployment = SimulatedDeployment(seed)
    deployment.add_repeating_caller(SENDS)
    for number in range(CONCURRENT_REQUESTS):
        name = f"beside-{number}"
        deployment.add_repeating_caller(SENDS, name, body=name.encode())
    deployment.simulation.run_until(RUN_DURATION_SECONDS)
    assert violations(deployment) == []
    assert len(crash_arrivals(deployment)) == 1
    assert max(concurrent_crashes(deployment).values()) >= 1
    for number in range(CONCURRENT_REQUESTS):
        responses = records(deployment, f"repeated-beside-{number}")
        assert len(responses) == len(SENDS)
        # At first: three crashes, a quarantine and a trial. From then on every request succeeds.
        assert [response.status for response in responses[15:]] == [200] * (len(SENDS) - 15)
    leader = deployment.process(deployment.leading_control()).reducer
    assert isinstance(leader, DirectoryDaemon)
    statuses = leader.state.suspects.statuses
    assert list(statuses.values()) == [SuspectStatus.QUARANTINED]


@pytest.mark.parametrize("seed", range(2))
def test_suspect_that_never_crashed_a_server_alone_is_retried_once(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Other requests run once with it and leave at the crash, so that nothing clears them.

    Its quarantine is short, as another request may have caused the crashes. Guards against control
    daemons that crash, again after each restart, at the end of the quarantine.
    """
    monkeypatch.setattr(RegisteredServer, "work_seconds", 0.07)
    deployment = SimulatedDeployment(seed)
    sends = tuple(8.0 + 0.7 * number for number in range(60))
    deployment.add_repeating_caller(sends)
    for place, at in enumerate(sends[:8]):
        for number in range(CONCURRENT_REQUESTS):
            name = f"once-{place}-{number}"
            deployment.add_repeating_caller((at,), name, body=name.encode(), deadline_ms=60)
    deployment.simulation.run_until(55.0)
    assert violations(deployment) == []
    [arrivals] = crash_arrivals(deployment).values()
    assert len(arrivals) == 4
    assert lookup_success_rate(deployment) > 0.95


def test_equal_request_of_another_tenant_succeeds(monkeypatch: pytest.MonkeyPatch) -> None:
    """The tenant is part of a request's digest: only one tenant's request crashes servers here."""
    monkeypatch.setattr(RegisteredServer, "crashing_tenant", LOOKUPS_TENANT)
    deployment = SimulatedDeployment(2, has_tenants=True)
    deployment.add_repeating_caller(SENDS)
    deployment.add_repeating_caller(SENDS, "equal", tenant=TRAINERS_TENANT)
    deployment.simulation.run_until(RUN_DURATION_SECONDS)
    assert violations(deployment) == []
    [content] = crash_arrivals(deployment)
    assert content[1] == LOOKUPS_TENANT
    assert [response.status for response in records(deployment, "repeated-crash")[15:]] == [
        503
    ] * 25
    assert [response.status for response in records(deployment, "repeated-equal")] == [200] * len(
        SENDS
    )


def inject_crashes(deployment: SimulatedDeployment, *bodies: bytes) -> None:
    """Commit three crashes to the control group, each with all the given requests as suspects."""
    process = deployment.process(deployment.leading_control())
    control = process.reducer
    assert isinstance(control, DirectoryDaemon)
    contents = tuple(compute_digest("", HOST, "POST", "/lookup/repeated", body) for body in bodies)
    crashes = tuple(BackendCrash(BackendId(f"gone-{number}"), contents) for number in range(3))
    now = process.local_clock.now()
    process._perform(control._try_to_propose(RecordCrashes(crashes, ()), now) or [])


@pytest.mark.parametrize("seed", range(5))
def test_suspects_are_tried_alone_and_harmless_ones_succeed(seed: int) -> None:
    """Three requests are suspected of the same three crashes, of which one is the cause."""
    deployment = SimulatedDeployment(seed)
    harmless = (b"beside-0", b"beside-1")
    deployment.at(10.0, inject_crashes, deployment, CRASH_BODY_PREFIX, *harmless)
    sends = tuple(10.1 + 0.2 * number for number in range(100))
    deployment.add_repeating_caller(sends)
    for number, body in enumerate(harmless):
        deployment.add_repeating_caller(sends, f"beside-{number}", body=body)
    deployment.simulation.run_until(RUN_DURATION_SECONDS)
    assert violations(deployment) == []
    crashing_sends = [
        arrival for arrivals in crash_arrivals(deployment).values() for arrival in arrivals
    ]
    assert len(crashing_sends) <= 1
    for number in range(2):
        responses = records(deployment, f"repeated-beside-{number}")
        # Rejected during the quarantine, then tried within two seconds.
        assert [response.status for response in responses[:10]] == [503] * 10
        assert [response.status for response in responses[30:]] == [200] * 70
    refused = records(deployment, "repeated-crash")
    assert {response.status for response in refused} <= {502, 503}


def test_gateway_killed_during_a_trial_delays_others_only_briefly() -> None:
    deployment = SimulatedDeployment(3)
    deployment.at(10.0, inject_crashes, deployment, CRASH_BODY_PREFIX, b"beside")
    sends = tuple(10.1 + 0.2 * number for number in range(100))
    deployment.add_repeating_caller(sends, "beside", body=b"beside")

    def kill_trial_gateway() -> None:
        leader = deployment.process(deployment.leading_control()).reducer
        assert isinstance(leader, DirectoryDaemon)
        trial = leader.state.suspects.trial
        if trial is None:
            deployment.at(deployment.simulation.clock.now + 0.001, kill_trial_gateway)
            return
        trial_gateway = trial.trial.run_id.partition("/")[0]
        deployment.process(trial_gateway).kill()
        deployment.at(
            deployment.simulation.clock.now + 1.0, deployment.process(trial_gateway).start
        )

    deployment.at(12.0, kill_trial_gateway)
    deployment.simulation.run_until(RUN_DURATION_SECONDS)
    responses = records(deployment, "repeated-beside")
    assert violations(deployment) == []
    assert [response.status for response in responses[55:]] == [200] * 45
