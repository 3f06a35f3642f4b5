"""Durable state of one process: journal, snapshot and storage incarnation.

`journal_format`, `journal_format_v1` and `snapshot_format` are pure; `store` does the
file operations.
"""
