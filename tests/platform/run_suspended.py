"""Run a module as on a machine that was suspended for a number of seconds.

The file ``SUSPENDED_SECONDS_FILE`` contains the number of seconds and may change while
the module runs. A suspension does not advance the monotonic clock. It advances the
clocks in ``CLOCKS_THAT_ADVANCE``: the boot time clock and the wall clock.
"""

import os
import runpy
import sys
import time
from pathlib import Path

SECONDS_FILE = Path(os.environ["SUSPENDED_SECONDS_FILE"])
CLOCKS_THAT_ADVANCE = (time.CLOCK_BOOTTIME, time.CLOCK_REALTIME)

real_clock_gettime = time.clock_gettime


def clock_gettime(clock: int) -> float:
    seconds = float(SECONDS_FILE.read_text() or 0)
    return real_clock_gettime(clock) + (seconds if clock in CLOCKS_THAT_ADVANCE else 0)


time.clock_gettime = clock_gettime
module, *sys.argv[1:] = sys.argv[1:]
runpy.run_module(module, run_name="__main__", alter_sys=True)
