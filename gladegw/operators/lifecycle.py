"""The life cycle of a proxy process: its states, events and transitions.

The state decides the responses to `/healthz` and `PING`.
"""

from __future__ import annotations

import threading
from collections.abc import Callable
from enum import Enum


class State(Enum):
    """The state of a proxy process; the values appear in responses to commands."""

    STARTING = "starting"  # not able to serve yet
    READY = "ready"
    DRAINING = "lame"  # unready; finishes requests in progress and may rejoin
    TERMINATING = "leaving"  # unready; the process exits when no request is pending


class Event(Enum):
    """An event in the life of a proxy process."""

    ABLE = "able"  # the process can serve: an endpoint list is known and the listener is open
    LAMEDUCK = "LAMEDUCK"
    REJOIN = "REJOIN"
    TERMINATE = "terminate"


# The next state by state and event: the same state if the event has no effect, None if it is invalid.
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
    """An event is invalid in the current state; the message names both."""


class Lifecycle:
    """The life cycle of one process, safe to use from several threads.

    `on_change` is called with each new state, in the thread that reported the event.
    """

    def __init__(self, on_change: Callable[[State], None] | None = None) -> None:
        self.state = State.STARTING
        self.able = False  # whether ABLE has occurred; a REJOIN before it leads back to STARTING
        self.on_change = on_change
        self._lock = threading.Lock()

    def on(self, event: Event) -> State:
        """Apply an event and return the new state.

        Raises InvalidTransitionError if the event is invalid in the current state.
        """
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
