"""The plan of both examples, and the order of a run's incidents."""

import shutil
from pathlib import Path

import pytest
from result import Err, Ok

from merlinstand.runtime.record_writer import RecordWriter
from merlinstand_lab.fleet.configuration_file import read_put_commands
from merlinstand_lab.fleet.fleet import Fleet
from merlinstand_lab.fleet.incidents import Incident, Incidents, in_rounds
from merlinstand_lab.fleet.job_move import JobMove, as_mirror
from merlinstand_lab.fleet.operator import OperatorClient
from merlinstand_lab.fleet.plan import FleetPlan, make_plan
from merlinstand_lab.fleet.settings import load_lab_settings
from merlinstand_lab.standins.catalogue import make_standin

EXAMPLES = Path(__file__).parents[2] / "examples"
ROLES = {
    "vitrina": {"control": 3, "gateway": 3, "coordinator": 2, "engine": 4, "service": 3},
    "tatrasoft": {"control": 3, "gateway": 3, "coordinator": 2, "engine": 5, "service": 3},
}


def plan_of(name: str, output: Path) -> FleetPlan:
    plan = make_plan(EXAMPLES / name, output)
    assert isinstance(plan, Ok)
    return plan.ok_value


@pytest.mark.parametrize("name", sorted(ROLES))
def test_an_example_has_the_fleet_of_its_users(name: str, tmp_path: Path) -> None:
    plan = plan_of(name, tmp_path)
    counts: dict[str, int] = {}
    for spec in plan.specs:
        counts[spec.role] = counts.get(spec.role, 0) + 1
    once = {"weight-store": 1, "scorer": 1, "machine-list": 1, "trainer": 1, "callers": 1}
    assert counts == ROLES[name] | once
    addresses = plan.addresses()
    assert len(addresses) == len(set(addresses))
    assert all(address.startswith("127.0.0.1:") for address in addresses)


@pytest.mark.parametrize("name", sorted(ROLES))
def test_back_ends_of_the_configuration_are_the_stand_ins(name: str, tmp_path: Path) -> None:
    lab = plan_of(name, tmp_path).lab
    commands = read_put_commands(str(EXAMPLES / name / "configuration.toml"))
    assert isinstance(commands, Ok)
    configured = {
        backend["backend_id"]: backend["address"]
        for command in commands.ok_value
        if str(command["key"]).startswith("pool/")
        for backend in command["object"]["backends"]  # type: ignore[index]
    }
    assert configured == {one.node_id: one.address for one in (*lab.engine, *lab.service)}
    (job,) = [one for one in commands.ok_value if str(one["key"]).startswith("job/")]
    assert job["object"]["policy"]["maximum_staleness_versions"] == 2  # type: ignore[index]


@pytest.mark.parametrize("name", sorted(ROLES))
def test_old_scripts_run_only_where_a_job_moves_and_do_the_same_work(
    name: str, tmp_path: Path
) -> None:
    moving = make_plan(EXAMPLES / name, tmp_path, with_scripts=True)
    assert isinstance(moving, Ok)
    lab, scripts = moving.ok_value.lab, moving.ok_value.lab.scripts
    assert [spec.name for spec in moving.ok_value.specs if spec.role == "scripts"] == [
        "old-scripts"
    ]
    assert scripts is not None and scripts.sample_prefix
    assert scripts.address == lab.trainer[0].scripts
    assert scripts.engines == tuple(engine.address for engine in lab.engine)
    commands = read_put_commands(str(EXAMPLES / name / "configuration.toml"))
    assert isinstance(commands, Ok)
    (job,) = [one["object"] for one in commands.ok_value if str(one["key"]).startswith("job/")]
    assert isinstance(job, dict)
    assert (scripts.job, scripts.batch_size, list(scripts.prompts)) == (
        job["name"],
        job["batch_size"],
        list(job["prompts"]),
    )


