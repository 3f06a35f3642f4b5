"""Calls of the weight loader to engines: state reports, orders and probes.

Used in the leading keeper. A cold engine bears only a few requests a second, as after a start, so
each call to it needs a grant; see `cold_servers`.
"""

from merlinstand.batch_jobs.engine_interface import EngineCall
from merlinstand.batch_jobs.engines import EngineState
from merlinstand.cluster.header_names import HeaderNames
from merlinstand.common.ids import CallId
from merlinstand.directory.follower import DirectoryFollower
from merlinstand.kernel.effects import StartCall

CALL_PREFIX = "weights:"
CALL_TIMEOUT_SECONDS = 1.0
"""Timeout of a call to an engine."""


class WeightCalls:
    """Creates calls; the caller matches responses by call id."""

    def __init__(self, follower: DirectoryFollower, header_names: HeaderNames) -> None:
        """Start without calls.

        Args:
            follower: The directory, for the cold engines and requests for granted attempts.
            header_names: Names of the headers of calls.
        """
        self._follower = follower
        self._header_names = header_names
        self._count = 0

    def try_reserve_send(self, state: EngineState, now: float, send_count: int = 1) -> bool:
        """Count a call as sent if the engine may receive one now; otherwise request grants.

        Args:
            state: The engine.
            now: Local time in seconds.
            send_count: Number of grants to request if there is none: for this call and for the
                calls that follow it immediately.

        Returns:
            Whether the call may be sent.
        """
        cold = self._follower.cold_budget
        if not cold.may_send_to(state.backend, now):
            cold.request_grants(
                f"{CALL_PREFIX}{state.backend.backend_id}", send_count, (state.backend,)
            )
            return False
        cold.record_send(state.backend, now)
        return True

    def make_call(self, kind: str, state: EngineState, request: EngineCall) -> StartCall:
        """Create a call.

        Args:
            kind: Part of the call's id: `report`, `order` or `probe`.
            state: The engine.
            request: The HTTP request.
        """
        self._count += 1
        backend = state.backend
        return StartCall(
            call_id=CallId(f"{CALL_PREFIX}{kind}:{self._count}:{backend.backend_id}"),
            address=backend.address,
            method=request.method,
            path=request.path,
            headers={**request.headers, self._header_names.expected_backend: backend.backend_id},
            body=request.body,
            timeout_seconds=CALL_TIMEOUT_SECONDS,
        )
