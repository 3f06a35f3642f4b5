"""Settings of the choice of a backend."""

import msgspec


class BreakerSettings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """When a replica's circuit breaker opens, and for how long."""

    consecutive_failures: int = 5
    """Consecutive failures that open the breaker."""
    failure_share: float = 0.5
    """Share of failures among recent calls that opens the breaker."""
    minimum_calls: float = 10.0
    """Number of recent calls below which `failure_share` is not evaluated."""
    window_seconds: float = 10.0
    """Time constant of the exponential decay of the counted calls."""
    first_open_seconds: float = 1.0
    """How long a breaker first stays open; doubled after each failed probe."""
    longest_open_seconds: float = 20.0
    """Maximum time that a breaker stays open, before jitter."""


class RetryBudgetSettings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """How many retries are allowed in a pool."""

    share: float = 0.2
    """Retries allowed per first attempt."""
    floor_per_second: float = 1.0
    """Retries allowed per second whatever the traffic, so that a quiet pool can retry."""
    burst: float = 20.0
    """Maximum number of unused retries that accumulate."""


class RouterSettings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """How one daemon chooses among the replicas of a pool."""

    subset_size: int = 16
    """Minimum number of replicas in its own zone that a daemon uses. Larger if an even share of the
    zone's replicas among its daemons is larger."""
    remote_subset_size: int = 8
    """Minimum number of replicas in other zones that a daemon uses. Larger if an even share of
    these replicas among all daemons is larger."""
    load_half_life_seconds: float = 2.0
    """Half-life of the load estimate from a replica's report."""
    load_expiry_seconds: float = 15.0
    """Age from which a reported load is ignored."""
    load_report_share: float = 0.1
    """Weight of a replica's new load report in the moving average, above 0, at most 1."""
    spill_utilisation: float = 0.35
    """A request goes to another zone if the utilization of the replica chosen in the local zone is
    higher than that of the one in the other zones by more than this."""
    bounded_load_factor: float = 1.25
    """Maximum load of a replica chosen by prefix affinity, as a multiple of the mean load."""
    panic_share: float = 0.2
    """Unhealthy replicas are used as well if no more than this share of the replicas is healthy.

    Small enough that if one of three or four replicas is healthy, that one gets all requests, since
    requests to the dead replicas would fail."""
    back_off_default_seconds: float = 0.5
    """How long a replica gets no requests after a refusal without `Retry-After`."""
    back_off_maximum_seconds: float = 10.0
    """Upper bound of a replica's `Retry-After`."""
    unanswered_status_limit: int = 3
    """Number of consecutive unanswered status requests from which a replica counts as unhealthy."""
    maximum_hints: int = 4_096
    """Maximum number of cached-prefix digests kept per replica."""
    breaker: BreakerSettings = BreakerSettings()
    """Thresholds of the circuit breakers."""
    retry_budget: RetryBudgetSettings = RetryBudgetSettings()
    """Retries allowed in a pool."""
