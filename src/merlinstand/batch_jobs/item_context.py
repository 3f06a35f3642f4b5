"""Dependencies of the modules that run items; the keeper's daemon creates the context once."""

from collections.abc import Callable

import msgspec

from merlinstand.batch_jobs.engines import EngineStates
from merlinstand.batch_jobs.kept_text import TextPart
from merlinstand.batch_jobs.state_machine import JobStates, ListResult
from merlinstand.cluster.header_names import HeaderNames
from merlinstand.cluster.zone_map import ZoneMap
from merlinstand.common.ids import BackendId
from merlinstand.decisions.service_split import WeightedChoice
from merlinstand.directory.follower import DirectoryFollower
from merlinstand.forwarding.forwarder import Forwarder
from merlinstand.kernel.effects import Effect
from merlinstand.quarantine.crash_watch import CrashDetector


class ItemContext(msgspec.Struct, frozen=True, kw_only=True):
    """Dependencies of `ItemRunner` and its parts."""

    jobs: JobStates
    """The replicated jobs."""
    follower: DirectoryFollower
    """The directory as this keeper knows it."""
    engines: EngineStates
    """All engines."""
    forwarder: Forwarder
    """Makes scoring calls."""
    header_names: HeaderNames
    is_assigned: Callable[[BackendId, str], bool]
    """Whether an engine is assigned a model and so keeps its weights current."""
    service_choice: WeightedChoice
    """Chooses among the services of a route by their weights."""
    propose_result: Callable[[ListResult, float], list[Effect] | None]
    """Proposes the command that appends a result to its job; returns None if nothing can be
    proposed now."""
    propose_checkpoints: Callable[[tuple[TextPart, ...], float], list[Effect] | None]
    """Proposes checkpoints of texts; returns None if nothing can be proposed now."""
    group_time: Callable[[float], float]
    """Converts a local time to the consensus group's replicated clock; both in seconds."""
    zone_map: ZoneMap
    """Maps zones to regions."""
    event_timeout_seconds: float
    """A run ends if data arrives, but no event of the text for this long."""
    crash_detector: CrashDetector
    """Detects crashed engines."""
