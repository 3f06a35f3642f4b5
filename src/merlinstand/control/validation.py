"""Checks of a single configuration object, independent of the rest of the state.

They run on every replica, so they depend only on the object and on no library whose result could
change between versions. Policies are compiled only by the leader, before it proposes a job
(`control.acceptance`).
"""

import math
import re

import msgspec

from merlinstand.common.decoding import DECODE_ERRORS
from merlinstand.configuration.objects import (
    ConfigurationObject,
    Daemon,
    Drain,
    Job,
    Limits,
    Pool,
    PoolKind,
    Weights,
    decode_object,
)

MAXIMUM_NAME_CHARACTERS = 200
"""Longest name in a key."""

MAXIMUM_OBJECT_BYTES = 4 * 1024 * 1024
"""Largest encoded object; a command that puts it must fit `acceptance.MAXIMUM_COMMAND_BYTES`."""

MAXIMUM_BATCH_SIZE = 16_384
"""Maximum batch size of a job, in samples; equal to `ledger.MAXIMUM_BATCH_SAMPLES`."""

MAXIMUM_BACKENDS = 20_000
"""Maximum number of backends in one pool."""

_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:@+-]*", re.ASCII)
_ADDRESS = re.compile(r"(\[[0-9a-fA-F:.%]+\]|[0-9]{1,3}(?:\.[0-9]{1,3}){3}):([0-9]{1,5})", re.ASCII)


class ValidObject(msgspec.Struct, frozen=True):
    """An object that may be stored under its key."""

    value: ConfigurationObject


class InvalidObject(msgspec.Struct, frozen=True):
    """The reason why an object is refused."""

    detail: str


def check_object(key: str, payload: bytes) -> ValidObject | InvalidObject:
    """Decode an object and check it, independent of the rest of the state."""
    if len(payload) > MAXIMUM_OBJECT_BYTES:
        return InvalidObject(f"larger than {MAXIMUM_OBJECT_BYTES} bytes")
    prefix, _, name = key.partition("/")
    if not is_name(name):
        return InvalidObject(f"{key!r}: a key is KIND/NAME with letters, digits and ._:@+-")
    try:
        value = decode_object(key, payload)
    except KeyError:
        return InvalidObject(f"unknown kind {prefix!r}")
    except DECODE_ERRORS as error:
        return InvalidObject(f"not a valid {prefix}: {error}")
    detail = _find_violation(name, value)
    return InvalidObject(f"{key}: {detail}") if detail else ValidObject(value)


def is_name(name: str) -> bool:
    """Return whether a name may be used in a key."""
    return len(name) <= MAXIMUM_NAME_CHARACTERS and _NAME.fullmatch(name) is not None


def is_address(address: str) -> bool:
    """Return whether a text is `ip:port`; IPv6 addresses are in brackets."""
    match = _ADDRESS.fullmatch(address)
    return match is not None and 0 < int(match.group(2)) < 65_536


def _find_violation(name: str, value: ConfigurationObject) -> str:
    match value:
        case Pool():
            return _pool_violation(name, value)
        case Job():
            return _job_violation(name, value)
        case Weights():
            return "weights change by publishing a version"
        case Drain():
            return "" if value.backend_id == name else "backend_id differs from the key"
        case Limits():
            return _limits_violation(name, value)
        case Daemon():
            return "" if value.node_id == name else "node_id differs from the key"


def _pool_violation(name: str, pool: Pool) -> str:
    if pool.name != name:
        return "name differs from the key"
    if pool.kind is PoolKind.ENGINE and not pool.model:
        return "an engine pool needs a model"
    if len(pool.backends) > MAXIMUM_BACKENDS:
        return f"more than {MAXIMUM_BACKENDS} backends"
    if len({backend.backend_id for backend in pool.backends}) != len(pool.backends):
        return "a backend_id is named twice"
    for backend in pool.backends:
        if not is_name(backend.backend_id):
            return f"bad backend_id {backend.backend_id!r}"
        if not is_address(backend.address):
            return f"backend {backend.backend_id}: address {backend.address!r} is not ip:port"
    if not _is_positive(pool.request_timeout_seconds) or pool.maximum_concurrency < 1:
        return "request_timeout_seconds and maximum_concurrency must be above 0"
    return ""


def _job_violation(name: str, job: Job) -> str:
    if job.name != name:
        return "name differs from the key"
    if not job.model or not job.pool:
        return "a job needs a model and a pool"
    if not job.consumers or len(set(job.consumers)) != len(job.consumers):
        return "a job needs consumers, each named once"
    if not all(map(is_name, job.consumers)):
        return "bad consumer name"
    if not 1 <= job.batch_size <= MAXIMUM_BATCH_SIZE:
        return f"batch_size must be 1 to {MAXIMUM_BATCH_SIZE}"
    if job.samples_per_prompt < 1 or job.maximum_tokens < 1:
        return "samples_per_prompt and maximum_tokens must be above 0"
    if job.batch_size % job.samples_per_prompt:
        return "batch_size must be a multiple of samples_per_prompt"
    if not _is_positive(job.share):
        return "share must be above 0"
    if job.policy.maximum_staleness_versions < 0:
        return "maximum_staleness_versions must not be negative"
    for field in ("prompt_source", "scorer"):
        address = getattr(job, field)
        if address and not is_address(address):
            return f"{field} {address!r} is not ip:port"
    return ""


def _limits_violation(name: str, limits: Limits) -> str:
    if limits.caller != name:
        return "caller differs from the key"
    numbers = (limits.weight, limits.requests_per_second, limits.tokens_per_second)
    return "" if all(map(_is_positive, numbers)) else "limits must be above 0"


def _is_positive(number: float) -> bool:
    return math.isfinite(number) and number > 0.0
