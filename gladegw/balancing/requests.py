"""Calls, their attempts, and the rules that every send and every final answer must pass.

All times are in seconds. Pure: no I/O, no clock.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from gladegw.balancing.events import NEVER_RAN, Action, Effect, Fail, Reject, Send, ServerState, Settings
from gladegw.balancing.parameters import CONTROL_STEP_S

if TYPE_CHECKING:
    from gladegw.balancing.admission import ClassState
    from gladegw.balancing.server_selection import Server

MAX_REMEMBERED_CALLS = 1000  # finished calls whose ids are remembered


class Attempt:
    """One attempt of a call at a server."""

    __slots__ = (
        "call",
        "connection_idle",
        "counted_late",
        "hedged",
        "in_window",
        "load",
        "new_connection",
        "number",
        "sent_at",
        "server",
        "stalled_for",
        "status",
    )

    def __init__(self, call: Call, number: int, server: Server, sent_at: float, load: float) -> None:
        self.call, self.number, self.server, self.sent_at, self.load = call, number, server, sent_at, load
        self.status = -1  # in flight
        self.in_window = True  # counts against the concurrency window
        self.counted_late = False  # has been counted as late
        self.connection_idle = 0.0  # seconds without use; 0: in use or new
        self.new_connection = False  # the connection was new
        self.hedged = False
        self.stalled_for = 0.0  # seconds for which this process stood still, of its time in flight


class Call:
    """A client's call with its attempts, from arrival to final answer."""

    __slots__ = (
        "arrived",
        "attempts",
        "cls",
        "deadline",
        "ended",
        "id",
        "in_flight",
        "max_attempts",
        "order",
        "priority_weight",
        "probe_wait_until",
        "probed_candidates",
        "queue_position",
        "queued",
        "streaming",
        "useful_until",
    )

    def __init__(
        self, id: int, cls: ClassState, priority_weight: float, arrived: float, deadline: float, useful: float
    ) -> None:
        self.id, self.cls, self.priority_weight, self.arrived = id, cls, priority_weight, arrived
        self.deadline, self.useful_until = deadline, useful
        self.order = (-priority_weight, arrived, id)
        self.attempts: list[Attempt] = []
        self.max_attempts = 0  # the route's limit; 0: the settings' limit
        self.in_flight = 0
        self.ended = self.streaming = self.queued = False
        self.queue_position: int | None = None  # when the queue was last trimmed
        self.probed_candidates: list[Server] | None = None  # servers probed for this call alone
        self.probe_wait_until = 0.0

    def __lt__(self, other: Call) -> bool:
        return self.order < other.order


