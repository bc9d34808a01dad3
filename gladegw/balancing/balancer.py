"""All decisions of a gladegw instance; its inputs and outputs are defined in gladegw/balancing/events.py.

The Balancer takes events and returns actions; `requests`, `admission`, `server_selection`, `health_checks`,
`endpoint_freshness` and `subsetting` hold its parts. All times are in seconds. No I/O, no clock, no mutable
globals; random numbers come from a seeded source of its own.
"""

from __future__ import annotations

import math
from bisect import insort
from random import Random
from typing import Any

from gladegw.balancing.admission import Admission, ClassState
from gladegw.balancing.endpoint_freshness import EndpointFreshness
from gladegw.balancing.events import (
    Action,
    Arrival,
    Cancel,
    ClientDisconnected,
    CloseIdle,
    DecisionObserver,
    DiscoveryFailure,
    Effect,
    Event,
    ListKind,
    ListState,
    Log,
    Outcome,
    ProbeResult,
    RejectionReason,
    RequestCompleted,
    ServerList,
    SetTimer,
    Settings,
    Stalled,
    Status,
    StreamStarted,
    Timer,
    Watch,
)
from gladegw.balancing.health_checks import HealthChecker
from gladegw.balancing.parameters import (
    CONTROL_STEP_S,
    INITIAL_WINDOW,
    MAX_COUNTED_EJECTIONS,
    MAX_EJECTION_S,
    MAX_FAILURE_LATENCIES,
    MIN_EJECTION_S,
    RATE_MEMORY_S,
)
from gladegw.balancing.requests import Attempt, Call, RequestLifecycle, attempt_states
from gladegw.balancing.server_selection import Server, ServerSelector

# After a longer gap between batches, the measured latencies include a pause of this instance itself.
STALL_GAP_S = 4 * CONTROL_STEP_S
# A queued call is answered at the latest this long before the client's deadline.
ANSWER_MARGIN_S = 2 * CONTROL_STEP_S
MIN_LATENCY_S = 1e-4  # lower bound of a measured latency: mean latencies are divisors and must not be 0
INITIAL_WINDOW_FRACTION = 0.5  # initial window, as a fraction of the overload limit
SAMPLE_DECAY = 0.9  # factor on the weight of the older samples when a sample is added
DISPATCH_LATENCIES = 2.0  # time reserved for a queued call's attempt, in mean latencies: the tail is long
RETRY_BUDGET_FRACTION = 0.15  # retries per arriving call: limits how retries multiply across tiers
RETRY_BUDGET_BURST = 5.0  # retries that the budget can accumulate
STUCK_LATENCIES = 4.0  # age, in mean latencies, above which an attempt counts as stuck
ALIVE_S = 1.0  # a server whose last success is more recent than this is not down
CONNECTION_LIMIT_S = 5.0  # time for which a live server that refused a connection gets no new ones
ERROR_RATE_EXCESS = 0.35  # a server is ejected if its error rate exceeds the pool's by more than this
IDLE_TRUST_GROWTH_S = 15.0  # time constant of the growth of the trusted idle time
# Above this cost of a new connection, in mean latencies, an untrusted idle connection is used instead.
EXPENSIVE_CONNECT_LATENCIES = 1.5
# Time for which a call waits for an update while the list is expired: an update may be unread after a stall.
EXPIRED_LIST_WAIT_S = 0.1
MIN_UPDATE_WAIT_S = 0.25  # from the begin of a call to discovery to its answer, for the retry delay
CONNECT_SAMPLES = 30  # samples over which the costs of new and of open connections are averaged
RETRY_AFTER_FRACTION = 0.25  # retry delay sent to clients, as a fraction of the processing time
MAX_INCOMPLETE_IN_FLIGHT = 64  # attempts of requests that are still being received; a driver may change it
TICK_TOKEN = 1  # token of the control step's timer
# Verdicts on a call; captures store the values.
QUEUED, SHED, TOO_LATE, QUEUE_FULL, DISPLACED, ATTEMPTS_EXHAUSTED = (
    "held",
    "cut",
    "late",
    "queue",
    "displaced",
    "tries",
)
REJECTION_REASONS = {
    TOO_LATE: RejectionReason.TOO_LATE,
    QUEUE_FULL: RejectionReason.QUEUE_FULL,
    DISPLACED: RejectionReason.DISPLACED,
}


