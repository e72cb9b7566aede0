"""Handshakes of control connections that are cut."""

import socket
from contextlib import closing

import pytest
from answering_server import ClosingServer, end_in_order, receive_head
from websockets.utils import accept_key

from ridgecourse.net.websocket import ChannelClosed, open_channel

KEY_FIELD = b"Sec-WebSocket-Key: "


def make_answer(key: str) -> bytes:
    lines = [
        "HTTP/1.1 101 Switching Protocols",
        "Upgrade: websocket",
        "Connection: Upgrade",
        f"Sec-WebSocket-Accept: {accept_key(key)}",
        "",
        "",
    ]
    return "\r\n".join(lines).encode()


class CuttingServer(ClosingServer):
    """Sends the start of the answer to a handshake, then closes in order.

    Attributes:
        cut: Number of bytes that are sent; None for all.
    """

    def __init__(self) -> None:
        super().__init__()
        self.cut: int | None = None

    def serve(self, connection: socket.socket) -> None:
        """Answer a handshake."""
        key_line = receive_head(connection).partition(KEY_FIELD)[2]
        key = key_line.partition(b"\r\n")[0].decode()
        connection.sendall(make_answer(key)[: self.cut])
        end_in_order(connection)


def test_cut_handshake_opens_no_channel() -> None:
    # Guards against a connection that counts as open behind a part of its head.
    with closing(CuttingServer()) as server:
        server.start()
        open_channel(server.address, "", keepalive=False).close()
        for cut in range(len(make_answer("x" * 24))):
            server.cut = cut
            with pytest.raises(ChannelClosed):
                open_channel(server.address, "", keepalive=False)
