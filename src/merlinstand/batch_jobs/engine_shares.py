"""Which engines follow which model where engines differ in speed (pure decisions).

A model's step ends with its longest texts, and a text is made no faster than its engine makes
events. Counting engines is then not enough: a model that has only slow ones loses steps while
another has fast ones to spare. So engines are compared by how soon each model's work could end.

That time is the work that goes before a text, and the least time that the longest texts need: of a
preemptive schedule on machines of unequal speed (Horvath, Lam and Sethi, Journal of the ACM 24,
1977), the longest texts on the fastest slots, for each number of them. Engines change their model
one or two at a time, and only where the worst-off models gain clearly more than a load costs; but
a model without any gets one at once.

Used by `model_assignments` in the leading keeper. Nothing is kept here: needs come from the jobs in
the log, speeds from the engines' events, the assignment so far from whoever calls.
"""

from collections.abc import Iterable, Mapping, Sequence
from itertools import product

import msgspec

from merlinstand.batch_jobs.engine_assignment import Assignment, only_model
from merlinstand.batch_jobs.state_machine import JobState
from merlinstand.common.ids import BackendId

UNEVEN_RATIO = 1.3
"""Engines count as uneven if the slowest takes this many times as long as the fastest: the load of
the moment makes smaller differences."""
LEAST_GAIN = 0.05
"""Share by which the time of the worst-off models must fall for an engine to change its model: of a
step of some seconds, about what an engine loses while it loads."""
WORST_WEIGHT = 8
"""Power by which the models' times are summed up: the worst one counts most, the others decide
where it can't fall."""
SAMPLED_TEXTS = 32
"""Lengths that stand for all texts of a model."""
MOST_JOBS_AT_ONCE = 3.0
"""Jobs of one model that are assumed to be due at once at most."""


class EngineRate(msgspec.Struct, frozen=True):
    """What one engine can do."""

    backend_id: BackendId
    slots: int
    event_seconds: float
    """Time of one event of one run, over some seconds."""


class ModelNeed(msgspec.Struct, frozen=True):
    """What the jobs of one model ask for, in the mean of the newest."""

    lengths: tuple[float, ...]
    """Lengths of its texts, longest first, each standing for as many; in a unit that is the same
    for all models."""
    texts: float
    """Texts that are to be made within the time in which results are due."""
    due_seconds: float
    """That time."""


NO_NEED = ModelNeed((), 0.0, 1.0)
"""Of a model without jobs: it keeps one engine."""


