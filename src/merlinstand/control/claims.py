"""Claims on idempotency keys: a request that is not repeatable is dispatched at most once.

A gateway claims the key before it dispatches the request. A gateway that finds the key claimed
does not dispatch; it responds with the recorded outcome, or with `unknown` until there is one.
"""

import itertools
import sys
from collections import OrderedDict

import msgspec

from merlinstand.control.commands import (
    AnyOutcome,
    ClaimGranted,
    ClaimRequest,
    ClaimTaken,
    Done,
    RecordOutcome,
    Refused,
)

CLAIM_RETENTION_SECONDS = 6 * 3600.0
"""Group time after which a key may be claimed again. Callers resend within minutes."""

MAXIMUM_CLAIMS = 50_000
"""While this many claims are within their retention time, new claims are refused: evicting a claim
that early could let its request be executed twice."""

MAXIMUM_STORED_BODY_BYTES = 16 * 1024
"""Largest response body stored for duplicates; the outcome of a larger one is recorded as
`unknown`."""

MAXIMUM_STORED_BODIES_BYTES = 4 * 1024 * 1024
"""Limit on the total size of stored bodies. The oldest bodies are evicted first; a late duplicate
of a request whose body was evicted gets `unknown`."""


EVICTION_INTERVAL_REVISIONS = 256
"""Log entries between two evictions of expired claims. Not at every entry, because finding a
dict's first key gets slow once many keys before it were deleted."""


class Claim(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """One claimed key."""

    request_digest: str
    owner: str
    owner_incarnation: int
    claimed_at: float
    """Group time in seconds."""
    recorded: str = "pending"
    status: int = 0
    body: bytes = b""
    content_type: str = ""


class ClaimTable:
    """Claims by key, oldest first."""

    def __init__(self) -> None:
        self.claims: dict[str, Claim] = {}
        self._bodies: OrderedDict[str, int] = OrderedDict()
        """Size of each stored body, oldest record first."""
        self._bodies_bytes = 0

    def claim(self, command: ClaimRequest, revision: int, group_time: float) -> AnyOutcome:
        """Claim a key, or return the state of the earlier claim."""
        oldest_retained = group_time - CLAIM_RETENTION_SECONDS
        claim = self.claims.get(command.idempotency_key)
        full = len(self.claims) >= MAXIMUM_CLAIMS
        expired = claim is not None and claim.claimed_at < oldest_retained
        if full or expired or revision % EVICTION_INTERVAL_REVISIONS == 0:
            self._evict_expired(oldest_retained)
            claim = self.claims.get(command.idempotency_key)
        if claim is not None:
            return _claim_taken(command, claim)
        if len(self.claims) >= MAXIMUM_CLAIMS:
            return Refused(code="busy", detail="too many recent claims")
        self.claims[command.idempotency_key] = Claim(
            command.request_digest, sys.intern(command.owner), command.owner_incarnation, group_time
        )
        return ClaimGranted(idempotency_key=command.idempotency_key)

    def record(self, command: RecordOutcome, revision: int) -> AnyOutcome:
        """Record the outcome of a claimed request; accepted once, and only from the owner."""
        key = command.idempotency_key
        claim = self.claims.get(key)
        if claim is None:
            return Refused(code="not_found", detail="no such claim")
        # Every claim has its own owner_incarnation (a fencing token made by the gateway), so a
        # delayed outcome of an earlier claim of the key cannot complete a later one.
        if not _is_owner(claim, command):
            return Refused(code="conflict", detail="claimed by somebody else")
        if claim.recorded != "pending":
            return Refused(code="already", detail="the outcome is recorded")
        if command.outcome == "not_run":
            del self.claims[key]
        elif command.outcome == "answer" and len(command.body) <= MAXIMUM_STORED_BODY_BYTES:
            self._store_answer(key, claim, command)
        elif command.outcome in ("answer", "unknown"):
            self.claims[key] = msgspec.structs.replace(claim, recorded="unknown")
        else:
            return Refused(code="invalid_input", detail="unknown outcome")
        return Done(revision=revision)

    def restore(self, claims: dict[str, Claim], bodies: list[str]) -> None:
        """Replace the content by that of a snapshot."""
        self.claims = dict(claims)
        self._bodies = OrderedDict((key, len(claims[key].body)) for key in bodies)
        self._bodies_bytes = sum(self._bodies.values())

    def keys_with_body(self) -> list[str]:
        """Return the keys that have a stored body, oldest record first, for a snapshot."""
        return list(self._bodies)

    def _store_answer(self, key: str, claim: Claim, command: RecordOutcome) -> None:
        self.claims[key] = msgspec.structs.replace(
            claim,
            recorded="answer",
            status=command.status,
            body=command.body,
            content_type=command.content_type,
        )
        self._bodies[key] = len(command.body)
        self._bodies_bytes += len(command.body)
        while self._bodies_bytes > MAXIMUM_STORED_BODIES_BYTES:
            oldest = next(iter(self._bodies))
            self._drop_body(oldest)
            self.claims[oldest] = msgspec.structs.replace(
                self.claims[oldest], recorded="unknown", status=0, body=b"", content_type=""
            )

    def _drop_body(self, key: str) -> None:
        self._bodies_bytes -= self._bodies.pop(key, 0)

    def _evict_expired(self, oldest_retained: float) -> None:
        # Claims are in order of claimed_at: group time never decreases, and recording an
        # outcome replaces the value in place.
        expired = itertools.takewhile(
            lambda item: item[1].claimed_at < oldest_retained, self.claims.items()
        )
        for key, _ in list(expired):
            self._drop_body(key)
            del self.claims[key]


def _is_owner(claim: Claim, command: RecordOutcome) -> bool:
    return (claim.owner, claim.owner_incarnation) == (command.owner, command.owner_incarnation)


def _claim_taken(command: ClaimRequest, claim: Claim) -> ClaimTaken:
    if claim.request_digest != command.request_digest:
        return ClaimTaken(idempotency_key=command.idempotency_key, recorded="different_request")
    return ClaimTaken(
        idempotency_key=command.idempotency_key,
        recorded=claim.recorded,
        status=claim.status,
        body=claim.body,
        content_type=claim.content_type,
    )
