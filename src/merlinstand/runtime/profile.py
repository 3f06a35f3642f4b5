"""Optional profiling of a whole process."""

from collections.abc import Iterator
from contextlib import contextmanager


@contextmanager
def profiled(path: str) -> Iterator[None]:
    """Profile the block and write its cProfile statistics; an empty path does nothing."""
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
