"""The pages name only what exists: commands, options, metrics, log events, files, settings."""

import ast
import importlib
import re
import shlex
import tomllib
from pathlib import Path

import click
import msgspec
import pytest

from merlinstand.cli.main import main as product
from merlinstand.client.batches import Batch, Sample, TrainerClient
from merlinstand.common.errors import ExitCode
from merlinstand.configuration.objects import PolicySource
from merlinstand.policy.check import check_policy
from merlinstand.settings.reference import configuration_tables, deployment_tables
from merlinstand_lab.cli.main import main as laboratory

ROOT = Path(__file__).parents[2]
PAGES = sorted([*ROOT.glob("*.md"), *ROOT.glob("docs/**/*.md")])
SOURCE = "\n".join(
    path.read_text(encoding="utf-8") for path in sorted((ROOT / "src").rglob("*.py"))
)
CODE_BLOCK = re.compile(r"^```\w*\n(.*?)^```", re.DOTALL | re.MULTILINE)
INLINE_CODE = re.compile(r"`([^`\n]+)`")
COMMAND = re.compile(r"^(?:\.venv/bin/)?(merlinstand(?:-lab)?) (.+)$")
METRIC = re.compile(r"\bmerlinstand_(?:control|coordinator|gateway|internal|host)_[a-z_]+")
EVENT = re.compile(
    r"`((?:batch|consensus|control|coordinator|gateway|generation|host|job|lease|policy|request"
    r"|rollout|sample|session|transport|weights)\.[a-z_]+)`"
)
LINK = re.compile(r"\]\(([^)#\s]+)(?:#[^)]*)?\)")
FILE = re.compile(r"`((?:[\w.-]+/)+[\w.-]+\.(?:py|toml|md|sh|thrift|txt))`")
SETTING = re.compile(r"\(?`([a-z_]+)`, ([\d.]+) s\b")
PACKAGES = "|".join(
    path.name for path in sorted((ROOT / "src" / "merlinstand").iterdir()) if path.is_dir()
)
NAMED_CODE = re.compile(rf"`((?:{PACKAGES})\.[a-z_]+(?:\.[A-Za-z_]+)*)`")
"""A module, class or function by its dotted name."""
FAULT_PARTS = ("*You see*", "*By itself*", "*You may*")


def commands(text: str) -> list[str]:
    """Find command lines in code blocks and in inline code."""
    blocks = "\n".join(CODE_BLOCK.findall(text)).replace("\\\n", " ")
    lines = blocks.splitlines() + INLINE_CODE.findall(CODE_BLOCK.sub("", text))
    return [line.split("  #")[0].strip() for line in lines if COMMAND.match(line.strip())]


def check_command(line: str) -> None:
    """Walk down the command groups and look each option up."""
    match = COMMAND.match(line)
    assert match
    command: click.Command = product if match[1] == "merlinstand" else laboratory
    for word in shlex.split(match[2].split(" > ")[0]):
        if word.isupper():
            # A placeholder such as COMMAND stands for any of them.
            return
        if word.startswith("--") and word != "--help":
            options = {name for option in command.params for name in option.opts}
            assert word.partition("=")[0] in options, f"{line}: {word}"
        elif isinstance(command, click.Group):
            found = command.get_command(click.Context(command), word)
            assert found is not None or word.startswith("-"), f"{line}: no command {word}"
            command = found or command


@pytest.mark.parametrize("page", PAGES, ids=lambda page: str(page.relative_to(ROOT)))
def test_commands_and_options_exist(page: Path) -> None:
    for line in commands(page.read_text(encoding="utf-8")):
        check_command(line)


@pytest.mark.parametrize("page", PAGES, ids=lambda page: str(page.relative_to(ROOT)))
def test_metrics_and_log_events_exist(page: Path) -> None:
    text = page.read_text(encoding="utf-8")
    for metric in METRIC.findall(text):
        short = metric.removeprefix("merlinstand_coordinator_")
        counted = metric.removesuffix("_total")
        assert any(f'"{name}"' in SOURCE for name in (metric, short, counted)), metric
    for event in EVENT.findall(text):
        short = event.removeprefix("consensus.")
        is_module = (ROOT / "src" / "merlinstand" / f"{event.replace('.', '/')}.py").exists()
        assert is_module or f'"{event}"' in SOURCE or f'"{short}"' in SOURCE, event


