"""Operators' policy programs in CEL: acceptance check and execution.

`check` accepts a program, `program` runs it, `records` are the variables that it sees, `recorded`
reads samples to try it on. The language and its bounds are on docs/POLICIES.md. CEL is Google's
Common Expression Language.
"""
