"""Mutants: the product with one guard patched out, and the checker that must notice.

`python -m tests.simulator.mutants [NAME] [SEEDS]` looks for seeds that catch them.
"""

import sys
from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager
from typing import Any
from unittest import mock

import msgspec

from merlinstand_lab.simulator.runner import RunResult, run_plan
from merlinstand_lab.simulator.scenario import all_scenarios

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


def always(value: Any) -> Callable[..., Any]:
    """Return a function that ignores its arguments."""
    return lambda *_arguments, **_named: value


def _granted_lease(table: Any, command: Any, revision: int, group_time: float) -> Any:
    from merlinstand.control.commands import LeaseGranted

    return LeaseGranted(
        resource=command.resource, epoch=revision, duration_seconds=command.duration_seconds
    )


def _granted_claim(table: Any, command: Any, revision: int, group_time: float) -> Any:
    from merlinstand.control.commands import ClaimGranted

    return ClaimGranted(idempotency_key=command.idempotency_key)


def _lease_past_its_end(keeper: Any, resource: str, now: float) -> Any:
    wanted = keeper._wanted.get(resource)
    return None if wanted is None else wanted.held


def _logs_always_meet(follower: Any, request: Any) -> tuple[int, bool]:
    log = follower._state.log
    behind = min(max(0, log.base_index - request.previous_index), len(request.entries))
    return behind, request.previous_index <= log.last_index


def _send_at_once(state: Any, receiver: Any, message: Any) -> None:
    state.send(receiver, message)


def _acted_on_failure(event: Any, exchange: Any, now: float) -> Any:
    from merlinstand.gateway.try_failure import CallResult, TryFailure

    return TryFailure(reason=event.reason, ran=False, result=CallResult.FAILURE)


def _retry_whatever_was_sent(retries: Any, exchange: Any, failure: Any, now: float) -> bool:
    enough = exchange.tries >= retries._settings.maximum_tries
    return not enough and exchange.remaining_seconds(now) > 0.0


def _stop_at_once(daemon: Any, now: float, out: list[Any]) -> None:
    from merlinstand.kernel.effects import StopProcess

    out.append(StopProcess())


def _append_without_check(recorder: Any, version: int, first_token: int, token_count: int) -> Any:
    from result import Ok

    from merlinstand.coordinator.engine_protocol import Span

    if token_count:
        spans = recorder._spans
        version = spans[0].version if spans else version
        recorder._spans = [Span(version, 0, first_token + token_count)]
    return Ok(None)


def _finish_without_check(generation: Any, chunk: Any) -> Any:
    from result import Ok

    generation.finish_reason = chunk.finish_reason
    return Ok(None)


def _complete_without_end(generation: Any) -> bool:
    from merlinstand.coordinator.engine_protocol import FinishReason

    if generation.token_count > 0 and generation.finish_reason is None:
        generation.finish_reason = FinishReason.STOP
    return generation.token_count > 0


def _accept_any_revision(store: Any, key: str, expected: int | None) -> Any:
    return None


def _refuse_nothing_older(follower: Any, update: Any) -> bool:
    return False


def _all_ready(signals: Any) -> bool:
    return False


def _use_nothing(ledger: Any, slots: Any) -> None:
    return None


def _any_position(command: Any, consumer: Any) -> Any:
    return None


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
        ((CONSENSUS + "state.ReplicaState.send_when_synced", _send_at_once),),
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
        ((CONSENSUS + "follower.Follower._check_previous", _logs_always_meet),),
        "log-matching",
        "kill-at-heal",
        3,
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
        ((SESSION + "lease_keeper.LeaseKeeper.lease", _lease_past_its_end),),
        "lease-exclusive",
        "lease-holders",
        1,
    ),
    Mutant(
        "lease-granted-to-all",
        "a held lease is granted to nobody else",
        ((CONTROL + "leases.LeaseTable.acquire", _granted_lease),),
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
                SESSION + "configuration_follower.ConfigurationFollower._is_older",
                _refuse_nothing_older,
            ),
        ),
        "configuration-monotone",
        "config-in-force",
        1,
    ),
    Mutant(
        "resend-acts-again",
        "a command id acts once",
        ((CONTROL + "command_ids.CommandWindow.find", always(None)),),
        "commands-linearizable",
        "command-resend",
        1,
    ),
    Mutant(
        "expected-revision-ignored",
        "a write with another expected revision is refused",
        ((CONTROL + "objects.ObjectStore._check_revision", _accept_any_revision),),
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
        ((CONTROL + "claims.ClaimTable.claim", _granted_claim),),
        "at-most-once",
        "gateway-kill-during-booking",
        1,
    ),
    Mutant(
        "booking-retried",
        "a request that is not repeatable is sent once",
        ((GATEWAY + "retries.Retries._may_try_again", _retry_whatever_was_sent),),
        "at-most-once",
        "service-crash",
        3,
    ),
    Mutant(
        "lost-answer-called-not-run",
        "a request that may have run is not refused as not run",
        ((GATEWAY + "proxying.call_failure", _acted_on_failure),),
        "not-run-is-true",
        "service-crash",
        1,
    ),
    Mutant(
        "drain-ignored",
        "a drained back end gets no new work",
        (
            (
                "merlinstand.routing.membership.LeavingSignals.leaving",
                property(_all_ready),
            ),
        ),
        "leaving-gets-no-work",
        "drain",
        1,
    ),
    Mutant(
        "stop-cuts-requests",
        "a planned stop waits for the requests in flight",
        ((GATEWAY + "daemon.GatewayDaemon._stop_if_drained", _stop_at_once),),
        "planned-stop-cuts-nothing",
        "planned-stop",
        6,
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
            (CONTROL + "ledger.JobLedger._use", _use_nothing),
            (COORDINATOR + "store.SampleStore.use", always(None)),
        ),
        "exactly-once",
        "coordinator-kill",
        1,
    ),
    Mutant(
        "versions-of-first-chunk",
        "spans are those that the engine stamped on each chunk",
        (
            (COORDINATOR + "spans.SpanRecorder.append", _append_without_check),
            (COORDINATOR + "generation.Generation._finish", _finish_without_check),
        ),
        "versions-true",
        "calm",
        1,
    ),
    Mutant(
        "truncated-sample-delivered",
        "a sample is whole only when its stream came to its end",
        ((COORDINATOR + "generation.Generation.complete", property(_complete_without_end)),),
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
