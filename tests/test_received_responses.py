"""Cut responses, as the clients of tests receive them."""

import socket

import pytest
from answering_server import run_server
from gateway_site import receive_response

from ridgecourse.net.address import parse_address
from ridgecourse_standins.closed_loop import ClosedLoop

REQUEST = b"GET / HTTP/1.1\r\n\r\n"
WHOLE = [
    b"HTTP/1.1 200 OK\r\nServer-Limit: 16\r\nContent-Length: 02\r\n\r\nok",
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"02\r\nok\r\n000\r\nNote: x\r\n\r\n",
]


@pytest.mark.parametrize("whole", WHOLE)
def test_cut_response_is_not_taken_for_whole(whole: bytes) -> None:
    # Guards against tests that are blind to a response which the product cuts.
    with run_server() as server:
        address = parse_address(server.address)
        loop = ClosedLoop((address.host, address.port), lambda: REQUEST)
        for cut in range(len(whole) + 1):
            server.answer = whole[:cut]
            is_cut = cut < len(whole)
            with socket.create_connection((address.host, address.port)) as connection:
                connection.sendall(REQUEST)
                status, _, body, is_complete = receive_response(connection)
            assert is_complete is not is_cut, whole[:cut]
            is_head_cut = b"\r\n\r\n" not in whole[:cut]
            assert status == (0 if is_head_cut else 200), whole[:cut]
            assert is_cut or body == b"ok"
            with socket.create_connection((address.host, address.port)) as connection:
                reply = loop._exchange(connection, False)
            assert bool(reply.error) is is_cut, whole[:cut]
