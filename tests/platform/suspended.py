"""Runs a module as on a machine that was suspended, for as long as a file tells.

The steady clock stood still meanwhile. The clock that counts such time did not, and
neither did the time of day.
"""

import os
import runpy
import sys
import time
from pathlib import Path

SECONDS_FILE = Path(os.environ["SUSPENDED_SECONDS_FILE"])
COUNTING_CLOCKS = (time.CLOCK_BOOTTIME, time.CLOCK_REALTIME)

real_clock_gettime = time.clock_gettime


def clock_gettime(clock: int) -> float:
    seconds = float(SECONDS_FILE.read_text() or 0)
    return real_clock_gettime(clock) + (seconds if clock in COUNTING_CLOCKS else 0)


time.clock_gettime = clock_gettime
module, *sys.argv[1:] = sys.argv[1:]
runpy.run_module(module, run_name="__main__", alter_sys=True)
