"""Stand-ins for everything outside merlinstand: engines, services, store, trainers, callers.

Each is a `Reducer`, so that one model serves the real processes and the simulator.
"""
