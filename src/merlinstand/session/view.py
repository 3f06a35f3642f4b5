"""The configuration in force at a daemon, typed."""

from collections.abc import Mapping
from types import MappingProxyType

from merlinstand.configuration.objects import Daemon, Drain, Job, Limits, Pool, Weights


class ConfigurationView:
    """One immutable, atomically replaced state of the whole configuration.

    A daemon that reads several objects in one `reduce` keeps the same view for all of them.
    """

    def __init__(self) -> None:
        """Make the empty view of revision 0."""
        self.revision: int = 0
        self.pools: Mapping[str, Pool] = MappingProxyType({})
        self.jobs: Mapping[str, Job] = MappingProxyType({})
        self.weights: Mapping[str, Weights] = MappingProxyType({})
        """By model name."""
        self.drains: Mapping[str, Drain] = MappingProxyType({})
        """By backend id."""
        self.limits: Mapping[str, Limits] = MappingProxyType({})
        """By caller."""
        self.daemons: Mapping[str, Daemon] = MappingProxyType({})
        """By node id."""

    def revision_of(self, key: str) -> int:
        """Return the revision that last changed a key, 0 if it does not exist."""
        raise NotImplementedError

    def newest_version(self, model: str) -> int:
        """Return a model's newest published weight version, 0 if there is none."""
        raise NotImplementedError
