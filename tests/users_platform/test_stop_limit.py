"""A stopping gateway ends its requests neither too early for the rule LOST nor too late."""

from typing import Any

import msgspec
import pytest

from merlinstand_platform.settings import NodeFile, gateway_settings
from tests.users_platform.test_duties import NODE

LAST_SIXTH = 5 / 6
"""A request that a server runs in the last sixth of `GraceS` may be cut off (rule LOST)."""


@pytest.mark.parametrize("grace_seconds", [2.0, 4.0, 8.0, 60.0])
def test_the_limit_lies_in_the_last_sixth_of_the_grace_period(grace_seconds: float) -> None:
    content: dict[str, Any] = {**NODE, "Bounds": {"GraceS": grace_seconds}}
    limit = gateway_settings(msgspec.convert(content, NodeFile)).stop_limit_seconds
    assert LAST_SIXTH * grace_seconds <= limit < grace_seconds
