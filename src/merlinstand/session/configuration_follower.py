"""Pulls the configuration, never reverts to an older revision, and tracks how recent it is.

Guarantee: once one configuration lease has passed after a change was committed, every daemon
either has the change in effect or accepts no new work. A freshness proof given after the commit
includes the change, and new work is accepted only with a proof younger than the lease.
"""

import random

import msgspec

from merlinstand.common import constants
from merlinstand.common.ids import NodeId
from merlinstand.configuration.table import ConfigurationTable, Delta, DeltaEntry
from merlinstand.control.replies import configuration_update
from merlinstand.kernel.effects import CancelTimer, Effect, SendMessage, SetTimer
from merlinstand.protocol.generated.control.ttypes import ConfigurationPull, ConfigurationUpdate
from merlinstand.session.durable_state import DurableState
from merlinstand.session.replica_choice import ReplicaSelector
from merlinstand.session.settings import SessionSettings
from merlinstand.session.view import ConfigurationView, next_view

PULL_TIMER = "session.pull"
PULL_TIMEOUT_TIMER = "session.pull_timeout"

PULL_JITTER_FRACTION = 0.1
"""Largest random deviation of the pull interval, as a fraction of it."""

MINIMUM_REFRESH_INTERVAL_SECONDS = 0.1
"""Minimum time from a pull to an additional pull (`refresh`), so that requests that name unknown
versions cannot overload the control group."""

MAXIMUM_OUTSTANDING_PULLS = 32
"""Number of the most recent pulls whose replies are still accepted, however late."""


class StagedUpdate(msgspec.Struct, frozen=True):
    """A newer configuration whose revision is being written to disk; not yet in effect."""

    token: int
    delta: Delta
    proof_at: float | None


class AppliedUpdate(msgspec.Struct, frozen=True):
    """A newer configuration that is now in effect."""

    changed_keys: tuple[str, ...]


