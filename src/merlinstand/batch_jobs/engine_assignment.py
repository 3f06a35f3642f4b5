"""Assigns models to engines in proportion to demand (pure functions).

An engine keeps the weights of its assigned models current. Loading a version takes about a second
and drops the engine's cache, so where several models share a service, each engine is assigned only
some of them.
"""

from collections.abc import Iterable, Mapping, Sequence

from merlinstand.common.ids import BackendId

Assignment = dict[BackendId, frozenset[str]]
"""Assigned models by engine."""


def engine_quotas(engine_count: int, demand: Mapping[str, float]) -> dict[str, int]:
    """Allocate engines by the Sainte-Laguë method, at least one for each model.

    Args:
        engine_count: Number of engines; at least the number of models.
        demand: Work by model, in any unit.
    """
    quotas = dict.fromkeys(sorted(demand), 1)
    for _ in range(engine_count - len(quotas)):
        neediest = max(quotas, key=lambda model: (demand[model] / (2 * quotas[model] + 1), model))
        quotas[neediest] += 1
    return quotas


def assign_engines(
    engines: Sequence[BackendId], demand: Mapping[str, float], current: Assignment
) -> Assignment:
    """Assign models to engines, with as few changes as possible.

    Args:
        engines: Healthy engines of one service, best first; each model gets a proportional share of
            the best engines.
        demand: Work by model of the service, in any unit.
        current: The current assignment.
    """
    if not demand:
        return {}
    models = sorted(demand)
    if len(models) == 1:
        return dict.fromkeys(engines, frozenset(models))
    if len(engines) < len(models):
        return _assign_several_models(engines, models)
    quotas = engine_quotas(len(engines), demand)
    assignment: Assignment = {}
    for engine in engines:
        model = single_model(current.get(engine, frozenset()))
        if model in quotas and quotas[model] > 0:
            quotas[model] -= 1
            assignment[engine] = frozenset((model,))
    missing_models = _round_robin(models, quotas)
    unassigned = [engine for engine in engines if engine not in assignment]
    for engine, model in zip(unassigned, missing_models, strict=True):
        assignment[engine] = frozenset((model,))
    return assignment


def infer_assignment(lags: Mapping[BackendId, Mapping[str, int]]) -> Assignment:
    """Infer the current assignment from the weight versions of the engines.

    Args:
        lags: Number of versions that an engine is behind, by engine and model.

    Returns:
        The model with the smallest lag, by engine. Engines on which several models have the
        smallest lag are omitted.
    """
    inferred: Assignment = {}
    for engine, model_lags in lags.items():
        minimum = min(model_lags.values(), default=0)
        closest = [model for model, lag in model_lags.items() if lag == minimum]
        if len(closest) == 1:
            inferred[engine] = frozenset(closest)
    return inferred


def _assign_several_models(engines: Sequence[BackendId], models: Sequence[str]) -> Assignment:
    assigned: dict[BackendId, set[str]] = {engine: set() for engine in engines}
    for number, model in enumerate(models):
        if engines:
            assigned[engines[number % len(engines)]].add(model)
    return {engine: frozenset(names) for engine, names in assigned.items()}


def _round_robin(models: Sequence[str], vacancies: Mapping[str, int]) -> list[str]:
    """List models round-robin, each as often as it needs another engine."""
    rounds = max(vacancies.values(), default=0)
    return [
        model
        for round_number in range(rounds)
        for model in models
        if vacancies[model] > round_number
    ]


def single_model(models: Iterable[str]) -> str:
    """Return the only model; empty if there are several or none."""
    names = list(models)
    return names[0] if len(names) == 1 else ""
