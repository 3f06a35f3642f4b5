"""Failures of settings files."""

from typing import ClassVar

import msgspec

from merlinstand.common.errors import InvalidInputError

MAXIMUM_SHOWN_CHARACTERS = 80
"""Longest part of a value that an error shows, so that it stays on one line. Chosen, not
measured."""


class SettingsError(InvalidInputError, frozen=True, kw_only=True):
    """A settings file can't be used; names the place, what is there and what should be."""

    code: ClassVar[str] = "settings"

    file: str
    path: str = ""
    """Place in the file, for example `gateway[1].http_address`."""
    value: str = ""
    """What stands there, or empty if it is missing."""
    expected: str
    """What should stand there."""

    def describe(self) -> str:
        """Give the error on one line."""
        place = f"{self.file}: {self.path}" if self.path else self.file
        found = f" = {self.value}" if self.value else ""
        return f"{place}{found}: expected {self.expected}"


class Fault(msgspec.Struct, frozen=True):
    """What is wrong in a file's content, before it is known of which file."""

    path: str
    """Place in the file, for example `gateway[1].http_address`."""
    value: object
    """What stands there."""
    expected: str
    """What should stand there."""


def make_unreadable_file_error(file: str, error: OSError | UnicodeDecodeError) -> SettingsError:
    """Give the error for a file that can't be read as UTF-8 text."""
    if isinstance(error, UnicodeDecodeError):
        return SettingsError(file=file, expected=f"UTF-8 text ({error.reason})")
    return SettingsError(file=file, expected=f"a readable file ({error.strerror})")
