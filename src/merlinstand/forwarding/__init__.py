"""Forwards requests to registered backends, with retries, hedging and deadlines.

The gateway uses `forwarder` for callers' requests and the leading keeper uses it for scoring calls
of batch jobs; `daemon` is the gateway's reducer.
"""