@pytest.mark.parametrize("name", sorted(ROLES))
def test_every_stand_in_of_an_example_can_be_made(name: str, tmp_path: Path) -> None:
    lab = plan_of(name, tmp_path).lab
    for _, settings in lab.platform_standins() + lab.old_scripts() + lab.load_standins():
        assert make_standin(settings) is not None


def test_an_unknown_key_is_refused_with_its_place(tmp_path: Path) -> None:
    text = (EXAMPLES / "vitrina" / "lab.toml").read_text()
    path = tmp_path / "lab.toml"
    path.write_text(text.replace("minimum_steps", "minimum_stepps"))
    loaded = load_lab_settings(str(path))
    assert isinstance(loaded, Err)
    assert "run.minimum_stepps" in loaded.err_value.describe()


def test_a_moving_job_begins_as_a_mirror_and_ends_active(tmp_path: Path) -> None:
    plan = plan_of("vitrina", tmp_path)
    commands = read_put_commands(str(plan.configuration_path))
    assert isinstance(commands, Ok)
    modes = {
        str(command["key"]): as_mirror(command)["object"].get("mode")  # type: ignore[attr-defined]
        for command in commands.ok_value
    }
    assert modes["job/blurbs"] == "mirror"
    assert [mode for key, mode in modes.items() if not key.startswith("job/")] == [None] * 3
    operator = OperatorClient("operator", plan.controls, "", RecordWriter(str(tmp_path)), 1.0)
    moves = JobMove(plan, operator, print).schedule()
    assert [move.title.rsplit(" ", 1)[1] for move in moves] == [
        "trainer",
        "active",
        "mirror",
        "active",
    ]
    begins = [move.after_steps for move in moves]
    assert begins == sorted(begins) and begins[-1] <= plan.lab.run.minimum_steps


def test_a_move_without_old_scripts_is_refused_with_the_place(tmp_path: Path) -> None:
    folder = tmp_path / "settings"
    shutil.copytree(EXAMPLES / "vitrina", folder)
    text = (folder / "lab.toml").read_text()
    (folder / "lab.toml").write_text(text.replace('scripts = "127.0.0.1:7404"\n', ""))
    assert isinstance(make_plan(folder, tmp_path), Ok)
    refused = make_plan(folder, tmp_path, with_scripts=True)
    assert isinstance(refused, Err)
    assert "trainer[0].scripts" in refused.err_value.describe()
    begin, _, rest = text.partition("[scripts]")
    (folder / "lab.toml").write_text(begin + "[[trainer]]" + rest.partition("[[trainer]]")[2])
    refused = make_plan(folder, tmp_path, with_scripts=True)
    assert isinstance(refused, Err)
    assert "[scripts]" in refused.err_value.describe()


def test_rounds_repeat_the_incidents_every_so_many_steps() -> None:
    once = [Incident(2, "a", list), Incident(9, "b", list)]
    repeated = in_rounds(once, rounds=3, steps=20)
    assert [(one.after_steps, one.title) for one in repeated] == [
        (2, "a"),
        (9, "b"),
        (22, "a"),
        (29, "b"),
        (42, "a"),
        (49, "b"),
    ]


def test_faults_come_one_after_the_other_and_only_when_asked_for(tmp_path: Path) -> None:
    plan = plan_of("vitrina", tmp_path)
    records = RecordWriter(str(tmp_path))
    operator = OperatorClient("operator", plan.controls, "", records, 1.0)
    incidents = Incidents(plan, Fleet(plan, records), operator, print)
    calm, faulty = incidents.schedule("none"), incidents.schedule("kill")
    assert not any("kill" in incident.title for incident in calm)
    kills = [incident for incident in faulty if "kill" in incident.title]
    assert len(kills) == 4
    begins = [incident.after_steps for incident in faulty]
    assert begins == sorted(begins) and begins[-1] < plan.lab.run.minimum_steps
