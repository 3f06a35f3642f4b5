"""The control leader's side of suspects: takes daemons' reports in, permits trials.

Owns reports that wait to be agreed together; `replica` holds what the group agreed on. Part of the
control daemon's reducer.
"""

from collections.abc import Callable

import msgspec

from merlinstand.common.decoding import MALFORMED_INPUT
from merlinstand.common.ids import BackendId, ContentDigest, NodeId
from merlinstand.kernel.effects import Effect, LogEvent
from merlinstand.kernel.throttle import Throttle
from merlinstand.quarantine.commands import (
    AllowTrials,
    BeginTrial,
    EndTrial,
    NoteCrashes,
    QuarantineCommand,
)
from merlinstand.quarantine.messages import ServerCrash, SuspectReport, decode_suspect_report
from merlinstand.quarantine.replica import Suspects


class ReportAnswer(msgspec.Struct, frozen=True):
    """What a daemon is answered about its report."""

    acknowledged: int | None = None
    """Sequence number of its newest report, if all that it holds is agreed; None otherwise."""
    effects: tuple[Effect, ...] = ()


TOGETHER_SECONDS = 0.05
"""Shortest time between two entries of the log about crashes: see `Throttle`. When servers crash,
each daemon that worked with them reports within the same moment."""
TOGETHER_TIMER = "directory.suspects"
"""The owner calls `agree` when it fires."""


class QuarantineLeader:
    """All reports of suspects that one leader gets."""

    def __init__(
        self,
        suspects: Suspects,
        propose: Callable[[QuarantineCommand, float], list[Effect] | None],
    ) -> None:
        """Begin without any.

        Args:
            suspects: What the group agreed on.
            propose: Proposes a command; None if that can't be done now.
        """
        self._suspects = suspects
        self._propose = propose
        self._crashes: dict[BackendId, dict[ContentDigest, None]] = {}
        """Reported, and not proposed yet."""
        self._served: dict[ContentDigest, None] = {}
        self._throttle = Throttle(TOGETHER_TIMER, TOGETHER_SECONDS)

    def begin(self) -> None:
        """A leadership begins: daemons report again what isn't agreed."""
        self._crashes.clear()
        self._served.clear()
        self._throttle.reset()

    def answer(
        self, sender: NodeId, data: bytes | None, group_time: float, now: float
    ) -> ReportAnswer:
        """Take a daemon's report in; call it only while this process may act as leader.

        Args:
            sender: Who reports.
            data: Encoded report, if there is one.
            group_time: Present time by which crashes were noted, in seconds.
            now: Local time.
        """
        if not data:
            return ReportAnswer()
        try:
            report = decode_suspect_report(data)
        except MALFORMED_INPUT as error:
            fields = {"daemon": sender, "detail": str(error)}
            return ReportAnswer(effects=(LogEvent("suspects.malformed", fields, "warning"),))
        effects = self._take(sender, report, now)
        acknowledged = None if effects else report.sequence
        return ReportAnswer(acknowledged, (*effects, *self._permit_trial(report, group_time, now)))

    def _take(self, sender: NodeId, report: SuspectReport, now: float) -> list[Effect]:
        """Have what isn't agreed yet agreed, at once or soon; nothing if all is."""
        suspects = self._suspects
        crashes = tuple(crash for crash in report.crashes if suspects.is_unknown(crash))
        suspected = {content for crash in crashes for content in crash.contents}
        served = tuple(c for c in report.served if suspects.is_held_against(c) or c in suspected)
        if not crashes and not served:
            return []
        fields = {
            "daemon": sender,
            "ended": ",".join(crash.backend_id for crash in crashes),
            "contents": sum(len(crash.contents) for crash in crashes),
            "served": len(served),
        }
        log = LogEvent("suspects.told", fields)
        is_waiting = bool(self._crashes or self._served)
        for crash in crashes:
            self._crashes.setdefault(crash.backend_id, {}).update(dict.fromkeys(crash.contents))
        self._served.update(dict.fromkeys(served))
        if is_waiting:
            return [log]
        return [log, *self._throttle.act_or_wait(self.agree, now)]

    def agree(self, now: float) -> list[Effect]:
        """Propose what was reported; called also when `TOGETHER_TIMER` fires."""
        if not self._crashes and not self._served:
            return []
        crashes = tuple(ServerCrash(b, tuple(c)) for b, c in self._crashes.items())
        command = NoteCrashes(crashes, tuple(self._served))
        self._crashes.clear()
        self._served.clear()
        self._throttle.note_act(now)
        return self._propose(command, now) or []

    def _permit_trial(self, report: SuspectReport, group_time: float, now: float) -> list[Effect]:
        for content in report.trial_requests:
            if self._suspects.may_try(content, group_time):
                return self._propose(BeginTrial(content, report.asker), now) or []
        return []

    def tick(self, group_time: float, now: float) -> list[Effect]:
        """End what has had its time: the trial under way, and quarantines."""
        suspects = self._suspects
        effects: list[Effect] = []
        if suspects.trial is not None and suspects.is_trial_late(group_time):
            effects.extend(self._propose(EndTrial(suspects.trial.trial.number), now) or [])
        due = suspects.due_for_trial(group_time)
        if due:
            effects.extend(self._propose(AllowTrials(due), now) or [])
        return effects
