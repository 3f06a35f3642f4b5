"""Load that tests of forwarding are about: what a gateway is told of a service, and who sends."""

from merlinstand.common.ids import BackendId
from merlinstand.server_load.follower import LastKnownLoad, LoadFollower
from merlinstand.server_load.reports import FlowLimit, ServerShare, ServiceLoad


class ToldLoad(LoadFollower):
    """A follower that knows what a test tells it, and keeps what it is told."""

    def __init__(
        self, load: ServiceLoad | None = None, gateways: int = 0, last: LastKnownLoad | None = None
    ) -> None:
        super().__init__()
        self.load = load
        self.last = last
        self.known_gateways = gateways
        self.noted: list[str] = []

    def record_arrival(self, service: str, rank: int, tenant: str) -> None:
        self.noted.append(f"asked {service} {rank} {tenant}")

    def record_attempt_start(self, backend_id: BackendId, now: float) -> None:
        self.noted.append(f"begun {backend_id}")

    def record_attempt_end(self, backend_id: BackendId, has_response: bool, now: float) -> None:
        self.noted.append(f"{'answered' if has_response else 'broken'} {backend_id}")

    def record_refusal(self, backend_id: BackendId, now: float) -> None:
        self.noted.append(f"turned away {backend_id}")

    def service_load(self, service: str, now: float) -> ServiceLoad | None:
        return self.load if self.load is not None and self.load.service == service else None

    def last_service_load(self, service: str, now: float) -> LastKnownLoad | None:
        return self.last

    def gateway_count(self, now: float) -> int:
        return self.known_gateways


def load_of(
    service: str, demand: float, shares: dict[str, float], *limits: FlowLimit
) -> ServiceLoad:
    """Give what is published of a busy service."""
    servers = (ServerShare(BackendId(name), share, 0.031) for name, share in shares.items())
    return ServiceLoad(service, demand, tuple(servers), limits)
