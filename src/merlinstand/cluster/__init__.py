"""Plain data that all roles of the users' machines share: routes, tenants, places, back ends.

Nothing here holds state; the directory replicates these values and every daemon follows them.
"""
