"""Operators' orders about zones, and the log commands that carry them out."""

import msgspec


class EvacuationPost(msgspec.Struct, frozen=True):
    """An operator's order to send no new requests to the backends of a zone."""

    zone: str


class EvacuationDelete(msgspec.Struct, frozen=True):
    """An operator's order to use the backends of a zone again."""

    zone: str


class EvacuateZone(msgspec.Struct, frozen=True, tag="evacuate_zone"):
    """Stops sending new requests to the backends of a zone."""

    zone: str


class EndEvacuation(msgspec.Struct, frozen=True, tag="take_back_zone"):
    """Permits sending requests to the backends of a zone again."""

    zone: str
