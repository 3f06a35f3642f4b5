"""Links between processes: latency, loss, duplication, reordering and silent cuts."""

import random
from typing import Any

import msgspec

from merlinstand.kernel.events import MessageReceived
from merlinstand.protocol.codec import decode_message, encode_message
from merlinstand_lab.simulator.clock import VirtualClock
from merlinstand_lab.simulator.machine import Machine
from merlinstand_lab.simulator.topology import Topology


class LinkQuality(msgspec.Struct, frozen=True):
    """Extra trouble on a link."""

    loss: float = 0.0
    duplicate: float = 0.0
    reorder: float = 0.0
    """Share of messages held back so that later ones overtake them."""
    extra_delay_seconds: float = 0.0
    """Mean extra one-way delay (exponential)."""


class Link:
    """One direction between two processes."""

    __slots__ = ("_stalled", "cut_since", "cuts", "last_arrival", "latency", "qualities")

    def __init__(self, latency: float) -> None:
        self.latency = latency
        self.cuts = 0
        self.cut_since = 0.0
        self.qualities: list[LinkQuality] = []
        self.last_arrival = 0.0
        self._stalled: list[tuple[Any, int]] = []

    def stall(self, call: Any, direction: int) -> None:
        """Keep one transport segment until the cut heals (TCP retransmits it)."""
        self._stalled.append((call, direction))

    def take_stalled(self) -> list[tuple[Any, int]]:
        """Return and forget the segments that waited for the cut to heal."""
        stalled, self._stalled = self._stalled, []
        return stalled


class MessageObserver:
    """Sees each internal message as it is put on the wire."""

    def message_sent(self, time: float, sender: Machine, message: Any) -> None:
        """Take note of one message."""


class Network:
    """All links of a simulation."""

    def __init__(
        self,
        clock: VirtualClock,
        topology: Topology,
        random_source: random.Random,
        encode_messages: bool,
    ) -> None:
        """Create a network without faults.

        Args:
            clock: True time.
            topology: Latencies.
            random_source: Source of jitter, loss and so on.
            encode_messages: Pass messages through the codec, as the wire does, instead of
                handing objects over. Slower; must not change what happens.
        """
        self._clock = clock
        self._topology = topology
        self._random = random_source
        self._encode_messages = encode_messages
        self._links: dict[tuple[str, str], Link] = {}
        self.observers: list[MessageObserver] = []
        self.messages_sent = 0
        self._active_cuts: list[tuple[frozenset[str], frozenset[str]]] = []
        self._active_qualities: list[tuple[frozenset[str], LinkQuality]] = []

    def link(self, source: Machine, destination: Machine) -> Link:
        """Return the link of a direction, made when first used."""
        key = (source.node_id, destination.node_id)
        link = self._links.get(key)
        if link is None:
            link = Link(self._topology.latency(source.zone, destination.zone))
            for sources, destinations in self._active_cuts:
                if key[0] in sources and key[1] in destinations:
                    link.cuts += 1
                    link.cut_since = self._clock.now
            for nodes, quality in self._active_qualities:
                if key[0] in nodes or key[1] in nodes:
                    link.qualities.append(quality)
            self._links[key] = link
        return link

    def one_way_delay(self, link: Link) -> float:
        """Draw the delay of one packet."""
        delay = link.latency * (1.0 + self._topology.jitter * self._random.random())
        for quality in link.qualities:
            if quality.extra_delay_seconds:
                delay += self._random.expovariate(1.0 / quality.extra_delay_seconds)
        return delay

    def send(self, sender: Machine, receiver: Machine, message: Any) -> None:
        """Send an internal message."""
        self.messages_sent += 1
        for observer in self.observers:
            observer.message_sent(self._clock.now, sender, message)
        link = self.link(sender, receiver)
        if self._encode_messages:
            message = decode_message(encode_message(message)).unwrap()
        if link.qualities:
            self._send_degraded(link, sender, receiver, message)
            return
        # One connection carries messages in order; only degraded links reorder.
        arrival = max(self._clock.now + self.one_way_delay(link), link.last_arrival)
        link.last_arrival = arrival
        self._schedule(arrival, link, sender, receiver, message)

    def _send_degraded(
        self,
        link: Link,
        sender: Machine,
        receiver: Machine,
        message: Any,
    ) -> None:
        copies = 1
        held_back = 0.0
        for quality in link.qualities:
            if quality.loss and self._random.random() < quality.loss:
                copies = 0
            if copies and quality.duplicate and self._random.random() < quality.duplicate:
                copies += 1
            if quality.reorder and self._random.random() < quality.reorder:
                held_back += self._random.uniform(0.0, 50.0 * link.latency)
        for _ in range(copies):
            arrival = self._clock.now + self.one_way_delay(link) + held_back
            self._schedule(arrival, link, sender, receiver, message)

    def _schedule(
        self,
        arrival: float,
        link: Link,
        sender: Machine,
        receiver: Machine,
        message: Any,
    ) -> None:
        # A message dies with either end's connection: with the sender's or receiver's life.
        self._clock.call_at(
            arrival, self._arrive, link, sender.node_id, receiver, receiver.life, message
        )

    def _arrive(
        self,
        link: Link,
        sender_id: str,
        receiver: Machine,
        receiver_life: int,
        message: Any,
    ) -> None:
        if link.cuts or receiver.life != receiver_life:
            return
        receiver.learn_peer(sender_id)
        receiver.deliver(MessageReceived(sender_id, message))  # type: ignore[arg-type]

    def cut(self, sources: frozenset[str], destinations: frozenset[str]) -> None:
        """Drop everything from some nodes to others, in silence."""
        self._active_cuts.append((sources, destinations))
        for (source, destination), link in self._links.items():
            if source in sources and destination in destinations:
                if link.cuts == 0:
                    link.cut_since = self._clock.now
                link.cuts += 1

    def heal(self, sources: frozenset[str], destinations: frozenset[str]) -> None:
        """End one cut; segments of open connections are retransmitted some time later."""
        self._active_cuts.remove((sources, destinations))
        for (source, destination), link in self._links.items():
            if source in sources and destination in destinations:
                link.cuts -= 1
                if link.cuts == 0:
                    self._retransmit(link)

    def _retransmit(self, link: Link) -> None:
        # Retransmission timers back off exponentially: the next try comes at the latest
        # after as long again as the cut lasted.
        longest = self._clock.now - link.cut_since
        delays: dict[int, float] = {}
        for call, direction in link.take_stalled():
            delay = delays.setdefault(id(call), self._random.uniform(0.0, longest))
            call.retransmit(direction, delay)

    def degrade(self, nodes: frozenset[str], quality: LinkQuality) -> None:
        """Worsen every link that touches one of the nodes."""
        self._active_qualities.append((nodes, quality))
        for (source, destination), link in self._links.items():
            if source in nodes or destination in nodes:
                link.qualities.append(quality)

    def restore(self, nodes: frozenset[str], quality: LinkQuality) -> None:
        """Undo one `degrade`."""
        self._active_qualities.remove((nodes, quality))
        for (source, destination), link in self._links.items():
            if source in nodes or destination in nodes:
                link.qualities.remove(quality)
