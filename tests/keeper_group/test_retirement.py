"""Retirement of a keeper, also at a new leader that has not heard from all keepers yet."""

import pytest

from merlinstand.cluster.daemons import DaemonReport
from merlinstand.common.errors import ConflictError, NotFoundError, UnavailableError
from merlinstand.directory.commands import RetireKeeper
from merlinstand.directory.state_machine import DirectoryState
from merlinstand.keeper_group.retirement import KeepersView, find_keeper_to_retire, is_retired

KEEPER_NAMES = ("store-1", "store-2", "store-3", "store-4")


def make_report(name: str, members: tuple[str, ...] = ()) -> DaemonReport:
    return DaemonReport(node_id=f"ip-of-{name}", name=name, role="keeper", members=members)


def make_view(
    heard: tuple[str, ...], retiring: tuple[str, ...] = (), is_complete: bool = True
) -> KeepersView:
    return KeepersView(
        reports=[make_report(name) for name in heard],
        retiring={f"ip-of-{name}": name for name in retiring},
        has_all_reports=is_complete,
        group_size=3,
    )


@pytest.mark.parametrize(
    ("view", "name", "expected"),
    [
        (make_view(KEEPER_NAMES), "store-4", "ip-of-store-4"),
        (make_view(KEEPER_NAMES, ("store-4",)), "store-4", None),
        (make_view((), ("store-4",), is_complete=False), "store-4", None),
        (make_view(KEEPER_NAMES), "store-9", NotFoundError),
        (make_view((), is_complete=False), "store-4", UnavailableError),
        (make_view(KEEPER_NAMES[:3]), "store-3", ConflictError),
        (make_view(KEEPER_NAMES, ("store-4",)), "store-3", ConflictError),
        (make_view(KEEPER_NAMES[:3], is_complete=False), "store-3", UnavailableError),
    ],
    ids=[
        "enough keepers remain",
        "repeated request",
        "repeated request to a leader without reports",
        "unknown keeper",
        "keeper has not reported yet",
        "too few keepers remain",
        "too few keepers remain besides one that is retiring",
        "too few keepers have reported yet",
    ],
)
def test_a_retirement_request_is_decided(
    view: KeepersView, name: str, expected: str | type[Exception] | None
) -> None:
    """A new leader must not reject a repeated request with "not found" before keepers report."""
    decision = find_keeper_to_retire(view, name)
    if isinstance(expected, type):
        assert isinstance(decision.err(), expected)
    else:
        assert decision.is_ok()
        assert decision.ok() == expected


@pytest.mark.parametrize(
    ("leader", "expected"),
    [
        (make_report("store-1", ("ip-of-store-1", "ip-of-store-2")), True),
        (make_report("store-1", ("ip-of-store-1", "ip-of-store-4")), False),
        (make_report("store-1"), False),
        (None, False),
    ],
)
def test_a_keeper_is_retired_once_the_leader_lists_it_as_no_member(
    leader: DaemonReport | None, expected: bool
) -> None:
    view = make_view((), ("store-4",), is_complete=False)
    assert is_retired(view, "store-4", leader).ok() is expected


def test_a_retirement_that_was_not_requested_is_not_found() -> None:
    assert isinstance(is_retired(make_view(KEEPER_NAMES), "store-4", None).err(), NotFoundError)


def test_retiring_keepers_are_restored_from_a_snapshot() -> None:
    state = DirectoryState()
    state.apply(1, RetireKeeper("ip-of-store-4", "store-4"))
    restored = DirectoryState()
    restored.restore(state.snapshot())
    assert restored.retiring == {"ip-of-store-4": "store-4"}
