"""Reads whole numbers that others wrote into headers."""

MAXIMUM_DIGITS = 18
"""Fits into 63 bits; Python refuses to read numbers of some thousands of digits, and to divide
shorter ones that no `float` can hold."""


def parse_whole_number(text: str) -> int | None:
    """Give a number of decimal digits alone; None for anything else, or too many digits."""
    is_number = text.isascii() and text.isdigit() and len(text) <= MAXIMUM_DIGITS
    return int(text) if is_number else None
