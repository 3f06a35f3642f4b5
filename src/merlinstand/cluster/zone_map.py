"""The zones of a deployment and the regions in which they lie, from the settings."""

from collections.abc import Collection

import msgspec


class ZoneMap(msgspec.Struct, frozen=True):
    """Region of each zone; empty if no zones are configured."""

    region_by_zone: dict[str, str] = {}

    def has_zone(self, zone: str) -> bool:
        """Return whether a zone is configured."""
        return zone in self.region_by_zone

    def region_of(self, zone: str) -> str:
        """Return the region of a zone; empty for a zone that is not configured."""
        return self.region_by_zone.get(zone, "")

    def is_in_regions(self, zone: str, regions: Collection[str]) -> bool:
        """Return whether a zone lies in one of the regions; always true if `regions` is empty."""
        return not regions or self.region_of(zone) in regions
