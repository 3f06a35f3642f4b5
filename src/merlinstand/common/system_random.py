"""Random bits of the operating system, as `secrets` gives them.

`secrets` itself loads `hmac`, and with it OpenSSL: 0.6 MB in every process.
"""

from random import SystemRandom

_SOURCE = SystemRandom()


def random_bits(count: int) -> int:
    """Give a number of so many random bits."""
    return _SOURCE.getrandbits(count)
