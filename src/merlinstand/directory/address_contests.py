"""Back ends that claim an address which another one holds (soft state of the control leader).

A claim comes from a newcomer whose predecessor crashed, or from a heartbeat of an incarnation that
was never known and is long gone, which a cut held back. Whoever lives goes on sending heartbeats:
so a claim counts only once the holder is silent, and one that isn't renewed meanwhile is dropped.
"""

from collections.abc import Callable, Iterable

import msgspec

from merlinstand.common.ids import BackendId
from merlinstand.directory.backend_table import BackendTable
from merlinstand.directory.commands import PutBackend

QUIET_SECONDS = 2.5
"""A holder that was not heard for this long gives its address up to a claim: two of the 1.2 s
between heartbeats, and what replicas take to pass them on; a sixth of the silence after which it
expires. A newcomer that registers sooner after its predecessor's last heartbeat waits for the rest.
"""


class _Claim(msgspec.Struct, frozen=True):
    change: PutBackend
    at: float


class _Admission(msgspec.Struct, frozen=True):
    backend_id: BackendId
    at: float


class AddressContests:
    """All claims that wait, and whose were admitted lately."""

    def __init__(
        self, table: Callable[[], BackendTable], heard_at: Callable[[BackendId], float | None]
    ) -> None:
        """Begin without claims.

        Args:
            table: Gives the registered back ends.
            heard_at: When a back end was heard last; None if that isn't known.
        """
        self._table = table
        self._heard_at = heard_at
        self._claims: dict[BackendId, _Claim] = {}
        self._admitted: dict[str, _Admission] = {}
        """By address: what is proposed and not agreed on yet is not in the table."""

    def clear(self) -> None:
        """A leadership begins."""
        self._claims.clear()
        self._admitted.clear()

    def settle(self, changes: Iterable[PutBackend], now: float) -> tuple[PutBackend, ...]:
        """Give the changes that may be agreed on now, earlier claims among them; keep the rest."""
        claims = self._claims
        claims.update((change.backend.backend_id, _Claim(change, now)) for change in changes)
        self._claims = {}
        self._admitted = {a: held for a, held in self._admitted.items() if _is_fresh(held.at, now)}
        settled: list[PutBackend] = []
        for backend_id, claim in claims.items():
            if self._may_have_address(claim.change, now):
                settled.append(claim.change)
                self._admitted[claim.change.backend.address] = _Admission(backend_id, now)
            elif _is_fresh(claim.at, now):
                self._claims[backend_id] = claim
        table = self._table()
        return tuple(c for c in settled if table.would_change(c.backend, c.sequence))

    def _may_have_address(self, change: PutBackend, now: float) -> bool:
        address = change.backend.address
        admitted = self._admitted.get(address)
        holder = admitted.backend_id if admitted is not None else self._table().holder_of(address)
        if holder is None or holder == change.backend.backend_id:
            return True
        heard_at = self._heard_at(holder)
        return heard_at is not None and not _is_fresh(heard_at, now)


def _is_fresh(at: float, now: float) -> bool:
    return now - at < QUIET_SECONDS
