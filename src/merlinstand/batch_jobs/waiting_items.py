"""Tells why items wait for an engine: a bounded log line for each long wait, and gauges.

`find_wait_reason` decides the reason (a pure function), `WaitReasons` finds what it needs, and
`WaitMonitor` reports it. Used by the leading keeper's `runner`. Nothing here influences scheduling.
"""

import enum
from collections import Counter
from collections.abc import Callable, Collection, Iterable
from typing import Protocol

from merlinstand.batch_jobs.engines import EngineState
from merlinstand.batch_jobs.item_context import ItemContext
from merlinstand.batch_jobs.item_regions import ItemRegions
from merlinstand.batch_jobs.item_request import ItemRequests
from merlinstand.batch_jobs.item_run import ItemRun, RunPhase
from merlinstand.batch_jobs.placement import ItemRequirements
from merlinstand.kernel.effects import Effect, LogEvent, SetGauge

LONG_WAIT_SECONDS = 2.0
"""An item that has waited this long gets a log line."""
REVIEW_INTERVAL_SECONDS = 1.0
"""Minimum time between two reviews, since a review looks at all unlisted items."""
LINES_PER_REVIEW = 4
"""Maximum log lines of one review; further items are counted in the last line."""


class WaitReason(enum.StrEnum):
    """Why an item is at no engine; the text goes to the log and the metrics.

    Ordered by how near the item is to a run: of several engines, the last reason counts.
    """

    NO_ROUTE = "no_route"
    """No route matches its host and path."""
    NO_ENGINE = "no_engine"
    """Its service has no registered engine."""
    ZONE_NOT_ALLOWED = "zone_not_allowed"
    """No engine is in a zone that may run it."""
    WEIGHTS_TOO_OLD = "weights_too_old"
    """No engine holds weights that are recent enough."""
    DRAINING = "draining"
    """All engines that fit are draining."""
    LOADING = "loading"
    """The engines that fit are loading weights."""
    BACKOFF = "backoff"
    """The engines that fit failed or refused a run a short time ago."""
    FULL = "full"
    """The engines that fit have no free slot."""
    COLD = "cold"
    """An engine that fits has room, but is cold and no attempt is granted."""
    DUE = "due"
    """An engine that fits has room: the item starts with one of the next events."""


def find_wait_reason(
    engines: Collection[EngineState],
    requirements: ItemRequirements,
    is_blocked_as_cold: Callable[[EngineState], bool],
    now: float,
) -> WaitReason:
    """Return why an item that needs an engine has none.

    Args:
        engines: All engines of its service.
        requirements: What the item requires of an engine.
        is_blocked_as_cold: Whether an engine is cold and has no granted attempt.
        now: Local time in seconds.
    """
    if not engines:
        return WaitReason.NO_ENGINE
    zones = requirements.allowed_zones
    in_zone = [state for state in engines if zones is None or state.backend.zone in zones]
    if not in_zone:
        return WaitReason.ZONE_NOT_ALLOWED
    fitting = [state for state in in_zone if requirements.fits(state)]
    if not fitting:
        return WaitReason.WEIGHTS_TOO_OLD
    obstacles = {_obstacle(state, is_blocked_as_cold, now) for state in fitting}
    return next(reason for reason in reversed(WaitReason) if reason in obstacles)


def _obstacle(
    state: EngineState, is_blocked_as_cold: Callable[[EngineState], bool], now: float
) -> WaitReason:
    """Return what keeps an item from a fitting engine; `DUE` if nothing does."""
    if state.backend.is_draining:
        return WaitReason.DRAINING
    if state.is_loading:
        return WaitReason.LOADING
    if state.backoff_until > now:
        return WaitReason.BACKOFF
    if state.free_slots <= 0:
        return WaitReason.FULL
    return WaitReason.COLD if is_blocked_as_cold(state) else WaitReason.DUE


class FindsReasons(Protocol):
    """What `WaitMonitor` needs to know about items."""

    def begin_review(self) -> None:
        """Forget what was found in an earlier review."""

    def reason_of(self, run: ItemRun, now: float) -> WaitReason:
        """Return why a waiting item is at no engine."""


