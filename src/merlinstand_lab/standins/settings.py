"""Settings of every stand-in."""

import msgspec


class StandinSettings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Base of all stand-ins' settings."""

    node_id: str
    address: str
    """`ip:port` of its HTTP endpoint."""
    zone: str = ""


class LengthSettings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Heavy-tailed completion lengths: a lognormal body with a Pareto tail."""

    median_tokens: float = 80.0
    sigma: float = 0.6
    tail_probability: float = 0.04
    tail_shape: float = 1.3
    tail_scale: float = 3.0
    """The tail begins at this multiple of the median."""


class BackgroundLoad(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Requests that old scripts send to an engine directly."""

    requests_per_second: float = 0.0
    prompt_tokens: int = 64
    completion_tokens: int = 100


class EngineProfile(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Speed and memory of an engine, and how late and lossy its reports are."""

    step_base_seconds: float = 0.008
    step_seconds_per_sequence: float = 0.0002
    step_seconds_per_context_token: float = 2e-7
    prefill_seconds_per_token: float = 0.00005
    prefill_share: float = 0.5
    """Share of the engine's time that a waiting prefill takes from decoding."""
    maximum_batch: int = 32
    block_tokens: int = 16
    total_blocks: int = 2048
    chunk_interval_seconds: float = 0.2
    """Tokens of a stream are sent together at this interval."""
    text_bytes_per_token: int = 4
    activate_seconds: float = 0.3
    """Pause of decoding while a loaded version is swapped in."""
    restart_seconds: float = 3.0
    """Time to come back after a crash brought about by `POST /lab/faults`."""
    kv_bytes_per_token: int = 32_768
    kv_transfer_bytes_per_second: float = 2e9
    status_interval_seconds: float = 0.5
    status_lag_seconds: float = 0.5
    cache_event_lag_seconds: float = 1.0
    cache_event_loss: float = 0.05
    """Share of the cache events that never appear."""
    lengths: LengthSettings = LengthSettings()
    background: BackgroundLoad = BackgroundLoad()


class EngineSettings(StandinSettings, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """One model engine."""

    model: str
    profile: EngineProfile = EngineProfile()


class ServiceSettings(StandinSettings, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """One server of a service."""

    service: str
    response_median_seconds: float = 0.004
    response_sigma: float = 0.5
    booking_seconds: float = 0.02
    """Median time of a `POST`."""
    maximum_concurrency: int = 128
    response_bytes: int = 300


class WeightStoreSettings(StandinSettings, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """The rate-limited weight store."""

    bytes_per_second: float = 4e9
    maximum_transfers: int = 8
    """Transfers at once; more are refused with 429."""


class ScorerSettings(StandinSettings, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A service that scores samples."""

    response_median_seconds: float = 0.02
    response_sigma: float = 0.4
    slow_seconds: float = 5.0
    """Response time while the fault `slow` lasts."""


class MachineEntry(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """One machine of the platform's list."""

    address: str
    state: str = "live"


class MachineListSettings(StandinSettings, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """The platform's list of machines, which lags."""

    lag_seconds: float = 3.0
    machines: tuple[MachineEntry, ...] = ()


class TrainerSettings(StandinSettings, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """One trainer: pulls batches, trains, publishes weights."""

    consumer: str
    job: str
    model: str
    coordinators: tuple[str, ...]
    """HTTP addresses of all coordinators."""
    controls: tuple[str, ...]
    """HTTP addresses of all control replicas."""
    weight_store: str
    scripts: str = ""
    """HTTP address of the old scripts, if they can feed this trainer too."""
    operator_token: str = ""
    step_seconds: float = 3.0
    steps: int = 0
    """Stop asking after this many steps; 0 goes on for ever."""
    publishes: bool = True
    """Whether this trainer publishes new weights after a step."""
    weight_bytes: int = 2_000_000_000
    retry_seconds: float = 0.2
    request_timeout_seconds: float = 10.0


class ScriptsSettings(StandinSettings, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """What a team writes at the top of its own script."""

    job: str
    model: str
    engines: tuple[str, ...]
    """HTTP addresses."""
    weight_store: str
    batch_size: int
    prompts: tuple[str, ...]
    maximum_tokens: int
    timeout_seconds: float = 300.0
    """Longest wait for one sample before it is begun again."""
    sample_prefix: str = ""
    """Put before its sample ids where merlinstand makes samples of the same job."""


class BurstSettings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A caller that sends many lookups at once, beyond its limit."""

    caller: str = ""
    requests: int = 0
    interval_seconds: float = 10.0


class CallersSettings(StandinSettings, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Live callers of the services and of the engines, through the gateways."""

    gateways: tuple[str, ...]
    """HTTP addresses of all gateways."""
    service: str
    model: str = ""
    lookups_per_second: float = 20.0
    bookings_per_second: float = 2.0
    completions_per_second: float = 0.0
    twin_share: float = 0.3
    """Share of the bookings sent twice at once, through two gateways, under one key."""
    booking_repeatable: bool = False
    deadline_seconds: float = 3.0
    maximum_attempts: int = 4
    retry_seconds: float = 0.2
    completion_tokens: int = 48
    caller_names: tuple[str, ...] = ("web", "partner")
    burst: BurstSettings = BurstSettings()
