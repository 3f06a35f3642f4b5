"""Settings of one coordinator process."""

import msgspec

from merlinstand.common.addresses import NodeAddress
from merlinstand.common.constants import RESOURCE_LEASE_SECONDS


class GenerationSettings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """How generations are sent to engines and how many of them."""

    stream_idle_timeout_seconds: float = 20.0
    """Longest silence of a stream before it is taken for dead and resumed elsewhere."""
    engine_concurrency: int = 24
    """Most generations of this coordinator running on one engine at a time."""
    look_ahead_batches: float = 1.0
    """Finished batches kept ready for each consumer beyond the one it asks for next."""
    over_commit_factor: float = 1.25
    """Most samples in progress for a batch, as a multiple of those it still lacks."""
    hedge_quantile: float = 0.98
    """A generation beyond this quantile of measured duration may be started twice."""
    maximum_attempts: int = 6
    """Interruptions of one sample before its text is thrown away and begun again."""
    scorer_timeout_seconds: float = 2.0
    """Longest wait for one answer of the scorer."""
    scorer_wait_seconds: float = 5.0
    """Longest a finished sample waits for its score; then it goes without one."""


class RolloutSettings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """How new weights reach the engines of a pool."""

    status_interval_seconds: float = 0.5
    """How often the load report of an engine is read."""
    order_timeout_seconds: float = 5.0
    """Longest wait for the answer to an order; then it is sent again."""
    load_timeout_seconds: float = 120.0
    """A load not finished for so long is ordered again under a newer fence."""
    activate_timeout_seconds: float = 10.0
    """An activation not confirmed for so long puts the engine in quarantine."""
    wave_fraction: float = 0.5
    """Largest share of a pool's ready engines that swap at one time (at least one)."""
    quarantine_retry_seconds: float = 1.0
    """Wait before a quarantined engine is ordered to load and activate again."""


class CoordinatorSettings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Identity, peers and tunables of one coordinator."""

    node_id: str
    zone: str
    address: str
    """Where the internal protocol listens, `ip:port`."""
    http_address: str
    """Where trainers, health checks and metrics are served, `ip:port`."""
    control_members: tuple[NodeAddress, ...]
    """Control replicas known at start; later ones come with the configuration."""
    lease_seconds: float = RESOURCE_LEASE_SECONDS
    """Duration of job and engine-group leases."""
    tick_seconds: float = 0.1
    """Interval of the scheduler."""
    maximum_journal_records: int = 2_000
    """Journal records after which a snapshot replaces them."""
    generation: GenerationSettings = GenerationSettings()
    rollout: RolloutSettings = RolloutSettings()
