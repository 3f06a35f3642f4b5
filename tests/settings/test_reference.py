"""The settings page matches the code, and every setting is documented and used."""

from pathlib import Path
from typing import Any

import msgspec
import pytest

import merlinstand
from merlinstand.control.settings import ControlSettings
from merlinstand.coordinator.settings import CoordinatorSettings
from merlinstand.gateway.settings import GatewaySettings
from merlinstand.settings.deployment import ControlOptions, CoordinatorOptions, GatewayOptions
from merlinstand.settings.reference import (
    configuration_tables,
    deployment_tables,
    reference_page,
)

ROOT = Path(__file__).parents[2]
SOURCE = Path(str(merlinstand.__file__)).parent
INFORMATIONAL_KEYS = {"region"}


def test_the_page_is_up_to_date() -> None:
    page = (ROOT / "docs" / "SETTINGS.md").read_text(encoding="utf-8")
    assert page == reference_page(), "run `merlinstand settings reference > docs/SETTINGS.md`"


def test_every_setting_has_a_description_and_every_number_a_unit() -> None:
    for table in deployment_tables() + configuration_tables():
        for row in table.rows:
            assert row.meaning, f"{table.heading} {row.key}"
            assert row.type_name not in ("integer", "number") or row.unit != "-", row.key


def test_every_setting_is_used_by_the_code() -> None:
    files = [
        path.read_text(encoding="utf-8")
        for path in SOURCE.rglob("*.py")
        if path.name != "settings.py" and path.name != "deployment.py"
    ]
    source = "\n".join(files)
    for table in deployment_tables():
        for row in table.rows:
            assert row.key in INFORMATIONAL_KEYS or f".{row.key}" in source, row.key


@pytest.mark.parametrize(
    ("options", "role"),
    [
        (ControlOptions, ControlSettings),
        (GatewayOptions, GatewaySettings),
        (CoordinatorOptions, CoordinatorSettings),
    ],
)
def test_deployment_defaults_equal_the_role_defaults(options: Any, role: Any) -> None:
    """The simulator uses the role defaults, so a deployment must run with the same values."""
    defaults = {field.name: field.default for field in msgspec.structs.fields(role)}
    for field in msgspec.structs.fields(options):
        assert getattr(options(), field.name) == defaults[field.name], field.name
