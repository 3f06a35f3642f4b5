"""What a group commit costs the streams of the same process: fsync in the loop or in a thread.

One greenlet wakes every millisecond, as a stream would, and notes how late it was. Another
appends records at a fixed rate; whatever gathered while a sync ran is written and synced
together. Prints one JSON line for each way.

Usage: python benchmarks/fsync_in_loop.py FOLDER [SECONDS]
"""

import json
import os
import sys
import time
from collections.abc import Callable
from pathlib import Path

import gevent
from gevent.event import Event
from gevent.threadpool import ThreadPool

TICK_SECONDS = 0.001
APPENDS_PER_SECOND = 500
RECORD = b"x" * 512


def run(name: str, sync: Callable[[int], None], folder: Path, seconds: float) -> None:
    """Measure one way of syncing."""
    descriptor = os.open(folder / f"fsync-{name}.bin", os.O_WRONLY | os.O_CREAT | os.O_TRUNC)
    end = time.monotonic() + seconds
    late: list[float] = []
    waits: list[float] = []
    queue: list[float] = []
    wake = Event()
    syncs = 0

    def tick() -> None:
        while time.monotonic() < end:
            due = time.monotonic() + TICK_SECONDS
            gevent.sleep(TICK_SECONDS)
            late.append(time.monotonic() - due)

    def append() -> None:
        while time.monotonic() < end:
            queue.append(time.monotonic())
            wake.set()
            gevent.sleep(1 / APPENDS_PER_SECOND)

    def commit() -> None:
        nonlocal syncs
        while time.monotonic() < end:
            wake.wait(0.1)
            wake.clear()
            if not queue:
                continue
            batch = queue[:]
            queue.clear()
            os.write(descriptor, RECORD * len(batch))
            sync(descriptor)
            syncs += 1
            now = time.monotonic()
            waits.extend(now - one for one in batch)

    gevent.joinall([gevent.spawn(function) for function in (tick, append, commit)])
    os.close(descriptor)
    figures = {
        "way": name,
        "syncs_per_second": round(syncs / seconds),
        "appends_per_second": round(len(waits) / seconds),
        "commit_ms": _quantiles(waits),
        "tick_late_ms": _quantiles(late),
    }
    print(json.dumps(figures))


def _quantiles(values: list[float]) -> dict[str, float]:
    ordered = sorted(values)
    ranks = {"p50": 0.5, "p99": 0.99, "max": 1.0}
    last = len(ordered) - 1
    return {name: round(ordered[int(last * rank)] * 1000, 3) for name, rank in ranks.items()}


def main() -> None:
    """Measure all ways in one run."""
    folder = Path(sys.argv[1])
    seconds = float(sys.argv[2]) if len(sys.argv) > 2 else 10.0
    folder.mkdir(parents=True, exist_ok=True)
    pool = ThreadPool(1)
    run("none", lambda _descriptor: None, folder, seconds)
    run("loop", os.fdatasync, folder, seconds)
    run("thread", lambda descriptor: pool.apply(os.fdatasync, (descriptor,)), folder, seconds)


if __name__ == "__main__":
    main()
