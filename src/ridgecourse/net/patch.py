"""Applies eventlet's monkey patches; a program imports this module before others.

The patches make blocking calls cooperative. Eventlet warns that it is deprecated. The
module hides the warning from operators, since docs/design/runtime.md explains why
eventlet is used and what replacing it would cost.
"""

import errno
import gc
import os
import threading
import warnings
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

from ridgecourse.net.deferred import defer_imports

warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")

# All hosts are numeric, so that the resolver is not needed; its import takes 0.25 s.
os.environ["EVENTLET_NO_GREENDNS"] = "yes"

# Eventlet needs the first three modules only for hubs that are not used on Linux, and
# pkgutil to list its modules for the asyncio hub. The others are for the source lines
# and suggestions in tracebacks.
with defer_imports(
    {
        "asyncio": (),
        "eventlet.hubs.kqueue": (),
        "eventlet.hubs.selects": (),
        "pkgutil": (),
        "textwrap": (),
        "tokenize": (),
    }
):
    import eventlet  # noqa: E402
from eventlet import patcher  # noqa: E402
from eventlet.green.thread import allocate_lock  # noqa: E402
from eventlet.greenio import base as greenio_base  # noqa: E402


@contextmanager
def direct_lock_conversion() -> Iterator[None]:
    """Let ``eventlet.monkey_patch`` convert existing locks without its own traversal.

    Eventlet traverses all objects that are reachable from any module, which takes 1/3
    of the processor time of a start. Only a handful of locks exists, and the garbage
    collector can list the objects that refer to each lock.
    """
    original_conversion = patcher._green_existing_locks
    patcher._green_existing_locks = convert_locks
    try:
        yield
    finally:
        patcher._green_existing_locks = original_conversion


def convert_locks(lock_type: type) -> None:
    """Replace all locks of a type by cooperative locks, wherever they are referenced.

    Args:
        lock_type: Type of the interpreter's own reentrant lock. The owner of such a
            lock is a system thread. All green threads share that thread, so that the
            lock does not exclude any of them.
    """
    locks = [
        candidate for candidate in gc.get_objects() if type(candidate) is lock_type
    ]
    replacements = {id(lock): make_cooperative_lock() for lock in locks}
    for holder in gc.get_referrers(*locks):
        if holder is not locks:
            replace_values(holder, replacements)


def make_cooperative_lock() -> Any:
    """Return a reentrant lock that lets other green threads run while one waits."""
    lock = threading._PyRLock()  # type: ignore[attr-defined]
    lock._block = allocate_lock()
    return lock


def replace_values(holder: Any, replacements: dict[int, Any]) -> None:
    """Replace values of a dictionary, or of the attributes of an object.

    Args:
        holder: The dictionary or object.
        replacements: New values by the id of the value to replace.
    """
    if isinstance(holder, dict):
        for name, value in list(holder.items()):
            if id(value) in replacements:
                holder[name] = replacements[id(value)]
    elif hasattr(holder, "__dict__"):
        for name, value in list(vars(holder).items()):
            if id(value) in replacements:
                setattr(holder, name, replacements[id(value)])


# The subprocess module is not patched, because no program starts another one.
with direct_lock_conversion():
    eventlet.monkey_patch(os=True, select=True, socket=True, thread=True, time=True)

# Modules that the libraries import for features that no program uses: files, forms,
# schemas, mail addresses and bodies, proxies, HTTP/2, TLS in TLS, compression, thread
# pools, HTML error pages, encoded mail headers and tests of a library's own types.
with defer_imports(
    {
        # Before other modules of urllib3, whose placeholders import the package.
        "urllib3.http2.probe": (),
        "urllib3.http2": (),
        "concurrent.futures": (),
        "calendar": (),
        "email._encoded_words": ("decode_b",),
        "email._parseaddr": (
            "AddressList",
            "_parsedate_tz",
            "mktime_tz",
            "parsedate",
            "parsedate_tz",
            "quote",
        ),
        "email.base64mime": (),
        "email.encoders": ("encode_7or8bit",),
        "email.header": (),
        "email.iterators": ("walk",),
        "email.quoprimime": (),
        "html": (),
        "importlib.metadata": ("version",),
        "json": (),
        "mimetypes": (),
        "msgspec._json_schema": ("schema", "schema_components"),
        "msgspec.inspect": (),
        "msgspec.toml": (),
        "msgspec.yaml": (),
        "quopri": ("encodestring",),
        "returns.functions": ("compose", "identity"),
        "returns.primitives.asserts": ("assert_equal",),
        "shutil": (),
        "urllib.request": (),
        "urllib3.filepost": ("_TYPE_FIELDS", "encode_multipart_formdata"),
        "urllib3.util.ssltransport": ("SSLTransport",),
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
    import returns.result  # noqa: E402, F401
    import urllib3  # noqa: E402, F401
    import websockets.sync.client  # noqa: E402, F401
    import websockets.sync.server  # noqa: E402, F401

# Eventlet treats a reset connection as an orderly end. An answer without a length ends
# with its connection, so that a truncated answer would look complete.
greenio_base.SOCKET_CLOSED.discard(errno.ECONNRESET)
