"""Membership changes by operators: learner first, never without quorum, known nodes only."""

from typing import Any

import pytest

from merlinstand.control.settings import ControlTimings
from tests.control.group import Group, pool_object, put

SLOW_REPAIR = ControlTimings(replacement_delay_seconds=1000.0)


def _change_membership(
    group: Group, command_id: str, add: str = "", remove: str = ""
) -> tuple[int, Any]:
    command = {"command": "change_membership", "add_node": add, "remove_node": remove}
    return group.operator(command_id, command)


def _wait_voters(group: Group, expected: set[str]) -> None:
    reached = group.network.run_until(lambda: group.voters() == expected, 30.0)
    assert reached, f"voters are {group.voters()}"


@pytest.mark.parametrize("removes_leader", [False, True])
def test_standby_replaces_a_voter(removes_leader: bool) -> None:
    group = Group(seed=61, standbys=1, timings=SLOW_REPAIR)
    leader = group.wait_for_leader()
    names = [member.node_id for member in group.members]
    standby = names[-1]
    leaving = leader if removes_leader else next(n for n in names[:-1] if n != leader)
    assert group.operator("before", put("pool/a", pool_object("a")))[0] == 200
    assert _change_membership(group, "replace", add=standby, remove=leaving)[0] == 200
    _wait_voters(group, set(names) - {leaving})
    assert group.operator("after", put("pool/b", pool_object("b")))[0] == 200
    assert group.wait_for_leader() != leaving
    # The change is complete: the replaced node does not become a voter again.
    group.network.run_for(10.0)
    assert group.voters() == set(names) - {leaving}


def test_replaced_node_can_be_added_again() -> None:
    group = Group(seed=62, standbys=1, timings=SLOW_REPAIR)
    names = [member.node_id for member in group.members]
    leaving = next(name for name in names[:-1] if name != group.wait_for_leader())
    assert _change_membership(group, "out", add=names[-1], remove=leaving)[0] == 200
    _wait_voters(group, set(names) - {leaving})
    # A change takes effect when it is logged, but the next one is refused (503) until it commits.
    group.network.run_for(1.0)
    assert _change_membership(group, "in", add=leaving, remove=names[-1])[0] == 200
    _wait_voters(group, set(names[:-1]))


@pytest.mark.parametrize("change", [{"add": "control-9"}, {"remove": "contrl-1"}])
def test_unknown_node_is_refused_and_leaves_the_membership(change: dict[str, str]) -> None:
    group = Group(seed=63, standbys=1)
    before = group.control(group.wait_for_leader()).replica.membership
    status, answer = _change_membership(group, "misspelt", **change)
    assert status == 404
    assert answer["code"] == "not_found"
    assert group.control(group.wait_for_leader()).replica.membership == before


def test_replacement_by_an_unreachable_standby_waits_and_keeps_the_quorum() -> None:
    group = Group(seed=64, standbys=1, timings=SLOW_REPAIR)
    names = [member.node_id for member in group.members]
    leader = group.wait_for_leader()
    group.network.kill(names[-1])
    leaving = next(name for name in names[:-1] if name != leader)
    assert _change_membership(group, "replace", add=names[-1], remove=leaving)[0] == 200
    group.network.run_for(10.0)
    assert group.voters() == set(names[:-1])
    assert group.operator("meanwhile", put("pool/a", pool_object("a")))[0] == 200
    group.network.start(names[-1])
    _wait_voters(group, set(names) - {leaving})
