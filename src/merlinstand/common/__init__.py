"""Typed identifiers, statuses, errors and constants shared by every role."""
