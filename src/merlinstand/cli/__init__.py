"""The command line: starts the daemons, and provides the operators' client.

- `main` looks up commands by name and reports every error as one line and an exit code.
- `*_commands` define the commands, one module per command group.
- `options` (shared options), `operator_client` (leader discovery and retries), `object_client`
  (typed objects), `http_request` (one request) and `answers` (response bodies) support them.
- `output`, `errors` and `advice` report results and errors.

A command's modules are imported when it runs, so that daemons do not load the client.
"""
