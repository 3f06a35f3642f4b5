"""How a process ends that did not end as its reducer chose.

A reducer chooses the exit code by `StopProcess`; these are the host's own.
"""

EXIT_SETUP_FAILED = 3
"""An address, the data folder or a TLS file can't be used. A number of our own."""
EXIT_REDUCER_FAILED = 70
"""A decision or the performing of an effect raised: `EX_SOFTWARE` of BSD's `sysexits.h`."""
EXIT_DISK_FAILED = 74
"""A write or sync failed: `EX_IOERR` of BSD's `sysexits.h`."""
EXIT_FORCED = 130
"""A second signal ended the process at once: 128 and SIGINT's number, as shells tell it."""

FAULT_EXIT_CODES = frozenset((EXIT_REDUCER_FAILED, EXIT_DISK_FAILED))
"""After these nothing of the process can be trusted enough to finish."""
