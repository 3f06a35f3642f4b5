"""The laboratory: stand-ins, launcher, records, checkers, simulator, capacity."""
