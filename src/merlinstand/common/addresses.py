"""Where processes listen."""

import msgspec


class NodeAddress(msgspec.Struct, frozen=True):
    """One process of the internal protocol."""

    node_id: str
    address: str
    """Internal protocol address, `ip:port`."""
