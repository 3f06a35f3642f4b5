"""What gateways alone know of requests that end servers dies with them.

A caller leaves after 20 ms, its request ends the server after 45 ms, and the request comes again at
another gateway. The first gateway is the only one that knows what the server was working on, and
finds the server gone only when it next sends something there. Killed before that, it takes its
evidence along: nobody else writes `backend.crashed … suspected=…` for that server, and the request
is sent on as if nothing had happened. On seed 2 the request reached 23 servers after the third. A
gateway that is killed while the request is still at the server loses its evidence in the same way,
whatever its caller does.
"""

import pytest

from tests.users_platform.gateway_days import run_scenario


def test_frequent_concurrent_request_does_not_exonerate_the_crashing_one() -> None:
    """A request whose caller leaves before any answer is never served, and often beside others.

    At 16.8 s of this day it had been at four ends, the guilty one at three, at two of them alone
    (`suspects` at the leader: 0342 quarantined, then grave). The ends of the former explained one
    of the guilty one's, which was sent five times more.
    """
    assert run_scenario(249) == []


@pytest.mark.parametrize(
    "seed",
    [
        pytest.param(2, id="every sender is killed 10 ms after the request arrived"),
        pytest.param(16, id="gateways are killed at random"),
        pytest.param(
            25, id="every sender is killed 30 ms after the arrival, once all power is lost"
        ),
        pytest.param(32, id="every sender is killed 1 ms after the arrival"),
        pytest.param(36, id="three of five senders are killed, and control daemons"),
        pytest.param(39, id="every sender is killed 60 ms after the arrival, and all in turn"),
        pytest.param(53, id="gateways are killed in turn and at random"),
    ],
)
def test_crash_evidence_survives_gateway_kills(seed: int) -> None:
    assert run_scenario(seed) == []


@pytest.mark.parametrize("seed", [20, 21, 53])
def test_crash_evidence_survives_gateway_kills_if_servers_keep_ids(seed: int) -> None:
    """Each crash is one of a certain start; on days 20 and 21 it was taken for the start before."""
    assert run_scenario(seed, keeps_id=True) == []


@pytest.mark.parametrize(
    ("seed", "keeps_id"),
    [
        pytest.param(1248, False, id="1 ms"),
        pytest.param(2081, False, id="30 ms, control killed"),
        pytest.param(73, True, id="10 ms, servers keep ids"),
        pytest.param(3114, True, id="servers keep ids, two alone at three ends"),
        pytest.param(3324, True, id="servers keep ids, a trial leaves a tie"),
        pytest.param(3235, False, id="three let go in turn"),
        pytest.param(1206, False, id="one beside them is found in its place"),
    ],
)
def test_three_crashing_requests_are_identified_although_their_gateways_are_killed(
    seed: int, keeps_id: bool
) -> None:
    """Three requests end the same servers, and every gateway dies so soon after it sent one.

    All that is left is what was announced. As one of them was found, the ends that it explained
    were no longer held against the others, which were sent on: on day 1248 each was let go in turn.
    On day 73 the first word of an end came from before the start, and left out what was announced
    after it. On days 3114 and 3324 two of them, each alone at three ends, seemed equally guilty.
    On day 1206 nobody told of the first end of one; a request that was beside it, never alone, was
    taken for guilty in its place and explained two more.
    """
    assert run_scenario(seed, keeps_id) == []
