"""Random bits from the operating system.

Replaces `secrets`, which loads `hmac` and OpenSSL (0.6 MB per process).
"""

from random import SystemRandom

_SOURCE = SystemRandom()


def random_bits(count: int) -> int:
    """Return a non-negative integer of `count` cryptographically secure random bits."""
    return _SOURCE.getrandbits(count)
