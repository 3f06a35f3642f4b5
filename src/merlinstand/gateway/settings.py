"""Settings of one gateway process."""

import msgspec

from merlinstand.common.constants import MAXIMUM_REQUEST_BODY_BYTES
from merlinstand.routing.settings import RetryBudgetSettings, RouterSettings
from merlinstand.session.settings import DaemonSettings


class AdmissionSettings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """How much work a gateway takes in, and from whom."""

    maximum_requests: int = 2_000
    """Most requests inside the gateway, waiting or in flight."""
    lookup_floor: float = 0.4
    """Share of `maximum_requests` that generations can never take from lookups."""
    maximum_queued_per_pool: int = 512
    """Most requests waiting for one pool."""
    maximum_queued_per_caller: int = 128
    """Most requests of one caller waiting for one pool."""
    maximum_lookup_wait_seconds: float = 1.0
    """Longest wait of a lookup in a queue; then it is refused."""
    maximum_generation_wait_seconds: float = 20.0
    """Longest wait of a generation in a queue; then it is refused."""
    maximum_callers: int = 4_096
    """Callers with state of their own; the rest share one."""
    generation_loop_delay_seconds: float = 0.25
    """Delay of the process's loop at which generations are refused."""
    lookup_loop_delay_seconds: float = 1.0
    """Delay of the process's loop at which lookups are refused too."""
    burst_seconds: float = 1.0
    """Rate limits let through at once what they allow in this time."""


class RequestSettings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Bounds and time limits of single requests."""

    maximum_body_bytes: int = MAXIMUM_REQUEST_BODY_BYTES
    """Largest request body; a larger one is refused."""
    maximum_path_bytes: int = 8_192
    """Longest path with query."""
    maximum_header_bytes: int = 32_768
    """Most bytes of all headers together."""
    maximum_deadline_seconds: float = 3_600.0
    """Longest time a caller may ask for."""
    generation_deadline_seconds: float = 600.0
    """Time for a generation that named no deadline."""
    stream_idle_seconds: float = 20.0
    """Longest silence of a stream before it is resumed on another engine."""
    maximum_stream_reads_per_second: float = 2_000.0
    """Reads of engines' streams that are aimed at, all streams together."""
    shortest_read_interval_seconds: float = 0.02
    """Below this interval between reads of a stream, tokens go out as they come."""
    longest_read_interval_seconds: float = 0.1
    """Longest time for which a stream's tokens gather."""
    resume_patience_seconds: float = 30.0
    """Longest search for an engine that goes on with an interrupted generation."""
    resume_interval_seconds: float = 0.1
    """Interval of that search."""
    maximum_answer_bytes: int = 16 * 1024 * 1024
    """Largest answer body gathered from a stream for a caller that did not ask for one."""
    maximum_tries: int = 4
    """Most back ends tried for one repeatable request."""
    first_try_share: float = 0.5
    """Share of the remaining time for which a repeatable try may be silent."""
    minimum_try_seconds: float = 0.25
    """Least time given to one try, whatever `first_try_share` leaves."""
    hedge_factor: float = 2.0
    """A lookup is hedged after so many times what 95 of 100 take; 0 switches hedging off."""
    shortest_hedge_seconds: float = 0.01
    """Hedges never begin earlier than this."""
    hedge_budget: RetryBudgetSettings = RetryBudgetSettings(share=0.1)
    """Hedges allowed for each first try."""
    require_response_id: bool = True
    """Refuse an answer of a back end that does not carry the request's id back."""


class ClaimSettings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """How idempotency keys are claimed."""

    pending_retry_seconds: float = 1.0
    """When a twin of a request still in flight should come back."""
    maximum_recorded_bytes: int = 65_536
    """Largest answer body that is recorded for twins; a larger one is recorded `unknown`."""
    linger_seconds: float = 10.0
    """How long a dispatched request goes on after its caller's deadline or departure, so that
    its outcome can be recorded for twins."""
    record_timeout_seconds: float = 300.0
    """How long the record of an outcome is sent again and again."""
    maximum_claims: int = 1_024
    """Claims and records under way at one time."""


class StopSettings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """How a planned stop ends."""

    grace_seconds: float = 1.0
    """How long a stopping gateway still answers, though with refusals, so that requests already
    on their way are not cut off."""
    patience_seconds: float = 10.0
    """Longest wait for control to take in the last outcomes."""


class HealthSettings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """How back ends are watched."""

    status_interval_seconds: float = 0.5
    """Shortest interval between status requests to one back end."""
    maximum_status_requests_per_second: float = 40.0
    """Bound on all status requests: the interval grows with the number of back ends."""
    status_timeout_seconds: float = 1.0
    """Longest wait for one load report."""
    machine_list_interval_seconds: float = 1.0
    """How often the platform's machine list is read."""
    cache_event_interval_seconds: float = 1.0
    """Interval of cache-event requests to one engine; 0 switches them off."""


class GatewaySettings(DaemonSettings, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Identity, peers and tunables of one gateway."""

    admission: AdmissionSettings = AdmissionSettings()
    requests: RequestSettings = RequestSettings()
    claims: ClaimSettings = ClaimSettings()
    stop: StopSettings = StopSettings()
    health: HealthSettings = HealthSettings()
    routing: RouterSettings = RouterSettings()
