namespace py merlinstand.protocol.generated.control

/** Messages between daemons and the control group, and between daemons. */

/** First message on every connection. */
struct Hello {
  1: required string node_id;
  2: required i64 incarnation;
  /** Listening address of the sender, `ip:port`. */
  3: required string address;
}

/** Proposes a command; the reply is a CommandReply with the same command_id. */
struct CommandRequest {
  1: required string command_id;
  /** merlinstand.control.commands.AnyCommand in msgpack. */
  2: required binary command;
}

enum CommandStatus {
  APPLIED = 0,
  /** Rejected by the state machine; the outcome contains the error. Final. */
  REJECTED = 1,
  /** The receiver is not the leader; the command was certainly not proposed. */
  NOT_LEADER = 2,
  /** Overload or no quorum; the command was certainly not proposed. */
  BUSY = 3,
}

struct CommandReply {
  1: required string command_id;
  2: required CommandStatus status;
  /** Log index at which the command was applied. */
  3: required i64 revision;
  /** merlinstand.control.commands.AnyOutcome in msgpack (APPLIED or REJECTED). */
  4: required binary outcome;
  /** Node id of the known leader, or empty. */
  5: required string leader;
  6: required double retry_after_seconds;
}

/** Linearizable read of non-configuration state (ledger, claims, leases). */
struct QueryRequest {
  1: required string query_id;
  /** merlinstand.control.queries.AnyQuery in msgpack. */
  2: required binary query;
}

struct QueryReply {
  1: required string query_id;
  2: required CommandStatus status;
  /** merlinstand.control.queries.AnyAnswer in msgpack. */
  3: required binary answer;
  4: required string leader;
}

/** Requests all changes after `have_revision`. */
struct ConfigurationPull {
  1: required string node_id;
  2: required i64 have_revision;
  /** Sender's clock, returned in the reply. */
  3: required double sent_at;
}

struct ConfigurationEntry {
  1: required string key;
  2: required i64 revision;
  3: required bool deleted;
  4: required binary payload;
}

struct ConfigurationUpdate {
  /** The update contains all changes after this revision; 0 = full state. */
  1: required i64 from_revision;
  2: required i64 to_revision;
  3: required list<ConfigurationEntry> entries;
  /** sent_at of the pull. */
  4: required double sent_at;
  /** Seconds since to_revision was proved to be the newest, at sending. Negative: no proof. */
  5: required double proof_age_seconds;
  /** Full state rather than a delta: keys not listed are deleted. */
  6: required bool full;
}
