"""Checks that locks created before the monkey patches exclude green threads.

The patch must convert these locks without Eventlet's search through all modules, which
took 1/3 of the processor time of a start.
"""

import subprocess
import sys

CHECK_LOCKS = """
import gc, logging, threading, _thread
import eventlet.patcher

class Holder:
    pass

def refuse(*_):
    raise AssertionError("a search through all modules")

eventlet.patcher._upgrade_instances = refuse
holder, table = Holder(), {"lock": threading.RLock()}
holder.lock = threading.RLock()
import ridgecourse.net.patch
import eventlet

locks = [
    logging._lock,
    logging.lastResort.lock,
    threading._active_limbo_lock,
    holder.lock,
    table["lock"],
]
for lock in locks:
    assert type(lock) is not _thread.RLock, lock
    order = []

    def hold(name):
        with lock:
            order.append(name)
            eventlet.sleep(0)
            order.append(name)

    threads = [eventlet.spawn(hold, name) for name in "ab"]
    for thread in threads:
        thread.wait()
    assert order == ["a", "a", "b", "b"], order
"""


def test_locks_created_before_patching_exclude_green_threads() -> None:
    command = [sys.executable, "-W", "ignore", "-c", CHECK_LOCKS]
    result = subprocess.run(command, capture_output=True, text=True)
    assert result.returncode == 0, result.stderr
