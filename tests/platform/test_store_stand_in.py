"""The stand-in of the store keeps no process waiting that starts beside many others."""

from contextlib import ExitStack
from socket import create_connection

from ridgecourse.net.address import parse_address
from ridgecourse_standins.platform.store import StoreStandIn

CONNECTIONS = 40
CONNECT_SECONDS = 0.5


def test_connections_that_arrive_together_are_not_dropped() -> None:
    # A dropped one is tried again after 1 s, when a process has given up.
    store = StoreStandIn()
    with ExitStack() as connections:
        connections.callback(store.server.server_close)
        address = parse_address(store.address)
        for _ in range(CONNECTIONS):
            connection = create_connection(
                (address.host, address.port), CONNECT_SECONDS
            )
            connections.enter_context(connection)
