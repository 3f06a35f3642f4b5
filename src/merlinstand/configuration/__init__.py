"""The replicated configuration: typed objects by key, of which every daemon keeps a copy.

Keys are `kind/name`. Every object has a revision: the log position that last changed it. Control
replicates the objects, and sessions distribute them to the daemons.
"""
