"""The contract between decisions and the outside world: events in, effects out.

Every process, whether a daemon or a laboratory stand-in, is one `Reducer`. The gevent
runtime and the simulator host the very same reducers.
"""