def need_of_jobs(jobs: Sequence[JobState], due_seconds: float) -> ModelNeed | None:
    """Sum up what a model's newest jobs ask for; None if they don't tell.

    Args:
        jobs: Of one model, newest first.
        due_seconds: How long after a job was accepted its results are due.
    """
    lengths = sorted(
        (float(item.expected_tokens) for job in jobs for item in job.job.items), reverse=True
    )
    if not lengths or lengths[-1] <= 0.0 or due_seconds <= 0.0:
        return None
    texts = len(lengths) / len(jobs) * _jobs_at_once(jobs, due_seconds)
    sample = tuple(
        lengths[(2 * number + 1) * len(lengths) // (2 * SAMPLED_TEXTS)]
        for number in range(SAMPLED_TEXTS)
    )
    return ModelNeed(sample, texts, due_seconds)


def _jobs_at_once(jobs: Sequence[JobState], due_seconds: float) -> float:
    """How many jobs come within the time in which one is due."""
    between = len(jobs) - 1
    seconds = jobs[0].accepted_at - jobs[-1].accepted_at
    if between <= 0 or seconds <= 0.0:
        return 1.0
    return min(MOST_JOBS_AT_ONCE, max(1.0, due_seconds * between / seconds))


def are_uneven(engines: Iterable[EngineRate]) -> bool:
    """Whether engines differ so much that counting them isn't enough."""
    times = [engine.event_seconds for engine in engines]
    return bool(times) and max(times) >= UNEVEN_RATIO * min(times)


def lateness(need: ModelNeed, engines: Iterable[EngineRate]) -> float:
    """Give the time in which a model's texts could be made, over the time they have.

    A text waits until the slots have done the work that goes before it, and is then made: all
    work on all slots, and the least time that the longest texts need on the fastest slots.

    Args:
        need: Of the model.
        engines: That follow it; without any, the time is infinite.
    """
    fastest_first = sorted(engines, key=lambda engine: engine.event_seconds)
    if not fastest_first:
        return float("inf")
    if not need.lengths:
        return 0.0
    each = need.texts / len(need.lengths)
    slots = _FastestSlots(fastest_first)
    events = longest = 0.0
    for length in need.lengths:
        events += each * length
        longest = max(longest, events / slots.take(each))
    all_slots = sum(engine.slots / engine.event_seconds for engine in fastest_first)
    return (events / all_slots + longest) / need.due_seconds


class _FastestSlots:
    """Slots given out one after the other, the fastest first."""

    def __init__(self, fastest_first: Sequence[EngineRate]) -> None:
        self._rest = list(reversed(fastest_first))
        self._left = float(fastest_first[0].slots)
        self._rate = 0.0

    def take(self, slots: float) -> float:
        """Give out more slots, as many as there are; returns the events a second of all so far."""
        while self._rest and slots > 0.0:
            taken = min(slots, self._left)
            self._rate += taken / self._rest[-1].event_seconds
            self._left -= taken
            slots -= taken
            if self._left <= 0.0:
                self._rest.pop()
                self._left = float(self._rest[-1].slots) if self._rest else 0.0
        return self._rate


def latenesses(
    engines: Sequence[EngineRate], needs: Mapping[str, ModelNeed], assignment: Assignment
) -> dict[str, float]:
    """Give each model's lateness under an assignment, for whoever shows it."""
    return {
        model: lateness(
            need, [e for e in engines if model in assignment.get(e.backend_id, frozenset())]
        )
        for model, need in needs.items()
    }


def share_engines(
    engines: Sequence[EngineRate],
    needs: Mapping[str, ModelNeed],
    held: Assignment,
    settled: frozenset[BackendId],
) -> Assignment:
    """Assign one model to each engine, with at most one exchange of those held.

    Args:
        engines: Sound engines of one service, no fewer than models.
        needs: By model of the service.
        held: The assignment so far.
        settled: Engines that may change their model: they didn't lately.
    """
    followers: dict[str, list[EngineRate]] = {model: [] for model in sorted(needs)}
    vacant: list[EngineRate] = []
    for engine in engines:
        model = only_model(held.get(engine.backend_id, frozenset()))
        followers.get(model, vacant).append(engine)
    shares = _Shares(needs, followers)
    for engine in sorted(vacant, key=lambda engine: (engine.event_seconds, engine.backend_id)):
        shares.give(engine, shares.worst_off())
    if not shares.fill_empty():
        shares.exchange_once(settled)
    return shares.assignment()


class _Shares:
    """An assignment in the making."""

    def __init__(
        self, needs: Mapping[str, ModelNeed], followers: dict[str, list[EngineRate]]
    ) -> None:
        self._needs = needs
        self._engines = followers
        self._lateness = {model: lateness(needs[model], of) for model, of in followers.items()}

    def give(self, engine: EngineRate, model: str) -> None:
        self._engines[model].append(engine)
        self._lateness[model] = lateness(self._needs[model], self._engines[model])

    def worst_off(self) -> str:
        """Give the model whose work takes longest; of several without engines the first."""
        return max(self._lateness, key=lambda model: self._lateness[model])

    def fill_empty(self) -> bool:
        """Give each model without engines one of another's, also one that changed lately.

        Returns:
            Whether there were such models.
        """
        empty = [model for model, engines in self._engines.items() if not engines]
        everybody = frozenset(e.backend_id for engines in self._engines.values() for e in engines)
        for receiver in empty:
            givers = [model for model, engines in self._engines.items() if len(engines) > 1]
            self._apply(self._best_change(receiver, givers, everybody, float("inf")))
        return bool(empty)

    def exchange_once(self, settled: frozenset[BackendId]) -> None:
        """Let one engine go over, or two change places, if that pays."""
        most = _cost(self._lateness.values()) * (1.0 - LEAST_GAIN)
        receiver = self.worst_off()
        givers = [model for model in self._engines if model != receiver]
        self._apply(self._best_change(receiver, givers, settled, most))

    def _best_change(
        self, receiver: str, givers: Iterable[str], free: frozenset[BackendId], most: float
    ) -> dict[str, list[EngineRate]]:
        """Give the engines of two models after the cheapest change that costs less than `most`."""
        chosen: dict[str, list[EngineRate]] = {}
        for giver in givers:
            offers = _representatives(self._engines[giver], free)
            returns = (None, *_representatives(self._engines[receiver], free))
            for taken, returned in product(offers, returns):
                changed = self._exchanged(receiver, giver, taken, returned)
                cost = self._cost_with(changed)
                if cost < most:
                    most, chosen = cost, changed
        return chosen

    def _apply(self, changed: Mapping[str, list[EngineRate]]) -> None:
        for model, engines in changed.items():
            self._engines[model] = engines
            self._lateness[model] = lateness(self._needs[model], engines)

    def _exchanged(
        self, receiver: str, giver: str, taken: EngineRate, returned: EngineRate | None
    ) -> dict[str, list[EngineRate]]:
        received = [e for e in self._engines[receiver] if e is not returned]
        given = [e for e in self._engines[giver] if e is not taken]
        received.append(taken)
        if returned is not None:
            given.append(returned)
        return {receiver: received, giver: given}

    def _cost_with(self, changed: Mapping[str, list[EngineRate]]) -> float:
        """Cost after a change; models that have no engine before and after it are left out."""
        present = {m: self._lateness[m] for m, engines in self._engines.items() if engines}
        for model, engines in changed.items():
            present[model] = lateness(self._needs[model], engines)
        return _cost(present.values())

    def assignment(self) -> Assignment:
        return {
            engine.backend_id: frozenset((model,))
            for model, engines in self._engines.items()
            for engine in engines
        }


def _representatives(
    engines: Sequence[EngineRate], settled: frozenset[BackendId]
) -> list[EngineRate]:
    """The fastest, the middle and the slowest of those that may change their model."""
    free = [engine for engine in engines if engine.backend_id in settled]
    free.sort(key=lambda engine: (engine.event_seconds, engine.backend_id))
    places = {0, len(free) // 2, len(free) - 1} if free else set()
    return [free[place] for place in sorted(places)]


def _cost(latenesses: Iterable[float]) -> float:
    """One figure for all models, in which the worst counts most."""
    return float(sum(value**WORST_WEIGHT for value in latenesses) ** (1.0 / WORST_WEIGHT))
