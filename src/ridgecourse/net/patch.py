"""Makes blocking calls cooperative; imported before anything else by a program.

Eventlet warns that it is deprecated. docs/design/runtime.md says why it is used
all the same and what a successor would cost, so that the warning is not shown
to operators.
"""

import errno
import gc
import os
import threading
import warnings
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

from ridgecourse.net.deferred import deferred

warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")

# All addresses are numbers; the resolver takes a quarter of a second to import.
os.environ["EVENTLET_NO_GREENDNS"] = "yes"

# Eventlet needs asyncio for a hub of that kind alone.
with deferred({"asyncio": ()}):
    import eventlet  # noqa: E402
from eventlet import patcher  # noqa: E402
from eventlet.green.thread import allocate_lock  # noqa: E402
from eventlet.greenio import base as greenio_base  # noqa: E402


@contextmanager
def direct_conversion() -> Iterator[None]:
    """Let ``eventlet.monkey_patch`` convert existing locks without a search.

    Eventlet looks for them through all that can be reached from any module, a third of
    the processor time of a start. A handful exists, and the collector knows who holds
    each.
    """
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


# Not subprocess: no program starts another one.
with direct_conversion():
    eventlet.monkey_patch(os=True, select=True, socket=True, thread=True, time=True)

# What the libraries import for files, forms, schemas, proxies, HTTP/2, compression,
# thread pools and pages of errors.
with deferred(
    {
        "concurrent.futures": (),
        "html": (),
        "importlib.metadata": ("version",),
        "json": (),
        "mimetypes": (),
        "msgspec._json_schema": ("schema", "schema_components"),
        "msgspec.inspect": (),
        "msgspec.toml": (),
        "msgspec.yaml": (),
        "shutil": (),
        "urllib.request": (),
        "urllib3.filepost": ("_TYPE_FIELDS", "encode_multipart_formdata"),
        "websockets.extensions.permessage_deflate": (
            "enable_client_permessage_deflate",
            "enable_server_permessage_deflate",
        ),
        "websockets.proxy": (
            "Proxy",
            "get_proxy",
            "parse_proxy",
            "prepare_connect_request",
        ),
    }
):
    import eventlet.wsgi  # noqa: E402
    import msgspec  # noqa: E402, F401
    import urllib3  # noqa: E402, F401
    import websockets.sync.client  # noqa: E402, F401
    import websockets.sync.server  # noqa: E402, F401

# Eventlet reads a reset connection as one that ended well. An answer without a
# length ends with its connection, so that a reset one would look whole.
greenio_base.SOCKET_CLOSED.discard(errno.ECONNRESET)
