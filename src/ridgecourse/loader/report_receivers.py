"""Receivers of a loader's reports where distributors pass the reports on.

The loader reports to the distributors among the gateways that watch it, and for some
time to each gateway that asks for direct reports.
"""

from collections.abc import Collection, Iterator, Sequence

from msgspec import Struct

from ridgecourse.core.hubs import Peer
from ridgecourse.core.ids import DomainName, Seconds
from ridgecourse.core.load_distribution import (
    DIRECT_WATCHERS,
    REPEAT_SECONDS,
    choose_receivers,
)
from ridgecourse.core.load_requests import DIRECT_REPORT_SECONDS
from ridgecourse.core.report_rate import report_interval
from ridgecourse.net.address import Address, parse_address

DUE_SHARE = 0.9
"""Share of a receiver's interval after which a report is due: polls have the same
interval and are not exact to the millisecond."""


class Receiver(Struct):
    """A receiver of load reports.

    Attributes:
        address: Address that reports are sent to.
        near: Whether the receiver gets reports at the rate within a region.
        announced_at: When the last report was sent.
        change: Number of the load change that was reported last.
        until: When the receiver gets its last report; None if it has no end.
    """

    address: Address
    near: bool
    announced_at: float = 0.0
    change: int = -1
    until: Seconds | None = None

    def take_due(
        self, change: int, interval: float, unchanged_interval: float, now: Seconds
    ) -> bool:
        """Check whether a report is due; if so, record the report.

        Args:
            change: Number of the newest load change.
            interval: Shortest time between two reports, in seconds.
            unchanged_interval: The same while the load does not change.
            now: Current time.
        """
        interval = unchanged_interval if self.change == change else interval
        if now - self.announced_at < interval * DUE_SHARE:
            return False
        self.announced_at, self.change = now, change
        return True


def distributes(watching: int) -> bool:
    """Check whether distributors pass on the reports of a loader.

    Args:
        watching: Number of gateways that watch the loader.
    """
    return watching > DIRECT_WATCHERS


class DistributorReceivers:
    """The distributors that a loader reports to, and gateways that asked for reports.

    Attributes:
        distributors: The distributors; empty while the loader reports to each gateway.
        requesters: Receivers of direct reports, by address.
    """

    def __init__(self) -> None:
        self.distributors: list[Receiver] = []
        self.requesters: dict[Address, Receiver] = {}

    def is_active(self) -> bool:
        """Check whether distributors pass on the reports."""
        return bool(self.distributors)

    def choose(
        self, domain: DomainName, gateways: Collection[Peer], watching: int
    ) -> None:
        """Choose the distributors anew after gateways came or went.

        Args:
            domain: Failure domain of the loader.
            gateways: Watching gateways that can distribute loads.
            watching: Number of all watching gateways.
        """
        peers: Sequence[Peer] = ()
        near = True
        if distributes(watching):
            peers, near = choose_receivers(domain, gateways)
        known = {receiver.address: receiver for receiver in self.distributors}
        addresses = [parse_address(peer.control_address) for peer in peers]
        self.distributors = [
            known.get(address) or Receiver(address, near) for address in addresses
        ]
        if not self.distributors:
            self.requesters.clear()

    def add_requester(self, address: Address, near: bool, now: Seconds) -> None:
        """Record a gateway that asks for direct reports.

        Args:
            address: Address that it receives reports at.
            near: Whether it is in the loader's region.
            now: Current time.
        """
        if not self.is_active():
            return
        receiver = self.requesters.setdefault(address, Receiver(address, near))
        receiver.until = Seconds(now + DIRECT_REPORT_SECONDS)

    def due_distributors(self, change: int, now: Seconds) -> Iterator[Address]:
        """Yield the distributors whose report is due; record the reports."""
        for receiver in self.distributors:
            interval = report_interval(receiver.near, 0)
            if receiver.take_due(change, interval, REPEAT_SECONDS, now):
                yield receiver.address

    def due_requesters(self, change: int, now: Seconds) -> Iterator[Address]:
        """Yield the requesters whose report is due; record the reports."""
        if not self.requesters:
            return
        self.requesters = {
            address: receiver
            for address, receiver in self.requesters.items()
            if receiver.until is None or now <= receiver.until
        }
        far_count = sum(not receiver.near for receiver in self.requesters.values())
        for receiver in self.requesters.values():
            interval = report_interval(receiver.near, far_count)
            if receiver.take_due(change, interval, REPEAT_SECONDS, now):
                yield receiver.address
