"""Every exchange inside a gateway, found by its number, by the host's name or by its call.

A call that ended leaves the table at once, so that its later events find nobody.
"""

from merlinstand.common.ids import CallId, RequestId
from merlinstand.gateway.exchange import Exchange, SecondaryCall


class ExchangeTable:
    """All exchanges, by number, by the host's name and by call."""

    def __init__(self) -> None:
        """Make an empty table."""
        self.by_number: dict[int, Exchange] = {}
        self.by_endpoint: dict[RequestId, Exchange] = {}
        self.by_call: dict[CallId, Exchange] = {}

    def __len__(self) -> int:
        """Return the number of exchanges."""
        return len(self.by_number)

    def add(self, exchange: Exchange) -> None:
        """Take an exchange in."""
        self.by_number[exchange.number] = exchange
        self.by_endpoint[exchange.endpoint_id] = exchange

    def remove(self, exchange: Exchange) -> None:
        """Forget an exchange."""
        self.by_number.pop(exchange.number, None)
        self.by_endpoint.pop(exchange.endpoint_id, None)
        self.remove_call(exchange)

    def add_call(self, exchange: Exchange, call_id: CallId) -> None:
        """Remember whose call it is."""
        exchange.call_id = call_id
        self.by_call[call_id] = exchange

    def remove_secondary_call(self, secondary_call: SecondaryCall) -> None:
        """Forget a secondary_call call."""
        self.by_call.pop(secondary_call.call_id, None)

    def remove_call(self, exchange: Exchange) -> None:
        """Forget the call of an exchange; later events of it find nobody."""
        if exchange.call_id is not None:
            self.by_call.pop(exchange.call_id, None)
            exchange.call_id = None
