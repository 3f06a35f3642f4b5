"""Where the voters of a group stand: gathered in one region, or spread over regions."""

import msgspec
import pytest

from merlinstand.common.ids import NodeId, Zone
from merlinstand.consensus.membership import Identity, Member, Membership
from merlinstand.consensus.placement import PlacementRule
from merlinstand.consensus.repair import (
    GroupView,
    MemberHealth,
    RepairKind,
    RepairSettings,
    Standby,
    choose_repair,
)

REGIONS = {"a1": "north", "a2": "north", "a3": "north", "b1": "south", "b2": "south"}
GATHER = PlacementRule(region_by_zone=REGIONS)
SPREAD = PlacementRule(region_by_zone=REGIONS, tolerated_region_losses=1)


class Candidate(msgspec.Struct, frozen=True):
    name: str
    zone: str


def candidates(text: str) -> list[Candidate]:
    """Candidates from their zones."""
    return [Candidate(f"{zone}-{number}", zone) for number, zone in enumerate(text.split())]


@pytest.mark.parametrize(
    ("rule", "present", "size", "expected"),
    [
        pytest.param(GATHER, "a1 b1 a2 b2 a3", 3, "a1 a2 a3", id="all in the region with most"),
        pytest.param(GATHER, "b1 b2 b1 a1 a2", 3, "b1 b1 b2", id="the larger one, by candidates"),
        pytest.param(GATHER, "b1 b2 a1 a2", 3, "a1 a2 b1", id="equally large: first by name"),
        pytest.param(GATHER, "a1 a1 a1 a2", 3, "a1 a1 a2", id="zones differ within the region"),
        pytest.param(GATHER, "a1 a2 b1", 3, "a1 a2 b1", id="too few at home: others fill up"),
        pytest.param(SPREAD, "a1 a2 a3 b1 b2", 4, "a1 a2 b1 b2", id="a region's loss is borne"),
        pytest.param(PlacementRule(), "x x y z", 3, "x y z", id="no regions known: zones differ"),
    ],
)
def test_first_voters(rule: PlacementRule, present: str, size: int, expected: str) -> None:
    chosen = rule.choose(candidates(present), size)
    assert sorted(candidate.zone for candidate in chosen) == expected.split()


def member(name: str, zone: str) -> Member:
    """A member or standby."""
    return Member(Identity(NodeId(name), 1), f"{name}:1", Zone(zone))


@pytest.mark.parametrize(
    ("rule", "standbys", "expected"),
    [
        pytest.param(GATHER, {"s1": "b1", "s2": "a1"}, "s2", id="at home, though the zone is full"),
        pytest.param(GATHER, {"s1": "b1"}, "s1", id="elsewhere rather than not at all"),
        pytest.param(SPREAD, {"s1": "a3", "s2": "b1"}, "s2", id="the region with fewest voters"),
        pytest.param(PlacementRule(), {"s1": "a1", "s2": "a3"}, "s2", id="an empty zone"),
    ],
)
def test_a_lost_voter_is_replaced_where_it_suits(
    rule: PlacementRule, standbys: dict[str, str], expected: str
) -> None:
    voters = [member("v1", "a1"), member("v2", "a2"), member("v3", "a3")]
    health = {voter.identity: MemberHealth(0.0, True, False, True) for voter in voters}
    health[voters[2].identity] = MemberHealth(60.0, False, False, False)
    view = GroupView(
        Membership(tuple(voters)),
        health,
        [Standby(member(name, zone), 0.1) for name, zone in standbys.items()],
    )
    settings = RepairSettings(3, 10.0, 5.0, 1.0, rule)
    action = choose_repair(view, settings)
    assert action is not None
    assert (action.kind, action.member.identity.node_id) == (RepairKind.ADD_LEARNER, expected)