@pytest.mark.parametrize("page", PAGES, ids=lambda page: str(page.relative_to(ROOT)))
def test_links_and_files_exist(page: Path) -> None:
    text = page.read_text(encoding="utf-8")
    for target in LINK.findall(text):
        path = (page.parent / target).resolve()
        assert "://" in target or path.exists(), target
    for name in FILE.findall(text):
        places = (ROOT, ROOT / "src", ROOT / "src" / "merlinstand")
        assert any((place / name).exists() for place in places), name


def test_the_architecture_page_names_code_that_exists() -> None:
    text = (ROOT / "docs" / "ARCHITECTURE.md").read_text(encoding="utf-8")
    names = set(NAMED_CODE.findall(text))
    assert len(names) > 40
    for name in names:
        package, module, *attributes = name.split(".")
        found = importlib.import_module(f"merlinstand.{package}.{module}")
        for attribute in attributes:
            found = getattr(found, attribute)


def test_figures_beside_settings_are_their_defaults() -> None:
    defaults: dict[str, set[str]] = {}
    for table in deployment_tables() + configuration_tables():
        for row in table.rows:
            defaults.setdefault(row.key, set()).add(row.default.strip("`"))
    text = (ROOT / "docs" / "OPERATIONS.md").read_text(encoding="utf-8")
    figures = SETTING.findall(text.replace("\n", " "))
    assert len(figures) > 10
    for key, figure in figures:
        assert float(figure) in map(float, defaults[key]), key


def test_every_fault_page_has_its_three_parts() -> None:
    text = (ROOT / "docs" / "OPERATIONS.md").read_text(encoding="utf-8")
    pages = text.split("\n# Faults\n")[1].split("\n## ")[1:]
    assert len(pages) > 20
    for page in pages:
        for part in FAULT_PARTS:
            assert part in page, f"{page.splitlines()[0]}: {part}"


def test_the_exit_codes_are_the_command_line_s() -> None:
    text = (ROOT / "docs" / "OPERATIONS.md").read_text(encoding="utf-8")
    codes, _rule, names = text[text.index("| exit code") :].splitlines()[:3]
    listed = dict(zip(codes.split(" | ")[1:], names.split(" | ")[1:], strict=True))
    expected = {str(code.value): code.name.lower() for code in ExitCode}
    cleaned = {key.strip(" |"): value.strip(" |") for key, value in listed.items()}
    expected |= {"0": "done", "3": "invalid input", "4": "not found"}
    assert cleaned == expected


def test_the_paths_of_the_interfaces_are_served_or_called() -> None:
    text = (ROOT / "docs" / "INTERFACES.md").read_text(encoding="utf-8")
    for path in set(re.findall(r"(?:GET|POST|PUT|ANY) (/(?:v1|lab)/[a-z_/]+)", text)):
        assert path.rstrip("/") in SOURCE, path


def test_every_module_and_public_class_has_a_docstring() -> None:
    for path in sorted((ROOT / "src").rglob("*.py")):
        if "generated" in path.parts:
            continue
        module = ast.parse(path.read_text(encoding="utf-8"))
        assert ast.get_docstring(module), path
        for item in module.body:
            if isinstance(item, ast.ClassDef) and not item.name.startswith("_"):
                assert ast.get_docstring(item), f"{path}: {item.name}"


def test_the_readme_s_policy_is_accepted() -> None:
    text = (ROOT / "README.md").read_text(encoding="utf-8")
    (policy,) = re.findall(r"```toml\n(.*?)```", text, re.DOTALL)
    assert check_policy(msgspec.convert(tomllib.loads(policy), PolicySource)).is_ok()


def test_the_readme_s_trainer_uses_what_the_client_has() -> None:
    text = (ROOT / "README.md").read_text(encoding="utf-8")
    (program,) = re.findall(r"```python\n(.*?)```", text, re.DOTALL)
    used = {node.attr for node in ast.walk(ast.parse(program)) if isinstance(node, ast.Attribute)}
    known = {*dir(TrainerClient), *Batch.__struct_fields__, *Sample.__struct_fields__}
    assert used <= known | {"is_ok", "unwrap", "client"}
