"""Defers the import of modules that a library needs only for unused features.

Most of the processor time of a process start is spent on imports, and the process
serves no requests before they are done. Where a library imports a large module for
a feature that no program uses, a placeholder replaces the module during the import
of the library. The placeholder loads the module when one of its attributes is used,
so that only the time of the import differs.
"""

import sys
from collections.abc import Callable, Iterator, Mapping
from contextlib import contextmanager
from importlib import import_module
from types import ModuleType
from typing import Any


class DeferredModule(ModuleType):
    """A placeholder that loads its module when one of its attributes is used.

    ``__getattr__`` runs only for missing attributes, so that inspecting the
    placeholder itself, as eventlet does, does not load the module.
    """

    def __getattr__(self, name: str) -> Any:
        # The import system reads dunder attributes of modules in sys.modules.
        if name.startswith("__") and sys.modules.get(self.__name__) is self:
            raise AttributeError(name)
        return getattr(load_module(self.__name__), name)


def load_module(name: str) -> ModuleType:
    """Load a module, also if a placeholder is registered under its name."""
    if isinstance(sys.modules.get(name), DeferredModule):
        del sys.modules[name]
    return import_module(name)


def defer_call(module: str, name: str) -> Callable[..., Any]:
    """Return a wrapper that loads the module and calls its function.

    Args:
        module: Name of the module.
        name: Name of the function in the module.
    """

    def call(*arguments: Any, **options: Any) -> Any:
        return getattr(load_module(module), name)(*arguments, **options)

    call.__name__ = name
    return call


@contextmanager
def defer_imports(modules: Mapping[str, tuple[str, ...]]) -> Iterator[None]:
    """Defer modules that are imported within the block.

    Modules that are already loaded are not deferred. A package keeps the placeholder
    as its attribute until the module itself is loaded.

    Args:
        modules: Maps each module to those of its functions that are imported by
            name.
    """
    placeholders = {}
    for module, functions in modules.items():
        if module in sys.modules:
            continue
        placeholder = DeferredModule(module)
        for name in functions:
            setattr(placeholder, name, defer_call(module, name))
        sys.modules[module] = placeholders[module] = placeholder
    # After all placeholders are registered: a package may import several of its
    # modules.
    for module, placeholder in placeholders.items():
        package, _, child_name = module.rpartition(".")
        if package:
            setattr(import_module(package), child_name, placeholder)
    try:
        yield
    finally:
        for module in placeholders:
            if isinstance(sys.modules.get(module), DeferredModule):
                del sys.modules[module]
