"""Chooses replicas of one pool for one daemon, and records the results of calls.

`PoolRouter.choose` applies these steps in order (reasons: docs/DECISIONS/0006-request-routing.md):

1. Candidates are the replicas of this daemon's subset (`subset`) that are eligible
   (`Replica.is_eligible`) and were not tried before for the request. If there are none:
   `NoBackendError`.
2. Of these, replicas that look healthy (`balancer.exclude_unhealthy`, with its panic mode), have a
   free slot within their adaptive limit and are not backing off. If there are none:
   `PoolBusyError`.
3. With an affinity, the replica that probably has the prompt's prefix cached, with bounded load
   (`balancer.choose_by_affinity`). Otherwise the less loaded of two drawn in the local zone, or
   in the other zones if the local one is too busy (`balancer.choose_by_zone`).

`_choose_fast_path` chooses a replica that these rules allow at lower cost in the common case.
"""

import enum
from collections.abc import Collection, Mapping, Sequence
from random import Random

from result import Err, Ok, Result

from merlinstand.configuration.objects import Backend, Drain, Pool
from merlinstand.routing.affinity import PromptAffinity
from merlinstand.routing.balancer import (
    choose_by_affinity,
    choose_by_zone,
    draw_two,
    exclude_unhealthy,
)
from merlinstand.routing.errors import NoBackendError, PoolBusyError
from merlinstand.routing.replica import Replica
from merlinstand.routing.retry_budget import new_attempt_budget
from merlinstand.routing.settings import RouterSettings
from merlinstand.routing.status import BackendStatus, CacheEvents, MachineList
from merlinstand.routing.subset import zone_subset

NO_BACKEND_RETRY_AFTER_SECONDS = 1.0
"""Retry delay of a pool without an eligible replica. Long, since an operator must act or a backend
must return first."""

MINIMUM_BUSY_RETRY_AFTER_SECONDS = 0.2
"""Minimum retry delay of a pool whose replicas are all busy."""


class CallResult(enum.Enum):
    """What the end of a call shows about its replica."""

    SUCCESS = "success"
    """The replica responded."""
    REFUSED = "refused"
    """The replica refused the request before running it (503 with `X-Not-Run`): alive but busy."""
    FAILURE = "failure"
    """The replica was unreachable, timed out, closed the connection early or sent an invalid
    response."""
    INCONCLUSIVE = "abandoned"
    """Nothing: the call was cancelled, or ended for a reason other than the replica."""


