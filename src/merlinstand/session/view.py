"""The decoded configuration in effect at a daemon."""

from collections.abc import Iterable, Mapping
from types import MappingProxyType
from typing import Any

from merlinstand.common.decoding import DECODE_ERRORS
from merlinstand.configuration.objects import (
    Daemon,
    Drain,
    Job,
    Limits,
    Pool,
    Weights,
    decode_object,
)
from merlinstand.configuration.table import ConfigurationTable

_EMPTY: Mapping[str, Any] = MappingProxyType({})


class ConfigurationView:
    """An immutable view of the complete configuration at one revision.

    A change replaces the view. A daemon that reads several objects in one `reduce` must read all of
    them from the same view.
    """

    def __init__(self) -> None:
        """The view is empty and has revision 0."""
        self.revision: int = 0
        self.pools: Mapping[str, Pool] = _EMPTY
        self.jobs: Mapping[str, Job] = _EMPTY
        self.weights: Mapping[str, Weights] = _EMPTY
        """By model name."""
        self.drains: Mapping[str, Drain] = _EMPTY
        """By backend id."""
        self.limits: Mapping[str, Limits] = _EMPTY
        """By caller."""
        self.daemons: Mapping[str, Daemon] = _EMPTY
        """By node id."""
        self._revisions: Mapping[str, int] = _EMPTY

    def revision_of(self, key: str) -> int:
        """Return the revision that last changed a key, 0 if it does not exist."""
        return self._revisions.get(key, 0)

    def newest_version(self, model: str) -> int:
        """Return a model's newest published weight version, 0 if there is none."""
        weights = self.weights.get(model)
        return 0 if weights is None or not weights.versions else weights.versions[-1].version


_ATTRIBUTE_OF_KIND = {
    "pool": "pools",
    "job": "jobs",
    "weights": "weights",
    "drain": "drains",
    "limits": "limits",
    "daemon": "daemons",
}


def next_view(
    view: ConfigurationView, table: ConfigurationTable, changed_keys: Iterable[str]
) -> ConfigurationView:
    """Build the view of a table, decoding only the changed keys.

    An object that this release cannot decode (kind or field of a later release) is omitted from the
    view. The control group accepts such an object only if it runs a later release.

    Args:
        view: The view before the change.
        table: The table after the change.
        changed_keys: Keys put or deleted since `view`.
    """
    updated = ConfigurationView()
    updated.revision = table.revision
    vars(updated).update(
        (attribute, dict(getattr(view, attribute))) for attribute in _ATTRIBUTE_OF_KIND.values()
    )
    for key in changed_keys:
        _update_key(updated, table, key)
    for attribute in _ATTRIBUTE_OF_KIND.values():
        setattr(updated, attribute, MappingProxyType(getattr(updated, attribute)))
    updated._revisions = MappingProxyType(
        {key: entry.revision for key, entry in table.entries.items()}
    )
    return updated


def _update_key(view: ConfigurationView, table: ConfigurationTable, key: str) -> None:
    kind, _, name = key.partition("/")
    attribute = _ATTRIBUTE_OF_KIND.get(kind)
    if attribute is None:
        return
    values: dict[str, Any] = getattr(view, attribute)
    values.pop(name, None)
    entry = table.entries.get(key)
    if entry is None:
        return
    try:
        values[name] = decode_object(key, entry.payload)
    except DECODE_ERRORS:
        # The control group checks objects before it accepts them, so this object belongs to
        # another release. It is omitted, and the daemon continues with the other objects.
        return
