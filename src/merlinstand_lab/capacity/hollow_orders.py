"""Weight orders of a hollow engine, answered as done at once."""

import msgspec

from merlinstand_lab.capacity.hollow_settings import HollowServerSettings


class HollowOrders:
    """Fenced orders answered as done at once, and the status they lead to."""

    def __init__(self, settings: HollowServerSettings) -> None:
        """Begin with the version of the settings active."""
        self._settings = settings
        self.active_version = settings.first_version
        self._active_digest = ""
        self._loaded: dict[int, str] = {}
        self._fence = {"epoch": 0, "sequence": 0}

    def order(self, body: bytes) -> bytes:
        """Carry an order out and answer that it is done."""
        order = msgspec.json.decode(body)
        self._fence = order["fence"]
        if order["kind"] == "load":
            self._loaded[order["version"]] = order["digest"]
        elif order["kind"] == "activate":
            self.active_version = order["version"]
            self._active_digest = order["digest"]
        return msgspec.json.encode({"fence": self._fence, "state": "done"})

    def status(self, running: int, now: float) -> bytes:
        """Return the load report."""
        return msgspec.json.encode(
            {
                "backend_id": self._settings.node_id,
                "state": "ready",
                "model": self._settings.model,
                "active_version": self.active_version,
                "active_digest": self._active_digest,
                "loaded": [
                    {"version": version, "digest": digest}
                    for version, digest in self._loaded.items()
                ],
                "loading": [],
                "order": {"fence": self._fence, "state": "done"},
                "running": running,
                "queued": 0,
                "queued_tokens": 0,
                "free_blocks": 1024,
                "total_blocks": 2048,
                "tokens_per_second": self._settings.tokens_per_second,
                "incarnation": 1,
                "reported_at": now,
            }
        )