class RequestLifecycle:
    """The only place where attempts are sent and final answers given.

    It enforces the rules on retries, deadlines and idempotency, whatever the heuristics choose.
    """

    def __init__(self, settings: Settings, actions: list[Action]) -> None:
        self.settings = settings
        self.actions = actions
        self.calls: dict[int, Call] = {}
        self.finished: dict[int, None] = {}  # ids of the last finished calls

    @staticmethod
    def may_have_run(call: Call) -> Attempt | None:
        """Return the earliest attempt that ran, may have run or may still run, or None."""
        for attempt in call.attempts:
            if attempt.status not in NEVER_RAN:
                return attempt
        return None

    def may_send(self, call: Call, server: Server, now: float) -> bool:
        """Return whether an attempt of the call may be sent to this server now.

        A call that may have run is only repeated where its class allows it: idempotent calls anywhere, calls
        with an idempotency key within the same server group and the deduplication window.
        """
        settings = self.settings
        if call.ended or call.streaming or now >= call.deadline or server.state is not ServerState.SERVING:
            return False
        if not call.attempts:
            return True
        if self.attempts_exhausted(call) or (call.in_flight and not settings.may_hedge):
            return False
        first = self.may_have_run(call)
        if first is None or call.cls.effect is Effect.IDEMPOTENT:
            return True
        if call.cls.effect is Effect.NOT_IDEMPOTENT:
            return False
        return self.same_group(call.cls, first.server, server) and now - first.sent_at < call.cls.window

    def attempts_exhausted(self, call: Call) -> bool:
        """Return whether the settings or the call's route allow no further attempt.

        The settings count all attempts; a route counts only those that may have run.
        """
        if len(call.attempts) >= self.settings.max_attempts:
            return True
        return call.max_attempts > 0 and call.max_attempts <= sum(
            a.status not in NEVER_RAN for a in call.attempts
        )

    @staticmethod
    def same_group(cls: ClassState, one: Server, other: Server) -> bool:
        """Return whether both servers deduplicate requests of this class together."""
        if cls.group == "all":
            return True
        if cls.group == "zone":
            return one.zone == other.zone
        return one.zone == other.zone and one.cell == other.cell

    def may_reject(self, call: Call) -> bool:
        """Return whether the answer may promise that a retry by the client is harmless."""
        effect = call.cls.effect
        if effect is Effect.IDEMPOTENT or (effect is Effect.IDEMPOTENCY_KEY and call.cls.group == "all"):
            return True
        return self.may_have_run(call) is None

    def may_retry(self, call: Call) -> bool:
        """Return whether some further attempt could still be allowed."""
        if call.ended or call.streaming or self.attempts_exhausted(call):
            return False
        return call.cls.effect is not Effect.NOT_IDEMPOTENT or self.may_have_run(call) is None

    def send(self, call: Call, server: Server, now: float, timeout: float, load: float) -> Attempt | None:
        """Append a Send action and return the new attempt, or None if the rules forbid it.

        The timeout (seconds) is limited to the time left until the call's deadline.
        """
        if not self.may_send(call, server, now):
            return None
        timeout = max(CONTROL_STEP_S / 10, min(timeout, call.deadline - now))
        self.actions.append(Send(call.id, server.id, timeout, self.start_within(call, now)))
        attempt = Attempt(call, len(call.attempts), server, now, load)
        call.attempts.append(attempt)
        call.in_flight += 1
        return attempt

    def start_within(self, call: Call, now: float) -> float:
        """Return how many seconds a further attempt may take to begin; a new connection may be slow.

        Infinite unless the class relies on an idempotency key, whose deduplication window ends.
        """
        first = self.may_have_run(call)
        if first is None or call.cls.effect is not Effect.IDEMPOTENCY_KEY:
            return math.inf
        return first.sent_at + call.cls.window - now

    def answer(self, call: Call, retry_after: float = 0.0) -> None:
        """Give the final answer: a rejection where a retry by the client is harmless, else a failure."""
        if call.ended:
            return
        if self.may_reject(call):
            self.actions.append(Reject(call.id, retry_after))
        else:
            self.actions.append(Fail(call.id))
        self.end(call)

    def reject_unknown(self, id: int) -> None:
        """Reject an arrival that cannot become a call: unknown class or no time left."""
        self.actions.append(Reject(id))
        self.remember(id)

    def remember(self, id: int) -> None:
        """Record the id of a finished call; the oldest ids are dropped beyond a limit."""
        self.finished[id] = None
        if len(self.finished) > MAX_REMEMBERED_CALLS:
            del self.finished[next(iter(self.finished))]

    def end(self, call: Call) -> None:
        """Mark a call as answered or abandoned."""
        call.ended = True
        self.forget(call)

    def settle(self, attempt: Attempt, status: int, final: bool) -> None:
        """Record the outcome of an attempt; `final` also ends its call."""
        call = attempt.call
        if attempt.status < 0:
            call.in_flight -= 1
        attempt.status = status
        if final:
            call.ended = True
        self.forget(call)

    def forget(self, call: Call) -> None:
        """Remove a call that has ended and has no attempt in flight."""
        if call.ended and not call.in_flight:
            self.calls.pop(call.id, None)
            self.remember(call.id)
            call.attempts = []  # each refers to its call: no cycle for the garbage collector


def attempt_states(call: Call) -> list[tuple[int, float]]:
    """Return the status and the send time of each attempt of a call."""
    return [(attempt.status, attempt.sent_at) for attempt in call.attempts]
