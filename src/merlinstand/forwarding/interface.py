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
    """A batch call that no keeper answered."""

    may_have_run: bool
    retry_after_seconds: float


class GatewayInterface(Protocol):
    """Pure translation; it keeps no state."""

    def is_readiness_check(self, event: RequestReceived) -> bool:
        """Whether a request asks if this gateway wants connections."""
        ...

    def read_batch_call(
        self, event: RequestReceived, route: Route | None, tenant: str
    ) -> Result[BatchCall | None, MerlinstandError]:
        """Understand a batch call of a tenant; None if the request is none."""
        ...

    def write_batch_reply(self, reply: BatchReply | BatchFailure) -> HttpReply:
        """Give the response for a keeper's reply."""
        ...

    def read_server_load(self, headers: Mapping[str, str]) -> ReportedLoad | None:
        """Read what a server says of its load with an answer; names in lower case.

        Returns:
            None if it says nothing, or anything that can't be so.
        """
        ...
