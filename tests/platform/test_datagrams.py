"""Reports of load in datagrams."""

import socket
from collections.abc import Iterator
from contextlib import closing
from threading import Thread
from time import monotonic, sleep

import eventlet
import pytest

from ridgecourse.core.engine_load import EngineStatus
from ridgecourse.core.ids import WeightsVersion
from ridgecourse.net.address import Address
from ridgecourse.net.datagrams import DatagramSocket
from ridgecourse.wire.codec import encode_message
from ridgecourse.wire.control import EngineReport

SENT_PER_SECOND = 240
SENT = 240
TURNS_PER_SECOND = 80
"""Of the event loop, with some to spare over the 50 that gathering makes."""
STATUS = EngineStatus(WeightsVersion(1), False, 2, 3, 100, 1000, prefill_backlog=0.25)


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
    assert receiver.rejected == 4


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


def test_reports_that_come_close_together_are_taken_in_together(
    receiver, monkeypatch
) -> None:
    """240 reports a second, as 12 engines send them, cost 50 wake-ups a second.

    One for each report took a gateway 1.4 s of 2.0 s of processor a minute.
    """
    begun = monotonic()
    turns = count_turns(monkeypatch)
    sender = Thread(target=send_steadily, args=(receiver.address,), daemon=True)
    sender.start()
    with eventlet.Timeout(20):
        messages = receiver.messages(EngineReport)
        numbers = [next(messages).message.number for _ in range(SENT)]
    passed = monotonic() - begun
    assert numbers == list(range(SENT))
    assert len(turns) <= TURNS_PER_SECOND * passed


def count_turns(monkeypatch) -> list[float]:
    """Return a list that grows each time the event loop asks what there is."""
    hub = eventlet.hubs.get_hub()
    wait, turns = hub.wait, []

    def note(seconds=None) -> None:
        turns.append(monotonic())
        wait(seconds)

    monkeypatch.setattr(hub, "wait", note)
    return turns


def send_steadily(address: Address) -> None:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        for number in range(SENT):
            sender.sendto(encode_message(EngineReport(STATUS, number)), address)
            sleep(1 / SENT_PER_SECOND)
