"""Makes the reentrant locks that exist before eventlet patches modules cooperative.

Eventlet looks for them through everything that can be reached from all modules, a third
of the processor time of a start, and on a busy day half of the starts come together. A
handful exists, and the collector knows who holds each.
"""

import gc
import threading
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

from eventlet import patcher
from eventlet.green.thread import allocate_lock


@contextmanager
def direct_conversion() -> Iterator[None]:
    """Let ``eventlet.monkey_patch`` convert existing locks without a search."""
    search = patcher._green_existing_locks
    patcher._green_existing_locks = convert_locks
    try:
        yield
    finally:
        patcher._green_existing_locks = search


def convert_locks(kind: type) -> None:
    """Replace all locks of a kind by cooperative ones, wherever they are held.

    Args:
        kind: The interpreter's own reentrant lock. It belongs to a system thread,
            which all green threads share, and so keeps none of them out.
    """
    locks = [found for found in gc.get_objects() if type(found) is kind]
    replacements = {id(lock): make_cooperative() for lock in locks}
    for holder in gc.get_referrers(*locks):
        if holder is not locks:
            replace_values(holder, replacements)


def make_cooperative() -> Any:
    """Return a reentrant lock that lets other green threads run while one waits."""
    lock = threading._PyRLock()  # type: ignore[attr-defined]
    lock._block = allocate_lock()
    return lock


def replace_values(holder: Any, replacements: dict[int, Any]) -> None:
    """Replace values of a dictionary, or of an object's attributes."""
    if isinstance(holder, dict):
        for name, value in list(holder.items()):
            if id(value) in replacements:
                holder[name] = replacements[id(value)]
    elif hasattr(holder, "__dict__"):
        for name, value in list(vars(holder).items()):
            if id(value) in replacements:
                setattr(holder, name, replacements[id(value)])
