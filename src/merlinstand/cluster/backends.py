"""Back ends as they register themselves: what every daemon knows of a server."""

import msgspec

from merlinstand.common.ids import BackendId


class LoadedModel(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """A model that an engine holds, with its weight version."""

    name: str
    version: int


class Backend(msgspec.Struct, frozen=True, kw_only=True):
    """One incarnation of a server, as it registered itself."""

    backend_id: BackendId
    """New at every start of the server."""
    service: str
    address: str
    """`ip:port`."""
    zone: str = ""
    slots: int = 0
    """Requests that it works on at once."""
    is_draining: bool = msgspec.field(default=False, name="is_leaving")
    """Takes no new requests any more."""
    models: tuple[LoadedModel, ...] = ()
    is_cold: bool = False
    """Bears only some requests a second yet, as after a start."""

    def version_of(self, model: str) -> int:
        """The weight version it reported of a model; 0 if it doesn't hold it."""
        for held in self.models:
            if held.name == model:
                return held.version
        return 0
