"""Back ends that claim an address which another one holds.

A claim comes from a newcomer whose predecessor crashed, or from a heartbeat of an incarnation that
was never known and is long gone, which a cut held back. Whoever lives goes on sending heartbeats:
so a claim counts only once the holder is silent, and one that isn't renewed meanwhile is dropped;
`heartbeat_rules` says how long that is. Soft state of the control leader, bounded by the back ends
that sent heartbeats lately.
"""

from collections.abc import Callable, Iterable

import msgspec

from merlinstand.common.ids import BackendId
from merlinstand.directory.backend_table import BackendTable
from merlinstand.directory.commands import PutBackend
from merlinstand.directory.heartbeat_rules import is_address_held, is_claim_valid


class _Claim(msgspec.Struct, frozen=True):
    change: PutBackend
    at: float


class _Admission(msgspec.Struct, frozen=True):
    backend_id: BackendId
    at: float


class AddressConflicts:
    """All claims that wait, and whose were admitted lately."""

    def __init__(
        self,
        table: Callable[[], BackendTable],
        last_heartbeat_at: Callable[[BackendId], float | None],
    ) -> None:
        """Begin without claims.

        Args:
            table: Gives the registered back ends.
            heard_at: When a back end was heard last; None if that isn't known.
        """
        self._table = table
        self._heard_at = last_heartbeat_at
        self._claims: dict[BackendId, _Claim] = {}
        self._admitted: dict[str, _Admission] = {}
        """By address: what is proposed and not agreed on yet is not in the table."""

    def clear(self) -> None:
        """A leadership begins."""
        self._claims.clear()
        self._admitted.clear()

    def resolve(self, changes: Iterable[PutBackend], now: float) -> tuple[PutBackend, ...]:
        """Give the changes that may be agreed on now, earlier claims among them; keep the rest."""
        claims = self._claims
        claims.update((change.backend.backend_id, _Claim(change, now)) for change in changes)
        self._claims = {}
        self._admitted = {
            address: held
            for address, held in self._admitted.items()
            if is_claim_valid(held.at, now)
        }
        settled: list[PutBackend] = []
        for backend_id, claim in claims.items():
            if self._may_have_address(claim.change, now):
                settled.append(claim.change)
                self._admitted[claim.change.backend.address] = _Admission(backend_id, now)
            elif is_claim_valid(claim.at, now):
                self._claims[backend_id] = claim
        table = self._table()
        return tuple(c for c in settled if table.would_change(c.backend, c.sequence))

    def _may_have_address(self, change: PutBackend, now: float) -> bool:
        address = change.backend.address
        admitted = self._admitted.get(address)
        holder = admitted.backend_id if admitted is not None else self._table().holder_of(address)
        if holder is None or holder == change.backend.backend_id:
            return True
        return not is_address_held(self._heard_at(holder), now)
