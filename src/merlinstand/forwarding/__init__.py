"""Forwards whole requests to registered back ends, with retries, hedges and deadlines.

`forwarder` is used by the gateway for callers' requests and by the batch keeper for
scoring calls; `daemon` is the gateway's reducer.
"""
