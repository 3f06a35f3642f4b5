"""A stream on its way, and its try: the state that `stream_forwarder` keeps of each."""

import msgspec

from merlinstand.cluster.backends import Backend
from merlinstand.common.event_stream import EventCutter
from merlinstand.common.ids import BackendId, CallId
from merlinstand.decisions.retry import FailureVerdict, has_tries_left, judge_failure
from merlinstand.forwarding.server_picker import Target
from merlinstand.quarantine.request_digest import KnownRequest


class PendingStream(KnownRequest):
    """A stream on its way."""

    tried: set[BackendId] = msgspec.field(default_factory=set)
    tries: int = 0
    sent: int = 0
    """Tries that ran, may have run, or were turned away; not those that never connected."""
    call_id: CallId | None = None
    target: Target | None = None
    """Server of the present try, or of the last one."""
    may_have_run: bool = False
    is_started: bool = False
    """Whether the caller has the head of the answer."""
    is_failure: bool = False
    """Whether the answer is no stream but a server's failure, passed on as it comes."""
    last_event_id: int = 0
    probed_backend: BackendId | None = None
    """Server at which its last try broke off, while that is asked for a sign of life."""
    last_reason: str = ""
    cutter: EventCutter = msgspec.field(default_factory=EventCutter)

    @property
    def backend(self) -> Backend | None:
        """Server of the present try, or of the last one."""
        return self.target.backend if self.target is not None else None

    def judge_try(self, is_server_probed: bool) -> FailureVerdict:
        """Judge its last try, which has ended before the stream was whole.

        Args:
            is_server_probed: Whether the try's server is asked for a sign of life, and the stream
                may be sent on at all.
        """
        route = self.request.route
        if self.is_failure or not has_tries_left(route, self.sent, self.tries):
            return FailureVerdict.GIVE_UP
        return judge_failure(route.is_resumable, self.may_have_run, is_server_probed, True)
