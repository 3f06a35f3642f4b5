"""Settings of one coordinator process."""

import msgspec

from merlinstand.session.settings import CoordinatorSessionTimings, DaemonSettings, SessionTimings

TICK_SECONDS = 0.05
"""Default of `CoordinatorSettings.tick_seconds`."""

MAXIMUM_JOURNAL_RECORDS = 2_000
"""Default of `CoordinatorSettings.maximum_journal_records`."""

DRAIN_SECONDS = 20.0
"""Default of `CoordinatorSettings.drain_seconds`."""


class GenerationSettings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """How many generations are started, and how they are sent to engines."""

    stream_idle_timeout_seconds: float = 20.0
    """Idle timeout of a stream, after which the sample is resumed on another engine."""
    engine_concurrency: int = 32
    """Limit on concurrent generations of this coordinator on one engine."""
    look_ahead_batches: int = 1
    """Number of batches generated ahead for each consumer beyond the one it requests next, as far
    as the staleness bound allows."""
    pull_hold_seconds: float = 5.0
    """Maximum time that a trainer's request is held before the trainer is told to retry."""
    over_commit_factor: float = 1.25
    """Limit on samples in progress for a batch, as a multiple of its size. Only samples expected
    to finish after the batch is due are replaced; they are carried over, not dropped."""
    stall_seconds: float = 3.0
    """A stream is resumed on another engine if neither the stream nor its engine's status was
    received for this long."""
    export_minimum_tokens: int = 64
    """Generations with at least this many tokens are moved off a leaving engine with their KV
    cache; shorter ones finish on that engine."""
    maximum_attempts: int = 6
    """Number of interruptions without progress after which a sample restarts from its prompt."""
    scorer_timeout_seconds: float = 2.0
    """Timeout of one call to the scorer."""
    scorer_wait_seconds: float = 5.0
    """Maximum time that a finished sample waits for its score; then it is used without a score."""


class RolloutSettings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """How new weights are rolled out to the engines of a pool."""

    status_interval_seconds: float = 0.5
    """Interval at which the status of an engine is polled."""
    order_timeout_seconds: float = 5.0
    """Timeout of a call that sends an order (a command to an engine); then the order is resent."""
    order_poll_seconds: float = 0.1
    """Interval at which a pending order is resent, with the same fence, to poll its state."""
    maximum_parallel_loads: int = 8
    """Limit on engines of a pool that load from the weight store concurrently; halved whenever
    a load fails."""
    load_timeout_seconds: float = 120.0
    """A load that has not finished after this long is ordered again with a newer fence."""
    activate_timeout_seconds: float = 10.0
    """An activation that is not confirmed after this long puts the engine in quarantine: it must
    load again with a newer fence before it may activate."""
    wave_fraction: float = 0.5
    """Largest part of a pool's serving engines that swap concurrently (at least one)."""
    retry_seconds: float = 0.5
    """First delay before an engine whose load or swap failed gets another order; doubles."""
    longest_retry_seconds: float = 10.0
    """Limit on the delay that starts at `retry_seconds`."""


class CoordinatorSettings(DaemonSettings, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Identity, peers and settings of one coordinator."""

    session: SessionTimings = CoordinatorSessionTimings()
    tick_seconds: float = TICK_SECONDS
    """Interval of the scheduler."""
    maximum_journal_records: int = MAXIMUM_JOURNAL_RECORDS
    """Number of journal records after which a snapshot replaces them."""
    drain_seconds: float = DRAIN_SECONDS
    """Maximum time that a planned stop waits for generations in progress."""
    generation: GenerationSettings = GenerationSettings()
    rollout: RolloutSettings = RolloutSettings()
