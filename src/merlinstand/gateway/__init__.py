"""The gateway: callers' requests from the endpoint to a back end and back.

`daemon.GatewayDaemon` is the reducer; the other modules are its sub-reducers, one concern each.
"""