class WaitReasons:
    """The reasons for which items wait during one review, each computed once for equal items."""

    def __init__(self, context: ItemContext, requests: ItemRequests, regions: ItemRegions) -> None:
        """Store the dependencies.

        Args:
            context: Dependencies of the runner.
            requests: Finds the routes of items.
            regions: Finds the zones in which items may run.
        """
        self._jobs = context.jobs
        self._engines = context.engines
        self._cold = context.follower.cold_budget
        self._requests = requests
        self._regions = regions
        self._known: dict[tuple[str, str, str], WaitReason] = {}

    def begin_review(self) -> None:
        """Forget the reasons found in an earlier review."""
        self._known.clear()

    def reason_of(self, run: ItemRun, now: float) -> WaitReason:
        """Return why a waiting item is at no engine."""
        key = (run.job_id, run.item.path, run.item.headers.get("host", ""))
        reason = self._known.get(key)
        if reason is None:
            reason = self._known[key] = self._find(run, now)
        return reason

    def _find(self, run: ItemRun, now: float) -> WaitReason:
        route = self._requests.route_of(run)
        if route is None:
            return WaitReason.NO_ROUTE
        job = self._jobs.jobs[run.job_id].job
        requirements = ItemRequirements(
            model=job.model,
            minimum_version=job.minimum_version,
            allowed_zones=self._regions.allowed_zones(run),
        )
        services = [target.service for target in route.targets]
        engines = [state for service in services for state in self._engines.of_service(service)]
        return find_wait_reason(engines, requirements, lambda s: self._is_ungranted(s, now), now)

    def _is_ungranted(self, state: EngineState, now: float) -> bool:
        backend = state.backend
        return self._cold.is_cold(backend) and not self._cold.may_send_to(backend, now)


class WaitMonitor:
    """Reports the waiting items of one leadership term."""

    def __init__(self, reasons: FindsReasons) -> None:
        """Start without reported items.

        Args:
            reasons: Finds the reasons.
        """
        self._reasons = reasons
        self._next_review_at = 0.0
        self._reported: dict[str, tuple[WaitReason, float]] = {}
        """Last reported reason and start of the wait, by key of the item; only items that still
        wait."""
        self._seen_reasons: set[WaitReason] = set()
        """Reasons whose gauges were set; they are set to 0 when no item waits for the reason."""

    def review(self, runs: Iterable[ItemRun], now: float) -> list[Effect]:
        """Report waits that became long or changed their reason, and set the gauges.

        Args:
            runs: All unlisted items.
            now: Local time in seconds.
        """
        if now < self._next_review_at:
            return []
        self._next_review_at = now + REVIEW_INTERVAL_SECONDS
        self._reasons.begin_review()
        runs = list(runs)
        waiting = [run for run in runs if run.phase is RunPhase.WAITING]
        waits = [(run, self._reasons.reason_of(run, now)) for run in waiting]
        long_waits = [w for w in waits if now - w[0].waiting_since >= LONG_WAIT_SECONDS]
        self._reported = {
            run.key: self._reported[run.key] for run, _reason in waits if run.key in self._reported
        }
        return [*self._report(long_waits, now), *self._gauges(runs, waits, now)]

    def clear(self) -> list[Effect]:
        """Forget all items at the end of the leadership term, and set the gauges to 0."""
        self._reported.clear()
        return self._gauges([], [], 0.0)

    def _report(self, long_waits: list[tuple[ItemRun, WaitReason]], now: float) -> list[Effect]:
        """Log each wait once for each reason, the oldest first; full engines come last."""
        due = [
            (run, why)
            for run, why in long_waits
            if self._reported.get(run.key) != (why, run.waiting_since)
        ]
        due.sort(key=lambda wait: (wait[1] is WaitReason.FULL, wait[0].waiting_since))
        reported = due[:LINES_PER_REVIEW]
        effects: list[Effect] = []
        for run, reason in reported:
            self._reported[run.key] = (reason, run.waiting_since)
            fields = {
                "item": run.item.item_id,
                "job": run.job_id,
                "group": run.item.group,
                "reason": reason.value,
                "seconds": round(now - run.waiting_since, 3),
                "runs": run.run_count,
                "not_logged": len(due) - len(reported),
            }
            effects.append(LogEvent("item.waiting", fields, "warning"))
        return effects

    def _gauges(
        self, runs: list[ItemRun], waits: list[tuple[ItemRun, WaitReason]], now: float
    ) -> list[Effect]:
        counts = Counter(reason for _run, reason in waits)
        oldest: dict[WaitReason, float] = {}
        for run, reason in waits:
            oldest[reason] = max(oldest.get(reason, 0.0), now - run.waiting_since)
        effects: list[Effect] = []
        for reason in sorted(self._seen_reasons | set(counts)):
            labels = {"reason": reason.value}
            effects.append(SetGauge("merlinstand_waiting_items", counts[reason], labels))
            effects.append(
                SetGauge(
                    "merlinstand_waiting_items_oldest_seconds", oldest.get(reason, 0.0), labels
                )
            )
        self._seen_reasons |= set(counts)
        silent_seconds = max(
            (now - run.last_received_at for run in runs if run.phase is RunPhase.GENERATING),
            default=0.0,
        )
        return [*effects, SetGauge("merlinstand_item_runs_longest_silence_seconds", silent_seconds)]
