namespace py merlinstand.protocol.generated.directory

/** Messages between the control group, which replicates the directory, and all other daemons. */

/** A daemon reports its status and requests newer sections from any control daemon. */
struct DirectoryPull {
  /** merlinstand.cluster.daemons.DaemonReport in msgpack. */
  1: required binary report;
  /** Revision of each section that the sender has; -1 for none. */
  2: required i64 document_revision;
  3: required i64 backends_revision;
  4: required i64 weights_revision;
  /** Opaque version of the newest list of batch keepers that the sender has. */
  5: required string keepers_mark;
  /** merlinstand.metering.usage.UsageReport in msgpack, if there is new usage. */
  6: optional binary usage;
  /** Revision of the evacuated zones that the sender has; unset if it does not support them. */
  7: optional i64 zones_revision;
  /** merlinstand.cold_servers.grants.GrantRequests in msgpack: requests that it wants to send to cold backends. */
  8: optional binary cold_wishes;
  /** Revision of the suspects that the sender has; unset if it does not support them. */
  9: optional i64 suspects_revision;
  /** merlinstand.quarantine.messages.SuspectReport in msgpack: crashed backends, and the requests that they were processing. */
  10: optional binary suspect_news;
  /** merlinstand.server_load.reports.GatewayLoad in msgpack: load of backends and request flows that a gateway observed, and whether it is near its limits. */
  11: optional binary server_load;
}

/** A control replica forwards the heartbeats that it received to the leader. */
struct BackendBeats {
  /** merlinstand.directory.heartbeat_intake.HeartbeatBatch in msgpack. */
  1: required binary batch;
}

/** Reply to a pull: newer sections from the leader; from a follower only the address of the leader. */
struct DirectoryUpdate {
  1: required bool from_leader;
  2: required string leader;
  3: required string leader_address;
  /** merlinstand.directory.view.DirectoryChanges in msgpack; empty from a follower. */
  4: required binary changes;
  5: required i64 term;
  /** Time in seconds since 1970 at sending, as agreed by the group. */
  6: optional double true_seconds;
  /** Newest usage report of the receiver that is committed; 0 for none. */
  7: optional i64 usage_mark;
  /** merlinstand.cold_servers.grants.ColdGrants in msgpack: requests that the receiver may send to cold backends. */
  8: optional binary cold_grants;
  /** Number of the receiver's newest suspect report that is committed. */
  9: optional i64 suspects_mark;
  /** merlinstand.server_load.reports.LoadSummary in msgpack, while a service is busy or a gateway is near its limits. */
  10: optional binary load_summary;
}
