"""Limits on clients: what a client exceeded when a server refused or closed it."""

from collections.abc import Callable
from enum import Enum


class ClientLimit(Enum):
    """The limit that a client has exceeded.

    HEAD_SIZE: The head is longer than ``ClientLimits.header_bytes``.
    HEAD_FIELDS: The head has more fields than the parser accepts.
    HEAD_TIME: The head was not complete within ``ClientLimits.header_seconds``.
    """

    HEAD_SIZE = "head-size"
    HEAD_FIELDS = "head-fields"
    HEAD_TIME = "head-time"

    @property
    def metric(self) -> str:
        """Name of the counter of clients that exceeded the limit."""
        return f"clients_limited_{self.value.replace('-', '_')}"


LimitObserver = Callable[[ClientLimit, str], None]
"""Called with the limit that a client exceeded, and further detail."""


def ignore_limit(limit: ClientLimit, detail: str) -> None:
    """Do nothing about a client that exceeded a limit."""
