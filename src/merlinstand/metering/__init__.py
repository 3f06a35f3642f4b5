"""How many requests of each tenant began to run, by windows of true time.

- gateways: `usage` counts and reports;
- each control replica: `ledger` holds the counts until a window is fixed;
- the control leader: `windows` decides when, `leader` reports a fixed window to the platform, once;
- `true_time`: the median of all daemons' clocks, by which windows are counted.
"""
