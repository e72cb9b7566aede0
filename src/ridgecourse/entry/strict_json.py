"""Rejects JSON administration calls that have an unknown field.

The RPC library ignores unknown fields, so a mistyped field name in an operator's
script would go unnoticed.
"""

from collections.abc import Callable, Iterable
from io import BytesIO
from json import JSONDecodeError, loads
from typing import Any

from msgspec.json import encode
from protobuf import DescMessage

from ridgecourse.wire.admin_connect import AdminSync

MAX_CALL_BYTES = 1024 * 1024


class StrictJsonMiddleware:
    """WSGI middleware that checks calls before the administration API runs."""

    def __init__(self, app: Callable[..., Iterable[bytes]]) -> None:
        self.app = app
        self.request_types: dict[str, DescMessage] = {
            method.name: method.input for method in AdminSync.desc().methods
        }

    def __call__(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        """Answer a request as a WSGI application."""
        content_type = environ.get("CONTENT_TYPE", "")
        if not content_type.startswith("application/json"):
            return self.app(environ, start_response)
        body = environ["wsgi.input"].read(MAX_CALL_BYTES + 1)
        problem = self.find_problem(environ.get("PATH_INFO", ""), body)
        if problem:
            return respond_invalid_argument(problem, start_response)
        environ["wsgi.input"] = BytesIO(body)
        environ["CONTENT_LENGTH"] = str(len(body))
        return self.app(environ, start_response)

    def find_problem(self, path: str, body: bytes) -> str:
        """Return the problem in a call's body; empty if the body is valid."""
        if len(body) > MAX_CALL_BYTES:
            return f"over {MAX_CALL_BYTES} bytes"
        try:
            fields = loads(body or b"{}")
        except (JSONDecodeError, UnicodeDecodeError, RecursionError) as error:
            return f"no JSON: {error}"
        message = self.request_types.get(path.rpartition("/")[2])
        if message is None:
            return ""
        unknown = list(unknown_fields(message, fields, ""))
        return f"unknown field {', '.join(unknown)}" if unknown else ""


def unknown_fields(
    message: DescMessage, fields: Any, parent_path: str
) -> Iterable[str]:
    """Yield the names of fields, nested ones included, that a message type lacks."""
    if not isinstance(fields, dict):
        return
    known_fields: dict[str, Any] = {}
    for field in message.fields:
        known_fields[field.name] = field
        known_fields[field.json_name] = field
    for name, value in fields.items():
        if name not in known_fields:
            yield f"{parent_path}{name}"
            continue
        nested = getattr(known_fields[name].value, "message", None)
        if isinstance(nested, DescMessage) and isinstance(value, dict):
            yield from unknown_fields(nested, value, f"{parent_path}{name}.")


def respond_invalid_argument(
    problem: str, start_response: Callable[..., Any]
) -> Iterable[bytes]:
    """Answer as the RPC library answers an invalid argument."""
    body = encode({"code": "invalid_argument", "message": problem})
    headers = [
        ("Content-Type", "application/json"),
        ("Content-Length", str(len(body))),
    ]
    start_response("400 Bad Request", headers)
    return [body]
