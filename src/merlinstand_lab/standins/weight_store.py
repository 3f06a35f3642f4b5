"""The weight store: versions by model, transfers limited in rate and number."""

from collections.abc import Sequence

import msgspec
import xxhash
from result import Err

from merlinstand.common.errors import MerlinstandError, NotFoundError
from merlinstand.kernel.effects import Effect, SetTimer, StopProcess, WriteRecord
from merlinstand.kernel.events import Event, RequestReceived, Started, StopRequested, TimerFired
from merlinstand_lab.records.kinds import StoreRecord
from merlinstand_lab.standins import endpoint
from merlinstand_lab.standins.engine_messages import StoreAnswer, StorePut, StorePutAnswer
from merlinstand_lab.standins.settings import WeightStoreSettings

_WEIGHTS_PREFIX = "/v1/weights/"
_TRANSFER_TIMER = "store.transfer."


class RateUsedUpError(MerlinstandError, frozen=True, kw_only=True):
    """Too many transfers at once."""

    code = "rate_used_up"
    http_status = 429


class StoredVersion(msgspec.Struct, frozen=True):
    """One version in the store."""

    digest: str
    size_bytes: int


class WeightStore:
    """Reducer of the store."""

    def __init__(self, settings: WeightStoreSettings) -> None:
        """Begin empty."""
        self._settings = settings
        self._versions: dict[tuple[str, int], StoredVersion] = {}
        self._transfers = 0
        self._transfer_count = 0

    def start(self, event: Started, now: float) -> Sequence[Effect]:
        """Begin."""
        return ()

    def reduce(self, event: Event, now: float) -> Sequence[Effect]:
        """Take one event."""
        match event:
            case RequestReceived():
                return self._request(event, now)
            case TimerFired() if event.name.startswith(_TRANSFER_TIMER):
                self._transfers -= 1
            case StopRequested():
                return (StopProcess(),)
            case _:
                pass
        return ()

    def _request(self, event: RequestReceived, now: float) -> Sequence[Effect]:
        """Route one HTTP request."""
        common = endpoint.respond_common(event, ready=True)
        if common is not None:
            return (common,)
        method, path = endpoint.route(event)
        key = _weights_key(path)
        if key is None:
            return (endpoint.respond_not_found(event),)
        if method == "PUT":
            return self._put(event, key, now)
        return self._get(event, key)

    def _put(self, event: RequestReceived, key: tuple[str, int], now: float) -> Sequence[Effect]:
        """Keep a version; putting it again changes nothing."""
        decoded = endpoint.decode_body(event.body, StorePut)
        if isinstance(decoded, Err):
            return (endpoint.respond_error(event.request_id, decoded.err_value),)
        effects: list[Effect] = []
        if key not in self._versions:
            digest = xxhash.xxh3_64_hexdigest(f"{key[0]}/{key[1]}".encode())
            self._versions[key] = StoredVersion(digest, decoded.ok_value.size_bytes)
            record = StoreRecord(model=key[0], version=key[1], digest=digest, published_at=now)
            effects.append(WriteRecord("store", record))
        answer = StorePutAnswer(self._versions[key].digest)
        return [*effects, endpoint.respond_json(event.request_id, answer)]

    def _get(self, event: RequestReceived, key: tuple[str, int]) -> Sequence[Effect]:
        """Hand a version out; the rate is shared by the transfers under way."""
        stored = self._versions.get(key)
        if stored is None:
            error = NotFoundError(detail=f"no version {key[1]} of {key[0]}")
            return (endpoint.respond_error(event.request_id, error),)
        one_transfer_seconds = stored.size_bytes / self._settings.bytes_per_second
        if self._transfers >= self._settings.maximum_transfers:
            used_up = RateUsedUpError(
                detail="too many transfers", retry_after_seconds=max(0.1, one_transfer_seconds)
            )
            return (endpoint.respond_error(event.request_id, used_up),)
        self._transfers += 1
        self._transfer_count += 1
        seconds = one_transfer_seconds * self._transfers
        answer = StoreAnswer(
            digest=stored.digest, size_bytes=stored.size_bytes, transfer_seconds=seconds
        )
        timer = SetTimer(f"{_TRANSFER_TIMER}{self._transfer_count}", seconds)
        return (timer, endpoint.respond_json(event.request_id, answer))


def _weights_key(path: str) -> tuple[str, int] | None:
    """Read model and version from a path."""
    if not path.startswith(_WEIGHTS_PREFIX):
        return None
    model, _, version = path.removeprefix(_WEIGHTS_PREFIX).partition("/")
    if not model or not version.isdigit():
        return None
    return model, int(version)
