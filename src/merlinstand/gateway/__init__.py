"""The gateway: forwards requests of callers to backends and returns the responses.

`daemon.GatewayDaemon` is the reducer, which turns events into effects; the other modules are its
parts, one concern each.
"""
