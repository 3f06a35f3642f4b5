"""What "a few seconds" and "within a bound" mean to the checkers."""

import msgspec


class CheckLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Time limits of the promises."""

    leaving_seconds: float = 5.0
    """A leaving back end may get new work for this long after the first signal."""
    in_force_seconds: float = 6.0
    """An accepted configuration is in force everywhere after this long.

    One configuration lease plus the interval at which it is pulled, and half a second.
    """
    liveness_seconds: float = 15.0
    """After the last fault healed, everything works again within this."""
