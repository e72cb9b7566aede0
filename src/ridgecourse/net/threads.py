"""Green threads that must not die: a fault is logged and the work begun again."""

import logging
from collections.abc import Callable
from typing import Any

import eventlet
from eventlet.greenthread import GreenThread

logger = logging.getLogger(__name__)

RESTART_SECONDS = 1.0


def spawn_loop(work: Callable[..., Any], *arguments: Any) -> GreenThread:
    """Run work that has no end; after a fault it is begun again.

    Args:
        work: What to run.
        arguments: What to call it with.

    Returns:
        The green thread; its owner kills it when it closes.
    """
    return eventlet.spawn(_keep_running, work, arguments)


def _keep_running(work: Callable[..., Any], arguments: tuple[Any, ...]) -> None:
    while True:
        try:
            work(*arguments)
            return
        except Exception:
            logger.exception("%s failed and is begun again", work.__qualname__)
            eventlet.sleep(RESTART_SECONDS)
