"""Handshakes of control connections that are cut."""

import socket
from threading import Thread

import pytest
from websockets.utils import accept_key

from ridgecourse.net.websocket import ChannelClosed, open_channel

KEY_FIELD = b"Sec-WebSocket-Key: "


def receive_key(connection: socket.socket) -> str:
    """Read the request of a handshake and return its key."""
    received = b""
    while b"\r\n\r\n" not in received:
        received += connection.recv(4096)
    return received.partition(KEY_FIELD)[2].partition(b"\r\n")[0].decode()


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


class CuttingServer:
    """Sends the start of the answer to a handshake, then closes in order."""

    def __init__(self) -> None:
        self.cut: int | None = None
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.thread = Thread(target=self.run, daemon=True)
        self.thread.start()

    @property
    def address(self) -> str:
        host, port = self.listener.getsockname()
        return f"{host}:{port}"

    def run(self) -> None:
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            with connection:
                connection.sendall(make_answer(receive_key(connection))[: self.cut])
                connection.shutdown(socket.SHUT_WR)
                while connection.recv(4096):
                    pass


def test_cut_handshake_opens_no_channel() -> None:
    # Guards against a connection that counts as open behind a part of its head.
    server = CuttingServer()
    try:
        open_channel(server.address, "", keepalive=False).close()
        for cut in range(len(make_answer("x" * 24))):
            server.cut = cut
            with pytest.raises(ChannelClosed):
                open_channel(server.address, "", keepalive=False)
    finally:
        server.listener.shutdown(socket.SHUT_RDWR)
        server.listener.close()
