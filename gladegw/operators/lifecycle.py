"""The life of one proxy process: what it says to `/healthz` and `PING`, and what each event does to it."""

from __future__ import annotations

import threading
from collections.abc import Callable
from enum import Enum


class State(Enum):
    STARTING = "starting"  # not able to serve yet
    READY = "ready"
    LAME = "lame"  # asked to drain: says no, ends what it has, may come back
    LEAVING = "leaving"  # told to end: says no, and the process exits when nothing is owed


class Event(Enum):
    ABLE = "able"  # a list of backends is known, and the listener is open
    LAMEDUCK = "LAMEDUCK"
    REJOIN = "REJOIN"
    TERMINATE = "terminate"


# What each event leads to. A state that is its own successor: the event is true already. None: refused.
TABLE: dict[State, dict[Event, State | None]] = {
    State.STARTING: {
        Event.ABLE: State.READY,
        Event.LAMEDUCK: State.LAME,
        Event.REJOIN: None,
        Event.TERMINATE: State.LEAVING,
    },
    State.READY: {
        Event.ABLE: State.READY,
        Event.LAMEDUCK: State.LAME,
        Event.REJOIN: State.READY,
        Event.TERMINATE: State.LEAVING,
    },
    State.LAME: {
        Event.ABLE: State.LAME,
        Event.LAMEDUCK: State.LAME,
        Event.REJOIN: State.READY,
        Event.TERMINATE: State.LEAVING,
    },
    State.LEAVING: {
        Event.ABLE: State.LEAVING,
        Event.LAMEDUCK: State.LEAVING,
        Event.REJOIN: None,
        Event.TERMINATE: State.LEAVING,
    },
}


class Refused(Exception):
    """The event makes no sense in this state; the message is the reason."""


class Lifecycle:
    """Events may come from the operators' thread and from the serving loop; a change is told to `changed`,
    in the thread that it came from."""

    def __init__(self, changed: Callable[[State], None] | None = None) -> None:
        self.state = State.STARTING
        self.able = False  # has ABLE come
        self.changed = changed
        self._lock = threading.Lock()

    def on(self, event: Event) -> State:
        """The state after the event; raises Refused."""
        with self._lock:
            before = self.state
            if event is Event.ABLE:
                self.able = True
            after = TABLE[before][event]
            if after is None:
                raise Refused(f"{event.value}: the proxy is {before.value}")
            if after is State.READY and not self.able:
                after = State.STARTING
            self.state = after
        if after is not before and self.changed is not None:
            self.changed(after)
        return after
