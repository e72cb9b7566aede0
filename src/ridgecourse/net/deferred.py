"""Modules that a library imports for a part of it that is not used here.

A start's processor time is mostly imports, and a process serves nobody before
they are done. Where a library imports a large module for a part that no program
uses, a stand-in takes its place during that import; it loads the module as soon
as something of it is asked for, so that nothing changes but the time.
"""

import sys
from collections.abc import Callable, Iterator, Mapping
from contextlib import contextmanager
from importlib import import_module
from types import ModuleType
from typing import Any


class DeferredModule(ModuleType):
    """A module that is loaded when one of its attributes is asked for.

    Attributes are looked up here only if they are missing, so that a look at
    the stand-in itself, as eventlet takes one, does not load the module.
    """

    def __getattr__(self, name: str) -> Any:
        # The import system looks at these of what it finds loaded.
        if name.startswith("__") and sys.modules.get(self.__name__) is self:
            raise AttributeError(name)
        return getattr(load_module(self.__name__), name)


def load_module(name: str) -> ModuleType:
    """Load a module even while another stands in for it."""
    if isinstance(sys.modules.get(name), DeferredModule):
        del sys.modules[name]
    return import_module(name)


def defer_call(module: str, name: str) -> Callable[..., Any]:
    """Return a function that loads its module when it is called."""

    def call(*arguments: Any, **options: Any) -> Any:
        return getattr(load_module(module), name)(*arguments, **options)

    call.__name__ = name
    return call


@contextmanager
def deferred(modules: Mapping[str, tuple[str, ...]]) -> Iterator[None]:
    """Defer modules that are imported within the block.

    Args:
        modules: The modules, each with its functions that are imported by name.
            What is loaded already is left alone. A package keeps the stand-in
            as its attribute until the module itself is loaded.
    """
    standing_in = {}
    for module, functions in modules.items():
        if module in sys.modules:
            continue
        stand_in = DeferredModule(module)
        for name in functions:
            setattr(stand_in, name, defer_call(module, name))
        sys.modules[module] = standing_in[module] = stand_in
    # With all of them in place: a package may import several of its modules.
    for module, stand_in in standing_in.items():
        package, _, own_name = module.rpartition(".")
        if package:
            setattr(import_module(package), own_name, stand_in)
    try:
        yield
    finally:
        for module in standing_in:
            if isinstance(sys.modules.get(module), DeferredModule):
                del sys.modules[module]
