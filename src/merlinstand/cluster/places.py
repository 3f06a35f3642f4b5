"""Where things stand: the zones of a deployment and their regions, from the settings."""

from collections.abc import Collection

import msgspec


class ZoneMap(msgspec.Struct, frozen=True):
    """All zones; empty where the settings name none."""

    region_by_zone: dict[str, str] = {}

    def has_zone(self, zone: str) -> bool:
        """Whether the deployment has a zone of this name."""
        return zone in self.region_by_zone

    def region_of(self, zone: str) -> str:
        """The region of a zone; empty for a zone that the settings don't name."""
        return self.region_by_zone.get(zone, "")

    def is_in_regions(self, zone: str, regions: Collection[str]) -> bool:
        """Whether a zone lies in one of some regions; no regions at all means anywhere."""
        return not regions or self.region_of(zone) in regions
