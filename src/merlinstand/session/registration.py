"""The daemon's own entry in the configuration, by which others find it."""

from merlinstand.common.ids import CommandId
from merlinstand.configuration.objects import Daemon, encode_object
from merlinstand.control.commands import PutObject
from merlinstand.session.settings import SessionSettings
from merlinstand.session.view import ConfigurationView

REGISTRATION_TIMEOUT_SECONDS = 10.0
"""Longest the command that registers a daemon waits for its answer; then it is made anew. Chosen,
not measured."""


class Registration:
    """Puts `daemon/NODE` whenever the configuration lacks it or has it otherwise."""

    def __init__(self, settings: SessionSettings) -> None:
        """Begin with nothing under way."""
        self._settings = settings
        self._pending_command_id: CommandId | None = None

    def due_command(self, view: ConfigurationView) -> PutObject | None:
        """Return the command to submit now, if any."""
        settings = self._settings
        own = Daemon(
            settings.node_id, settings.role, settings.address, settings.http_address, settings.zone
        )
        if self._pending_command_id is not None:
            return None
        if view.daemons.get(settings.node_id) == own:
            return None
        return PutObject(key=f"daemon/{settings.node_id}", value=encode_object(own))

    def record_sent(self, command_id: CommandId) -> None:
        """Remember the command under way: there is one at a time."""
        self._pending_command_id = command_id

    def finish_if_pending(self, request_id: CommandId) -> bool:
        """Tell whether a request that ended was the one under way, which is then over."""
        if request_id != self._pending_command_id:
            return False
        self._pending_command_id = None
        return True
