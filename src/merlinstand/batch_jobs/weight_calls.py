"""Calls of the weight loader to engines: reports, orders and probes.

Part of the leading keeper's weight loader. Owns the numbers of the calls. A cold engine bears only
so many calls of any kind, so each is made only while it may be sent; see `cold_servers`.
"""

from merlinstand.batch_jobs.engine_interface import EngineCall
from merlinstand.batch_jobs.engines import EngineState
from merlinstand.cluster.header_names import HeaderNames
from merlinstand.common.ids import CallId
from merlinstand.directory.follower import DirectoryFollower
from merlinstand.kernel.effects import StartCall

CALL_PREFIX = "weights:"
CALL_TIMEOUT_SECONDS = 1.0
"""Longest wait for the answer of an engine, in seconds. Chosen, not measured."""


class WeightCalls:
    """Makes the calls; who waits for an answer remembers its id."""

    def __init__(self, follower: DirectoryFollower, names: HeaderNames) -> None:
        """Begin without calls.

        Args:
            follower: The directory: which engines are cold, and requests for grants.
            names: Header names.
        """
        self._follower = follower
        self._names = names
        self._count = 0

    def may_send(self, state: EngineState, now: float, sends: int = 1) -> bool:
        """Whether a call may go to an engine now; if so, it counts as sent.

        Args:
            state: The engine.
            now: Local time.
            sends: Calls to request if not: this one, and those that will follow it at once.
        """
        cold = self._follower.cold_budget
        if not cold.may_send_to(state.backend, now):
            cold.request_grants(f"{CALL_PREFIX}{state.backend.backend_id}", sends, (state.backend,))
            return False
        cold.record_send(state.backend, now)
        return True

    def start(self, kind: str, state: EngineState, call: EngineCall) -> StartCall:
        """Make a call.

        Args:
            kind: Part of the call's id: `report`, `order` or `probe`.
            state: The engine.
            call: What is asked.
        """
        self._count += 1
        backend = state.backend
        return StartCall(
            call_id=CallId(f"{CALL_PREFIX}{kind}:{self._count}:{backend.backend_id}"),
            address=backend.address,
            method=call.method,
            path=call.path,
            headers={**call.headers, self._names.expected_backend: backend.backend_id},
            body=call.body,
            timeout_seconds=CALL_TIMEOUT_SECONDS,
        )
