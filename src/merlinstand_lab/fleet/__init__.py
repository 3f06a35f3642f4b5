"""Starts a whole fleet as separate processes on loopback (laboratory only)."""
