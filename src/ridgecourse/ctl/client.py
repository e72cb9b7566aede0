"""Client of the administration API, which every entry serves over HTTP."""

from typing import Any, TypeVar

from msgspec import DecodeError
from msgspec.json import decode
from protobuf import Message
from returns.result import Failure, Result, Success

from ridgecourse.net.http_client import ExchangeFailed, HttpClient, NoConnection
from ridgecourse.wire import admin_pb as pb

SERVICE_PATH = "/ridgecourse.wire.Admin/"
CALL_GRACE_SECONDS = 5.0
"""Time added to a call's deadline before the HTTP request times out."""
ReplyT = TypeVar("ReplyT", bound=Message[Any])


class CallFailure(Exception):
    """A call that failed or received no reply.

    Attributes:
        maybe_executed: Whether the entry may have received and executed the call.
    """

    def __init__(self, message: str, maybe_executed: bool) -> None:
        super().__init__(message)
        self.maybe_executed = maybe_executed


class AdminClient:
    """Calls the administration API of one entry.

    Attributes:
        address: HOST:PORT of the entry.
        token: The operator's bearer token.
        http: HTTP client that carries the calls.
    """

    def __init__(self, address: str, token: str) -> None:
        self.address = address
        self.token = token
        self.http = HttpClient(connect_seconds=3.0)

    def call(
        self,
        method: str,
        request: Message[Any],
        reply_type: type[ReplyT],
        timeout: float = 10.0,
    ) -> Result[ReplyT, CallFailure]:
        """Call a method and return its reply or the failure.

        Args:
            method: Name of the method in the schema.
            request: Request message.
            reply_type: Type of the reply message.
            timeout: Time allowed for the call, in seconds; the HTTP request times out
                ``CALL_GRACE_SECONDS`` later.
        """
        headers = {
            "Content-Type": "application/proto",
            "Authorization": f"Bearer {self.token}",
        }
        try:
            status, data, _ = self.http.fetch(
                "POST",
                self.address,
                f"{SERVICE_PATH}{method}",
                request.to_binary(),
                headers,
                timeout + CALL_GRACE_SECONDS,
            )
        except NoConnection as error:
            return Failure(CallFailure(f"no connection: {error}", maybe_executed=False))
        except ExchangeFailed as error:
            return Failure(CallFailure(f"no reply: {error}", maybe_executed=True))
        if status != 200:
            return Failure(
                CallFailure(describe_error(status, data), maybe_executed=False)
            )
        return Success(reply_type.from_binary(data))

    def change(
        self, method: str, request: Message[Any], timeout: float
    ) -> Result[pb.ChangeReply, CallFailure]:
        """Call a method that changes the configuration."""
        return self.call(method, request, pb.ChangeReply, timeout)


def describe_error(status: int, data: bytes) -> str:
    """Return the code and message of an error reply, or else the HTTP status."""
    try:
        fields = decode(data)
        return f"{fields['code']}: {fields.get('message', '')}"
    except (DecodeError, KeyError, TypeError):
        return f"status {status}"
