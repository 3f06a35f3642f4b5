"""The interface between decision logic and I/O: a reducer receives events and returns effects.

Every process, whether a daemon or a stand-in for an external system, is one `Reducer`. The gevent
runtime and the simulator run the same reducers.
"""
