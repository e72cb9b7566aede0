"""Tests that programs import only the modules that they use.

A restarted process serves no requests until its imports are complete, and about 170
processes start in a full-size deployment. The import of a gateway took 0.72 s of
processor time. A DNS resolver took 1/3 of that time, although all addresses are
numeric. Much of the rest went to asyncio, package metadata, archive modules and similar
modules, which libraries import for features that are not used. The tests count modules
instead of measuring time, so that a busy machine does not affect the result.
"""

import os
import subprocess
import sys

import pytest

UNUSED_MODULES = {
    "asyncio",
    "dns",
    "subprocess",
    "importlib.metadata",
    "zipfile",
    "csv",
    "tempfile",
    "shutil",
    "mimetypes",
    "html",
    "urllib.request",
    "concurrent.futures.thread",
    "eventlet.support.greendns",
    "pydantic",
    "json5",
    "rich",
    "statsd",
    "connectrpc",
}
"""Modules that neither the gateway nor the loader uses."""

MAX_MODULES = {
    "ridgecourse.platform.gateway_main": 415,
    "ridgecourse.platform.loader_main": 400,
}
"""Maximum number of modules of each program, those of the interpreter included.

The limits leave room for a few more modules.
"""


def imported_modules(program: str) -> list[str]:
    """Return the modules that are loaded in a new process after importing a program."""
    variables = dict(os.environ)
    variables.pop("EVENTLET_NO_GREENDNS", None)
    code = f"import sys, {program}\nprint(*sys.modules, sep='\\n')"
    command = [sys.executable, "-c", code]
    result = subprocess.run(command, env=variables, capture_output=True, check=True)
    return result.stdout.decode().split()


@pytest.mark.parametrize("program", MAX_MODULES)
def test_program_imports_no_unused_module(program: str) -> None:
    assert UNUSED_MODULES.intersection(imported_modules(program)) == set()


@pytest.mark.parametrize("program", MAX_MODULES)
def test_program_imports_limited_number_of_modules(program: str) -> None:
    modules = imported_modules(program)
    assert len(modules) <= MAX_MODULES[program], sorted(modules)


def run_python(code: str) -> str:
    """Run code in a new process and return the stripped standard output."""
    command = [sys.executable, "-c", code]
    result = subprocess.run(command, capture_output=True, check=True)
    return result.stdout.decode().strip()


DEFER_IMPORTS = """
import sys
from ridgecourse.net.deferred import defer_imports
with defer_imports({"html": (), "urllib.request": ("getproxies",)}):
    import html, urllib.request
    from urllib.request import getproxies
"""


def test_deferred_module_is_loaded_on_first_access() -> None:
    code = DEFER_IMPORTS + "print('html' in sys.modules, html.escape('<'))"
    assert run_python(code) == "False &lt;"


def test_module_of_deferred_function_is_loaded_on_first_call() -> None:
    code = (
        DEFER_IMPORTS
        + "print('urllib.request' in sys.modules, type(getproxies()).__name__)"
    )
    assert run_python(code) == "False dict"


def test_package_returns_deferred_module_until_module_is_loaded() -> None:
    code = (
        DEFER_IMPORTS
        + "print(urllib.request.quote('/'), urllib.request.Request.__name__)"
    )
    assert run_python(code) == "/ Request"


def test_later_import_loads_real_module() -> None:
    code = (
        DEFER_IMPORTS
        + "import html; print(html.__file__ is not None, html.escape('<'))"
    )
    assert run_python(code) == "True &lt;"


def test_deferred_module_can_be_loaded_inside_deferral() -> None:
    code = DEFER_IMPORTS.replace(
        "import html,", "import html; html.escape('<'); import"
    )
    assert run_python(code + "print('html' in sys.modules)") == "True"


@pytest.mark.parametrize("program", MAX_MODULES)
def test_garbage_collector_is_enabled_after_import(program: str) -> None:
    code = f"import gc, {program}\nprint(gc.isenabled(), gc.get_freeze_count() > 0)"
    assert run_python(code) == "True True"
