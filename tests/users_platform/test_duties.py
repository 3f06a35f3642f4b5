"""Fenced calls to the platform, and the settings that enable them."""

import json
from typing import Any

import msgspec
import pytest

from merlinstand.fenced_calls.interface import FencedHolder
from merlinstand_platform.duties import PlatformFencedCallInterface
from merlinstand_platform.settings import NodeFile, directory_settings, gateway_settings

NODE: dict[str, Any] = {
    "Node": "core-1",
    "Ip": "10.1.0.14",
    "Zone": "z",
    "PortRange": (7620, 7635),
    "Seeds": ["10.1.0.14:8509"],
    "Listen": {"Control": "10.1.0.14:8509"},
}
BOUNDS = {
    "UsageWindowS": 5,
    "UsageLateS": 10,
    "LeaseMs": 3000,
    "StrictRevoke": True,
    "RevokeMs": 4000,
}


def node(cloud: dict[str, Any] | None) -> NodeFile:
    content = {**NODE, "Bounds": BOUNDS, **({"Cloud": cloud} if cloud else {})}
    return msgspec.convert(content, NodeFile)


@pytest.mark.parametrize(
    ("cloud", "window_seconds"),
    [
        pytest.param(None, 0.0, id="no-platform"),
        pytest.param({"Address": "10.9.0.1:1", "Duties": ["autoscaler"]}, 0.0, id="other-duty"),
        pytest.param({"Address": "10.9.0.1:1", "Duties": ["metering"]}, 5.0, id="metering"),
    ],
)
def test_usage_is_counted_only_with_the_metering_duty(
    cloud: dict[str, Any] | None, window_seconds: float
) -> None:
    assert directory_settings(node(cloud)).usage_window_seconds == window_seconds
    assert gateway_settings(node(cloud)).usage_window_seconds == window_seconds


def test_fenced_call_and_key_revocation_settings_are_read() -> None:
    made = node({"Address": "10.9.0.1:1", "Duties": ["metering"], "DutyPerS": 50.0})
    control = directory_settings(made)
    assert control.platform_address == "10.9.0.1:1"
    assert control.platform_lease_seconds == 3.0
    assert control.platform_calls_per_second == 50.0
    assert control.usage_due_seconds == 10.0
    gateway = gateway_settings(made)
    assert gateway.strict_revocation
    assert gateway.revocation_seconds == 4.0


def test_usage_report_is_encoded() -> None:
    call = PlatformFencedCallInterface().usage_call(FencedHolder("core-1", 12), 353445120, {"a": 4})
    assert (call.method, call.path) == ("POST", "/usage")
    assert call.headers["x-lease-holder"] == "core-1"
    assert call.headers["x-fence-token"] == "12"
    assert json.loads(call.body) == {"Window": 353445120, "Counts": {"a": 4}}
