"""The replicated crashes of servers: how blame comes, lasts and ends."""

from collections.abc import Sequence

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from merlinstand.common.ids import BackendId, ContentDigest
from merlinstand.directory.commands import DirectoryCommand, decode_command, encode_command
from merlinstand.directory.state_machine import DirectoryState
from merlinstand.quarantine.blame import SuspectStatus
from merlinstand.quarantine.commands import AllowTrials, BeginTrial, EndTrial, RecordCrashes
from merlinstand.quarantine.messages import BackendCrash
from merlinstand.quarantine.replica import CONTENTS_LIMIT, CRASHES_LIMIT
from merlinstand.quarantine.rules import (
    CRASH_RETENTION_SECONDS,
    MASS_OUTAGE_CRASHES,
    MASS_OUTAGE_SECONDS,
    QUARANTINE_SECONDS,
    SHORT_QUARANTINE_SECONDS,
    TRIAL_DELAY_SECONDS,
    TRIAL_TIMEOUT_SECONDS,
)

GUILTY, INNOCENT, OTHER = ContentDigest("g"), ContentDigest("i"), ContentDigest("o")
PAUSE = TRIAL_DELAY_SECONDS


def crash_of(number: int, *contents: ContentDigest) -> BackendCrash:
    return BackendCrash(BackendId(f"b{number}"), contents)


class Group:
    """A directory whose commands go through the log's codec."""

    def __init__(self) -> None:
        self.state = DirectoryState()
        self.index = 0

    def apply(self, command: DirectoryCommand, at: float) -> None:
        self.index += 1
        self.state.apply(self.index, decode_command(encode_command(command)), at)

    def note(
        self, at: float, *crashes: BackendCrash, served: Sequence[ContentDigest] = ()
    ) -> dict[ContentDigest, SuspectStatus]:
        self.apply(RecordCrashes(crashes, tuple(served)), at)
        return self.standings

    def trial_of(self, content: ContentDigest, at: float, asker: str = "d/1") -> bool:
        """Whether this daemon is permitted to try a request."""
        before = self.state.suspects.trials
        self.apply(BeginTrial(content, asker), at)
        return self.state.suspects.trials > before

    @property
    def standings(self) -> dict[ContentDigest, SuspectStatus]:
        return self.state.suspects.statuses


def unproven() -> Group:
    """Two requests that were there each time."""
    group = Group()
    for number in range(3):
        group.note(float(number), crash_of(number, GUILTY, INNOCENT))
    assert set(group.standings.values()) == {SuspectStatus.UNPROVEN}
    return group


def quarantined(*beside: ContentDigest) -> Group:
    group = Group()
    for number in range(3):
        group.note(float(number), crash_of(number, GUILTY, *beside[number : number + 1]))
    assert group.standings == {GUILTY: SuspectStatus.QUARANTINED}
    return group


def test_a_crash_that_several_daemons_report_counts_once_and_adds_up_what_was_there() -> None:
    group = Group()
    group.note(1.0, crash_of(1, GUILTY))
    revision = group.state.suspects.revision
    group.note(1.1, crash_of(1, INNOCENT))
    assert group.standings == {GUILTY: SuspectStatus.SUSPECT, INNOCENT: SuspectStatus.SUSPECT}
    assert group.state.suspects.revision > revision


def test_who_is_served_is_cleared_and_a_crash_reported_again_blames_nobody_anew() -> None:
    group = Group()
    group.note(1.0, crash_of(1, GUILTY, INNOCENT))
    group.note(1.2, served=[INNOCENT])
    assert group.standings == {GUILTY: SuspectStatus.SUSPECT}
    assert not group.state.suspects.is_new(crash_of(1, GUILTY, INNOCENT))
    assert group.note(1.4, crash_of(1, GUILTY, INNOCENT)) == {GUILTY: SuspectStatus.SUSPECT}


def test_once_the_guilty_one_is_known_who_ran_beside_it_is_free() -> None:
    group = Group()
    group.note(1.0, crash_of(1, GUILTY, INNOCENT))
    group.note(1.2, crash_of(2, GUILTY, INNOCENT))
    assert group.standings[INNOCENT] is SuspectStatus.REPEAT_SUSPECT
    assert group.note(1.4, crash_of(3, GUILTY)) == {GUILTY: SuspectStatus.QUARANTINED}


