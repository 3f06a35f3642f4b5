"""What the leading keeper's parts that run items work with; the keeper's daemon makes it once."""

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
    """The surroundings of the runner of items."""

    jobs: JobStates
    """The replicated jobs."""
    follower: DirectoryFollower
    """The directory."""
    engines: EngineStates
    """All engines."""
    forwarder: Forwarder
    """Makes scoring calls."""
    names: HeaderNames
    """Header names."""
    is_assigned: Callable[[BackendId, str], bool]
    """Whether an engine is there for a model in the first place."""
    split: WeightedChoice
    """Chooses the service of a weighted route."""
    list_result: Callable[[ListResult, float], list[Effect] | None]
    """Proposes a result for its job; None if that can't be done now."""
    keep_texts: Callable[[tuple[TextPart, ...], float], list[Effect] | None]
    """Proposes to remember texts of unfinished items; None likewise."""
    group_time: Callable[[float], float]
    """Gives the time by which jobs were accepted, in seconds, at a local time."""
    places: ZoneMap
    """Regions of the zones."""
    watch: CrashDetector
    """Notices engines that crash."""
