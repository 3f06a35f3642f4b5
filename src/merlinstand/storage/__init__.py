"""Durable state of one process: journal, snapshot and storage incarnation.

`store` does the file operations, with the helpers in `folder`; the format modules are pure.
"""
