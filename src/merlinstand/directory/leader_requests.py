"""Handles requests of operators, trainers and backends that only the control leader answers.

Each request is validated by a pure function or against the replicated state. A request that changes
the directory is proposed, and gets its response once the log entry is committed. Part of the
control daemon's reducer, which calls it only while its replica may act as leader.
"""

from collections.abc import Callable

from result import Err

from merlinstand.cluster.zone_map import ZoneMap
from merlinstand.common.ids import RequestId
from merlinstand.directory.commands import (
    DirectoryCommand,
    PublishWeights,
    PutDocument,
    RemoveBackend,
    RetireKeeper,
)
from merlinstand.directory.region_warnings import region_warnings
from merlinstand.directory.replies import Replies
from merlinstand.directory.requests import (
    Accepted,
    BackendDeregistered,
    ControlReply,
    ControlRequest,
    DocumentPut,
    RetirementGet,
    RetirementPost,
    RetirementState,
    WeightsPublished,
)
from merlinstand.directory.state_machine import DirectoryState
from merlinstand.directory.subscribers import Subscribers
from merlinstand.evacuation.commands import EvacuationDelete, EvacuationPost
from merlinstand.evacuation.orders import validate_order
from merlinstand.keeper_group.retirement import KeepersView, find_keeper_to_retire, is_retired
from merlinstand.kernel.effects import Effect, LogEvent

Propose = Callable[[DirectoryCommand, RequestId, ControlReply, float], list[Effect]]
"""Proposes a command for a request; the request gets the reply once the command is committed. The
last argument is the local time."""


class LeaderRequests:
    """Handles requests to the leader; holds no state of its own."""

    def __init__(
        self,
        state: DirectoryState,
        zone_map: ZoneMap,
        subscribers: Subscribers,
        keepers_view: Callable[[float], KeepersView],
        replies: Replies,
        propose: Propose,
    ) -> None:
        """Create an instance for one control daemon.

        Args:
            state: The replicated directory.
            zone_map: The deployment's zones.
            subscribers: Daemons that report to this leader, batch keepers included.
            keepers_view: Returns what this leader knows of the batch keepers at a local time.
            replies: Builds the responses of requests that change nothing.
            propose: See `Propose`.
        """
        self._state = state
        self._zone_map = zone_map
        self._subscribers = subscribers
        self._keepers_view = keepers_view
        self._replies = replies
        self._propose = propose

    def handle(self, request_id: RequestId, request: ControlRequest, now: float) -> list[Effect]:
        """Answer a request or propose its command; ignores requests of other kinds."""
        match request:
            case DocumentPut():
                return self._put_document(request_id, request, now)
            case BackendDeregistered():
                return self._remove_backend(request_id, request, now)
            case WeightsPublished():
                return self._publish_weights(request_id, request, now)
            case RetirementPost():
                return self._retire(request_id, request.name, now)
            case RetirementGet():
                return [self._answer_retirement(request_id, request.name, now)]
            case EvacuationPost() | EvacuationDelete():
                return self._change_evacuation(request_id, request, now)
            case _:
                return []

    def _accept(self, request_id: RequestId) -> list[Effect]:
        return [self._replies.respond(request_id, Accepted())]

    def _put_document(
        self, request_id: RequestId, request: DocumentPut, now: float
    ) -> list[Effect]:
        current = self._state.document
        if current is not None and request.document.version <= current.version:
            # The document is not newer than the current one: accepted without a change.
            return self._accept(request_id)
        command = PutDocument(request.document, request.raw)
        effects: list[Effect] = [
            LogEvent("document.proposed", {"version": request.document.version}),
            *region_warnings(request.document, self._zone_map),
        ]
        return effects + self._propose(command, request_id, Accepted(), now)

    def _remove_backend(
        self, request_id: RequestId, request: BackendDeregistered, now: float
    ) -> list[Effect]:
        backend_id = request.backend_id
        if backend_id in self._state.table.removed:
            return self._accept(request_id)
        log = LogEvent("backend.deregistered", {"backend": backend_id})
        return [log, *self._propose(RemoveBackend(backend_id), request_id, Accepted(), now)]

    def _publish_weights(
        self, request_id: RequestId, request: WeightsPublished, now: float
    ) -> list[Effect]:
        if request.version <= self._state.weights.get(request.model, 0):
            return self._accept(request_id)
        command = PublishWeights(request.model, request.version)
        return self._propose(command, request_id, Accepted(), now)

    def _retire(self, request_id: RequestId, name: str, now: float) -> list[Effect]:
        result = find_keeper_to_retire(self._keepers_view(now), name)
        if isinstance(result, Err):
            return [self._replies.fail(request_id, result.err_value)]
        node_id = result.ok_value
        if node_id is None:
            return self._accept(request_id)
        return self._propose(RetireKeeper(node_id, name), request_id, Accepted(), now)

    def _answer_retirement(self, request_id: RequestId, name: str, now: float) -> Effect:
        leader = self._subscribers.leading_keeper(now)
        result = is_retired(self._keepers_view(now), name, leader)
        if isinstance(result, Err):
            return self._replies.fail(request_id, result.err_value)
        return self._replies.respond(request_id, RetirementState(result.ok_value))

    def _change_evacuation(
        self, request_id: RequestId, request: EvacuationPost | EvacuationDelete, now: float
    ) -> list[Effect]:
        result = validate_order(request, self._zone_map)
        if isinstance(result, Err):
            error = result.err_value
            fields = {"zone": request.zone, "reason": type(error).code}
            rejection = LogEvent("zone.order_refused", fields)
            return [rejection, self._replies.fail(request_id, error)]
        return self._propose(result.ok_value, request_id, Accepted(), now)
