"""The command line: daemons, and the operators' client.

- `main` finds a command by its name and turns every error into one line and an exit code.
- A module a command: `*_commands`.
- Below them: `options` (what every operator command takes), `operator_client` (finds the leader),
  `object_client` (typed objects), `http_request` (one request), `answers` (control's JSON).
- Results and errors: `output`, `errors`, `advice`.

Modules are imported when a command runs: a daemon loads nothing of the client.
"""
