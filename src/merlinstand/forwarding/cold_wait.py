"""Requests that only cold back ends could serve, held for a moment until grants come.

Owned by a forwarder, for its own requests. Relies on `cold_servers.follower`, which asks for the
grants; `decisions.waiting` says how long a request waits. What the control leader can't grant, or
doesn't answer in time, is refused, with the time after which more may be granted.
"""

from collections.abc import Sequence

from merlinstand.cluster.backends import Backend
from merlinstand.cluster.requests import ForwardRequest
from merlinstand.cold_servers.follower import REQUEST_RETRY_SECONDS, ColdBackendBudget
from merlinstand.decisions.rejection import cold_retry_after_seconds
from merlinstand.decisions.waiting import grant_wait_seconds, should_wait_for_grant
from merlinstand.kernel.effects import CancelTimer, Effect, SetTimer


class ColdWait:
    """Requests of one forwarder that wait for grants."""

    def __init__(self, cold: ColdBackendBudget, timer_prefix: str) -> None:
        """Begin with none.

        Args:
            cold: Asks for grants, and knows what is refused.
            timer_prefix: Of the timers that end waits; a request's key follows.
        """
        self._cold = cold
        self._prefix = timer_prefix
        self._waiting: dict[str, ForwardRequest] = {}
        self._since: dict[str, float] = {}
        """When each request began to wait."""

    def begin(
        self, request: ForwardRequest, backends: Sequence[Backend], now: float
    ) -> list[Effect]:
        """Let a request wait for a grant; nothing if that would be in vain.

        Args:
            request: A request without a back end that is open to it.
            backends: Cold back ends that would do.
            now: Local time.
        """
        if not self._wait(request, backends, now):
            return []
        self._since[request.key] = now
        return [SetTimer(f"{self._prefix}{request.key}", grant_wait_seconds(request.route))]

    def go_on(self, request: ForwardRequest, backends: Sequence[Backend], now: float) -> bool:
        """Let a request that was not asked for yet wait on; return whether it does.

        An answer is for the grants that were asked for with its pull. Whoever came after that is
        asked for with the next one, unless the answer says that no more are to be had. The timer
        goes on.
        """
        since = self._since.get(request.key, now)
        return self._cold.answered_pull_at < since and self._wait(request, backends, now)

    def _wait(self, request: ForwardRequest, backends: Sequence[Backend], now: float) -> bool:
        kind = self._kind(request.service)
        if not should_wait_for_grant(len(backends), self._cold.rejected_seconds(kind, now)):
            return False
        self._waiting[request.key] = request
        sends = sum(1 for held in self._waiting.values() if held.service == request.service)
        self._cold.request_grants(kind, sends, backends)
        return True

    def _kind(self, service: str) -> str:
        return f"{self._prefix}{service}"

    def retry_after_seconds(self, service: str, now: float) -> float:
        """When a refused request may come again."""
        refused_seconds = self._cold.rejected_seconds(self._kind(service), now)
        return cold_retry_after_seconds(refused_seconds, REQUEST_RETRY_SECONDS)

    def end(self, key: str) -> list[Effect]:
        """A request waits no more."""
        self._since.pop(key, None)
        if self._waiting.pop(key, None) is None:
            return []
        return [CancelTimer(f"{self._prefix}{key}")]

    def take_all(self) -> list[str]:
        """Give the keys of all that wait, most urgent first; nothing is asked for them any more."""
        for service in {held.service for held in self._waiting.values()}:
            self._cold.withdraw_request(self._kind(service))
        waiting = sorted(
            self._waiting.values(), key=lambda held: (held.route.priority, held.deadline_at)
        )
        self._waiting.clear()
        return [request.key for request in waiting]
