"""The part of a gateway's HTTP interface that differs between platforms."""

from collections.abc import Mapping
from typing import Protocol

import msgspec
from result import Result

from merlinstand.batch_calls.calls import BatchCall, BatchReply
from merlinstand.cluster.routes import Route
from merlinstand.common.errors import MerlinstandError
from merlinstand.directory.requests import HttpReply
from merlinstand.kernel.events import RequestReceived
from merlinstand.server_load.reports import ReportedLoad


class BatchFailure(msgspec.Struct, frozen=True):
    """A batch call to which no keeper replied."""

    may_have_run: bool
    retry_after_seconds: float


class GatewayInterface(Protocol):
    """Stateless translation between HTTP and batch calls."""

    def read_batch_call(
        self, event: RequestReceived, route: Route | None, tenant: str
    ) -> Result[BatchCall | None, MerlinstandError]:
        """Parse a tenant's batch call; None if the request is not a batch call."""
        ...

    def write_batch_reply(self, reply: BatchReply | BatchFailure) -> HttpReply:
        """Return the HTTP response for a keeper's reply."""
        ...

    def read_server_load(self, headers: Mapping[str, str]) -> ReportedLoad | None:
        """Parse the load that a backend reported in its response headers (names in lower case).

        Returns:
            None if nothing was reported, or the values are invalid.
        """
        ...
