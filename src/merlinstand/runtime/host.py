"""Hosts one reducer in one process: one loop on one thread."""

from merlinstand.kernel.reducer import Reducer
from merlinstand.runtime.host_settings import HostSettings


def run_host(reducer: Reducer, settings: HostSettings) -> int:
    """Run a reducer until it asks to stop.

    Args:
        reducer: The process's decisions.
        settings: Its name, addresses and folders.

    Returns:
        The process's exit code (from `StopProcess`).
    """
    raise NotImplementedError
