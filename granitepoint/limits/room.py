"""Which of the callers' connections makes room for a new one when descriptors run short."""

from __future__ import annotations

from collections.abc import Iterable
from enum import IntEnum
from typing import Protocol, TypeVar

YOUNG = 0.3  # s in which a connection whose request is due is left alone
AGE_WEIGHT = 0.25  # of its age beside the time since its last byte: some drip to seem alive
SLOW_HEAD = 50.0  # bytes a second: a true client sends at least 100 bytes of head in at most 2 s
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


G = TypeVar("G", bound=Guest)


def reluctance(guest: Guest, now: float) -> tuple[int, float] | None:
    """The lower, the sooner it gives way; None: it does not."""
    stage, still = guest.stage, now - guest.changed_at
    if stage is Stage.IDLE:
        return 0, guest.changed_at
    if stage is Stage.ENDING:
        return (1, guest.changed_at) if still > LINGER else None
    age = now - guest.begun
    if stage is Stage.COMING and age > YOUNG:
        score = -(still + AGE_WEIGHT * age)
        if still > MOVING or guest.received < SLOW_HEAD * age:
            return 2, score
        return (3, score) if age > PATIENCE else None
    return None


def gives_way(guests: Iterable[G], now: float) -> G | None:
    """The one that loses least by its end, by what was seen of it."""
    best: tuple[tuple[int, float], G] | None = None
    for guest in guests:
        rank = reluctance(guest, now)
        if rank is not None and (best is None or rank < best[0]):
            best = rank, guest
    return best[1] if best is not None else None
