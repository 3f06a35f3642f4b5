"""Where the command line's client finds control, and the checks of what was given."""

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
"""Room is left for what tells the commands of one line apart. Chosen, not measured."""

_TOKEN_CHARACTERS = frozenset(string.ascii_letters + string.digits + string.punctuation)


class ClientSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Where control is, and how to speak to it."""

    addresses: tuple[str, ...]
    """HTTP addresses of all control replicas."""
    token: str = ""
    control_nodes: tuple[str, ...] = ()
    """Names of all control replicas and standbys, if a deployment file gave them."""
    authority: str = ""
    """File of certificates, when the replicas speak TLS."""
    timeout_seconds: float = 15.0
    """Longest time to try one command."""
    command_id: str = ""
    """Given by the operator to repeat an earlier command line; made if empty."""
    expected_revision: int | None = None
    """Revision that the operator saw; None = the one that the client just read."""


def find_invalid_setting(settings: ClientSettings) -> MerlinstandError | None:
    """Give the first thing that no attempt could mend, if there is one."""
    if not settings.addresses:
        return UsageError(detail="give --control IP:PORT or --settings FILE")
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