def test_of_unproven_ones_each_is_tried_alone_and_the_innocent_one_is_free_first() -> None:
    group = unproven()
    assert not group.trial_of(INNOCENT, 2.0 + PAUSE - 0.1)
    assert group.trial_of(INNOCENT, 2.0 + PAUSE)
    assert not group.trial_of(GUILTY, 2.0 + PAUSE + 0.1, "d/2")
    group.note(2.0 + PAUSE + 0.2, served=[INNOCENT])
    assert group.standings == {GUILTY: SuspectStatus.QUARANTINED}
    assert group.state.suspects.trial is None
    assert not group.trial_of(GUILTY, 2.0 + PAUSE + 0.3)


def test_of_unproven_ones_the_guilty_one_crashes_one_more_server_at_most() -> None:
    group = unproven()
    assert group.trial_of(GUILTY, 2.0 + PAUSE)
    # Something else was at the server, too: it was not the one that was tried.
    assert group.note(6.0, crash_of(9, GUILTY, OTHER)) == {GUILTY: SuspectStatus.QUARANTINED}
    assert not group.trial_of(GUILTY, 60.0)


def test_a_trial_without_an_outcome_makes_room_for_the_next() -> None:
    group = unproven()
    assert group.trial_of(GUILTY, 10.0)
    assert not group.trial_of(INNOCENT, 10.0 + TRIAL_TIMEOUT_SECONDS)
    assert group.state.suspects.is_trial_expired(10.0 + TRIAL_TIMEOUT_SECONDS + 0.1)
    group.apply(EndTrial(group.state.suspects.trials), 10.0 + TRIAL_TIMEOUT_SECONDS + 0.1)
    assert group.state.suspects.trial is None
    assert group.trial_of(INNOCENT, 10.0 + TRIAL_TIMEOUT_SECONDS + 0.2)


def test_the_late_end_of_an_earlier_trial_ends_no_later_one() -> None:
    group = unproven()
    group.trial_of(GUILTY, 10.0)
    group.apply(EndTrial(1), 16.0)
    group.trial_of(INNOCENT, 17.0)
    group.apply(EndTrial(1), 18.0)
    assert group.state.suspects.trial is not None


def test_quarantine_ends_with_one_trial_and_begins_anew_with_the_next_crash() -> None:
    group = quarantined()
    suspects = group.state.suspects
    assert suspects.due_for_trial(2.0 + QUARANTINE_SECONDS) == ()
    later = 2.0 + QUARANTINE_SECONDS + 1.0
    assert suspects.due_for_trial(later) == (GUILTY,)
    group.apply(AllowTrials((GUILTY,)), later)
    assert group.standings == {GUILTY: SuspectStatus.UNPROVEN}
    assert suspects.due_for_trial(later) == ()
    assert group.trial_of(GUILTY, later)
    assert group.note(later + 1.0, crash_of(7, GUILTY)) == {GUILTY: SuspectStatus.QUARANTINED}
    assert suspects.due_for_trial(later + QUARANTINE_SECONDS) == ()


def test_a_request_that_is_served_after_its_quarantine_is_free() -> None:
    group = quarantined()
    later = 2.0 + QUARANTINE_SECONDS + 1.0
    group.apply(AllowTrials((GUILTY,)), later)
    group.trial_of(GUILTY, later)
    assert group.note(later + 0.1, served=[GUILTY]) == {}
    assert group.state.suspects.trial is None


def test_who_was_never_alone_at_a_crash_is_tried_sooner() -> None:
    group = quarantined(*(ContentDigest(f"x{number}") for number in range(3)))
    due = group.state.suspects.due_for_trial
    assert due(2.0 + SHORT_QUARANTINE_SECONDS) == ()
    assert due(2.0 + SHORT_QUARANTINE_SECONDS + 0.1) == (GUILTY,)


def test_daemons_are_sent_a_trial_whoever_else_was_there() -> None:
    """All control daemons ended, again and again: a view was asked for of requests that were free.

    A request was in quarantine that was never alone at a crash; its quarantine was over, and what
    had run beside it stood in its crashes, but nothing was held against that any more.
    """
    group = quarantined(*(ContentDigest(f"x{number}") for number in range(3)))
    group.apply(AllowTrials((GUILTY,)), 60.0)
    view = group.state.suspects.view()
    assert {c: s.status for c, s in view.suspicions.items()} == {GUILTY: SuspectStatus.UNPROVEN}
    assert len(view.suspicions[GUILTY].crashed_backends) == 3


