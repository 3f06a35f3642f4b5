"""Resolves conflicts between backends that claim the same address.

A claim is a heartbeat of a backend at an address that another backend, the holder, is registered
at. It comes from a new incarnation whose predecessor crashed, or was delayed and comes
from an unknown incarnation that has already ended. A live backend keeps sending heartbeats, so a
claim is granted only once the holder's heartbeats have stopped, and a claim expires unless another
heartbeat renews it; see `heartbeat_rules` for the times. Claims are kept in the control leader's
memory only; their number is bounded by the number of backends that sent heartbeats recently.
"""

from collections.abc import Callable, Iterable

import msgspec

from merlinstand.common.ids import BackendId
from merlinstand.directory.backend_table import BackendTable
from merlinstand.directory.commands import PutBackend
from merlinstand.directory.heartbeat_rules import is_address_held, is_claim_valid


class _Claim(msgspec.Struct, frozen=True):
    change: PutBackend
    claimed_at: float


class _Grant(msgspec.Struct, frozen=True):
    backend_id: BackendId
    granted_at: float


class AddressConflicts:
    """Pending claims to addresses, and claims granted recently."""

    def __init__(
        self,
        table: Callable[[], BackendTable],
        last_heartbeat_at: Callable[[BackendId], float | None],
    ) -> None:
        """Create an instance for one control replica.

        Args:
            table: Returns the registered backends.
            last_heartbeat_at: Returns the local time of a backend's last heartbeat; None if
                unknown.
        """
        self._table = table
        self._last_heartbeat_at = last_heartbeat_at
        self._claims: dict[BackendId, _Claim] = {}
        self._granted: dict[str, _Grant] = {}
        """Newest grant by address. Covers registrations that were proposed and are not committed to
        the table yet."""

    def clear(self) -> None:
        """Discard the claims and grants that were recorded in an earlier leadership term."""
        self._claims.clear()
        self._granted.clear()

    def resolve(self, changes: Iterable[PutBackend], now: float) -> tuple[PutBackend, ...]:
        """Return those of the new changes and the pending claims that may be proposed now.

        The remaining claims stay pending until they expire.
        """
        claims = self._claims
        claims.update((change.backend.backend_id, _Claim(change, now)) for change in changes)
        self._claims = {}
        self._granted = {
            address: grant
            for address, grant in self._granted.items()
            if is_claim_valid(grant.granted_at, now)
        }
        allowed: list[PutBackend] = []
        for backend_id, claim in claims.items():
            if self._may_take_address(claim.change, now):
                allowed.append(claim.change)
                self._granted[claim.change.backend.address] = _Grant(backend_id, now)
            elif is_claim_valid(claim.claimed_at, now):
                self._claims[backend_id] = claim
        table = self._table()
        return tuple(c for c in allowed if table.would_change(c.backend, c.sequence))

    def _may_take_address(self, change: PutBackend, now: float) -> bool:
        address = change.backend.address
        grant = self._granted.get(address)
        holder = grant.backend_id if grant is not None else self._table().holder_of(address)
        if holder is None or holder == change.backend.backend_id:
            return True
        return not is_address_held(self._last_heartbeat_at(holder), now)
