"""Scores items whose text is complete.

Used by the leading keeper's `runner`. Scoring calls wait in a queue; the forwarder makes them and
retries them within one round. `decisions.item_retry` decides whether another round follows or the
item is terminated.
"""

from collections.abc import Mapping

from result import Err

from merlinstand.batch_calls.jobs import ScoringCall
from merlinstand.batch_jobs.item_context import ItemContext
from merlinstand.batch_jobs.item_listing import ItemListing
from merlinstand.batch_jobs.item_regions import ItemRegions
from merlinstand.batch_jobs.item_run import ItemRun, RunPhase
from merlinstand.batch_jobs.scoring_queue import ScoringQueue
from merlinstand.cluster.requests import Answered, FinishedRequest, ForwardRequest, NotRun
from merlinstand.cluster.routes import Route
from merlinstand.decisions.item_retry import (
    MINIMUM_SCORING_PAUSE_SECONDS,
    SCORING_ROUND_TIMEOUT_SECONDS,
    AcceptScore,
    RetryScoring,
    Terminate,
    after_scoring,
)
from merlinstand.kernel.effects import Effect


class ItemScoring:
    """Scoring calls of one leadership term."""

    def __init__(
        self,
        context: ItemContext,
        runs: Mapping[str, ItemRun],
        regions: ItemRegions,
        listing: ItemListing,
    ) -> None:
        """Start without calls.

        Args:
            context: Dependencies.
            runs: All unfinished items by key; modified by the runner.
            regions: Regions in which items may be scored.
            listing: Lists items that are scored or terminated.
        """
        self._runs = runs
        self._follower = context.follower
        self._forwarder = context.forwarder
        self._signature_header = context.header_names.signature
        self._service_choice = context.service_choice
        self._listing = listing
        self._regions = regions
        self._queue = ScoringQueue(self._count_slots)

    def score(self, run: ItemRun, now: float) -> list[Effect]:
        """Queue the scoring call of an item; the result of an item without one is proposed now."""
        run.wait_until = 0.0
        scoring = run.item.scoring
        if scoring is None:
            return self._listing.finish(run, run.make_succeeded_result(), "", now)
        route = self._route_of(scoring)
        if route is None:
            run.wait_until = now + MINIMUM_SCORING_PAUSE_SECONDS
            return []
        service = self._service_choice.choose(route)
        self._queue.add(run.key, service)
        return self._start_calls(service, now)

    def tick(self, now: float) -> list[Effect]:
        """Start queued calls if the limit has risen, for example because backends joined."""
        services = self._queue.services_with_queued_calls()
        return [effect for service in services for effect in self._start_calls(service, now)]

    def abort(self, run: ItemRun, now: float) -> list[Effect]:
        """Cancel the scoring call of an item that needs no score any more."""
        self._queue.release(run.key)
        return self._forwarder.abort(run.key, now)

    def clear(self) -> None:
        """Clear the queue at the end of a leadership term; the caller aborts calls in progress."""
        self._queue.clear()

    def on_scored(self, finished: FinishedRequest, now: float) -> list[Effect]:
        """Process the end of a call and start the next queued one."""
        effects = self._process_outcome(finished, now)
        service = self._queue.release(finished.request.key)
        return effects + (self._start_calls(service, now) if service else [])

    def _start_calls(self, service: str, now: float) -> list[Effect]:
        effects: list[Effect] = []
        for key in self._queue.start_ready(service):
            run = self._runs.get(key)
            if run is None or run.phase is not RunPhase.SCORING:
                self._queue.release(key)
                continue
            request = self._make_request(run, service, now)
            if request is None:
                self._queue.release(key)
                run.wait_until = now + MINIMUM_SCORING_PAUSE_SECONDS
                continue
            effects.extend(self._forwarder.begin(request, now))
        return effects

    def _make_request(self, run: ItemRun, service: str, now: float) -> ForwardRequest | None:
        """Return an item's scoring request; None if it has no route or no region is allowed."""
        scoring = run.item.scoring
        route = self._route_of(scoring) if scoring is not None else None
        if scoring is None or route is None:
            return None
        regions = self._regions.scoring_regions(run, route)
        if isinstance(regions, Err):
            return None
        return ForwardRequest(
            key=run.key,
            route=route,
            service=service,
            method="POST",
            path=scoring.path,
            headers={"host": scoring.host},
            body=scoring.body,
            request_id=scoring.request_id,
            deadline_at=now + SCORING_ROUND_TIMEOUT_SECONDS,
            allowed_regions=regions.ok_value,
        )

    def _process_outcome(self, finished: FinishedRequest, now: float) -> list[Effect]:
        run = self._runs.get(finished.request.key)
        if run is None or run.phase is not RunPhase.SCORING:
            return []
        run.scoring_failures += finished.server_errors
        status, score, retry_after_seconds = 0, "", 0.0
        match finished.outcome:
            case Answered() as answer:
                status = answer.status
                score = answer.headers.get(self._signature_header, "")
            case NotRun() as refusal:
                retry_after_seconds = refusal.retry_after_seconds
        maximum_attempts = finished.request.route.maximum_attempts
        decision = after_scoring(
            status, score, run.scoring_failures, maximum_attempts, retry_after_seconds
        )
        match decision:
            case AcceptScore(score):
                run.score = score
                return self._listing.finish(run, run.make_succeeded_result(), "", now)
            case Terminate(reason):
                return self._listing.finish(run, run.make_terminated_result(), reason, now)
            case RetryScoring(pause_seconds):
                run.wait_until = now + pause_seconds
                return []

    def _route_of(self, scoring: ScoringCall) -> Route | None:
        return self._follower.routes.find(scoring.host, scoring.path.partition("?")[0])

    def _count_slots(self, service: str) -> int:
        """Return the total slots of a service's backends.

        Draining backends are not counted; a cold backend counts as one slot.
        """
        backends = self._follower.backends_of(service)
        is_cold = self._follower.cold_budget.is_cold
        return sum(
            1 if is_cold(backend) else backend.slots
            for backend in backends
            if not backend.is_draining
        )
