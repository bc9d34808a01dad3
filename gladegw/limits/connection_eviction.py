"""Choice of the client connections to evict for new ones when descriptors run short."""

from __future__ import annotations

import heapq
import math
from collections.abc import Iterable
from enum import IntEnum
from typing import Protocol, TypeVar

NEW_CONNECTION_GRACE_S = 0.3  # time to send a first request while there is no connection flood
AGE_WEIGHT = 0.25  # weight of age relative to silence: a peer can send single bytes to seem active
MIN_HEAD_BYTES_PER_S = 50.0  # a legitimate client sends at least 100 bytes of head within 2 s
MIN_SILENCE_S = 1 / MIN_HEAD_BYTES_PER_S  # time for one byte at that rate; a shorter silence is no stall
RECENT_BYTES_S = 0.5  # a request that received bytes within this time is in progress
MIN_STALL_TIMEOUT_S = 0.3  # lower bound of that time in a connection flood
SLOW_REQUEST_GRACE_S = 1.0  # a request in progress at the minimum rate is not evicted before this age
MIN_READ_BYTES_PER_S = 32_000.0  # half the rate of a slow legitimate client
CLOSE_GRACE_S = 0.1  # time for the peer to close its side before its connection may be evicted
CLOSE_AFTER_RESPONSE_FRACTION = 0.8  # of the connection limit; above it, responses close their connection
SERVED_FRACTION = 7 / 8  # of the connection limit; requests on the other connections are rejected at once


class ConnectionStage(IntEnum):
    """The stage of a client connection."""

    IDLE = 0  # between requests
    RECEIVING = 1  # a request is expected or partly received
    PENDING = 2  # a complete request waits for its response, or the response is being written
    CLOSING = 3  # closed by this side, not yet by the peer
    DELIVERING = 4  # the last response is written, and its client is still reading it
    UPLOADING = 5  # a request is forwarded while it is still being received


class ClientConnectionState(Protocol):
    """The observed state of a client connection; times in seconds."""

    @property
    def stage(self) -> ConnectionStage:
        """The connection's stage."""
        ...

    @property
    def request_started_at(self) -> float:
        """The time of connecting for a first request, else of the request's first byte."""
        ...

    @property
    def received(self) -> int:
        """Bytes received of the request."""
        ...

    @property
    def changed_at(self) -> float:
        """The time at which bytes were last received or sent."""
        ...

    @property
    def delivered(self) -> bool:
        """Whether the peer has acknowledged all written bytes and no received byte is unread."""
        ...

    def read_rate(self, now: float) -> float:
        """Bytes per second of responses that the peer takes; infinite if that is not known or no bound."""
        ...


ConnectionT = TypeVar("ConnectionT", bound=ClientConnectionState)


class ConnectionFlood:
    """The rate of new connections, and the timeouts at which it stays within the connection limit.

    The rate is an exponentially weighted mean over about `NEW_CONNECTION_GRACE_S`. A fixed timeout would
    either be too long in a flood, where legitimate clients queue behind peers that reconnect as soon as they
    are closed, or would cut off slow clients when there are few connections.
    """

    __slots__ = ("max_connections", "recent_connections", "updated_at")

    def __init__(self, max_connections: int) -> None:
        self.max_connections = max_connections
        self.recent_connections, self.updated_at = 0.0, 0.0

    def on_accepted(self, count: int, now: float) -> None:
        """Count `count` connections accepted at `now`."""
        self.recent_connections = (
            self.recent_connections * math.exp(min(0.0, self.updated_at - now) / NEW_CONNECTION_GRACE_S)
            + count
        )
        self.updated_at = now

    @property
    def silence_timeout(self) -> float:
        """Seconds until the first byte of a request, from `MIN_SILENCE_S` to `NEW_CONNECTION_GRACE_S`."""
        return self._shortened(NEW_CONNECTION_GRACE_S, MIN_SILENCE_S)

    @property
    def stall_timeout(self) -> float:
        """Seconds between two bytes of a request, from `MIN_STALL_TIMEOUT_S` to `RECENT_BYTES_S`.

        The number of bytes received so far does not count: otherwise a peer that sends most of a head and
        then nothing would hold its connection as long as the slowest legitimate client.
        """
        return self._shortened(RECENT_BYTES_S, MIN_STALL_TIMEOUT_S)

    def _shortened(self, longest: float, shortest: float) -> float:
        """Return `longest`, reduced in proportion when recent connections exceed the connection limit."""
        sustainable = longest * self.max_connections / max(1.0, self.recent_connections)
        return max(shortest, min(longest, sustainable))


def is_lagging(received: int, age: float, silence_timeout: float) -> bool:
    """Whether a request expected for `age` s is past the timeout and slower than any legitimate client's.

    Bytes that arrive in the accept queue count as well, so waiting there is no disadvantage.
    """
    return age > silence_timeout and received < MIN_HEAD_BYTES_PER_S * age


def eviction_cost(
    connection: ClientConnectionState,
    now: float,
    silence_timeout: float = NEW_CONNECTION_GRACE_S,
    stall_timeout: float = RECENT_BYTES_S,
) -> tuple[int, float] | None:
    """Return the eviction order of a connection, lowest first; None if it must not be evicted."""
    stage, silence = connection.stage, now - connection.changed_at
    if stage is ConnectionStage.IDLE:
        return 0, connection.changed_at
    if stage is ConnectionStage.CLOSING:
        return (1, connection.changed_at) if silence > CLOSE_GRACE_S or connection.delivered else None
    age = now - connection.request_started_at
    if stage is ConnectionStage.RECEIVING and age > NEW_CONNECTION_GRACE_S:
        score = -(silence + AGE_WEIGHT * age)
        if silence > stall_timeout or connection.received < MIN_HEAD_BYTES_PER_S * age:
            return 2, score
        return (3, score) if age > SLOW_REQUEST_GRACE_S else None
    if stage is ConnectionStage.RECEIVING and is_lagging(connection.received, age, silence_timeout):
        # late: only if little else can be evicted
        return 4, connection.received - MIN_HEAD_BYTES_PER_S * age
    if stage is ConnectionStage.UPLOADING:
        # Nothing has run, and the client has stopped.
        return (2, -silence) if silence > stall_timeout else None
    if stage in (ConnectionStage.PENDING, ConnectionStage.DELIVERING):
        # Last: a crowd of slow readers must not keep other clients out.
        rate = connection.read_rate(now)
        return (5, rate) if rate < MIN_READ_BYTES_PER_S else None
    return None


def connections_to_evict(
    connections: Iterable[ConnectionT],
    now: float,
    count: int = 1,
    silence_timeout: float = NEW_CONNECTION_GRACE_S,
    stall_timeout: float = RECENT_BYTES_S,
) -> list[ConnectionT]:
    """Return up to `count` connections to evict, in order of `eviction_cost`."""
    ranked = (
        (cost, position, connection)
        for position, connection in enumerate(connections)
        if (cost := eviction_cost(connection, now, silence_timeout, stall_timeout)) is not None
    )
    return [connection for _, _, connection in heapq.nsmallest(count, ranked)]


def slowest_reader(
    streaming: Iterable[ConnectionT], now: float, min_rate: float = MIN_READ_BYTES_PER_S
) -> ConnectionT | None:
    """Return the connection whose client reads most slowly of those below `min_rate` bytes per second."""
    slowest = min(streaming, key=lambda connection: connection.read_rate(now), default=None)
    return slowest if slowest is not None and slowest.read_rate(now) < min_rate else None
