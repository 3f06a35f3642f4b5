"""Which engines start to load new weights, and what happens to their runs."""

import pytest

from merlinstand.batch_jobs.engine_interface import LoadMode
from merlinstand.batch_jobs.engines import EngineState
from merlinstand.batch_jobs.load_plan import engines_to_load, load_mode
from merlinstand.cluster.backends import Backend
from merlinstand.cluster.routes import Route, RouteKind, RoutesDocument, RouteTable, Service
from merlinstand.common.ids import BackendId
from tests.batch_jobs.test_runner_scheduling import ROUTE
from tests.routes import make_route


def engine(name: str, running: int = 0, is_draining: bool = False) -> EngineState:
    backend = Backend(
        backend_id=BackendId(name), service="llm", address=f"{name}:1", is_draining=is_draining
    )
    return EngineState(backend, running=running)


@pytest.mark.parametrize(
    ("engines", "loading", "expected"),
    [
        pytest.param([engine("a"), engine("b")], 0, ["a"], id="one of two"),
        pytest.param([engine("a")], 0, ["a"], id="at least one"),
        pytest.param([engine(n) for n in "abcde"], 1, ["a"], id="loading engines count"),
        pytest.param([engine(n) for n in "abcde"], 2, [], id="limit reached"),
        pytest.param(
            [engine("a", running=3), engine("b", running=1), *(engine(n, 9) for n in "cde")],
            0,
            ["b", "a"],
            id="fewest runs first",
        ),
        pytest.param(
            [engine("a"), *(engine(n, is_draining=True) for n in "bcde")],
            0,
            ["a"],
            id="draining engines don't count",
        ),
    ],
)
def test_engines_that_start_to_load(
    engines: list[EngineState], loading: int, expected: list[str]
) -> None:
    chosen = engines_to_load(engines, loading, lambda _state: True, 0.4)
    assert [state.backend.backend_id for state in chosen] == expected


def test_only_engines_that_are_behind_load() -> None:
    engines = [engine("a"), engine("b")]
    chosen = engines_to_load(engines, 0, lambda state: state is engines[1], 1.0)
    assert chosen == [engines[1]]


@pytest.mark.parametrize(
    ("route", "expected"),
    [
        pytest.param(ROUTE, LoadMode.CONTINUE, id="any versions in a text"),
        pytest.param(
            make_route(RouteKind.BATCH, "llm", "/l/", single_version=True),
            LoadMode.DRAIN,
            id="single version per text",
        ),
        pytest.param(
            make_route(RouteKind.BATCH, "other", "/l/", single_version=True),
            LoadMode.CONTINUE,
            id="single version per text, other service",
        ),
    ],
)
def test_load_mode(route: Route, expected: LoadMode) -> None:
    services = (Service(name="llm", models=("m0",)), Service(name="other", models=("m1",)))
    document = RoutesDocument(version=1, routes=(route,), services=services)
    assert load_mode("m0", RouteTable(document)) is expected
