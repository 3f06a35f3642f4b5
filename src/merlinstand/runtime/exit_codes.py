"""Exit codes that the host sets when the process does not end by its reducer's `StopProcess`."""

EXIT_SETUP_FAILED = 3
"""An address, the data folder or a TLS file can't be used; not a standard exit code."""
EXIT_REDUCER_FAILED = 70
"""The reducer or an effect raised an exception: `EX_SOFTWARE` of BSD's `sysexits.h`."""
EXIT_DISK_FAILED = 74
"""A disk write or sync failed: `EX_IOERR` of BSD's `sysexits.h`."""
EXIT_FORCED = 130
"""SIGINT ended a stopping process immediately: 128 plus its number, as shells report it."""

FAULT_EXIT_CODES = frozenset((EXIT_REDUCER_FAILED, EXIT_DISK_FAILED))
"""After these the process state can't be trusted, so there is no graceful shutdown."""
