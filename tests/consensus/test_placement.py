"""Placement of voters in one region or spread over regions."""

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
ONE_REGION = PlacementRule(region_by_zone=REGIONS)
ACROSS_REGIONS = PlacementRule(region_by_zone=REGIONS, tolerated_region_losses=1)


class Candidate(msgspec.Struct, frozen=True):
    name: str
    zone: str


def candidates(text: str) -> list[Candidate]:
    """Create one candidate for each zone in the text."""
    return [Candidate(f"{zone}-{number}", zone) for number, zone in enumerate(text.split())]


@pytest.mark.parametrize(
    ("rule", "present", "size", "expected"),
    [
        pytest.param(ONE_REGION, "a1 b1 a2 b2 a3", 3, "a1 a2 a3", id="region with most candidates"),
        pytest.param(
            ONE_REGION, "b1 b2 b1 a1 a2", 3, "b1 b1 b2", id="region with most candidates, second"
        ),
        pytest.param(ONE_REGION, "b1 b2 a1 a2", 3, "a1 a2 b1", id="tie: first region by name"),
        pytest.param(
            ONE_REGION, "a1 a1 a1 a2", 3, "a1 a1 a2", id="spread over zones of the region"
        ),
        pytest.param(ONE_REGION, "a1 a2 b1", 3, "a1 a2 b1", id="too few candidates in the region"),
        pytest.param(ACROSS_REGIONS, "a1 a2 a3 b1 b2", 4, "a1 a2 b1 b2", id="spread over regions"),
        pytest.param(PlacementRule(), "x x y z", 3, "x y z", id="no regions: spread over zones"),
    ],
)
def test_choice_of_initial_voters(
    rule: PlacementRule, present: str, size: int, expected: str
) -> None:
    chosen = rule.choose(candidates(present), size)
    assert sorted(candidate.zone for candidate in chosen) == expected.split()


def member(name: str, zone: str) -> Member:
    """Create a member or standby in a zone."""
    return Member(Identity(NodeId(name), 1), f"{name}:1", Zone(zone))


@pytest.mark.parametrize(
    ("rule", "standbys", "expected"),
    [
        pytest.param(
            ONE_REGION, {"s1": "b1", "s2": "a1"}, "s2", id="home region despite a used zone"
        ),
        pytest.param(ONE_REGION, {"s1": "b1"}, "s1", id="other region if there is no choice"),
        pytest.param(
            ACROSS_REGIONS, {"s1": "a3", "s2": "b1"}, "s2", id="region with fewest voters"
        ),
        pytest.param(PlacementRule(), {"s1": "a1", "s2": "a3"}, "s2", id="zone without voters"),
    ],
)
def test_lost_voter_is_replaced_by_the_best_placed_standby(
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
