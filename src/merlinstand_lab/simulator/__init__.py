"""Deterministic simulation: any reducers on a virtual clock with modelled faults."""
