"""Relays batch calls from a gateway to the leading keeper.

The relay follows redirects to the leader and retries until a deadline. It first sends reads of
results to a nearby replica (`near_copies`), if there is one.
"""

from http import HTTPStatus

import msgspec

from merlinstand.batch_calls.calls import (
    CALL_PATH,
    BatchCall,
    BatchReply,
    CommitTimeout,
    EndJob,
    Invalid,
    NotLeader,
    OutsideAllowedRegions,
    ReadResults,
    ResultsPage,
    SubmitJob,
    decode_reply,
    encode,
)
from merlinstand.cluster.regions import UNRESTRICTED, StorageNode, find_node_outside
from merlinstand.cluster.zone_map import ZoneMap
from merlinstand.common.decoding import DECODE_ERRORS
from merlinstand.common.errors import STOPPING_RETRY_AFTER_SECONDS
from merlinstand.common.ids import CallId, RequestId
from merlinstand.decisions.rejection import BATCH_CALL_RETRY_AFTER_SECONDS
from merlinstand.directory.follower import DirectoryFollower
from merlinstand.forwarding.interface import BatchFailure
from merlinstand.forwarding.near_copies import NearbyReplicas
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
RETRY_DELAY_SECONDS = 0.1
"""Delay before a call is sent again after it failed or reached a keeper that knows no leader."""
REPLICA_TIMEOUT_SECONDS = 0.25
"""Timeout of a read from a nearby replica, which normally responds within a few milliseconds; after
it, the leader is called instead."""
CONNECT_TIMEOUT_SECONDS = 0.3
"""Connect timeout for a keeper. If no connection was established, the call has certainly not
run."""
_HEADERS = {"content-type": "application/msgpack"}


class _PendingCall(msgspec.Struct):
    request_id: RequestId
    call: BatchCall
    """The call; a submitted job is kept without its items, which `body` holds."""
    body: bytes
    deadline_at: float
    allowed_regions: frozenset[str] = UNRESTRICTED
    """Regions where the job's data may be stored."""
    attempts: int = 0
    call_id: CallId | None = None
    address: str = ""
    may_have_run: bool = False
    is_at_replica: bool = False
    """Whether the current call goes to a nearby replica and not to the leader."""


class FinishedBatchCall(msgspec.Struct, frozen=True):
    """A batch call that has ended."""

    request_id: RequestId
    reply: BatchReply | BatchFailure


