"""Leases through consensus: one holder at a time, also over failover and suspended processes."""

import random
from collections.abc import Callable
from typing import Any

import pytest

from merlinstand.common import constants
from merlinstand.control import leases
from merlinstand.control.commands import LeaseGranted
from merlinstand.session import lease_keeper
from merlinstand.session.lease_keeper import LeaseKeeper
from merlinstand.session.notices import LeaseGained, LeaseLost, LeaseUnavailable
from tests.control.group import Group

RESOURCE = "job/a"
HOLDERS = ("coordinator-1", "coordinator-2", "coordinator-3")


def _request_lease(group: Group, node_id: str, resource: str = RESOURCE) -> None:
    session = group.daemon(node_id).session
    group.network.perform(node_id, session.request_lease(resource, group.network.now))


def _holders(group: Group) -> list[tuple[str, int]]:
    """Return the daemons that may act for the resource now, suspended ones included."""
    held = []
    for name in HOLDERS:
        process = group.network.processes[name]
        if process.reducer is None:
            continue
        lease = process.reducer.session.lease(RESOURCE, group.network.now)
        if lease is not None:
            held.append((name, lease.epoch))
    return held


def _start_group(seed: int, **network: Any) -> Group:
    group = Group(seed=seed, **network)
    group.wait_for_leader()
    for name in HOLDERS:
        group.add_daemon(name)
        group.settle_daemon(name)
    return group


def _play_holders(seed: int) -> None:
    """Partition, suspend and kill holders and leaders; there are never two holders at once."""
    generator = random.Random(seed)
    group = _start_group(seed, loss=0.02, duplication=0.05)
    for name in HOLDERS:
        _request_lease(group, name)
    epoch = 0
    owner = ""
    for _ in range(12):
        _inject_fault(group, generator)
        for _ in range(generator.randint(10, 110)):
            group.network.run_for(0.1)
            held = _holders(group)
            assert len(held) <= 1, f"two holders: {held}"
            if held and held[0] != (owner, epoch):
                assert held[0][1] > epoch, "epoch did not increase"
                owner, epoch = held[0]
        _remove_faults(group)
    assert group.network.run_until(lambda: len(_holders(group)) == 1, 30.0), (
        "the lease has no holder"
    )


def _inject_fault(group: Group, generator: random.Random) -> None:
    names = [*HOLDERS, *(member.node_id for member in group.members)]
    name = generator.choice([*names, group.leader or names[0]])
    action = generator.randrange(3)
    if action == 0:
        group.network.isolate(name)
    elif action == 1:
        group.network.processes[name].frozen = True
    else:
        group.network.kill(name)
        group.network.start(name)
        if name in HOLDERS:
            _request_lease(group, name)


def _remove_faults(group: Group) -> None:
    group.network.heal()
    for process in group.network.processes.values():
        process.frozen = False


@pytest.mark.parametrize("seed", range(6))
def test_lease_never_has_two_holders(seed: int) -> None:
    _play_holders(seed)


def _always_usable(self: LeaseKeeper, duration_seconds: float) -> float:
    return duration_seconds * 3


def _never_held(_lease: leases.Lease, _group_time: float) -> bool:
    return False


