"""Detection and quarantine of requests that crash backends.

- any daemon: `crash_watch` detects crashed backends, `follower` stores and reports the daemon's
  observations and is queried before each send, `attempt_reports` reports attempts before their
  outcome is known; `request_digest` identifies a request across all of its attempts;
- each control replica: `replica` holds the crashes and, using `blame` and `rules`, the status of
  each suspected request;
- the control leader: `leader` processes reports and permits trials;
- `messages` and `commands` define what daemons exchange and what goes into the directory's log.
"""
