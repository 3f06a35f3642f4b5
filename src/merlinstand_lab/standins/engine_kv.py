"""Export and import of cached keys and values between engines."""

import random

import msgspec

from merlinstand.common.errors import NotFoundError
from merlinstand.common.ids import CallId
from merlinstand.kernel.effects import Effect, StartCall
from merlinstand.kernel.events import CallFailed, CallResponded, RequestReceived
from merlinstand_lab.standins import endpoint
from merlinstand_lab.standins.engine_messages import Exported
from merlinstand_lab.standins.engine_model.sequence import GenerationRequest
from merlinstand_lab.standins.settings import EngineProfile

_TIMEOUT_SECONDS = 3.0
"""Seconds of one import; chosen, not measured."""
_KEPT_EXPORTS = 256
"""Exports; chosen, not measured."""


class ExportedState(msgspec.Struct, frozen=True):
    """Cached state kept for another engine; answer of `GET /v1/kv/HANDLE`."""

    size_bytes: int


class KvExchange:
    """Exports kept here, and imports under way from other engines."""

    def __init__(self, profile: EngineProfile, generator: random.Random, name: str) -> None:
        """Begin without any.

        Args:
            profile: Sizes and transfer speed.
            generator: Source of handles.
            name: Prefix of the handles: this engine in this incarnation.
        """
        self._profile = profile
        self._generator = generator
        self._name = name
        self._exports: dict[str, ExportedState] = {}
        self._importing: dict[CallId, GenerationRequest] = {}

    def keep(self, token_count: int, context_tokens: int) -> Exported:
        """Keep a stream's state; the oldest kept one gives way when there are too many."""
        handle = f"{self._name}-{self._generator.getrandbits(48):x}"
        size_bytes = context_tokens * self._profile.kv_bytes_per_token
        while len(self._exports) >= _KEPT_EXPORTS:
            del self._exports[next(iter(self._exports))]
        self._exports[handle] = ExportedState(size_bytes)
        return Exported(handle, token_count, size_bytes)

    def answer(self, event: RequestReceived, handle: str) -> Effect:
        """Hand kept state to another engine."""
        state = self._exports.get(handle)
        if state is None:
            error = NotFoundError(detail="no such exported state")
            return endpoint.respond_error(event.request_id, error)
        return endpoint.respond_json(event.request_id, state)

    def start_import(self, request: GenerationRequest, handle: str, source: str) -> Effect:
        """Ask the exporting engine for the state that a request resumes from."""
        call_id = CallId(f"import.{request.request_id}.{self._generator.getrandbits(32):x}")
        self._importing[call_id] = request
        return StartCall(call_id, source, "GET", f"/v1/kv/{handle}", {}, b"", _TIMEOUT_SECONDS)

    def imported(self, event: CallResponded | CallFailed) -> GenerationRequest | None:
        """Return the request whose import ended, ready for the model; None if given up.

        Without the state the prompt and the resumed tokens are computed again.
        """
        request = self._importing.pop(event.call_id, None)
        if request is None or isinstance(event, CallFailed) or event.status != 200:
            return request
        state = msgspec.json.decode(event.body, type=ExportedState)
        seconds = state.size_bytes / self._profile.kv_transfer_bytes_per_second
        return msgspec.structs.replace(request, import_seconds=seconds)

    def give_up(self, request_id: str) -> None:
        """Forget the import of a request that ended."""
        self._importing = {
            call_id: request
            for call_id, request in self._importing.items()
            if request.request_id != request_id
        }
