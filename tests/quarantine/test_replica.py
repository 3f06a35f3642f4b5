"""The replicated crashes: how requests are blamed, tried and cleared."""

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

CULPRIT, BYSTANDER, OTHER = ContentDigest("g"), ContentDigest("i"), ContentDigest("o")
DELAY = TRIAL_DELAY_SECONDS


def crash_of(number: int, *contents: ContentDigest) -> BackendCrash:
    return BackendCrash(BackendId(f"b{number}"), contents)


class Group:
    """A directory whose commands pass through the log's encoding."""

    def __init__(self) -> None:
        self.state = DirectoryState()
        self.index = 0

    def apply(self, command: DirectoryCommand, at: float) -> None:
        self.index += 1
        self.state.apply(self.index, decode_command(encode_command(command)), at)

    def record(
        self, at: float, *crashes: BackendCrash, served: Sequence[ContentDigest] = ()
    ) -> dict[ContentDigest, SuspectStatus]:
        self.apply(RecordCrashes(crashes, tuple(served)), at)
        return self.statuses

    def begins_trial(self, content: ContentDigest, at: float, run_id: str = "d/1") -> bool:
        """Request a trial; return whether it was permitted."""
        before = self.state.suspects.trials
        self.apply(BeginTrial(content, run_id), at)
        return self.state.suspects.trials > before

    @property
    def statuses(self) -> dict[ContentDigest, SuspectStatus]:
        return self.state.suspects.statuses


def unproven() -> Group:
    """Return a group with two requests that were in flight at every crash."""
    group = Group()
    for number in range(3):
        group.record(float(number), crash_of(number, CULPRIT, BYSTANDER))
    assert set(group.statuses.values()) == {SuspectStatus.UNPROVEN}
    return group


def quarantined(*beside: ContentDigest) -> Group:
    group = Group()
    for number in range(3):
        group.record(float(number), crash_of(number, CULPRIT, *beside[number : number + 1]))
    assert group.statuses == {CULPRIT: SuspectStatus.QUARANTINED}
    return group


def test_crash_reported_by_several_daemons_counts_once_with_all_requests() -> None:
    group = Group()
    group.record(1.0, crash_of(1, CULPRIT))
    revision = group.state.suspects.revision
    group.record(1.1, crash_of(1, BYSTANDER))
    assert group.statuses == {CULPRIT: SuspectStatus.SUSPECT, BYSTANDER: SuspectStatus.SUSPECT}
    assert group.state.suspects.revision > revision


def test_served_request_is_cleared_and_repeated_crash_report_changes_nothing() -> None:
    group = Group()
    group.record(1.0, crash_of(1, CULPRIT, BYSTANDER))
    group.record(1.2, served=[BYSTANDER])
    assert group.statuses == {CULPRIT: SuspectStatus.SUSPECT}
    assert not group.state.suspects.is_new(crash_of(1, CULPRIT, BYSTANDER))
    assert group.record(1.4, crash_of(1, CULPRIT, BYSTANDER)) == {CULPRIT: SuspectStatus.SUSPECT}


def test_requests_beside_an_identified_culprit_are_cleared() -> None:
    group = Group()
    group.record(1.0, crash_of(1, CULPRIT, BYSTANDER))
    group.record(1.2, crash_of(2, CULPRIT, BYSTANDER))
    assert group.statuses[BYSTANDER] is SuspectStatus.REPEAT_SUSPECT
    assert group.record(1.4, crash_of(3, CULPRIT)) == {CULPRIT: SuspectStatus.QUARANTINED}


def test_unproven_requests_are_tried_alone_and_served_one_is_cleared() -> None:
    group = unproven()
    assert not group.begins_trial(BYSTANDER, 2.0 + DELAY - 0.1)
    assert group.begins_trial(BYSTANDER, 2.0 + DELAY)
    assert not group.begins_trial(CULPRIT, 2.0 + DELAY + 0.1, "d/2")
    group.record(2.0 + DELAY + 0.2, served=[BYSTANDER])
    assert group.statuses == {CULPRIT: SuspectStatus.QUARANTINED}
    assert group.state.suspects.trial is None
    assert not group.begins_trial(CULPRIT, 2.0 + DELAY + 0.3)


def test_unproven_culprit_crashes_at_most_one_more_backend() -> None:
    group = unproven()
    assert group.begins_trial(CULPRIT, 2.0 + DELAY)
    # Another request was in flight too; it was not the one on trial.
    assert group.record(6.0, crash_of(9, CULPRIT, OTHER)) == {CULPRIT: SuspectStatus.QUARANTINED}
    assert not group.begins_trial(CULPRIT, 60.0)


def test_trial_without_outcome_is_ended_before_the_next() -> None:
    group = unproven()
    assert group.begins_trial(CULPRIT, 10.0)
    assert not group.begins_trial(BYSTANDER, 10.0 + TRIAL_TIMEOUT_SECONDS)
    assert group.state.suspects.is_trial_expired(10.0 + TRIAL_TIMEOUT_SECONDS + 0.1)
    group.apply(EndTrial(group.state.suspects.trials), 10.0 + TRIAL_TIMEOUT_SECONDS + 0.1)
    assert group.state.suspects.trial is None
    assert group.begins_trial(BYSTANDER, 10.0 + TRIAL_TIMEOUT_SECONDS + 0.2)


