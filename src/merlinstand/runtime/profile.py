"""Optional profiling of a process."""

from collections.abc import Iterator
from contextlib import contextmanager


@contextmanager
def profiled(path: str) -> Iterator[None]:
    """Profile the block and write cProfile statistics to `path`; does nothing if it is empty."""
    if not path:
        yield
        return
    import cProfile

    profile = cProfile.Profile()
    profile.enable()
    try:
        yield
    finally:
        profile.disable()
        profile.dump_stats(path)
