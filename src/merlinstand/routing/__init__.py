"""Choice of a back end: pure rules shared by gateways and coordinators.

`router.PoolRouter` joins them; the other modules hold one rule each.
"""
