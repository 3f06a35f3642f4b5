"""SHA-256 without OpenSSL, which `hashlib` loads (0.5 MB per process).

CPython has a built-in implementation in a private module. `random` in the standard library imports
SHA-512 in the same way.
"""

try:
    from _sha256 import sha256  # type: ignore[import-not-found]
except ImportError:  # Renamed in Python 3.12; other interpreters may lack it.
    from hashlib import sha256

__all__ = ("sha256",)
