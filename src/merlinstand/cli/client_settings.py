"""Settings of the operators' client, and their validation."""

import math
import string

import msgspec
from result import Err

from merlinstand.cli.errors import UsageError
from merlinstand.cli.http_request import make_tls_context
from merlinstand.common.errors import MerlinstandError
from merlinstand.runtime.addresses import parse_address
from merlinstand.settings.errors import SettingsError

MAXIMUM_COMMAND_ID_CHARACTERS = 150
"""Leaves room for the suffix that distinguishes the commands of one invocation."""

_TOKEN_CHARACTERS = frozenset(string.ascii_letters + string.digits + string.punctuation)


class ClientSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Addresses of the control replicas, credentials, and the limits of one invocation."""

    addresses: tuple[str, ...]
    """HTTP addresses of all control replicas."""
    token: str = ""
    control_nodes: tuple[str, ...] = ()
    """Node ids of all control replicas and standbys; empty without a deployment file."""
    authority: str = ""
    """File of the CA certificates (PEM) that sign the replicas'; empty for plain HTTP."""
    timeout_seconds: float = 15.0
    """Limit for one request to control, including all its retries."""
    command_id: str = ""
    """Id of an earlier invocation to repeat; a new one is generated if empty."""
    expected_revision: int | None = None
    """Revision that the operator expects; None for the one that the client reads."""


def find_invalid_setting(settings: ClientSettings) -> MerlinstandError | None:
    """Return the error of the first invalid setting, or None.

    These errors are permanent: retrying does not help.
    """
    if not settings.addresses:
        return UsageError(detail="pass --control IP:PORT or --settings FILE")
    for address in settings.addresses:
        parsed = parse_address(address)
        if isinstance(parsed, Err):
            return UsageError(detail=f"--control: {parsed.err_value.detail}")
    if not math.isfinite(settings.timeout_seconds):
        return UsageError(detail="--timeout: expected a number of seconds")
    if not _TOKEN_CHARACTERS.issuperset(settings.token):
        return UsageError(detail="--token: expected ASCII letters, digits and punctuation")
    if len(settings.command_id) > MAXIMUM_COMMAND_ID_CHARACTERS:
        limit = MAXIMUM_COMMAND_ID_CHARACTERS
        return UsageError(detail=f"--command-id: expected at most {limit} characters")
    return _check_authority(settings.authority)


def _check_authority(authority: str) -> SettingsError | None:
    if not authority:
        return None
    try:
        make_tls_context(authority)
    except OSError as error:
        reason = error.strerror or "no PEM certificates in it"
        return SettingsError(file=authority, expected=f"a readable file of certificates ({reason})")
    return None
