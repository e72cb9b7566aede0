"""Reports of load in datagrams."""

import socket
from collections.abc import Iterator
from contextlib import closing

import eventlet
import pytest

from ridgecourse.core.engine_load import EngineStatus
from ridgecourse.core.ids import WeightsVersion
from ridgecourse.net.address import Address
from ridgecourse.net.datagrams import DatagramSocket
from ridgecourse.wire.control import EngineReport

STATUS = EngineStatus(WeightsVersion(1), False, 2, 3, 100, 1000, unread=0.25)


@pytest.fixture
def receiver() -> Iterator[DatagramSocket]:
    datagrams = DatagramSocket(Address("127.0.0.1", 0))
    datagrams.start()
    with closing(datagrams):
        yield datagrams


def test_what_is_no_report_is_passed_over(receiver) -> None:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as stranger:
        for data in (b"", b"x", b"\xa1\x64type\x63bad", bytes(1400)):
            stranger.sendto(data, receiver.address)
    sender = DatagramSocket(Address("127.0.0.1", 0))
    sender.start()
    with closing(sender):
        sender.send(EngineReport(STATUS, 7), iter([receiver.address]))
        with eventlet.Timeout(10):
            datagram = next(receiver.messages(EngineReport))
    assert datagram.message == EngineReport(STATUS, 7)
    assert datagram.host == "127.0.0.1"
    assert receiver.refused == 4


def test_a_receiver_that_is_gone_is_no_error(receiver) -> None:
    sender = DatagramSocket(Address("127.0.0.1", 0))
    sender.start()
    with closing(sender):
        gone = Address("127.0.0.1", 9)
        for number in range(3):
            addresses = iter([gone, receiver.address])
            sender.send(EngineReport(STATUS, number), addresses)
        with eventlet.Timeout(10):
            messages = receiver.messages(EngineReport)
            assert [next(messages).message.number for _ in range(3)] == [0, 1, 2]
