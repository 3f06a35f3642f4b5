"""Lazy import of modules that libraries import but a process rarely uses.

`importlib.util.LazyLoader` does this for single modules, but in Python 3.11 a second `import` of
the same name already loads the module, since it reads `__spec__`. Here only access to a missing
attribute does. A lazy package also provides its submodules without running its `__init__`, which in
many libraries imports everything.
"""

import importlib
import sys
from collections.abc import Callable, Mapping, Sequence
from importlib.machinery import ModuleSpec, PathFinder
from types import ModuleType
from typing import Any

_IMPORT_SYSTEM_ATTRIBUTES = frozenset(("__cached__", "__file__", "__path__"))
"""Attributes that the import system reads from any module; reading them loads nothing."""


class LazyModule(ModuleType):
    """A module whose code has not been executed yet."""

    def __getattr__(self, name: str) -> Any:
        """Return a missing attribute: a submodule, or else what executing the module defines.

        Raises:
            AttributeError: The module has no such attribute.
        """
        if name in _IMPORT_SYSTEM_ATTRIBUTES:
            raise AttributeError(name)
        if self._has_submodule(name):
            return importlib.import_module(f"{self.__name__}.{name}")
        return getattr(load_module(self), name)

    def _has_submodule(self, name: str) -> bool:
        path = self.__dict__.get("__path__")
        return (
            path is not None and PathFinder.find_spec(f"{self.__name__}.{name}", path) is not None
        )


class _LazyLoader:
    """Creates a module without executing its code."""

    def __init__(self, loader: Any, placeholders: Mapping[str, Any]) -> None:
        self.loader = loader
        self._placeholders = placeholders

    def create_module(self, spec: ModuleSpec) -> ModuleType:
        return LazyModule(spec.name)

    def exec_module(self, module: ModuleType) -> None:
        module.__dict__.update(self._placeholders)


class _LazyFinder:
    """Finds the lazy modules; must come before the other finders in `sys.meta_path`."""

    def __init__(self, modules: Mapping[str, Mapping[str, Any]]) -> None:
        self._modules = modules

    def find_spec(
        self, name: str, path: Sequence[str] | None, _target: ModuleType | None = None
    ) -> ModuleSpec | None:
        placeholders = self._modules.get(name)
        if placeholders is None:
            return None
        spec = PathFinder.find_spec(name, path)
        if spec is None or spec.loader is None:
            return None
        spec.loader = _LazyLoader(spec.loader, placeholders)  # type: ignore[assignment]
        return spec


def import_lazily(modules: Mapping[str, Mapping[str, Any]]) -> None:
    """Import these modules lazily from now on. Call once, before the libraries are imported.

    Modules that are already imported are not affected.

    Args:
        modules: By module name, placeholders for names that other modules import from it without
            using them immediately.
    """
    sys.meta_path.insert(0, _LazyFinder(modules))  # type: ignore[arg-type]


def lazy_functions(module_name: str, *names: str) -> dict[str, Callable[..., Any]]:
    """Return placeholders for a lazy module's functions; the first call loads the module."""
    return {name: _lazy_function(module_name, name) for name in names}


def load_module(module: ModuleType) -> ModuleType:
    """Execute a lazy module's code if that has not been done, and return the module."""
    if isinstance(module, LazyModule):
        spec: Any = module.__spec__
        # Done first, so that circular imports find a regular module.
        module.__class__ = ModuleType  # type: ignore[assignment]
        lazy_loader = spec.loader
        spec.loader = module.__loader__ = lazy_loader.loader
        try:
            spec.loader.exec_module(module)
        except BaseException:
            # Make it lazy again, so that the next use retries: the error may be temporary, such as
            # a lack of file descriptors. Overwritten placeholders are restored.
            spec.loader = module.__loader__ = lazy_loader
            module.__class__ = LazyModule
            lazy_loader.exec_module(module)
            raise
    return module


def _lazy_function(module_name: str, name: str) -> Callable[..., Any]:
    def call(*args: Any, **options: Any) -> Any:
        return getattr(load_module(importlib.import_module(module_name)), name)(*args, **options)

    call.__name__ = call.__qualname__ = name
    return call
