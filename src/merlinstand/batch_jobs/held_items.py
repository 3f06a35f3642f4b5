"""Items under which engines have crashed: held back, tried alone, or run apart from one another.

Part of the leading keeper's runner of items. Owns which items are held back; what is held against
an item is decided by the gate of `quarantine`. The items themselves stay accepted: one that may
never run again is listed when its job's time is over, and its trainer waits for the others.
"""

from collections.abc import Callable, Iterable

from merlinstand.batch_jobs.item_run import ItemRun, RunPhase
from merlinstand.common.ids import ContentDigest
from merlinstand.decisions.admission import Admission
from merlinstand.forwarding.quarantine_gate import QuarantineGate
from merlinstand.kernel.effects import Effect, LogEvent


class HeldItems:
    """Items of one leadership that are held back."""

    def __init__(
        self, gate: QuarantineGate, content_of: Callable[[ItemRun], ContentDigest]
    ) -> None:
        """Begin with no item held back.

        Args:
            gate: Decides what may be sent.
            content_of: What an item asks of an engine.
        """
        self._gate = gate
        self._content_of = content_of
        self._held: dict[str, ItemRun] = {}

    def admit(self, run: ItemRun, now: float) -> Admission:
        """Give what may be done with an item now."""
        return self._gate.admit(lambda: self._content_of(run), now)

    def note_begun(self, run: ItemRun) -> None:
        """An item that was admitted apart begins to run."""
        self._gate.record_send(lambda: self._content_of(run))

    def hold_back(self, runs: Iterable[ItemRun], now: float) -> list[Effect]:
        """Take items out of those that wait for an engine that must not run now."""
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
        """Let items that may run now wait for an engine again; gives whether there are any."""
        freed = False
        for run in list(self._held.values()):
            admission = self.admit(run, now)
            if admission is Admission.WAIT:
                self._gate.begin_wait(run.key, self._content_of(run))
            elif admission is not Admission.REJECTED:
                self.end(run)
                run.phase = RunPhase.WAITING
                freed = True
        return freed

    def end(self, run: ItemRun) -> None:
        """An item is held back no more."""
        if self._held.pop(run.key, None) is not None:
            self._gate.end_wait(run.key)
