"""Makes blocking calls cooperative; imported before anything else by a program.

Eventlet warns that it is deprecated. docs/design/runtime.md says why it is used
all the same and what a successor would cost, so that the warning is not shown
to operators.
"""

import errno
import os
import warnings

from ridgecourse.net.deferred import deferred

warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")

# All addresses are numbers; the resolver takes a quarter of a second to import.
os.environ["EVENTLET_NO_GREENDNS"] = "yes"

# Eventlet needs asyncio for a hub of that kind alone.
with deferred({"asyncio": ()}):
    import eventlet  # noqa: E402
from eventlet.greenio import base as greenio_base  # noqa: E402

from ridgecourse.net.existing_locks import direct_conversion  # noqa: E402

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
