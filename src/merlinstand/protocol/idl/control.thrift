namespace py merlinstand.protocol.generated.control

/** Messages between daemons and the control group, and between daemons. */

/** First message on every connection. */
struct Hello {
  1: required string node_id;
  2: required i64 incarnation;
  /** Where the sender listens, `ip:port`. */
  3: required string address;
}

/** Propose a command; answered by CommandReply with the same command_id. */
struct CommandRequest {
  1: required string command_id;
  /** msgpack of merlinstand.control.commands.Command. */
  2: required binary command;
}

enum CommandStatus {
  APPLIED = 0,
  /** Refused by the state machine; error is set. Final. */
  REJECTED = 1,
  /** The receiver is not the leader; certainly not proposed. */
  NOT_LEADER = 2,
  /** Overloaded or no quorum; certainly not proposed. */
  BUSY = 3,
}

struct CommandReply {
  1: required string command_id;
  2: required CommandStatus status;
  /** Log position at which the command was applied. */
  3: required i64 revision;
  /** msgpack of merlinstand.control.commands.Outcome (APPLIED or REJECTED). */
  4: required binary outcome;
  /** Known leader, or empty. */
  5: required string leader;
  6: required double retry_after_seconds;
}

/** Linearizable read of non-configuration state (ledger, claims, leases). */
struct QueryRequest {
  1: required string query_id;
  /** msgpack of merlinstand.control.queries.Query. */
  2: required binary query;
}

struct QueryReply {
  1: required string query_id;
  2: required CommandStatus status;
  /** msgpack of merlinstand.control.queries.Answer. */
  3: required binary answer;
  4: required string leader;
}

/** Ask for everything that changed after `have_revision`. */
struct ConfigurationPull {
  1: required string node_id;
  2: required i64 have_revision;
  /** Sender's clock, echoed in the reply. */
  3: required double sent_at;
}

struct ConfigurationEntry {
  1: required string key;
  2: required i64 revision;
  3: required bool deleted;
  4: required binary payload;
}

struct ConfigurationUpdate {
  /** Changes are complete from this revision (exclusive); 0 = full state. */
  1: required i64 from_revision;
  2: required i64 to_revision;
  3: required list<ConfigurationEntry> entries;
  /** Echo of the pull. */
  4: required double sent_at;
  /** Seconds, before this reply was sent, at which to_revision was proved newest. Negative: no proof. */
  5: required double proof_age_seconds;
  /** Full state rather than a delta: keys not listed are deleted. */
  6: required bool full;
}
