"""Prompt texts of a job, from its configuration or from a prompt server."""

from collections import OrderedDict

import msgspec

from merlinstand.common.decoding import DECODE_ERRORS
from merlinstand.configuration.objects import Job
from merlinstand.coordinator.context import Context
from merlinstand.coordinator.purposes import PromptCall
from merlinstand.kernel.events import CallFailed, CallResponded

PAGE_PROMPTS = 64
"""Number of prompts in one request; also the unit of the cache."""

MAXIMUM_PAGES = 64
"""Number of cached pages for each job; the least recently used is evicted."""

CALL_TIMEOUT_SECONDS = 5.0
"""Timeout of a request for one page."""

RETRY_SECONDS = 1.0
"""Delay before a missing page is requested again, whether or not a response arrived."""


class PromptPage(msgspec.Struct, frozen=True):
    """Response of a prompt server to `GET /v1/prompts?offset=&limit=`."""

    prompts: tuple[str, ...]


class PromptCache:
    """Returns prompt texts by index and caches a bounded number of pages."""

    def __init__(self, job: Job) -> None:
        self._job = job
        self._pages: OrderedDict[int, tuple[str, ...]] = OrderedDict()
        self._requested_at: dict[int, float] = {}

    def configure(self, job: Job) -> None:
        """Apply the job's new configuration."""
        if job.prompt_source != self._job.prompt_source:
            self._pages.clear()
        self._job = job

    def text(self, context: Context, prompt_index: int) -> str | None:
        """Return a prompt's text; None while it is fetched, or if the job has no prompts."""
        if not self._job.prompt_source:
            prompts = self._job.prompts
            return prompts[prompt_index % len(prompts)] if prompts else None
        offset = prompt_index - prompt_index % PAGE_PROMPTS
        page = self._pages.get(offset)
        if page is None:
            self._fetch(context, offset)
            return None
        self._pages.move_to_end(offset)
        # A page with fewer prompts than requested is the last one of the source; after it, the
        # source's prompts are repeated from the first.
        return page[(prompt_index - offset) % len(page)]

    def handle_response(self, offset: int, event: CallResponded | CallFailed) -> None:
        """Cache a page; after a failed or malformed response it is requested again."""
        if isinstance(event, CallFailed) or event.status != 200:
            return
        try:
            page = msgspec.json.decode(event.body, type=PromptPage)
        except DECODE_ERRORS:
            return
        if page.prompts:
            self._requested_at.pop(offset, None)
            self._pages[offset] = page.prompts
            while len(self._pages) > MAXIMUM_PAGES:
                self._pages.popitem(last=False)

    def _fetch(self, context: Context, offset: int) -> None:
        asked_at = self._requested_at.get(offset)
        if asked_at is not None and context.now - asked_at < RETRY_SECONDS:
            return
        self._requested_at = {
            known: at
            for known, at in self._requested_at.items()
            if context.now - at < CALL_TIMEOUT_SECONDS
        }
        self._requested_at[offset] = context.now
        context.start_call(
            PromptCall(self._job.name, offset),
            self._job.prompt_source,
            "GET",
            f"/v1/prompts?offset={offset}&limit={PAGE_PROMPTS}",
            timeout_seconds=CALL_TIMEOUT_SECONDS,
        )
