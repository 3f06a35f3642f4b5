"""Assigns models to engines of different speeds (pure functions).

A training step ends when its longest text is complete, and no text is generated faster than its
engine allows. If models were assigned by the number of engines, a model with only slow engines
could miss its deadline while another model has fast engines to spare. So the expected completion
time of each model is compared with its deadline.

The completion time is the time that a text may wait for its turn plus the minimum time to generate
the longest texts. That minimum is the length of a preemptive schedule on uniform machines (Horvath,
Lam and Sethi, Journal of the ACM 24, 1977): for each n, the n longest texts on the n fastest slots.
At most two engines are reassigned at a time, and only if the cost falls by at least
`MINIMUM_GAIN_SHARE`; a model without an engine gets one immediately.
"""

from collections.abc import Iterable, Mapping, Sequence
from itertools import product

import msgspec

from merlinstand.batch_jobs.engine_assignment import Assignment, single_model
from merlinstand.batch_jobs.state_machine import JobState
from merlinstand.common.ids import BackendId

HETEROGENEOUS_RATIO = 1.3
"""Minimum ratio of the slowest to the fastest per-event time at which engines count as
heterogeneous; momentary load causes smaller differences."""
MINIMUM_GAIN_SHARE = 0.05
"""Share by which the cost must fall for an engine to be reassigned. A weight load takes about this
share of a training step of a few seconds."""
COST_EXPONENT = 8
"""Exponent of the norm that combines the models' deadline ratios. The highest ratio dominates; the
other ratios matter where the highest cannot be reduced."""
SAMPLED_LENGTHS = 32
"""Number of sampled lengths that represent all texts of a model."""
MAXIMUM_CONCURRENT_JOBS = 3.0
"""Upper bound on the assumed number of concurrent jobs of one model."""


class EngineRate(msgspec.Struct, frozen=True):
    """The capacity of one engine."""

    backend_id: BackendId
    slots: int
    event_seconds: float
    """Time per event of one run in seconds: the minimum over the last seconds."""


class ModelWorkload(msgspec.Struct, frozen=True):
    """The work requested by the jobs of one model, as the mean of its newest jobs."""

    lengths: tuple[float, ...]
    """Sampled lengths of its texts, longest first, in a unit common to all models. Each sample
    represents the same number of texts."""
    text_count: float
    """Number of texts to generate within `deadline_seconds`."""
    deadline_seconds: float
    """Time from a job's acceptance to its deadline."""


NO_WORKLOAD = ModelWorkload((), 0.0, 1.0)
"""The workload of a model without jobs, which keeps one engine."""


