"""Drives one Balancer: passes events in and executes the actions it returns.

This is the only place that knows both the balancer and the sockets. It takes no decision on retries, server
selection or queueing. It guarantees each request a response before the client's deadline, whatever the
balancer does.
"""

from __future__ import annotations

import asyncio
import logging
import math
import time
import zlib
from collections.abc import Callable
from typing import Any, Protocol

from gladegw.balancing import events as api
from gladegw.balancing.balancer import Balancer
from gladegw.net.capture import Capture
from gladegw.net.config import Config, ConfigError
from gladegw.net.discovery import Discovery
from gladegw.net.endpoint_lists import EndpointInventory, Listing
from gladegw.net.hop_by_hop import HOP_BY_HOP
from gladegw.net.interfaces import ResponseSink
from gladegw.net.load_reports import read_report
from gladegw.net.request import Request
from gladegw.net.shared_resources import PendingRequest, SharedResources
from gladegw.net.upstream.exchange import ONE_LOOP_TURN_S, TIMER_LAG_S, Exchange
from gladegw.operators.commands import BackendCounts

log = logging.getLogger(__name__)

MIN_MARGIN_S = 0.02  # before the client's deadline
MAX_MARGIN_S = 0.15  # s
BALANCER_MARGIN_S = 0.02  # of the balancer's deadline before the proxy's own
LAG_RETENTION = 0.995  # of the measured event loop lag, at each timer
STALL_S = 0.003  # of a batch, or of a loop turn without one: the process stood still
MAX_TURNS = 3  # that a timer waits for the sockets
MAX_PROBES = 32  # at once
PROBE_TIMEOUT_S = 0.2  # a later report is of no use
LARGE_ANSWER_STALL_S = 2.0  # of a large response whose deadline has passed
UNKNOWN_LENGTH_STALL_S = 1.0  # of a response of unknown length that is not large yet
STREAM_CHECK_INTERVAL_S = 0.05  # between checks for progress
DROPPED_HEADERS = HOP_BY_HOP | {b"x-load-report", b"x-rejected"}


class EndpointSource(Protocol):
    """Source of a pool's endpoint lists that replaces a discovery client of its own."""

    def watch(self, on: bool) -> None:
        """Start or stop watching for changes."""

    def fetch(self) -> None:
        """Request a full snapshot."""


