"""Data types that all daemons share: routes, tenants, zones, regions and backends.

The directory replicates these values to every daemon; this package keeps no state of its own.
"""
