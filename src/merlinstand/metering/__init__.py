"""Counts the started requests of each tenant, by windows of true time.

- gateways: `usage` counts and reports;
- each control replica: `ledger` holds the counts until a window is closed;
- the control leader: `windows` decides when to close a window, `leader` reports a closed window to
  the platform, once;
- `true_time`: the median of all daemons' clocks, which defines the windows.
"""
