"""The account of the memory that this process holds for its peers, and the room that is left for them."""

from __future__ import annotations

from enum import IntEnum


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

    @property
    def free(self) -> int:
        """Bytes that may still be taken in; 0 if more is held than the capacity."""
        return max(0, self.capacity - self.total)

    def open_share(self, connection_bytes: int) -> MemoryShare:
        """Begin to account for a connection whose objects take `connection_bytes`."""
        share = MemoryShare(self)
        share.set(Holding.CONNECTIONS, connection_bytes)
        return share


class MemoryShare:
    """The part of an account that is held for one connection."""

    __slots__ = ("_account", "_sizes", "total")

    def __init__(self, account: MemoryAccount) -> None:
        self._account = account
        self._sizes = [0] * len(Holding)
        self.total = 0

    def set(self, holding: Holding, size: int) -> None:
        """Note that `size` bytes are held now."""
        change = size - self._sizes[holding]
        if change:
            self._sizes[holding] = size
            self.total += change
            self._account.by_holding[holding] += change
            self._account.total += change

    def release(self) -> None:
        """Note that nothing is held any more."""
        for holding in Holding:
            self.set(holding, 0)
