"""Fenced calls to the platform, made by one lease holder at a time and with a fencing token.

- every replica: `call_intents` holds the last call intent for each subject (what the calls are
  about), `commands` defines the log entry of an intent;
- the leader: `caller` makes the calls, which a `PlatformInterface` encodes.
"""
