"""Modules that libraries import at their start but a process hardly uses: loaded at first use.

`importlib.util.LazyLoader` does this for single modules, but in Python 3.11 a second `import` of
the same name already counts there as a use, since it looks at `__spec__`. Here only a name that the
module doesn't have yet counts. A lazy package also hands out its submodules without running its
own `__init__`, which in many libraries imports every part of them.
"""

import importlib
import sys
from collections.abc import Callable, Mapping, Sequence
from importlib.machinery import ModuleSpec, PathFinder
from types import ModuleType
from typing import Any

_IMPORT_SYSTEM_ATTRIBUTES = frozenset(("__cached__", "__file__", "__path__"))
"""Names that the import system looks for in any module; none of them is a use."""


class LazyModule(ModuleType):
    """A module whose code has not run yet."""

    def __getattr__(self, name: str) -> Any:
        """Find a name that isn't there yet: a submodule, or else whatever the module's code makes.

        Raises:
            AttributeError: The module has no such name.
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
    """Makes a module and leaves its code for later."""

    def __init__(self, loader: Any, placeholders: Mapping[str, Any]) -> None:
        self.loader = loader
        self._placeholders = placeholders

    def create_module(self, spec: ModuleSpec) -> ModuleType:
        return LazyModule(spec.name)

    def exec_module(self, module: ModuleType) -> None:
        module.__dict__.update(self._placeholders)


class _LazyFinder:
    """Finds the lazy modules before anybody else does."""

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
    """From now on import these modules lazily. Call once, before the libraries are imported.

    A module that is there already stays as it is.

    Args:
        modules: By the module's name, stand-ins for what others take out of it at their own import
            without using it then.
    """
    sys.meta_path.insert(0, _LazyFinder(modules))  # type: ignore[arg-type]


def lazy_functions(module_name: str, *names: str) -> dict[str, Callable[..., Any]]:
    """Give stand-ins for a lazy module's functions: the first call loads the module."""
    return {name: _lazy_function(module_name, name) for name in names}


def load_module(module: ModuleType) -> ModuleType:
    """Run a lazy module's code, unless that was done; returns the module."""
    if isinstance(module, LazyModule):
        spec: Any = module.__spec__
        # First, so that the code finds a usual module if it imports itself in a circle.
        module.__class__ = ModuleType  # type: ignore[assignment]
        lazy_loader = spec.loader
        spec.loader = module.__loader__ = lazy_loader.loader
        try:
            spec.loader.exec_module(module)
        except BaseException:
            # As before, for the next use: a file may be readable again, as after a shortage of
            # descriptors. What the code overwrote so far is a stand-in again.
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
