"""The settings page is the code's, every setting is explained, and every setting is used."""

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
ONLY_FOR_PEOPLE = {"region"}


def test_the_page_is_up_to_date() -> None:
    page = (ROOT / "docs" / "SETTINGS.md").read_text(encoding="utf-8")
    assert page == reference_page(), "run `merlinstand settings reference > docs/SETTINGS.md`"


def test_every_setting_has_a_meaning_and_numbers_have_units() -> None:
    for table in deployment_tables() + configuration_tables():
        for row in table.rows:
            assert row.meaning, f"{table.heading} {row.key}"
            assert row.type_name not in ("integer", "number") or row.unit != "-", row.key


def test_every_setting_is_read_somewhere() -> None:
    files = [
        path.read_text(encoding="utf-8")
        for path in SOURCE.rglob("*.py")
        if path.name != "settings.py" and path.name != "deployment.py"
    ]
    source = "\n".join(files)
    for table in deployment_tables():
        for row in table.rows:
            assert row.key in ONLY_FOR_PEOPLE or f".{row.key}" in source, row.key


@pytest.mark.parametrize(
    ("options", "role"),
    [
        (ControlOptions, ControlSettings),
        (GatewayOptions, GatewaySettings),
        (CoordinatorOptions, CoordinatorSettings),
    ],
)
def test_a_deployment_file_has_the_defaults_of_the_role(options: Any, role: Any) -> None:
    """What the simulator proves with a role's own defaults is what a deployment runs."""
    defaults = {field.name: field.default for field in msgspec.structs.fields(role)}
    for field in msgspec.structs.fields(options):
        assert getattr(options(), field.name) == defaults[field.name], field.name
