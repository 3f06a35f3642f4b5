"""The models detect the removal of each check of the state machine."""

import random
from collections.abc import Callable
from typing import Any

import pytest

from merlinstand.control import claims, command_ids, leases, ledger, objects, state_machine
from merlinstand.control.slot_ranges import SlotRanges
from tests.control import models

SEEDS = 200


def _nothing(*_arguments: Any) -> None:
    return None


def _always(*_arguments: Any) -> bool:
    return True


def _never(*_arguments: Any) -> bool:
    return False


def _newest_attempt(command: Any, consumer: ledger.ConsumerLedger) -> ledger.Attempt | None:
    return None if command.batch == consumer.next_batch else consumer.attempts[-1]


def _state_without_attempts(whole: ledger.JobLedger) -> ledger.JobLedgerState:
    consumers = {
        name: ledger.ConsumerState(consumer.next_batch, consumer.acknowledged_nonce, ())
        for name, consumer in whole.consumers.items()
    }
    return ledger.JobLedgerState(consumers, whole.used.ranges())


MUTANTS = [
    (models.play_ledger, SlotRanges, "__contains__", _never),
    (models.play_ledger, ledger.JobLedger, "_mark_used", _nothing),
    (models.play_ledger, ledger.JobLedger, "_check_slots", _nothing),
    (models.play_ledger, ledger, "_delivered_attempt", _newest_attempt),
    (models.play_ledger, ledger, "_check_staleness", _nothing),
    (models.play_ledger, ledger, "_check_position", _nothing),
    (models.play_ledger, ledger, "_check_nonce", _nothing),
    (models.play_claims, claims, "CLAIM_RETENTION_SECONDS", 0.0),
    (models.play_claims, claims, "_is_owner", _always),
    (models.play_leases, leases, "_is_holder", _always),
    (models.play_leases, leases, "_is_held", _never),
    (models.play_objects, objects.ObjectStore, "_check_revision", _nothing),
    (models.play_objects, command_ids.DeduplicationWindow, "find", _nothing),
    (models.play_replay, state_machine, "ledger_state", _state_without_attempts),
    (models.play_replay, objects.ObjectStore, "restore", _nothing),
]


def _name(mutant: tuple[Callable[..., None], Any, str, Any]) -> str:
    return f"{mutant[0].__name__}-{mutant[2]}"


@pytest.mark.parametrize("mutant", MUTANTS, ids=_name)
def test_model_detects_the_mutant(
    mutant: tuple[Callable[..., None], Any, str, Any], monkeypatch: pytest.MonkeyPatch
) -> None:
    play, owner, name, replacement = mutant
    monkeypatch.setattr(owner, name, replacement)
    with pytest.raises(AssertionError):
        for seed in range(SEEDS):
            play(random.Random(seed))
