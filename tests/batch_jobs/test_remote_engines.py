"""Which engines a keeper takes to be in another region."""

import pytest

from merlinstand.batch_jobs.engines import EngineStates
from merlinstand.cluster.backends import Backend
from merlinstand.cluster.daemons import DaemonReport
from merlinstand.cluster.zone_map import ZoneMap
from merlinstand.common.ids import BackendId
from merlinstand.directory.follower import DirectoryFollower

PLACES = ZoneMap({"a1": "a", "a2": "a", "b1": "b"})


@pytest.mark.parametrize(
    ("own", "engine", "expected"),
    [
        pytest.param("a1", "a2", False, id="another zone of the region"),
        pytest.param("a1", "b1", True, id="another region"),
        pytest.param("a1", "", False, id="an engine that tells no zone"),
        pytest.param("", "b1", False, id="a keeper that knows no zone"),
    ],
)
def test_an_engine_is_remote_in_another_region_only(own: str, engine: str, expected: bool) -> None:
    report = DaemonReport(node_id="k", name="k", role="keeper")
    follower = DirectoryFollower((), lambda _now: report)
    engines = EngineStates(follower, PLACES, own)
    backend = Backend(backend_id=BackendId("e"), service="llm", address="e:1", zone=engine)
    follower.set_backends([backend])
    engines.refresh()
    assert engines.states[backend.backend_id].is_remote is expected
