"""A program imports what it uses, and no more.

A process that starts again serves nobody until its imports are done, and on a
day at size some 170 processes start. The import of a gateway took 0.72 s of
processor time: a third of it for a resolver of names, although all addresses
are numbers, and much of the rest for asyncio, the package metadata, archives
and the like, which libraries import for parts of theirs that nobody uses here.
Modules are counted rather than seconds, so that a busy machine decides nothing.
"""

import os
import subprocess
import sys

import pytest

UNUSED = {
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
"""Modules that neither a gateway nor a loader uses."""

MOST_MODULES = {
    "ridgecourse.platform.gateway_main": 415,
    "ridgecourse.platform.loader_main": 400,
}
"""Modules of each program with all of the interpreter's own; a few to spare."""


def imported_by(program: str) -> list[str]:
    """Return the modules that a fresh process holds after a program's import."""
    variables = dict(os.environ)
    variables.pop("EVENTLET_NO_GREENDNS", None)
    code = f"import sys, {program}\nprint(*sys.modules, sep='\\n')"
    command = [sys.executable, "-c", code]
    done = subprocess.run(command, env=variables, capture_output=True, check=True)
    return done.stdout.decode().split()


@pytest.mark.parametrize("program", MOST_MODULES)
def test_a_program_imports_no_module_that_it_does_not_use(program: str) -> None:
    assert UNUSED.intersection(imported_by(program)) == set()


@pytest.mark.parametrize("program", MOST_MODULES)
def test_a_program_imports_a_bounded_number_of_modules(program: str) -> None:
    modules = imported_by(program)
    assert len(modules) <= MOST_MODULES[program], sorted(modules)


def run_python(code: str) -> str:
    """Return what a fresh process prints."""
    command = [sys.executable, "-c", code]
    done = subprocess.run(command, capture_output=True, check=True)
    return done.stdout.decode().strip()


DEFER = """
import sys
from ridgecourse.net.deferred import defer_imports
with defer_imports({"html": (), "urllib.request": ("getproxies",)}):
    import html, urllib.request
    from urllib.request import getproxies
"""


def test_a_deferred_module_is_loaded_when_it_is_asked_for() -> None:
    code = DEFER + "print('html' in sys.modules, html.escape('<'))"
    assert run_python(code) == "False &lt;"


def test_a_deferred_function_is_loaded_when_it_is_called() -> None:
    code = DEFER + "print('urllib.request' in sys.modules, type(getproxies()).__name__)"
    assert run_python(code) == "False dict"


def test_a_package_gives_its_deferred_module_until_the_module_is_loaded() -> None:
    code = DEFER + "print(urllib.request.quote('/'), urllib.request.Request.__name__)"
    assert run_python(code) == "/ Request"


def test_a_later_import_loads_the_module_itself() -> None:
    code = DEFER + "import html; print(html.__file__ is not None, html.escape('<'))"
    assert run_python(code) == "True &lt;"


def test_a_deferred_module_loads_while_it_is_still_deferred() -> None:
    code = DEFER.replace("import html,", "import html; html.escape('<'); import")
    assert run_python(code + "print('html' in sys.modules)") == "True"


@pytest.mark.parametrize("program", MOST_MODULES)
def test_garbage_is_collected_once_a_program_is_imported(program: str) -> None:
    code = f"import gc, {program}\nprint(gc.isenabled(), gc.get_freeze_count() > 0)"
    assert run_python(code) == "True True"
