"""Locks that exist before modules are patched keep green threads out of each other.

A start spent a third of its processor time on finding them.
"""

import subprocess
import sys

COUNT_HOLDERS = """
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


def test_locks_made_before_the_patch_exclude_green_threads() -> None:
    command = [sys.executable, "-W", "ignore", "-c", COUNT_HOLDERS]
    done = subprocess.run(command, capture_output=True, text=True)
    assert done.returncode == 0, done.stderr
