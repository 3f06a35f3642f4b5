"""Load balancing: pure rules for choosing a backend, shared by gateways and coordinators.

`router.PoolRouter` combines the rules; each other module holds one of them.
"""
