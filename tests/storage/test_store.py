"""Recovery of the store, also after crashes between any two file operations."""

import os
from collections.abc import Callable
from pathlib import Path

import pytest

from merlinstand.storage import folder as folder_module
from merlinstand.storage import journal_format_v1
from merlinstand.storage.errors import (
    CorruptJournalError,
    CorruptSnapshotError,
    FileOperationError,
    FolderInUseError,
    IncompleteFolderError,
)
from merlinstand.storage.folder import journal_path, snapshot_path
from merlinstand.storage.store import DurableStore


class Crash(BaseException):
    """Simulated crash of the process."""


def reopen(store: DurableStore, path: Path) -> DurableStore:
    store.close()
    return DurableStore.open(path).unwrap()


def test_new_folder_gets_a_persistent_incarnation(tmp_path: Path) -> None:
    store = DurableStore.open(tmp_path / "data").unwrap()
    first = store.recovered
    assert first.incarnation > 0
    assert (first.snapshot, first.records) == (None, ())
    assert reopen(store, tmp_path / "data").recovered.incarnation == first.incarnation


def test_emptied_folder_gets_a_new_incarnation(tmp_path: Path) -> None:
    store = DurableStore.open(tmp_path).unwrap()
    store.close()
    for path in tmp_path.iterdir():
        path.unlink()
    assert reopen(store, tmp_path).recovered.incarnation != store.recovered.incarnation


def test_synced_records_are_recovered_and_unsynced_ones_are_not(tmp_path: Path) -> None:
    store = DurableStore.open(tmp_path).unwrap()
    store.append([b"a", b""])
    store.append([b"b"])
    assert store.sync().is_ok()
    store.append([b"lost"])
    store = reopen(store, tmp_path)
    assert store.recovered.records == (b"a", b"", b"b")
    store.release_recovered()
    assert store.recovered.records == ()
    store.append([b"c"])
    assert store.sync().is_ok()
    assert reopen(store, tmp_path).recovered.records == (b"a", b"", b"b", b"c")


def test_snapshot_replaces_the_journal(tmp_path: Path) -> None:
    store = DurableStore.open(tmp_path).unwrap()
    for number in range(3):
        store.append([b"old"])
        store.sync().unwrap()
        store.save_snapshot(b"state %d" % number, [b"kept %d" % number]).unwrap()
        store.append([b"new %d" % number])
        store.sync().unwrap()
        store = reopen(store, tmp_path)
        assert store.recovered.snapshot == b"state %d" % number
        assert store.recovered.records == (b"kept %d" % number, b"new %d" % number)
    assert len(list(tmp_path.iterdir())) == 4  # incarnation, lock, journal, snapshot


def test_torn_tail_is_truncated_permanently(tmp_path: Path) -> None:
    store = DurableStore.open(tmp_path).unwrap()
    for record in (b"first", b"second"):
        store.append([record])
        store.sync().unwrap()
    path = journal_path(tmp_path, 0)
    path.write_bytes(path.read_bytes()[:-3])
    store = reopen(store, tmp_path)
    assert store.recovered.records == (b"first",)
    assert store.recovered.torn_bytes > 0
    store.append([b"third"])
    store.sync().unwrap()
    assert reopen(store, tmp_path).recovered.records == (b"first", b"third")


def test_damage_before_the_tail_is_rejected_with_the_path(tmp_path: Path) -> None:
    store = DurableStore.open(tmp_path).unwrap()
    for record in (b"first", b"second"):
        store.append([record])
        store.sync().unwrap()
    store.close()
    path = journal_path(tmp_path, 0)
    data = bytearray(path.read_bytes())
    data[data.index(b"first")] ^= 1
    path.write_bytes(bytes(data))
    error = DurableStore.open(tmp_path).unwrap_err()
    assert isinstance(error, CorruptJournalError)
    assert error.path == str(path)


def test_damaged_snapshot_is_rejected(tmp_path: Path) -> None:
    store = DurableStore.open(tmp_path).unwrap()
    store.save_snapshot(b"state", []).unwrap()
    store.close()
    path = snapshot_path(tmp_path, 1)
    path.write_bytes(path.read_bytes()[:-1])
    assert isinstance(DurableStore.open(tmp_path).unwrap_err(), CorruptSnapshotError)


