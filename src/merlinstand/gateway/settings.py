"""Settings of one gateway process."""

import msgspec

from merlinstand.common.constants import MAXIMUM_REQUEST_BODY_BYTES
from merlinstand.routing.settings import RetryBudgetSettings, RouterSettings
from merlinstand.session.settings import DaemonSettings


class AdmissionSettings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Limits on the requests that a gateway admits, in total and per caller."""

    maximum_requests: int = 2_000
    """Maximum number of admitted requests, queued or in flight."""
    lookup_floor: float = 0.4
    """Share of `maximum_requests` that is reserved for lookups, 0 to 1."""
    maximum_queued_per_pool: int = 512
    """Maximum number of queued requests per pool. When it is reached, a request of the caller
    with the most queued work by weight is rejected."""
    maximum_queued_per_caller: int = 128
    """Maximum number of queued requests per pool and caller."""
    maximum_lookup_wait_seconds: float = 1.0
    """Maximum time that a lookup is queued before it is rejected."""
    maximum_generation_wait_seconds: float = 20.0
    """Maximum time that a generation is queued before it is rejected."""
    maximum_callers: int = 4_096
    """Maximum number of callers with token buckets of their own; further callers share one set."""
    generation_loop_delay_seconds: float = 0.25
    """Event loop lag at or above which generations are rejected."""
    lookup_loop_delay_seconds: float = 1.0
    """Event loop lag at or above which lookups are rejected as well."""
    burst_seconds: float = 1.0
    """Burst of rate limits, given as the time in which the rate allows as much as the burst."""


class RequestSettings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Size limits, timeouts and retries of single requests."""

    maximum_body_bytes: int = MAXIMUM_REQUEST_BODY_BYTES
    """Maximum size of a request body."""
    maximum_path_bytes: int = 8_192
    """Maximum length of path and query."""
    maximum_header_bytes: int = 32_768
    """Maximum size of all header names and values together."""
    maximum_deadline_seconds: float = 3_600.0
    """Upper bound of a caller's deadline."""
    generation_deadline_seconds: float = 600.0
    """Deadline of generations without `X-Deadline-Seconds`."""
    stream_idle_seconds: float = 20.0
    """Idle time after which a stream is resumed on another engine."""
    maximum_stream_reads_per_second: float = 2_000.0
    """Target rate of reads from engines, over all streams."""
    shortest_read_interval_seconds: float = 0.02
    """If the read interval would be shorter than this, tokens are forwarded at once."""
    longest_read_interval_seconds: float = 0.1
    """Maximum time that tokens of a stream are buffered."""
    resume_patience_seconds: float = 30.0
    """Maximum wait for an engine that resumes an interrupted generation."""
    resume_interval_seconds: float = 0.1
    """Interval between searches for an engine that resumes an interrupted generation."""
    maximum_answer_bytes: int = 16 * 1024 * 1024
    """Maximum characters of a completion for a caller that did not request a stream."""
    maximum_tries: int = 4
    """Maximum number of attempts per repeatable request."""
    first_try_share: float = 0.5
    """Timeout of an attempt of a repeatable request, as a share of the time left."""
    minimum_try_seconds: float = 0.25
    """Minimum timeout of an attempt, within the time left."""
    hedge_factor: float = 2.0
    """Multiple of the 95th percentile of latency after which lookups are hedged; 0 disables it."""
    shortest_hedge_seconds: float = 0.01
    """Minimum time after which a lookup is hedged."""
    hedge_budget: RetryBudgetSettings = RetryBudgetSettings(share=0.1)
    """Budget of hedges; its `share` is the number of hedges allowed per first attempt."""
    require_response_id: bool = True
    """Whether backends' responses without the request's id are rejected."""


class ClaimSettings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Claims on idempotency keys."""

    pending_retry_seconds: float = 1.0
    """Retry delay of a duplicate of a request in flight."""
    maximum_recorded_bytes: int = 65_536
    """Maximum size of a response body recorded for duplicates; for a larger body, the outcome is
    recorded as `unknown`."""
    linger_seconds: float = 10.0
    """How long a sent request continues after its caller's deadline, even if the caller has
    disconnected, so that its outcome can be recorded for duplicates."""
    record_timeout_seconds: float = 300.0
    """How long claim requests and outcome records are retried."""
    maximum_claims: int = 1_024
    """Maximum number of claims whose end the control group has not confirmed."""


class StopSettings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Timeouts of a planned stop."""

    grace_seconds: float = 1.0
    """Minimum time during which a stopping gateway still responds, with rejections, so that
    connections of requests already sent are not reset."""
    patience_seconds: float = 10.0
    """Maximum wait until the control group confirms the last outcomes."""


class HealthSettings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Polling of backends and of the machine list."""

    status_interval_seconds: float = 0.5
    """Minimum interval between status requests to one backend."""
    maximum_status_requests_per_second: float = 40.0
    """Maximum total rate of status requests; the interval per backend grows with the number of
    backends."""
    status_timeout_seconds: float = 1.0
    """Timeout of status, machine list and cache event requests."""
    machine_list_interval_seconds: float = 1.0
    """Interval between requests for the platform's machine list."""
    cache_event_interval_seconds: float = 1.0
    """Interval between cache event requests to one engine; 0 disables them."""


class GatewaySettings(DaemonSettings, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Identity, peers and settings of one gateway."""

    admission: AdmissionSettings = AdmissionSettings()
    requests: RequestSettings = RequestSettings()
    claims: ClaimSettings = ClaimSettings()
    stop: StopSettings = StopSettings()
    health: HealthSettings = HealthSettings()
    routing: RouterSettings = RouterSettings()
