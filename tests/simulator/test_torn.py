"""Torn tails: recovery finds all that was synced and nothing that was not written."""

import random

from merlinstand_lab.simulator.torn import survive_crash


def test_recovery_finds_the_synced_records_and_whole_syncs_only() -> None:
    durable = [b"", b"one", bytes(100), b"\xff" * 30]
    unsynced = [b"two", b"three" * 40]
    found = {0: 0, 2: 0}
    for seed in range(400):
        records = survive_crash(durable, unsynced, random.Random(seed))
        assert records[:4] == durable
        assert records[4:] in ([], unsynced)
        found[len(records) - 4] += 1
    assert found[0] and found[2], "both ends of a crash must happen"
