"""Addresses of measured processes."""

import socket

import pytest

from merlinstand_lab.capacity import topology
from merlinstand_lab.capacity.topology import END_PORT, FIRST_PORT, LOOPBACK, free_addresses


def _port(address: str) -> int:
    return int(address.rpartition(":")[2])


def test_addresses_are_distinct_and_out_of_reach_of_outgoing_connections() -> None:
    ports = {_port(address) for address in free_addresses(50) + free_addresses(50)}
    assert len(ports) == 100
    assert all(FIRST_PORT <= port < END_PORT for port in ports)


def test_a_taken_port_is_not_given_out(monkeypatch: pytest.MonkeyPatch) -> None:
    taken = _port(free_addresses(1)[0])
    monkeypatch.setattr(topology, "_given", set())
    monkeypatch.setattr(topology, "FIRST_PORT", taken)
    monkeypatch.setattr(topology, "END_PORT", taken + 50)
    with socket.socket() as holder:
        holder.bind((LOOPBACK, taken))
        holder.listen()
        assert taken not in {_port(address) for address in free_addresses(10)}
