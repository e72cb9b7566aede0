"""Measures the processor time and the number of modules that each program imports.

Sources are compiled first, as in the build. The program itself decides whether
greendns is on. The runs of the programs are interleaved, so that other load on the
machine affects all programs equally.
"""

import os
import sys
from argparse import ArgumentParser
from statistics import median
from subprocess import DEVNULL, PIPE, Popen, run
from tempfile import TemporaryDirectory

from bench.result import print_result

PROGRAM_MODULES = {
    "interpreter": "sys",
    "gateway": "ridgecourse.platform.gateway_main",
    "loader": "ridgecourse.platform.loader_main",
    "entry": "ridgecourse.entry.main",
    "agent": "ridgecourse.agent.main",
}
"""Main module of each program; "interpreter" is the reference without a program."""

GREENDNS_VARIABLE = "EVENTLET_NO_GREENDNS"


def make_environment(bytecode_directory: str, greendns_off: bool) -> dict[str, str]:
    """Return the environment of a start.

    Args:
        bytecode_directory: Directory for compiled sources.
        greendns_off: Whether to turn greendns off with an environment variable.
    """
    variables = dict(os.environ, PYTHONPYCACHEPREFIX=bytecode_directory)
    variables.pop("PYTHONDONTWRITEBYTECODE", None)
    variables.pop(GREENDNS_VARIABLE, None)
    if greendns_off:
        variables[GREENDNS_VARIABLE] = "yes"
    return variables


def list_modules(module: str, variables: dict[str, str]) -> list[str]:
    """Return the names of the modules that a program imports at its start."""
    code = f"import sys, {module}\nprint(*sys.modules, sep='\\n')"
    command = [sys.executable, "-c", code]
    completed = run(command, env=variables, stdout=PIPE, stderr=DEVNULL, check=True)
    return completed.stdout.decode().split()


def measure_start(module: str, variables: dict[str, str]) -> float:
    """Return the processor time of one start, in seconds."""
    command = [sys.executable, "-c", f"import {module}"]
    process = Popen(command, env=variables, stderr=DEVNULL)
    _, status, usage = os.wait4(process.pid, 0)
    process.returncode = os.waitstatus_to_exitcode(status)
    if process.returncode != 0:
        raise SystemExit(f"module {module} cannot be imported")
    return usage.ru_utime + usage.ru_stime


def main(argv: list[str]) -> int:
    """Run the benchmark and return the exit code."""
    parser = ArgumentParser(prog="bench start", description=__doc__)
    parser.add_argument("--runs", type=int, default=15)
    parser.add_argument(
        "--greendns-off",
        action="store_true",
        help=f"set {GREENDNS_VARIABLE} in the environment",
    )
    options = parser.parse_args(argv)
    with TemporaryDirectory() as bytecode_directory:
        variables = make_environment(bytecode_directory, options.greendns_off)
        modules = {
            name: len(list_modules(module, variables))
            for name, module in PROGRAM_MODULES.items()
        }
        seconds: dict[str, list[float]] = {name: [] for name in PROGRAM_MODULES}
        for _ in range(options.runs):
            for name, module in PROGRAM_MODULES.items():
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
