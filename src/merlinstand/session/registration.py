"""Registers the daemon in the configuration, so that other daemons find its address."""

from merlinstand.common.ids import CommandId
from merlinstand.configuration.objects import Daemon, encode_object
from merlinstand.control.commands import PutObject
from merlinstand.session.settings import SessionSettings
from merlinstand.session.view import ConfigurationView

REGISTRATION_TIMEOUT_SECONDS = 10.0
"""Timeout of the registration command; afterwards a new command is sent."""


class Registration:
    """Puts `daemon/NODE` when it is missing from the configuration or differs from the settings."""

    def __init__(self, settings: SessionSettings) -> None:
        """No command is sent until `due_command` returns one."""
        self._settings = settings
        self._pending_command_id: CommandId | None = None

    def due_command(self, view: ConfigurationView) -> PutObject | None:
        """Return the command to submit now, or None if registered or a command is pending."""
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
        """Record the pending command; there is one at a time."""
        self._pending_command_id = command_id

    def finish_if_pending(self, request_id: CommandId) -> bool:
        """Return whether a finished request was the pending command, and clear it if so."""
        if request_id != self._pending_command_id:
            return False
        self._pending_command_id = None
        return True
