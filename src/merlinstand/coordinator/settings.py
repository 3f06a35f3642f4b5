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
    """How generations are sent to engines and how many of them."""

    stream_idle_timeout_seconds: float = 20.0
    """Longest silence of a stream before it is taken for dead and resumed elsewhere."""
    engine_concurrency: int = 32
    """Most generations of this coordinator running on one engine at a time."""
    look_ahead_batches: int = 1
    """Batches generated ahead for each consumer beyond the one it asks for next, as far
    as the staleness bound lets them."""
    pull_hold_seconds: float = 5.0
    """Longest a trainer's request is held open before it is told to ask again."""
    over_commit_factor: float = 1.25
    """Most samples in progress for a batch, as a multiple of its size. Only samples expected
    to end after the batch is due are replaced; they are carried over, not dropped."""
    stall_seconds: float = 3.0
    """A stream silent for so long, on an engine whose status is silent as well, is resumed on
    another engine."""
    export_minimum_tokens: int = 64
    """Generations on a leaving engine are moved, with their KV cache, from so many tokens;
    shorter ones end where they are."""
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
    order_poll_seconds: float = 0.1
    """How often an order under way is sent again, under its fence, to learn its state."""
    maximum_parallel_loads: int = 8
    """Most engines of a pool that load from the weight store at one time; halved whenever
    a load fails."""
    load_timeout_seconds: float = 120.0
    """A load not finished for so long is ordered again under a newer fence."""
    activate_timeout_seconds: float = 10.0
    """An activation not confirmed for so long puts the engine in quarantine: it must load
    again under a newer fence before it may activate."""
    wave_fraction: float = 0.5
    """Largest share of a pool's ready engines that swap at one time (at least one)."""
    retry_seconds: float = 0.5
    """First wait before an engine whose load or swap failed is ordered again; doubles."""
    longest_retry_seconds: float = 10.0
    """Longest of these waits."""


class CoordinatorSettings(DaemonSettings, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Identity, peers and tunables of one coordinator."""

    session: SessionTimings = CoordinatorSessionTimings()
    tick_seconds: float = TICK_SECONDS
    """Interval of the scheduler."""
    maximum_journal_records: int = MAXIMUM_JOURNAL_RECORDS
    """Journal records after which a snapshot replaces them."""
    drain_seconds: float = DRAIN_SECONDS
    """Longest a planned stop waits for generations in flight before it hands over."""
    generation: GenerationSettings = GenerationSettings()
    rollout: RolloutSettings = RolloutSettings()
