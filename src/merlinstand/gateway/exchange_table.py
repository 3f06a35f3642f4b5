"""Index of the unfinished exchanges of a gateway by number, endpoint id and call id.

A finished call is removed at once, so that its late events find no exchange.
"""

from merlinstand.common.ids import CallId, RequestId
from merlinstand.gateway.exchange import Exchange, SecondaryCall


class ExchangeTable:
    """Unfinished exchanges by number, by the host's request id and by call id."""

    def __init__(self) -> None:
        """Create a table; the secondary call of a hedged lookup is in `by_call` too."""
        self.by_number: dict[int, Exchange] = {}
        self.by_endpoint: dict[RequestId, Exchange] = {}
        self.by_call: dict[CallId, Exchange] = {}

    def __len__(self) -> int:
        """Return the number of exchanges."""
        return len(self.by_number)

    def add(self, exchange: Exchange) -> None:
        """Add an exchange; its calls are added by `add_call`."""
        self.by_number[exchange.number] = exchange
        self.by_endpoint[exchange.endpoint_id] = exchange

    def remove(self, exchange: Exchange) -> None:
        """Remove an exchange and its primary call."""
        self.by_number.pop(exchange.number, None)
        self.by_endpoint.pop(exchange.endpoint_id, None)
        self.remove_call(exchange)

    def add_call(self, exchange: Exchange, call_id: CallId) -> None:
        """Set the primary call of an exchange."""
        exchange.call_id = call_id
        self.by_call[call_id] = exchange

    def remove_secondary_call(self, secondary_call: SecondaryCall) -> None:
        """Remove the secondary call of an exchange."""
        self.by_call.pop(secondary_call.call_id, None)

    def remove_call(self, exchange: Exchange) -> None:
        """Remove the primary call of an exchange."""
        if exchange.call_id is not None:
            self.by_call.pop(exchange.call_id, None)
            exchange.call_id = None
