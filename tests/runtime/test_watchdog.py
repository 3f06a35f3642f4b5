"""Time limits of steps: the present one alone counts, and it strikes once."""

import gevent
import pytest
from gevent.event import Event

from merlinstand.runtime.watchdog import Watchdog

SOON_SECONDS = 0.001
LONG_SECONDS = 60.0
PAUSE_SECONDS = 0.02


class FirstError(OSError):
    """Of the first step."""


class SecondError(OSError):
    """Of the second step."""


def test_a_step_that_takes_too_long_is_ended() -> None:
    watchdog = Watchdog()
    watchdog.set_limit(SOON_SECONDS, FirstError)
    with pytest.raises(FirstError):
        Event().wait()
    gevent.sleep(PAUSE_SECONDS)


@pytest.mark.parametrize(("first", "second"), [(SOON_SECONDS, SOON_SECONDS), (60.0, 0.001)])
def test_the_limit_of_the_present_step_strikes(first: float, second: float) -> None:
    watchdog = Watchdog()
    watchdog.set_limit(first, FirstError)
    watchdog.set_limit(second, SecondError)
    with pytest.raises(SecondError):
        Event().wait()


def test_a_longer_step_is_not_cut_at_the_former_limit() -> None:
    watchdog = Watchdog()
    watchdog.set_limit(SOON_SECONDS, FirstError)
    watchdog.set_limit(LONG_SECONDS, SecondError)
    gevent.sleep(PAUSE_SECONDS)
    watchdog.close()


@pytest.mark.parametrize("end", ["clear_limit", "close"])
def test_an_ended_step_has_no_limit(end: str) -> None:
    watchdog = Watchdog()
    watchdog.set_limit(SOON_SECONDS, FirstError)
    getattr(watchdog, end)()
    gevent.sleep(PAUSE_SECONDS)
    watchdog.set_limit(SOON_SECONDS, SecondError)
    with pytest.raises(SecondError):
        Event().wait()
    watchdog.close()


def test_it_watches_the_greenlet_that_made_it() -> None:
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
