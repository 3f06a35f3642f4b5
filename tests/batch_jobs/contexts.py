"""Creates the `ItemContext` of an `ItemRunner` under test."""

from collections.abc import Callable

from merlinstand.batch_jobs.engines import EngineStates
from merlinstand.batch_jobs.item_context import ItemContext
from merlinstand.batch_jobs.kept_text import TextPart
from merlinstand.batch_jobs.state_machine import JobStates, ListResult
from merlinstand.cluster.header_names import HeaderNames
from merlinstand.cluster.zone_map import ZoneMap
from merlinstand.decisions.service_split import WeightedChoice
from merlinstand.directory.follower import DirectoryFollower
from merlinstand.forwarding.forwarder import Forwarder
from merlinstand.kernel.effects import Effect
from merlinstand.quarantine.crash_watch import CrashDetector

EVENT_TIMEOUT_SECONDS = 3.0


def make_context(
    jobs: JobStates,
    follower: DirectoryFollower,
    engines: EngineStates,
    forwarder: Forwarder,
    names: HeaderNames,
    list_result: Callable[[ListResult, float], list[Effect] | None],
    keep_texts: Callable[[tuple[TextPart, ...], float], list[Effect] | None] | None = None,
    places: ZoneMap | None = None,
) -> ItemContext:
    """Make a context in which each engine is assigned all models and group time is local time."""
    suspects = follower.suspects
    return ItemContext(
        jobs=jobs,
        follower=follower,
        engines=engines,
        forwarder=forwarder,
        header_names=names,
        is_assigned=lambda _backend, _model: True,
        service_choice=WeightedChoice(),
        propose_result=list_result,
        propose_checkpoints=keep_texts or (lambda _parts, _now: []),
        group_time=lambda now: now,
        zone_map=places or ZoneMap(),
        event_timeout_seconds=EVENT_TIMEOUT_SECONDS,
        crash_detector=CrashDetector(
            suspects, names, follower.health_path_of, follower.cold_budget
        ),
    )
