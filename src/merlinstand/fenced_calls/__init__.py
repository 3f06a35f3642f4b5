"""Fenced calls to the platform, made by one holder of a lease at a time.

- every replica: `call_intents` holds the last call intent for each subject, `commands` defines its
  log entry;
- the leader: `caller` makes the calls, which a `PlatformInterface` encodes.
"""
