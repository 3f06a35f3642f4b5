"""Back ends whose heartbeats stay away count as cold where cold ones are limited."""

import pytest

from merlinstand.common.ids import BackendId
from merlinstand.directory.commands import AssumeCold, PutBackend, decode_command, encode_command
from merlinstand.directory.heartbeat_rules import MISSED_HEARTBEATS_SECONDS
from tests.cold_servers.cold_machine import make_state
from tests.cold_servers.test_leader import IDS, WARM
from tests.directory.lone_control import LoneControl
from tests.users_platform.callers import make_config

QUIET = "i-quiet"
SENDING = "i-sending"


def control_with_servers(is_limited: bool) -> LoneControl:
    """A control daemon that has heard one server once; another goes on."""
    control = LoneControl()
    control.request(2.1, "PUT", "/config", make_config(1, {"shop": []}, cold=is_limited))
    for number, name in enumerate((QUIET, SENDING)):
        for sequence in range(20 if name == SENDING else 1):
            body = {"Service": "shop", "Address": f"10.1.0.{number}:1", "Seq": sequence}
            control.request(2.3 + 0.6 * sequence, "PUT", f"/instances/{name}", body)
    return control


def cold(control: LoneControl) -> list[str]:
    return [b.backend_id for b in control.daemon.state.table.backends.values() if b.is_cold]


@pytest.mark.parametrize(("is_limited", "taken"), [(True, [QUIET]), (False, [])])
def test_only_missing_back_ends_of_limited_services_are_assumed_cold(
    is_limited: bool, taken: list[str]
) -> None:
    control = control_with_servers(is_limited)
    control.run_until(2.3 + MISSED_HEARTBEATS_SECONDS - 0.1)
    assert cold(control) == []
    control.run_until(2.3 + MISSED_HEARTBEATS_SECONDS + 0.6)
    assert cold(control) == taken


@pytest.mark.parametrize(("heartbeats", "still_cold"), [(1, [QUIET]), (2, [])])
def test_its_second_heartbeat_says_what_it_is(heartbeats: int, still_cold: list[str]) -> None:
    """The first one may be older than the cut that kept it away."""
    control = control_with_servers(True)
    control.run_until(6.0)
    assert cold(control) == [QUIET]
    for sequence in range(heartbeats):
        body = {"Service": "shop", "Address": "10.1.0.0:1", "Seq": 9 + sequence, "ColdLeftMs": 0}
        control.request(6.1 + 0.6 * sequence, "PUT", f"/instances/{QUIET}", body)
    control.run_until(7.2)
    assert cold(control) == still_cold


def test_it_is_noted_once_and_followed() -> None:
    control = control_with_servers(True)
    control.add_daemon("10.0.0.9", "keeper", 2.5)
    control.run_until(6.0)
    writes, updates = control.writes, control.updates["10.0.0.9"]
    control.run_until(8.0)
    assert (control.writes, control.updates["10.0.0.9"]) == (writes, updates)


def test_older_heartbeats_don_t_take_it_back() -> None:
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
