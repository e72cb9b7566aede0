"""The administration API as ``ridgecourse-ctl`` calls it."""

from typing import Any, TypeVar

from msgspec import DecodeError
from msgspec.json import decode
from protobuf import Message
from returns.result import Failure, Result, Success

from ridgecourse.net.http_client import ExchangeFailed, HttpClient, NoConnection
from ridgecourse.wire import admin_pb as pb

SERVICE_PATH = "/ridgecourse.wire.Admin/"
CALL_GRACE_SECONDS = 5.0
ReplyT = TypeVar("ReplyT", bound=Message[Any])


class CallFailure(Exception):
    """A call that got no reply.

    Attributes:
        sent: Whether the entry may have received it.
    """

    def __init__(self, message: str, sent: bool) -> None:
        super().__init__(message)
        self.sent = sent


class AdminClient:
    """Calls the administration API of one entry."""

    def __init__(self, address: str, token: str) -> None:
        self.address = address
        self.token = token
        self.http = HttpClient(connect_seconds=3.0)

    def call(
        self,
        method: str,
        request: Message[Any],
        reply: type[ReplyT],
        seconds: float = 10.0,
    ) -> Result[ReplyT, CallFailure]:
        """Make a call.

        Args:
            method: Name in the schema.
            request: Its argument.
            reply: Its reply's type.
            seconds: Longest wait for the reply.
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
                seconds + CALL_GRACE_SECONDS,
            )
        except NoConnection as error:
            return Failure(CallFailure(f"no connection: {error}", sent=False))
        except ExchangeFailed as error:
            return Failure(CallFailure(f"no reply: {error}", sent=True))
        if status != 200:
            return Failure(CallFailure(describe_error(status, data), sent=False))
        return Success(reply.from_binary(data))

    def change(
        self, method: str, request: Message[Any], seconds: float
    ) -> Result[pb.ChangeReply, CallFailure]:
        """Make a call that changes the configuration."""
        return self.call(method, request, pb.ChangeReply, seconds)


def describe_error(status: int, data: bytes) -> str:
    """Return an error reply as text."""
    try:
        fields = decode(data)
        return f"{fields['code']}: {fields.get('message', '')}"
    except (DecodeError, KeyError, TypeError):
        return f"status {status}"
