"""The replicated configuration: keyed, typed objects that every daemon follows.

Keys are `kind/name`; every object carries the log position (revision) that last
changed it. Control replicates them, sessions spread them.
"""
