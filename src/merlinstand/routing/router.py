"""One pool as one daemon sees it: who may take work, who is chosen, what came of it.

The choice, in this order (reasons and measurements in docs/DECISIONS/0006-request-routing.md):

1. Only replicas of this daemon's subset (`subset`) that are configured, not leaving and serve the
   pool's model (`Replica.is_eligible`), without those tried before for the same request. None left:
   `NoBackendError`.
2. Of these, replicas whose breaker lets calls through, unless so many are shut out that breakers
   are passed over (`balancer.without_open_breakers`); each must have a free place within its
   adaptive limit and be past the pause that it asked for. None left: `PoolBusyError`.
3. With an affinity, the replica likely to hold the prompt's prefix, within a bound on load
   (`balancer.bounded_affinity`); else the less loaded of two drawn in the own zone, or elsewhere if
   the own zone is too busy (`balancer.prefer_zone`).

Lookups in a healthy pool take a shorter way to a result that these rules allow (`_quick_choice`).
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
"""Seconds until a caller comes back to a pool without any replica that may take work: it needs an
operator, or a server that returns. Chosen, not measured."""

MINIMUM_BUSY_RETRY_AFTER_SECONDS = 0.2
"""Least seconds until a pool whose replicas are all at their limits is tried again. Chosen, not
measured."""


class CallResult(enum.Enum):
    """What a finished call tells about its replica."""

    SUCCESS = "success"
    """It answered."""
    REFUSED = "refused"
    """It refused before any work (503 with `X-Not-Run`): alive but busy."""
    FAILURE = "failure"
    """It could not be reached, timed out, broke off or answered wrongly."""
    INCONCLUSIVE = "abandoned"
    """This side gave up for its own reasons; nothing is known."""


class PoolRouter:
    """Chooses replicas of one pool for one daemon.

    Usage: `configure` at every configuration change, the `…_received` methods as signals come,
    then for each call `choose`, `call_started`, and exactly one `call_finished`.
    """

    def __init__(self, node_id: str, zone: str, random: Random, settings: RouterSettings) -> None:
        """Make a router without replicas."""
        self._node_id = node_id
        self._zone = zone
        self._random = random
        self._settings = settings
        self._pool: Pool | None = None
        self._replicas: dict[str, Replica] = {}
        self._local_eligible: list[Replica] | None = None
        """Eligible replicas of the own zone, until a signal may have changed them."""
        self.retry_budget = new_attempt_budget(settings.retry_budget)

    @property
    def replicas(self) -> Mapping[str, Replica]:
        """Replicas of this daemon's subset, by backend id."""
        return self._replicas

    def configure(
        self, pool: Pool, drains: Mapping[str, Drain], peers: Mapping[str, Sequence[str]]
    ) -> None:
        """Follow the configuration.

        Args:
            pool: The pool as configured now.
            drains: Operators' drains by backend id.
            peers: Node ids of the daemons that share this pool, by their zone.
        """
        self._pool = pool
        chosen = zone_subset(pool.backends, self._zone, self._node_id, peers, self._settings)
        kept: dict[str, Replica] = {}
        for backend in chosen:
            replica = self._replicas.get(backend.backend_id)
            if replica is None or replica.backend.address != backend.address:
                replica = Replica(backend, self._settings, self._random)
            replica.backend = backend
            replica.signals.drained = backend.backend_id in drains
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
        """Choose where a call goes.

        Args:
            now: Local monotonic time.
            exclude: Backend ids that were tried before for the same request.
            affinity: Of `affinity.prompt_affinity`; None balances by load alone.

        Returns:
            The backend, or why there is none. Errors say when to come back.
        """
        pool = self._pool
        if pool is None:
            return Err(NoBackendError(detail="no such pool", retry_after_seconds=None))
        if not exclude and affinity is None:
            replica = self._choose_fast_path(pool, now)
            if replica is not None:
                return Ok(replica.backend)
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
        """Return the replicas that may get another call now."""
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
        """Choose in the own zone if two draws show a healthy replica that need not spill.

        The common case, at a cost that does not grow with the subset; None leaves the choice to
        the full rules. A replica this little utilised cannot exceed a remote one by the spill
        margin, so the result is one that the full rules allow.
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
        """Tell whether a replica chosen a moment ago may still get the call."""
        replica = self._replicas.get(backend_id)
        return replica is not None and self._pool is not None and replica.is_eligible(self._pool)

    def record_call_start(self, backend_id: str, now: float) -> None:
        """Count a call to a replica as in flight."""
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
        leaving: bool = False,
    ) -> None:
        """Take in how a call ended.

        Args:
            backend_id: The replica; ignored if it is no longer in the subset.
            result: What the end tells about the replica.
            now: Local monotonic time.
            retry_after_seconds: The replica's own `Retry-After`, if it refused.
            leaving: The answer said that the replica is leaving.
        """
        replica = self._replicas.get(backend_id)
        if replica is None:
            return
        in_flight = replica.in_flight
        replica.in_flight = max(0, in_flight - 1)
        if leaving:
            replica.signals.record_leaving_refusal(now)
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
        self, backend_id: str, status: BackendStatus, asked_at: float, now: float
    ) -> None:
        """Take in a replica's own report."""
        replica = self._replicas.get(backend_id)
        if replica is None:
            return
        replica.unanswered_status_requests = 0
        previous = replica.status
        if not replica.signals.record_report(status.state_report(), asked_at):
            return
        if previous is not None and previous.incarnation != status.incarnation:
            replica.hints.clear()
        replica.status = status
        self._local_eligible = None
        replica.load.record(status.load_report(), replica.in_flight, now)

    def record_unanswered_status(self, backend_id: str) -> None:
        """A status request got no answer."""
        replica = self._replicas.get(backend_id)
        if replica is not None:
            replica.unanswered_status_requests += 1

    def record_cache_events(self, backend_id: str, events: CacheEvents, incarnation: int) -> None:
        """Take in what an engine says of its prefix cache.

        Args:
            backend_id: The engine.
            events: Its answer.
            incarnation: Of the engine when it was asked; an answer about an earlier life is
                ignored.
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
        """Take in the platform's list of machines."""
        machines.update_signals(
            (replica.backend.address, replica.signals) for replica in self._replicas.values()
        )
        self._local_eligible = None

    def free_slots(self) -> int:
        """Return how many more calls the eligible replicas may have in flight together."""
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
        """Pause a replica that refused: it answers, so its breaker does not open."""
        replica.breaker.record_success(now)
        replica.limit.record_refusal(in_flight)
        asked = retry_after_seconds
        if asked is None:
            asked = self._settings.back_off_default_seconds
        pause_seconds = min(max(0.0, asked), self._settings.back_off_maximum_seconds)
        replica.back_off_until = max(replica.back_off_until, now + pause_seconds)


def _no_backend_error(pool: Pool) -> NoBackendError:
    return NoBackendError(
        detail=f"no replica of {pool.name} can take work",
        retry_after_seconds=NO_BACKEND_RETRY_AFTER_SECONDS,
    )


def _pool_busy_error(eligible: Sequence[Replica], now: float) -> PoolBusyError:
    """Return when the first replica's pause ends, or soon: a place may become free at any time."""
    pauses = [replica.back_off_until - now for replica in eligible]
    return PoolBusyError(
        detail="every replica is at its limit",
        retry_after_seconds=max(MINIMUM_BUSY_RETRY_AFTER_SECONDS, min(pauses)),
    )
