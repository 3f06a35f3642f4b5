"""Notices that the other side of a connection went away while nobody reads from it."""

import socket
from collections.abc import Callable
from typing import Any

import gevent

_READ_EVENTS = 1


class EndWatcher:
    """Calls back, from the loop, once the peer has closed or reset the connection."""

    def __init__(self, connection: Any, on_end: Callable[[], None]) -> None:
        """Begin watching.

        Args:
            connection: A gevent socket, plain or TLS.
            on_end: Called at most once; must not block.
        """
        self._connection = connection
        self._on_end = on_end
        self._watcher: Any = gevent.get_hub().loop.io(connection.fileno(), _READ_EVENTS)
        self._watcher.start(self._check)

    def stop(self) -> None:
        """End watching; call before the connection is closed."""
        if self._watcher is not None:
            self._watcher.stop()
            self._watcher.close()
            self._watcher = None

    def _check(self) -> None:
        try:
            # The plain socket below gevent's (and below TLS): only its end matters here.
            gone = not self._connection._sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return
        except OSError:
            gone = True
        # Unread bytes would wake the loop again and again; they hide a later end.
        self.stop()
        if gone:
            self._on_end()
