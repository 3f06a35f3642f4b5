"""Accounts of a run from the log lines of its processes: where a step's time and the bytes went."""
