"""The wrapper that counts records and notes a session's state."""

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

    def start(self, event: Started, now: float) -> Sequence[Effect]:
        return ()

    def reduce(self, event: Event, now: float) -> Sequence[Effect]:
        assert isinstance(event, MessageReceived)
        self.session.view.revision += 1
        return (SendMessage(event.sender, PULL), AppendRecords((b"abc",), 1))


def test_records_and_revisions_are_counted() -> None:
    observed = ObservedReducer(_Echo())
    effects = observed.reduce(MessageReceived(NodeId("control-0"), PULL), 1.0)
    counts = observed.counts(1.0)
    assert len(effects) == 2
    assert (counts.records, counts.record_bytes) == (1, 3)
    assert counts.revision == 1
    assert counts.takes_new_work
    assert not observed.counts(11.0).takes_new_work