def workload_of_jobs(jobs: Sequence[JobState], deadline_seconds: float) -> ModelWorkload | None:
    """Return the workload of a model's newest jobs; None if lengths or the deadline are unknown.

    Args:
        jobs: Jobs of one model, newest first.
        deadline_seconds: Time from a job's acceptance to its deadline.
    """
    lengths = sorted(
        (float(item.expected_tokens) for job in jobs for item in job.job.items), reverse=True
    )
    if not lengths or lengths[-1] <= 0.0 or deadline_seconds <= 0.0:
        return None
    text_count = len(lengths) / len(jobs) * _concurrent_jobs(jobs, deadline_seconds)
    sample = tuple(
        lengths[(2 * number + 1) * len(lengths) // (2 * SAMPLED_LENGTHS)]
        for number in range(SAMPLED_LENGTHS)
    )
    return ModelWorkload(sample, text_count, deadline_seconds)


def _concurrent_jobs(jobs: Sequence[JobState], deadline_seconds: float) -> float:
    """Return the number of jobs that arrive between the acceptance of a job and its deadline."""
    interval_count = len(jobs) - 1
    seconds = jobs[0].accepted_at - jobs[-1].accepted_at
    if interval_count <= 0 or seconds <= 0.0:
        return 1.0
    return min(MAXIMUM_CONCURRENT_JOBS, max(1.0, deadline_seconds * interval_count / seconds))


def are_heterogeneous(engines: Iterable[EngineRate]) -> bool:
    """Whether engine speeds differ enough to require an assignment by workload."""
    times = [engine.event_seconds for engine in engines]
    return bool(times) and max(times) >= HETEROGENEOUS_RATIO * min(times)


def deadline_ratio(workload: ModelWorkload, engines: Iterable[EngineRate]) -> float:
    """Return a model's expected completion time divided by the time to its deadline.

    The completion time is the time for all work on all slots, which is how long a text may wait,
    plus the minimum time that the longest texts need on the fastest slots.

    Args:
        workload: The model's workload.
        engines: Engines that are assigned the model; without any, the ratio is infinite.
    """
    fastest_first = sorted(engines, key=lambda engine: engine.event_seconds)
    if not fastest_first:
        return float("inf")
    if not workload.lengths:
        return 0.0
    texts_per_length = workload.text_count / len(workload.lengths)
    fastest_slots = _FastestSlotAllocator(fastest_first)
    events = minimum_makespan = 0.0
    for length in workload.lengths:
        events += texts_per_length * length
        minimum_makespan = max(minimum_makespan, events / fastest_slots.take(texts_per_length))
    events_per_second = sum(engine.slots / engine.event_seconds for engine in fastest_first)
    return (events / events_per_second + minimum_makespan) / workload.deadline_seconds


class _FastestSlotAllocator:
    """Allocates slots one after the other, the fastest first."""

    def __init__(self, fastest_first: Sequence[EngineRate]) -> None:
        self._remaining_engines = list(reversed(fastest_first))
        self._free_slots = float(fastest_first[0].slots)
        self._events_per_second = 0.0

    def take(self, slots: float) -> float:
        """Allocate up to `slots` more slots; return events per second of all allocated slots."""
        while self._remaining_engines and slots > 0.0:
            taken = min(slots, self._free_slots)
            self._events_per_second += taken / self._remaining_engines[-1].event_seconds
            self._free_slots -= taken
            slots -= taken
            if self._free_slots <= 0.0:
                self._remaining_engines.pop()
                self._free_slots = (
                    float(self._remaining_engines[-1].slots) if self._remaining_engines else 0.0
                )
        return self._events_per_second


def deadline_ratios(
    engines: Sequence[EngineRate], workloads: Mapping[str, ModelWorkload], assignment: Assignment
) -> dict[str, float]:
    """Return each model's `deadline_ratio` under an assignment."""
    return {
        model: deadline_ratio(
            need, [e for e in engines if model in assignment.get(e.backend_id, frozenset())]
        )
        for model, need in workloads.items()
    }


def assign_by_workload(
    engines: Sequence[EngineRate],
    workloads: Mapping[str, ModelWorkload],
    current: Assignment,
    reassignable: frozenset[BackendId],
) -> Assignment:
    """Assign one model to each engine, keeping `current` unless a change is needed or pays off.

    Unassigned engines get a model, and each model without an engine gets one. If every model had an
    engine already, one engine may be reassigned, or two swapped.

    Args:
        engines: Healthy engines of one service, at least as many as models.
        workloads: Workload by model of the service.
        current: The current assignment.
        reassignable: Engines that may be reassigned, because their last reassignment was long
            enough ago.
    """
    engines_by_model: dict[str, list[EngineRate]] = {model: [] for model in sorted(workloads)}
    unassigned: list[EngineRate] = []
    for engine in engines:
        model = single_model(current.get(engine.backend_id, frozenset()))
        engines_by_model.get(model, unassigned).append(engine)
    builder = _AssignmentBuilder(workloads, engines_by_model)
    for engine in sorted(unassigned, key=lambda engine: (engine.event_seconds, engine.backend_id)):
        builder.assign(engine, builder.most_loaded_model())
    if not builder.serve_unserved_models():
        builder.reassign_once(reassignable)
    return builder.assignment()


class _AssignmentBuilder:
    """Builds an assignment."""

    def __init__(
        self, workloads: Mapping[str, ModelWorkload], engines_by_model: dict[str, list[EngineRate]]
    ) -> None:
        self._workloads = workloads
        self._engines_by_model = engines_by_model
        self._deadline_ratios = {
            model: deadline_ratio(workloads[model], of) for model, of in engines_by_model.items()
        }

    def assign(self, engine: EngineRate, model: str) -> None:
        self._engines_by_model[model].append(engine)
        self._deadline_ratios[model] = deadline_ratio(
            self._workloads[model], self._engines_by_model[model]
        )

    def most_loaded_model(self) -> str:
        """Return the model with the highest deadline ratio; the first of several equal models."""
        return max(self._deadline_ratios, key=lambda model: self._deadline_ratios[model])

    def serve_unserved_models(self) -> bool:
        """Reassign an engine to each model without one, even if it was reassigned recently.

        Returns:
            Whether there were models without engines.
        """
        unserved = [model for model, engines in self._engines_by_model.items() if not engines]
        all_engines = frozenset(
            e.backend_id for engines in self._engines_by_model.values() for e in engines
        )
        for recipient in unserved:
            donors = [
                model for model, engines in self._engines_by_model.items() if len(engines) > 1
            ]
            self._apply(self._best_change(recipient, donors, all_engines, float("inf")))
        return bool(unserved)

    def reassign_once(self, reassignable: frozenset[BackendId]) -> None:
        """Reassign one engine, or swap two, if the gain reaches `MINIMUM_GAIN_SHARE`."""
        cost_limit = _cost(self._deadline_ratios.values()) * (1.0 - MINIMUM_GAIN_SHARE)
        recipient = self.most_loaded_model()
        donors = [model for model in self._engines_by_model if model != recipient]
        self._apply(self._best_change(recipient, donors, reassignable, cost_limit))

    def _best_change(
        self,
        recipient: str,
        donors: Iterable[str],
        reassignable: frozenset[BackendId],
        cost_limit: float,
    ) -> dict[str, list[EngineRate]]:
        """Return the engines of two models after the best change with a cost below `cost_limit`.

        Returns:
            Engines by model; empty if there is no such change.
        """
        best: dict[str, list[EngineRate]] = {}
        for donor in donors:
            taken_candidates = _change_candidates(self._engines_by_model[donor], reassignable)
            returned_candidates = (
                None,
                *_change_candidates(self._engines_by_model[recipient], reassignable),
            )
            for taken, returned in product(taken_candidates, returned_candidates):
                changed = self._engines_after_change(recipient, donor, taken, returned)
                cost = self._cost_after(changed)
                if cost < cost_limit:
                    cost_limit, best = cost, changed
        return best

    def _apply(self, changed: Mapping[str, list[EngineRate]]) -> None:
        for model, engines in changed.items():
            self._engines_by_model[model] = engines
            self._deadline_ratios[model] = deadline_ratio(self._workloads[model], engines)

    def _engines_after_change(
        self, recipient: str, donor: str, taken: EngineRate, returned: EngineRate | None
    ) -> dict[str, list[EngineRate]]:
        recipient_engines = [e for e in self._engines_by_model[recipient] if e is not returned]
        donor_engines = [e for e in self._engines_by_model[donor] if e is not taken]
        recipient_engines.append(taken)
        if returned is not None:
            donor_engines.append(returned)
        return {recipient: recipient_engines, donor: donor_engines}

    def _cost_after(self, changed: Mapping[str, list[EngineRate]]) -> float:
        """Return the cost after a change; ignores models without an engine before and after it."""
        ratios = {
            m: self._deadline_ratios[m] for m, engines in self._engines_by_model.items() if engines
        }
        for model, engines in changed.items():
            ratios[model] = deadline_ratio(self._workloads[model], engines)
        return _cost(ratios.values())

    def assignment(self) -> Assignment:
        return {
            engine.backend_id: frozenset((model,))
            for model, engines in self._engines_by_model.items()
            for engine in engines
        }


def _change_candidates(
    engines: Sequence[EngineRate], reassignable: frozenset[BackendId]
) -> list[EngineRate]:
    """Return the fastest, the median and the slowest reassignable engine.

    Comparing only these bounds the work per assignment for large services.
    """
    candidates = [engine for engine in engines if engine.backend_id in reassignable]
    candidates.sort(key=lambda engine: (engine.event_seconds, engine.backend_id))
    positions = {0, len(candidates) // 2, len(candidates) - 1} if candidates else set()
    return [candidates[place] for place in sorted(positions)]


def _cost(deadline_ratios: Iterable[float]) -> float:
    """Return the `COST_EXPONENT`-norm of the models' deadline ratios."""
    return float(sum(value**COST_EXPONENT for value in deadline_ratios) ** (1.0 / COST_EXPONENT))
