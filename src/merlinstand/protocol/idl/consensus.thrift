namespace py merlinstand.protocol.generated.consensus

/** Messages between the replicas of a consensus group. */

struct LogEntry {
  1: required i64 index;
  2: required i64 term;
  /** 0 = command, 1 = membership change, 2 = no-op at the start of a term. */
  3: required i32 kind;
  4: required binary payload;
  /** Group time in seconds at which the entry was proposed. */
  5: optional double group_time = 0;
}

/** Identity of a replica. A node that lost its disk restarts with a new incarnation. */
struct ReplicaIdentity {
  1: required string node_id;
  2: required i64 incarnation;
}

struct VoteRequest {
  1: required i64 term;
  2: required ReplicaIdentity candidate;
  3: required i64 last_log_index;
  4: required i64 last_log_term;
  5: required bool pre_vote;
  /** Set during a leadership transfer: ignore the lease of the current leader. */
  6: required bool hand_over;
  /** Number of the candidate's round of pre-vote requests, returned in the reply to a pre-vote. */
  7: optional i64 round = 0;
  /**
   * Start number that the receiver reported. If it matches, the receiver may vote although its
   * wait for promises forgotten by the restart has not ended.
   */
  8: optional i64 voter_start = 0;
}

struct VoteReply {
  1: required i64 term;
  2: required ReplicaIdentity voter;
  3: required bool granted;
  4: required bool pre_vote;
  5: optional i64 round = 0;
  /** Start number of the voter if nothing but its recent restart prevents its vote; else 0. */
  6: optional i64 start = 0;
}

struct AppendRequest {
  1: required i64 term;
  2: required ReplicaIdentity leader;
  3: required i64 previous_index;
  4: required i64 previous_term;
  5: required list<LogEntry> entries;
  6: required i64 commit_index;
  /** Leader's clock at sending, returned in the reply (for the leader lease). */
  7: required double sent_at;
  /** Follower's clock from its last reply, returned (for the age of the follower's state). */
  8: required double follower_sent_at;
  /** Whether the leader held its lease at sending. */
  9: required bool leader_lease_held;
}

struct AppendReply {
  1: required i64 term;
  2: required ReplicaIdentity follower;
  3: required bool success;
  /** Highest matching index (success), or a hint to which index the leader should go back. */
  4: required i64 match_index;
  5: required double leader_sent_at;
  6: required double follower_sent_at;
}

struct SnapshotChunk {
  1: required i64 term;
  2: required ReplicaIdentity leader;
  3: required i64 last_index;
  4: required i64 last_term;
  5: required i64 offset;
  6: required binary data;
  7: required bool done;
  8: required binary membership;
  9: required double sent_at;
}

struct SnapshotReply {
  1: required i64 term;
  2: required ReplicaIdentity follower;
  3: required i64 last_index;
  4: required i64 next_offset;
  5: required bool installed;
  6: required double leader_sent_at;
}

/** Leadership transfer: the receiver may start an election at once. */
struct ElectNow {
  1: required i64 term;
  2: required ReplicaIdentity leader;
}

/** An empty or unknown replica asks to be added as a learner. */
struct JoinRequest {
  1: required ReplicaIdentity replica;
  2: required string address;
  3: required string zone;
}
