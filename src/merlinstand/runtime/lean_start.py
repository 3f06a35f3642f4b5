"""Modules that libraries import but daemons don't use; see docs/design/light-processes.md.

They made up a third of a gateway's memory and start time. They are imported lazily, so code that
does use one of them still works.
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
    """Placeholder for the base class of geventhttpclient's parse errors."""


def _is_coroutine_function(function: Any) -> bool:
    """Placeholder for `inspect.iscoroutinefunction`, which falcon calls for each handler."""
    code = getattr(getattr(function, "__func__", function), "__code__", None)
    return code is not None and bool(code.co_flags & _COROUTINE_FLAG)


def _system_name() -> str:
    """Placeholder for `platform.system`, which `uuid` calls when it is imported."""
    return os.uname().sysname


def _ignore_declaration(*_classes: Any) -> None:
    """Placeholder for `zope.interface.classImplements`, which declares gevent's interfaces."""


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
    # Packages whose `__init__` imports the whole library; daemons import submodules directly.
    "falcon": {},
    "geventhttpclient": {},
    # falcon: ASGI, sessions, static files, XML bodies and media type negotiation.
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
    # gevent: interface declarations of its loop, which serve as documentation.
    "gevent._interfaces": {"ICallback": object, "ILoop": object, "IWatcher": object},
    "zope.interface": {"classImplements": _ignore_declaration},
    # msgspec: type introspection and JSON schemas.
    "msgspec._json_schema": lazy_functions("msgspec._json_schema", "schema", "schema_components"),
    "msgspec.inspect": {},
    "platform": {"system": _system_name},
    # crc32c: it looks up its own version; see `storage.checksum`.
    "crc32c": {},
    # Needed only with TLS, after failures, and in similar cases.
    "gevent.ssl": {},
    "ipaddress": {},
    "pathlib": {},
    "pprint": lazy_functions("pprint", "pformat"),
    "ssl": {},
    "traceback": lazy_functions("traceback", "print_exc", "print_exception"),
}


def enable_lazy_imports() -> None:
    """Import unused parts of libraries lazily. Call once, as early as possible in a process."""
    import_lazily(LAZY_MODULES)
    _import_pywsgi()


def _import_pywsgi() -> None:
    """Import gevent's server without `http.client` and `email`, which would use 1.2 MB.

    It needs them for its header parser, unless it finds `mimetools`, a module of Python 2.
    `EndpointHandler` parses requests itself and never uses that parser.
    """
    mimetools = ModuleType("mimetools")
    mimetools.Message = lambda _reader: {}  # type: ignore[attr-defined]
    sys.modules["mimetools"] = mimetools
    try:
        import gevent.pywsgi  # noqa: F401
    finally:
        del sys.modules["mimetools"]
