"""Makes a stand-in's reducer from its settings."""

from merlinstand.kernel.reducer import Reducer
from merlinstand_lab.standins.callers import Callers
from merlinstand_lab.standins.engine import EngineServer
from merlinstand_lab.standins.machine_list import MachineList
from merlinstand_lab.standins.scorer import Scorer
from merlinstand_lab.standins.scripts import Scripts
from merlinstand_lab.standins.service import ServiceServer
from merlinstand_lab.standins.settings import (
    CallersSettings,
    EngineSettings,
    MachineListSettings,
    ScorerSettings,
    ScriptsSettings,
    ServiceSettings,
    StandinSettings,
    TrainerSettings,
    WeightStoreSettings,
)
from merlinstand_lab.standins.trainer import Trainer
from merlinstand_lab.standins.weight_store import WeightStore


def make_standin(settings: StandinSettings) -> Reducer:
    """Make the reducer for a stand-in's settings.

    Raises:
        TypeError: There is no stand-in for this type of settings.
    """
    match settings:
        case EngineSettings():
            return EngineServer(settings)
        case ServiceSettings():
            return ServiceServer(settings)
        case WeightStoreSettings():
            return WeightStore(settings)
        case ScorerSettings():
            return Scorer(settings)
        case MachineListSettings():
            return MachineList(settings)
        case TrainerSettings():
            return Trainer(settings)
        case ScriptsSettings():
            return Scripts(settings)
        case CallersSettings():
            return Callers(settings)
        case _:
            raise TypeError(f"no stand-in for {type(settings).__name__}")
