"""`lab.toml`: the stand-ins of a fleet and how a run goes."""

import msgspec
from result import Err, Ok, Result

from merlinstand.settings.errors import SettingsError
from merlinstand.settings.toml_file import load_toml
from merlinstand_lab.standins.settings import (
    CallersSettings,
    EngineProfile,
    EngineSettings,
    MachineListSettings,
    ScorerSettings,
    ScriptsSettings,
    ServiceSettings,
    StandinSettings,
    TrainerSettings,
    WeightStoreSettings,
)


class RunSettings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """`[run]`: when a run ends, and what happens on the way."""

    name: str
    minimum_steps: int = 20
    """A run ends when every trainer made this many steps."""
    maximum_seconds: float = 240.0
    """A run that takes longer failed."""
    start_seconds: float = 30.0
    """Longest wait for the processes to be ready."""
    stop_seconds: float = 20.0
    """Longest wait for one process's planned stop."""
    restart_seconds: float = 3.0
    """A killed process is started again after this long."""
    raced_limits: str = ""
    """Two operators change the limits of this caller at once, from the same revision."""
    drained_backend: str = ""
    """This back end is drained by the operator on the way, and brought back."""
    leaving_backend: str = ""
    """This back end says itself, on the way, that it is leaving, and comes back."""
    stopped_daemons: tuple[str, ...] = ()
    """These daemons get a planned stop, one after the other, and are started again."""


class LabSettings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """The whole file."""

    run: RunSettings
    engine: tuple[EngineSettings, ...] = ()
    engine_profile: EngineProfile = EngineProfile()
    """Profile of every engine."""
    service: tuple[ServiceSettings, ...] = ()
    weight_store: WeightStoreSettings
    scorer: ScorerSettings
    machine_list: MachineListSettings
    trainer: tuple[TrainerSettings, ...]
    callers: CallersSettings
    scripts: ScriptsSettings | None = None
    """The old scripts, which run only while a job moves."""

    def platform_standins(self) -> list[tuple[str, StandinSettings]]:
        """What must be there before the system starts, as (kind, settings)."""
        platform: list[tuple[str, StandinSettings]] = [
            ("weight-store", self.weight_store),
            ("scorer", self.scorer),
            ("machine-list", self.machine_list),
        ]
        platform += [("engine", engine) for engine in self.engine]
        platform += [("service", service) for service in self.service]
        return platform

    def old_scripts(self) -> list[tuple[str, StandinSettings]]:
        """What a team had before and runs beside the system, as (kind, settings)."""
        return [] if self.scripts is None else [("scripts", self.scripts)]

    def load_standins(self) -> list[tuple[str, StandinSettings]]:
        """What uses the system, as (kind, settings)."""
        load: list[tuple[str, StandinSettings]] = [("trainer", one) for one in self.trainer]
        load.append(("callers", self.callers))
        return load


def load_lab_settings(path: str) -> Result[LabSettings, SettingsError]:
    """Read and check a `lab.toml`; every engine gets the shared profile."""
    loaded = load_toml(path, LabSettings)
    if isinstance(loaded, Err):
        return loaded
    settings = loaded.ok_value
    engines = tuple(
        msgspec.structs.replace(engine, profile=settings.engine_profile)
        for engine in settings.engine
    )
    return Ok(msgspec.structs.replace(settings, engine=engines))
