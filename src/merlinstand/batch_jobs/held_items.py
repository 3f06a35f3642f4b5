"""Quarantined (held) items, which must not run now because they are suspected of crashing engines.

Used by the leading keeper's `runner`. `forwarding.quarantine_gate` decides which items may run.
A held item remains part of its job. If it is never released, it is terminated when the job expires.
"""

from collections.abc import Callable, Iterable

from merlinstand.batch_jobs.item_run import ItemRun, RunPhase
from merlinstand.common.ids import ContentDigest
from merlinstand.decisions.admission import Admission
from merlinstand.forwarding.quarantine_gate import QuarantineGate
from merlinstand.kernel.effects import Effect, LogEvent


class HeldItems:
    """Quarantined items of one leadership term, until they may run or their job expires."""

    def __init__(
        self, gate: QuarantineGate, content_of: Callable[[ItemRun], ContentDigest]
    ) -> None:
        """Start without held items.

        Args:
            gate: Decides what may be sent.
            content_of: Returns the digest of an item's request.
        """
        self._gate = gate
        self._content_of = content_of
        self._held: dict[str, ItemRun] = {}

    def admit(self, run: ItemRun, now: float) -> Admission:
        """Return what may be done with an item now."""
        return self._gate.admit(lambda: self._content_of(run), now)

    def record_start(self, run: ItemRun) -> None:
        """Record the start of an item that is suspected of crashing engines."""
        self._gate.record_send(lambda: self._content_of(run))

    def hold(self, runs: Iterable[ItemRun], now: float) -> list[Effect]:
        """Hold the waiting items that must not run now."""
        effects: list[Effect] = []
        for run in runs:
            if self.admit(run, now) in (Admission.WAIT, Admission.REJECTED):
                run.phase = RunPhase.HELD
                self._held[run.key] = run
                fields = {
                    "item": run.item.item_id,
                    "job": run.job_id,
                    "content": self._content_of(run),
                }
                effects.append(LogEvent("item.held", fields))
        return effects

    def review(self, now: float) -> bool:
        """Release held items that may run now; return whether there were any.

        Requests a trial for items that need the control leader's permission.
        """
        has_released = False
        for run in list(self._held.values()):
            admission = self.admit(run, now)
            if admission is Admission.WAIT:
                self._gate.begin_wait(run.key, self._content_of(run))
            elif admission is not Admission.REJECTED:
                self.release(run)
                run.phase = RunPhase.WAITING
                has_released = True
        return has_released

    def release(self, run: ItemRun) -> None:
        """Release an item, if it is held."""
        if self._held.pop(run.key, None) is not None:
            self._gate.end_wait(run.key)
