"""Memory of the system's own processes over a run, as the kernel tells it."""

import time

import gevent

from merlinstand.runtime.record_writer import RecordWriter
from merlinstand_lab.fleet.fleet import OWN_ROLES, Fleet
from merlinstand_lab.fleet.process_sampling import read_process_use
from merlinstand_lab.records.kinds import MemoryRecord

_INTERVAL_SECONDS = 5.0
"""Seconds between two samples; chosen, not measured."""


class MemorySampler:
    """Records the resident memory of every daemon now and then."""

    def __init__(self, fleet: Fleet, records: RecordWriter) -> None:
        """Begin to sample."""
        self._fleet = fleet
        self._records = records
        self._greenlet = gevent.spawn(self._run)

    def stop(self) -> None:
        """Take the last samples; call it while the daemons still run."""
        self._greenlet.kill()
        self._sample()

    def _run(self) -> None:
        """Sample for ever."""
        while True:
            self._sample()
            gevent.sleep(_INTERVAL_SECONDS)

    def _sample(self) -> None:
        """Record the memory of the daemons that run now."""
        for process in self._fleet.of_roles(*OWN_ROLES):
            process_id = process.process_id
            if process_id is None or not process.is_running():
                continue
            try:
                use = read_process_use(process_id)
            except OSError:
                # It ended just now.
                continue
            record = MemoryRecord(
                node_id=process.spec.name,
                process_id=process_id,
                resident_bytes=use.resident_bytes,
                at=time.monotonic(),
            )
            self._records.write("memory", record)
