"""Registration data of backends, as known to every daemon."""

import msgspec

from merlinstand.common.ids import BackendId


class LoadedModel(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """A model that an engine has loaded, with its weight version."""

    name: str
    version: int


class Backend(msgspec.Struct, frozen=True, kw_only=True):
    """One incarnation of a backend, as registered by its heartbeats."""

    backend_id: BackendId
    """Changes at every start of the backend."""
    service: str
    address: str
    """`ip:port`."""
    zone: str = ""
    slots: int = 0
    """Number of requests that the backend processes concurrently."""
    is_draining: bool = msgspec.field(default=False, name="is_leaving")
    """Whether the backend accepts no new requests."""
    models: tuple[LoadedModel, ...] = ()
    is_cold: bool = False
    """Whether the backend is limited to a low request rate for now, for example after its start."""

    def version_of(self, model: str) -> int:
        """Return the weight version reported for a model; 0 if the model is not loaded."""
        for loaded in self.models:
            if loaded.name == model:
                return loaded.version
        return 0
