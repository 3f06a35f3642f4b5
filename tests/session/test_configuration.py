"""Configuration in effect: distributed to all daemons, never reverted, lease lost when stale."""

import random
from collections.abc import Sequence

import pytest

from merlinstand.common import constants
from merlinstand.common.ids import NodeId
from merlinstand.configuration.objects import encode_object
from merlinstand.configuration.table import ConfigurationTable
from merlinstand.kernel.effects import AppendRecords, Effect, SendMessage
from merlinstand.kernel.events import MessageReceived, RecordsSynced, Started
from merlinstand.protocol.generated.control.ttypes import ConfigurationPull
from merlinstand.session import configuration_follower
from merlinstand.session.control_session import ControlSession
from merlinstand.session.replica_choice import rank_members
from tests.control.group import Group, pool_object, put


def _put_pools(group: Group, names: list[str], start: int = 0) -> None:
    for number, name in enumerate(names, start=start):
        assert group.operator(f"put-{number}", put(f"pool/{name}", pool_object(name)))[0] == 200


def _assert_never_reverted(revisions: list[int]) -> None:
    assert revisions == sorted(revisions), "the configuration was reverted"


def _pool_names(group: Group, node_id: str) -> set[str]:
    return set(group.daemon(node_id).session.view.pools)


def test_changes_reach_every_daemon_within_two_seconds() -> None:
    group = Group(size=3, seed=3)
    names = [f"gateway-{number}" for number in range(12)]
    for name in names:
        group.add_daemon(name)
    for name in names:
        group.settle_daemon(name)
    _put_pools(group, ["a"])
    in_force = group.network.run_until(
        lambda: all(_pool_names(group, name) == {"a"} for name in names), 2.0
    )
    assert in_force


def _play_configuration_changes(seed: int) -> None:
    """Operators change and delete pools under message loss, duplicates, reordering and kills."""
    generator = random.Random(seed)
    group = Group(size=3, seed=seed, loss=0.1, duplication=0.1)
    group.wait_for_leader()
    group.network.latency_seconds = (0.0005, 0.15)
    group.add_daemon("gateway-1")
    before_restart = 0
    expected: set[str] = set()
    for round_number in range(6):
        name = f"p{generator.randrange(4)}"
        expected ^= {name}
        command = (
            put(f"pool/{name}", pool_object(name))
            if name in expected
            else {"command": "delete_object", "key": f"pool/{name}"}
        )
        group.operator(f"op-{round_number}", command)
        group.network.run_for(generator.uniform(0.0, 3.0))
        revisions = group.daemon("gateway-1").revisions
        _assert_never_reverted(revisions)
        in_force = [revision for revision in revisions if revision > 0]
        assert not in_force or in_force[0] >= before_restart, "reverted after a restart"
        if generator.random() < 0.5:
            before_restart = max([before_restart, *in_force])
            group.network.kill("gateway-1")
            group.network.start("gateway-1")
    current = group.network.run_until(lambda: _pool_names(group, "gateway-1") == expected, 20.0)
    assert current, "the configuration did not reach the daemon"


@pytest.mark.parametrize("seed", range(8))
def test_configuration_is_never_reverted_under_faults(seed: int) -> None:
    _play_configuration_changes(seed)


def _pull(effects: Sequence[Effect]) -> ConfigurationPull:
    return next(
        effect.message
        for effect in effects
        if isinstance(effect, SendMessage) and isinstance(effect.message, ConfigurationPull)
    )


class ScriptedSession:
    """A session that gets single messages from a test."""

    def __init__(self, records: tuple[bytes, ...] = ()) -> None:
        group = Group(size=3)
        template = group.add_daemon("gateway-1").session._settings
        self.session = ControlSession(template)
        self.replica = rank_members("gateway-1", template.members)[0]
        self.records: list[bytes] = list(records)
        step = self.session.start(Started(NodeId("gateway-1"), 1, 1, None, records), 0.0)
        self._sync(step.effects, 0.0)

    def update(self, table: ConfigurationTable, now: float, **fields: object) -> None:
        """Pull and answer from a table, then sync the disk."""
        effects = self.session.refresh(now)
        pull = _pull(effects)
        self._sync(self.receive(table, pull, now, **fields), now)

    def receive(
        self, table: ConfigurationTable, pull: ConfigurationPull, now: float, **fields: object
    ) -> tuple:
        """Reply to a pull from a table, without syncing the disk."""
        delta = table.delta_since(pull.have_revision)
        update = configuration_follower.configuration_update(pull, delta, 0.0)
        for name, value in fields.items():
            setattr(update, name, value)
        return self.session.reduce(MessageReceived(self.replica, update), now).effects

    def _sync(self, effects: tuple, now: float) -> None:
        for effect in effects:
            if isinstance(effect, AppendRecords):
                self.records.extend(effect.records)
                self.session.reduce(RecordsSynced(effect.token), now)


