"""Zones that operators evacuate: nothing more is sent to their servers until they are taken back.

- the control leader: `orders` judges an operator's order;
- each control replica: `replica` holds the evacuated zones;
- any other daemon: `follower` shows their servers as leaving ones.
"""
