"""The laboratory: stand-ins, launcher, records, checkers, simulator, experiments, capacity."""
