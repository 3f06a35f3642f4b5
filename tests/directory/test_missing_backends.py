"""Backends that miss heartbeats are assumed cold in services that limit cold backends."""

import pytest

from merlinstand.common.ids import BackendId
from merlinstand.directory.commands import AssumeCold, PutBackend, decode_command, encode_command
from merlinstand.directory.heartbeat_rules import ASSUME_COLD_AFTER_SECONDS
from tests.cold_servers.cold_machine import make_state
from tests.cold_servers.test_leader import IDS, WARM
from tests.directory.lone_control import LoneControl
from tests.users_platform.callers import make_config

STOPPED = "i-quiet"
SENDING = "i-sending"


def control_with_backends(is_limited: bool) -> LoneControl:
    """Return a control daemon with a backend that stops after one heartbeat, and a live one."""
    control = LoneControl()
    control.request(2.1, "PUT", "/config", make_config(1, {"shop": []}, cold=is_limited))
    for number, name in enumerate((STOPPED, SENDING)):
        for sequence in range(20 if name == SENDING else 1):
            body = {"Service": "shop", "Address": f"10.1.0.{number}:1", "Seq": sequence}
            control.request(2.3 + 0.6 * sequence, "PUT", f"/instances/{name}", body)
    return control


def cold(control: LoneControl) -> list[str]:
    return [b.backend_id for b in control.daemon.state.table.backends.values() if b.is_cold]


@pytest.mark.parametrize(("is_limited", "expected"), [(True, [STOPPED]), (False, [])])
def test_only_missing_backends_of_limited_services_are_assumed_cold(
    is_limited: bool, expected: list[str]
) -> None:
    control = control_with_backends(is_limited)
    control.run_until(2.3 + ASSUME_COLD_AFTER_SECONDS - 0.1)
    assert cold(control) == []
    control.run_until(2.3 + ASSUME_COLD_AFTER_SECONDS + 0.6)
    assert cold(control) == expected


@pytest.mark.parametrize(("heartbeats", "still_cold"), [(1, [STOPPED]), (2, [])])
def test_second_heartbeat_after_the_gap_is_trusted(heartbeats: int, still_cold: list[str]) -> None:
    """The first one may have been sent before the gap and delayed."""
    control = control_with_backends(True)
    control.run_until(6.0)
    assert cold(control) == [STOPPED]
    for sequence in range(heartbeats):
        body = {"Service": "shop", "Address": "10.1.0.0:1", "Seq": 9 + sequence, "ColdLeftMs": 0}
        control.request(6.1 + 0.6 * sequence, "PUT", f"/instances/{STOPPED}", body)
    control.run_until(7.2)
    assert cold(control) == still_cold


def test_backend_is_marked_cold_only_once() -> None:
    control = control_with_backends(True)
    control.add_daemon("10.0.0.9", "keeper", 2.5)
    control.run_until(6.0)
    writes, updates = control.writes, control.updates["10.0.0.9"]
    control.run_until(8.0)
    assert (control.writes, control.updates["10.0.0.9"]) == (writes, updates)


def test_outdated_heartbeats_do_not_end_the_cold_state() -> None:
    state = make_state((WARM,))
    state.apply(8, decode_command(encode_command(AssumeCold((IDS[0], BackendId("nobody"))))))
    assert state.table.backends[IDS[0]].is_cold
    assert state.backends_revision == 8
    state.apply(9, PutBackend(WARM, 1))
    assert state.table.backends[IDS[0]].is_cold
    state.apply(10, PutBackend(WARM, 2))
    assert state.table.backends[IDS[0]].is_cold
    state.apply(11, PutBackend(WARM, 3))
    assert not state.table.backends[IDS[0]].is_cold
