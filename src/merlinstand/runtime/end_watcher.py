"""Notices that the other side of a connection went away while nobody reads from it.

Used for callers that wait for a response, and for peers to which frames are only sent. The loop
calls back; nothing here blocks.
"""

import select
import socket
from collections.abc import Callable
from typing import Any

import gevent

_READ_EVENT = 1
"""libev's `EV_READ`: the descriptor has something to read, an end included."""
POLL_INTERVAL_SECONDS = 0.2
"""How often a connection with unread bytes is looked at: work for a client that left ends within
half a second. Chosen, not measured."""
_DISCONNECT_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR


def is_disconnected(connection: Any) -> bool:
    """Whether the peer has closed or reset a connection from which all was read.

    Args:
        connection: A gevent socket, plain or TLS.
    """
    try:
        # The plain socket below gevent's (and below TLS): only its end matters here.
        return not connection._sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return False
    except OSError:
        # Reset by the peer, or closed here meanwhile.
        return True


class DisconnectWatcher:
    """Calls back, from the loop, once the peer has closed or reset the connection."""

    def __init__(self, connection: Any, on_disconnect: Callable[[], None]) -> None:
        """Begin watching.

        Args:
            connection: A gevent socket, plain or TLS.
            on_disconnect: Called at most once; must not block.
        """
        self._connection = connection
        self._on_disconnect = on_disconnect
        self._watcher: Any = gevent.get_hub().loop.io(connection.fileno(), _READ_EVENT)
        self._watcher.start(self._check)

    def stop(self) -> None:
        """End watching; call before the connection is closed."""
        if self._watcher is not None:
            self._watcher.stop()
            self._watcher.close()
            self._watcher = None

    def _check(self) -> None:
        self.stop()
        if is_disconnected(self._connection):
            self._on_disconnect()
            return
        # Unread bytes would wake the loop again and again, and the end comes behind them.
        self._watcher = gevent.get_hub().loop.timer(POLL_INTERVAL_SECONDS, POLL_INTERVAL_SECONDS)
        self._watcher.start(self._poll)

    def _poll(self) -> None:
        poll = select.poll()
        poll.register(self._connection.fileno(), _DISCONNECT_EVENTS)
        if poll.poll(0):
            self.stop()
            self._on_disconnect()