@pytest.mark.parametrize("name", ["incarnation", "journal-0000000000000001"])
def test_folder_with_a_missing_file_is_rejected(tmp_path: Path, name: str) -> None:
    store = DurableStore.open(tmp_path).unwrap()
    store.save_snapshot(b"state", [b"record"]).unwrap()
    store.close()
    (tmp_path / name).unlink()
    assert isinstance(DurableStore.open(tmp_path).unwrap_err(), IncompleteFolderError)


def test_folder_with_a_missing_snapshot_is_rejected(tmp_path: Path) -> None:
    store = DurableStore.open(tmp_path).unwrap()
    store.save_snapshot(b"state", [b"record"]).unwrap()
    store.close()
    snapshot_path(tmp_path, 1).unlink()
    assert isinstance(DurableStore.open(tmp_path).unwrap_err(), IncompleteFolderError)


def test_folder_in_use_is_rejected(tmp_path: Path) -> None:
    store = DurableStore.open(tmp_path).unwrap()
    assert isinstance(DurableStore.open(tmp_path).unwrap_err(), FolderInUseError)
    store.close()
    assert DurableStore.open(tmp_path).is_ok()


def test_version_1_folder_is_upgraded(tmp_path: Path) -> None:
    store = DurableStore.open(tmp_path).unwrap()
    store.save_snapshot(b"state", []).unwrap()
    incarnation = store.recovered.incarnation
    store.close()
    records = b"".join(journal_format_v1.encode_record(r) for r in (b"old", b"older"))
    journal_path(tmp_path, 1).write_bytes(journal_format_v1.encode_header() + records)
    store = DurableStore.open(tmp_path).unwrap()
    assert store.recovered.upgraded_from_version == 1
    assert store.recovered.records == (b"old", b"older")
    store.append([b"new"])
    store.sync().unwrap()
    store = reopen(store, tmp_path)
    assert store.recovered.upgraded_from_version is None
    assert store.recovered.records == (b"old", b"older", b"new")
    assert (store.recovered.snapshot, store.recovered.incarnation) == (b"state", incarnation)


def test_failed_sync_is_permanent(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    store = DurableStore.open(tmp_path).unwrap()

    def fail(descriptor: int) -> None:
        raise OSError("input/output error")

    with monkeypatch.context() as patch:
        patch.setattr(os, "fdatasync", fail)
        store.append([b"record"])
        assert isinstance(store.sync().unwrap_err(), FileOperationError)
    store.append([b"another"])
    assert store.sync().is_err()
    assert store.save_snapshot(b"", []).is_err()


def _crash_after(
    monkeypatch: pytest.MonkeyPatch, operations: int, action: Callable[[], object]
) -> bool:
    """Run an action and crash after `operations` file operations; true if that was reached."""
    count = 0

    def counted(function: Callable[..., object]) -> Callable[..., object]:
        def call(*arguments: object, **named: object) -> object:
            nonlocal count
            if count == operations:
                raise Crash
            count += 1
            return function(*arguments, **named)

        return call

    with monkeypatch.context() as patch:
        for name in ("write", "fsync", "fdatasync", "replace", "unlink"):
            patch.setattr(folder_module.os, name, counted(getattr(os, name)))
        try:
            action()
        except Crash:
            return True
    return False


def test_crash_anywhere_in_a_snapshot_leaves_the_old_or_the_new_state(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    seen = set()
    for operations in range(40):
        path = tmp_path / str(operations)
        store = DurableStore.open(path).unwrap()
        store.save_snapshot(b"old", [b"old record"]).unwrap()
        store.append([b"synced"])
        store.sync().unwrap()
        crashed = _crash_after(
            monkeypatch, operations, lambda s=store: s.save_snapshot(b"new", [b"new record"])
        )
        recovered = reopen(store, path).recovered
        old = (b"old", (b"old record", b"synced"))
        assert (recovered.snapshot, recovered.records) in (old, (b"new", (b"new record",)))
        seen.add(recovered.snapshot)
        if not crashed:
            assert seen == {b"old", b"new"}
            return
    raise AssertionError("more file operations than expected")


def test_first_open_can_be_repeated_after_a_crash_at_any_point(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    for operations in range(20):
        path = tmp_path / str(operations)
        crashed = _crash_after(
            monkeypatch, operations, lambda p=path: DurableStore.open(p).unwrap()
        )
        if not crashed:
            return
        # The lock of a crashed process is released by the operating system.
        (path / "lock").unlink()
        assert DurableStore.open(path).unwrap().recovered.records == ()
    raise AssertionError("more file operations than expected")
