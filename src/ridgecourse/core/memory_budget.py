"""Limits what all clients of a process use together, and divides it among them.

What a single request may hold is limited elsewhere. Here the sum is, so that a crowd of
requests that are each within their limits cannot use up the memory of the instance. How
much it is follows from the instance, so that the same limits hold on each size.

A transfer that is slower than ``MIN_BYTES_PER_SECOND`` gives way once another request
needs its memory. Otherwise clients that never end their requests would hold all of the
budget, and every other request would be refused.
"""

from collections.abc import Callable
from math import inf

from msgspec import Struct

from ridgecourse.core.ids import Seconds

MEGABYTE = 1_000_000

MAX_CONNECTIONS = 2048
"""Most connections of clients, however large the instance is."""
MIN_CONNECTIONS = 64
DEFAULT_MEMORY_BYTES = 256 * MEGABYTE
"""Memory of an instance whose settings do not state it."""
DEFAULT_DESCRIPTORS = 4096
"""Descriptors of a process whose settings do not state them."""
FILE_DESCRIPTORS = 200
"""Descriptors that the platform keeps for files."""
OWN_DESCRIPTORS = 128
"""Descriptors for the store, other processes, health checks and probes."""
DESCRIPTORS_PER_REQUEST = 2
"""A request has a connection to its client and one to its target."""
REST_BYTES = 48 * MEGABYTE
"""Memory of a process of a large fleet that serves no client."""
HEADROOM_SHARE = 0.2
"""Share of the memory that the limits leave to what the heap does not give back."""
CONNECTION_BYTES = 24 * 1024
"""Memory of a connection without a request: its green thread and buffers."""
CONNECTION_SHARE = 0.5
"""Largest share of the memory beyond ``REST_BYTES`` for connections."""

MIN_BODIES = 3
"""Bodies of the largest size that the budget holds at least, of which the share for
small reservations leaves two."""

LARGE_BYTES = 128 * 1024
"""A reservation above this size is large."""
SMALL_SHARE = 0.25
"""Share of the budget that large reservations leave to the others."""
MIN_BYTES_PER_SECOND = 64 * 1024
"""Rate below which a transfer is slow."""
GRACE_SECONDS = Seconds(0.5)
"""How long a transfer may stand still before it is slow."""


class BudgetExceeded(Exception):
    """The memory for clients' requests is in use."""


class Reservation:
    """The memory held for the present request of one connection.

    Attributes:
        budget: The budget that the memory is part of.
        held_bytes: Bytes held.
        on_evict: Ends the transfer that is in progress; None while no transfer is, so
            that the reservation cannot be evicted.
        paid_until: Time up to which the transfer has kept the least rate.
        is_evicted: Whether the transfer was ended and the memory given to another
            request.
    """

    def __init__(self, budget: "MemoryBudget") -> None:
        self.budget = budget
        self.held_bytes = 0
        self.on_evict: Callable[[], None] | None = None
        self.paid_until = Seconds(inf)
        self.is_evicted = False

    def take(self, size: int, now: Seconds) -> None:
        """Reserve memory in addition to what is held.

        Args:
            size: Number of bytes.
            now: Current time.

        Raises:
            BudgetExceeded: The budget has no such memory left, or the reservation was
                evicted.
        """
        if self.is_evicted:
            raise BudgetExceeded("given to another request")
        self.budget.take(self, size, now)

    def begin_transfer(self, on_evict: Callable[[], None], now: Seconds) -> None:
        """Record that the client starts to send or to receive.

        Args:
            on_evict: Called if the transfer has to give way.
            now: Current time.
        """
        self.on_evict = on_evict
        self.paid_until = Seconds(now + GRACE_SECONDS)

    def record_progress(self, size: int, now: Seconds) -> None:
        """Record that a number of bytes have been sent or received."""
        paid_until = self.paid_until + size / MIN_BYTES_PER_SECOND
        self.paid_until = Seconds(min(paid_until, now + GRACE_SECONDS))

    def is_slow(self, now: Seconds) -> bool:
        """Check whether a transfer is in progress that has to give way."""
        return self.on_evict is not None and self.paid_until < now

    def evict(self) -> None:
        """End the transfer in progress and take all memory back."""
        on_evict = self.on_evict
        assert on_evict is not None
        self.budget.release(self)
        self.on_evict = None
        self.is_evicted = True
        on_evict()

    def end_transfer(self) -> None:
        """Record that the transfer is complete."""
        self.on_evict = None

    def give_back(self, size: int) -> None:
        """Give a part of the memory back, if it has not been given to another request.

        Args:
            size: Number of bytes.
        """
        self.budget.give_back(self, min(size, self.held_bytes))

    def release(self) -> None:
        """Give all memory back; the reservation may be used for another request."""
        self.budget.release(self)
        self.on_evict = None
        self.is_evicted = False


