"""The servers that an instance knows: the list, the pool in use, health, load and the pick. Pure; part of the
decisions.

Seconds throughout.
"""

from __future__ import annotations

import math
from random import Random
from typing import Any, NamedTuple

from gladegw.balancing.admission import Mean
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

OVERLOADED_CALLS = (
    4.0  # calls held per unit of weight; with fewer a late answer tells of its work, not of a crowd
)
PRIOR_SAMPLES = 3.0  # samples that the prior of a server's capacity weighs
TYPICAL_LOAD_FADES = 10.0  # fades of a report after which a server's usual load is half forgotten
ZONE_REPORTS = 10  # reports over which a zone's load is averaged: a few seconds of probes at a call a second
CROSS_ZONE_OBJECTIVES = 3.0  # aims that one full crossing price is worth when servers are compared
MAX_EJECTED_FRACTION = (
    0.34  # share of the pool that soft signs may eject: if more look ill, the cause lies elsewhere
)
WARMUP_BUDGET_FRACTION = (
    0.5  # share of the allowed multiple of a cold server's capacity that all instances may use
)
PEAK_RATE_MEMORY_S = 60.0  # s, memory of an instance's highest send rate: long against a ramp
MIN_IDLE_S = 0.2  # s; a connection used within it is not taken to be lost for lack of use
TRUSTED_IDLE_FRACTION = 0.7  # share of the age at which an idle connection was lost that is still trusted
MIN_CONNECT_LATENCIES = 0.3  # mean latencies by which a server with an open connection is preferred at least


class PickInput(NamedTuple):
    """An attribute of a server that the pick uses, and its value while nothing is known."""

    attribute: str
    unknown: float


# What the pick uses of a server beside its entry in the list, by the field of a capture's record.
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
    """A server as the list names it, with what was learned of it."""

    def __init__(self, entry: ServerEntry, tokens: float) -> None:
        self.id = entry.server
        self.warmup_tokens = tokens  # of the cold budget
        self.unspent_since = 0.0  # when they last reached a whole call
        self.apply_entry(entry)
        self.in_flight = 0  # own attempts out
        self.ejected_until = 0.0  # 0: in use
        self.ejections = 0
        self.on_trial = False  # back on trial: one call at a time
        self.last_ok = 0.0
        self.tie_break = 0.0  # by which the last pick told it from its equals
        self.probe_pending = False
        self.probed_at = -math.inf
        self.withheld = False  # it may have begun to drain: nobody would have told
        self.reset()

    def apply_entry(self, entry: ServerEntry) -> None:
        self.zone, self.cell, self.state = entry.zone, entry.cell, entry.state
        self.weight, self.started_at = max(entry.weight, 1e-3), entry.started_at
        self.warmup_from = entry.started_at

    def reset(self) -> None:
        """Forget what was learned: the process is another one."""
        self.load_sum = self.latency_sum = 0.0
        self.errors = 0.0  # running share of errors
        self.typical_load = self.last_report = 0.0
        self.reported_at = -math.inf
        self.sent_since_report = 0  # own sends less own answers since the report
        self.slow_streak = 0
        self.used_at = -math.inf  # the last send or answer
        self.max_in_flight, self.max_in_flight_until = 0, 0.0  # while it has no room for more connections
        self.fail_streak = 0
        self.healthy_at = -math.inf  # when the latest probe was sent that it answered: it did not drain then
        self.completed_at = -math.inf  # when the latest call was sent that it completed


