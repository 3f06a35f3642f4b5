"""Raft-like consensus of the control group: election, log, snapshots, membership, leader lease.

Pure, as all decisions: events and the time go in, a `Step` with effects comes out. A daemon owns
one `replica.Replica` and needs `replica`, `settings` and `step` of this package, hardly more.

- Roles of a replica: `follower`, `election` (with `restart_census`), `leader`.
- Of a leadership: `replication`, `progress`, `snapshot_transfer`, `leader_lease`, `read_barrier`,
  `hand_over`, `group_observer`, `repair`.
- Shared: `state`, `log`, `journal` (the order of writes), `membership`, `membership_history`,
  `quorum`, `wire`.
- Disk: `records`, `recovery`, `first_start`.
- For the daemons: `proof` (how fresh a follower's state is), `pending_proposals`, `member_states`,
  `placement`, `timings`.

Raft: D. Ongaro, J. Ousterhout, "In Search of an Understandable Consensus Algorithm" (2014). What
differs is in docs/DECISIONS 0002 (identities), 0005 (time-outs, lease) and 0010 (census).
"""