class ConfigurationFollower:
    """The configuration in effect at this daemon, and the time of its newest freshness proof."""

    def __init__(
        self, settings: SessionSettings, durable: DurableState, generator: random.Random
    ) -> None:
        """No configuration is in effect until the first pull succeeds.

        Args:
            settings: Identity and timings of this daemon, and the control replicas.
            durable: The session's records in the journal.
            generator: Source of random choices.
        """
        self.view = ConfigurationView()
        self._settings = settings
        self._timings = settings.timings
        self._durable = durable
        self._generator = generator
        self._selector = ReplicaSelector(settings.node_id, settings.members, settings.peers)
        self._table = ConfigurationTable()
        self._proof_at: float | None = None
        self._staged: StagedUpdate | None = None
        self._outstanding: dict[float, tuple[NodeId, ...]] = {}
        self._preferred_tried_at = 0.0
        self._last_pull_at = 0.0
        self._pull_timeout_running = False

    @property
    def usable_proof_age_seconds(self) -> float:
        """Age of the newest proof at which the configuration lease ends: the lease's duration less
        the clock drift."""
        drift = 2 * constants.MAXIMUM_CLOCK_DRIFT
        return self._timings.configuration_lease_seconds * (1.0 - drift)

    def holds_lease(self, now: float) -> bool:
        """Return whether the newest freshness proof is recent enough."""
        return self._proof_at is not None and (now - self._proof_at < self.usable_proof_age_seconds)

    def start(self, now: float) -> list[Effect]:
        """Send the first pull."""
        self._preferred_tried_at = now
        return self.pull(now)

    def refresh(self, now: float) -> list[Effect]:
        """Pull now, unless the last pull is within `MINIMUM_REFRESH_INTERVAL_SECONDS`."""
        if now - self._last_pull_at < MINIMUM_REFRESH_INTERVAL_SECONDS:
            return []
        return self.pull(now)

    def pull(self, now: float) -> list[Effect]:
        """Pull now."""
        targets, addresses = self._selector.choose_targets(self.view.daemons, self._generator)
        if self._should_retry_preferred(now):
            self._preferred_tried_at = now
            targets = (*targets, self._selector.preferred)
        self._last_pull_at = now
        # Pulls sent at the same time share one `sent_at`, which is harmless.
        self._outstanding[now] = (*self._outstanding.get(now, ()), *targets)
        while len(self._outstanding) > MAXIMUM_OUTSTANDING_PULLS:
            del self._outstanding[next(iter(self._outstanding))]
        message = ConfigurationPull(self._settings.node_id, self._table.revision, now)
        effects: list[Effect] = list(addresses)
        effects.extend(SendMessage(target, message) for target in targets)
        if not self._pull_timeout_running:
            # A running timer is not restarted, since frequent refreshes would postpone it forever.
            self._pull_timeout_running = True
            timeout_seconds = self._timings.pull_timeout_seconds * self._selector.backoff_factor
            effects.append(SetTimer(PULL_TIMEOUT_TIMER, timeout_seconds))
        return effects

    def handle_pull_timeout(self, now: float) -> list[Effect]:
        """Pull from other replicas, because no proof arrived in time."""
        self._pull_timeout_running = False
        self._selector.record_failure()
        return self.pull(now)

    def handle_update(
        self, sender: NodeId, update: ConfigurationUpdate, now: float
    ) -> list[Effect]:
        """Handle a reply to a pull; a newer revision takes effect once it is durable."""
        if not self._is_expected(sender, update, now):
            return []
        proof_at = _proof_time(update)
        effects = self._record_answer(sender, proof_at, now)
        if self._is_outdated(update):
            # The sender's revision is older than one that was in effect here. A daemon never goes
            # back to an older revision.
            return effects
        if update.to_revision == self._table.revision:
            self._renew_lease(proof_at)
        else:
            effects.extend(self._stage(update, proof_at))
        return effects

    def apply_synced(self, token: int) -> AppliedUpdate | None:
        """Put the staged configuration into effect if `token` made its revision durable."""
        staged = self._staged
        if staged is None or token != staged.token:
            return None
        self._staged = None
        changed_keys = self._table.apply(staged.delta)
        self.view = next_view(self.view, self._table, changed_keys)
        if staged.proof_at is not None:
            self._renew_lease(staged.proof_at)
        return AppliedUpdate(changed_keys)

    def answer_pull(self, sender: NodeId, pull: ConfigurationPull, now: float) -> list[Effect]:
        """Send the configuration to a peer, with the age of this daemon's own proof."""
        if self._proof_at is None:
            return []
        delta = self._table.delta_since(pull.have_revision)
        update = configuration_update(pull, delta, max(0.0, now - self._proof_at))
        return [SendMessage(sender, update)]

    def _should_retry_preferred(self, now: float) -> bool:
        is_due = now - self._preferred_tried_at >= self._timings.preferred_retry_seconds
        return is_due and self._selector.current != self._selector.preferred

    def _is_expected(self, sender: NodeId, update: ConfigurationUpdate, now: float) -> bool:
        # `sent_at` must be a send time of this run: after a restart the clock may have been
        # reset, and an old reply would look like a recent proof.
        targets = self._outstanding.get(update.sent_at)
        return targets is not None and sender in targets and update.sent_at <= now

    def _is_outdated(self, update: ConfigurationUpdate) -> bool:
        return update.to_revision < max(self._durable.revision, self._table.revision)

    def _record_answer(self, sender: NodeId, proof_at: float | None, now: float) -> list[Effect]:
        recent = self._timings.configuration_lease_seconds / 2
        if proof_at is None or now - proof_at > recent:
            # The pull timeout keeps running; when it fires, the daemon pulls from other replicas.
            return []
        self._selector.record_success(sender)
        self._pull_timeout_running = False
        jitter = self._generator.uniform(1.0 - PULL_JITTER_FRACTION, 1.0 + PULL_JITTER_FRACTION)
        delay_seconds = self._timings.pull_interval_seconds * jitter
        return [CancelTimer(PULL_TIMEOUT_TIMER), SetTimer(PULL_TIMER, delay_seconds)]

    def _stage(self, update: ConfigurationUpdate, proof_at: float | None) -> list[Effect]:
        if self._staged is not None and update.to_revision <= self._staged.delta.to_revision:
            return []
        if not update.full and update.from_revision > self._table.revision:
            return []
        token, effect = self._durable.write(update.to_revision)
        self._staged = StagedUpdate(token, _delta(update), proof_at)
        return [effect]

    def _renew_lease(self, proof_at: float | None) -> None:
        if proof_at is not None and (self._proof_at is None or proof_at > self._proof_at):
            self._proof_at = proof_at


def _proof_time(update: ConfigurationUpdate) -> float | None:
    # The reply was sent after the pull, so this is a lower bound of the proof's true time.
    if update.proof_age_seconds < 0.0:
        return None
    return update.sent_at - update.proof_age_seconds


def _delta(update: ConfigurationUpdate) -> Delta:
    entries = tuple(
        DeltaEntry(entry.key, entry.revision, entry.deleted, entry.payload)
        for entry in update.entries
    )
    return Delta(update.from_revision, update.to_revision, update.full, entries)
