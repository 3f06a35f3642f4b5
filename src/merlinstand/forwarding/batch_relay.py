"""Batch calls on their way to the leading keeper, wherever it is just now.

Used by the gateway. Owns the calls on their way and the last hint of who leads; relies on the
directory's follower for the keepers and on `near_copies` for reads that need not reach the leader.
"""

import msgspec

from merlinstand.batch_calls.calls import (
    CALL_PATH,
    BatchCall,
    BatchReply,
    EndJob,
    Invalid,
    KeptElsewhere,
    NotLeader,
    ReadResults,
    ResultsPage,
    SubmitJob,
    Undecided,
    decode_reply,
    encode,
)
from merlinstand.cluster.places import ZoneMap
from merlinstand.cluster.regions import UNRESTRICTED, StorageNode, find_node_outside
from merlinstand.common.decoding import DECODE_ERRORS
from merlinstand.common.ids import CallId, RequestId
from merlinstand.decisions.rejection import BATCH_CALL_RETRY_AFTER_SECONDS
from merlinstand.directory.follower import DirectoryFollower
from merlinstand.forwarding.interface import BatchFailure
from merlinstand.forwarding.near_copies import NearCopies
from merlinstand.forwarding.settings import ForwardingSettings
from merlinstand.kernel.effects import (
    CancelCall,
    CancelTimer,
    Effect,
    LogEvent,
    SetTimer,
    StartCall,
)
from merlinstand.kernel.events import CallFailed, CallPhase, CallResponded

CALL_PREFIX = "batch:"
TIMER_PREFIX = "batch."
PAUSE_SECONDS = 0.1
"""Wait before the keepers are asked again when none leads. Chosen, not measured."""
COPY_CALL_SECONDS = 0.25
"""A copy in the own zone or region answers within some ms; after this long the leader is asked."""
CONNECT_SECONDS = 0.3
"""A keeper that can't be reached is left after this long: the call has certainly not been done."""
_HEADERS = {"content-type": "application/msgpack"}


class _Relayed(msgspec.Struct):
    request_id: RequestId
    call: BatchCall
    body: bytes
    until: float
    regions: frozenset[str] = UNRESTRICTED
    """Where its body may be kept."""
    tries: int = 0
    call_id: CallId | None = None
    address: str = ""
    may_be_done: bool = False
    is_at_copy: bool = False
    """Whether the present call asks a near copy, not the leader."""


class RelayFinished(msgspec.Struct, frozen=True):
    """A batch call that came to its end."""

    request_id: RequestId
    reply: BatchReply | BatchFailure


