namespace py merlinstand.protocol.generated.consensus

/** Messages between the replicas of the control group. */

struct LogEntry {
  1: required i64 index;
  2: required i64 term;
  /** 0 = command, 1 = membership, 2 = no-op that opens a term. */
  3: required i32 kind;
  4: required binary payload;
  /** Group time when the entry was proposed, in seconds. */
  5: optional double group_time = 0;
}

/** Identity of a replica: a node that lost its disk returns under a new incarnation. */
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
  /** Set during a leadership hand-over: ignore the lease of the present leader. */
  6: required bool hand_over;
  /** Number of the candidate's round of questions; echoed in the reply to a pre-vote. */
  7: optional i64 round = 0;
  /** Start of the receiver as it told it; lifts the promise that a restart brings. */
  8: optional i64 voter_start = 0;
}

struct VoteReply {
  1: required i64 term;
  2: required ReplicaIdentity voter;
  3: required bool granted;
  4: required bool pre_vote;
  5: optional i64 round = 0;
  /** Number of this start of the voter, if nothing but its restart speaks against; else 0. */
  6: optional i64 start = 0;
}

struct AppendRequest {
  1: required i64 term;
  2: required ReplicaIdentity leader;
  3: required i64 previous_index;
  4: required i64 previous_term;
  5: required list<LogEntry> entries;
  6: required i64 commit_index;
  /** Leader's send time on its own clock, echoed in the reply (leader lease). */
  7: required double sent_at;
  /** Follower's time from its last reply, echoed (freshness of the follower's knowledge). */
  8: required double follower_sent_at;
  /** Whether the leader held its lease when sending. */
  9: required bool leader_lease_held;
}

struct AppendReply {
  1: required i64 term;
  2: required ReplicaIdentity follower;
  3: required bool success;
  /** Highest index known to match (success) or a hint where to go back to. */
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

/** Leadership hand-over: the receiver may stand for election at once. */
struct ElectNow {
  1: required i64 term;
  2: required ReplicaIdentity leader;
}

/** A blank or unknown replica announces itself to be taken in as a learner. */
struct JoinRequest {
  1: required ReplicaIdentity replica;
  2: required string address;
  3: required string zone;
}
