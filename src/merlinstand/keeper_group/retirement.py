"""Decides whether an operator may retire a keeper, and whether a retirement is complete.

The control leader uses these pure functions. The list of keepers is soft state: a new leader builds
it from reports within moments of its election. Until the list is complete, the leader cannot tell
whether a keeper does not exist or whether too few keepers would remain, so it asks the caller to
retry.
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
    """What the control leader knows about the keepers."""

    reports: Sequence[DaemonReport]
    """Reports of the keepers heard recently."""
    retiring: Mapping[str, str]
    """Names of the keepers that are being retired, by node id; committed to the directory's log."""
    has_all_reports: bool
    """Whether every live keeper has had enough time to report to this leader."""
    group_size: int
    """Number of replicas needed to tolerate the configured losses."""


def find_keeper_to_retire(view: KeepersView, name: str) -> Result[str | None, MerlinstandError]:
    """Decide on a request to retire a keeper.

    Args:
        view: The keepers known to the control leader.
        name: Machine name of the keeper.

    Returns:
        The node id of the keeper to retire; None if its retirement was requested before. An error
        if no keeper has the name, if too few keepers would remain, or if the leader cannot tell yet
        because some keepers may not have reported.
    """
    if name in view.retiring.values():
        return Ok(None)
    matching_ids = [report.node_id for report in view.reports if report.name == name]
    if not matching_ids:
        return Err(
            _unavailable_until_complete(view, NotFoundError(detail=f"no keeper is named {name!r}"))
        )
    retiring = {*view.retiring, matching_ids[0]}
    remaining = [report for report in view.reports if report.node_id not in retiring]
    if len(remaining) < view.group_size:
        return Err(
            _unavailable_until_complete(
                view,
                ConflictError(
                    detail=f"{len(remaining)} keepers would be left, {view.group_size} are needed"
                ),
            )
        )
    return Ok(matching_ids[0])


def is_retired(
    view: KeepersView, name: str, leader: DaemonReport | None
) -> Result[bool, MerlinstandError]:
    """Return whether a keeper has left the group and stores nothing that the group needs.

    Args:
        view: The keepers known to the control leader.
        name: Machine name of the keeper.
        leader: Report of the keepers' leader; None if no leader is known, in which case the result
            is False.

    Returns:
        An error if its retirement was not requested.
    """
    node_ids = [node_id for node_id, retiring in view.retiring.items() if retiring == name]
    if not node_ids:
        return Err(NotFoundError(detail=f"retirement of keeper {name!r} was not requested"))
    is_known = leader is not None and bool(leader.members)
    return Ok(is_known and leader is not None and node_ids[-1] not in leader.members)


def _unavailable_until_complete(view: KeepersView, error: MerlinstandError) -> MerlinstandError:
    if view.has_all_reports:
        return error
    return UnavailableError(
        detail="not all keepers have reported to the new leader yet",
        retry_after_seconds=UNKNOWN_KEEPER_RETRY_AFTER_SECONDS,
    )
