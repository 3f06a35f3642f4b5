"""Hypothesis profile of all tests, without deadlines and draws; fixtures of several packages."""

import fcntl
import os
from collections.abc import Iterator

import pytest
from hypothesis import HealthCheck, settings

settings.register_profile(
    "fixed",
    derandomize=True,
    deadline=None,
    max_examples=60,
    suppress_health_check=[HealthCheck.too_slow, HealthCheck.function_scoped_fixture],
)
settings.load_profile("fixed")


@pytest.fixture(scope="module")
def crowd_lock(tmp_path_factory: pytest.TempPathFactory) -> Iterator[None]:
    """Keep the crowds of other test workers waiting: each takes memory in the kernel, too."""
    shared = tmp_path_factory.getbasetemp()
    shared = shared.parent if os.environ.get("PYTEST_XDIST_WORKER") else shared
    with (shared / "crowd.lock").open("w") as lock:
        fcntl.flock(lock, fcntl.LOCK_EX)
        yield
