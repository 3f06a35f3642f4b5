"""The gateway: forwards requests of callers to backends and returns the responses.

`daemon.GatewayDaemon` is the reducer; the other modules are its sub-reducers, one concern each.
"""
