"""Parses integers in headers of other processes."""

MAXIMUM_DIGITS = 18
"""Numbers of this length fit into 63 bits. Python raises an error when it parses thousands of
digits, or divides an integer that exceeds the range of `float`."""


def parse_whole_number(text: str) -> int | None:
    """Parse ASCII decimal digits; None for anything else or more than `MAXIMUM_DIGITS` digits."""
    is_number = text.isascii() and text.isdigit() and len(text) <= MAXIMUM_DIGITS
    return int(text) if is_number else None
