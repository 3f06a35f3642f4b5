"""The control leader's side of suspects: takes daemons' news in, gives leave to try.

Part of the control daemon's reducer; `suspects` is what the group agreed on.
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
    """What a daemon is answered about its news."""

    mark: int | None = None
    """Newest news of it that are agreed; None if it told none, or they aren't yet."""
    effects: tuple[Effect, ...] = ()


TOGETHER_SECONDS = 0.05
"""News are agreed at most this often: at once after a quiet time, else with what else comes. When
servers end, each daemon that worked with them has news within the same moment."""
TOGETHER_TIMER = "directory.suspects"


class QuarantineLeader:
    """All news of suspects that one leader gets."""

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
        self._ends: dict[BackendId, dict[ContentDigest, None]] = {}
        """News that wait to be agreed together."""
        self._served: dict[ContentDigest, None] = {}
        self._throttle = Throttle(TOGETHER_TIMER, TOGETHER_SECONDS)

    def begin(self) -> None:
        """A leadership begins: daemons tell again what isn't agreed."""
        self._ends.clear()
        self._served.clear()
        self._throttle.reset()

    def answer(
        self, sender: NodeId, data: bytes | None, group_time: float, now: float
    ) -> ReportAnswer:
        """Take a daemon's news in; call it only while this process may act as leader.

        Args:
            sender: Who tells.
            data: Encoded news, if there are any.
            group_time: Present time by which ends were noted, in seconds.
            now: Local time.
        """
        if not data:
            return ReportAnswer()
        try:
            news = decode_suspect_report(data)
        except MALFORMED_INPUT as error:
            fields = {"daemon": sender, "detail": str(error)}
            return ReportAnswer(effects=(LogEvent("suspects.malformed", fields, "warning"),))
        effects = self._take(sender, news, now)
        mark = None if effects else news.mark
        return ReportAnswer(mark, (*effects, *self._try_next(news, group_time, now)))

    def _take(self, sender: NodeId, news: SuspectReport, now: float) -> list[Effect]:
        """Have what isn't agreed yet agreed, at once or soon; nothing if all is."""
        suspects = self._suspects
        ends = tuple(end for end in news.ends if suspects.is_news(end))
        told = {content for end in ends for content in end.contents}
        served = tuple(c for c in news.served if suspects.is_held_against(c) or c in told)
        if not ends and not served:
            return []
        fields = {
            "daemon": sender,
            "ended": ",".join(end.backend_id for end in ends),
            "contents": sum(len(end.contents) for end in ends),
            "served": len(served),
        }
        log = LogEvent("suspects.told", fields)
        had_news = bool(self._ends or self._served)
        for end in ends:
            self._ends.setdefault(end.backend_id, {}).update(dict.fromkeys(end.contents))
        self._served.update(dict.fromkeys(served))
        if had_news:
            return [log]
        return [log, *self._throttle.act_or_wait(self.agree, now)]

    def agree(self, now: float) -> list[Effect]:
        """Propose the news that wait; called also when `TOGETHER_TIMER` fires."""
        if not self._ends and not self._served:
            return []
        ends = tuple(ServerCrash(b, tuple(contents)) for b, contents in self._ends.items())
        command = NoteCrashes(ends, tuple(self._served))
        self._ends.clear()
        self._served.clear()
        self._throttle.note_act(now)
        return self._propose(command, now) or []

    def _try_next(self, news: SuspectReport, group_time: float, now: float) -> list[Effect]:
        for content in news.wishes:
            if self._suspects.may_try(content, group_time):
                return self._propose(BeginTrial(content, news.asker), now) or []
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
