"""Helpers of the engine model's tests: a serving model, requests, a run to the end."""

from merlinstand_lab.standins.engine_model.model import EngineModel
from merlinstand_lab.standins.engine_model.sequence import (
    Finished,
    GenerationRequest,
    ModelEvent,
)
from merlinstand_lab.standins.settings import EngineProfile


def serving(profile: EngineProfile) -> EngineModel:
    """A model that serves version 1 since 0.1 s."""
    model = EngineModel(profile, 0.0)
    model.activate(1, 0.1, 0.0)
    model.advance(0.1)
    return model


def request(name: str, tokens: int = 20, **changes: object) -> GenerationRequest:
    """A request with a short prompt."""
    fields: dict[str, object] = {"request_id": name, "prompt_tokens": 16, "target_tokens": tokens}
    return GenerationRequest(**(fields | changes))  # type: ignore[arg-type]


def run_dry(model: EngineModel) -> list[tuple[float, ModelEvent]]:
    """Advance until nothing is left to happen; returns the events with their times."""
    events = []
    while (at := model.next_event_at()) is not None:
        events += [(at, event) for event in model.advance(at)]
    return events


def finish_time(events: list[tuple[float, ModelEvent]], name: str) -> float:
    """When a request ended."""
    return next(
        at for at, event in events if isinstance(event, Finished) and event.request_id == name
    )
