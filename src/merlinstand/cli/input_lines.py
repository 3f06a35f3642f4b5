"""Reads the lines of a file, or of standard input, that a command line names."""

import click
import msgspec
from result import Err, Ok, Result

from merlinstand.settings.errors import SettingsError, make_unreadable_file_error


class InputLine(msgspec.Struct, frozen=True):
    """A line that holds more than white space."""

    number: int
    """From 1."""
    text: str
    """Without white space around it."""


def read_lines(file: str) -> Result[tuple[InputLine, ...], SettingsError]:
    """Read a file of UTF-8 text; `-` is standard input."""
    try:
        with click.open_file(file, "rb") as stream:
            content = stream.read().decode("utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return Err(make_unreadable_file_error(file, error))
    # Not `splitlines`, which also splits at characters that JSON strings may hold.
    lines = enumerate(content.split("\n"), start=1)
    return Ok(tuple(InputLine(number, text.strip()) for number, text in lines if text.strip()))
