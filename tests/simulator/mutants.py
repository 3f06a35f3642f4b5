"""Mutants: the product with one guard patched out, and the checker that must notice.

`python -m tests.simulator.mutants [NAME] [SEEDS]` looks for seeds that catch them.
"""

import sys
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from typing import Any
from unittest import mock

import msgspec

from merlinstand_lab.simulator.runner import RunResult, run_plan
from merlinstand_lab.simulator.scenario import all_scenarios
from tests.simulator.mutant_patches import (
    accept_any_revision,
    acted_on_failure,
    all_ready,
    always,
    append_without_check,
    complete_without_end,
    configure_as_running,
    finish_without_check,
    granted_claim,
    granted_lease,
    lease_past_its_end,
    logs_always_meet,
    refuse_nothing_older,
    retry_whatever_was_sent,
    send_at_once,
    stop_at_once,
    use_nothing,
)

SEARCHED_SEEDS = 100

Patch = tuple[str, Any]
"""Dotted target and what replaces it."""


class Mutant(msgspec.Struct, frozen=True):
    """A guard that is patched out."""

    name: str
    guard: str
    """What the product no longer does."""
    patches: tuple[Patch, ...]
    checker: str
    """The checker that must report it."""
    scenario: str
    seed: int
    """A seed that catches it."""


@contextmanager
def applied(mutant: Mutant) -> Iterator[None]:
    """Patch the mutant's guards out."""
    with ExitStack() as stack:
        for target, replacement in mutant.patches:
            stack.enter_context(mock.patch(target, replacement))
        yield


def run_mutant(mutant: Mutant, seed: int) -> RunResult:
    """Run the mutant's scenario under a seed."""
    with applied(mutant):
        return run_plan(all_scenarios()[mutant.scenario].plan(seed), seed)


CONTROL = "merlinstand.control."
CONSENSUS = "merlinstand.consensus."
SESSION = "merlinstand.session."
GATEWAY = "merlinstand.gateway."
COORDINATOR = "merlinstand.coordinator."

