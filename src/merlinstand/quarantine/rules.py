"""Timed rules about requests under which backends crashed (pure functions).

`blame` decides which requests are to blame; the rules here decide which crashes count, for how
long, and when a request is retried. Most are applied by each control replica (`replica`) and must
give the same result everywhere: times are group time in seconds. Which attempts may have crashed a
backend, and which requests were served recently, is decided by every daemon too, by its own local
time.
"""

from collections.abc import Iterable

from merlinstand.quarantine.blame import SuspectStatus

MASS_OUTAGE_CRASHES = 16
"""Number of crashes within `MASS_OUTAGE_SECONDS` after which further ones are ignored: a rack or a
zone was lost, and the requests in flight there are not to blame. One request crashes three backends
before it is held back, and several at once may crash a few each. Otherwise the loss of a zone of
the target size, 370 backends with thousands of requests, would have to be sent to all daemons."""
MASS_OUTAGE_SECONDS = 1.0
"""Time within which the crashes of one outage occur."""
CRASH_RETENTION_SECONDS = 600.0
"""A crash for which no request is held back is dropped after this time, as long as a quarantine."""
QUARANTINE_SECONDS = 600.0
"""A request that crashed backends may be retried this long after the last crash: the backends may
have been replaced by repaired ones meanwhile, and if not, one backend in ten minutes is lost."""
SHORT_QUARANTINE_SECONDS = 15.0
"""Quarantine of a request that was never alone at a crash. It may only have run beside several
culprits; these are identified meanwhile, as other requests are cleared."""
TRIAL_DELAY_SECONDS = 3.0
"""Minimum time between the last crash under an unproven request and its trial. Requests that ran
beside it are served and cleared meanwhile, mostly within a second, which makes their trials
unnecessary, and the crashed backends have restarted."""
TRIAL_TIMEOUT_SECONDS = 5.0
"""A trial whose outcome is not reported ends after this time: a backend starts a request or refuses
it within two seconds, and half of the time remains for the report."""
RECENTLY_SERVED_SECONDS = 10.0
"""A request served this recently is not suspected of a crash. Where many callers send the same
request, some are in flight whenever backends crash, and the loss of three backends at once would
have all of them rejected. Short enough that requests which new backends can't handle are still
detected."""

UNANSWERED_RETENTION_SECONDS = 15.0
"""An attempt that ended without a response may have crashed its backend until the backend responds
to a later one, or this time has passed. Callers leave early and deadlines expire while the backend
continues to run what it started; its crash is detected by the next attempt there, or by a successor
that registers at its address."""
OUTLIVED_SECONDS = 1.0
"""A backend that responds to a request sent this long after the end of an attempt has outlived that
attempt: requests that crash a backend take some tenths of a second to do so."""

UNANSWERED_REFRESH_SECONDS = 0.5
"""Minimum time before a recorded attempt is recorded again: half of `OUTLIVED_SECONDS`, so that a
backend which responds after the later one doesn't seem to have outlived it."""
LOST_SENDER_SECONDS = 15.0
"""A daemon that died this long before a crash may have had requests at the backend: as long as its
own attempts would count."""
SENDER_SILENCE_SECONDS = 1.0
"""A daemon not heard from for this long may have died: three of its pulls are missing."""
ANNOUNCEMENT_SECONDS = 15.0
"""After a backend crashed while a daemon died, daemons announce each attempt of its service for
this long: the backend restarts within some seconds, and the request that crashed it is then sent
again."""

ANNOUNCEMENT_SETTLE_SECONDS = 0.2
"""Time after a crash by which every live daemon has reported again: daemons report every 0.1 s
while any announced attempt is in flight."""


def is_mass_outage(crashed_at: Iterable[float], now: float) -> bool:
    """Whether so many backends crashed recently that no request caused it; one more is ignored.

    Args:
        crashed_at: Times at which the crashes that count were recorded.
        now: Time at which the next one is recorded.
    """
    recent = sum(now - at < MASS_OUTAGE_SECONDS for at in crashed_at)
    return recent >= MASS_OUTAGE_CRASHES


def is_crash_expired(crashed_at: float, holds_back: bool, now: float) -> bool:
    """Whether a crash no longer counts.

    Args:
        crashed_at: When it was recorded.
        holds_back: Whether a request is held back for it; such a crash never expires.
        now: Present time.
    """
    return now - crashed_at > CRASH_RETENTION_SECONDS and not holds_back


def is_quarantine_over(last_crash_at: float, was_alone: bool, now: float) -> bool:
    """Whether a quarantined request may be retried.

    Args:
        last_crash_at: When the newest crash that it is blamed for was recorded.
        was_alone: Whether it is the only suspect of one of its crashes.
        now: Present time.
    """
    seconds = QUARANTINE_SECONDS if was_alone else SHORT_QUARANTINE_SECONDS
    return now - last_crash_at > seconds


def may_begin_trial(status: SuspectStatus | None, last_crash_at: float, now: float) -> bool:
    """Whether a request may be retried, provided that no other trial is in progress.

    Args:
        status: Its status; None if it isn't suspected.
        last_crash_at: When the newest crash that it is blamed for was recorded; 0 if there is none.
        now: Present time.
    """
    return status is SuspectStatus.UNPROVEN and now - last_crash_at >= TRIAL_DELAY_SECONDS


def is_trial_expired(begun_at: float, now: float) -> bool:
    """Whether a trial has timed out and its outcome is no longer awaited."""
    return now - begun_at > TRIAL_TIMEOUT_SECONDS


def may_have_crashed_backend(ended_at: float, now: float) -> bool:
    """Whether an attempt without a response counts as in flight at its backend's crash.

    Args:
        ended_at: When the attempt ended.
        now: When the crash is detected.
    """
    return now - ended_at <= UNANSWERED_RETENTION_SECONDS


def has_backend_outlived(ended_at: float, alive_at: float) -> bool:
    """Whether a backend was alive long enough after an attempt for the attempt not to crash it.

    Args:
        ended_at: When the attempt ended without a response.
        alive_at: When a request was sent to which the backend responded, or when the backend sent a
            heartbeat.
    """
    return ended_at <= alive_at - OUTLIVED_SECONDS


def is_announcement_settled(crashed_at: float, now: float) -> bool:
    """Whether all live daemons have reported since a backend's crash.

    Args:
        crashed_at: When the leader learned of the crash.
        now: The leader's local time.
    """
    return now - crashed_at >= ANNOUNCEMENT_SETTLE_SECONDS


def was_served_recently(served_at: float | None, now: float) -> bool:
    """Whether a request was served so recently that it is not suspected of a crash.

    Args:
        served_at: When it was last served, by this daemon's local time; None if never.
        now: Local time.
    """
    return served_at is not None and now - served_at <= RECENTLY_SERVED_SECONDS
