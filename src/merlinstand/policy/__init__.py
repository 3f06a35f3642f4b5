"""Operators' policy programs in CEL: acceptance check and execution."""
