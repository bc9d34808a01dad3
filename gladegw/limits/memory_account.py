"""The account of the memory that this process holds for its peers, and the room that is left for them."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from enum import Enum, IntEnum

# Of the bytes that are free: what one more connection may hold. With n connections that want more, each gets
# capacity / (1 / ALLOWANCE_FRACTION + n), so that their sum stays under the capacity.
ALLOWANCE_FRACTION = 1 / 16
MIN_ALLOWANCE_BYTES = 1536  # a usual request, also while nothing is free
CONNECTION_BYTES = 5 * 1024  # for the objects of a connection of either side
# The objects of one request from its head to its end: downstream, in the driver, the decisions, the exchange.
REQUEST_OBJECTS_BYTES = 3 * 1024
CLIENT_BYTES = CONNECTION_BYTES + REQUEST_OBJECTS_BYTES + MIN_ALLOWANCE_BYTES
MIN_SERVERS_PER_CLIENT = 1 / 3  # connections to servers for each of a client, where memory limits both
RESERVE_BYTES = 1_700_000  # for what is bounded by itself: queues of lines, tables of names, the decisions
UNUSED_LIMIT_FRACTION = 1 / 20  # of the limit
MIN_CAPACITY_BYTES = 2_000_000  # below it, only the usual requests of some hundred connections are served


def capacity_bytes(limit: int, resident: int) -> int:
    """Return what a process that takes `resident` bytes before it serves may hold for peers.

    Where two processes fit under the limit, as at an upgrade, each keeps to half of it.
    """
    usable = int(limit * (1 - UNUSED_LIMIT_FRACTION))
    of_one_of_two = usable // 2 - resident - RESERVE_BYTES
    if of_one_of_two >= MIN_CAPACITY_BYTES:
        return of_one_of_two
    return max(MIN_CAPACITY_BYTES, usable - resident - RESERVE_BYTES)


@dataclass(frozen=True, slots=True)
class ConnectionLimits:
    """How many connections of clients and to servers may be open."""

    clients: int
    servers: int


def limit_connections(descriptors: ConnectionLimits, capacity: int, min_clients: int) -> ConnectionLimits:
    """Return `descriptors`, reduced to what fits into `capacity` if each connection holds the least.

    At least `min_clients` clients are admitted, as far as the descriptors allow it.
    """
    bytes_per_client = CLIENT_BYTES + MIN_SERVERS_PER_CLIENT * CONNECTION_BYTES
    clients = min(descriptors.clients, max(min_clients, int(capacity / bytes_per_client)))
    if clients == descriptors.clients:
        return descriptors
    return ConnectionLimits(clients, max(1, min(descriptors.servers, int(clients * MIN_SERVERS_PER_CLIENT))))


class Shortage(Enum):
    """What was done since a connection was at its allowance."""

    BODY_FORWARDED_EARLY = "body_forwarded_early"  # a request's body was passed on instead of held
    REQUEST_REFUSED = "request_refused"  # answered with 503 before it was received or forwarded
    RESPONSE_STREAMED_EARLY = "response_streamed_early"  # a response was passed on instead of held


class Holding(IntEnum):
    """What memory is held for."""

    CONNECTIONS = 0  # the objects of a connection itself
    INCOMPLETE_REQUESTS = 1  # received of a request that is not complete yet
    REQUESTS = 2  # complete requests that have no final answer, with their objects
    RESPONSES = 3  # received from a server, and not passed on to a client
    UNSENT_TO_CLIENTS = 4  # written to a client's connection and not accepted by the kernel
    UNSENT_TO_SERVERS = 5  # the same, of a server's connection


class MemoryAccount:
    """The bytes held for all peers, by what they are held for; `capacity` limits their sum."""

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self.total = 0
        self.by_holding = [0] * len(Holding)
        self.shortages: Counter[Shortage] = Counter()  # since they were last taken

    @property
    def free(self) -> int:
        """Bytes that may still be taken in; 0 if more is held than the capacity."""
        return max(0, self.capacity - self.total)

    @property
    def allowance(self) -> int:
        """Bytes that one connection may hold now."""
        return max(MIN_ALLOWANCE_BYTES, int(self.free * ALLOWANCE_FRACTION))

    def take_shortages(self) -> Counter[Shortage]:
        """Return what was done for lack of memory since the last call."""
        shortages, self.shortages = self.shortages, Counter()
        return shortages

    def open_share(self) -> MemoryShare:
        """Begin to account for a connection."""
        share = MemoryShare(self)
        share.set(Holding.CONNECTIONS, CONNECTION_BYTES)
        return share


class MemoryShare:
    """The part of an account that is held for one connection."""

    __slots__ = ("_account", "_sizes")

    def __init__(self, account: MemoryAccount) -> None:
        self._account = account
        self._sizes = [0] * len(Holding)

    def set(self, holding: Holding, size: int) -> None:
        """Note that `size` bytes are held now."""
        change = size - self._sizes[holding]
        if change:
            self._sizes[holding] = size
            self._account.by_holding[holding] += change
            self._account.total += change

    def release(self) -> None:
        """Note that nothing is held any more."""
        for holding in Holding:
            self.set(holding, 0)
