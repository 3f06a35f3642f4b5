"""Data folders of every role as an earlier program wrote them, and days that begin from them.

python -m tests.pinned.folders --write     write the folders and what follows from them anew
"""

import json
import shutil
import sys
import tempfile
from pathlib import Path

import pytest

from merlinstand.storage.folder import INCARNATION_NAME, write_file_atomically
from merlinstand.storage.incarnation import encode_incarnation
from merlinstand.storage.store import DurableStore
from merlinstand_lab.simulator.process import SimulatedProcess
from merlinstand_lab.simulator.simulation import Simulation
from tests.pinned.decisions import Case, Day, Digests, Scenario, calm, slow_engines, small_snapshots

FOLDER = Path(__file__).parent / "folders"
DIGESTS_FILE = FOLDER / "decisions.json"
WRITTEN_AT_SECONDS = 14.0
"""Steps, orders and bookings are under way then."""
RESUMED_SECONDS = 10.0

CASES: dict[str, Case] = {
    "users-machines": Day(21, calm, {"has_tenants": True, "has_cold": True}),
    "users-machines-long-items": Day(22, slow_engines, {"groups": 8}),
    "users-machines-snapshots": Day(23, small_snapshots, {"has_tenants": True, "groups": 8}),
    "whole-fleet": Scenario(3, "calm"),
}


def write_folders(name: str) -> None:
    """Play a case and keep what its processes have on disk."""
    simulation = CASES[name].play(pytest.MonkeyPatch(), WRITTEN_AT_SECONDS)
    shutil.rmtree(FOLDER / name, ignore_errors=True)
    for node_id, process in simulation.processes.items():
        is_product = type(process.reducer).__module__.startswith("merlinstand.")
        if is_product and (process.disk.snapshot is not None or process.disk.records):
            _write(FOLDER / name / node_id, process)


def _write(folder: Path, process: SimulatedProcess) -> None:
    disk = process.disk
    store = DurableStore.open(folder).unwrap()
    store.append(disk.records)
    store.sync().unwrap()
    if disk.snapshot is not None:
        store.save_snapshot(disk.snapshot, disk.records).unwrap()
    store.close()
    (folder / INCARNATION_NAME).unlink()
    write_file_atomically(folder / INCARNATION_NAME, encode_incarnation(disk.incarnation))


def resumed_digests(name: str) -> Digests:
    """Begin a case from the folders kept of it, and give the digests of what is decided."""

    def load(simulation: Simulation) -> None:
        with tempfile.TemporaryDirectory() as copy:
            shutil.copytree(FOLDER / name, copy, dirs_exist_ok=True)
            for folder in sorted(Path(copy).iterdir()):
                _load(folder, simulation.processes[folder.name])

    return CASES[name].trace(pytest.MonkeyPatch(), RESUMED_SECONDS, prepare=load).digests()


def _load(folder: Path, process: SimulatedProcess) -> None:
    store = DurableStore.open(folder).unwrap()
    recovered = store.recovered
    store.close()
    process.disk.incarnation = recovered.incarnation
    process.disk.snapshot = recovered.snapshot
    process.disk.records = list(recovered.records)


def pinned() -> dict[str, Digests]:
    """Give the digests that are kept in the repository."""
    digests: dict[str, Digests] = json.loads(DIGESTS_FILE.read_text())
    return digests


if __name__ == "__main__":
    if sys.argv[1:] == ["--write"]:
        for case in CASES:
            write_folders(case)
        found = {case: resumed_digests(case) for case in CASES}
        DIGESTS_FILE.write_text(json.dumps(found, indent=1) + "\n")
