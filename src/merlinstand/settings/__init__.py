"""Loading, validation and documentation of the deployment and configuration files.

- The deployment file lists the processes of a deployment: `deployment` defines its types, `checks`
  and `numbers` validate what types can't express, `daemons` derives each process's settings.
- The configuration file holds the objects that control replicates: `configuration_file`.
- `toml_file` reads both and rejects unknown keys (`unknown_keys`).
- `reference` generates docs/SETTINGS.md from the types and their docstrings.

The users' machines don't use these files; `platform/` reads their own settings.
"""
