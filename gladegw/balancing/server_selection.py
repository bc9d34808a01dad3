"""Server selection: endpoint list, pool, health, load estimates and the choice of a server.

All times are in seconds. Pure: no I/O, no clock.
"""

from __future__ import annotations

import math
from random import Random
from typing import Any, NamedTuple

from gladegw.balancing.admission import Mean
from gladegw.balancing.endpoint_freshness import EndpointFreshness
from gladegw.balancing.events import ListKind, ServerEntry, ServerList, ServerState, Settings
from gladegw.balancing.parameters import (
    CONTROL_STEP_S,
    MAX_COUNTED_EJECTIONS,
    MAX_EJECTION_S,
    MAX_FAILURE_LATENCIES,
    MIN_EJECTION_S,
)
from gladegw.balancing.requests import Attempt, Call, RequestLifecycle
from gladegw.balancing.subsetting import build_rings, select_pool

OVERLOADED_CALLS = 4.0  # calls per unit of weight; with fewer, a late answer means long work, not overload
PRIOR_SAMPLES = 3.0  # samples that the mean of all servers counts for in the estimate of one's capacity
TYPICAL_LOAD_DECAYS = 10.0  # decay time of a server's typical load, as a multiple of that of a load report
ZONE_REPORTS = 10  # reports over which a zone's load is averaged
CROSS_ZONE_OBJECTIVES = 3.0  # latency objectives added to a server's cost for a cross-zone price of 1
# Of the pool, for uncertain failures: if more servers look unhealthy, the cause lies elsewhere.
MAX_EJECTED_FRACTION = 0.34
WARMUP_BUDGET_FRACTION = 0.5  # part of a warming server's allowed overload that all instances together use
PEAK_RATE_MEMORY_S = 60.0  # decay time of the highest send rate: long compared with a warm-up
MIN_IDLE_S = 0.2  # a connection idle for less than this was not lost because it was idle
# Of the idle time after which a connection was lost; connections idle for less are still trusted.
TRUSTED_IDLE_FRACTION = 0.7
MIN_CONNECT_LATENCIES = 0.3  # minimum preference for an open connection, in mean latencies


class PickInput(NamedTuple):
    """A server attribute that the pick uses, and its value while nothing is known about the server."""

    attribute: str
    unknown: float


# The server attributes that the pick uses in addition to the list entry, by their field name in captures.
PICK_INPUTS: dict[str, PickInput] = {
    "out": PickInput("in_flight", 0),
    "since": PickInput("sent_since_report", 0),
    "usual": PickInput("typical_load", 0.0),
    "last_report": PickInput("last_report", 0.0),
    "reported_at": PickInput("reported_at", -math.inf),
    "latency_sum": PickInput("latency_sum", 0.0),
    "load_sum": PickInput("load_sum", 0.0),
    "used_at": PickInput("used_at", -math.inf),
    "ramp_from": PickInput("warmup_from", 0.0),
    "tokens": PickInput("warmup_tokens", 0.0),
    "ejected_until": PickInput("ejected_until", 0.0),
    "trial": PickInput("on_trial", False),
    "most_out": PickInput("max_in_flight", 0),
    "most_out_until": PickInput("max_in_flight_until", 0.0),
    "drawn": PickInput("tie_break", 0.0),
    "withheld": PickInput("withheld", False),
}


class Server:
    """A server of the endpoint list with the statistics learned for it."""

    def __init__(self, entry: ServerEntry, tokens: float) -> None:
        self.id = entry.server
        self.warmup_tokens = tokens  # of the slow-start budget
        self.unspent_since = 0.0  # when the tokens last reached a full call
        self.apply_entry(entry)
        self.in_flight = 0  # this instance's attempts
        self.incomplete = 0  # of these, the ones whose request is still being received
        self.ejected_until = 0.0  # 0: not ejected
        self.ejections = 0
        self.on_trial = False  # after an ejection: gets one call at a time
        self.last_ok = 0.0
        self.tie_break = 0.0  # random number of the last pick
        self.probe_pending = False
        self.probed_at = -math.inf
        self.withheld = False  # gets no calls: the list has expired and may lack its drain
        self.reset()

    def apply_entry(self, entry: ServerEntry) -> None:
        """Take over the fields of a list entry."""
        self.zone, self.cell, self.state = entry.zone, entry.cell, entry.state
        self.weight, self.started_at = max(entry.weight, 1e-3), entry.started_at
        self.warmup_from = entry.started_at

    def reset(self) -> None:
        """Forget all statistics, because the server process was restarted."""
        self.load_sum = self.latency_sum = 0.0
        self.errors = 0.0  # moving average of the fraction of failed attempts
        self.typical_load = self.last_report = 0.0
        self.reported_at = -math.inf
        self.sent_since_report = 0  # this instance's sends minus its answers since the report
        self.slow_streak = 0
        self.used_at = -math.inf  # the last send or answer
        self.max_in_flight, self.max_in_flight_until = 0, 0.0  # set while it accepts no more connections
        self.fail_streak = 0


