"""The deployment and configuration files: typed, checked, documented.

- The deployment file says which processes there are: `deployment` has its types, `checks` and
  `numbers` what types can't say, `daemons` makes each process's settings of it.
- The configuration file holds objects that control replicates: `configuration_file`.
- Both are read by `toml_file`, which refuses unknown keys (`unknown_keys`).
- docs/SETTINGS.md is made by `reference` from the types and their docstrings.

The users' machines don't use these files: `platform/` reads theirs.
"""
