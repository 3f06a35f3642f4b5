"""Timed rules about requests under which backends crashed (pure functions).

`blame` decides which requests are to blame; the rules here decide which crashes count, for how
long, and when a request is retried. Most rules are applied by each control replica (`replica`) and
must give the same result everywhere, so their times are group time in seconds. Daemons, too, apply
the rules on attempts that may have crashed a backend and on recently served requests, with their
own local time.
"""

from collections.abc import Iterable

from merlinstand.quarantine.blame import SuspectStatus

MASS_OUTAGE_CRASHES = 16
"""Number of crashes within `MASS_OUTAGE_SECONDS` after which further ones are ignored: a rack or a
zone was lost, and the requests in flight there are not to blame. The number leaves room for several
culprits at once, each of which crashes three backends before it is held back. Without the limit,
the thousands of requests in flight in a lost zone of the target size (370 backends) would have to
be sent to all daemons."""
MASS_OUTAGE_SECONDS = 1.0
"""Time within which the crashes of one outage occur."""
CRASH_RETENTION_SECONDS = 600.0
"""A crash is dropped after this time, which equals a quarantine, unless a request is still held
back because of it."""
QUARANTINE_SECONDS = 600.0
"""A request that crashed backends may be retried this long after the last crash. The backends may
have been repaired or replaced by then; if not, at most one backend is lost every ten minutes."""
SHORT_QUARANTINE_SECONDS = 15.0
"""Quarantine of a request that was never the only suspect of a crash. The request may just have run
beside several culprits, which are identified meanwhile as other requests are cleared."""
TRIAL_DELAY_SECONDS = 3.0
"""Minimum time between the last crash under an unproven request and the request's trial. Meanwhile
most requests that ran beside it are served and cleared, so that they need no trial, and the crashed
backends restart."""
TRIAL_TIMEOUT_SECONDS = 5.0
"""A trial whose outcome is not reported ends after this time. A backend starts or refuses a request
within two seconds, and more than half of the time remains for the report."""
RECENTLY_SERVED_SECONDS = 10.0
"""A request that was served within this time is not suspected of a crash. If many callers send the
same request, some copies are in flight whenever a backend crashes, and the loss of three backends
at once would cause all of these callers to be rejected. Short enough that a request which only new
backends can't handle is still detected."""

UNANSWERED_RETENTION_SECONDS = 15.0
"""An attempt that ended without a response is suspected of a later crash of its backend for this
long, or until the backend responds to a later attempt. After a caller has left or a deadline has
expired, the backend may continue to run the request. Its crash is detected only by the next attempt
at the backend, or when a successor registers at its address."""
OUTLIVED_SECONDS = 1.0
"""A backend that responds to a request sent this long after the end of an attempt counts as having
outlived the attempt, since a request that crashes a backend does so within some tenths of a second.
"""

UNANSWERED_REFRESH_SECONDS = 0.5
"""Minimum time before a recorded attempt is recorded again. Half of `OUTLIVED_SECONDS`, so that a
backend doesn't seem to have outlived a repeated attempt because only the earlier one is recorded.
"""
LOST_SENDER_SECONDS = 15.0
"""A daemon that died less than this before a crash may have had requests at the backend. Equals the
time for which unanswered attempts count."""
SENDER_SILENCE_SECONDS = 1.0
"""A daemon that was not heard from for this long may have died: three of its pulls are missing."""
ANNOUNCEMENT_SECONDS = 15.0
"""If a backend crashes when a daemon may have died, all daemons report each attempt of the
backend's service on send (announce it) for this long. The backend restarts within some seconds, and
the request that crashed it is then sent again."""

ANNOUNCEMENT_SETTLE_SECONDS = 0.2
"""Time after a crash within which every live daemon has reported again, since daemons report every
0.1 s while any announced attempt is in flight."""


def is_mass_outage(crashed_at: Iterable[float], now: float) -> bool:
    """Whether so many backends crashed recently that no request is to blame for a further crash.

    Args:
        crashed_at: Times at which the earlier crashes were recorded, without ignored crashes.
        now: Time at which the further crash is recorded.
    """
    recent = sum(now - at < MASS_OUTAGE_SECONDS for at in crashed_at)
    return recent >= MASS_OUTAGE_CRASHES


def is_crash_expired(crashed_at: float, holds_back: bool, now: float) -> bool:
    """Whether a crash no longer counts.

    Args:
        crashed_at: When the crash was recorded.
        holds_back: Whether a request is held back because of the crash; if so, it doesn't expire.
        now: Present time.
    """
    return now - crashed_at > CRASH_RETENTION_SECONDS and not holds_back


def is_quarantine_over(last_crash_at: float, was_alone: bool, now: float) -> bool:
    """Whether a quarantined request may be retried.

    Args:
        last_crash_at: When the newest crash that the request is blamed for was recorded.
        was_alone: Whether the request is the only suspect of one of its crashes.
        now: Present time.
    """
    seconds = QUARANTINE_SECONDS if was_alone else SHORT_QUARANTINE_SECONDS
    return now - last_crash_at > seconds


def may_begin_trial(status: SuspectStatus | None, last_crash_at: float, now: float) -> bool:
    """Whether a request may be retried, provided that no other trial is in progress.

    Args:
        status: Status of the request; None if it isn't suspected.
        last_crash_at: When the newest crash that the request is blamed for was recorded; 0 if there
            is none.
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
    """Whether a backend was alive so long after an attempt that the attempt didn't crash it.

    Args:
        ended_at: When the attempt ended without a response.
        alive_at: When the backend was known to be alive: the time of its last heartbeat, or the
            send time of a request to which it responded.
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
        served_at: When the request was last served, by this daemon's local time; None if never.
        now: Local time.
    """
    return served_at is not None and now - served_at <= RECENTLY_SERVED_SECONDS
