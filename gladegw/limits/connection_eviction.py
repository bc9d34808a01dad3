"""Which of the callers' connections makes room for a new one when descriptors run short."""

from __future__ import annotations

import heapq
import math
from collections.abc import Iterable
from enum import IntEnum
from typing import Protocol, TypeVar

YOUNG = 0.3  # s in which a connection whose request is due is left alone, if not too many come
AGE_WEIGHT = 0.25  # of its age beside the time since its last byte: some drip to seem alive
SLOW_HEAD = 50.0  # bytes a second: a true client sends at least 100 bytes of head in at most 2 s
FIRST = 1 / SLOW_HEAD  # s of silence, below which nothing is said of a caller: one byte at that pace
MOVING = 0.5  # s since its last byte in which a request is taken to be on its way
PATIENCE = 1.0  # s in which a request that is on its way at such a pace is left alone
LINGER = 0.1  # s that a connection may take for its end, where its place is wanted
PRESSED = 0.8  # share of the bound from which answers close their connections
SERVED = 7 / 8  # share of the bound for requests that are served; the rest is for those refused at once


class Stage(IntEnum):
    IDLE = 0  # between requests
    COMING = 1  # a request is due, or some of it has come
    OWED = 2  # a whole request waits for its answer, or an answer is on its way
    ENDING = 3  # closed by this side, not gone yet


class Guest(Protocol):
    @property
    def stage(self) -> Stage: ...

    @property
    def begun(self) -> float: ...  # since when a request is due: from connecting, or from its first byte

    @property
    def received(self) -> int: ...  # bytes of it

    @property
    def changed_at(self) -> float: ...  # when bytes last came or went

    @property
    def delivered(self) -> bool: ...  # all that was written has arrived, and nothing unread has come


G = TypeVar("G", bound=Guest)


class Press:
    """How fast callers come to the door, by a mean over about `YOUNG` s, and so how long each may say nothing
    if each is to find a place. A fixed patience would be too long in a flood, where true callers wait behind
    those that come back as fast as they are closed, and cut off late ones where a few come."""

    __slots__ = ("counted", "places", "since")

    def __init__(self, places: int) -> None:
        self.places = places
        self.counted, self.since = 0.0, 0.0

    def came(self, count: int, now: float) -> None:
        self.counted = self.counted * math.exp(min(0.0, self.since - now) / YOUNG) + count
        self.since = now

    @property
    def patience(self) -> float:
        """In s, from FIRST to YOUNG."""
        return max(FIRST, min(YOUNG, YOUNG * self.places / max(1.0, self.counted)))


def late(received: int, age: float, patience: float) -> bool:
    """Whether a request that is due since `age` s lags behind the slowest true client, for longer than there
    is patience. Of one that waited at the door, unread, the bytes would be there too."""
    return age > patience and received < SLOW_HEAD * age


def reluctance(guest: Guest, now: float, patience: float = YOUNG) -> tuple[int, float] | None:
    """The lower, the sooner it gives way; None: it does not."""
    stage, still = guest.stage, now - guest.changed_at
    if stage is Stage.IDLE:
        return 0, guest.changed_at
    if stage is Stage.ENDING:
        return (1, guest.changed_at) if still > LINGER or guest.delivered else None
    age = now - guest.begun
    if stage is Stage.COMING and age > YOUNG:
        score = -(still + AGE_WEIGHT * age)
        if still > MOVING or guest.received < SLOW_HEAD * age:
            return 2, score
        return (3, score) if age > PATIENCE else None
    if stage is Stage.COMING and late(guest.received, age, patience):
        return 4, guest.received - SLOW_HEAD * age  # left alone only while others give way
    return None


def gives_way(guests: Iterable[G], now: float, count: int = 1, patience: float = YOUNG) -> list[G]:
    """Up to `count` that lose least by their end, by what was seen of them, those that lose least first."""
    ranked = (
        (rank, place, guest)
        for place, guest in enumerate(guests)
        if (rank := reluctance(guest, now, patience)) is not None
    )
    return [guest for _, _, guest in heapq.nsmallest(count, ranked)]
