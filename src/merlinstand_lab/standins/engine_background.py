"""Load that old scripts put on an engine beside merlinstand."""

import random

from merlinstand_lab.standins.engine_model.sequence import GenerationRequest
from merlinstand_lab.standins.settings import EngineProfile


class BackgroundSource:
    """Poisson arrivals of requests whose streams nobody here reads."""

    def __init__(self, profile: EngineProfile, generator: random.Random, now: float) -> None:
        """Plan the first arrival."""
        self._load = profile.background
        self._generator = generator
        self._count = 0
        self.next_at: float | None = self._plan(now)

    def due(self, now: float) -> list[GenerationRequest]:
        """Return the requests that arrived up to now."""
        requests = []
        while self.next_at is not None and self.next_at <= now:
            self._count += 1
            requests.append(
                GenerationRequest(
                    request_id=f"background-{self._count}",
                    prompt_tokens=self._load.prompt_tokens,
                    target_tokens=self._load.completion_tokens,
                    background=True,
                )
            )
            self.next_at = self._plan(self.next_at)
        return requests

    def _plan(self, after: float) -> float | None:
        """Draw the next arrival."""
        if self._load.requests_per_second <= 0:
            return None
        return after + self._generator.expovariate(self._load.requests_per_second)