class Driver:
    """Connects one Balancer with the sockets, timers and discovery of the proxy."""

    def __init__(
        self,
        config: Config,
        capture: Capture | None = None,
        shared: SharedResources | None = None,
        endpoint_source: EndpointSource | None = None,
        pool: str = "",
    ) -> None:
        self.capture, self.pool = capture, pool
        self.loop = asyncio.get_running_loop()
        self.config, self.settings = config, config.settings
        self.effects = {cls.name: cls.effect for cls in self.settings.classes}
        self.balancer = Balancer(self.settings, config.seed ^ zlib.crc32(pool.encode()))
        self.shared = shared or SharedResources(config)
        self.upstreams, self.ids = self.shared.upstreams, self.shared.ids
        self.retired = False  # replaced by a newer one, idle once nothing of it is open
        self.deferred_timers: list[int] = []  # timers that expired meanwhile
        self.calls: dict[int, PendingRequest] = {}
        self.in_flight: dict[int, Exchange] = {}  # attempts by request, also of disconnected clients
        self.ended: dict[int, int] = {}  # attempts of requests that ended since the balancer was last called
        self.probes = 0
        self.events: list[api.Event] = []
        self.flush_at: asyncio.Handle | None = None
        self.flushed = 0.0
        self.lag = 0.0  # s, recent delay of this event loop
        self.on_empty: Callable[[], None] | None = None
        self.action_handlers: dict[type, Callable[[Any], None]] = {
            api.Send: self._send,
            api.Reject: self._reject,
            api.Fail: self._fail,
            api.Cancel: self._cancel,
            api.Probe: self._probe,
            api.SetTimer: self._set_timer,
            api.CloseIdle: self._close_idle,
            api.Watch: lambda action: self.endpoint_source.watch(action.on),
            api.Fetch: lambda action: self.endpoint_source.fetch(),
            api.Log: lambda action: log.info("module: %s", action.text),
            api.SendToPeer: lambda action: None,  # proxies do not communicate
        }
        self.endpoint_source: EndpointSource = endpoint_source or self._own_feed()
        if capture is not None:
            self.balancer.observer = capture.on_decision

    def _own_feed(self) -> Discovery:
        """Create the discovery client and apply the list that the configuration holds."""
        config, inventory = self.config, EndpointInventory()
        known = self.known_list(config, inventory)
        version = known.version if config.known else None
        within = config.settings.max_poll_gap
        self.discovery = Discovery(
            config.discovery, version, within, self._on_list, self.list_failed, inventory
        )
        self.upstreams.apply(known)
        if self.capture is not None:
            self.capture.on_list(known)
        self.events.append(self._server_list(known, api.ListKind.CACHED))
        return self.discovery

    @staticmethod
    def known_list(config: Config, inventory: EndpointInventory) -> Listing:
        """The list that the configuration holds.

        Raises ConfigError.
        """
        try:
            return inventory.apply_parsed(config.known) if config.known else Listing(0, True, [])
        except ValueError as fault:
            raise ConfigError(f"bad configuration: known: {fault}") from None

    def start(self) -> None:
        """Start to process events."""
        if not self.settings.polls_endpoints:
            self.endpoint_source.watch(
                True
            )  # lists count as pushed from the first moment, and the module asks for none
        self._flush()

    def stop(self) -> None:
        """Stop discovery."""
        self.discovery.stop()

    # events
    def _push(self, event: api.Event) -> None:
        """Queue an event; the balancer is called at most once in a quantum."""
        self.events.append(event)
        if self.flush_at is None:
            wait = self.flushed + self.settings.quantum - time.monotonic()
            if wait > 0:
                self.flush_at = self.loop.call_later(wait, self._flush)
            else:
                self.flush_at = self.loop.call_soon(self._flush)

    def _flush(self) -> None:
        """Pass the queued events to the balancer and execute its actions."""
        self.flush_at = None
        now = self.flushed = time.monotonic()
        events, self.events = self.events, []
        ended = list(self.ended)  # unknown to the balancer before this batch
        try:
            actions = self.balancer.handle(now, events)
        except Exception:
            self._recover(events)
            return
        for action in actions:
            try:
                self.action_handlers[type(action)](action)
            except Exception:
                log.exception("an action failed: %s", action)
                number = getattr(action, "call", None)
                if number is not None:
                    self._give_up(number)
        for number in ended:
            del self.ended[number]
        stalled = time.monotonic() - now
        if stalled > STALL_S and self.in_flight:
            self._push(api.Stalled(stalled))

    def _recover(self, events: list[api.Event]) -> None:
        """Handle an exception of the balancer: fail the requests of the batch and repeat its timers."""
        log.exception("the module failed on %d events", len(events))
        for event in events:
            if isinstance(event, api.Arrival | api.Outcome):
                self._give_up(event.call)
            elif isinstance(event, api.Timer):
                self._set_timer(api.SetTimer(0.05, event.token))

    def _give_up(self, number: int) -> None:
        """Fail one request with an internal error."""
        call = self.calls.get(number)
        if call is not None:
            self._close(call, 502, (), b"internal error\n")
            self._push(api.ClientDisconnected(number))

    @staticmethod
    def _server_list(listing: Listing, kind: api.ListKind) -> api.ServerList:
        """The balancer's event for a list."""
        entries = [listed.entry for listed in listing.backends]
        return api.ServerList(kind, entries, listing.version, current=listing.current, age=listing.age)

    def _on_list(self, listing: Listing) -> None:
        """Apply a list from discovery."""
        self.upstreams.apply(listing)
        if self.capture is not None:
            self.capture.on_list(listing)
        kind = api.ListKind.FULL if listing.complete else api.ListKind.INCREMENTAL
        self._push(self._server_list(listing, kind))

    def list_failed(self, failure: api.DiscoveryFailure) -> None:
        """A discovery call failed."""
        self._push(api.ServerList(api.ListKind.FAILED, failure=failure))

    def on_discovery_address_change(self) -> None:
        """A new configuration may contain another address of discovery."""
        self._push(api.ServerList(api.ListKind.ADDRESS_CHANGED))

    def inherit_freshness(self, other: Driver) -> None:
        """Take over the age of the endpoint list from the driver that served before."""
        self.balancer.freshness.inherit(other.balancer.freshness)

    def on_pool_members(
        self,
        entries: list[api.ServerEntry],
        version: int,
        kind: api.ListKind,
        current: bool,
        age: float = 0.0,
    ) -> None:
        """Update the members of this pool, where another object calls discovery.

        `current`: the list was just received from discovery, which began to answer `age` seconds ago.
        """
        self._push(api.ServerList(kind, entries, version, current=current, age=age))

    # downstream side
    def ready(self) -> bool:
        """Whether any backend receives requests."""
        return self.upstreams.ready

    def listed_backends(self) -> BackendCounts:
        """Counts of backends for operators."""
        return self.shared.backends({server.id for server in self.balancer.servers.avoided()})

    def on_request(self, request: Request, reply: ResponseSink) -> PendingRequest | None:
        """Start handling a request; None if it was answered immediately."""
        if request.id and request.id in self.ids:
            # An earlier request with this identifier is in flight, and both could run.
            reply.answer(409, (), b"this X-Call-Id is in use\n")
            return None
        if self.settings.max_open_requests and len(self.calls) >= self.settings.max_open_requests:
            reply.answer(503, ((b"retry-after", b"1"),), b"too many calls\n")
            return None
        while self.deferred_timers:
            self._push(api.Timer(self.deferred_timers.pop()))
        self.shared.last_call += 1
        number = self.shared.last_call
        margin, limit = self._margin(), self._limit(request)
        coming = request.upload is not None and not request.upload.complete
        deadline = math.inf if coming else request.received_at + limit - margin
        call = PendingRequest(self, number, request, reply, deadline)
        self.calls[number] = call
        if request.id:  # a mirrored copy has none
            self.ids.add(request.id)
        now = time.monotonic()
        left = request.budget - margin - BALANCER_MARGIN_S
        waited = margin - MIN_MARGIN_S  # kept back for this process's own lag
        if not coming:  # its deadline starts with its last byte
            call.timer = self.loop.call_later(max(0.0, deadline - now), self._on_deadline, call)
            unread = max(0.0, now - request.received_at)
            waited += unread
            left -= unread
        arrival = api.Arrival(
            call=number,
            cls=request.cls,
            budget=left,
            tenant=request.tenant,
            work=request.work,
            is_retry=request.resent,
            key=request.subject,
            waited=waited,
        )
        if request.routed is not None:
            arrival.max_attempts = request.routed.attempts
            if limit < request.budget:
                arrival.route_timeout = left - (request.budget - limit)
        if self.capture is not None and request.id:
            self.capture.on_request(request, arrival, self.pool)
        self._push(arrival)
        return call

    def _margin(self) -> float:
        """Seconds before the client's deadline by which the response is sent.

        Time that the budget lost before the request was read is only visible as lag of the event loop.
        """
        return min(MAX_MARGIN_S, MIN_MARGIN_S + 2 * self.lag)

    @staticmethod
    def _limit(request: Request) -> float:
        """Seconds that the client, or the request's route, allows from its last byte on."""
        routed = request.routed
        allowed = routed.timeout if routed is not None and routed.timeout else request.budget
        return min(request.budget, allowed)

    def on_body_complete(self, call: PendingRequest) -> None:
        """Start the deadline of a request whose streamed body is complete."""
        if not call.open:
            return
        call.deadline = call.request.received_at + self._limit(call.request) - self._margin()
        if call.streaming:
            if call.exchange is not None:
                self._watch_stream(call, call.exchange)
            return
        wait = max(0.0, call.deadline - time.monotonic())
        call.timer = self.loop.call_later(wait, self._on_deadline, call)

    def on_disconnect(self, call: PendingRequest) -> None:
        """Cancel the request of a client that disconnected."""
        if call.open:
            exchange = call.exchange
            self._settle(call, None)
            self._push(api.ClientDisconnected(call.number))
            if exchange is not None and (call.streaming or exchange.uploading):
                exchange.cancel()  # the balancer does not cancel once streaming has begun

    def _on_deadline(self, call: PendingRequest, late: bool = False) -> None:
        """Answer a request that the balancer did not answer in time.

        503 if it provably never ran, else 504.
        """
        if not call.open:
            return
        if not late and time.monotonic() > call.deadline + TIMER_LAG_S:
            # The process was stalled and timers run before sockets: the response may have arrived meanwhile.
            call.timer = self.loop.call_later(ONE_LOOP_TURN_S, self._on_deadline, call, True)
            return
        harmless = not call.ran and (call.exchange is None or not call.exchange.sent)
        exchange = call.exchange
        self._close(call, 503 if harmless else 504, (), b"out of time\n")
        self._push(api.ClientDisconnected(call.number))
        if exchange is not None:
            exchange.end(api.Status.TIMEOUT if exchange.sent else api.Status.NOT_SENT)

    def _close(self, call: PendingRequest, code: int, headers: Any, body: bytes) -> None:
        """Send the final response and remove the request, so that there is no second one."""
        self._settle(call, code)
        call.reply.answer(code, headers, body)

    def _settle(self, call: PendingRequest, code: int | None) -> None:
        """Remove the request; `code` is None if the client disconnected."""
        call.open = False
        if self.capture is not None:
            self.capture.on_end(call.number, code)
        self.calls.pop(call.number, None)
        self.ended[call.number] = call.attempts
        if call.exchange is None:
            self.ids.discard(call.request.id)
        if call.timer is not None:
            call.timer.cancel()
        if not self.calls and self.on_empty is not None:
            self.on_empty()

    # actions
    def _send(self, action: api.Send) -> None:
        """Start an attempt."""
        call = self.calls.get(action.call)
        if call is None:
            # It ended before the balancer was notified; every send needs an outcome, with its number.
            number = self.ended.get(action.call, 0)
            self.ended[action.call] = number + 1
            self._push(api.Outcome(action.call, number, action.server, api.Status.NOT_SENT, 0.0, True))
            return
        number = call.attempts
        call.attempts += 1
        upstream = self.upstreams.by_id.get(action.server)
        if upstream is None or not upstream.serving or call.exchange is not None:
            if call.exchange is not None:
                log.error("call %d: a second attempt while one is out", call.number)
            self._push(api.Outcome(call.number, number, action.server, api.Status.NOT_SENT, 0.0, False))
            return
        timeout = min(action.timeout, call.deadline - time.monotonic())
        request = call.request
        start_before = time.monotonic() + action.start_within

        def may_start() -> bool:
            """A slow connect may end when the repeat's window has passed, or its caller has left."""
            in_time = time.monotonic() <= start_before
            return call.open and upstream.serving and in_time and not call.reply.hung_up()

        def message() -> bytes:
            """With the time that is left now: a connect has taken some of it."""
            left = timeout if exchange.uploading else exchange.due - time.monotonic()
            budget = b"x-budget: %du\r\n\r\n" % max(1, int(left * 1e6))
            return request.head + request.framing() + budget + request.body

        def done(exchange: Exchange) -> None:
            self._on_attempt_end(call, number, action.server, exchange)

        def begun(exchange: Exchange, length: int | None) -> bool:
            return self._on_answer_start(call, number, action.server, exchange, length)

        exchange = Exchange(
            upstream, message, max(0.0, timeout), may_start, done, self.shared.counters.on_attempt, begun
        )
        if request.upload is not None:
            exchange.upload = request.upload
            request.upload.on_release = lambda: self._push(
                api.StreamStarted(call.number, number, action.server)
            )
        call.exchange = self.in_flight[call.number] = exchange
        self.upstreams.start(exchange)

    def _on_answer_start(
        self, call: PendingRequest, number: int, server: int, exchange: Exchange, length: int | None
    ) -> bool:
        """Start to stream a large response; False if nobody wants it."""
        if not call.open:
            return False
        call.streaming = True
        self._watch_stream(call, exchange)
        self._push(api.StreamStarted(call.number, number, server, exchange.elapsed))
        headers = [pair for pair in exchange.headers if pair[0] not in DROPPED_HEADERS]
        call.reply.begin(headers, length, exchange)
        exchange.sink = call.reply.send
        return True

    def _watch_stream(self, call: PendingRequest, exchange: Exchange) -> None:
        """Enforce the deadline on a streamed response.

        At its deadline the response must be complete or still moving: only the first bytes of a large
        response have a time limit, and one of unknown length may become large. If it stalls, closing the
        connection informs the client.
        """
        if call.timer is not None:
            call.timer.cancel()
        if not call.open or math.isinf(call.deadline):
            return
        now = time.monotonic()
        left = call.deadline - now
        pause = LARGE_ANSWER_STALL_S if exchange.large else UNKNOWN_LENGTH_STALL_S
        moves = exchange.paused or now < exchange.progressed_at + pause
        if left <= 0 and not moves:
            exchange.end(api.Status.TIMEOUT)
        else:
            call.timer = self.loop.call_later(
                max(left, STREAM_CHECK_INTERVAL_S), self._watch_stream, call, exchange
            )

    def _on_attempt_end(self, call: PendingRequest, number: int, server: int, exchange: Exchange) -> None:
        """Report the end of an attempt to the balancer, and answer if it succeeded."""
        status = exchange.status
        assert status is not None
        call.exchange = None
        self.in_flight.pop(call.number, None)
        if status not in api.NEVER_RAN:
            call.ran = True
        if not call.open:
            self.ids.discard(call.request.id)
        elif call.streaming:
            self._settle(call, 200 if status is api.Status.OK else 502)
            if status is api.Status.OK:
                call.reply.finish()
            else:
                call.reply.abort()
        elif status is api.Status.OK:
            headers = [pair for pair in exchange.headers if pair[0] not in DROPPED_HEADERS]
            self._close(call, 200, headers, exchange.body)
        report = None
        if self.settings.reports == "answer":
            for name, value in exchange.headers:
                if name == b"x-load-report":
                    report = read_report(value)
                    if self.capture is not None:
                        self.capture.on_load_report(server, value)
        self._push(api.Outcome(call.number, number, server, status, exchange.elapsed, not call.open, report))

    def _reject(self, action: api.Reject) -> None:
        """Answer a request that the balancer sheds."""
        call = self.calls.get(action.call)
        if call is not None:
            advice = ((b"retry-after", b"%.3f" % action.retry_after),) if action.retry_after > 0 else ()
            self._close(call, 503, advice, b"refused\n")

    def _fail(self, action: api.Fail) -> None:
        """Answer a request that the balancer gives up."""
        call = self.calls.get(action.call)
        if call is not None:
            self._close(call, 502, (), b"failed\n")

    def _cancel(self, action: api.Cancel) -> None:
        """Cancel the attempt in flight."""
        exchange = self.in_flight.get(action.call)
        if exchange is not None:
            exchange.cancel()

    def _probe(self, action: api.Probe) -> None:
        """Send a probe to a backend."""
        upstream = self.upstreams.by_id.get(action.server)
        if upstream is None or not upstream.serving or self.probes >= MAX_PROBES:
            self._push(api.ProbeResult(action.server, api.Status.REJECTED, 0.0))  # not the backend's fault
            return
        self.probes += 1
        target = "/healthz" if self.settings.reports == "none" else "/load"
        host, port = upstream.address
        request = f"GET {target} HTTP/1.1\r\nHost: {host}:{port}\r\n\r\n".encode()

        def done(exchange: Exchange) -> None:
            self.probes -= 1
            status = exchange.status
            assert status is not None
            report = read_report(exchange.body) if status is api.Status.OK else None
            if report is not None and self.capture is not None:
                self.capture.on_load_report(action.server, exchange.body)
            if status is api.Status.NOT_SENT:
                status = api.Status.REJECTED  # not probed, so nothing is known about its health
            self._push(api.ProbeResult(action.server, status, exchange.elapsed, report))

        probe = Exchange(upstream, lambda: request, PROBE_TIMEOUT_S, lambda: upstream.serving, done)
        self.upstreams.start(probe)

    def _set_timer(self, action: api.SetTimer) -> None:
        """Start a timer of the balancer; the last loop turn before it is for the sockets."""
        wait = max(0.0, action.delay - ONE_LOOP_TURN_S)
        self.loop.call_later(wait, self._timer, time.monotonic() + wait, action.token)

    def _timer(self, due: float, token: int) -> None:
        """Measure the event loop's lag and let the sockets be read before the timer is passed on.

        Timers run before sockets. If the process stood still, answers that arrived meanwhile are unread, and
        the balancer would take their waiting for the servers'.
        """
        self.lag = max(self.lag * LAG_RETENTION, time.monotonic() - due)
        self._read_sockets(token, MAX_TURNS)

    def _read_sockets(self, token: int, turns: int) -> None:
        """Pass on a timer after a loop turn without a stall, at the latest after `turns` of them."""
        self.loop.call_later(ONE_LOOP_TURN_S, self._on_turn, time.monotonic(), token, turns)

    def _on_turn(self, begun: float, token: int, turns: int) -> None:
        """Pass on a timer unless the process stood still in the last turn; deferred while unused."""
        if turns > 1 and time.monotonic() - begun > STALL_S:
            self._read_sockets(token, turns - 1)
        elif self.retired and not (self.calls or self.in_flight):
            self.deferred_timers.append(token)
        else:
            self._push(api.Timer(token))

    def _close_idle(self, action: api.CloseIdle) -> None:
        """Close the idle connections to a backend."""
        upstream = self.upstreams.by_id.get(action.server)
        if upstream is not None:
            upstream.close_idle()