def _table(*keys: str) -> ConfigurationTable:
    table = ConfigurationTable()
    for revision, key in enumerate(keys, start=10):
        table.put(f"pool/{key}", encode_object(pool_object(key)), revision)
    return table


def test_revision_is_durable_before_it_takes_effect() -> None:
    scripted = ScriptedSession()
    effects = scripted.session.refresh(1.0)
    pull = _pull(effects)
    effects = scripted.receive(_table("a"), pull, 1.01)
    assert scripted.session.view.revision == 0
    assert not scripted.session.may_take_new_work(1.01)
    token = next(effect.token for effect in effects if isinstance(effect, AppendRecords))
    scripted.session.reduce(RecordsSynced(token), 1.02)
    assert scripted.session.view.revision == 10
    assert scripted.session.may_take_new_work(1.02)


def test_older_configuration_is_refused_also_after_a_restart() -> None:
    scripted = ScriptedSession()
    scripted.update(_table("a", "b"), 1.0)
    scripted.update(_table("a"), 2.0)
    assert scripted.session.view.revision == 11
    again = ScriptedSession(tuple(scripted.records))
    again.update(_table("a"), 1.0)
    assert again.session.view.revision == 0
    assert not again.session.may_take_new_work(1.0)
    again.update(_table("a", "b"), 2.0)
    assert again.session.view.revision == 11


def test_reply_to_a_pull_of_another_run_is_no_proof() -> None:
    scripted = ScriptedSession()
    scripted.update(_table("a"), 1.0)
    late = 1.0 + constants.CONFIGURATION_LEASE_SECONDS
    scripted.receive(_table("a"), ConfigurationPull("gateway-1", 10, late - 0.1), late)
    assert not scripted.session.may_take_new_work(late)


def test_lease_ends_with_the_age_of_the_proof_less_drift() -> None:
    scripted = ScriptedSession()
    scripted.update(_table("a"), 1.0, proof_age_seconds=2.0)
    usable = constants.CONFIGURATION_LEASE_SECONDS * (1 - 2 * constants.MAXIMUM_CLOCK_DRIFT)
    assert scripted.session.may_take_new_work(-1.0 + usable - 0.001)
    assert not scripted.session.may_take_new_work(-1.0 + usable)


def test_reply_without_proof_gives_no_lease() -> None:
    scripted = ScriptedSession()
    scripted.update(_table("a"), 1.0, proof_age_seconds=-1.0)
    assert scripted.session.view.revision == 10
    assert not scripted.session.may_take_new_work(1.0)


def test_isolated_daemon_loses_its_lease_within_one_lease_duration_of_a_change() -> None:
    group = Group(size=3, seed=5)
    group.add_daemon("gateway-1")
    daemon = group.settle_daemon("gateway-1")
    group.network.isolate("gateway-1")
    _put_pools(group, ["a"])
    group.network.run_for(constants.CONFIGURATION_LEASE_SECONDS)
    assert not daemon.session.may_take_new_work(group.network.now)
    group.network.heal()
    group.settle_daemon("gateway-1")
    assert _pool_names(group, "gateway-1") == {"a"}


def test_peer_relays_to_a_daemon_that_reaches_no_control_replica() -> None:
    group = Group(size=3, seed=6)
    for name in ("gateway-1", "gateway-2"):
        group.add_daemon(name)
        group.settle_daemon(name)
    registered = group.network.run_until(
        lambda: len(group.daemon("gateway-1").session.view.daemons) == 2, 5.0
    )
    assert registered
    for member in group.members:
        group.network.cut |= {(member.node_id, "gateway-1"), ("gateway-1", member.node_id)}
    _put_pools(group, ["a"])
    for _ in range(30):
        group.network.run_for(0.5)
        assert group.daemon("gateway-1").session.may_take_new_work(group.network.now)
    assert _pool_names(group, "gateway-1") == {"a"}


def test_fails_over_from_an_unreachable_replica_without_losing_the_lease() -> None:
    group = Group(size=5, seed=7)
    names = [f"gateway-{number}" for number in range(8)]
    for name in names:
        group.add_daemon(name)
    for name in names:
        group.settle_daemon(name)
    followers = [member.node_id for member in group.members if member.node_id != group.leader]
    group.network.isolate(followers[0])
    for _ in range(20):
        group.network.run_for(0.5)
        now = group.network.now
        assert all(group.daemon(name).session.may_take_new_work(now) for name in names)


def test_daemons_are_spread_evenly_over_the_replicas() -> None:
    members = Group(size=7).members
    first: list[str] = [rank_members(f"gateway-{number}", members)[0] for number in range(630)]
    counts = [first.count(member.node_id) for member in members]
    assert min(counts) > 60
    assert max(counts) < 120


def test_restart_test_detects_a_follower_that_reverts(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(
        configuration_follower.ConfigurationFollower, "_is_outdated", lambda *_arguments: False
    )
    with pytest.raises(AssertionError):
        test_older_configuration_is_refused_also_after_a_restart()
