"""Calls and their attempts, and the one gate for every send and every final answer. Pure; part of the
decisions.

Seconds throughout.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from gladegw.balancing.events import NEVER_RAN, Action, Effect, Fail, Reject, Send, ServerState, Settings
from gladegw.balancing.parameters import CONTROL_STEP_S

if TYPE_CHECKING:
    from gladegw.balancing.admission import ClassState
    from gladegw.balancing.server_selection import Server

MAX_REMEMBERED_CALLS = 1000  # calls that are over whose ids are still known


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
        "status",
    )

    def __init__(self, call: Call, number: int, server: Server, sent_at: float, load: float) -> None:
        self.call, self.number, self.server, self.sent_at, self.load = call, number, server, sent_at, load
        self.status = -1  # still out
        self.in_window = True  # takes a place in W
        self.counted_late = False  # has been counted as late
        self.connection_idle = 0.0  # s that the connection had not been used; 0: in use or new
        self.new_connection = False  # the connection was new
        self.hedged = False


class Call:
    """A client's call, from its arrival to its final answer, with its attempts."""

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
        self.max_attempts = 0  # attempts that its route allows; 0: the settings'
        self.in_flight = 0
        self.ended = self.streaming = self.queued = False
        self.queue_position: int | None = None  # in the queue, when last held
        self.probed_candidates: list[Server] | None = None  # servers probed for this call alone
        self.probe_wait_until = 0.0

    def __lt__(self, other: Call) -> bool:
        return self.order < other.order


class RequestLifecycle:
    """The one gate for every send and every final answer. Whatever the heuristics want, the rules hold."""

    def __init__(self, settings: Settings, actions: list[Action]) -> None:
        self.settings = settings
        self.actions = actions
        self.calls: dict[int, Call] = {}
        self.finished: dict[int, None] = {}  # ids of the last calls that are over: no news

    @staticmethod
    def may_have_run(call: Call) -> Attempt | None:
        """The earliest attempt that ran, may have run or may still run."""
        for attempt in call.attempts:
            if attempt.status not in NEVER_RAN:
                return attempt
        return None

    def may_send(self, call: Call, server: Server, now: float) -> bool:
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
        """Whether the settings, or the call's route, allow no further attempt. A route counts those that may
        have run; what was turned away unseen is none of its concern."""
        if len(call.attempts) >= self.settings.max_attempts:
            return True
        return call.max_attempts > 0 and call.max_attempts <= sum(
            a.status not in NEVER_RAN for a in call.attempts
        )

    @staticmethod
    def same_group(cls: ClassState, one: Server, other: Server) -> bool:
        if cls.group == "all":
            return True
        if cls.group == "zone":
            return one.zone == other.zone
        return one.zone == other.zone and one.cell == other.cell

    def may_reject(self, call: Call) -> bool:
        effect = call.cls.effect
        if effect is Effect.IDEMPOTENT or (effect is Effect.IDEMPOTENCY_KEY and call.cls.group == "all"):
            return True
        return self.may_have_run(call) is None

    def may_retry(self, call: Call) -> bool:
        """Whether some further attempt could still be allowed."""
        if call.ended or call.streaming or self.attempts_exhausted(call):
            return False
        return call.cls.effect is not Effect.NOT_IDEMPOTENT or self.may_have_run(call) is None

    def send(self, call: Call, server: Server, now: float, timeout: float, load: float) -> Attempt | None:
        if not self.may_send(call, server, now):
            return None
        timeout = max(CONTROL_STEP_S / 10, min(timeout, call.deadline - now))
        self.actions.append(Send(call.id, server.id, timeout, self.start_within(call, now)))
        attempt = Attempt(call, len(call.attempts), server, now, load)
        call.attempts.append(attempt)
        call.in_flight += 1
        return attempt

    def start_within(self, call: Call, now: float) -> float:
        """How long a further attempt may take to begin (seconds): a connection may be slow to come up."""
        first = self.may_have_run(call)
        if first is None or call.cls.effect is not Effect.IDEMPOTENCY_KEY:
            return math.inf
        return first.sent_at + call.cls.window - now

    def answer(self, call: Call, retry_after: float = 0.0) -> None:
        """The final answer: a refusal where it may be said that a further try is harmless, else a failure."""
        if call.ended:
            return
        if self.may_reject(call):
            self.actions.append(Reject(call.id, retry_after))
        else:
            self.actions.append(Fail(call.id))
        self.end(call)

    def reject_unknown(self, id: int) -> None:
        """The one answer to what cannot be a call: its class is unknown or its time is over."""
        self.actions.append(Reject(id))
        self.remember(id)

    def remember(self, id: int) -> None:
        self.finished[id] = None
        if len(self.finished) > MAX_REMEMBERED_CALLS:
            del self.finished[next(iter(self.finished))]

    def end(self, call: Call) -> None:
        call.ended = True
        self.forget(call)

    def settle(self, attempt: Attempt, status: int, final: bool) -> None:
        call = attempt.call
        if attempt.status < 0:
            call.in_flight -= 1
        attempt.status = status
        if final:
            call.ended = True
        self.forget(call)

    def forget(self, call: Call) -> None:
        if call.ended and not call.in_flight:
            self.calls.pop(call.id, None)
            self.remember(call.id)


def counted_attempts(call: Call) -> list[tuple[int, float]]:
    """How a call's attempts stand, and when they were sent."""
    return [(attempt.status, attempt.sent_at) for attempt in call.attempts]
