"""Requests of operators, trainers and leaving back ends that only the control leader answers.

Each is judged by a pure function or by what the group has agreed on; what changes the directory is
proposed and answered once its entry is committed. Part of the control daemon's reducer, which calls
it only while its replica may act as leader.
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
from merlinstand.keeper_group.retirement import KeepersView, is_retired, keeper_to_retire
from merlinstand.kernel.effects import Effect, LogEvent

Propose = Callable[[DirectoryCommand, RequestId, ControlReply, float], list[Effect]]
"""Proposes a command for a request, which gets the reply once the command is committed; the last
argument is the local time."""


class LeaderRequests:
    """Answers what callers ask of the leader; owns no state."""

    def __init__(
        self,
        state: DirectoryState,
        zone_map: ZoneMap,
        subscribers: Subscribers,
        keepers_view: Callable[[float], KeepersView],
        replies: Replies,
        propose: Propose,
    ) -> None:
        """Make one.

        Args:
            state: What the group agreed on.
            places: The deployment's zones.
            subscribers: Daemons that reported lately, the keepers among them.
            keepers_view: What this leader knows of the keepers at a local time.
            replies: Answers at once what changes nothing.
            propose: See `Propose`.
        """
        self._state = state
        self._places = zone_map
        self._subscribers = subscribers
        self._keepers_view = keepers_view
        self._replies = replies
        self._propose = propose

    def handle(self, request_id: RequestId, request: ControlRequest, now: float) -> list[Effect]:
        """Answer a request, or propose what it asks for; nothing for requests of other kinds."""
        match request:
            case DocumentPut():
                return self._put_document(request_id, request, now)
            case BackendDeregistered():
                return self._remove_backend(request_id, request, now)
            case WeightsPublished():
                return self._name_weights(request_id, request, now)
            case RetirementPost():
                return self._retire(request_id, request.name, now)
            case RetirementGet():
                return [self._answer_retirement(request_id, request.name, now)]
            case EvacuationPost() | EvacuationDelete():
                return self._order_zone(request_id, request, now)
            case _:
                return []

    def _accept(self, request_id: RequestId) -> list[Effect]:
        return [self._replies.respond(request_id, Accepted())]

    def _put_document(
        self, request_id: RequestId, request: DocumentPut, now: float
    ) -> list[Effect]:
        held = self._state.document
        if held is not None and request.document.version <= held.version:
            # Not above the held one: acknowledged, and nothing changes.
            return self._accept(request_id)
        command = PutDocument(request.document, request.raw)
        effects: list[Effect] = [
            LogEvent("document.proposed", {"version": request.document.version}),
            *region_warnings(request.document, self._places),
        ]
        return effects + self._propose(command, request_id, Accepted(), now)

    def _remove_backend(
        self, request_id: RequestId, request: BackendDeregistered, now: float
    ) -> list[Effect]:
        backend_id = request.backend_id
        if backend_id in self._state.table.removed:
            return self._accept(request_id)
        log = LogEvent("backend.left", {"backend": backend_id})
        return [log, *self._propose(RemoveBackend(backend_id), request_id, Accepted(), now)]

    def _name_weights(
        self, request_id: RequestId, request: WeightsPublished, now: float
    ) -> list[Effect]:
        if request.version <= self._state.weights.get(request.model, 0):
            return self._accept(request_id)
        command = PublishWeights(request.model, request.version)
        return self._propose(command, request_id, Accepted(), now)

    def _retire(self, request_id: RequestId, name: str, now: float) -> list[Effect]:
        judged = keeper_to_retire(self._keepers_view(now), name)
        if isinstance(judged, Err):
            return [self._replies.fail(request_id, judged.err_value)]
        node_id = judged.ok_value
        if node_id is None:
            return self._accept(request_id)
        return self._propose(RetireKeeper(node_id, name), request_id, Accepted(), now)

    def _answer_retirement(self, request_id: RequestId, name: str, now: float) -> Effect:
        leader = self._subscribers.leading_keeper(now)
        judged = is_retired(self._keepers_view(now), name, leader)
        if isinstance(judged, Err):
            return self._replies.fail(request_id, judged.err_value)
        return self._replies.respond(request_id, RetirementState(judged.ok_value))

    def _order_zone(
        self, request_id: RequestId, request: EvacuationPost | EvacuationDelete, now: float
    ) -> list[Effect]:
        judged = validate_order(request, self._places)
        if isinstance(judged, Err):
            error = judged.err_value
            fields = {"zone": request.zone, "reason": type(error).code}
            refusal = LogEvent("zone.order_refused", fields)
            return [refusal, self._replies.fail(request_id, error)]
        return self._propose(judged.ok_value, request_id, Accepted(), now)
