"""Batch jobs as gateways and keepers pass them to each other: jobs, items, results, calls."""
