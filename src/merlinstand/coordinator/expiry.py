"""Expires or restarts samples of one job that are, or would become, too old for a batch.

Runs every `jobs.HOUSEKEEPING_INTERVAL_SECONDS`:

1. `expire_old_samples` expires samples that exceed the staleness bound, or will exceed it by the
   time they could be received. The slot is generated again, unless the sample is too long: one that
   would exceed the bound even if it started right after a version was published.
2. `restart_on_newer_weights` restarts samples that are within the bound but would be stale when
   the trainer receives them, as far as engines have spare capacity (see the budget in `refresh`).

`SupplyView` tells which samples are old. The owner passes in the function that cancels a slot's
generation and score.
"""

from collections.abc import Callable, Sequence

from merlinstand.coordinator.context import Context
from merlinstand.coordinator.forecast import Demand
from merlinstand.coordinator.generation import Generation
from merlinstand.coordinator.generations import GenerationManager
from merlinstand.coordinator.lengths import LengthStatistics
from merlinstand.coordinator.refresh import RestartBudget, Window
from merlinstand.coordinator.store import SampleStore
from merlinstand.coordinator.supply import SupplyView
from merlinstand.coordinator.terms import JobTerms

MAXIMUM_BOUND_SHARE = 0.6
"""A sample that expired after more than this part of the time that its bound allows is not
generated again, since it would expire again. Together with other rules, this lowered the share of
tokens that are never delivered from 0.318 to 0.125 (vitrina-calm, 60 s steps, one seed)."""


class Expiry:
    """Expires and restarts the samples of one job that are too old."""

    def __init__(
        self,
        store: SampleStore,
        generations: GenerationManager,
        lengths: LengthStatistics,
        supply: SupplyView,
        cancel_slot: Callable[[int], None],
    ) -> None:
        """Create for the components of one job.

        Args:
            store: The job's finished samples and slots.
            generations: Its generations.
            lengths: Statistics of its sample lengths, in tokens.
            supply: Tells which of its samples are old.
            cancel_slot: Cancels a slot's generation and scoring.
        """
        self._store = store
        self._generations = generations
        self._lengths = lengths
        self._supply = supply
        self._cancel_slot = cancel_slot
        self._restarts = RestartBudget()

    def expire_old_samples(
        self,
        context: Context,
        terms: JobTerms,
        demands: Sequence[Demand],
        cycle_seconds: float | None,
    ) -> bool:
        """Expire the samples that no batch may include any more.

        Args:
            context: State shared by the coordinator's components.
            terms: The job's terms, with its staleness bound.
            demands: Expected batches, earliest first: when a generation could be received.
            cycle_seconds: Shortest cycle of a consumer; None if none is known yet.

        Returns:
            Whether any finished sample expired, which affects planning.
        """
        job = terms.job.name
        expired = self._supply.expired_samples(context, terms)
        for slot in expired:
            context.count("samples_expired_total", job=job, stage="finished")
            self._store.expire_finished(slot)
        for generation in self._supply.generations_to_expire(context, terms, demands):
            slot = generation.slot.slot
            if self._generations.for_slot(slot) is not generation:
                # This sample was just cancelled, because another sample of the same prompt expired.
                continue
            context.log("sample.expired", job=job, slot=slot, tokens=generation.token_count)
            self._generations.cancel(context, generation)
            too_long = self._is_too_long(generation, terms, cycle_seconds)
            self._expire_slot(context, job, slot, too_long=too_long)
        return bool(expired)

    def restart_on_newer_weights(
        self, context: Context, terms: JobTerms, demand: Demand, stream_limit: float
    ) -> None:
        """Restart samples that would be stale in the next batch, within the spare capacity.

        Args:
            context: State shared by the coordinator's components.
            terms: The job's terms.
            demand: The next expected batch, which its consumer does not wait for yet.
            stream_limit: Limit on the job's concurrent streams.
        """
        needed_version = demand.newest_version - terms.bound.usual_versions
        stream_seconds = demand.due_at - context.now
        missing_samples = max(0, demand.count - self._store.slots.ready_count)
        window = Window(
            stream_tokens=stream_seconds * self._generations.speed.tokens_per_second,
            streams=stream_limit,
            needed_tokens=missing_samples * self._lengths.mean(),
        )
        job = terms.job.name
        old = self._supply.old_units(needed_version)
        for slot in self._restarts.choose(old, window, needed_version):
            context.count("samples_begun_again_total", job=job)
            context.log("sample.restarted", job=job, slot=slot, version=needed_version)
            self._cancel_slot(slot)
            self._store.restart(slot)

    def _is_too_long(
        self, generation: Generation, terms: JobTerms, cycle_seconds: float | None
    ) -> bool:
        """Return whether a sample takes so long that it exceeds its bound in any case.

        That is, even if it starts right after a version was published.
        """
        if cycle_seconds is None:
            return False
        most_seconds = terms.bound.maximum_versions * cycle_seconds
        spent_seconds = self._generations.speed.seconds(generation.token_count)
        return spent_seconds > MAXIMUM_BOUND_SHARE * most_seconds

    def _expire_slot(self, context: Context, job: str, slot: int, *, too_long: bool) -> None:
        context.count("samples_expired_total", job=job, stage="generating")
        if self._store.expire(slot, too_long=too_long):
            context.count("slots_given_up_total", job=job, reason="staleness")
            for member in self._store.unit(slot):
                self._cancel_slot(member)
