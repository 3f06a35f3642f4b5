"""The control group: replicated configuration, leases, claims and the batch ledger."""
