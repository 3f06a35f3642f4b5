"""SHA-256 without OpenSSL, which `hashlib` would load for it: 0.5 MB in every process.

CPython carries code of its own for it, under names of its own; `random` in the standard library
takes SHA-512 in the same way.
"""

try:
    from _sha256 import sha256  # type: ignore[import-not-found]
except ImportError:  # Python 3.12 renamed it; others may have none.
    from hashlib import sha256

__all__ = ("sha256",)
