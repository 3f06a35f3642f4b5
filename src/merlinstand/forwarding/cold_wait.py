"""Queue of requests that only cold backends could serve and that wait for grants.

A cold backend bears only a few requests a second, as after a start, so each request to it needs a
grant from the control leader. `cold_servers.follower` requests the grants and `decisions.waiting`
limits the wait. If the leader grants nothing, or does not respond in time, the request is rejected;
its Retry-After is the time until the next grant is possible.
"""

from collections.abc import Sequence

from merlinstand.cluster.backends import Backend
from merlinstand.cluster.requests import ForwardRequest
from merlinstand.cold_servers.follower import REQUEST_RETRY_SECONDS, ColdBackendBudget
from merlinstand.decisions.rejection import cold_retry_after_seconds
from merlinstand.decisions.waiting import grant_wait_seconds, should_wait_for_grant
from merlinstand.kernel.effects import CancelTimer, Effect, SetTimer


class GrantWaitQueue:
    """Requests of one forwarder that wait for grants."""

    def __init__(self, cold_budget: ColdBackendBudget, timer_prefix: str) -> None:
        """Start with an empty queue.

        Args:
            cold_budget: Requests grants, and knows which requests the leader rejected.
            timer_prefix: Prefix of the names of the wait timers; the request's key follows.
        """
        self._cold_budget = cold_budget
        self._timer_prefix = timer_prefix
        self._waiting: dict[str, ForwardRequest] = {}
        self._enqueued_at: dict[str, float] = {}
        """Local time at which each request began to wait."""

    def enqueue(
        self, request: ForwardRequest, backends: Sequence[Backend], now: float
    ) -> list[Effect]:
        """Make a request wait for a grant.

        Args:
            request: A request for which no backend was found that needs no grant.
            backends: Cold backends that could serve it with a grant.
            now: Local time.

        Returns:
            The timer that limits the wait; empty if no grant can be expected in time.
        """
        if not self._request_grants(request, backends, now):
            return []
        self._enqueued_at[request.key] = now
        return [SetTimer(f"{self._timer_prefix}{request.key}", grant_wait_seconds(request.route))]

    def keep_waiting(
        self, request: ForwardRequest, backends: Sequence[Backend], now: float
    ) -> bool:
        """Return whether a request may keep waiting after a response without a grant for it.

        The leader's response covers only the grants that were requested with the directory pull to
        which it responds. A request that was enqueued after that pull is included in the next pull,
        unless the response says that no more grants are available. The request's timer keeps
        running.
        """
        enqueued_at = self._enqueued_at.get(request.key, now)
        return self._cold_budget.answered_pull_at < enqueued_at and self._request_grants(
            request, backends, now
        )

    def _request_grants(
        self, request: ForwardRequest, backends: Sequence[Backend], now: float
    ) -> bool:
        kind = self._kind(request.service)
        if not should_wait_for_grant(len(backends), self._cold_budget.rejected_seconds(kind, now)):
            return False
        self._waiting[request.key] = request
        sends = sum(1 for queued in self._waiting.values() if queued.service == request.service)
        self._cold_budget.request_grants(kind, sends, backends)
        return True

    def _kind(self, service: str) -> str:
        return f"{self._timer_prefix}{service}"

    def retry_after_seconds(self, service: str, now: float) -> float:
        """Return the Retry-After of a rejected request in seconds."""
        refused_seconds = self._cold_budget.rejected_seconds(self._kind(service), now)
        return cold_retry_after_seconds(refused_seconds, REQUEST_RETRY_SECONDS)

    def remove(self, key: str) -> list[Effect]:
        """Remove a request and cancel its timer."""
        self._enqueued_at.pop(key, None)
        if self._waiting.pop(key, None) is None:
            return []
        return [CancelTimer(f"{self._timer_prefix}{key}")]

    def pop_all(self) -> list[str]:
        """Remove all requests and return their keys, most urgent first.

        Their pending grant requests are withdrawn.
        """
        for service in {queued.service for queued in self._waiting.values()}:
            self._cold_budget.withdraw_request(self._kind(service))
        waiting = sorted(
            self._waiting.values(), key=lambda queued: (queued.route.priority, queued.deadline_at)
        )
        self._waiting.clear()
        return [request.key for request in waiting]
