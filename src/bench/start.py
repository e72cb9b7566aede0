"""Measures what the import of each program costs: processor time and modules.

Sources are compiled first, as the build does it, and greendns is left as the
program itself sets it. The runs of the programs take turns, so that a busy
machine strikes all of them alike.
"""

import os
import sys
from argparse import ArgumentParser
from statistics import median
from subprocess import DEVNULL, PIPE, Popen, run
from tempfile import TemporaryDirectory

from bench.result import print_result

PROGRAMS = {
    "interpreter": "sys",
    "gateway": "ridgecourse.platform.gateway_main",
    "loader": "ridgecourse.platform.loader_main",
    "entry": "ridgecourse.entry.main",
    "agent": "ridgecourse.agent.main",
}
"""The module that each program starts with; the bare interpreter to compare."""

SETTING = "EVENTLET_NO_GREENDNS"


def make_environment(bytecode: str, greendns_off: bool) -> dict[str, str]:
    """Return the variables of a start, with a folder for compiled sources."""
    variables = dict(os.environ, PYTHONPYCACHEPREFIX=bytecode)
    variables.pop("PYTHONDONTWRITEBYTECODE", None)
    variables.pop(SETTING, None)
    if greendns_off:
        variables[SETTING] = "yes"
    return variables


def list_modules(module: str, variables: dict[str, str]) -> list[str]:
    """Return the modules that a start imports."""
    code = f"import sys, {module}\nprint(*sys.modules, sep='\\n')"
    command = [sys.executable, "-c", code]
    found = run(command, env=variables, stdout=PIPE, stderr=DEVNULL, check=True)
    return found.stdout.decode().split()


def measure_start(module: str, variables: dict[str, str]) -> float:
    """Return the processor time of one start, in seconds."""
    command = [sys.executable, "-c", f"import {module}"]
    process = Popen(command, env=variables, stderr=DEVNULL)
    _, status, usage = os.wait4(process.pid, 0)
    process.returncode = os.waitstatus_to_exitcode(status)
    if process.returncode != 0:
        raise SystemExit(f"{module} cannot be imported")
    return usage.ru_utime + usage.ru_stime


def main(argv: list[str]) -> int:
    """Run the benchmark."""
    parser = ArgumentParser(prog="bench start", description=__doc__)
    parser.add_argument("--runs", type=int, default=15)
    parser.add_argument(
        "--greendns-off", action="store_true", help=f"set {SETTING} from outside"
    )
    options = parser.parse_args(argv)
    with TemporaryDirectory() as bytecode:
        variables = make_environment(bytecode, options.greendns_off)
        modules = {
            name: len(list_modules(module, variables))
            for name, module in PROGRAMS.items()
        }
        seconds: dict[str, list[float]] = {name: [] for name in PROGRAMS}
        for _ in range(options.runs):
            for name, module in PROGRAMS.items():
                seconds[name].append(measure_start(module, variables))
    for name, times in seconds.items():
        print_result(
            {
                "program": name,
                "modules": modules[name],
                "processor_median": median(times),
                "processor_least": min(times),
            }
        )
    return 0
