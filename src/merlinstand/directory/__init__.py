"""The directory: routes, back ends, weight versions and daemons, agreed by the control group.

Control daemons replicate it (`daemon`); every other daemon follows it (`follower`).
"""
