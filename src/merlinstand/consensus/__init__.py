"""Raft-like consensus of the control group: election, log, snapshots, membership, leader lease.

Pure code: each call takes an event and the time and returns a `Step` with effects. A daemon owns
one `replica.Replica` and mostly needs only `replica`, `settings` and `step`.

- Roles of a replica: `follower`, `election` (with `restart_census`), `leader`.
- Parts of the leader: `replication`, `progress`, `snapshot_transfer`, `leader_lease`,
  `read_barrier`, `hand_over`, `group_observer`, `repair`.
- Shared: `state`, `log`, `journal` (ordering of disk writes), `membership`, `membership_history`,
  `quorum`, `wire`.
- Disk: `records`, `recovery`, `first_start`.
- For the daemons: `proof` (staleness of a follower's state), `pending_proposals`, `member_states`,
  `placement`, `timings`.

Raft: D. Ongaro, J. Ousterhout, "In Search of an Understandable Consensus Algorithm" (2014). The
differences are documented in docs/DECISIONS 0002 (identities), 0005 (timeouts, lease) and 0010
(census).
"""
