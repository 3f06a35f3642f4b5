"""Evacuation of zones: no new requests are sent to a zone's backends until operators end it.

- the control leader: `orders` validates operators' orders to evacuate a zone or to end that;
- each control replica: `replica` holds the evacuated zones;
- any other daemon: `follower` shows the backends of evacuated zones as draining.
"""
