"""What decoding bytes from outside may raise.

For the functions that turn bytes into types: they catch these and return an error of their own.
"""

import msgspec

DECODE_ERRORS = (msgspec.DecodeError, UnicodeDecodeError, RecursionError)
"""Errors of `msgspec` on bad input: not the format, not UTF-8, or nested too deeply.

A decoding function that lets one of them through lets one bad sender end the process.
"""