class MemoryBudget:
    """Memory for the requests of clients.

    Attributes:
        capacity_bytes: Size of the budget.
        used_bytes: Bytes that are reserved.
        reservations: Reservations that hold memory.
        none_slow_until: Time before which no transfer can be slow.
    """

    def __init__(self, capacity_bytes: int) -> None:
        self.capacity_bytes = capacity_bytes
        self.used_bytes = 0
        self.reservations: set[Reservation] = set()
        self.none_slow_until = Seconds(-inf)

    def take(self, reservation: Reservation, size: int, now: Seconds) -> None:
        """Add memory to a reservation, if necessary that of slow transfers.

        Raises:
            BudgetExceeded: Too little memory is left, and slow transfers do not hold
                enough.
        """
        limit_bytes = self.capacity_bytes
        if reservation.held_bytes + size > LARGE_BYTES:
            limit_bytes = int(self.capacity_bytes * (1 - SMALL_SHARE))
        missing_bytes = self.used_bytes + size - limit_bytes
        if missing_bytes > 0:
            self._evict(missing_bytes, reservation, now)
        self.used_bytes += size
        reservation.held_bytes += size
        self.reservations.add(reservation)

    def _evict(self, size: int, taker: Reservation, now: Seconds) -> None:
        """Evict slow transfers that hold a number of bytes, the slowest first."""
        victims = []
        found_bytes = 0
        for victim in self._slow_transfers(taker, now):
            victims.append(victim)
            found_bytes += victim.held_bytes
            if found_bytes >= size:
                break
        if found_bytes < size:
            raise BudgetExceeded(f"{size - found_bytes} bytes too few")
        for victim in victims:
            victim.evict()

    def _slow_transfers(self, taker: Reservation, now: Seconds) -> list[Reservation]:
        """Return the slow transfers other than the taker's, the slowest first."""
        if now < self.none_slow_until:
            return []
        transfers = [
            reservation
            for reservation in self.reservations
            if reservation.on_evict is not None and reservation is not taker
        ]
        transfers.sort(key=lambda transfer: transfer.paid_until)
        slow = [transfer for transfer in transfers if transfer.is_slow(now)]
        if not slow:
            # Later transfers have a grace time, and progress only delays the time.
            earliest = transfers[0].paid_until if transfers else inf
            self.none_slow_until = Seconds(min(earliest, now + GRACE_SECONDS))
        return slow

    def give_back(self, reservation: Reservation, size: int) -> None:
        """Take memory back that a reservation holds."""
        self.used_bytes -= size
        reservation.held_bytes -= size

    def release(self, reservation: Reservation) -> None:
        """Take all memory of a reservation back."""
        self.give_back(reservation, reservation.held_bytes)
        self.reservations.discard(reservation)


class Resources(Struct, frozen=True):
    """What one process may use of its instance.

    Attributes:
        memory_bytes: Memory in bytes.
        descriptors: Most open descriptors.
    """

    memory_bytes: float = DEFAULT_MEMORY_BYTES
    descriptors: int = DEFAULT_DESCRIPTORS


class ClientCapacity(Struct, frozen=True):
    """What the clients of a process may use together.

    Attributes:
        connections: Most open connections.
        request_bytes: Most bytes that all requests and answers in progress may hold.
    """

    connections: int
    request_bytes: int


def plan_capacity(resources: Resources, max_body_bytes: int) -> ClientCapacity:
    """Return what the clients of a process may use.

    Args:
        resources: What the process may use.
        max_body_bytes: Largest body that a client may send. There is always memory for
            two such bodies, so that a single request within the limits is served.
    """
    available_bytes = resources.memory_bytes * (1 - HEADROOM_SHARE)
    spare_bytes = int(max(0.0, available_bytes - REST_BYTES))
    sockets = resources.descriptors - FILE_DESCRIPTORS - OWN_DESCRIPTORS
    connections = min(
        MAX_CONNECTIONS,
        sockets // DESCRIPTORS_PER_REQUEST,
        int(spare_bytes * CONNECTION_SHARE) // CONNECTION_BYTES,
    )
    connections = max(MIN_CONNECTIONS, connections)
    request_bytes = spare_bytes - connections * CONNECTION_BYTES
    return ClientCapacity(connections, max(request_bytes, MIN_BODIES * max_body_bytes))
