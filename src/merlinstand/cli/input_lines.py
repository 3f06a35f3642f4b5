"""Reads lines of text from a file or from standard input."""

import click
import msgspec
from result import Err, Ok, Result

from merlinstand.settings.errors import SettingsError, make_unreadable_file_error


class InputLine(msgspec.Struct, frozen=True):
    """A line that is not blank."""

    number: int
    """Line number, starting at 1."""
    text: str
    """The line without leading and trailing white space."""


def read_lines(file: str) -> Result[tuple[InputLine, ...], SettingsError]:
    """Read the lines of a UTF-8 file that are not blank; `-` is standard input."""
    try:
        with click.open_file(file, "rb") as stream:
            content = stream.read().decode("utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return Err(make_unreadable_file_error(file, error))
    # Not `splitlines`, which also splits at characters that JSON strings may contain.
    lines = enumerate(content.split("\n"), start=1)
    return Ok(tuple(InputLine(number, text.strip()) for number, text in lines if text.strip()))
