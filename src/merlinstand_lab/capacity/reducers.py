"""Makes the reducer of each hosted kind; imports only what the kind needs."""

import importlib
from typing import Any

import msgspec

from merlinstand.kernel.reducer import Reducer
from merlinstand_lab.capacity.worker_spec import HostedKind, HostedSpec


class _ReducerSource(msgspec.Struct, frozen=True):
    """Where a kind's reducer and settings are defined."""

    reducer: str
    """`module:Class`."""
    settings: str


_SOURCES: dict[HostedKind, _ReducerSource] = {
    HostedKind.CONTROL: _ReducerSource(
        "merlinstand.control.daemon:ControlDaemon", "merlinstand.control.settings:ControlSettings"
    ),
    HostedKind.GATEWAY: _ReducerSource(
        "merlinstand.gateway.daemon:GatewayDaemon", "merlinstand.gateway.settings:GatewaySettings"
    ),
    HostedKind.COORDINATOR: _ReducerSource(
        "merlinstand.coordinator.daemon:CoordinatorDaemon",
        "merlinstand.coordinator.settings:CoordinatorSettings",
    ),
    HostedKind.SESSION: _ReducerSource(
        "merlinstand_lab.capacity.session_daemon:SessionDaemon",
        "merlinstand_lab.capacity.session_daemon:SessionDaemonSettings",
    ),
    HostedKind.HOLLOW_SERVER: _ReducerSource(
        "merlinstand_lab.capacity.hollow_server:HollowServer",
        "merlinstand_lab.capacity.hollow_settings:HollowServerSettings",
    ),
    HostedKind.HOLLOW_CALLER: _ReducerSource(
        "merlinstand_lab.capacity.hollow_caller:HollowCaller",
        "merlinstand_lab.capacity.hollow_settings:HollowCallerSettings",
    ),
    HostedKind.ENGINE: _ReducerSource(
        "merlinstand_lab.standins.engine:EngineServer",
        "merlinstand_lab.standins.settings:EngineSettings",
    ),
    HostedKind.SERVICE: _ReducerSource(
        "merlinstand_lab.standins.service:ServiceServer",
        "merlinstand_lab.standins.settings:ServiceSettings",
    ),
    HostedKind.WEIGHT_STORE: _ReducerSource(
        "merlinstand_lab.standins.weight_store:WeightStore",
        "merlinstand_lab.standins.settings:WeightStoreSettings",
    ),
}


def make_reducer(spec: HostedSpec) -> Reducer:
    """Make the reducer of a spec from its settings."""
    source = _SOURCES[spec.kind]
    settings: Any = msgspec.json.decode(spec.settings, type=_load(source.settings))
    reducer: Reducer = _load(source.reducer)(settings)
    return reducer


def _load(name: str) -> type:
    module_name, _, class_name = name.partition(":")
    loaded = getattr(importlib.import_module(module_name), class_name)
    assert isinstance(loaded, type)
    return loaded
