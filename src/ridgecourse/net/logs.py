"""Structured logs: one JSON object a line on standard error."""

import logging
import sys
from time import time

from msgspec.json import encode

from ridgecourse.core.ids import DomainName, ProcessName


class JsonFormatter(logging.Formatter):
    """Formats a log record as a JSON object with the process and its failure domain."""

    def __init__(self, process: ProcessName, domain: DomainName) -> None:
        super().__init__()
        self.process = process
        self.domain = domain

    def format(self, record: logging.LogRecord) -> str:
        """Return a log record as one line of JSON."""
        fields = {
            "wall": time(),
            "level": record.levelname.lower(),
            "process": self.process,
            "domain": self.domain,
            "logger": record.name,
            "message": record.getMessage(),
        }
        if record.exc_info:
            fields["traceback"] = self.formatException(record.exc_info)
        return encode(fields).decode()


def set_up_logging(process: ProcessName, domain: DomainName, level: str) -> None:
    """Send all logs of this process to standard error.

    Args:
        process: Name of the process.
        domain: Failure domain of the process.
        level: Name of the lowest level to log, in any case.
    """
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(JsonFormatter(process, domain))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())
    for library in ("urllib3", "websockets"):
        logging.getLogger(library).setLevel(logging.ERROR)