class ServerSelector:
    """The list, the pool that this instance uses, server health and the pick."""

    def __init__(self, settings: Settings, random: Random) -> None:
        self.settings = settings
        self.random = random
        self.servers: dict[int, Server] = {}
        self.pool: list[Server] = []
        self.rings: dict[str, list[Server]] = {}  # serving servers by zone
        self.overdue = False  # discovery has said nothing for so long that a drain may count as known
        self.reachable = False  # though discovery tells nothing it is known to be up
        self.verified_for = math.inf  # s for which a server that took a call has surely not begun to drain
        self.mean_load = Mean(1.0)
        self.zone_load: dict[str, Mean] = {}  # reported calls for each unit of size
        self.errors = Mean(0.0)
        self.send_rate = self.peak_rate = 0.0
        self.learned_on = 0.0  # capacity, in units of weight, that W was learned on
        self.mean_latency = 0.1  # s, the mean latency of a call
        self.max_objective = max(cls.latency_objective for cls in settings.classes)
        self.call_time = self.max_objective  # s of one call, at most: the mean latency once it is known
        self.trusted_idle = settings.conn_idle  # s without use after which a connection is still trusted
        self.open_connection_cost, self.new_connection_cost = (
            Mean(1.0),
            Mean(1.0),
        )  # mean latencies of a call on such

    def apply_list(self, event: ServerList, now: float) -> None:
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
            ramp_from = server.warmup_from
            server.apply_entry(entry)
            if restarted:
                server.reset()
                server.warmup_tokens = self.random.random()
                server.ejected_until, server.on_trial = 0.0, False
            else:
                server.warmup_from = max(ramp_from, entry.started_at)
        if event.kind is not ListKind.INCREMENTAL:
            for server in self.servers.values():
                if server.id not in named:
                    server.state = ServerState.REMOVED
        for server in [
            s for s in self.servers.values() if s.state is ServerState.REMOVED and not s.in_flight
        ]:
            del self.servers[server.id]
        self.rings = build_rings(s for s in self.servers.values() if s.state is ServerState.SERVING)
        self.fill_pool(now)

    def fill_pool(self, now: float) -> None:
        self.pool = select_pool(self.rings, self.settings.zone, self.settings.instance)
        self.withhold(now)

    def warmup_fraction(self, server: Server, now: float) -> float:
        """Share of its capacity that a server surely has: it warms no slower than evenly."""
        age = now - server.warmup_from
        if server.warmup_from <= 0 or age >= self.settings.warmup_time:
            return 1.0
        from_share = self.settings.warmup_start_fraction
        return from_share + (1 - from_share) * max(0.0, age) / self.settings.warmup_time

    def refill_warmup_tokens(self, now: float, span: float) -> None:
        """A cold server looks idle to every instance at once: each may send no more than its fair share of
        what the server can do by now, so that all together stay under the budget of any window."""
        total = sum(server.weight for server in self.pool)
        share = WARMUP_BUDGET_FRACTION * self.settings.overload_multiple
        # The peak, not the present rate: else few sends allow fewer still, and a fleet in a roll stays cold.
        self.peak_rate = max(self.send_rate, self.peak_rate * (1 - span / PEAK_RATE_MEMORY_S))
        all_cold = all(self.warmup_fraction(server, now) < 1 for server in self.pool)
        for server in self.pool:
            ramp = self.warmup_fraction(server, now)
            if ramp < 1:
                rate = self.peak_rate * server.weight / total * ramp * share
                if all_cold:
                    rate = max(rate, self.min_warmup_rate(server.weight * ramp * share))
                server.warmup_tokens = min(1.0 + rate * CONTROL_STEP_S, server.warmup_tokens + rate * span)
                self.expire_tokens(server, now)

    def min_warmup_rate(self, scale: float) -> float:
        """Calls a second that an instance may send to a cold server though it has sent nothing yet that would
        tell what servers bear. Without it a fleet that is cold as a whole would not be served. Each bears one
        call at a time, and all instances together one call in the time that counts."""
        return max(scale / self.call_time, 1 / self.settings.overload_window) / self.settings.balancers

    def expire_tokens(self, server: Server, now: float) -> None:
        """What is not spent soon is lost: else a burst after a pause spends what all instances saved."""
        if server.warmup_tokens < 1:
            server.unspent_since = now
        elif now > server.unspent_since + self.settings.overload_window:
            server.warmup_tokens -= 1

    def available_capacity(self, now: float, span: float) -> tuple[float, float]:
        """Share of the capacity that W was learned on which the pool surely has now. Guards against filling
        the few servers that are left, or warm, with what was learned on all, until time-outs say so: each
        instance learns that late, from few calls, and all do it at once. Harm: a pool that lost servers it
        didn't need sheds a little until W is learned anew."""
        now_has = sum(s.weight * self.warmup_fraction(s, now) for s in self.pool if not s.ejected_until)
        self.learned_on += max(0.0, now_has - self.learned_on)
        self.learned_on += (now_has - self.learned_on) * min(1.0, span / PEAK_RATE_MEMORY_S)
        standing = now_has / self.learned_on if now_has else 1.0
        return standing, OVERLOADED_CALLS * now_has / self.settings.balancers

    @property
    def mean_weight(self) -> float:
        return sum(server.weight for server in self.pool) / len(self.pool)

    def is_usable(self, server: Server, now: float) -> bool:
        if server.state is not ServerState.SERVING or server.ejected_until or server.withheld:
            return False
        if server.on_trial and server.in_flight:
            return False
        if server.in_flight >= server.max_in_flight and now < server.max_in_flight_until:
            return False
        return server.warmup_tokens >= 1 or self.warmup_fraction(server, now) >= 1

    def load(self, server: Server, now: float) -> float:
        """Calls that a server is taken to hold. What is not known of a server, or known no more, is taken
        from its zone. Guards against a crowd on servers that look idle because nobody asked them, where calls
        and so reports are few. Harm: one busy server makes its unasked neighbours look busy too."""
        fade = 2 * self.mean_latency + CONTROL_STEP_S
        zone = self.zone_load.get(server.zone)
        usual = server.typical_load
        if zone is not None:
            age = server.reported_at - now
            usual = zone.value * server.weight
            usual += (server.typical_load - usual) * math.exp(age / (TYPICAL_LOAD_FADES * fade))
        load = usual + server.sent_since_report
        if server.last_report != usual:
            load += (server.last_report - usual) * math.exp((server.reported_at - now) / fade)
        return max(load, server.in_flight)

    def is_overloaded(self, server: Server, now: float) -> bool:
        """Guards against closing W for what fewer calls would not mend: a long tail of work, or all servers
        slow at once. W then keeps servers idle while calls are refused. Harm: W closes a report later."""
        return not self.settings.may_probe or self.load(server, now) + 1 > OVERLOADED_CALLS * server.weight

    def pick(self, call: Call, lifecycle: RequestLifecycle, now: float) -> tuple[Server, float] | None:
        best: Server | None = None
        best_cost = best_load = math.inf
        tried = {attempt.server.id for attempt in call.attempts}
        mean_hint = self.mean_weight if self.pool else 1.0
        crossing = (
            CROSS_ZONE_OBJECTIVES * self.settings.price_crossing * self.max_objective / self.mean_latency
        )
        opening = self.connect_cost
        zone = self.settings.zone
        prior = PRIOR_SAMPLES * self.mean_load.value / mean_hint
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
                cost += crossing
            if not server.in_flight and now - server.used_at > self.trusted_idle:
                cost += opening
            if server.id in tried:
                cost += MAX_FAILURE_LATENCIES
            cost *= 1 + 0.01 * self.draw(server)
            if cost < best_cost and lifecycle.may_send(call, server, now):
                best, best_cost, best_load = server, cost, load
        return (best, best_load) if best is not None else None

    def draw(self, server: Server) -> float:
        server.tie_break = self.random.random()
        return server.tie_break

    def pick_inputs(self) -> dict[str, Any]:
        """What a pick uses, but for the list and the call."""
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
        """How long the connection to a server has not been used; 0: in use, or there is none."""
        age = now - server.used_at
        return 0.0 if server.in_flight or age >= self.settings.conn_idle else age

    def has_warm_connection(self, server: Server, now: float) -> bool:
        return server.in_flight > 0 or now - server.used_at <= self.trusted_idle

    @property
    def connect_cost(self) -> float:
        """Mean latencies that a new connection adds, as seen. Guards against slow handshakes, whatever their
        cause: calls keep to open connections. Harm: they crowd fewer servers, so the cost is only added to
        the load. Few samples err by a few tenths."""
        return max(MIN_CONNECT_LATENCIES, self.new_connection_cost.value - self.open_connection_cost.value)

    def lost_idle_connection(self, attempt: Attempt, now: float) -> bool:
        """Something between here and the server drops idle connections unseen: what is sent on one is reset
        at once or never answered. That is the connection's fault: the server stays, and connections as old
        are closed before they are used. Harm: if the server was at fault after all, it gets one more call,
        and some good connections are opened anew."""
        if attempt.connection_idle < MIN_IDLE_S or attempt.server.last_ok >= attempt.sent_at:
            return False
        self.trusted_idle = max(
            MIN_IDLE_S, min(self.trusted_idle, TRUSTED_IDLE_FRACTION * attempt.connection_idle)
        )
        return True

    # health
    def avoided(self) -> list[Server]:
        """Servers that get no calls for what was seen of them; may be asked from another thread."""
        return [server for server in list(self.servers.values()) if server.ejected_until]

    def serving_at(self, server: Server) -> float:
        """The latest time of which it is known, or taken, that a server did not drain. One that drains may
        complete calls as before, so they are a sign only where nothing else tells: probes are not allowed,
        and discovery may be down, so that no change counts as known."""
        if self.settings.may_probe or self.reachable:
            return server.healthy_at
        return server.completed_at

    def withhold(self, now: float) -> list[Server]:
        """While news are overdue, servers that have not lately shown that they don't drain get no calls.
        Guards against sending to one whose drain counts as known. Harm: fewer servers carry the load of a
        proxy that asks in vain. Where none has shown it, none is used if discovery can be reached: its
        changes count as known. Else, as in an outage, all are used. Returns the servers that this changes."""
        since = now - self.verified_for
        some = self.reachable or any(
            self.serving_at(server) >= since and not server.ejected_until for server in self.pool
        )
        changed: list[Server] = []
        for server in self.pool:
            withheld = self.overdue and some and self.serving_at(server) < since
            if withheld != server.withheld:
                server.withheld = withheld
                changed.append(server)
        return changed

    def eject(self, server: Server, now: float, hard: bool) -> bool:
        if server.ejected_until:
            return False
        # When everything is slow, no server is at fault.
        if not hard and sum(1 for s in self.pool if s.ejected_until) + 1 > MAX_EJECTED_FRACTION * len(
            self.pool
        ):
            return False
        length = min(MAX_EJECTION_S, MIN_EJECTION_S * 2**server.ejections)
        server.ejections = min(server.ejections + 1, MAX_COUNTED_EJECTIONS)
        server.ejected_until = now + length * (0.75 + 0.5 * self.random.random())
        server.on_trial = False
        return True

    def readmit(self, server: Server, now: float) -> None:
        server.ejected_until = 0.0
        server.on_trial = True
        server.errors = 0.0
        server.slow_streak = server.fail_streak = 0
        server.sent_since_report = server.in_flight

    def report(self, server: Server, report: dict[str, float] | None, now: float) -> None:
        figure = report.get("busy_reqs") if report else None
        if figure is None or not 0 <= figure < math.inf:
            return
        server.typical_load += (figure - server.typical_load) * (0.3 if server.reported_at > 0 else 1.0)
        server.last_report = figure
        zone = self.zone_load.setdefault(server.zone, Mean(0.0))
        zone.add(figure / server.weight, ZONE_REPORTS)
        server.reported_at = now
        server.sent_since_report = 0
