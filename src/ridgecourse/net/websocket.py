"""Control connections between processes: typed CBOR messages over websockets."""

import logging
from collections.abc import Callable, Iterator
from contextlib import suppress
from typing import Any

import eventlet
from returns.result import Failure, Result
from websockets.exceptions import ConnectionClosed, InvalidHandshake, InvalidURI
from websockets.sync.client import connect
from websockets.sync.connection import Connection
from websockets.sync.server import ServerConnection, serve

from ridgecourse.net.address import Address
from ridgecourse.net.auth import AUTH_HEADER, sign_request, verify_request
from ridgecourse.net.threads import kill_threads, spawn_loop
from ridgecourse.wire.codec import DecodeFailure, decode_message, encode_message
from ridgecourse.wire.control import MAX_CONTROL_BYTES, ControlMessage

logger = logging.getLogger(__name__)

CONTROL_PATH = "/control"
KEEPALIVE_SECONDS = 5.0
OPEN_TIMEOUT_SECONDS = 2.0


class ChannelClosed(Exception):
    """The connection has ended, or received an invalid message."""


class ControlChannel:
    """One control connection.

    Attributes:
        connection: The websocket.
        sent_bytes: Bytes of messages sent since the counter was last reset.
        received_bytes: Bytes of messages received since the counter was last reset.
        pong: Event that is set by the answer to the last ping; None before the first.
    """

    def __init__(self, connection: Connection) -> None:
        self.connection = connection
        self.sent_bytes = 0
        self.received_bytes = 0
        self.pong: Any = None

    def ping(self) -> bool:
        """Send a ping; return whether the other end has answered the last one.

        Raises:
            ChannelClosed: The connection has ended.
        """
        if self.pong is not None and not self.pong.is_set():
            return False
        try:
            self.pong = self.connection.ping(ack_on_close=True)
        except (ConnectionClosed, OSError) as error:
            raise ChannelClosed(str(error)) from error
        return True

    def send(self, message: ControlMessage) -> None:
        """Send a message.

        Raises:
            ChannelClosed: The connection has ended.
        """
        data = encode_message(message)
        self.sent_bytes += len(data)
        try:
            self.connection.send(data)
        except (ConnectionClosed, OSError) as error:
            raise ChannelClosed(str(error)) from error

    def receive(self, expected: Any, timeout: float | None = None) -> Any:
        """Return the next message, or None after a timeout.

        Args:
            expected: The message class, or a union of them.
            timeout: Longest wait in seconds; None for no limit.

        Raises:
            ChannelClosed: The connection has ended, or the received message is not
                of an expected type. In the latter case the channel is closed.
        """
        try:
            data = self.connection.recv(timeout)
        except TimeoutError:
            return None
        except (ConnectionClosed, OSError) as error:
            raise ChannelClosed(str(error)) from error
        self.received_bytes += len(data)
        decoded = self.decode(data, expected)
        if isinstance(decoded, Failure):
            self.close()
            raise ChannelClosed(f"bad message: {decoded.failure()}")
        return decoded.unwrap()

    def decode(self, data: bytes | str, expected: Any) -> Result[Any, DecodeFailure]:
        """Decode received data; a text frame is not a valid message."""
        if isinstance(data, str):
            return Failure(DecodeFailure("text, expected CBOR"))
        return decode_message(data, expected)

    def messages(self, expected: Any) -> Iterator[Any]:
        """Yield messages until the connection ends.

        Raises:
            ChannelClosed: The connection has ended; see ``receive``.
        """
        while True:
            yield self.receive(expected)

    def close(self) -> None:
        """Close the connection, waiting at most 0.2 s for the peer."""
        with suppress(Exception):
            self.connection.close_timeout = 0.2
            self.connection.close()


def open_channel(
    address: str, key: str, source: str | None = None, keepalive: bool = True
) -> ControlChannel:
    """Connect to the control server of a process.

    Args:
        address: HOST:PORT.
        key: The key shared by the processes of the system; may be empty.
        source: Local address to connect from; None for any.
        keepalive: Whether to send pings. A caller that limits its wait for each message
            does not need them; the server sends its own.

    Raises:
        ChannelClosed: The connection could not be opened, or the server refused it.
    """
    header = sign_request(key, "GET", CONTROL_PATH)
    try:
        connection = connect(
            f"ws://{address}{CONTROL_PATH}",
            additional_headers={AUTH_HEADER: header},
            open_timeout=OPEN_TIMEOUT_SECONDS,
            ping_interval=KEEPALIVE_SECONDS if keepalive else None,
            ping_timeout=KEEPALIVE_SECONDS,
            close_timeout=0.5,
            max_size=MAX_CONTROL_BYTES,
            compression=None,
            proxy=None,
            source_address=None if source is None else (source, 0),
        )
    except (OSError, InvalidHandshake, InvalidURI, ConnectionClosed, EOFError) as error:
        raise ChannelClosed(f"{address}: {error}") from error
    return ControlChannel(connection)


class ControlServer:
    """Accepts control connections.

    Attributes:
        address: Address to listen on; after ``start`` with the port that the system
            has assigned.
        key: The key shared by the processes of the system.
        handler: Called in a green thread for each accepted connection.
        refused: Number of connections refused for lack of a valid signature.
        channels: Open connections.
        threads: Threads that accept connections and send pings.
    """

    def __init__(
        self, address: Address, key: str, handler: Callable[[ControlChannel], None]
    ) -> None:
        self.address = address
        self.key = key
        self.handler = handler
        self.refused = 0
        self.channels: set[ControlChannel] = set()
        self.server: Any = None
        self.threads: list[eventlet.greenthread.GreenThread] = []

    def start(self) -> None:
        """Listen and start accepting connections.

        Raises:
            OSError: The server cannot listen on the address.
        """
        self.server = serve(
            self._handle_connection,
            self.address.host,
            self.address.port,
            process_request=self._authenticate,
            open_timeout=OPEN_TIMEOUT_SECONDS,
            ping_interval=None,
            close_timeout=0.5,
            max_size=MAX_CONTROL_BYTES,
            compression=None,
        )
        self.address = Address(*self.server.socket.getsockname()[:2])
        self.threads.append(eventlet.spawn(self.server.serve_forever))
        self.threads.append(spawn_loop(self._send_pings))

    def _send_pings(self) -> None:
        while True:
            eventlet.sleep(KEEPALIVE_SECONDS)
            self.ping_channels()

    def ping_channels(self) -> None:
        """Ping all connections, and close those that have not answered the last ping.

        The library's own keepalive needs a thread for each connection, each of which
        looks up the current thread among all threads for every ping.
        """
        for channel in list(self.channels):
            try:
                is_alive = channel.ping()
            except ChannelClosed:
                # The handler of the channel notices that as well.
                continue
            if not is_alive:
                eventlet.spawn(channel.close)

    def _authenticate(self, connection: ServerConnection, request: Any) -> Any:
        header = request.headers.get(AUTH_HEADER, "")
        if verify_request(self.key, header, "GET", request.path):
            return None
        self.refused += 1
        return connection.respond(401, "no valid proof of the shared key\n")

    def _handle_connection(self, connection: ServerConnection) -> None:
        channel = ControlChannel(connection)
        self.channels.add(channel)
        try:
            self.handler(channel)
        except ChannelClosed as error:
            logger.debug("control connection ended: %s", error)
        finally:
            self.channels.discard(channel)
            channel.close()

    def close(self) -> None:
        """Stop listening and close all connections."""
        if self.server is not None:
            self.server.shutdown()
        for channel in list(self.channels):
            channel.close()
        kill_threads(self.threads)
