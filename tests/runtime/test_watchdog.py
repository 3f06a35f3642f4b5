"""Time limits of steps: only the current one applies, and it fires once."""

import gevent
import pytest
from gevent.event import Event

from merlinstand.runtime.watchdog import Watchdog

SOON_SECONDS = 0.001
LONG_SECONDS = 60.0
PAUSE_SECONDS = 0.02


class FirstError(OSError):
    """Raised when the first limit expires."""


class SecondError(OSError):
    """Raised when the second limit expires."""


def test_an_expired_limit_raises_its_error() -> None:
    watchdog = Watchdog()
    watchdog.set_limit(SOON_SECONDS, FirstError)
    with pytest.raises(FirstError):
        Event().wait()
    gevent.sleep(PAUSE_SECONDS)


@pytest.mark.parametrize(("first", "second"), [(SOON_SECONDS, SOON_SECONDS), (60.0, 0.001)])
def test_the_limit_of_the_current_step_applies(first: float, second: float) -> None:
    watchdog = Watchdog()
    watchdog.set_limit(first, FirstError)
    watchdog.set_limit(second, SecondError)
    with pytest.raises(SecondError):
        Event().wait()


def test_a_longer_step_is_not_ended_by_the_previous_limit() -> None:
    watchdog = Watchdog()
    watchdog.set_limit(SOON_SECONDS, FirstError)
    watchdog.set_limit(LONG_SECONDS, SecondError)
    gevent.sleep(PAUSE_SECONDS)
    watchdog.close()


@pytest.mark.parametrize("end", ["clear_limit", "close"])
def test_a_cleared_limit_does_not_expire(end: str) -> None:
    watchdog = Watchdog()
    watchdog.set_limit(SOON_SECONDS, FirstError)
    getattr(watchdog, end)()
    gevent.sleep(PAUSE_SECONDS)
    watchdog.set_limit(SOON_SECONDS, SecondError)
    with pytest.raises(SecondError):
        Event().wait()
    watchdog.close()


def test_the_error_is_raised_in_the_greenlet_that_created_the_watchdog() -> None:
    ended: list[str] = []

    def wait(name: str, seconds: float) -> None:
        watchdog = Watchdog()
        watchdog.set_limit(seconds, FirstError)
        try:
            gevent.sleep(PAUSE_SECONDS)
            ended.append(f"{name} whole")
        except FirstError:
            ended.append(f"{name} cut")
        finally:
            watchdog.close()

    gevent.joinall([gevent.spawn(wait, "a", SOON_SECONDS), gevent.spawn(wait, "b", LONG_SECONDS)])
    assert ended == ["a cut", "b whole"]