class BatchRelay:
    """All pending batch calls of one gateway."""

    def __init__(self, settings: ForwardingSettings, follower: DirectoryFollower) -> None:
        self._settings = settings
        self._follower = follower
        self._zone_map = ZoneMap(settings.zones)
        self._pending: dict[RequestId, _PendingCall] = {}
        self._finished: list[FinishedBatchCall] = []
        self._leader_hint = ""
        """HTTP address of the leader as last reported by a keeper; empty if unknown."""
        self._rotation = 0

        self._replicas = NearbyReplicas(settings.zone, self._zone_map, follower)

    def __len__(self) -> int:
        """Return the number of pending calls."""
        return len(self._pending)

    def take_finished(self) -> list[FinishedBatchCall]:
        """Return the batch calls that ended since this method was last called."""
        finished, self._finished = self._finished, []
        return finished

    def deadline_of(self, call: BatchCall, now: float) -> float:
        """Return the local time by which a call that begins now has ended."""
        limit = self._settings.batch_call_seconds
        if isinstance(call, ReadResults):
            limit += call.wait_seconds
        return now + limit

    def begin(self, request_id: RequestId, call: BatchCall, now: float) -> list[Effect]:
        """Start a call; a read of results goes to a nearby replica first, if there is one."""
        pending = _PendingCall(request_id, call, encode(call), self.deadline_of(call, now))
        if isinstance(call, SubmitJob):
            pending.allowed_regions = frozenset(call.allowed_regions)
            pending.call = _without_items(call)
        self._pending[request_id] = pending
        if isinstance(call, ReadResults):
            replica = self._replicas.choose(now)
            if replica:
                pending.is_at_replica = True
                return self._start_call(pending, replica, REPLICA_TIMEOUT_SECONDS)
        return self._send_to_leader(pending, now)

    def abort(self, request_id: RequestId) -> list[Effect]:
        """Cancel a call whose caller disconnected."""
        pending = self._pending.pop(request_id, None)
        if pending is None:
            return []
        effects: list[Effect] = [CancelTimer(f"{TIMER_PREFIX}{request_id}")]
        if pending.call_id is not None:
            effects.append(CancelCall(pending.call_id))
        return effects

    def end_all(self) -> list[Effect]:
        """End all pending calls, because the process stops."""
        effects: list[Effect] = []
        for pending in list(self._pending.values()):
            if pending.call_id is not None:
                pending.may_have_run = True
                effects.append(CancelCall(pending.call_id))
            effects.extend(self._fail(pending, STOPPING_RETRY_AFTER_SECONDS))
        return effects

    def on_timer(self, name: str, now: float) -> list[Effect]:
        """Handle a timer whose name starts with `TIMER_PREFIX`: send the call again."""
        pending = self._pending.get(RequestId(name.removeprefix(TIMER_PREFIX)))
        if pending is None or pending.call_id is not None:
            return []
        return self._send_to_leader(pending, now)

    def on_call(self, event: CallResponded | CallFailed, now: float) -> list[Effect]:
        """Handle the end of an HTTP call whose id starts with `CALL_PREFIX`."""
        request_id = RequestId(event.call_id.removeprefix(CALL_PREFIX).rpartition("#")[0])
        pending = self._pending.get(request_id)
        if pending is None or pending.call_id != event.call_id:
            return []
        pending.call_id = None
        if pending.is_at_replica:
            return self._on_replica_call(pending, event, now)
        if isinstance(event, CallFailed):
            return self._after_failure(pending, event.phase is not CallPhase.CONNECT, now)
        try:
            reply = decode_reply(event.body)
        except DECODE_ERRORS:
            # A keeper that stops or has no room rejects calls before they reach its reducer.
            is_rejection = event.status == HTTPStatus.SERVICE_UNAVAILABLE
            retry_after = _retry_after_seconds(event.headers) if is_rejection else 0.0
            if retry_after > 0.0:
                return self._fail(pending, retry_after)
            return self._after_failure(pending, not is_rejection, now)
        return self._on_reply(pending, reply, now)

    def _after_failure(self, pending: _PendingCall, may_have_run: bool, now: float) -> list[Effect]:
        """Retry after a keeper gave no reply, at another keeper if this one was the hinted leader.

        Args:
            pending: The call.
            may_have_run: Whether the keeper may have executed it.
            now: Local time in seconds.
        """
        pending.may_have_run |= may_have_run
        if self._leader_hint == pending.address:
            self._leader_hint = ""
        return self._schedule_retry(pending, now)

    def _on_replica_call(
        self, pending: _PendingCall, event: CallResponded | CallFailed, now: float
    ) -> list[Effect]:
        """Accept a results page from a replica; on any other reply, call the leader."""
        pending.is_at_replica = False
        if isinstance(event, CallFailed):
            self._replicas.record_failure(pending.address, now)
            return self._send_to_leader(pending, now)
        try:
            reply = decode_reply(event.body)
        except DECODE_ERRORS:
            self._replicas.record_failure(pending.address, now)
            return self._send_to_leader(pending, now)
        if isinstance(reply, ResultsPage):
            return self._finish(pending, reply)
        return self._send_to_leader(pending, now)

    def _on_reply(self, pending: _PendingCall, reply: BatchReply, now: float) -> list[Effect]:
        if isinstance(reply, CommitTimeout):
            pending.may_have_run = True
            return self._schedule_retry(pending, now)
        if isinstance(reply, NotLeader):
            is_new = reply.http_address not in ("", pending.address)
            self._leader_hint = reply.http_address if is_new else ""
            return (
                self._send_to_leader(pending, now) if is_new else self._schedule_retry(pending, now)
            )
        if not isinstance(reply, Invalid):
            self._leader_hint = pending.address
        return self._finish(pending, reply)

    def _schedule_retry(self, pending: _PendingCall, now: float) -> list[Effect]:
        if now + RETRY_DELAY_SECONDS >= pending.deadline_at:
            return self._fail(pending)
        return [SetTimer(f"{TIMER_PREFIX}{pending.request_id}", RETRY_DELAY_SECONDS)]

    def _send_to_leader(self, pending: _PendingCall, now: float) -> list[Effect]:
        if pending.allowed_regions:
            # Checked before each attempt, since the set of keepers can change.
            keepers = (StorageNode(keeper.name, keeper.zone) for keeper in self._follower.keepers)
            disallowed = find_node_outside(keepers, pending.allowed_regions, self._zone_map)
            if disallowed is not None:
                return self._reject_for_region(pending, disallowed)
        address = self._choose_address(pending)
        if now >= pending.deadline_at:
            return self._fail(pending)
        if not address:
            return self._schedule_retry(pending, now)
        timeout = min(self._settings.keeper_call_seconds, pending.deadline_at - now)
        if isinstance(pending.call, ReadResults):
            timeout += pending.call.wait_seconds
        return self._start_call(pending, address, timeout)

    def _start_call(
        self, pending: _PendingCall, address: str, timeout_seconds: float
    ) -> list[Effect]:
        pending.attempts += 1
        pending.address = address
        pending.call_id = CallId(f"{CALL_PREFIX}{pending.request_id}#{pending.attempts}")
        call = StartCall(
            call_id=pending.call_id,
            address=address,
            method="POST",
            path=CALL_PATH,
            headers=_HEADERS,
            body=pending.body,
            timeout_seconds=timeout_seconds,
            connect_seconds=CONNECT_TIMEOUT_SECONDS,
            kind=f"{CALL_PREFIX}{type(pending.call).__name__}",
        )
        return [call]

    def _choose_address(self, pending: _PendingCall) -> str:
        leader = self._follower.leading_keeper()
        addresses = [keeper.http_address for keeper in self._follower.keepers]
        # The hinted leader may be missing from the directory; its zone is then unknown, so a
        # job that is restricted to regions is not sent to it.
        if self._leader_hint and (not pending.allowed_regions or self._leader_hint in addresses):
            return self._leader_hint
        self._rotation += 1
        if leader is not None and self._rotation % 2 == 1:
            return leader.http_address
        return addresses[self._rotation // 2 % len(addresses)] if addresses else ""

    def _reject_for_region(self, pending: _PendingCall, disallowed: StorageNode) -> list[Effect]:
        """Fail a call because a keeper is in a region where the job must not be stored.

        Every keeper stores every job, so the job is sent to no keeper.
        """
        if pending.may_have_run:
            return self._fail(pending)
        region = self._zone_map.region_of(disallowed.zone)
        fields = {
            "request": pending.request_id,
            "keeper": disallowed.name,
            "region": region,
            "allowed": ",".join(sorted(pending.allowed_regions)),
        }
        detail = f"keeper {disallowed.name} stands in region {region!r}"
        log = LogEvent("batch.region_not_allowed", fields)
        return [log, *self._finish(pending, OutsideAllowedRegions(detail))]

    def _fail(
        self, pending: _PendingCall, retry_after_seconds: float = BATCH_CALL_RETRY_AFTER_SECONDS
    ) -> list[Effect]:
        fields = {
            "request": pending.request_id,
            "call": type(pending.call).__name__,
            "attempts": pending.attempts,
            "may_have_run": pending.may_have_run,
        }
        may_have_run = pending.may_have_run and isinstance(pending.call, SubmitJob | EndJob)
        failure = BatchFailure(may_have_run, retry_after_seconds)
        return [LogEvent("batch.given_up", fields), *self._finish(pending, failure)]

    def _finish(self, pending: _PendingCall, reply: BatchReply | BatchFailure) -> list[Effect]:
        del self._pending[pending.request_id]
        self._finished.append(FinishedBatchCall(pending.request_id, reply))
        return [CancelTimer(f"{TIMER_PREFIX}{pending.request_id}")]


def _without_items(call: SubmitJob) -> SubmitJob:
    return msgspec.structs.replace(call, job=msgspec.structs.replace(call.job, items=()))


def _retry_after_seconds(headers: dict[str, str]) -> float:
    """Return the Retry-After of a rejection; 0 if another process may be asked at once."""
    try:
        return max(0.0, float(headers.get("retry-after", "0")))
    except ValueError:
        return 0.0
