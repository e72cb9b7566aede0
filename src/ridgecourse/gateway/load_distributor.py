"""Passes loads on to other gateways while this gateway is a distributor.

Every gateway has a distributor object. It works only while loaders or distributors of
other domains send loads for distribution to this gateway.
"""

from collections.abc import Callable, Collection, Iterable, Iterator, Sequence

import eventlet
from msgspec import Struct

from ridgecourse.core.hubs import Peer
from ridgecourse.core.ids import Seconds
from ridgecourse.core.load_distribution import (
    DISTRIBUTORS_PER_DOMAIN,
    DOMAIN_INTERVAL_SECONDS,
    ELSEWHERE_INTERVAL_SECONDS,
    KEEPALIVE_SECONDS,
    DistributedLoad,
    HeldLoad,
    LoadDestination,
    LoadDistribution,
    rank_distributors,
)
from ridgecourse.core.target_list import ListedTarget
from ridgecourse.net.address import Address, parse_address
from ridgecourse.net.clock import boottime
from ridgecourse.net.datagrams import MAX_DATAGRAM_BYTES, DatagramSocket
from ridgecourse.net.events import EventKind, EventStream
from ridgecourse.net.threads import Broadcast, spawn_loop
from ridgecourse.wire.codec import encode_packed
from ridgecourse.wire.control import DistributableReport, LoadBatch

ROUTES_SECONDS = 0.2
"""Time for which the ranking of the gateways is kept. The loss of a gateway takes
seconds to be noticed anyway."""
IDLE_SECONDS = 2.0
"""Time without loads for distribution after which the distributor rests."""
STANDBY_GATEWAYS = 2
"""Gateways next in rank to which the first distributor sends keepalives: the second
one, and the one that gateways which know other gateways regard as the second."""
BATCH_HEADER_BYTES = 8
"""Upper bound of the bytes of a batch without its loads."""


class Routes(Struct):
    """Where a distributor sends loads.

    Attributes:
        rank: Rank of the local gateway among the gateways of its domain.
        ranks: Rank of each other gateway of the domain, by host.
        first: Name of the first gateway of the domain.
        domain: Addresses of the other gateways of the domain, by rank.
        elsewhere: Addresses of the distributors of the other domains.
        made_at: When the routes were computed.
    """

    rank: int
    ranks: dict[str, int]
    first: str
    domain: list[Address]
    elsewhere: list[Address]
    made_at: Seconds


def make_routes(local: Peer, known: Collection[Peer], now: Seconds) -> Routes:
    """Compute where a distributor sends loads.

    Args:
        local: The local gateway.
        known: The other known gateways.
        now: Current time.
    """
    others = [peer for peer in known if peer.name != local.name]
    ranked = rank_distributors([*others, local])
    in_domain = ranked[local.domain]
    addresses = [parse_address(peer.control_address) for peer in in_domain]
    rank = in_domain.index(local)
    return Routes(
        rank=rank,
        ranks={address.host: number for number, address in enumerate(addresses)},
        first=in_domain[0].name,
        domain=[address for number, address in enumerate(addresses) if number != rank],
        elsewhere=[
            parse_address(peer.control_address)
            for domain, peers in ranked.items()
            if domain != local.domain
            for peer in peers[:DISTRIBUTORS_PER_DOMAIN]
        ],
        made_at=now,
    )


