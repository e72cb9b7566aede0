"""The stand-ins do not disturb the processes and tests that run beside them."""

from contextlib import ExitStack
from socket import create_connection

import pytest

from ridgecourse.net.address import parse_address
from ridgecourse_standins.platform.engine import EngineStandIn, send_response
from ridgecourse_standins.platform.store import StoreStandIn
from ridgecourse_standins.platform.weights import HttpStandIn
from ridgecourse_standins.ports import BLOCK_PORTS, process_block

CONNECTIONS = 40
CONNECT_SECONDS = 0.5


@pytest.mark.parametrize("make_stand_in", [StoreStandIn, HttpStandIn])
def test_connections_that_arrive_together_are_not_dropped(make_stand_in) -> None:
    # A dropped one is tried again after 1 s, when a process has given up.
    stand_in = make_stand_in()
    with ExitStack() as connections:
        connections.callback(stand_in.server.server_close)
        address = parse_address(stand_in.address)
        for _ in range(CONNECTIONS):
            connection = create_connection(
                (address.host, address.port), CONNECT_SECONDS
            )
            connections.enter_context(connection)


def test_a_stand_in_never_listens_where_one_of_another_test_process_did() -> None:
    # Gateways of the other test may still send requests to that address.
    stand_in = EngineStandIn(send_response)
    try:
        first_port = process_block().guard.getsockname()[1]
        port = parse_address(stand_in.address).port
        assert first_port < port < first_port + BLOCK_PORTS
    finally:
        stand_in.listener.close()
