"""Errors of settings files."""

from typing import ClassVar

import msgspec

from merlinstand.common.errors import InvalidInputError

MAXIMUM_SHOWN_CHARACTERS = 80
"""Values are truncated to this length so that an error stays on one line."""


class SettingsError(InvalidInputError, frozen=True, kw_only=True):
    """A settings file is invalid; has the path in the file, the value and what was expected."""

    code: ClassVar[str] = "settings"

    file: str
    path: str = ""
    """Path in the file, for example `gateway[1].http_address`."""
    value: str = ""
    """The value found, or empty if it is missing."""
    expected: str
    """Description of a valid value."""

    def describe(self) -> str:
        """Return the error as one line of text."""
        location = f"{self.file}: {self.path}" if self.path else self.file
        found = f" = {self.value}" if self.value else ""
        return f"{location}{found}: expected {self.expected}"


class InvalidValue(msgspec.Struct, frozen=True):
    """An invalid value, without the name of the file that it is in."""

    path: str
    """Path in the file, for example `gateway[1].http_address`."""
    value: object
    """The value found."""
    expected: str
    """Description of a valid value."""


def make_unreadable_file_error(file: str, error: OSError | UnicodeDecodeError) -> SettingsError:
    """Return the error for a file that can't be read as UTF-8 text."""
    if isinstance(error, UnicodeDecodeError):
        return SettingsError(file=file, expected=f"UTF-8 text ({error.reason})")
    return SettingsError(file=file, expected=f"a readable file ({error.strerror})")
