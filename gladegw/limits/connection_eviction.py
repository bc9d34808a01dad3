"""Which of the callers' connections makes room for a new one when descriptors run short."""

from __future__ import annotations

import heapq
import math
from collections.abc import Iterable
from enum import IntEnum
from typing import Protocol, TypeVar

NEW_CONNECTION_GRACE_S = (
    0.3  # s in which a connection whose request is due is left alone, if not too many come
)
AGE_WEIGHT = 0.25  # of its age beside the time since its last byte: some drip to seem alive
MIN_HEAD_BYTES_PER_S = 50.0  # bytes a second: a true client sends at least 100 bytes of head in at most 2 s
MIN_SILENCE_S = (
    1 / MIN_HEAD_BYTES_PER_S
)  # s of silence, below which nothing is said of a caller: one byte at that pace
RECENT_BYTES_S = 0.5  # s since its last byte in which a request is taken to be on its way
SLOW_REQUEST_GRACE_S = 1.0  # s in which a request that is on its way at such a pace is left alone
CLOSE_GRACE_S = 0.1  # s that a connection may take for its end, where its place is wanted
CLOSE_AFTER_RESPONSE_FRACTION = 0.8  # share of the bound from which answers close their connections
SERVED_FRACTION = (
    7 / 8
)  # share of the bound for requests that are served; the rest is for those refused at once


class ConnectionStage(IntEnum):
    IDLE = 0  # between requests
    RECEIVING = 1  # a request is due, or some of it has come
    PENDING = 2  # a whole request waits for its answer, or an answer is on its way
    CLOSING = 3  # closed by this side, not gone yet


class ClientConnectionState(Protocol):
    @property
    def stage(self) -> ConnectionStage: ...

    @property
    def request_started_at(
        self,
    ) -> float: ...  # since when a request is due: from connecting, or from its first byte

    @property
    def received(self) -> int: ...  # bytes of it

    @property
    def changed_at(self) -> float: ...  # when bytes last came or went

    @property
    def delivered(self) -> bool: ...  # all that was written has arrived, and nothing unread has come


G = TypeVar("G", bound=ClientConnectionState)


class ConnectionFlood:
    """How fast callers come to the door, by a mean over about `YOUNG` s, and so how long each may say nothing
    if each is to find a place. A fixed patience would be too long in a flood, where true callers wait behind
    those that come back as fast as they are closed, and cut off late ones where a few come."""

    __slots__ = ("places", "recent_connections", "since")

    def __init__(self, places: int) -> None:
        self.places = places
        self.recent_connections, self.since = 0.0, 0.0

    def on_accepted(self, count: int, now: float) -> None:
        self.recent_connections = (
            self.recent_connections * math.exp(min(0.0, self.since - now) / NEW_CONNECTION_GRACE_S) + count
        )
        self.since = now

    @property
    def silence_timeout(self) -> float:
        """In s, from FIRST to YOUNG."""
        return max(
            MIN_SILENCE_S,
            min(
                NEW_CONNECTION_GRACE_S,
                NEW_CONNECTION_GRACE_S * self.places / max(1.0, self.recent_connections),
            ),
        )


def is_lagging(received: int, age: float, silence_timeout: float) -> bool:
    """Whether a request that is due since `age` s lags behind the slowest true client, for longer than there
    is patience. Of one that waited at the door, unread, the bytes would be there too."""
    return age > silence_timeout and received < MIN_HEAD_BYTES_PER_S * age


def eviction_cost(
    connection: ClientConnectionState, now: float, silence_timeout: float = NEW_CONNECTION_GRACE_S
) -> tuple[int, float] | None:
    """The lower, the sooner it gives way; None: it does not."""
    stage, still = connection.stage, now - connection.changed_at
    if stage is ConnectionStage.IDLE:
        return 0, connection.changed_at
    if stage is ConnectionStage.CLOSING:
        return (1, connection.changed_at) if still > CLOSE_GRACE_S or connection.delivered else None
    age = now - connection.request_started_at
    if stage is ConnectionStage.RECEIVING and age > NEW_CONNECTION_GRACE_S:
        score = -(still + AGE_WEIGHT * age)
        if still > RECENT_BYTES_S or connection.received < MIN_HEAD_BYTES_PER_S * age:
            return 2, score
        return (3, score) if age > SLOW_REQUEST_GRACE_S else None
    if stage is ConnectionStage.RECEIVING and is_lagging(connection.received, age, silence_timeout):
        return 4, connection.received - MIN_HEAD_BYTES_PER_S * age  # left alone only while others give way
    return None


def connections_to_evict(
    connections: Iterable[G], now: float, count: int = 1, silence_timeout: float = NEW_CONNECTION_GRACE_S
) -> list[G]:
    """Up to `count` that lose least by their end, by what was seen of them, those that lose least first."""
    ranked = (
        (rank, place, guest)
        for place, guest in enumerate(connections)
        if (rank := eviction_cost(guest, now, silence_timeout)) is not None
    )
    return [guest for _, _, guest in heapq.nsmallest(count, ranked)]