class LoadDistributor:
    """Distributes the loads that loaders and other distributors send to this gateway.

    Attributes:
        local: The local gateway.
        known: Returns the other known gateways.
        socket: Socket that loads are sent from.
        events: Receives events and metrics.
        distribution: The held loads, and which of them are due.
        routes: Where loads are sent; None if they must be computed.
        received_at: When a load for distribution last arrived.
        sent_at: When a message was last sent, by destination.
        is_standing_in: Whether this gateway sends in place of the first distributor.
        work: Notified when a load for distribution arrives.
        thread: Thread that sends due loads; None if not started or withdrawn.
    """

    def __init__(
        self,
        local: Peer,
        known: Callable[[], Collection[Peer]],
        socket: DatagramSocket,
        events: EventStream,
    ) -> None:
        self.local = local
        self.known = known
        self.socket = socket
        self.events = events
        self.distribution = LoadDistribution(boottime())
        self.routes: Routes | None = None
        self.received_at = 0.0
        self.sent_at = dict.fromkeys(LoadDestination, 0.0)
        self.is_standing_in = False
        self.work = Broadcast()
        self.thread: eventlet.greenthread.GreenThread | None = None

    def start(self) -> None:
        """Start to send due loads."""
        self.thread = spawn_loop(self._run)

    def close(self) -> None:
        """Stop sending, also when other gateways take over from this one."""
        if self.thread is not None:
            self.thread.kill()
            self.thread = None

    def is_working(self, now: Seconds) -> bool:
        """Check whether this gateway has recently received loads for distribution."""
        return now - self.received_at <= IDLE_SECONDS

    def record_report(
        self, target: ListedTarget, report: DistributableReport, reported_at: Seconds
    ) -> None:
        """Record a loader's report.

        Args:
            target: The engine beside the loader.
            report: The report.
            reported_at: When the report arrived.
        """
        # A loader in a domain without gateways reports to all other domains itself.
        is_local = target.domain == self.local.domain
        destinations = LoadDestination if is_local else (LoadDestination.DOMAIN,)
        load = HeldLoad(report.number, reported_at, report.status)
        now = self._begin_work()
        self.distribution.record_load(target.target, load, destinations, now)

    def record_batch(self, host: str, batch: LoadBatch, received_at: Seconds) -> None:
        """Record loads that another distributor sent.

        Args:
            host: Host of the sender.
            batch: The loads.
            received_at: When they arrived.
        """
        if batch.from_elsewhere:
            now = self._begin_work()
        elif not self.is_working(now := boottime()):
            return
        else:
            self._record_distributor(host, now)
        for load in batch.loads:
            held = HeldLoad(load.number, load.reported_at(received_at), load.status)
            if batch.from_elsewhere:
                destinations = (LoadDestination.DOMAIN,)
                self.distribution.record_load(load.target, held, destinations, now)
            else:
                self.distribution.record_sent(load.target, held, now)

    def _record_distributor(self, host: str, now: Seconds) -> None:
        """Record a message of a distributor of the domain."""
        routes = self._current_routes(now)
        if routes.ranks.get(host, routes.rank) < routes.rank:
            self.distribution.heard_at = now

    def _begin_work(self) -> Seconds:
        """Record that a load for distribution arrived; return the current time."""
        now = boottime()
        if not self.is_working(now):
            self.distribution.heard_at = now
            self.work.notify()
        self.received_at = now
        return now

    def _run(self) -> None:
        while True:
            if not self.is_working(boottime()):
                self.work.wait()
            self._send_due(boottime())
            eventlet.sleep(DOMAIN_INTERVAL_SECONDS)

    def _current_routes(self, now: Seconds) -> Routes:
        if self.routes is None or now - self.routes.made_at > ROUTES_SECONDS:
            self.routes = make_routes(self.local, self.known(), now)
            self.distribution.forget_outdated(now)
        return self.routes

    def _send_due(self, now: Seconds) -> None:
        """Send the loads that are due, or a keepalive."""
        routes = self._current_routes(now)
        stands_in = self.distribution.has_taken_over(routes.rank, now)
        if stands_in != self.is_standing_in:
            self._record_takeover(stands_in, routes)
        sends_all = stands_in or routes.rank == 0
        self._send_to(LoadDestination.DOMAIN, routes.domain, sends_all, now)
        since_elsewhere = now - self.sent_at[LoadDestination.ELSEWHERE]
        if since_elsewhere >= ELSEWHERE_INTERVAL_SECONDS - DOMAIN_INTERVAL_SECONDS / 2:
            self._send_to(LoadDestination.ELSEWHERE, routes.elsewhere, sends_all, now)
        if (
            sends_all
            and now - self.sent_at[LoadDestination.DOMAIN] >= KEEPALIVE_SECONDS
        ):
            self._send([LoadBatch(False, [])], routes.domain[:STANDBY_GATEWAYS])
            self.sent_at[LoadDestination.DOMAIN] = now

    def _send_to(
        self,
        destination: LoadDestination,
        addresses: Sequence[Address],
        sends_all: bool,
        now: Seconds,
    ) -> None:
        loads = self.distribution.take_due(destination, sends_all, now)
        if loads:
            is_elsewhere = destination is LoadDestination.ELSEWHERE
            self._send(split_into_batches(loads, is_elsewhere), addresses)
            self.sent_at[destination] = now

    def _send(self, batches: Iterable[LoadBatch], addresses: Sequence[Address]) -> None:
        for batch in batches:
            self.socket.send(batch, iter(addresses))

    def _record_takeover(self, stands_in: bool, routes: Routes) -> None:
        self.is_standing_in = stands_in
        if stands_in:
            self.events.metrics.count("load_takeovers")
        self.events.emit(
            EventKind.LOADS_TAKEN_OVER if stands_in else EventKind.LOADS_HANDED_BACK,
            peer=routes.first,
        )


def split_into_batches(
    loads: Iterable[DistributedLoad], is_elsewhere: bool
) -> Iterator[LoadBatch]:
    """Yield the loads in batches that each fit into a datagram.

    Args:
        loads: The loads.
        is_elsewhere: Whether the receiver is in another domain.
    """
    batch: list[DistributedLoad] = []
    size = BATCH_HEADER_BYTES
    for load in loads:
        length = len(encode_packed(load))
        if batch and size + length > MAX_DATAGRAM_BYTES:
            yield LoadBatch(is_elsewhere, batch)
            batch, size = [], BATCH_HEADER_BYTES
        if BATCH_HEADER_BYTES + length <= MAX_DATAGRAM_BYTES:
            batch.append(load)
            size += length
    if batch:
        yield LoadBatch(is_elsewhere, batch)
