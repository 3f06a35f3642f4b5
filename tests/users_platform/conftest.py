"""Fixtures of the tests that start the real programs."""

import fcntl
import os
from collections.abc import Iterator

import pytest


@pytest.fixture(scope="module")
def crowd_lock(tmp_path_factory: pytest.TempPathFactory) -> Iterator[None]:
    """Keep the crowds of other test workers waiting: each takes memory in the kernel, too."""
    shared = tmp_path_factory.getbasetemp()
    shared = shared.parent if os.environ.get("PYTEST_XDIST_WORKER") else shared
    with (shared / "crowd.lock").open("w") as lock:
        fcntl.flock(lock, fcntl.LOCK_EX)
        yield
