"""The exceptions raised when untrusted bytes cannot be decoded.

Functions that decode bytes into types catch them and return an error value of their own.
"""

import msgspec

DECODE_ERRORS = (msgspec.DecodeError, UnicodeDecodeError, RecursionError)
"""Exceptions of `msgspec` for malformed, non-UTF-8 or too deeply nested input.

If a decoding function does not catch all of them, a single malformed message can end the process.
"""
