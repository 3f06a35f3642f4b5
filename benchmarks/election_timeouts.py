"""Failover and needless elections against the election timeout, on a virtual clock.

Real replicas of `merlinstand.consensus` over the test network with modelled latency, three
voters, clocks that drift by 1%, syncs of 0.5 to 3 ms. The other timings keep their ratio to
the timeout.

Run from the repository's root: PYTHONPATH=src:. python benchmarks/election_timeouts.py
"""

import random
import sys

from merlinstand.common import constants
from merlinstand.consensus.settings import ReplicaTimings
from tests.consensus.network import Network, Node

TIMEOUTS_SECONDS = (0.5, 1.0, 2.0)
LATENCIES_SECONDS = (0.0005, 0.0015)
"""One way, between zones."""
STALLS_SECONDS = (0.3, 0.6, 0.9, 1.2, 1.8)
BOUND_SECONDS = 3.0
FROZEN_SECONDS = 20.0
PROBE_SECONDS = 0.005


def make_network(seed: int, timeout_seconds: float, latency_seconds: float) -> Network:
    """Return a group that has a leader, at a random moment of its life."""
    timings = ReplicaTimings(
        election_timeout_seconds=timeout_seconds,
        election_timeout_spread_seconds=timeout_seconds / 2,
        heartbeat_interval_seconds=timeout_seconds / 4,
        leader_lease_seconds=timeout_seconds * (1 - 2 * constants.MAXIMUM_CLOCK_DRIFT),
        repair_delay_seconds=100.0,
    )
    network = Network(members=3, seed=seed, drift=constants.MAXIMUM_CLOCK_DRIFT, timings=timings)
    network.delay = (latency_seconds, latency_seconds)
    network.start_all()
    network.commit(b"first")
    network.run(random.Random(seed).uniform(1.0, 3.0))
    return network


def measure_failover(network: Network, kind: str) -> float:
    """Return the time from the fault to the first commit of a new proposal."""
    struck = network.settle()
    if kind == "kill":
        network.crash(struck.name)
    else:
        network.freeze(struck.name, FROZEN_SECONDS)
    began_at = network.now
    while not is_committed(network, struck):
        network.run(PROBE_SECONDS)
    return network.now - began_at


def is_committed(network: Network, struck: Node) -> bool:
    """Propose at the new leader, if there is one, and tell whether it was committed."""
    leader = network.acting_leader()
    if leader is None or leader is struck:
        return False
    index = network.propose(b"after the fault", leader)
    if index is None:
        return False
    network.run_until(lambda: index in network.observer.committed, 2.0, required=False)
    return index in network.observer.committed


def causes_election(network: Network, stall_seconds: float) -> bool:
    """Tell whether a leader that stalls for a while is replaced."""
    leader = network.settle()
    assert leader.replica is not None
    term = leader.replica.term
    network.freeze(leader.name, stall_seconds)
    network.run(stall_seconds + 4.0)
    following = network.settle().replica
    assert following is not None
    return following.term != term


def main(runs: int) -> None:
    """Print both tables."""
    print("timeout latency kind   min    p50    p90    max    over 3 s")
    for latency in LATENCIES_SECONDS:
        for timeout in TIMEOUTS_SECONDS:
            for kind in ("kill", "freeze"):
                times = sorted(
                    measure_failover(make_network(seed, timeout, latency), kind)
                    for seed in range(runs)
                )
                shown = (times[0], times[runs // 2], times[runs * 9 // 10], times[-1])
                columns = " ".join(f"{value:6.3f}" for value in shown)
                over = sum(value > BOUND_SECONDS for value in times)
                print(f"{timeout:7} {latency:7} {kind:6} {columns} {over}")
    print(f"timeout, then leaders replaced of {runs} that stalled for {STALLS_SECONDS} s")
    for timeout in TIMEOUTS_SECONDS:
        replaced = [
            sum(
                causes_election(make_network(seed, timeout, LATENCIES_SECONDS[0]), stall)
                for seed in range(runs)
            )
            for stall in STALLS_SECONDS
        ]
        print(f"{timeout:7} {replaced}")


if __name__ == "__main__":
    main(int(sys.argv[1]) if len(sys.argv) > 1 else 300)
