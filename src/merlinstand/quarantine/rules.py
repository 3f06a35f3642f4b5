"""The timed rules about requests under which servers crashed (pure functions).

`blame` says who is to blame; here stands which crashes count, how long that holds, and when a
request is tried again. Most are applied by each control replica (`replica`), which must give the
same result everywhere: times are group time, in seconds. Every daemon applies the last three, by
its own local time: which tries may have crashed a server, and which requests it vouches for.
"""

from collections.abc import Iterable

from merlinstand.quarantine.blame import SuspectStatus

MASS_OUTAGE_CRASHES = 16
"""Servers that crash within `MASS_OUTAGE_SECONDS` before more of them are passed over: a rack or a
zone was lost, and what its servers worked on is no more to blame than anything else. One request
crashes three before it is held back, some of them at once may crash a few each; of a lost zone of
the target size, 370 servers with thousands of requests, all daemons would be sent otherwise."""
MASS_OUTAGE_SECONDS = 1.0
"""Time in which the crashes of one outage come; chosen, not measured."""
MEMORY_SECONDS = 600.0
"""A crash that nobody is held back for is forgotten after this time; chosen, not measured: as long
as a quarantine."""
QUARANTINE_SECONDS = 600.0
"""A request that crashed servers may be tried again so long after the last of them: servers are
replaced by repaired ones meanwhile, and if not, one server in ten minutes is lost."""
UNSURE_QUARANTINE_SECONDS = 15.0
"""The same for a request that was never alone at a server which crashed. It may only have run
beside several guilty ones; those are found meanwhile, as others are cleared."""
TRIAL_PAUSE_SECONDS = 3.0
"""An unproven request is tried so long after the last server that crashed under it at the earliest:
those that ran beside it are served and cleared meanwhile, mostly within a second, which leaves
nothing to try; and the servers that crashed are back."""
TRIAL_SECONDS = 5.0
"""A trial whose outcome nobody reports is over after this time: a server begins a request or turns
it away within two seconds, and half of it is left for the report."""
VOUCH_SECONDS = 10.0
"""A request that was served whole so short a time ago did not crash a server now. Where many
callers ask the same, some of them are in flight whenever servers crash, and three servers lost at
once would have all of them rejected; short enough that what new servers can't bear is found."""

GIVEN_UP_SECONDS = 15.0
"""A try that was given up may have crashed its server until that has answered a later one, or this
time has passed: callers leave early and time runs out, the server goes on with what it had begun,
and that it is gone shows by the next try there, or by its successor at the same address."""
SURVIVED_SECONDS = 1.0
"""A server that answers what was sent so long after a try was given up has outlived that try: runs
that crash a server take some tenths of a second."""

UNANSWERED_AGAIN_SECONDS = 0.5
"""A try that was noted is noted again after this time at the earliest: half of `SURVIVED_SECONDS`,
so that a server which answers after the later one doesn't seem to have outlived it."""
LOST_SENDER_SECONDS = 15.0
"""A daemon that died so long before a server's crash may have had requests there: as long as its
own tries would count."""
SENDER_SILENCE_SECONDS = 1.0
"""A daemon that was not heard for this long may have died: three of its pulls are missing."""
ANNOUNCEMENT_SECONDS = 15.0
"""For so long daemons tell of each try of a service as they send it, once one of its servers
crashed while a daemon died: a server is back within some seconds, and the request that crashed it
comes again then."""

SETTLE_SECONDS = 0.2
"""A daemon that lives has reported again this long after a server's crash: while anything that it
announced is under way, it reports each 0.1 s."""


def is_mass_outage(crashed_at: Iterable[float], now: float) -> bool:
    """Whether so many servers crashed lately that no request did it: one more is passed over.

    Args:
        crashed_at: When the crashes that count were noted.
        now: When the next one is noted.
    """
    lately = sum(now - at < MASS_OUTAGE_SECONDS for at in crashed_at)
    return lately >= MASS_OUTAGE_CRASHES


def is_forgotten(crashed_at: float, holds_back: bool, now: float) -> bool:
    """Whether a crash counts no more.

    Args:
        crashed_at: When it was noted.
        holds_back: Whether a request is held back for it: such a crash is never forgotten.
        now: Present time.
    """
    return now - crashed_at > MEMORY_SECONDS and not holds_back


def is_quarantine_over(last_crash_at: float, was_alone: bool, now: float) -> bool:
    """Whether a quarantined request may be tried again.

    Args:
        last_crash_at: When the newest crash that it is blamed for was noted.
        was_alone: Whether nothing else is suspected of one of its crashes.
        now: Present time.
    """
    seconds = QUARANTINE_SECONDS if was_alone else UNSURE_QUARANTINE_SECONDS
    return now - last_crash_at > seconds


def may_begin_trial(standing: SuspectStatus | None, last_crash_at: float, now: float) -> bool:
    """Whether a request may be tried, provided that no other trial is under way.

    Args:
        standing: What is held against it.
        last_crash_at: When the newest crash that it is blamed for was noted; 0 if there is none.
        now: Present time.
    """
    return standing is SuspectStatus.UNPROVEN and now - last_crash_at >= TRIAL_PAUSE_SECONDS


def is_trial_late(begun_at: float, now: float) -> bool:
    """Whether a trial has had its time: its outcome is not waited for any more."""
    return now - begun_at > TRIAL_SECONDS


def may_have_crashed_server(given_up_at: float, now: float) -> bool:
    """Whether a try that ended without an answer counts as in flight at its server's crash.

    Args:
        given_up_at: When the try ended.
        now: When the crash is found.
    """
    return now - given_up_at <= GIVEN_UP_SECONDS


def has_server_outlived(given_up_at: float, answered_sent_at: float) -> bool:
    """Whether a server answered a request that was sent long enough after a try was given up.

    Args:
        given_up_at: When the try ended.
        answered_sent_at: When the request that the server answered was sent; or when the server
            sent a heartbeat.
    """
    return given_up_at <= answered_sent_at - SURVIVED_SECONDS


def is_announcement_settled(crashed_at: float, now: float) -> bool:
    """Whether all daemons that live have reported since a server's crash.

    Args:
        crashed_at: When the leader learned of the crash.
        now: Its local time.
    """
    return now - crashed_at >= SETTLE_SECONDS


def is_vouched_for(served_at: float | None, now: float) -> bool:
    """Whether a request is not suspected of a crash, as it was served whole just before.

    Args:
        served_at: When it was last served whole, by this daemon's local time; None if never.
        now: Local time.
    """
    return served_at is not None and now - served_at <= VOUCH_SECONDS
