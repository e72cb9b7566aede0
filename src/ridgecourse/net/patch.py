"""Makes blocking calls cooperative; imported before anything else by a program.

Eventlet warns that it is deprecated. docs/design/runtime.md says why it is used
all the same and what a successor would cost, so that the warning is not shown
to operators.
"""

import errno
import warnings

warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")

import eventlet  # noqa: E402
from eventlet.greenio import base as greenio_base  # noqa: E402

eventlet.monkey_patch()

# Eventlet reads a reset connection as one that ended well. An answer without a
# length ends with its connection, so that a reset one would look whole.
greenio_base.SOCKET_CLOSED.discard(errno.ECONNRESET)