class PoolRouter:
    """Chooses replicas of one pool for one daemon.

    Call `configure` at every configuration change and the `record_...` methods as responses to
    polls arrive. For each call, use `choose`, `record_call_start` and exactly one
    `record_call_end`.
    """

    def __init__(self, node_id: str, zone: str, random: Random, settings: RouterSettings) -> None:
        """Create a router; `configure` sets its pool and replicas.

        Args:
            node_id: Node id of the daemon.
            zone: Zone of the daemon.
            random: Source of randomness.
            settings: Settings of the choice of replicas.
        """
        self._node_id = node_id
        self._zone = zone
        self._random = random
        self._settings = settings
        self._pool: Pool | None = None
        self._replicas: dict[str, Replica] = {}
        self._local_eligible: list[Replica] | None = None
        """Cached eligible replicas of the local zone; None after a change that may affect them."""
        self.retry_budget = new_attempt_budget(settings.retry_budget)

    @property
    def replicas(self) -> Mapping[str, Replica]:
        """Replicas of this daemon's subset, by backend id."""
        return self._replicas

    def configure(
        self, pool: Pool, drains: Mapping[str, Drain], peers: Mapping[str, Sequence[str]]
    ) -> None:
        """Apply a configuration; replicas that keep their id and address keep their state.

        Args:
            pool: The pool as configured now.
            drains: Operators' drains, by backend id.
            peers: Node ids of the daemons that share this pool, by zone.
        """
        self._pool = pool
        chosen = zone_subset(pool.backends, self._zone, self._node_id, peers, self._settings)
        kept: dict[str, Replica] = {}
        for backend in chosen:
            replica = self._replicas.get(backend.backend_id)
            if replica is None or replica.backend.address != backend.address:
                replica = Replica(backend, self._settings, self._random)
            replica.backend = backend
            replica.signals.has_operator_drain = backend.backend_id in drains
            replica.limit.set_maximum(pool.maximum_concurrency)
            kept[backend.backend_id] = replica
        self._replicas = kept
        self._local_eligible = None

    def choose(
        self,
        now: float,
        *,
        exclude: Collection[str] = (),
        affinity: PromptAffinity | None = None,
    ) -> Result[Backend, NoBackendError | PoolBusyError]:
        """Choose the backend for a call.

        Args:
            now: Local monotonic time in seconds.
            exclude: Ids of backends that were tried before for the same request.
            affinity: Result of `affinity.prompt_affinity`; None to balance by load only.

        Returns:
            The backend, or an error with the time after which to retry.
        """
        pool = self._pool
        if pool is None:
            return Err(NoBackendError(detail="no such pool", retry_after_seconds=None))
        if not exclude and affinity is None:
            fast_choice = self._choose_fast_path(pool, now)
            if fast_choice is not None:
                return Ok(fast_choice.backend)
        eligible = [
            replica
            for backend_id, replica in self._replicas.items()
            if backend_id not in exclude and replica.is_eligible(pool)
        ]
        if not eligible:
            return Err(_no_backend_error(pool))
        candidates = self._available_replicas(eligible, now)
        if not candidates:
            return Err(_pool_busy_error(eligible, now))
        return Ok(self._choose_among(candidates, affinity, now).backend)

    def _available_replicas(self, eligible: Sequence[Replica], now: float) -> list[Replica]:
        """Return the replicas that may get another call: healthy, not backing off, a slot free."""
        settings = self._settings
        healthy = exclude_unhealthy(
            eligible, settings.unanswered_status_limit, settings.panic_share, now
        )
        return [
            replica
            for replica in healthy
            if replica.has_free_slot() and now >= replica.back_off_until
        ]

    def _choose_among(
        self, candidates: Sequence[Replica], affinity: PromptAffinity | None, now: float
    ) -> Replica:
        settings = self._settings
        if affinity is not None:
            return choose_by_affinity(candidates, affinity, settings.bounded_load_factor, now)
        return choose_by_zone(candidates, self._zone, settings.spill_utilisation, self._random, now)

    def _choose_fast_path(self, pool: Pool, now: float) -> Replica | None:
        """Choose the less utilized of two local replicas if healthy and below `spill_utilisation`.

        Covers the common case at a cost that does not grow with the subset. The utilization of such
        a replica cannot exceed that of a remote replica by `spill_utilisation`, so the full rules
        allow the replica too. Returns None if the full rules must decide.
        """
        local = self._local_eligible
        if local is None:
            local = self._local_eligible = [
                replica
                for replica in self._replicas.values()
                if replica.backend.zone == self._zone and replica.is_eligible(pool)
            ]
        if not local:
            return None
        unanswered_limit = self._settings.unanswered_status_limit
        first, second = (local[0], local[0]) if len(local) == 1 else draw_two(local, self._random)
        first_utilisation = first.utilization(now)
        second_utilisation = second.utilization(now)
        if second_utilisation < first_utilisation:
            first, second = second, first
            first_utilisation = second_utilisation
        if first_utilisation > self._settings.spill_utilisation:
            return None
        return first if first.can_accept(unanswered_limit, now) else None

    def is_usable(self, backend_id: str) -> bool:
        """Return whether a replica that was chosen earlier is still eligible."""
        replica = self._replicas.get(backend_id)
        return replica is not None and self._pool is not None and replica.is_eligible(self._pool)

    def record_call_start(self, backend_id: str, now: float) -> None:
        """Record that a call to a replica was sent or that a slot for it is reserved."""
        replica = self._replicas.get(backend_id)
        if replica is not None:
            replica.in_flight += 1
            replica.breaker.record_call_start(now)

    def record_call_end(
        self,
        backend_id: str,
        result: CallResult,
        now: float,
        *,
        retry_after_seconds: float | None = None,
        is_draining: bool = False,
    ) -> None:
        """Record the end of a call, and free its slot.

        Args:
            backend_id: The replica; ignored if it is no longer in the subset.
            result: What the end shows about the replica.
            now: Local monotonic time in seconds.
            retry_after_seconds: `Retry-After` of a refusal, if it had one.
            is_draining: Whether the response said that the replica is draining.
        """
        replica = self._replicas.get(backend_id)
        if replica is None:
            return
        in_flight = replica.in_flight
        replica.in_flight = max(0, in_flight - 1)
        if is_draining:
            replica.signals.record_draining_refusal(now)
            self._local_eligible = None
        if result is CallResult.SUCCESS:
            replica.breaker.record_success(now)
            replica.limit.record_success()
        elif result is CallResult.REFUSED:
            self._record_refusal(replica, in_flight, retry_after_seconds, now)
        elif result is CallResult.FAILURE:
            replica.breaker.record_failure(now)
        else:
            replica.breaker.record_inconclusive()

    def record_status(
        self, backend_id: str, status: BackendStatus, requested_at: float, now: float
    ) -> None:
        """Record a status response.

        Args:
            backend_id: The replica; ignored if it is no longer in the subset.
            status: Status of the replica; ignored if older than the last status.
            requested_at: Local monotonic time at which the status request was sent.
            now: Local monotonic time in seconds.
        """
        replica = self._replicas.get(backend_id)
        if replica is None:
            return
        replica.unanswered_status_requests = 0
        previous = replica.status
        if not replica.signals.record_report(status.state_report(), requested_at):
            return
        if previous is not None and previous.incarnation != status.incarnation:
            replica.hints.clear()
        replica.status = status
        self._local_eligible = None
        replica.load.record(status.load_report(), replica.in_flight, now)

    def record_unanswered_status(self, backend_id: str) -> None:
        """Record a status request without a valid response."""
        replica = self._replicas.get(backend_id)
        if replica is not None:
            replica.unanswered_status_requests += 1

    def record_cache_events(self, backend_id: str, events: CacheEvents, incarnation: int) -> None:
        """Update the hints about an engine's prefix cache.

        Args:
            backend_id: The engine.
            events: Response of the engine.
            incarnation: Incarnation of the engine when the request was sent; events of an earlier
                incarnation are ignored.
        """
        replica = self._replicas.get(backend_id)
        if replica is None or replica.status is None or replica.status.incarnation != incarnation:
            return
        for event in events.events:
            if event.kind == "stored":
                replica.hints.record_stored(event.prefix_digest)
            else:
                replica.hints.record_evicted(event.prefix_digest)
        replica.hints.next_sequence = max(replica.hints.next_sequence, events.next)

    def apply_machine_list(self, machines: MachineList) -> None:
        """Update the draining signals from the platform's machine list."""
        machines.update_signals(
            (replica.backend.address, replica.signals) for replica in self._replicas.values()
        )
        self._local_eligible = None

    def free_slots(self) -> int:
        """Return the number of free slots of all eligible replicas."""
        pool = self._pool
        if pool is None:
            return 0
        return sum(
            max(0, replica.limit.value - replica.in_flight)
            for replica in self._replicas.values()
            if replica.is_eligible(pool)
        )

    def _record_refusal(
        self, replica: Replica, in_flight: int, retry_after_seconds: float | None, now: float
    ) -> None:
        """Back off from a replica that refused; its breaker counts the response as a success."""
        replica.breaker.record_success(now)
        replica.limit.record_refusal(in_flight)
        requested_seconds = retry_after_seconds
        if requested_seconds is None:
            requested_seconds = self._settings.back_off_default_seconds
        back_off_seconds = min(max(0.0, requested_seconds), self._settings.back_off_maximum_seconds)
        replica.back_off_until = max(replica.back_off_until, now + back_off_seconds)


def _no_backend_error(pool: Pool) -> NoBackendError:
    return NoBackendError(
        detail=f"no replica of {pool.name} can take work",
        retry_after_seconds=NO_BACKEND_RETRY_AFTER_SECONDS,
    )


def _pool_busy_error(eligible: Sequence[Replica], now: float) -> PoolBusyError:
    """Return the error for a pool whose replicas are all busy.

    Its retry delay is the time until the first replica's back-off ends, but at least
    `MINIMUM_BUSY_RETRY_AFTER_SECONDS`.
    """
    remaining_seconds = [replica.back_off_until - now for replica in eligible]
    return PoolBusyError(
        detail="every replica is at its limit",
        retry_after_seconds=max(MINIMUM_BUSY_RETRY_AFTER_SECONDS, min(remaining_seconds)),
    )
