"""Fixed load reports for tests of forwarding."""

from merlinstand.common.ids import BackendId
from merlinstand.server_load.follower import LastKnownLoad, LoadFollower
from merlinstand.server_load.reports import FlowLimit, ServerShare, ServiceLoad


class FixedLoad(LoadFollower):
    """A load follower with fixed values, which logs what it is notified of."""

    def __init__(
        self, load: ServiceLoad | None = None, gateways: int = 0, last: LastKnownLoad | None = None
    ) -> None:
        super().__init__()
        self.load = load
        self.last = last
        self.known_gateway_count = gateways
        self.records: list[str] = []

    def record_arrival(self, service: str, rank: int, tenant: str) -> None:
        self.records.append(f"asked {service} {rank} {tenant}")

    def record_attempt_start(self, backend_id: BackendId, now: float) -> None:
        self.records.append(f"begun {backend_id}")

    def record_attempt_end(self, backend_id: BackendId, has_response: bool, now: float) -> None:
        self.records.append(f"{'responded' if has_response else 'inconclusive'} {backend_id}")

    def record_refusal(self, backend_id: BackendId, now: float) -> None:
        self.records.append(f"refused {backend_id}")

    def service_load(self, service: str, now: float) -> ServiceLoad | None:
        return self.load if self.load is not None and self.load.service == service else None

    def last_service_load(self, service: str, now: float) -> LastKnownLoad | None:
        return self.last

    def gateway_count(self, now: float) -> int:
        return self.known_gateway_count


def busy_service_load(
    service: str, demand: float, shares: dict[str, float], *limits: FlowLimit
) -> ServiceLoad:
    """Return the published load of a busy service, with a share for each backend."""
    servers = (ServerShare(BackendId(name), share, 0.031) for name, share in shares.items())
    return ServiceLoad(service, demand, tuple(servers), limits)
