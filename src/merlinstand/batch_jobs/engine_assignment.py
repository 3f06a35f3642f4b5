"""Which engines keep which model's weights new (a pure decision).

Loading a version costs an engine about a second and what it has cached, so where several models
share a service each engine follows only some of them: shares follow the models' demand.

Used by `model_assignments` in the leading keeper.
"""

from collections.abc import Iterable, Mapping, Sequence

from merlinstand.common.ids import BackendId

Assignment = dict[BackendId, frozenset[str]]
"""Models that each engine follows."""


def engine_quotas(engine_count: int, demand: Mapping[str, float]) -> dict[str, int]:
    """Share engines out by Sainte-Laguë's method, at least one for each model.

    Args:
        engine_count: Engines to share out; no fewer than models.
        demand: Work of each model, in any unit.
    """
    quotas = dict.fromkeys(sorted(demand), 1)
    for _ in range(engine_count - len(quotas)):
        neediest = max(quotas, key=lambda model: (demand[model] / (2 * quotas[model] + 1), model))
        quotas[neediest] += 1
    return quotas


def assign_engines(
    engines: Sequence[BackendId], demand: Mapping[str, float], held: Assignment
) -> Assignment:
    """Assign models to engines, with as few changes as possible.

    Args:
        engines: Sound engines of one service, best ones first: each model gets its share of them.
        demand: Work of each model of the service.
        held: The assignment so far.
    """
    if not demand:
        return {}
    models = sorted(demand)
    if len(models) == 1:
        return dict.fromkeys(engines, frozenset(models))
    if len(engines) < len(models):
        return _several_each(engines, models)
    quotas = engine_quotas(len(engines), demand)
    assignment: Assignment = {}
    for engine in engines:
        model = only_model(held.get(engine, frozenset()))
        if model in quotas and quotas[model] > 0:
            quotas[model] -= 1
            assignment[engine] = frozenset((model,))
    vacant = _in_turn(models, quotas)
    free = [engine for engine in engines if engine not in assignment]
    for engine, model in zip(free, vacant, strict=True):
        assignment[engine] = frozenset((model,))
    return assignment


def apparent_assignment(lags: Mapping[BackendId, Mapping[str, int]]) -> Assignment:
    """Infer from the engines' versions which model each has followed so far.

    Args:
        lags: By engine and model, how many versions it is behind.

    Returns:
        The model that an engine is least behind with; nothing for engines that don't show it.
    """
    apparent: Assignment = {}
    for engine, of_model in lags.items():
        least = min(of_model.values(), default=0)
        nearest = [model for model, lag in of_model.items() if lag == least]
        if len(nearest) == 1:
            apparent[engine] = frozenset(nearest)
    return apparent


def _several_each(engines: Sequence[BackendId], models: Sequence[str]) -> Assignment:
    followed: dict[BackendId, set[str]] = {engine: set() for engine in engines}
    for number, model in enumerate(models):
        if engines:
            followed[engines[number % len(engines)]].add(model)
    return {engine: frozenset(names) for engine, names in followed.items()}


def _in_turn(models: Sequence[str], vacancies: Mapping[str, int]) -> list[str]:
    """Models by turns, each as often as it lacks engines."""
    most = max(vacancies.values(), default=0)
    return [model for turn in range(most) for model in models if vacancies[model] > turn]


def only_model(models: Iterable[str]) -> str:
    """Give the one model of an engine; empty if it follows several, or none."""
    names = list(models)
    return names[0] if len(names) == 1 else ""
