"""Calls, their attempts, and the rules that every send and every final answer must pass.

All times are in seconds. Pure: no I/O, no clock.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from gladegw.balancing.events import (
    NEVER_RAN,
    Action,
    Effect,
    Fail,
    Reject,
    RejectionReason,
    Send,
    ServerState,
    Settings,
)
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
        "incomplete",
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
        self.incomplete = False  # its request is still being received, so that no server works on it
        self.counted_late = False  # has already shrunk the window as late
        self.connection_idle = 0.0  # seconds its connection was idle before the send; 0: in use or new
        self.new_connection = False  # a new connection was opened for it
        self.hedged = False  # was handled as stuck; it is not checked for that again
        self.stalled_for = 0.0  # seconds of its time in flight during which this process was stalled


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
        "incomplete",
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
        self,
        id: int,
        cls: ClassState,
        priority_weight: float,
        arrived: float,
        deadline: float,
        useful_until: float,
    ) -> None:
        self.id, self.cls, self.priority_weight, self.arrived = id, cls, priority_weight, arrived
        self.deadline, self.useful_until = deadline, useful_until
        self.order = (-priority_weight, arrived, id)
        self.attempts: list[Attempt] = []
        self.max_attempts = 0  # the route's limit; 0: the settings' limit
        self.in_flight = 0
        self.ended = self.streaming = self.queued = False
        self.incomplete = False  # the request is still being received
        self.queue_position: int | None = None  # as of the last trim of the queue; None before the first
        self.probed_candidates: list[Server] | None = None  # servers probed only for this call
        self.probe_wait_until = 0.0  # time at which it is sent without the remaining probe results

    def __lt__(self, other: Call) -> bool:
        return self.order < other.order


class RequestLifecycle:
    """Sends all attempts and gives all final answers.

    Enforces the rules on retries, deadlines and idempotency, whatever the heuristics of other modules choose.
    """

    def __init__(self, settings: Settings, actions: list[Action]) -> None:
        self.settings = settings
        self.actions = actions
        self.calls: dict[int, Call] = {}
        self.finished: dict[int, None] = {}  # ids of recently finished calls, oldest first

    @staticmethod
    def first_possible_run(call: Call) -> Attempt | None:
        """Return the earliest attempt that a server ran, may have run or may still run, or None."""
        for attempt in call.attempts:
            if attempt.status not in NEVER_RAN:
                return attempt
        return None

    def may_send(self, call: Call, server: Server, now: float) -> bool:
        """Return whether an attempt of the call may be sent to this server now.

        A call that may have run is repeated only if its class allows it: idempotent calls at any server,
        calls with an idempotency key within the same server group and the deduplication window.
        """
        settings = self.settings
        if call.ended or call.streaming or now >= call.deadline or server.state is not ServerState.SERVING:
            return False
        if not call.attempts:
            return True
        if self.attempts_exhausted(call) or (call.in_flight and not settings.may_hedge):
            return False
        first = self.first_possible_run(call)
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
    def same_group(cls: ClassState, first: Server, second: Server) -> bool:
        """Return whether both servers deduplicate requests of this class together."""
        if cls.group == "all":
            return True
        if cls.group == "zone":
            return first.zone == second.zone
        return first.zone == second.zone and first.cell == second.cell

    def may_reject(self, call: Call) -> bool:
        """Return whether a call may be answered with Reject, which tells the client that a retry is safe."""
        effect = call.cls.effect
        if effect is Effect.IDEMPOTENT or (effect is Effect.IDEMPOTENCY_KEY and call.cls.group == "all"):
            return True
        return self.first_possible_run(call) is None

    def may_retry(self, call: Call) -> bool:
        """Return whether the rules could still allow a further attempt, at some server."""
        if call.ended or call.streaming or self.attempts_exhausted(call):
            return False
        return call.cls.effect is not Effect.NOT_IDEMPOTENT or self.first_possible_run(call) is None

    def send(
        self,
        call: Call,
        server: Server,
        now: float,
        timeout: float,
        load: float,
        start_before: float = math.inf,
    ) -> Attempt | None:
        """Append a Send action and return the new attempt, or None if the rules forbid it.

        The timeout (seconds) is limited to the time left until the call's deadline. `start_before`: when
        the attempt may no longer begin, because the server may have begun to drain.
        """
        if not self.may_send(call, server, now):
            return None
        timeout = max(CONTROL_STEP_S / 10, min(timeout, call.deadline - now))
        start_within = min(self.start_within(call, now), start_before - now)
        self.actions.append(Send(call.id, server.id, timeout, start_within))
        attempt = Attempt(call, len(call.attempts), server, now, load)
        call.attempts.append(attempt)
        call.in_flight += 1
        return attempt

    def start_within(self, call: Call, now: float) -> float:
        """Return the seconds within which a further attempt must begin; setting up a connection can delay it.

        Infinite, unless the class relies on an idempotency key: then the deduplication window must not end
        first.
        """
        first = self.first_possible_run(call)
        if first is None or call.cls.effect is not Effect.IDEMPOTENCY_KEY:
            return math.inf
        return first.sent_at + call.cls.window - now

    def answer(
        self, call: Call, retry_after: float = 0.0, reason: RejectionReason = RejectionReason.UNKNOWN
    ) -> None:
        """Give the final answer: a rejection if a retry by the client is safe, else a failure.

        `retry_after` is sent with a rejection (seconds; 0: none).
        """
        if call.ended:
            return
        if self.may_reject(call):
            self.actions.append(Reject(call.id, retry_after, reason))
        else:
            self.actions.append(Fail(call.id, reason))
        self.end(call)

    def reject_unknown(self, id: int) -> None:
        """Reject an arrival that cannot become a call: unknown class or no time left."""
        self.actions.append(Reject(id))
        self.record_finished(id)

    def record_finished(self, id: int) -> None:
        """Record the id of a finished call; beyond MAX_REMEMBERED_CALLS the oldest id is dropped."""
        self.finished[id] = None
        if len(self.finished) > MAX_REMEMBERED_CALLS:
            del self.finished[next(iter(self.finished))]

    def end(self, call: Call) -> None:
        """Mark a call as answered or as abandoned by its client."""
        call.ended = True
        self.discard_if_finished(call)

    def settle(self, attempt: Attempt, status: int, final: bool) -> None:
        """Record the outcome of an attempt; `final` also ends its call."""
        call = attempt.call
        if attempt.status < 0:
            call.in_flight -= 1
        attempt.status = status
        if final:
            call.ended = True
        self.discard_if_finished(call)

    def discard_if_finished(self, call: Call) -> None:
        """Remove a call if it has ended and has no attempt in flight."""
        if call.ended and not call.in_flight:
            self.calls.pop(call.id, None)
            self.record_finished(call.id)
            call.attempts = []  # breaks the reference cycle, which would be left to the garbage collector


def attempt_states(call: Call) -> list[tuple[int, float]]:
    """Return the status (-1: in flight) and the send time of each attempt of a call."""
    return [(attempt.status, attempt.sent_at) for attempt in call.attempts]
