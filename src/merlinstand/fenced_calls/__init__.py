"""Calls to the platform that one holder at a time may make: turns, fences, retries.

`turns` is replicated and tells a new holder how long to wait; `caller` makes the calls.
"""
