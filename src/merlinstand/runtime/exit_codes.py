"""How a process ends that did not end as its reducer chose."""

EXIT_SETUP_FAILED = 3
EXIT_REDUCER_FAILED = 70
EXIT_DISK_FAILED = 74
EXIT_FORCED = 130

FAULTS = frozenset((EXIT_REDUCER_FAILED, EXIT_DISK_FAILED))
"""After these nothing of the process can be trusted enough to finish."""
