"""The gevent host, which performs a reducer's effects on real sockets, disks and clocks.

`process` runs a daemon and `host` its reducer. Events are queued and reduced one at a time, and
`performer` dispatches each effect. `host_settings` holds the configuration of a host.

- HTTP endpoint: `http_server` reads requests (`http_headers`, `http_input`), `http_endpoint` turns
  them into events, `http_exchange` carries the response back, `end_watcher` detects disconnected
  clients, and `early_listeners` accepts connections before the rest is loaded.
- Outbound calls: `http_client` runs them over connections of `http_connection`.
- Internal protocol: `transport` receives, `transport_peer` sends, `frames` splits the byte stream.
- Shared by both: `dialing`, `addresses`, `tls`, `watchdog`, `traffic`.
- Buffer memory: `kept_bytes` limits it, and `load_watch` reports the load to the reducer.
- Durable state: `disk` is the interface, `store_disk` implements it on a `storage` folder.
- Time: `timers`, and `suspension` for suspended machines.
- Logs: `logs` formats the lines, `log_writer` writes them.
- Other: `metrics`, `record_writer`, `request_bounds`, `profile`, `errors`, `exit_codes`.
- `lean_start` uses `lazy_modules` to skip the parts of libraries that no daemon uses.

Nothing here may block the event loop, and no connection may monopolize it: code that reads bytes
which are already available must yield to the loop regularly.
"""
