"""The gevent host: performs a reducer's effects on real sockets, disks and clocks.

`process` runs a daemon, `host` its reducer: events queue up, one is reduced at a time, and
`performer` hands each effect to the part that performs it. `host_settings` says what a host needs.

- Callers' endpoint: `http_server` reads requests (`http_headers`, `http_input`),
  `http_endpoint` makes them events, `http_exchange` carries the response back,
  `end_watcher` notices who left; `early_listeners` takes connections before all this is loaded.
- Calls: `http_client` runs them over connections of `http_connection`.
- Internal protocol: `transport` receives, `transport_peer` sends, `frames` cuts.
- Both kinds of connection: `dialing`, `addresses`, `tls`, `watchdog`, `traffic`.
- Durable state: `disk` is the interface, `store_disk` performs it in a `storage` folder.
- Time: `timers`, and `suspension` where the machine stood still.
- Logs: `logs` makes the lines, `log_writer` writes them.
- The rest: `metrics`, `record_writer`, `profile`, `errors`, `exit_codes`.
- `lean_start` leaves parts of the libraries unloaded that no daemon uses, by `lazy_modules`.

Nothing here may block the loop, and no connection may keep it to itself: whoever reads bytes
that are already there lets the loop turn now and then.
"""
