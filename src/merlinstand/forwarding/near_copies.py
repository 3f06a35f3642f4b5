"""Keepers of the own zone that hold the replicated jobs: read there, results cross no zone.

A position of a job never changes once it is committed, so any copy that has a result there may
give it. What a copy lacks, only the leader can tell.
"""

from merlinstand.directory.follower import DirectoryFollower

AVOID_SECONDS = 3.0
"""A copy that did not answer is passed over for this long."""


class NearCopies:
    """The choice of a copy for one gateway."""

    def __init__(self, zone: str, follower: DirectoryFollower) -> None:
        """Begin without evidence.

        Args:
            zone: The gateway's zone.
            follower: Tells the keepers.
        """
        self._zone = zone
        self._follower = follower
        self._avoid_until: dict[str, float] = {}
        """By HTTP address; no more of them than keepers."""
        self._turn = 0

    def choose(self, now: float) -> str:
        """Give a copy's HTTP address; empty if the leader is as near, or no copy is."""
        near = [keeper for keeper in self._follower.keepers if keeper.zone == self._zone]
        if any(keeper.is_leader for keeper in near):
            return ""
        copies = [
            keeper.http_address
            for keeper in near
            if keeper.has_copy and self._avoid_until.get(keeper.http_address, 0.0) <= now
        ]
        self._turn += 1
        return copies[self._turn % len(copies)] if copies else ""

    def note_failure(self, address: str, now: float) -> None:
        """A copy gave no answer, or none that can be understood."""
        known = {keeper.http_address for keeper in self._follower.keepers}
        self._avoid_until = {a: t for a, t in self._avoid_until.items() if a in known}
        self._avoid_until[address] = now + AVOID_SECONDS