class ServerSelector:
    """Endpoint list, pool, server health and the choice of a server for one instance."""

    def __init__(self, settings: Settings, random: Random, freshness: EndpointFreshness) -> None:
        self.settings, self.freshness = settings, freshness
        self.random = random
        self.servers: dict[int, Server] = {}
        self.pool: list[Server] = []
        self.rings: dict[str, list[Server]] = {}  # serving servers by zone
        self.list_expired = False  # the list may lack a drain that counts as known
        self.mean_load = Mean(1.0)
        self.zone_load: dict[str, Mean] = {}  # reported calls per unit of weight
        self.errors = Mean(0.0)
        self.send_rate = self.peak_rate = 0.0
        self.learned_capacity = 0.0  # total weight of the available servers that the window was learned with
        self.mean_latency = 0.1
        self.max_objective = max(cls.latency_objective for cls in settings.classes)
        self.call_time = self.max_objective  # upper bound until the mean latency is known
        self.trusted_idle = settings.conn_idle  # idle time up to which a connection is trusted
        # In mean latencies.
        self.open_connection_cost, self.new_connection_cost = Mean(1.0), Mean(1.0)

    def apply_list(self, event: ServerList) -> None:
        """Apply an endpoint list and rebuild the pool; a failed poll changes nothing."""
        if event.kind is ListKind.FAILED:
            return
        named = set()
        for entry in event.entries:
            named.add(entry.server)
            server = self.servers.get(entry.server)
            if server is None:
                if entry.state is not ServerState.REMOVED:
                    self.servers[entry.server] = Server(entry, self.random.random())
                continue
            restarted = entry.started_at > server.started_at
            previous_warmup_from = server.warmup_from
            server.apply_entry(entry)
            if restarted:
                server.reset()
                server.warmup_tokens = self.random.random()
                server.ejected_until, server.on_trial = 0.0, False
            else:
                server.warmup_from = max(previous_warmup_from, entry.started_at)
        if event.kind is not ListKind.INCREMENTAL:
            for server in self.servers.values():
                if server.id not in named:
                    server.state = ServerState.REMOVED
        for server in [
            s for s in self.servers.values() if s.state is ServerState.REMOVED and not s.in_flight
        ]:
            del self.servers[server.id]
        self.rings = build_rings(s for s in self.servers.values() if s.state is ServerState.SERVING)
        self.fill_pool()

    def fill_pool(self) -> None:
        """Select the pool again from the rings."""
        self.pool = select_pool(self.rings, self.settings.zone, self.settings.instance)
        self.withhold()

    def warmup_fraction(self, server: Server, now: float) -> float:
        """Return the fraction of its capacity that a server has at least; it warms up linearly or faster."""
        age = now - server.warmup_from
        if server.warmup_from <= 0 or age >= self.settings.warmup_time:
            return 1.0
        initial_fraction = self.settings.warmup_start_fraction
        return initial_fraction + (1 - initial_fraction) * max(0.0, age) / self.settings.warmup_time

    def refill_warmup_tokens(self, now: float, span: float) -> None:
        """Refill the slow-start budgets of warming servers for the last `span` seconds.

        A server that warms up looks idle to every instance at once. Each instance may send only its fair
        share of what the server can serve by now, so that all together stay below its capacity.
        """
        total = sum(server.weight for server in self.pool)
        budget_fraction = WARMUP_BUDGET_FRACTION * self.settings.overload_multiple
        # With the current rate instead of the peak, a low rate would lower the budgets further, and no server
        # would warm up.
        self.peak_rate = max(self.send_rate, self.peak_rate * (1 - span / PEAK_RATE_MEMORY_S))
        all_warming = all(self.warmup_fraction(server, now) < 1 for server in self.pool)
        for server in self.pool:
            warmup = self.warmup_fraction(server, now)
            if warmup < 1:
                rate = self.peak_rate * server.weight / total * warmup * budget_fraction
                if all_warming:
                    rate = max(rate, self.min_warmup_rate(server.weight * warmup * budget_fraction))
                server.warmup_tokens = min(1.0 + rate * CONTROL_STEP_S, server.warmup_tokens + rate * span)
                self.expire_tokens(server, now)

    def min_warmup_rate(self, scale: float) -> float:
        """Return the calls per second that an instance may send to a warming server without traffic history.

        Without this minimum, no calls would be served while all servers of a fleet warm up. All instances
        together may send each server one call at a time, times `scale`, and at least one call per overload
        window.
        """
        return max(scale / self.call_time, 1 / self.settings.overload_window) / self.settings.balancers

    def expire_tokens(self, server: Server, now: float) -> None:
        """Remove a token that was not used in time.

        Otherwise all instances could spend their saved tokens at once in a burst after a pause.
        """
        if server.warmup_tokens < 1:
            server.unspent_since = now
        elif now > server.unspent_since + self.settings.overload_window:
            server.warmup_tokens -= 1

    def available_capacity(self, now: float, span: float) -> tuple[float, float]:
        """Return the available fraction of the learned capacity and the instance's overload limit in calls.

        Prevents overload when few servers are left or warm, because the window was learned with all of them:
        each instance sees few calls, so all would notice the overload late and at the same time. Drawback: a
        pool that lost servers it did not need sheds some calls until the window is learned again.
        """
        available = sum(s.weight * self.warmup_fraction(s, now) for s in self.pool if not s.ejected_until)
        self.learned_capacity += max(0.0, available - self.learned_capacity)
        self.learned_capacity += (available - self.learned_capacity) * min(1.0, span / PEAK_RATE_MEMORY_S)
        available_fraction = available / self.learned_capacity if available else 1.0
        return available_fraction, OVERLOADED_CALLS * available / self.settings.balancers

    @property
    def mean_weight(self) -> float:
        """Mean weight of the servers in the pool."""
        return sum(server.weight for server in self.pool) / len(self.pool)

    def is_usable(self, server: Server, now: float) -> bool:
        """Return whether a server may get a call now, as far as health and slow start are concerned."""
        if server.state is not ServerState.SERVING or server.ejected_until or server.withheld:
            return False
        if server.on_trial and server.in_flight:
            return False
        if server.in_flight >= server.max_in_flight and now < server.max_in_flight_until:
            return False
        return server.warmup_tokens >= 1 or self.warmup_fraction(server, now) >= 1

    def load(self, server: Server, now: float) -> float:
        """Return the estimated number of calls that a server holds.

        A missing or outdated estimate is replaced by the average of the zone. Prevents overload of servers
        that look idle only because they were not probed. Drawback: one busy server makes
        other servers of its zone look busy too if they were not probed.
        """
        decay_time = 2 * self.mean_latency + CONTROL_STEP_S
        zone = self.zone_load.get(server.zone)
        typical = server.typical_load
        if zone is not None:
            negative_age = server.reported_at - now
            typical = zone.value * server.weight
            typical += (server.typical_load - typical) * math.exp(
                negative_age / (TYPICAL_LOAD_DECAYS * decay_time)
            )
        load = typical + server.sent_since_report
        if server.last_report != typical:
            load += (server.last_report - typical) * math.exp((server.reported_at - now) / decay_time)
        return max(load, server.in_flight - server.incomplete)

    def is_overloaded(self, server: Server, now: float) -> bool:
        """Return whether a server holds so many calls that a smaller window would help.

        Prevents the window from shrinking because of a few long requests or a general slowdown. Drawback: it
        shrinks one load report later.
        """
        return not self.settings.may_probe or self.load(server, now) + 1 > OVERLOADED_CALLS * server.weight

    def pick(self, call: Call, lifecycle: RequestLifecycle, now: float) -> tuple[Server, float] | None:
        """Return the server of lowest cost and its estimated load, or None if no server may be used.

        The cost is the expected latency in mean latencies, with additions for another zone, a new connection
        and a server already tried.
        """
        best: Server | None = None
        best_cost = best_load = math.inf
        tried = {attempt.server.id for attempt in call.attempts}
        mean_weight = self.mean_weight if self.pool else 1.0
        crossing_cost = (
            CROSS_ZONE_OBJECTIVES * self.settings.price_crossing * self.max_objective / self.mean_latency
        )
        opening_cost = self.connect_cost
        zone = self.settings.zone
        prior = PRIOR_SAMPLES * self.mean_load.value / mean_weight
        for server in self.pool:
            if not self.is_usable(server, now):
                continue
            load = self.load(server, now)
            cost = (
                (load + 1) * (PRIOR_SAMPLES + server.latency_sum) / (prior * server.weight + server.load_sum)
            )
            if server.warmup_from > 0:
                cost /= self.warmup_fraction(server, now)
            if server.zone != zone:
                cost += crossing_cost
            if not server.in_flight and now - server.used_at > self.trusted_idle:
                cost += opening_cost
            if server.id in tried:
                cost += MAX_FAILURE_LATENCIES
            cost *= 1 + 0.01 * self.draw(server)
            if cost < best_cost and lifecycle.may_send(call, server, now):
                best, best_cost, best_load = server, cost, load
        return (best, best_load) if best is not None else None

    def draw(self, server: Server) -> float:
        """Return a random number in [0, 1) that decides between servers of almost equal cost."""
        server.tie_break = self.random.random()
        return server.tie_break

    def pick_inputs(self) -> dict[str, Any]:
        """Return the inputs of a pick except the list and the call, in the form that a capture stores."""
        pool = {
            server.id: {
                field: value
                for field, used in PICK_INPUTS.items()
                if (value := getattr(server, used.attribute)) != used.unknown
            }
            for server in self.pool
        }
        return {
            "unit": self.mean_latency,
            "mean_load": self.mean_load.value,
            "idle_safe": self.trusted_idle,
            "on_new": self.new_connection_cost.value,
            "on_open": self.open_connection_cost.value,
            "zones": {zone: load.value for zone, load in self.zone_load.items()},
            "servers": pool,
        }

    # connections
    def idle(self, server: Server, now: float) -> float:
        """Return for how many seconds the connection to a server was unused; 0 if it is in use or absent."""
        age = now - server.used_at
        return 0.0 if server.in_flight or age >= self.settings.conn_idle else age

    def has_warm_connection(self, server: Server, now: float) -> bool:
        """Return whether a connection to the server is open and still trusted."""
        return server.in_flight > 0 or now - server.used_at <= self.trusted_idle

    @property
    def connect_cost(self) -> float:
        """Measured cost of a new connection, in mean latencies.

        Keeps calls on open connections where handshakes are slow. Drawback: calls concentrate on fewer
        servers and may overload them, so this cost is only added to that of the load. With few samples the
        error is some tenths.
        """
        return max(MIN_CONNECT_LATENCIES, self.new_connection_cost.value - self.open_connection_cost.value)

    def lost_idle_connection(self, attempt: Attempt, now: float) -> bool:
        """Return whether an attempt failed because its idle connection was dropped silently on the path.

        In that case the server is not at fault, and connections that were idle as long are no longer trusted.
        Drawback: if the server was at fault after all, it gets one more call, and some working connections
        are replaced.
        """
        if attempt.connection_idle < MIN_IDLE_S or attempt.server.last_ok >= attempt.sent_at:
            return False
        self.trusted_idle = max(
            MIN_IDLE_S, min(self.trusted_idle, TRUSTED_IDLE_FRACTION * attempt.connection_idle)
        )
        return True

    # health
    def ejected_servers(self) -> list[Server]:
        """Return the ejected servers; safe to call from another thread."""
        return [server for server in list(self.servers.values()) if server.ejected_until]

    def withhold(self) -> None:
        """While the list is expired, withhold all servers, since any of them may drain.

        Prevents sending to a server whose drain counts as known. Drawback: no call is served until discovery
        is heard again. Neither a server's answers nor what another server did tell that it does not drain.
        """
        for server in self.pool:
            server.withheld = self.list_expired

    def eject(self, server: Server, now: float, hard: bool) -> bool:
        """Eject a server for a time that doubles with each ejection; return whether it was ejected.

        `hard` means that the failure is certain; uncertain ones eject only a limited fraction of the pool.
        """
        if server.ejected_until:
            return False
        # If many servers look unhealthy, the cause is not a single server.
        if not hard and sum(1 for s in self.pool if s.ejected_until) + 1 > MAX_EJECTED_FRACTION * len(
            self.pool
        ):
            return False
        duration = min(MAX_EJECTION_S, MIN_EJECTION_S * 2**server.ejections)
        server.ejections = min(server.ejections + 1, MAX_COUNTED_EJECTIONS)
        server.ejected_until = now + duration * (0.75 + 0.5 * self.random.random())
        server.on_trial = False
        return True

    def readmit(self, server: Server, now: float) -> None:
        """End an ejection and put the server on trial with one call at a time."""
        server.ejected_until = 0.0
        server.on_trial = True
        server.errors = 0.0
        server.slow_streak = server.fail_streak = 0
        server.sent_since_report = server.in_flight - server.incomplete

    def report(self, server: Server, report: dict[str, float] | None, now: float) -> None:
        """Process a load report (name to value) of a server; None or an invalid value is ignored."""
        busy_requests = report.get("busy_reqs") if report else None
        if busy_requests is None or not 0 <= busy_requests < math.inf:
            return
        server.typical_load += (busy_requests - server.typical_load) * (
            0.3 if server.reported_at > 0 else 1.0
        )
        server.last_report = busy_requests
        zone = self.zone_load.setdefault(server.zone, Mean(0.0))
        zone.add(busy_requests / server.weight, ZONE_REPORTS)
        server.reported_at = now
        server.sent_since_report = 0