@pytest.mark.parametrize(
    ("owner", "name", "replacement"),
    [(LeaseKeeper, "_usable_seconds", _always_usable), (leases, "_is_held", _never_held)],
)
def test_holder_model_detects_mutants(
    owner: Any, name: str, replacement: Callable[..., Any], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(owner, name, replacement)
    with pytest.raises(AssertionError):
        for seed in range(8):
            _play_holders(seed)


def test_holder_keeps_its_lease_and_epoch_while_it_renews() -> None:
    group = _start_group(21)
    _request_lease(group, "coordinator-1")
    group.network.run_for(1.0)
    held = _holders(group)
    assert len(held) == 1
    for _ in range(60):
        group.network.run_for(0.5)
        assert _holders(group) == held


def test_lease_survives_the_loss_of_the_leader() -> None:
    group = _start_group(22)
    _request_lease(group, "coordinator-1")
    group.network.run_for(1.0)
    held = _holders(group)
    group.network.isolate(group.leader)
    for _ in range(100):
        group.network.run_for(0.1)
        assert _holders(group) == held


def test_released_lease_is_granted_to_the_next_holder_soon() -> None:
    group = _start_group(23)
    for name in HOLDERS[:2]:
        _request_lease(group, name)
    group.network.run_for(3.0)
    ((holder, epoch),) = _holders(group)
    session = group.daemon(holder).session
    group.network.perform(holder, session.stop(group.network.now))
    assert _holders(group) == []
    other = next(name for name in HOLDERS[:2] if name != holder)
    assert group.network.run_until(lambda: bool(_holders(group)), 1.5)
    assert _holders(group)[0][0] == other
    assert _holders(group)[0][1] > epoch
    refused = group.daemon(other).of(LeaseUnavailable)
    assert refused[0].holder == holder


def test_restarted_daemon_is_a_different_holder() -> None:
    group = _start_group(24)
    _request_lease(group, "coordinator-1")
    group.network.run_for(1.0)
    ((_, epoch),) = _holders(group)
    group.network.kill("coordinator-1")
    group.network.start("coordinator-1")
    _request_lease(group, "coordinator-1")
    group.network.run_for(constants.RESOURCE_LEASE_SECONDS / 2)
    assert _holders(group) == []
    assert group.network.run_until(lambda: bool(_holders(group)), 10.0)
    assert _holders(group)[0][1] > epoch


def test_isolated_holder_reports_the_expiry() -> None:
    group = _start_group(25)
    _request_lease(group, "coordinator-1")
    group.network.run_for(1.0)
    group.network.isolate("coordinator-1")
    group.network.run_for(constants.RESOURCE_LEASE_SECONDS)
    lost = group.daemon("coordinator-1").of(LeaseLost)
    assert [notice.reason for notice in lost] == ["expired"]
    assert len(group.daemon("coordinator-1").of(LeaseGained)) == 1


def test_all_leases_of_a_daemon_share_one_renewal() -> None:
    group = _start_group(26)
    for number in range(40):
        _request_lease(group, "coordinator-1", f"job/{number}")
    group.network.run_for(2.0)
    group.network.message_counts.clear()
    group.network.run_for(20.0)
    # One renewal every two seconds, independent of the number of leases.
    assert group.network.message_counts["CommandRequest"] <= 11
    session = group.daemon("coordinator-1").session
    assert all(session.lease(f"job/{n}", group.network.now) for n in range(40))


def test_holder_counts_the_duration_from_the_send_time() -> None:
    keeper = LeaseKeeper("c", 1, 6.0, random.Random(1))
    keeper.request("job/a", 10.0)
    (acquisition,), _ = keeper.due_commands(10.0)
    granted = LeaseGranted(resource="job/a", epoch=5, duration_seconds=6.0)
    keeper.handle_outcome(acquisition.command_id, granted, 13.0)
    held = keeper.lease("job/a", 13.0)
    assert held is not None
    assert held.expires_at == 10.0 + 6.0 * (1 - 2 * constants.MAXIMUM_CLOCK_DRIFT)
    assert keeper.lease("job/a", held.expires_at) is None


def test_grant_received_after_its_expiry_is_not_used() -> None:
    keeper = LeaseKeeper("c", 1, 6.0, random.Random(1))
    keeper.request("job/a", 10.0)
    (acquisition,), _ = keeper.due_commands(10.0)
    granted = LeaseGranted(resource="job/a", epoch=5, duration_seconds=6.0)
    assert keeper.handle_outcome(acquisition.command_id, granted, 17.0) == []
    assert keeper.lease("job/a", 17.0) is None
    assert len(keeper.due_commands(17.0)[0]) == 1


def test_lease_granted_after_its_release_is_released_again() -> None:
    keeper = LeaseKeeper("c", 1, 6.0, random.Random(1))
    keeper.request("job/a", 10.0)
    keeper.due_commands(10.0)
    assert keeper.release("job/a") == []
    granted = LeaseGranted(resource="job/a", epoch=5, duration_seconds=6.0)
    (release,) = keeper.release_unrequested(granted)
    assert isinstance(release.command, lease_keeper.ReleaseLease)
    assert release.command.epoch == 5
