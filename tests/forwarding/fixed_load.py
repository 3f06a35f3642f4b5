"""Fixed load reports for tests of forwarding."""

from merlinstand.common.ids import BackendId
from merlinstand.server_load.follower import LoadFollower, StaleLoad
from merlinstand.server_load.reports import FlowLimit, ServerShare, ServiceLoad


class FixedLoad(LoadFollower):
    """A load follower with fixed answers, which logs what it is notified of."""

    def __init__(
        self, load: ServiceLoad | None = None, gateways: int = 0, last: StaleLoad | None = None
    ) -> None:
        super().__init__()
        self.load = load
        self.last = last
        self.gateway_count = gateways
        self.records: list[str] = []

    def note_asked(self, service: str, rank: int, tenant: str) -> None:
        self.records.append(f"asked {service} {rank} {tenant}")

    def note_begun(self, backend_id: BackendId, now: float) -> None:
        self.records.append(f"begun {backend_id}")

    def note_ended(self, backend_id: BackendId, was_answered: bool, now: float) -> None:
        self.records.append(f"{'answered' if was_answered else 'broken'} {backend_id}")

    def note_turned_away(self, backend_id: BackendId, now: float) -> None:
        self.records.append(f"turned away {backend_id}")

    def service_load(self, service: str, now: float) -> ServiceLoad | None:
        return self.load if self.load is not None and self.load.service == service else None

    def last_service_load(self, service: str, now: float) -> StaleLoad | None:
        return self.last

    def gateways(self, now: float) -> int:
        return self.gateway_count


def busy_service_load(
    service: str, demand: float, shares: dict[str, float], *limits: FlowLimit
) -> ServiceLoad:
    """Return the published load of a busy service, with a share for each backend."""
    servers = (ServerShare(BackendId(name), share, 0.031) for name, share in shares.items())
    return ServiceLoad(service, demand, tuple(servers), limits)
