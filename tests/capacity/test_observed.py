"""The wrapper that counts and blocks messages."""

from collections.abc import Sequence

from merlinstand.common.ids import NodeId
from merlinstand.kernel.effects import AppendRecords, Effect, SendMessage
from merlinstand.kernel.events import Event, MessageReceived, Started
from merlinstand.protocol.generated.control.ttypes import ConfigurationPull
from merlinstand_lab.capacity.observed import ObservedReducer

PULL = ConfigurationPull("daemon-0", 0, 0.0)


class _View:
    revision = 0


class _Session:
    view = _View()

    def may_take_new_work(self, now: float) -> bool:
        return now < 10.0


class _Echo:
    """Answers each message to its sender and writes one record."""

    def __init__(self) -> None:
        self.session = _Session()
        self.received: list[str] = []

    def start(self, event: Started, now: float) -> Sequence[Effect]:
        return ()

    def reduce(self, event: Event, now: float) -> Sequence[Effect]:
        assert isinstance(event, MessageReceived)
        self.received.append(event.sender)
        self.session.view.revision += 1
        return (SendMessage(event.sender, PULL), AppendRecords((b"abc",), 1))


def test_traffic_records_and_revisions_are_counted() -> None:
    observed = ObservedReducer("daemon-0", _Echo())
    effects = observed.reduce(MessageReceived(NodeId("control-0"), PULL), 1.0)
    counts = observed.counts(1.0)
    assert len(effects) == 2
    assert counts.messages_received == counts.messages_sent == {"ConfigurationPull": 1}
    assert (counts.records, counts.record_bytes) == (1, 3)
    assert counts.takes_new_work
    assert not observed.counts(11.0).takes_new_work
    assert [seen.revision for seen in observed.take_seen()] == [counts.revision]
    assert observed.take_seen() == []


def test_messages_of_blocked_nodes_are_dropped_both_ways() -> None:
    echo = _Echo()
    observed = ObservedReducer("daemon-0", echo)
    observed.block(["control-1"])
    assert observed.reduce(MessageReceived(NodeId("control-1"), PULL), 1.0) == ()
    assert len(observed.reduce(MessageReceived(NodeId("control-0"), PULL), 1.0)) == 2
    assert echo.received == ["control-0"]
    observed.block([])
    assert len(observed.reduce(MessageReceived(NodeId("control-1"), PULL), 1.0)) == 2
