"""Operators' policy programs in CEL (Common Expression Language): validation and execution.

`check` validates a program, `program` runs it, `records` defines the variables that it can read,
and `recorded` reads samples to test it on. docs/POLICIES.md describes the language and its limits.
"""
