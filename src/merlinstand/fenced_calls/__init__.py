"""Calls to the platform that one holder at a time may make: turns, fences, retries.

- every replica: `turns` holds who acted last, `commands` the entry of the log that says so;
- the leader: `caller` makes the calls, which `interface` translates.
"""
