"""Sends updates with evacuated zones to a daemon's follower."""

from merlinstand.directory.follower import DirectoryFollower
from merlinstand.directory.view import DirectoryChanges, encode_changes
from merlinstand.protocol.generated.directory.ttypes import DirectoryUpdate

LEADER = "10.0.0.1"


def zones_update(revision: int, *zones: str) -> DirectoryUpdate:
    """Return an update as sent by the leader.

    Args:
        revision: Log position of the order.
        *zones: All evacuated zones.
    """
    changes = encode_changes(DirectoryChanges(zones_revision=revision, evacuated=zones))
    return DirectoryUpdate(
        from_leader=True, leader=LEADER, leader_address="", changes=changes, term=2
    )


def evacuate(follower: DirectoryFollower, *zones: str) -> None:
    """Send all evacuated zones to a follower."""
    update = zones_update(follower.evacuated.revision + 1, *zones)
    follower.apply_update(LEADER, update, 0.0)  # type: ignore[arg-type]
