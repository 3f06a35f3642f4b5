"""Evacuation of zones: nothing more is sent to their backends until operators end it.

- the control leader: `orders` validates operators' orders;
- each control replica: `replica` holds the evacuated zones;
- any other daemon: `follower` shows their backends as draining.
"""
