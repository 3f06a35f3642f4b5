"""Requests that end the servers which run them.

Seen: all three servers of a service ended within 0.3 s, were back after 3 s and ended again, nine
times in a row; every lookup in between was refused. How it came about: one caller's request ended
each server that began to run it, and came again with another id, at other gateways. Each gateway
judged each try by itself: two servers a try, then forgotten with the answer; and a server that is
back is a new one without a past. Cause: what a request did to servers was remembered for one try at
one gateway, though the harm adds up over tries, gateways and restarts. Proved by the digest of
what was asked, which is the same on all tries that saw a server end, and by this test.
"""

import pytest

from tests.users_platform.checks import crash_arrivals, violations
from tests.users_platform.world import World

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
    world = World(seed, crashing=crashing)
    world.add_crashing_caller(sends)
    world.simulation.run_until(DAY_SECONDS)
    assert len(crash_arrivals(world)) == 1
    assert violations(world) == []
