"""Whether a keeper may be emptied at an operator's request, and whether it is (pure decisions).

Which keepers there are is soft state: a new leader hears of them within moments. Until then it
can say neither that one doesn't exist nor that too few would be left, so it asks to come back. Used
by the control leader.
"""

from collections.abc import Mapping, Sequence

import msgspec
from result import Err, Ok, Result

from merlinstand.cluster.daemons import DaemonReport
from merlinstand.common.errors import (
    ConflictError,
    MerlinstandError,
    NotFoundError,
    UnavailableError,
)
from merlinstand.decisions.rejection import UNKNOWN_KEEPER_RETRY_AFTER_SECONDS


class KeepersView(msgspec.Struct, frozen=True):
    """What the control leader knows of the keepers."""

    reports: Sequence[DaemonReport]
    """Those heard lately."""
    retiring: Mapping[str, str]
    """Names of the keepers that are being emptied, by node id; agreed."""
    has_all_reports: bool
    """Whether every living keeper has had the time to report to this leader."""
    group_size: int
    """Replicas of batch jobs needed to tolerate the losses."""


def find_keeper_to_retire(view: KeepersView, name: str) -> Result[str | None, MerlinstandError]:
    """Decide on a request to empty a keeper.

    Args:
        view: The keepers.
        name: Of the keeper's machine.

    Returns:
        The node id of the keeper to be emptied; None if that was requested before. An error if
        no keeper has the name, too few would be left, or either isn't certain yet.
    """
    if name in view.retiring.values():
        return Ok(None)
    named = [report.node_id for report in view.reports if report.name == name]
    if not named:
        return Err(_unless_complete(view, NotFoundError(detail=f"no keeper is named {name!r}")))
    leaving = {*view.retiring, named[0]}
    staying = [report for report in view.reports if report.node_id not in leaving]
    if len(staying) < view.group_size:
        return Err(_unless_complete(view, ConflictError(detail="too few keepers would be left")))
    return Ok(named[0])


def is_retired(
    view: KeepersView, name: str, leader: DaemonReport | None
) -> Result[bool, MerlinstandError]:
    """Whether a keeper holds nothing any more that is needed.

    Args:
        view: The keepers.
        name: Whose retirement is asked for.
        leader: Report of the keepers' leader, if one is known.

    Returns:
        An error if nobody requested that.
    """
    node_ids = [node_id for node_id, retiring in view.retiring.items() if retiring == name]
    if not node_ids:
        return Err(NotFoundError(detail=f"{name!r} is not to be emptied"))
    is_known = leader is not None and bool(leader.members)
    return Ok(is_known and leader is not None and node_ids[-1] not in leader.members)


def _unless_complete(view: KeepersView, error: MerlinstandError) -> MerlinstandError:
    if view.has_all_reports:
        return error
    return UnavailableError(
        detail="keepers are still reporting", retry_after_seconds=UNKNOWN_KEEPER_RETRY_AFTER_SECONDS
    )
