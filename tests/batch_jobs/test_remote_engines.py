"""Detection of engines in another region than the keeper's."""

import pytest

from merlinstand.batch_jobs.engines import EngineStates
from merlinstand.cluster.backends import Backend
from merlinstand.cluster.daemons import DaemonReport
from merlinstand.cluster.zone_map import ZoneMap
from merlinstand.common.ids import BackendId
from merlinstand.directory.follower import DirectoryFollower

ZONE_MAP = ZoneMap({"a1": "a", "a2": "a", "b1": "b"})


@pytest.mark.parametrize(
    ("own", "engine", "expected"),
    [
        pytest.param("a1", "a2", False, id="another zone of the same region"),
        pytest.param("a1", "b1", True, id="another region"),
        pytest.param("a1", "", False, id="engine without a zone"),
        pytest.param("", "b1", False, id="keeper without a zone"),
    ],
)
def test_an_engine_is_remote_only_in_another_region(own: str, engine: str, expected: bool) -> None:
    report = DaemonReport(node_id="k", name="k", role="keeper")
    follower = DirectoryFollower((), lambda _now: report)
    engines = EngineStates(follower, ZONE_MAP, own)
    backend = Backend(backend_id=BackendId("e"), service="llm", address="e:1", zone=engine)
    follower.set_backends([backend])
    engines.refresh()
    assert engines.states[backend.backend_id].is_remote is expected