MUTANTS: tuple[Mutant, ...] = (
    Mutant(
        "one-vote-wins",
        "an election needs a majority",
        ((CONSENSUS + "election.quorum_size", always(1)),),
        "election-safety",
        "control-chaos",
        1,
    ),
    Mutant(
        "vote-before-sync",
        "votes and acknowledgements leave only when they are durable",
        ((CONSENSUS + "state.ReplicaState.send_when_synced", send_at_once),),
        "state-machine-safety",
        "torn-tail",
        2,
    ),
    Mutant(
        "stale-log-elected",
        "a vote needs a log at least as new",
        ((CONSENSUS + "log.ReplicaLog.is_up_to_date", always(True)),),
        "state-machine-safety",
        "kill-at-heal",
        1,
    ),
    Mutant(
        "logs-not-compared",
        "an append is taken only where the logs meet",
        ((CONSENSUS + "follower.Follower._check_previous", logs_always_meet),),
        "log-matching",
        "kill-at-heal",
        44,
    ),
    Mutant(
        "commit-without-quorum",
        "an entry is committed when a majority holds it",
        ((CONSENSUS + "replication.quorum_index", max),),
        "state-machine-safety",
        "one-way-cut",
        8,
    ),
    Mutant(
        "leader-lease-ignored",
        "a leader without a quorum's answers stops acting",
        (
            (
                CONSENSUS + "leader_lease.LeaderLease.quorum_sent_at",
                lambda lease, membership, now: now,
            ),
        ),
        "no-work-under-replaced-configuration",
        "zone-cut",
        1,
    ),
    Mutant(
        "lease-never-expires-at-holder",
        "a holder stops at its own lease's end",
        ((SESSION + "lease_keeper.LeaseKeeper.lease", lease_past_its_end),),
        "lease-exclusive",
        "lease-holders",
        1,
    ),
    Mutant(
        "lease-granted-to-all",
        "a held lease is granted to nobody else",
        ((CONTROL + "leases.LeaseTable.acquire", granted_lease),),
        "lease-exclusive",
        "lease-holders",
        1,
    ),
    Mutant(
        "configuration-lease-ignored",
        "a daemon without proof of being current takes no new work",
        (
            (
                SESSION + "configuration_follower.ConfigurationFollower.holds_lease",
                lambda follower, now: follower._proof_at is not None,
            ),
        ),
        "no-work-under-replaced-configuration",
        "zone-cut",
        1,
    ),
    Mutant(
        "configuration-goes-back",
        "an older configuration is never taken",
        (
            (
                SESSION + "configuration_follower.ConfigurationFollower._is_outdated",
                refuse_nothing_older,
            ),
        ),
        "configuration-monotone",
        "config-in-force",
        1,
    ),
    Mutant(
        "resend-acts-again",
        "a command id acts once",
        ((CONTROL + "command_ids.DeduplicationWindow.find", always(None)),),
        "commands-linearizable",
        "command-resend",
        1,
    ),
    Mutant(
        "expected-revision-ignored",
        "a write with another expected revision is refused",
        ((CONTROL + "objects.ObjectStore._check_revision", accept_any_revision),),
        "commands-linearizable",
        "operator-race",
        1,
    ),
    Mutant(
        "no-elections",
        "a group without leader elects one",
        ((CONSENSUS + "election.Election.on_timer", always(None)),),
        "liveness",
        "leader-kill",
        1,
    ),
    Mutant(
        "claim-always-granted",
        "a claimed key is granted to nobody else",
        ((CONTROL + "claims.ClaimTable.claim", granted_claim),),
        "at-most-once",
        "gateway-kill-during-booking",
        1,
    ),
    Mutant(
        "booking-retried",
        "a request that is not repeatable is sent once",
        ((GATEWAY + "retries.Retries._may_retry", retry_whatever_was_sent),),
        "at-most-once",
        "service-crash",
        3,
    ),
    Mutant(
        "lost-answer-called-not-run",
        "a request that may have run is not refused as not run",
        ((GATEWAY + "proxying.call_failure", acted_on_failure),),
        "not-run-is-true",
        "service-crash",
        1,
    ),
    Mutant(
        "drain-ignored",
        "a drained back end gets no new work",
        (
            (
                "merlinstand.routing.membership.DrainSignals.is_draining",
                property(all_ready),
            ),
        ),
        "leaving-gets-no-work",
        "drain",
        1,
    ),
    Mutant(
        "pause-ignored",
        "a paused job delivers nothing",
        ((COORDINATOR + "jobs.JobRunner.configure", configure_as_running),),
        "configuration-in-force",
        "leave-under-faults",
        1,
    ),
    Mutant(
        "dead-holders-keep-leases",
        "a lease that ran out is granted to another daemon",
        ((CONTROL + "leases._is_held", always(True)),),
        "works-again",
        "coordinator-kill",
        1,
    ),
    Mutant(
        "stop-cuts-requests",
        "a planned stop waits for the requests in flight",
        ((GATEWAY + "planned_stop.PlannedStop.stop_if_drained", stop_at_once),),
        "planned-stop-cuts-nothing",
        "planned-stop",
        1,
    ),
    Mutant(
        "staleness-not-judged",
        "a sample beyond the bound is not delivered",
        (
            (CONTROL + "weights.StalenessBound.find_violation", always("")),
            (COORDINATOR + "terms.JobTerms.allows", always(True)),
        ),
        "staleness-bound",
        "coordinator-kill",
        1,
    ),
    Mutant(
        "slots-not-marked-used",
        "a delivered slot is not delivered again",
        (
            (CONTROL + "ledger.JobLedger._mark_used", use_nothing),
            (COORDINATOR + "store.SampleStore.mark_used", always(None)),
        ),
        "exactly-once",
        "coordinator-kill",
        1,
    ),
    Mutant(
        "versions-of-first-chunk",
        "spans are those that the engine stamped on each chunk",
        (
            (COORDINATOR + "spans.SpanRecorder.append", append_without_check),
            (COORDINATOR + "generation.Generation._finish", finish_without_check),
        ),
        "versions-true",
        "calm",
        1,
    ),
    Mutant(
        "truncated-sample-delivered",
        "a sample is whole only when its stream came to its end",
        ((COORDINATOR + "generation.Generation.complete", property(complete_without_end)),),
        "whole-answers",
        "engine-crash-mid-stream",
        1,
    ),
)


def find_seed(mutant: Mutant, seeds: range) -> int | None:
    """Return the first seed under which the mutant's checker reports it."""
    for seed in seeds:
        result = run_mutant(mutant, seed)
        if any(violation.checker == mutant.checker for violation in result.violations):
            return seed
    return None


def main() -> None:
    """Search seeds and print a table."""
    names = {sys.argv[1]} if len(sys.argv) > 1 else {mutant.name for mutant in MUTANTS}
    seeds = range(1, int(sys.argv[2]) + 1 if len(sys.argv) > 2 else SEARCHED_SEEDS + 1)
    for mutant in MUTANTS:
        if mutant.name in names:
            found = find_seed(mutant, seeds)
            print(mutant.name, mutant.scenario, mutant.checker, found, flush=True)


if __name__ == "__main__":
    main()
