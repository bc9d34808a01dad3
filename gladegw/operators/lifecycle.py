"""The life of one proxy process: what it says to `/healthz` and `PING`, and what each event does to it."""

from __future__ import annotations

import threading
from collections.abc import Callable
from enum import Enum


class State(Enum):
    STARTING = "starting"  # not able to serve yet
    READY = "ready"
    DRAINING = "lame"  # asked to drain: says no, ends what it has, may come back
    TERMINATING = "leaving"  # told to end: says no, and the process exits when nothing is owed


class Event(Enum):
    ABLE = "able"  # a list of backends is known, and the listener is open
    LAMEDUCK = "LAMEDUCK"
    REJOIN = "REJOIN"
    TERMINATE = "terminate"


# What each event leads to. A state that is its own successor: the event is true already. None: refused.
TRANSITIONS: dict[State, dict[Event, State | None]] = {
    State.STARTING: {
        Event.ABLE: State.READY,
        Event.LAMEDUCK: State.DRAINING,
        Event.REJOIN: None,
        Event.TERMINATE: State.TERMINATING,
    },
    State.READY: {
        Event.ABLE: State.READY,
        Event.LAMEDUCK: State.DRAINING,
        Event.REJOIN: State.READY,
        Event.TERMINATE: State.TERMINATING,
    },
    State.DRAINING: {
        Event.ABLE: State.DRAINING,
        Event.LAMEDUCK: State.DRAINING,
        Event.REJOIN: State.READY,
        Event.TERMINATE: State.TERMINATING,
    },
    State.TERMINATING: {
        Event.ABLE: State.TERMINATING,
        Event.LAMEDUCK: State.TERMINATING,
        Event.REJOIN: None,
        Event.TERMINATE: State.TERMINATING,
    },
}


class InvalidTransitionError(Exception):
    """The event makes no sense in this state; the message is the reason."""


class Lifecycle:
    """Events may come from the operators' thread and from the serving loop; a change is told to `changed`,
    in the thread that it came from."""

    def __init__(self, on_change: Callable[[State], None] | None = None) -> None:
        self.state = State.STARTING
        self.able = False  # has ABLE come
        self.on_change = on_change
        self._lock = threading.Lock()

    def on(self, event: Event) -> State:
        """The state after the event; raises Refused."""
        with self._lock:
            before = self.state
            if event is Event.ABLE:
                self.able = True
            after = TRANSITIONS[before][event]
            if after is None:
                raise InvalidTransitionError(f"{event.value}: the proxy is {before.value}")
            if after is State.READY and not self.able:
                after = State.STARTING
            self.state = after
        if after is not before and self.on_change is not None:
            self.on_change(after)
        return after