def test_late_end_of_an_earlier_trial_does_not_end_a_later_one() -> None:
    group = unproven()
    group.begins_trial(CULPRIT, 10.0)
    group.apply(EndTrial(1), 16.0)
    group.begins_trial(BYSTANDER, 17.0)
    group.apply(EndTrial(1), 18.0)
    assert group.state.suspects.trial is not None


def test_quarantine_ends_with_a_trial_and_restarts_with_the_next_crash() -> None:
    group = quarantined()
    suspects = group.state.suspects
    assert suspects.due_for_trial(2.0 + QUARANTINE_SECONDS) == ()
    later = 2.0 + QUARANTINE_SECONDS + 1.0
    assert suspects.due_for_trial(later) == (CULPRIT,)
    group.apply(AllowTrials((CULPRIT,)), later)
    assert group.statuses == {CULPRIT: SuspectStatus.UNPROVEN}
    assert suspects.due_for_trial(later) == ()
    assert group.begins_trial(CULPRIT, later)
    assert group.record(later + 1.0, crash_of(7, CULPRIT)) == {CULPRIT: SuspectStatus.QUARANTINED}
    assert suspects.due_for_trial(later + QUARANTINE_SECONDS) == ()


def test_request_served_after_its_quarantine_is_cleared() -> None:
    group = quarantined()
    later = 2.0 + QUARANTINE_SECONDS + 1.0
    group.apply(AllowTrials((CULPRIT,)), later)
    group.begins_trial(CULPRIT, later)
    assert group.record(later + 0.1, served=[CULPRIT]) == {}
    assert group.state.suspects.trial is None


def test_request_never_alone_at_a_crash_is_retried_sooner() -> None:
    group = quarantined(*(ContentDigest(f"x{number}") for number in range(3)))
    due = group.state.suspects.due_for_trial
    assert due(2.0 + SHORT_QUARANTINE_SECONDS) == ()
    assert due(2.0 + SHORT_QUARANTINE_SECONDS + 0.1) == (CULPRIT,)


def test_view_of_a_released_request_with_cleared_requests_beside_it() -> None:
    """Guards against a crash loop of all control daemons when they built the view.

    A released request was never alone at a crash, and its crashes still listed the requests beside
    it, which were no longer suspected.
    """
    group = quarantined(*(ContentDigest(f"x{number}") for number in range(3)))
    group.apply(AllowTrials((CULPRIT,)), 60.0)
    view = group.state.suspects.view()
    assert {c: s.status for c, s in view.suspicions.items()} == {CULPRIT: SuspectStatus.UNPROVEN}
    assert len(view.suspicions[CULPRIT].crashed_backends) == 3


def test_old_crashes_expire_except_those_of_quarantined_requests() -> None:
    group = quarantined()
    group.record(3.0, crash_of(10, BYSTANDER))
    group.record(3.0 + CRASH_RETENTION_SECONDS + 0.1, crash_of(11, OTHER))
    assert group.statuses == {CULPRIT: SuspectStatus.QUARANTINED, OTHER: SuspectStatus.SUSPECT}


def test_tables_are_bounded() -> None:
    group = Group()
    many = tuple(ContentDigest(f"x{number}") for number in range(CONTENTS_LIMIT + 9))
    group.record(0.0, crash_of(0, *many))
    assert len(group.state.suspects.crashes[BackendId("b0")].blamed) == CONTENTS_LIMIT
    assert not group.state.suspects.is_new(crash_of(0, *many))
    late = crash_of(0, ContentDigest("late"))
    assert not group.state.suspects.is_new(late), "it would be reported repeatedly"
    for number in range(1, CRASHES_LIMIT + 9):
        group.record(0.1 * number, crash_of(number, ContentDigest(f"y{number}")))
    assert len(group.state.suspects.crashes) == CRASHES_LIMIT


def test_crashes_in_a_mass_outage_are_ignored() -> None:
    """A zone is lost with all requests in flight there."""
    group = Group()
    crashes = [crash_of(number, ContentDigest(f"x{number}")) for number in range(40)]
    group.record(1.0, *crashes)
    assert len(group.statuses) == MASS_OUTAGE_CRASHES
    assert not any(group.state.suspects.is_new(crash) for crash in crashes), "reported only once"
    group.record(1.5, crash_of(50, CULPRIT))
    assert CULPRIT not in group.statuses
    assert (
        group.record(1.0 + MASS_OUTAGE_SECONDS, crash_of(51, CULPRIT))[CULPRIT]
        is SuspectStatus.SUSPECT
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
def test_snapshot_restores_the_same_state_after_any_commands(
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


def test_snapshot_of_an_earlier_version_has_no_suspects() -> None:
    raw = msgspec.msgpack.decode(DirectoryState().snapshot())
    del raw["suspects"]
    state = DirectoryState()
    state.restore(msgspec.msgpack.encode(raw))
    assert state.suspects.statuses == {}
