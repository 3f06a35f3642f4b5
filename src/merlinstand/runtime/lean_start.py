"""What a daemon's libraries import but a daemon doesn't use; see docs/design/light-processes.md.

Of a gateway's memory and of its time to start, a third went into these modules. A table and not a
change of the libraries: whoever does use one of them gets it, only later.
"""

import os
import sys
from collections.abc import Mapping
from types import ModuleType
from typing import Any

from merlinstand.runtime.lazy_modules import import_lazily, lazy_functions

_COROUTINE_FLAG = 0x80
"""`inspect.CO_COROUTINE`."""


class _ParseBaseError(Exception):
    """Stand-in for the base class of geventhttpclient's parse errors."""


def _is_coroutine_function(function: Any) -> bool:
    """Stand-in for `inspect.iscoroutinefunction`, which falcon asks about each handler."""
    code = getattr(getattr(function, "__func__", function), "__code__", None)
    return code is not None and bool(code.co_flags & _COROUTINE_FLAG)


def _system_name() -> str:
    """Stand-in for `platform.system`, which `uuid` asks at its import."""
    return os.uname().sysname


def _ignore_declaration(*_classes: Any) -> None:
    """Stand-in for `zope.interface.classImplements`, which notes what gevent's loop is."""


_ASYNC_HELPERS = (
    "_should_wrap_non_coroutines",
    "_wrap_non_coroutine_unsafe",
    "async_to_sync",
    "create_task",
    "get_running_loop",
    "runs_sync",
    "sync_to_async",
    "wrap_sync_to_async",
    "wrap_sync_to_async_unsafe",
)

LAZY_MODULES: Mapping[str, Mapping[str, Any]] = {
    # Packages whose `__init__` imports all of a library; daemons name the submodules they need.
    "falcon": {},
    "geventhttpclient": {},
    # falcon: for ASGI, sessions, static files, XML bodies and negotiation of media types.
    "asyncio": {},
    "falcon.hooks": {},
    "falcon.routing.static": lazy_functions(
        "falcon.routing.static", "StaticRoute", "StaticRouteAsync"
    ),
    "falcon.util.mediatypes": lazy_functions("falcon.util.mediatypes", "parse_header"),
    "falcon.util.sync": lazy_functions("falcon.util.sync", *_ASYNC_HELPERS),
    "http.cookiejar": {"Cookie": object},
    "inspect": {"iscoroutinefunction": _is_coroutine_function},
    "mimetypes": {},
    "xml.etree.ElementTree": {},
    # geventhttpclient: only its parser is used, see `http_client`.
    "geventhttpclient.connectionpool": {"ConnectionPool": object},
    "http.client": {"HTTPException": _ParseBaseError},
    # gevent: descriptions of its loop for readers.
    "gevent._interfaces": {"ICallback": object, "ILoop": object, "IWatcher": object},
    "zope.interface": {"classImplements": _ignore_declaration},
    # msgspec: descriptions of types.
    "msgspec._json_schema": lazy_functions("msgspec._json_schema", "schema", "schema_components"),
    "msgspec.inspect": {},
    "platform": {"system": _system_name},
    # crc32c: it asks for its own version; see `storage.checksum`.
    "crc32c": {},
    # Only where TLS is spoken, where something has failed, and so on.
    "gevent.ssl": {},
    "ipaddress": {},
    "pathlib": {},
    "pprint": lazy_functions("pprint", "pformat"),
    "ssl": {},
    "traceback": lazy_functions("traceback", "print_exc", "print_exception"),
}


def enable_lazy_imports() -> None:
    """Leave the libraries' unused parts unloaded. Call once, as early as possible in a process."""
    import_lazily(LAZY_MODULES)
    _import_pywsgi()


def _import_pywsgi() -> None:
    """Import gevent's server without `http.client` and `email`, which would hold 1.2 MB.

    It wants them for its own table of headers, unless it finds `mimetools`, a module of Python 2.
    `EndpointHandler` reads requests on its own and never asks for that table.
    """
    mimetools = ModuleType("mimetools")
    mimetools.Message = lambda _reader: {}  # type: ignore[attr-defined]
    sys.modules["mimetools"] = mimetools
    try:
        import gevent.pywsgi  # noqa: F401
    finally:
        del sys.modules["mimetools"]
