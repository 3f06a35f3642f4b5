"""Prints results as a table or as JSON.

Results go to standard output. An error goes to standard error, as one line with its code and
advice.
"""

import sys
from collections.abc import Sequence
from typing import Any, NoReturn, TypeVar

import click
import msgspec
from result import Err, Result

from merlinstand.cli.advice import find_advice
from merlinstand.cli.errors import ControlRefusedError
from merlinstand.common.errors import MerlinstandError

Value = TypeVar("Value")

JSON = "json"
TABLE = "table"
_COLUMN_GAP = "  "


class Column(msgspec.Struct, frozen=True):
    """One column of a table."""

    title: str
    key: str
    """Key of the cell in the row's dictionary."""


def print_rows(rows: Sequence[dict[str, Any]], columns: Sequence[Column], output: str) -> None:
    """Print rows; JSON contains all their keys, the table only those of the columns."""
    if output == JSON:
        click.echo(_to_json(list(rows)))
        return
    cells = [[column.title for column in columns]]
    cells += [[_cell(row.get(column.key)) for column in columns] for row in rows]
    widths = [max(len(line[index]) for line in cells) for index in range(len(columns))]
    for line in cells:
        padded = (cell.ljust(width) for cell, width in zip(line, widths, strict=True))
        click.echo(_COLUMN_GAP.join(padded).rstrip())


def print_object(value: dict[str, Any], output: str) -> None:
    """Print one object, as `key  value` lines or JSON."""
    if output == JSON:
        click.echo(_to_json(value))
        return
    width = max((len(key) for key in value), default=0)
    for key, item in value.items():
        click.echo(f"{key.ljust(width)}{_COLUMN_GAP}{_cell(item)}")


def unwrap(result: Result[Value, Any], output: str = TABLE) -> Value:
    """Return the value, or print the error and exit with its exit code."""
    if isinstance(result, Err):
        fail(result.err_value, output)
    return result.ok_value


def fail(error: MerlinstandError, output: str = TABLE) -> NoReturn:
    """Print an error on one line of standard error and exit.

    The exit code is that of the error's class, or for a refusal the one derived from control's
    response.
    """
    code, exit_code = type(error).code, type(error).exit_code
    if isinstance(error, ControlRefusedError):
        code, exit_code = error.control_error_code, error.control_exit_code
    describe = getattr(error, "describe", None)
    detail = " ".join((describe() if describe else error.detail).split())
    advice = find_advice(error, code, exit_code)
    if output == JSON:
        body = {"code": code, "detail": detail, "advice": advice, "exit_code": int(exit_code)}
        click.echo(msgspec.json.encode(body).decode(), err=True)
    else:
        click.echo(f"error: {code}: {detail}; {advice}", err=True)
    sys.exit(int(exit_code))


def _to_json(value: Any) -> str:
    return msgspec.json.format(msgspec.json.encode(value), indent=2).decode()


def _cell(value: Any) -> str:
    if value is None:
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, float):
        return f"{value:.6g}"
    if isinstance(value, (list, tuple)):
        return ",".join(_cell(item) for item in value)
    if isinstance(value, dict):
        return msgspec.json.encode(value).decode()
    return str(value)
