"""Rules for sending, delaying, retrying and rejecting requests, streams, items and scoring calls.

The rules are pure: they take plain data and return typed decisions. The forwarders and the leading
keeper's item runner act on these and own all state about requests.
"""
