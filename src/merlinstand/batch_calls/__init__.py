"""Messages between gateways and batch keepers: jobs, items, results, calls and replies."""
