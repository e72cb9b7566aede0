"""Refuses administration calls in JSON that have an unknown field.

The RPC library ignores unknown fields, so that a mistyped one in an operator's
script would pass without a word.
"""

from collections.abc import Callable, Iterable
from io import BytesIO
from json import JSONDecodeError, loads
from typing import Any

from msgspec.json import encode
from protobuf import DescMessage

from ridgecourse.wire.admin_connect import AdminSync

MAX_CALL_BYTES = 1024 * 1024


class StrictJson:
    """WSGI middleware round the administration API."""

    def __init__(self, app: Callable[..., Iterable[bytes]]) -> None:
        self.app = app
        self.inputs: dict[str, DescMessage] = {
            method.name: method.input for method in AdminSync.desc().methods
        }

    def __call__(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        """Answer a request, as WSGI has it."""
        content_type = environ.get("CONTENT_TYPE", "")
        if not content_type.startswith("application/json"):
            return self.app(environ, start_response)
        body = environ["wsgi.input"].read(MAX_CALL_BYTES + 1)
        fault = self.find_fault(environ.get("PATH_INFO", ""), body)
        if fault:
            return refuse(fault, start_response)
        environ["wsgi.input"] = BytesIO(body)
        environ["CONTENT_LENGTH"] = str(len(body))
        return self.app(environ, start_response)

    def find_fault(self, path: str, body: bytes) -> str:
        """Return what is wrong with a call's body, empty if nothing is."""
        if len(body) > MAX_CALL_BYTES:
            return f"over {MAX_CALL_BYTES} bytes"
        try:
            fields = loads(body or b"{}")
        except (JSONDecodeError, UnicodeDecodeError, RecursionError) as error:
            return f"no JSON: {error}"
        message = self.inputs.get(path.rpartition("/")[2])
        if message is None:
            return ""
        unknown = list(unknown_fields(message, fields, ""))
        return f"unknown field {', '.join(unknown)}" if unknown else ""


def unknown_fields(message: DescMessage, fields: Any, place: str) -> Iterable[str]:
    """Yield the names that a message type does not have, nested ones included."""
    if not isinstance(fields, dict):
        return
    known: dict[str, Any] = {}
    for field in message.fields:
        known[field.name] = field
        known[field.json_name] = field
    for name, value in fields.items():
        if name not in known:
            yield f"{place}{name}"
            continue
        nested = getattr(known[name].value, "message", None)
        if isinstance(nested, DescMessage) and isinstance(value, dict):
            yield from unknown_fields(nested, value, f"{place}{name}.")


def refuse(fault: str, start_response: Callable[..., Any]) -> Iterable[bytes]:
    """Answer as the RPC library answers an argument that does not fit."""
    body = encode({"code": "invalid_argument", "message": fault})
    headers = [
        ("Content-Type", "application/json"),
        ("Content-Length", str(len(body))),
    ]
    start_response("400 Bad Request", headers)
    return [body]
