"""Detects that the remote side disconnected while nothing reads from the connection.

Used for clients that wait for a response and for peers to which frames are only sent. Callbacks
run on the event loop; nothing here blocks.
"""

import select
import socket
from collections.abc import Callable
from typing import Any

import gevent

_READ_EVENT = 1
"""libev's `EV_READ`: the descriptor is readable, which includes end of file."""
POLL_INTERVAL_SECONDS = 0.2
"""How often a connection with unread bytes is polled, so that work for a disconnected client stops
within half a second."""
_DISCONNECT_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR


def is_disconnected(connection: Any) -> bool:
    """Return whether the peer closed or reset a connection that has no unread bytes.

    Args:
        connection: A gevent socket, plain or TLS.
    """
    try:
        # The plain socket below gevent and TLS: only end of file matters here.
        return not connection._sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return False
    except OSError:
        # Reset by the peer, or closed locally in the meantime.
        return True


def has_unread(connection: Any) -> bool:
    """Return whether bytes of the peer have arrived and wait to be read.

    Args:
        connection: A gevent socket, plain or TLS.
    """
    try:
        return bool(connection._sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
    except OSError:
        return False


class DisconnectWatcher:
    """Calls back from the event loop once the peer closes or resets the connection."""

    def __init__(self, connection: Any, on_disconnect: Callable[[], None]) -> None:
        """Start watching.

        Args:
            connection: A gevent socket, plain or TLS.
            on_disconnect: Called at most once; must not block.
        """
        self._connection = connection
        self._on_disconnect = on_disconnect
        self._watcher: Any = gevent.get_hub().loop.io(connection.fileno(), _READ_EVENT)
        self._watcher.start(self._check)

    def stop(self) -> None:
        """Stop watching; must be called before the connection is closed."""
        if self._watcher is not None:
            self._watcher.stop()
            self._watcher.close()
            self._watcher = None

    def _check(self) -> None:
        self.stop()
        if is_disconnected(self._connection):
            self._on_disconnect()
            return
        # Unread bytes keep the descriptor readable and hide the end of file: poll instead.
        self._watcher = gevent.get_hub().loop.timer(POLL_INTERVAL_SECONDS, POLL_INTERVAL_SECONDS)
        self._watcher.start(self._poll)

    def _poll(self) -> None:
        poll = select.poll()
        poll.register(self._connection.fileno(), _DISCONNECT_EVENTS)
        if poll.poll(0):
            self.stop()
            self._on_disconnect()