class Balancer:
    """Makes all decisions of one instance.

    `handle` processes all events of a batch, then admits and queues the calls that arrived in it, then sends
    the queued calls of highest priority weight.
    """

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings = settings
        self.random = Random(seed)
        self.actions: list[Action] = []
        self.lifecycle = RequestLifecycle(settings, self.actions)
        self.classes = {cls.name: ClassState(cls, settings.stage) for cls in settings.classes}
        self.admission = Admission(settings.stage, self.random)
        self.freshness = EndpointFreshness(
            self.random,
            settings.polls_endpoints,
            settings.drain_grace,
            settings.watch_is_confirmed,
        )
        self.servers = ServerSelector(settings, self.random, self.freshness)
        # By tenant: this instance's share of the quota in calls per second, and the calls left of it.
        self.quota = {t.name: t.quota_per_s / settings.balancers for t in settings.tenants}
        self.quota_left = {name: quota for name, quota in self.quota.items()}
        self.queue: list[Call] = []  # ordered by priority weight, highest first
        self.in_flight: dict[tuple[int, int], Attempt] = {}  # by call and number of the attempt
        self.window_in_use = 0  # attempts that count against the window
        self.max_incomplete = MAX_INCOMPLETE_IN_FLIGHT
        self.incomplete_in_flight = 0  # attempts of requests that are still being received
        self.arrivals = self.sends = 0  # since the last control step
        self.retry_tokens = RETRY_BUDGET_BURST
        self.now = 0.0
        self.last_step = -1.0  # time of the last control step; negative before the first batch
        self.stalled = False  # the instance itself paused before this batch
        self.timer_set = False  # the timer of the next control step is pending
        self.health_checks = HealthChecker(
            settings, self.random, self.servers, self.admission, self.freshness, self.actions
        )
        self.observer: DecisionObserver | None = None
        self.arrival_inputs: dict[int, dict[str, Any]] = {}  # by call id; reported to the observer

    def handle(self, now: float, events: list[Event]) -> list[Action]:
        """Process a batch of events at time `now` (seconds) and return the actions to take, in order."""
        self.now = now
        self.stalled = 0 <= self.last_step < now - STALL_GAP_S
        self.actions.clear()
        new_calls: list[Call] = []
        for event in events:
            if type(event) is Outcome:
                self.on_outcome(event)
            elif type(event) is Arrival:
                self.on_arrival(event, new_calls)
            elif type(event) is Timer:
                if event.token == TICK_TOKEN:
                    self.timer_set = False
            elif type(event) is ProbeResult:
                self.on_probe_result(event)
            elif type(event) is ServerList:
                self.on_endpoint_list(event)
            elif type(event) is ClientDisconnected:
                self.on_client_disconnected(event)
            elif type(event) is RequestCompleted:
                self.on_request_completed(event)
            elif type(event) is StreamStarted:
                self.on_stream_started(event)
            elif type(event) is Stalled:
                for attempt in self.in_flight.values():
                    attempt.stalled_for += event.seconds
        if self.last_step < 0:
            self.start()
        elif now - self.last_step >= CONTROL_STEP_S - 1e-9:
            self.control_step()
        self.check_list_age()
        for call in new_calls:
            if not call.ended:  # the client may disconnect within the same batch
                self.admit(call)
        self.arrival_inputs.clear()
        self.dispatch()
        self.trim_queue()
        if not self.timer_set:
            self.timer_set = True
            self.actions.append(SetTimer(CONTROL_STEP_S, TICK_TOKEN))
        return list(self.actions)

    def start(self) -> None:
        """Set the initial concurrency window and the first poll of discovery, after the first batch."""
        self.last_step = self.now
        _, overload_limit = self.servers.available_capacity(self.now, 0.0)
        self.admission.window = max(INITIAL_WINDOW, INITIAL_WINDOW_FRACTION * overload_limit)
        self.freshness.start(self.now, self.settings.max_poll_gap)

    # events
    def on_endpoint_list(self, event: ServerList) -> None:
        """Apply an endpoint list, a failed poll or a change of discovery's address."""
        if event.kind is ListKind.FAILED:
            freshness = self.freshness
            is_repeated = freshness.consecutive_failures > 0 and event.failure is freshness.last_failure
            freshness.on_failure(self.now, event.failure, event.missed_for, event.as_of)
            if is_repeated and event.failure is DiscoveryFailure.CONNECTION_REFUSED:
                return  # polled several times a second
            self.log(
                f"discovery poll failed, retry scheduled: in_s={freshness.next_poll_at - self.now:.3f} "
                f"reason={event.failure.value!r} failures={freshness.consecutive_failures} "
                f"lapses_in_s={freshness.expires_at - self.now:.3f}"
            )
            return
        if event.kind is ListKind.ADDRESS_CHANGED:
            self.freshness.on_address_change(min(self.now, event.as_of))
            return
        if event.current:
            self.freshness.on_update(self.now, event.kind is not ListKind.CACHED, event.as_of)
        self.servers.apply_list(event)
        self.admission.set_min_window(len(self.servers.servers), self.settings.balancers)

    def on_arrival(self, event: Arrival, new_calls: list[Call]) -> None:
        """Create a call for an arrival and append it to `new_calls`, or reject an invalid arrival."""
        if event.call in self.lifecycle.calls or event.call in self.lifecycle.finished:
            return
        cls = self.classes.get(event.cls)
        if cls is None or not 0 < event.budget < math.inf:
            self.lifecycle.reject_unknown(event.call)
            if self.observer is not None:
                self.observer(event.call, "admit", {"at": self.now}, SHED)
            return
        quota = self.quota_left.get(event.tenant) if self.settings.stage == 0 else None
        if quota is not None and quota >= 1:
            self.quota_left[event.tenant] -= 1
        typical_budget = 0.0
        if not (cls.counts_late or self.settings.stage):
            typical_budget = cls.typical_budget(event.budget + event.waited)
        call = self.make_call(event, cls, quota, typical_budget)
        call.max_attempts = event.max_attempts
        if self.observer is not None:
            self.arrival_inputs[call.id] = {"work": event.work, "quota": quota, "usual": typical_budget}
            if event.max_attempts:
                self.arrival_inputs[call.id]["most"] = event.max_attempts
            if event.route_timeout < math.inf:
                self.arrival_inputs[call.id]["limit"] = event.route_timeout
            if event.waited:
                self.arrival_inputs[call.id]["waited"] = event.waited
        self.lifecycle.calls[call.id] = call
        call.incomplete = event.incomplete
        if not call.incomplete:
            self.count_arrival(call)
        new_calls.append(call)

    def count_arrival(self, call: Call) -> None:
        """Count a complete request; one whose client may never complete it is no load yet."""
        self.arrivals += 1
        call.cls.recent_arrivals += 1
        self.admission.history.append(call.priority_weight)
        self.retry_tokens = min(RETRY_BUDGET_BURST, self.retry_tokens + RETRY_BUDGET_FRACTION)

    def on_request_completed(self, event: RequestCompleted) -> None:
        """Process the last byte of a request: from now on it is work, also of the server that received it."""
        call = self.lifecycle.calls.get(event.call)
        if call is None or not call.incomplete:
            return
        call.incomplete = False
        self.count_arrival(call)
        for attempt in call.attempts:
            if attempt.incomplete and attempt.status < 0:
                self.end_receiving(attempt)
                self.count_send(attempt)

    def end_receiving(self, attempt: Attempt) -> None:
        """Stop to count an attempt as one whose request is still being received."""
        attempt.incomplete = False
        attempt.server.incomplete -= 1
        self.incomplete_in_flight -= 1

    def count_send(self, attempt: Attempt) -> None:
        """Count an attempt as work of its server."""
        server = attempt.server
        server.sent_since_report += 1
        if self.servers.warmup_fraction(server, self.now) < 1:
            server.warmup_tokens -= self.mean_call_equivalents(attempt.call)
        self.sends += 1

    def make_call(self, event: Arrival, cls: ClassState, quota: float | None, typical_budget: float) -> Call:
        """Return the call of an arrival.

        `quota`: calls left of its tenant's quota (None: no quota). `typical_budget`: median budget of its
        class, in seconds (0: not determined).
        """
        now = self.now
        priority_weight = cls.priority_weight
        if self.settings.weight_by_work and event.work > 0:
            priority_weight *= event.work
        if quota is not None and quota < 1:
            priority_weight *= self.settings.over_quota_weight
        objective_left = self.objective_left(cls, event.budget, typical_budget, event.waited)
        left = min(event.budget, event.route_timeout)
        useful = left if cls.counts_late else min(left, objective_left)
        return Call(event.call, cls, priority_weight, now, now + left, now + useful)

    def is_admitted(self, call: Call) -> bool:
        """Return whether the call passes the admission threshold and can still be answered in time."""
        return self.admission.admits(call.priority_weight) and call.useful_until > self.now

    def admit(self, call: Call) -> None:
        """Queue a new call, or reject it."""
        admitted = self.is_admitted(call)
        if self.observer is not None:
            admission = self.admission
            threshold = None if math.isinf(admission.threshold) else admission.threshold
            inputs = {"cut": threshold, "tie": admission.tie_reject_fraction, "draw": admission.last_draw}
            inputs |= {"at": self.now, **self.arrival_inputs[call.id]}
            self.observer(call.id, "admit", inputs, QUEUED if admitted else SHED)
        if admitted:
            self.enqueue(call)
        else:
            self.reject(call, RejectionReason.SHED)

    def objective_left(
        self, cls: ClassState, budget: float, typical_budget: float, waited: float = 0.0
    ) -> float:
        """Return the seconds left of the latency objective, to prevent work on answers that come too late.

        For an inner call this is the whole objective: its budget already is the useful time that its caller's
        instance left it. At the first tier a budget below the typical one means that the client has already
        spent time on earlier attempts; how much follows from the deadline. The typical budget is a median:
        with a maximum, a few unusually long budgets would make every first attempt look like a late retry.
        `waited` is the time that the request has waited here or in another pool. It counts as part of the
        budget, because it was not spent on an earlier attempt of the client.
        """
        if self.settings.stage or budget + waited >= typical_budget - CONTROL_STEP_S:
            return cls.latency_objective
        return cls.latency_objective - (cls.deadline - budget)

    def enqueue(self, call: Call) -> None:
        """Insert a call into the queue, which is ordered by priority weight."""
        call.queued = True
        insort(self.queue, call)

    def retry_after(self) -> float:
        """Return the seconds after which a rejected client should retry; 0: no hint is sent.

        By then the calls that now fill the window should have been answered, and an expired list can have
        been updated. Without a hint clients retry sooner, during the same overload.
        """
        if not self.settings.may_send_retry_after:
            return 0.0
        delay = max(CONTROL_STEP_S, RETRY_AFTER_FRACTION * self.admission.processing_time)
        if self.servers.list_expired:
            delay = max(delay, self.freshness.next_answer_in(self.now) + MIN_UPDATE_WAIT_S)
        return min(self.settings.max_retry_after, delay)

    def reject(self, call: Call, reason: RejectionReason) -> None:
        """Give the final answer to a call that gets no further attempt."""
        self.lifecycle.answer(call, self.retry_after(), reason)

    def on_client_disconnected(self, event: ClientDisconnected) -> None:
        """Drop a call whose client disconnected, and cancel its attempts."""
        call = self.lifecycle.calls.get(event.call)
        if call is None or call.ended:
            return
        if call.queued:
            self.queue.remove(call)
            call.queued = False
        self.lifecycle.end(call)
        self.cancel_others(call)

    def cancel_others(self, call: Call) -> None:
        """Cancel the attempts of a call that are in flight, where the settings allow it."""
        if call.in_flight and self.settings.may_cancel and not call.streaming:
            for attempt in call.attempts:
                if attempt.status < 0:
                    self.actions.append(Cancel(call.id, attempt.number))

    def on_stream_started(self, event: StreamStarted) -> None:
        """Process the start of a streamed answer: its attempt no longer counts against the window."""
        attempt = self.in_flight.get((event.call, event.attempt))
        if attempt is not None:
            attempt.call.streaming = True
            if attempt.in_window:
                attempt.in_window = False
                self.window_in_use -= 1

    def on_outcome(self, event: Outcome) -> None:
        """Process the outcome of an attempt: learn from it, then finish, retry or reject its call."""
        attempt = self.in_flight.pop((event.call, event.attempt), None)
        if attempt is None:
            return
        call, server, cls, now = attempt.call, attempt.server, attempt.call.cls, self.now
        status = event.status
        busy = self.window_in_use
        server.in_flight -= 1
        if attempt.incomplete:
            self.end_receiving(attempt)
        elif status != Status.NOT_SENT:
            server.sent_since_report -= 1
        if status == Status.OK:
            server.used_at = now
        if attempt.in_window:
            self.window_in_use -= 1
        was_ended = call.ended
        self.lifecycle.settle(attempt, status, event.final)
        self.servers.report(server, event.report, now)
        self.learn_from_outcome(attempt, status, event.elapsed, busy)
        if call.ended:
            if not was_ended:
                if call.queued:
                    self.queue.remove(call)
                    call.queued = False
                self.cancel_others(call)
            return
        if call.in_flight or call.queued:
            return
        retried = self.may_retry(call)
        if self.observer is not None:
            inputs = {
                "at": now,
                "mean": cls.mean.value,
                "tokens": self.retry_tokens,
                "tries": attempt_states(call),
            }
            self.observer(call.id, "repeat", inputs, QUEUED if retried else ATTEMPTS_EXHAUSTED)
        if retried:
            self.retry_tokens -= 1
            self.enqueue(call)
        else:
            self.reject(call, RejectionReason.ATTEMPTS_EXHAUSTED)

    def may_retry(self, call: Call) -> bool:
        """Return whether a call whose attempts have all failed may be queued for a further one."""
        left = call.useful_until - self.now
        return self.lifecycle.may_retry(call) and left > call.cls.mean.value and self.retry_tokens >= 1

    def learn_from_outcome(self, attempt: Attempt, status: int, elapsed: float, busy: int) -> None:
        """Update the admission control and the server's statistics from an outcome.

        `elapsed` is in seconds; `busy` is the number of attempts in the window before this outcome.
        """
        server, now = attempt.server, self.now
        if status in (Status.CANCELLED, Status.NOT_SENT):
            return
        if self.stalled and status in (Status.OK, Status.TIMEOUT):
            # The instance itself paused, so the latency says nothing about the server and must neither shrink
            # the window nor eject the server. Drawback: a slow server is noticed one batch later.
            if status == Status.OK:
                server.last_ok = now
            return
        elapsed = max(elapsed, MIN_LATENCY_S)
        self.update_admission(attempt, status, elapsed, busy)
        self.update_server_capacity(attempt, status, elapsed)
        self.update_server_health(attempt, status)

    def update_admission(self, attempt: Attempt, status: int, elapsed: float, busy: int) -> None:
        """Update the latency statistics and the concurrency window.

        `elapsed` is in seconds; `busy` is the number of attempts in the window before this outcome.
        """
        cls, server, admission, servers = attempt.call.cls, attempt.server, self.admission, self.servers
        ok = status == Status.OK
        if ok or (status == Status.TIMEOUT and not server.ejected_until):
            admission.observe_latency(elapsed)
            cls.mean.add(elapsed, 50)
        if ok and elapsed <= cls.target:
            admission.on_good_answer(busy)
        elif status in (Status.ERROR, Status.REJECTED):
            own_fault = server.errors > servers.errors.value + 0.1
            if not own_fault and (status == Status.REJECTED or servers.is_overloaded(server, self.now)):
                admission.on_late_answer()
        elif (
            not attempt.counted_late
            and attempt.in_window
            and (status == Status.TIMEOUT or (ok and servers.is_overloaded(server, self.now)))
        ):
            admission.on_late_answer()

    def update_server_capacity(self, attempt: Attempt, status: int, elapsed: float) -> None:
        """Update the server's capacity (load relative to latency) and the cost of connections.

        Latencies are stored in mean latencies of the class; `elapsed` is in seconds.
        """
        cls, server, servers = attempt.call.cls, attempt.server, self.servers
        ok = status == Status.OK
        latency = elapsed / cls.mean.value
        if ok or (status == Status.CONNECT_FAILED and elapsed > 0.1 * cls.mean.value):
            cost = min(MAX_FAILURE_LATENCIES, latency + (not ok))
            (servers.new_connection_cost if attempt.new_connection else servers.open_connection_cost).add(
                cost, CONNECT_SAMPLES
            )
        if not ok:
            # A failure counts as a slow answer, because a server that fails fast would look idle.
            latency = MAX_FAILURE_LATENCIES
        if status != Status.CONNECT_FAILED:
            latency = min(latency, MAX_FAILURE_LATENCIES)
            server.latency_sum = server.latency_sum * SAMPLE_DECAY + latency
            server.load_sum = server.load_sum * SAMPLE_DECAY + attempt.load + 1
            servers.mean_load.add(attempt.load + 1, 100)

    def update_server_health(self, attempt: Attempt, status: int) -> None:
        """Update the server's error rate and streaks, and eject it if it is an outlier."""
        server, servers, now = attempt.server, self.servers, self.now
        ok = status == Status.OK
        failed = status in (Status.ERROR, Status.RESET, Status.REJECTED)
        server.errors += (failed - server.errors) * 0.2
        servers.errors.add(float(failed), 100)
        if ok:
            server.last_ok = now
            server.slow_streak = server.fail_streak = 0
            if server.on_trial:
                server.on_trial = False
            elif server.ejections and not server.ejected_until:
                server.ejections = 0
        elif status == Status.CONNECT_FAILED and now - server.last_ok < ALIVE_S:
            # The server answers other calls, so it is not down but has reached its connection limit. Ejecting
            # it would move its load to the other servers; instead only its open connections are used.
            server.max_in_flight, server.max_in_flight_until = (
                max(1, server.in_flight),
                now + CONNECTION_LIMIT_S,
            )
        elif status == Status.RESET and servers.lost_idle_connection(attempt, now):
            pass
        elif status in (Status.CONNECT_FAILED, Status.RESET):
            self.eject(server, hard=True)
        elif status == Status.TIMEOUT:
            servers.lost_idle_connection(attempt, now)
            server.slow_streak += 1
            if server.on_trial or (server.slow_streak >= 3 and server.last_ok < attempt.sent_at):
                self.eject(server, hard=False)
        if failed and (server.on_trial or server.errors > servers.errors.value + ERROR_RATE_EXCESS):
            self.eject(server, hard=False)

    def eject(self, server: Server, hard: bool) -> None:
        """Eject a server; its attempts in flight no longer count against the window."""
        if not self.servers.eject(server, self.now, hard):
            return
        for attempt in self.in_flight.values():
            if attempt.server is server and attempt.in_window:
                attempt.in_window = False
                self.window_in_use -= 1
        self.servers.fill_pool()

    def on_probe_result(self, event: ProbeResult) -> None:
        """Process the result of a health probe: readmit, keep ejected or eject the server."""
        server = self.servers.servers.get(event.server)
        if server is None:
            return
        server.probe_pending = False
        if event.status == Status.OK:
            server.fail_streak = 0
            self.servers.report(server, event.report, self.now)
            if server.ejected_until and self.now >= server.ejected_until:
                self.servers.readmit(server, self.now)
                self.servers.fill_pool()
        elif event.status != Status.REJECTED:
            server.fail_streak += 1
            if server.ejected_until:
                server.ejected_until = self.now + min(MAX_EJECTION_S, MIN_EJECTION_S * 2**server.ejections)
                server.ejections = min(server.ejections + 1, MAX_COUNTED_EJECTIONS)
            elif server.fail_streak >= 2 and server.last_ok < self.now - self.servers.mean_latency:
                self.eject(server, hard=True)

    # the control step
    def control_step(self) -> None:
        """Run the periodic updates: rates, latency targets, polls, health checks and the threshold."""
        now = self.now
        span = now - self.last_step
        self.last_step = now
        admission, servers = self.admission, self.servers
        admission.observe_rate(self.arrivals, span)
        servers.send_rate += (self.sends / span - servers.send_rate) * min(1.0, span / RATE_MEMORY_S)
        self.arrivals = self.sends = 0
        for name, quota in self.quota.items():
            self.quota_left[name] = min(max(1.0, quota), self.quota_left[name] + quota * span)
        admission.observe_mix(self.classes.values(), span)
        for cls in self.classes.values():
            cls.update_target(span)
        self.poll_endpoints()
        self.check_in_flight_ages()
        if admission.latency.count:
            servers.mean_latency = servers.call_time = max(admission.latency.value, 1e-3)
        servers.refill_warmup_tokens(now, span)
        admission.available_fraction, admission.overload_limit = servers.available_capacity(now, span)
        servers.trusted_idle = min(
            self.settings.conn_idle, servers.trusted_idle * (1 + span / IDLE_TRUST_GROWTH_S)
        )
        self.health_checks.recover_ejected(now)
        self.health_checks.probe(now, span)
        admission.update_threshold()

    def poll_endpoints(self) -> None:
        """Open a watch at discovery if one is due."""
        if self.freshness.should_poll(self.now):
            self.actions.append(Watch(True))

    def check_list_age(self) -> None:
        """Withhold servers while the endpoint list is expired, and log each change."""
        servers, freshness, now = self.servers, self.freshness, self.now
        expired = freshness.is_expired(now)
        if expired == servers.list_expired:
            return
        servers.list_expired = expired
        servers.withhold()
        self.log(
            f"endpoint list {'expired' if expired else 'current again'}: "
            f"age_s={now - freshness.current_as_of:.3f} failures={freshness.consecutive_failures} "
            f"last_failure={freshness.last_failure.value!r} polled_s_ago={now - freshness.polled_at:.3f} "
            f"servers={len(servers.pool)}"
        )

    def discovery_move_delay(self) -> float:
        """Return the seconds after which a new address of discovery is polled."""
        return self.freshness.move_delay(self.settings.balancers)

    @property
    def list_state(self) -> ListState:
        """State of the endpoint list at the latest batch."""
        if self.servers.list_expired:
            return ListState.EXPIRED
        return ListState.STALE if self.freshness.is_going_stale(self.now) else ListState.CURRENT

    def log(self, text: str) -> None:
        """Append a Log action."""
        self.actions.append(Log(text))

    def check_in_flight_ages(self) -> None:
        """Learn from the ages of attempts in flight, because a hung server produces no outcomes."""
        now = self.now
        total = counted = 0.0
        stuck: list[Attempt] = []
        for attempt in self.in_flight.values():
            if attempt.call.streaming:
                continue  # its duration depends on the size of the answer and on the client
            age = now - attempt.sent_at - attempt.stalled_for
            cls = attempt.call.cls
            if attempt.in_window:
                total += age / cls.mean.value
                counted += 1
                if (
                    not attempt.counted_late
                    and age > cls.target
                    and self.servers.is_overloaded(attempt.server, now)
                ):
                    attempt.counted_late = True
                    self.admission.on_late_answer()
            if age > STUCK_LATENCIES * cls.mean.value and not attempt.hedged:
                stuck.append(attempt)
        self.admission.in_flight_age = total / counted if counted else 0.0
        for attempt in stuck:
            server = attempt.server
            if server.last_ok < attempt.sent_at and not server.ejected_until:
                attempt.hedged = True
                server.slow_streak += 1
                if server.slow_streak >= 2 or server.on_trial:
                    self.eject(server, hard=False)
            self.hedge_stuck(attempt)

    def hedge_stuck(self, attempt: Attempt) -> None:
        """Hedge a call that seems stuck, if it is idempotent.

        Queues a further attempt; where the settings forbid hedging, cancels the attempt instead.
        """
        if self.settings.may_hedge and not self.settings.hedges_are_sent:
            return
        call = attempt.call
        if call.ended or call.streaming or call.queued or call.in_flight > 1 or self.retry_tokens < 1:
            return
        if call.cls.effect is not Effect.IDEMPOTENT or not self.lifecycle.may_retry(call):
            return
        if call.useful_until - self.now < call.cls.mean.value:
            return
        attempt.hedged = True
        if self.settings.may_hedge:
            self.retry_tokens -= 1
            self.enqueue(call)
        elif self.settings.may_cancel:
            self.actions.append(Cancel(call.id, attempt.number))

    # the queue
    def is_too_late(self, call: Call) -> bool:
        """Return whether a call would most likely end too late to be useful.

        With no other attempt in flight it is sent anyway, so that a mean latency that is too high can be
        corrected by a new sample.
        """
        return (
            bool(self.window_in_use)
            and call.useful_until - self.now < call.cls.mean.value
            and not call.in_flight
        )

    def has_room_for(self, call: Call) -> bool:
        """Return whether an attempt of the call may be in flight; the window counts complete requests."""
        if call.incomplete:
            return self.incomplete_in_flight < self.max_incomplete
        return self.window_in_use + 1 <= self.admission.limit

    def dispatch(self) -> None:
        """Send queued calls in order while the concurrency window has room."""
        position = 0
        now = self.now
        queue, servers = self.queue, self.servers
        while position < len(queue):
            call = queue[position]
            if not self.has_room_for(call):
                position += 1
                continue
            if self.is_too_late(call):
                del queue[position]
                call.queued = False
                if self.observer is not None:
                    inputs = {
                        "at": now,
                        "mean": call.cls.mean.value,
                        "busy": self.window_in_use,
                        "tries": attempt_states(call),
                    }
                    self.observer(call.id, "start", inputs, TOO_LATE)
                self.reject(call, RejectionReason.TOO_LATE)
                continue
            if self.health_checks.awaits_candidate_probes(call, now):
                position += 1
                continue
            choice = servers.pick(call, self.lifecycle, now)
            if choice is None:
                if not (call.attempts or call.incomplete):
                    return
                position += 1
                continue
            server, load = choice
            if self.observer is not None:
                inputs = {
                    "at": now,
                    "mean": call.cls.mean.value,
                    "busy": self.window_in_use,
                    "tries": attempt_states(call),
                }
                self.observer(call.id, "pick", inputs | servers.pick_inputs(), server.id)
            del queue[position]
            call.queued = False
            self.send_attempt(call, server, load)

    def send_attempt(self, call: Call, server: Server, load: float) -> None:
        """Send an attempt to a server and update the counters.

        `load` is the estimated number of calls that the server holds. An idle connection that is no longer
        trusted is closed first, unless a new one is expensive.
        """
        now, servers = self.now, self.servers
        until = call.deadline if call.cls.counts_late else max(call.useful_until, now + CONTROL_STEP_S)
        idle = servers.idle(server, now)
        if idle > servers.trusted_idle and servers.connect_cost < EXPENSIVE_CONNECT_LATENCIES:
            self.actions.append(CloseIdle(server.id))
            idle, server.used_at = 0.0, -math.inf
        opens_connection = server.used_at < now - self.settings.conn_idle
        attempt = self.lifecycle.send(call, server, now, until - now, load, self.start_before())
        if attempt is None:
            return
        self.in_flight[(call.id, attempt.number)] = attempt
        attempt.connection_idle, attempt.new_connection, server.used_at = idle, opens_connection, now
        server.in_flight += 1
        if call.incomplete:
            attempt.incomplete, attempt.in_window = True, False
            server.incomplete += 1
            self.incomplete_in_flight += 1
            return
        self.count_send(attempt)
        self.window_in_use += 1

    def start_before(self) -> float:
        """Return when an attempt may no longer begin; a connect can delay it."""
        if not self.settings.watch_is_confirmed:
            return math.inf
        return self.freshness.expires_at

    def mean_call_equivalents(self, call: Call) -> float:
        """Return the call's expected work in calls of mean latency, the unit of slow-start budgets."""
        return call.cls.mean.value / self.servers.mean_latency if self.admission.latency.count else 1.0

    def trim_queue(self) -> None:
        """Reject queued calls that are expected to wait longer than their useful time allows.

        The expected wait at a position is (position + 1) * processing time / window.
        """
        if not self.queue:
            return
        wait = self.admission.processing_time / self.admission.limit
        retained: list[Call] = []
        complete = 0  # of these, the ones that wait for the window
        for call in self.queue:
            if self.servers.list_expired and self.now - call.arrived >= EXPIRED_LIST_WAIT_S:
                call.queued = False
                if not call.in_flight:
                    self.reject(call, RejectionReason.LIST_EXPIRED)
                continue
            verdict = self.queue_verdict(call, complete, wait)
            if self.observer is not None and (verdict != QUEUED or call.queue_position is None):
                inputs = {
                    "at": self.now,
                    "mean": call.cls.mean.value,
                    "place": complete,
                    "before": call.queue_position,
                    "wait": wait,
                    "asked_until": call.probe_wait_until,
                    "tries": attempt_states(call),
                }
                self.observer(call.id, "hold", inputs, verdict)
            if verdict == QUEUED:
                call.queue_position = complete
                retained.append(call)
                complete += not call.incomplete
            else:
                call.queued = False
                if not call.in_flight:
                    self.reject(call, REJECTION_REASONS[verdict])
        self.queue[:] = retained

    def queue_verdict(self, call: Call, position: int, wait: float) -> str:
        """Return QUEUED if a call can wait at this position, else the reason why not.

        `wait` is the expected wait per position, in seconds. TOO_LATE: it cannot be answered in time.
        DISPLACED: calls of higher priority weight moved it back from a position where it could wait.
        QUEUE_FULL: the wait is too long here and at its previous position, if it had one.
        """
        now = self.now
        left = call.useful_until - now
        # A call that waits for probes of its candidates is sent or checked again before its deadline, so it
        # needs no margin. With less than a mean latency left, its work would be wasted.
        probing = now < call.probe_wait_until - 1e-9 and left > call.cls.mean.value
        if not (left > 0 and (probing or call.deadline - now > ANSWER_MARGIN_S)):
            return TOO_LATE
        if self.fits_in_queue(call, position, wait, left):
            return QUEUED
        previous_position = call.queue_position
        return (
            DISPLACED
            if previous_position is not None and self.fits_in_queue(call, previous_position, wait, left)
            else QUEUE_FULL
        )

    @staticmethod
    def fits_in_queue(call: Call, position: int, wait: float, left: float) -> bool:
        """Return whether the expected wait at a position leaves enough time for the attempt.

        `wait` is the expected wait per position, `left` the useful time left, both in seconds.
        """
        return not position or (position + 1) * wait + DISPATCH_LATENCIES * call.cls.mean.value <= left
