"""Selects the finished samples that may be delivered in response to one request."""

from collections.abc import Sequence

from merlinstand.coordinator.composition import Candidate, compose
from merlinstand.coordinator.consumers import ConsumerProgress
from merlinstand.coordinator.context import Context
from merlinstand.coordinator.samples import BatchRequest, Sample
from merlinstand.coordinator.slots import SlotState
from merlinstand.coordinator.staleness import BoundBudget
from merlinstand.coordinator.store import SampleStore
from merlinstand.coordinator.terms import JobTerms


class CandidateSelector:
    """Selects samples that the job's policy allows to be delivered, at the newest known version."""

    def __init__(self, store: SampleStore) -> None:
        """The store must be that of the job whose batches are composed."""
        self._store = store
        self.budget = BoundBudget()
        """Limits how many samples at the staleness bound an earlier batch could have included."""

    def compose(
        self,
        context: Context,
        terms: JobTerms,
        request: BatchRequest,
        reusable_slots: set[int],
        newest: int,
        delivered_at: float,
    ) -> tuple[Candidate, ...]:
        """Compose a new batch.

        Args:
            context: State shared by the coordinator's components.
            terms: The job's terms.
            request: The trainer's request.
            reusable_slots: Slots reserved by the consumer's open batch, which may be used again.
            newest: Newest version known to this coordinator or the trainer.
            delivered_at: When the consumer's last batch was committed.

        Returns:
            The batch, or an empty tuple if there are too few samples.
        """
        if self._store.slots.ready_count + len(reusable_slots) < terms.job.batch_size:
            return ()
        units = [
            candidates
            for unit in self._store.ready_units(reusable_slots)
            if (
                candidates := self._unit_candidates(
                    context, terms, unit, request, newest, delivered_at
                )
            )
        ]
        return compose(units, terms.job.batch_size, self.budget.available())

    def _unit_candidates(
        self,
        context: Context,
        terms: JobTerms,
        unit: Sequence[Sample],
        request: BatchRequest,
        newest: int,
        delivered_at: float,
    ) -> tuple[Candidate, ...]:
        """Return the unit's candidates, or an empty tuple if one may not be delivered."""
        # A version published between commit and receipt would make a sample at the staleness bound
        # exceed it. A sole trainer that has published all its versions cannot publish then; with
        # several trainers, no publication is expected for a while after the last one.
        sole = terms.sole_consumer and request.trainer_version >= newest
        full_bound_allowed = sole or terms.clock.is_publication_unlikely(context.now)
        candidates = []
        for sample in unit:
            within_usual_bound = terms.allows(context, sample.oldest_version, newest)
            if not within_usual_bound and not (
                full_bound_allowed
                and terms.allows(context, sample.oldest_version, newest, at_bound=True)
            ):
                return ()
            weight = terms.weight(context, sample, newest)
            if weight <= 0.0:
                self._drop(context, terms, sample)
                return ()
            passed_over = self._store.durable_at(sample.slot) <= delivered_at
            candidates.append(Candidate(sample, weight, not within_usual_bound, passed_over))
        return tuple(candidates)

    def _drop(self, context: Context, terms: JobTerms, sample: Sample) -> None:
        if self._store.slots.state(sample.slot) is SlotState.READY:
            self._store.drop(sample.slot)
            context.count("samples_dropped_total", job=terms.job.name)

    def replay(
        self,
        context: Context,
        terms: JobTerms,
        progress: ConsumerProgress,
        nonce: str,
        newest: int,
    ) -> tuple[Candidate, ...]:
        """Return the samples of an earlier attempt, if all may still be delivered."""
        candidates = []
        for slot in progress.attempts[nonce]:
            sample = self._store.samples.get(slot)
            if sample is None:
                return ()
            if not terms.allows(context, sample.oldest_version, newest, at_bound=True):
                return ()
            weight = max(0.0, terms.weight(context, sample, newest))
            at_bound = not terms.allows(context, sample.oldest_version, newest)
            candidates.append(Candidate(sample, weight, at_bound))
        return tuple(candidates)
