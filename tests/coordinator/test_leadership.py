"""Standbys ask for leases by rank: little load, and a next holder all the same."""

import pytest

from merlinstand.common import constants
from merlinstand.coordinator.leadership import LONGEST_RETRY_SECONDS
from merlinstand.session.lease_keeper import LEASE_RETRY_SECONDS
from tests.coordinator.lease_contest import LeaseContest

SPREAD = 1.25
"""Waits are spread up to this factor."""

SETTLE_SECONDS = 30.0
STEP_MARGIN_SECONDS = 0.2


def _ranked(contest: LeaseContest, resource: str) -> list[str]:
    """Coordinators, the preferred one first."""
    return sorted(
        contest.contestants,
        key=lambda name: contest.contestants[name].leadership.position(resource),
    )


def _settled(coordinators: int, jobs: int) -> LeaseContest:
    contest = LeaseContest(coordinators, jobs)
    contest.run_for(SETTLE_SECONDS)
    return contest


def test_every_resource_goes_to_its_preferred_coordinator() -> None:
    contest = _settled(8, 20)
    for resource in contest.resources:
        assert contest.holder(resource) == _ranked(contest, resource)[0]


def test_standbys_ask_less_often_the_further_back_they_stand() -> None:
    contest = _settled(12, 1)
    resource = contest.resources[0]
    contest.questions.clear()
    contest.run_for(4 * LONGEST_RETRY_SECONDS)
    asked = [contest.questions[name] for name in _ranked(contest, resource)]
    assert asked[0] == 0, "the holder renews, it does not ask"
    # Positions 1 to 5 wait 1, 2, 4, 8 and 16 s, all others 16 s as well.
    waits = [1.0, 2.0, 4.0, 8.0, 16.0, *[LONGEST_RETRY_SECONDS] * 6]
    for count, wait in zip(asked[1:], waits, strict=True):
        most = 4 * LONGEST_RETRY_SECONDS / (wait * 0.75) + 1
        least = 4 * LONGEST_RETRY_SECONDS / (wait * SPREAD) - 1
        assert least <= count <= most


def test_questions_grow_far_slower_than_coordinators() -> None:
    few, many = _settled(4, 10), _settled(16, 10)
    for contest in (few, many):
        contest.questions.clear()
        contest.run_for(32.0)
    # Each asking every second would make it five times as many (3 and 15 standbys).
    assert many.questions.total() < 2 * few.questions.total()


@pytest.mark.parametrize("dead", [1, 2, 3])
def test_next_holder_stands_ready_when_the_first_ones_die(dead: int) -> None:
    contest = _settled(6, 4)
    for resource in contest.resources:
        assert contest.holder(resource)
    resource = contest.resources[0]
    ranked = _ranked(contest, resource)
    for name in ranked[:dead]:
        contest.contestants[name].alive = False
    wait = LEASE_RETRY_SECONDS * 2.0 ** max(0, dead - 1) * SPREAD
    limit = constants.RESOURCE_LEASE_SECONDS + wait + STEP_MARGIN_SECONDS
    assert contest.seconds_until_held(resource, 60.0) <= limit
    assert contest.holder(resource) not in ranked[:dead]


def test_standby_that_moves_up_asks_more_eagerly_at_once() -> None:
    contest = _settled(6, 1)
    resource = contest.resources[0]
    ranked = _ranked(contest, resource)
    for contestant in contest.contestants.values():
        view = contestant.session.scripted_view
        view.daemons = {name: view.daemons[name] for name in (ranked[0], ranked[5])}
    contest.run_for(1.0)
    contest.questions.clear()
    contest.run_for(20.0)
    assert contest.questions[ranked[5]] >= 20.0 / (LEASE_RETRY_SECONDS * SPREAD) - 1


def test_resource_that_is_gone_is_given_up_and_forgotten() -> None:
    contest = _settled(2, 1)
    resource = contest.resources[0]
    first = contest.contestants[contest.holder(resource)]
    first.session.scripted_view.jobs = {}
    contest.run_for(0.1)
    assert contest.holder(resource) == ""
    asked_before = dict(contest.questions)
    contest.run_for(4 * LONGEST_RETRY_SECONDS)
    assert dict(contest.questions) == asked_before, "somebody still wants it"