def test_an_old_crash_is_forgotten_but_not_the_guilty_ones() -> None:
    group = quarantined()
    group.note(3.0, crash_of(10, INNOCENT))
    group.note(3.0 + CRASH_RETENTION_SECONDS + 0.1, crash_of(11, OTHER))
    assert group.standings == {GUILTY: SuspectStatus.QUARANTINED, OTHER: SuspectStatus.SUSPECT}


def test_the_tables_are_bounded() -> None:
    group = Group()
    crowd = tuple(ContentDigest(f"x{number}") for number in range(CONTENTS_LIMIT + 9))
    group.note(0.0, crash_of(0, *crowd))
    assert len(group.state.suspects.crashes[BackendId("b0")].blamed) == CONTENTS_LIMIT
    assert not group.state.suspects.is_new(crash_of(0, *crowd))
    late = crash_of(0, ContentDigest("late"))
    assert not group.state.suspects.is_new(late), "it would be reported for ever"
    for number in range(1, CRASHES_LIMIT + 9):
        group.note(0.1 * number, crash_of(number, ContentDigest(f"y{number}")))
    assert len(group.state.suspects.crashes) == CRASHES_LIMIT


def test_servers_that_crash_in_crowds_are_held_against_nobody() -> None:
    """A zone is lost with all that ran there."""
    group = Group()
    crashes = [crash_of(number, ContentDigest(f"x{number}")) for number in range(40)]
    group.note(1.0, *crashes)
    assert len(group.standings) == MASS_OUTAGE_CRASHES
    assert not any(group.state.suspects.is_new(crash) for crash in crashes), "reported once"
    group.note(1.5, crash_of(50, GUILTY))
    assert GUILTY not in group.standings
    assert (
        group.note(1.0 + MASS_OUTAGE_SECONDS, crash_of(51, GUILTY))[GUILTY] is SuspectStatus.SUSPECT
    )


CONTENTS = st.sampled_from([ContentDigest(c) for c in "abc"])
COMMANDS = st.one_of(
    st.builds(
        lambda number, contents: RecordCrashes((crash_of(number, *contents),), ()),
        st.integers(0, 9),
        st.lists(CONTENTS, min_size=1, max_size=3, unique=True),
    ),
    st.builds(
        lambda numbers, content: RecordCrashes(
            tuple(crash_of(n, content, OTHER) for n in numbers), ()
        ),
        st.lists(st.integers(0, 9), min_size=2, max_size=4, unique=True),
        CONTENTS,
    ),
    st.builds(lambda content: RecordCrashes((), (content,)), CONTENTS),
    st.builds(BeginTrial, CONTENTS, st.sampled_from(["d/1", "d/2"])),
    st.builds(EndTrial, st.integers(1, 3)),
    st.builds(lambda content: AllowTrials((content,)), CONTENTS),
)


@settings(max_examples=300, deadline=None)
@given(st.lists(st.tuples(COMMANDS, st.sampled_from([0.0, 0.5, 4.0, 20.0, 700.0])), max_size=40))
def test_a_snapshot_gives_the_same_state_whatever_happened(
    steps: list[tuple[DirectoryCommand, float]],
) -> None:
    group = Group()
    now = 0.0
    for command, pause in steps:
        now += pause
        group.apply(command, now)
        group.state.suspects.view()
    copy = DirectoryState()
    copy.restore(group.state.snapshot())
    assert copy.suspects.view() == group.state.suspects.view()
    assert copy.suspects.stored() == group.state.suspects.stored()
    assert copy.suspects.due_for_trial(now + 700.0) == group.state.suspects.due_for_trial(
        now + 700.0
    )


def test_a_snapshot_of_an_earlier_version_holds_nothing_against_anybody() -> None:
    raw = msgspec.msgpack.decode(DirectoryState().snapshot())
    del raw["suspects"]
    state = DirectoryState()
    state.restore(msgspec.msgpack.encode(raw))
    assert state.suspects.statuses == {}
