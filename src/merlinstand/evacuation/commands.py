"""Operators' orders about zones, and the commands of the directory's log that carry them out."""

import msgspec


class EvacuationPost(msgspec.Struct, frozen=True):
    """An operator wants nothing more sent to the servers of a zone."""

    zone: str


class EvacuationDelete(msgspec.Struct, frozen=True):
    """An operator wants the servers of a zone used again."""

    zone: str


class EvacuateZone(msgspec.Struct, frozen=True, tag="evacuate_zone"):
    """An operator wants nothing more sent to the servers of a zone."""

    zone: str


class EndEvacuation(msgspec.Struct, frozen=True, tag="take_back_zone"):
    """An operator wants the servers of a zone used again."""

    zone: str