class BatchRelay:
    """All batch calls on their way through one gateway."""

    def __init__(self, settings: ForwardingSettings, follower: DirectoryFollower) -> None:
        """Begin without calls."""
        self._settings = settings
        self._follower = follower
        self._places = ZoneMap(settings.zones)
        self._relayed: dict[RequestId, _Relayed] = {}
        self._finished: list[RelayFinished] = []
        self._hint = ""
        """HTTP address of the leader, as a keeper reported it last."""
        self._turn = 0

        self._copies = NearCopies(settings.zone, self._places, follower)

    def __len__(self) -> int:
        """Calls on their way."""
        return len(self._relayed)

    def take_finished(self) -> list[RelayFinished]:
        """Give the calls that ended since the last time."""
        finished, self._finished = self._finished, []
        return finished

    def begin(self, request_id: RequestId, call: BatchCall, now: float) -> list[Effect]:
        """Take a call."""
        limit = self._settings.batch_call_seconds
        if isinstance(call, ReadResults):
            limit += call.wait_seconds
        relayed = _Relayed(request_id, call, encode(call), now + limit)
        if isinstance(call, SubmitJob):
            relayed.regions = frozenset(call.allowed_regions)
        self._relayed[request_id] = relayed
        if isinstance(call, ReadResults):
            copy = self._copies.choose(now)
            if copy:
                relayed.is_at_copy = True
                return self._ask(relayed, copy, COPY_CALL_SECONDS)
        return self._send(relayed, now)

    def abort(self, request_id: RequestId) -> list[Effect]:
        """The caller left."""
        relayed = self._relayed.pop(request_id, None)
        if relayed is None:
            return []
        effects: list[Effect] = [CancelTimer(f"{TIMER_PREFIX}{request_id}")]
        if relayed.call_id is not None:
            effects.append(CancelCall(relayed.call_id))
        return effects

    def on_timer(self, name: str, now: float) -> list[Effect]:
        """A timer with `TIMER_PREFIX` fired."""
        relayed = self._relayed.get(RequestId(name.removeprefix(TIMER_PREFIX)))
        if relayed is None or relayed.call_id is not None:
            return []
        return self._send(relayed, now)

    def on_call(self, event: CallResponded | CallFailed, now: float) -> list[Effect]:
        """A call with `CALL_PREFIX` ended."""
        request_id = RequestId(event.call_id.removeprefix(CALL_PREFIX).rpartition("#")[0])
        relayed = self._relayed.get(request_id)
        if relayed is None or relayed.call_id != event.call_id:
            return []
        relayed.call_id = None
        if relayed.is_at_copy:
            return self._after_copy(relayed, event, now)
        if isinstance(event, CallFailed):
            if event.phase is not CallPhase.CONNECT:
                relayed.may_be_done = True
            if self._hint == relayed.address:
                self._hint = ""
            return self._pause(relayed, now)
        try:
            reply = decode_reply(event.body)
        except DECODE_ERRORS:
            relayed.may_be_done = True
            return self._pause(relayed, now)
        return self._take(relayed, reply, now)

    def _after_copy(
        self, relayed: _Relayed, event: CallResponded | CallFailed, now: float
    ) -> list[Effect]:
        """Take a copy's page; whatever else it answers, the leader is asked."""
        relayed.is_at_copy = False
        if isinstance(event, CallFailed):
            self._copies.note_failure(relayed.address, now)
            return self._send(relayed, now)
        try:
            reply = decode_reply(event.body)
        except DECODE_ERRORS:
            self._copies.note_failure(relayed.address, now)
            return self._send(relayed, now)
        if isinstance(reply, ResultsPage):
            return self._finish(relayed, reply)
        return self._send(relayed, now)

    def _take(self, relayed: _Relayed, reply: BatchReply, now: float) -> list[Effect]:
        if isinstance(reply, Undecided):
            relayed.may_be_done = True
            return self._pause(relayed, now)
        if isinstance(reply, NotLeader):
            is_new = reply.http_address not in ("", relayed.address)
            self._hint = reply.http_address if is_new else ""
            return self._send(relayed, now) if is_new else self._pause(relayed, now)
        if not isinstance(reply, Invalid):
            self._hint = relayed.address
        return self._finish(relayed, reply)

    def _pause(self, relayed: _Relayed, now: float) -> list[Effect]:
        if now + PAUSE_SECONDS >= relayed.until:
            return self._give_up(relayed)
        return [SetTimer(f"{TIMER_PREFIX}{relayed.request_id}", PAUSE_SECONDS)]

    def _send(self, relayed: _Relayed, now: float) -> list[Effect]:
        if relayed.regions:
            # At each try: keepers come and go.
            keepers = (StorageNode(keeper.name, keeper.zone) for keeper in self._follower.keepers)
            outsider = find_node_outside(keepers, relayed.regions, self._places)
            if outsider is not None:
                return self._refuse(relayed, outsider)
        address = self._target(relayed)
        if now >= relayed.until:
            return self._give_up(relayed)
        if not address:
            return self._pause(relayed, now)
        timeout = min(self._settings.keeper_call_seconds, relayed.until - now)
        if isinstance(relayed.call, ReadResults):
            timeout += relayed.call.wait_seconds
        return self._ask(relayed, address, timeout)

    def _ask(self, relayed: _Relayed, address: str, timeout_seconds: float) -> list[Effect]:
        relayed.tries += 1
        relayed.address = address
        relayed.call_id = CallId(f"{CALL_PREFIX}{relayed.request_id}#{relayed.tries}")
        call = StartCall(
            call_id=relayed.call_id,
            address=address,
            method="POST",
            path=CALL_PATH,
            headers=_HEADERS,
            body=relayed.body,
            timeout_seconds=timeout_seconds,
            connect_seconds=CONNECT_SECONDS,
            kind=f"{CALL_PREFIX}{type(relayed.call).__name__}",
        )
        return [call]

    def _target(self, relayed: _Relayed) -> str:
        leader = self._follower.leading_keeper()
        addresses = [keeper.http_address for keeper in self._follower.keepers]
        # Where a keeper stands that only another one named isn't known.
        if self._hint and (not relayed.regions or self._hint in addresses):
            return self._hint
        self._turn += 1
        if leader is not None and self._turn % 2 == 1:
            return leader.http_address
        return addresses[self._turn // 2 % len(addresses)] if addresses else ""

    def _refuse(self, relayed: _Relayed, outsider: StorageNode) -> list[Effect]:
        """A keeper stands where the job may not be kept: its body goes to none of them."""
        if relayed.may_be_done:
            return self._give_up(relayed)
        region = self._places.region_of(outsider.zone)
        fields = {
            "request": relayed.request_id,
            "keeper": outsider.name,
            "region": region,
            "allowed": ",".join(sorted(relayed.regions)),
        }
        detail = f"keeper {outsider.name} stands in region {region!r}"
        log = LogEvent("batch.kept_elsewhere", fields)
        return [log, *self._finish(relayed, KeptElsewhere(detail))]

    def _give_up(self, relayed: _Relayed) -> list[Effect]:
        fields = {
            "request": relayed.request_id,
            "call": type(relayed.call).__name__,
            "tries": relayed.tries,
            "may_be_done": relayed.may_be_done,
        }
        may_be_done = relayed.may_be_done and isinstance(relayed.call, SubmitJob | EndJob)
        failure = BatchFailure(may_be_done, BATCH_CALL_RETRY_AFTER_SECONDS)
        return [LogEvent("batch.given_up", fields), *self._finish(relayed, failure)]

    def _finish(self, relayed: _Relayed, reply: BatchReply | BatchFailure) -> list[Effect]:
        del self._relayed[relayed.request_id]
        self._finished.append(RelayFinished(relayed.request_id, reply))
        return [CancelTimer(f"{TIMER_PREFIX}{relayed.request_id}")]
