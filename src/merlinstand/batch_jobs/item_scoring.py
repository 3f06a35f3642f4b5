"""Scores items whose text is whole.

Part of the leading keeper's runner of items. Owns the queue of scoring calls; the forwarder makes
the calls and tries them again within one round. When another round follows, or the item is
terminated, is decided in `item_retry`.
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
    """Scoring calls of one leadership."""

    def __init__(
        self,
        context: ItemContext,
        runs: Mapping[str, ItemRun],
        regions: ItemRegions,
        listing: ItemListing,
    ) -> None:
        """Begin without calls.

        Args:
            context: Of the runner of items.
            runs: All items without a result, by key.
            regions: Where items may be scored.
            listing: Takes items that are scored or terminated.
        """
        self._runs = runs
        self._follower = context.follower
        self._forwarder = context.forwarder
        self._signature_header = context.names.signature
        self._split = context.split
        self._listing = listing
        self._regions = regions
        self._queue = ScoringQueue(self._slots_of)

    def score(self, run: ItemRun, now: float) -> list[Effect]:
        """Have an item scored; one that nobody scores is listed at once."""
        run.wait_until = 0.0
        scoring = run.item.scoring
        if scoring is None:
            return self._listing.finish(run, run.succeeded(), "", now)
        route = self._route_of(scoring)
        if route is None:
            run.wait_until = now + MINIMUM_SCORING_PAUSE_SECONDS
            return []
        service = self._split.choose(route)
        self._queue.add(run.key, service)
        return self._begin_calls(service, now)

    def tick(self, now: float) -> list[Effect]:
        """Begin calls for which places came free otherwise than by an answer."""
        services = self._queue.services_waiting()
        return [effect for service in services for effect in self._begin_calls(service, now)]

    def abort(self, run: ItemRun, now: float) -> list[Effect]:
        """An item needs no score any more."""
        self._queue.end(run.key)
        return self._forwarder.abort(run.key, now)

    def clear(self) -> None:
        """The leadership is over; its calls are aborted one by one."""
        self._queue.clear()

    def on_scored(self, finished: FinishedRequest, now: float) -> list[Effect]:
        """A call ended: take its score, and give its place to the next."""
        effects = self._take_score(finished, now)
        service = self._queue.end(finished.request.key)
        return effects + (self._begin_calls(service, now) if service else [])

    def _begin_calls(self, service: str, now: float) -> list[Effect]:
        effects: list[Effect] = []
        for key in self._queue.take(service):
            run = self._runs.get(key)
            if run is None or run.phase is not RunPhase.SCORING:
                self._queue.end(key)
                continue
            request = self._request(run, service, now)
            if request is None:
                self._queue.end(key)
                run.wait_until = now + MINIMUM_SCORING_PAUSE_SECONDS
                continue
            effects.extend(self._forwarder.begin(request, now))
        return effects

    def _request(self, run: ItemRun, service: str, now: float) -> ForwardRequest | None:
        """Give an item's call; None if it has no route any more, or no region may serve it."""
        scoring = run.item.scoring
        route = self._route_of(scoring) if scoring is not None else None
        if scoring is None or route is None:
            return None
        regions = self._regions.of_scoring(run, route)
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

    def _take_score(self, finished: FinishedRequest, now: float) -> list[Effect]:
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
                return self._listing.finish(run, run.succeeded(), "", now)
            case Terminate(reason):
                return self._listing.finish(run, run.terminated(), reason, now)
            case RetryScoring(pause_seconds):
                run.wait_until = now + pause_seconds
                return []

    def _route_of(self, scoring: ScoringCall) -> Route | None:
        return self._follower.routes.find(scoring.host, scoring.path.partition("?")[0])

    def _slots_of(self, service: str) -> int:
        """Slots of a service's servers that don't leave; a cold one is as good as one slot."""
        servers = self._follower.backends_of(service)
        is_cold = self._follower.cold_budget.is_cold
        return sum(
            1 if is_cold(server) else server.slots for server in servers if not server.is_draining
        )
