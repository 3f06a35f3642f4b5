"""Counts the started requests of each tenant, by time window.

- gateways: `usage` counts and reports;
- each control replica: `ledger` holds the counts until a window is closed;
- the control leader: `windows` decides when to close a window, after which its counts no longer
  change; `leader` reports each closed window to the platform, once;
- `true_time`: the median of all daemons' clocks ("true time"), which defines the windows.
"""
