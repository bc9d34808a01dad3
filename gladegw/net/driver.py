"""Drives one Balancer: passes events in and executes the actions it returns.

This is the only module that knows both the balancer and the sockets. It makes no decision about retries,
server selection or queueing. It guarantees that each request is answered before the client's deadline,
whatever the balancer does.
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
from gladegw.net.config import Address, Config, ConfigError
from gladegw.net.discovery import Discovery
from gladegw.net.endpoint_lists import EndpointInventory, Listing
from gladegw.net.hop_by_hop import HOP_BY_HOP
from gladegw.net.interfaces import ResponseSink
from gladegw.net.load_reports import read_report
from gladegw.net.log_rate_limit import LogRateLimit
from gladegw.net.request import Request
from gladegw.net.shared_resources import PendingRequest, SharedResources
from gladegw.net.stream_deadline import StreamDeadline
from gladegw.net.upload import UploadProgress
from gladegw.net.upstream.exchange import ONE_LOOP_TURN_S, TIMER_LAG_S, Exchange
from gladegw.net.upstream.pool import Upstream
from gladegw.operators.commands import BackendCounts

log = logging.getLogger(__name__)

MIN_MARGIN_S = 0.02  # the response is sent at least this long before the client's deadline
MAX_MARGIN_S = 0.15  # limit of that margin when the event loop lags
BALANCER_MARGIN_S = 0.02  # the balancer's deadline is this long before the proxy's own
LAG_RETENTION = 0.995  # fraction of the measured event loop lag that is kept at each timer
STALL_S = 0.003  # a batch, or a loop turn without one, that takes longer means that the process stalled
MAX_TIMER_TURNS = 3  # loop turns by which a timer is delayed at most so that sockets are read first
UPLOADS_FRACTION = 1 / 4  # of the connections to backends, for requests that are still being received
MAX_PROBES = 32  # in flight at once
PROBE_TIMEOUT_S = 0.2  # a later load report is of no use
MAX_OLD_LIST_LINES_PER_S = 5  # log lines of requests sent by an old endpoint list
DROPPED_HEADERS = HOP_BY_HOP | {b"x-load-report", b"x-rejected"}


def _status_name(status: api.Status | None) -> str:
    """The name of an attempt's status in metrics."""
    return "none" if status is None else status.name.lower()


class EndpointSource(Protocol):
    """Source of a pool's endpoint lists, used in place of the pool's own discovery client."""

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
        self.balancer.max_incomplete = max(1, int(UPLOADS_FRACTION * self.upstreams.max_connections))
        self.retired = False  # replaced by a newer driver; idle once its last request has ended
        self.deferred_timers: list[int] = []  # tokens of timers that expired while it was retired and idle
        self.calls: dict[int, PendingRequest] = {}
        self.in_flight: dict[int, Exchange] = {}  # attempts by request number, even if the client has left
        self.ended: dict[int, int] = {}  # attempt counts of requests whose end the balancer has not seen yet
        self.probes = 0
        self.events: list[api.Event] = []
        self.flush_handle: asyncio.Handle | None = None
        self.flushed_at = 0.0
        self.lag = 0.0  # s, recent maximum delay of this event loop's timers
        self.on_empty: Callable[[], None] | None = None
        self.old_list_lines = LogRateLimit(MAX_OLD_LIST_LINES_PER_S)
        self.shared.events.list_ages[pool] = self.list_age
        self.shared.events.list_validities[pool] = self.list_validity
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
            api.Log: lambda action: log.info("balancer: %s", action.text),
            api.SendToPeer: lambda action: None,  # proxies do not communicate
        }
        self.endpoint_source: EndpointSource = endpoint_source or self._create_discovery()
        if capture is not None:
            self.balancer.observer = capture.on_decision

    def _create_discovery(self) -> Discovery:
        """Create the discovery client and apply the endpoint list of the configuration."""
        config, inventory = self.config, EndpointInventory()
        known = self.known_list(config, inventory)
        version = known.version if config.known else None
        max_poll_gap = config.settings.max_poll_gap
        self.discovery = Discovery(
            config.discovery,
            version,
            max_poll_gap,
            self._on_list,
            self.list_failed,
            inventory,
            self.shared.events.on_discovery_call,
            self.shared.stalls.is_settling,
        )
        self.upstreams.apply(known)
        if self.capture is not None:
            self.capture.on_list(known)
        self.events.append(self._server_list(known, api.ListKind.CACHED))
        return self.discovery

    @staticmethod
    def known_list(config: Config, inventory: EndpointInventory) -> Listing:
        """The endpoint list of the configuration.

        Raises ConfigError.
        """
        try:
            return inventory.apply_parsed(config.known) if config.known else Listing(0, True, [])
        except ValueError as fault:
            raise ConfigError(f"bad configuration: known: {fault}") from None

    def start(self) -> None:
        """Start to process events."""
        if not self.settings.polls_endpoints:
            # Lists count as pushed from the start, and the balancer requests none.
            self.endpoint_source.watch(True)
        self._flush()

    def stop(self) -> None:
        """Stop discovery."""
        self.discovery.stop()

    # events
    def _push(self, event: api.Event) -> None:
        """Queue an event; the balancer is called at most once per quantum."""
        self.events.append(event)
        if self.flush_handle is None:
            wait = self.flushed_at + self.settings.quantum - time.monotonic()
            if wait > 0:
                self.flush_handle = self.loop.call_later(wait, self._flush)
            else:
                self.flush_handle = self.loop.call_soon(self._flush)

    def _flush(self) -> None:
        """Pass the queued events to the balancer and execute its actions.

        After a stall of the process this waits until the sockets were read.
        """
        if self.shared.stalls.is_settling():
            self.shared.stalls.when_settled(self._flush)
            return
        self.flush_handle = None
        now = self.flushed_at = time.monotonic()
        events, self.events = self.events, []
        ended = list(self.ended)  # their end is reported to the balancer by this batch
        try:
            actions = self.balancer.handle(now, events)
        except Exception:
            self._recover(events)
            return
        for action in actions:
            try:
                self.action_handlers[type(action)](action)
            except Exception:
                log.exception("could not execute a balancer action: %s", action)
                number = getattr(action, "call", None)
                if number is not None:
                    self._fail_internally(number)
        for number in ended:
            del self.ended[number]
        stalled = time.monotonic() - now
        if stalled > STALL_S and self.in_flight:
            self._push(api.Stalled(stalled))

    def _recover(self, events: list[api.Event]) -> None:
        """Handle an exception of the balancer: fail the requests of the batch and restart its timers."""
        log.exception("the balancer failed on a batch of %d events", len(events))
        for event in events:
            if isinstance(event, api.Arrival | api.Outcome):
                self._fail_internally(event.call)
            elif isinstance(event, api.Timer):
                self._set_timer(api.SetTimer(0.05, event.token))

    def _fail_internally(self, number: int) -> None:
        """Fail one request with an internal error."""
        call = self.calls.get(number)
        if call is not None:
            self._respond(call, 502, (), b"internal error\n")
            self._push(api.ClientDisconnected(number))

    @staticmethod
    def _server_list(listing: Listing, kind: api.ListKind) -> api.ServerList:
        """The balancer's event for a list."""
        entries = [listed.entry for listed in listing.backends]
        return api.ServerList(kind, entries, listing.version, current=listing.current, as_of=listing.as_of)

    def list_age(self) -> float:
        """Seconds since discovery last confirmed the endpoint list."""
        return time.monotonic() - self.balancer.freshness.current_as_of

    def list_validity(self) -> float:
        """Seconds until the endpoint list expires, 0 or less once it has."""
        return self.balancer.freshness.expires_at - time.monotonic()

    def _on_list(self, listing: Listing) -> None:
        """Apply a list from discovery."""
        self.upstreams.apply(listing)
        if self.capture is not None:
            self.capture.on_list(listing)
        kind = api.ListKind.FULL if listing.complete else api.ListKind.INCREMENTAL
        self._push(self._server_list(listing, kind))

    def list_failed(self, failure: api.DiscoveryFailure, begun_at: float) -> None:
        """Report a failed discovery call to the balancer; `begun_at` is the monotonic time of its begin."""
        self._push(api.ServerList(api.ListKind.FAILED, failure=failure, as_of=begun_at))

    def on_discovery_address_change(self, as_of: float) -> None:
        """Tell the balancer that a new configuration may contain another discovery address.

        `as_of`: monotonic time of the signal at the earliest.
        """
        self._push(api.ServerList(api.ListKind.ADDRESS_CHANGED, as_of=as_of))

    def move_discovery(self, address: Address) -> None:
        """Poll discovery at a new address from now on."""
        self.discovery.move(address, self.balancer.discovery_move_delay())

    def inherit_freshness(self, other: Driver) -> None:
        """Take over the age of the endpoint list from the previous driver."""
        self.balancer.freshness.inherit(other.balancer.freshness)

    def on_pool_members(
        self,
        entries: list[api.ServerEntry],
        version: int,
        kind: api.ListKind,
        current: bool,
        as_of: float = math.inf,
    ) -> None:
        """Update the backends of this pool, whose endpoint source is shared.

        `current`: the list is that of discovery, and no change before `as_of` is missing.
        """
        self._push(api.ServerList(kind, entries, version, current=current, as_of=as_of))

    # downstream side
    def ready(self) -> bool:
        """Whether any backend receives requests."""
        return self.upstreams.ready

    def listed_backends(self) -> BackendCounts:
        """Counts of backends for operators."""
        return self.shared.backends({server.id for server in self.balancer.servers.ejected_servers()})

    def on_request(self, request: Request, reply: ResponseSink) -> PendingRequest | None:
        """Start to handle a request; returns None if it was answered immediately."""
        if request.id and request.id in self.ids:
            # An earlier request with this identifier is in flight, and both could run.
            reply.answer(409, (), b"this X-Call-Id is in use\n")
            return None
        if self._may_run_twice(request):
            reply.answer(409, (), b"a request with this X-Call-Id may have run\n")
            return None
        if self.settings.max_open_requests and len(self.calls) >= self.settings.max_open_requests:
            reply.answer(503, ((b"retry-after", b"1"),), b"too many calls\n")
            return None
        while self.deferred_timers:
            self._push(api.Timer(self.deferred_timers.pop()))
        self.shared.last_call_number += 1
        number = self.shared.last_call_number
        margin, limit = self._margin(), self._allowed_time(request)
        body_incomplete = request.upload is not None and not request.upload.complete
        deadline = math.inf if body_incomplete else request.received_at + limit - margin
        call = PendingRequest(self, number, request, reply, deadline)
        self.calls[number] = call
        if request.id:  # a mirrored copy has none
            self.ids.add(request.id)
        now = time.monotonic()
        left = request.budget - margin - BALANCER_MARGIN_S
        waited = margin - MIN_MARGIN_S  # the part of the margin that compensates for this process's lag
        if not body_incomplete:  # otherwise the deadline starts with the last byte of the body
            call.timer = self.loop.call_later(max(0.0, deadline - now), self._on_deadline, call)
            time_unread = max(0.0, now - request.received_at)
            waited += time_unread
            left -= time_unread
        arrival = api.Arrival(
            call=number,
            cls=request.cls,
            budget=left,
            tenant=request.tenant,
            work=request.work,
            is_retry=request.resent,
            key=request.subject,
            waited=waited,
            incomplete=body_incomplete,
        )
        if request.routed is not None:
            arrival.max_attempts = request.routed.attempts
            if limit < request.budget:
                arrival.route_timeout = left - (request.budget - limit)
        if self.capture is not None and request.id:
            self.capture.on_request(request, arrival, self.pool)
        self._push(arrival)
        return call

    def _may_run_twice(self, request: Request) -> bool:
        """Whether the request may have run already, and its class may not simply be repeated.

        An earlier request with its identifier was sent to a backend, and its client left.
        """
        if self.effects[request.cls] is api.Effect.IDEMPOTENT or not request.id:
            return False
        return self.shared.abandoned_ids.contains(request.id, time.monotonic())

    def _remember_abandoned(self, request: Request) -> None:
        """Remember a request that may have run and whose client has left."""
        if request.id and self.effects[request.cls] is not api.Effect.IDEMPOTENT:
            self.shared.abandoned_ids.add(request.id, time.monotonic())

    def _margin(self) -> float:
        """Seconds before the client's deadline by which the response is sent.

        The budget may have lost time before the request was read, which is only visible as event loop lag.
        """
        return min(MAX_MARGIN_S, MIN_MARGIN_S + 2 * self.lag)

    @staticmethod
    def _allowed_time(request: Request) -> float:
        """Seconds that the client or the request's route allows, counted from the request's last byte."""
        routed = request.routed
        allowed = routed.timeout if routed is not None and routed.timeout else request.budget
        return min(request.budget, allowed)

    def on_body_complete(self, call: PendingRequest) -> None:
        """Start the deadline of a request whose streamed body is complete."""
        if not call.open:
            return
        self._push(api.RequestCompleted(call.number))
        call.deadline = call.request.received_at + self._allowed_time(call.request) - self._margin()
        if call.streaming:
            if call.exchange is not None:
                self._enforce_deadline(call, call.exchange)
            return
        wait = max(0.0, call.deadline - time.monotonic())
        call.timer = self.loop.call_later(wait, self._on_deadline, call)

    def on_disconnect(self, call: PendingRequest) -> None:
        """Cancel the request of a client that disconnected."""
        if call.open:
            exchange = call.exchange
            self._remove(call, None)
            self._push(api.ClientDisconnected(call.number))
            if exchange is not None and (call.streaming or exchange.uploading):
                exchange.cancel()  # the balancer does not cancel once streaming has begun

    def _on_deadline(self, call: PendingRequest, sockets_read: bool = False) -> None:
        """Answer a request that the balancer did not answer in time.

        Status 503 if it certainly never ran, else 504. `sockets_read`: the sockets were read after the
        deadline.
        """
        if not call.open:
            return
        if not sockets_read and time.monotonic() > call.deadline + TIMER_LAG_S:
            # The process was stalled and timers run before sockets: the response may have arrived meanwhile.
            call.timer = self.loop.call_later(ONE_LOOP_TURN_S, self._on_deadline, call, True)
            return
        never_ran = not call.ran and (call.exchange is None or not call.exchange.sent)
        exchange = call.exchange
        self._respond(call, 503 if never_ran else 504, (), b"out of time\n")
        self._push(api.ClientDisconnected(call.number))
        if exchange is not None:
            exchange.end(api.Status.TIMEOUT if exchange.sent else api.Status.NOT_SENT)

    def _respond(self, call: PendingRequest, code: int, headers: Any, body: bytes) -> None:
        """Send the final response and remove the request, so that it gets no second response."""
        self._remove(call, code)
        call.reply.answer(code, headers, body)

    def _remove(self, call: PendingRequest, code: int | None) -> None:
        """Remove the request; `code` is None if the client disconnected."""
        call.open = False
        if self.capture is not None:
            self.capture.on_end(call.number, code)
        self.calls.pop(call.number, None)
        self.ended[call.number] = call.attempts
        if call.exchange is None:
            self.ids.discard(call.request.id)
            if code is None and call.ran:
                self._remember_abandoned(call.request)
        if call.timer is not None:
            call.timer.cancel()
        if not self.calls and self.on_empty is not None:
            self.on_empty()

    # actions
    def _send(self, action: api.Send) -> None:
        """Start an attempt."""
        call = self.calls.get(action.call)
        if call is None:
            # The request ended before the balancer was notified. Each Send action still needs an Outcome with
            # the attempt's number.
            number = self.ended.get(action.call, 0)
            self.ended[action.call] = number + 1
            self._push(api.Outcome(action.call, number, action.server, api.Status.NOT_SENT, 0.0, True))
            return
        number = call.attempts
        call.attempts += 1
        upstream = self.upstreams.by_id.get(action.server)
        if upstream is None or not upstream.serving or call.exchange is not None:
            if call.exchange is not None:
                log.error("call %d: the balancer sent a second attempt while one is in flight", call.number)
            self._push(api.Outcome(call.number, number, action.server, api.Status.NOT_SENT, 0.0, False))
            return
        self._record_send(call, number, upstream)
        timeout = min(action.timeout, call.deadline - time.monotonic())
        request = call.request
        start_before = self.flushed_at + action.start_within

        def may_start() -> bool:
            """Whether the request may still be sent.

            By the end of a slow connect, the retry's window may have passed or the client disconnected. After
            a stall the backend's drain may be among the input that was not read yet.
            """
            in_time = time.monotonic() <= start_before and not self.shared.stalls.is_settling()
            return call.open and upstream.serving and in_time and not call.reply.hung_up()

        def request_parts() -> tuple[bytes, ...]:
            """The request with the time that remains now, after the connect."""
            left = timeout if exchange.uploading else exchange.due_at - time.monotonic()
            budget = b"x-budget: %du\r\n\r\n" % max(1, int(left * 1e6))
            head = request.head + request.framing() + budget
            return (head, request.body) if request.body else (head,)

        def on_end(exchange: Exchange) -> None:
            self._on_attempt_end(call, number, action.server, exchange)

        def on_streaming(exchange: Exchange, length: int | None) -> bool:
            return self._on_response_start(call, number, action.server, exchange, length)

        exchange = Exchange(
            upstream,
            request_parts,
            max(0.0, timeout),
            may_start,
            on_end,
            self.shared.counters.on_attempt,
            on_streaming,
            # If a response breaks off that is already being streamed, the requests behind it are lost.
            call.reply.has_queued,
        )
        if request.upload is not None:
            exchange.upload = request.upload
            # The client may have sent the last byte already, which waits unread behind the others.
            max_stall_s = self._allowed_time(request) - self._margin()
            exchange.upload_progress = UploadProgress(max_stall_s, time.monotonic())
            request.upload.on_release = lambda: self._push(
                api.StreamStarted(call.number, number, action.server)
            )
        call.exchange = self.in_flight[call.number] = exchange
        self.upstreams.start(exchange)

    def _record_send(self, call: PendingRequest, number: int, upstream: Upstream) -> None:
        """Count a further attempt, and log an attempt that relies on an old endpoint list."""
        if number:
            self.shared.events.on_retry(_status_name(call.last_status))
        list_state = self.balancer.list_state
        self.shared.events.on_send(list_state.value)
        if list_state is not api.ListState.CURRENT and self.old_list_lines.take():
            host, port = upstream.address
            log.info(
                "request sent by an old endpoint list: id=%s attempt=%d server=%s:%d list_age_s=%.3f list=%s",
                call.request.id.decode("latin-1"),
                number,
                host,
                port,
                self.list_age(),
                list_state.value,
            )

    def _on_response_start(
        self, call: PendingRequest, number: int, server: int, exchange: Exchange, length: int | None
    ) -> bool:
        """Start to stream a response; False if its request has ended."""
        if not call.open:
            return False
        call.streaming = True
        self._enforce_deadline(call, exchange)
        self._push(api.StreamStarted(call.number, number, server, exchange.elapsed))
        headers = [pair for pair in exchange.headers if pair[0] not in DROPPED_HEADERS]
        call.reply.begin(headers, length, exchange)
        exchange.sink = call.reply.send
        return True

    def _enforce_deadline(self, call: PendingRequest, exchange: Exchange) -> None:
        """Enforce the deadline on a streamed response; without effect while the request is incomplete."""
        if call.timer is not None:
            call.timer.cancel()
        if call.open and not math.isinf(call.deadline):
            call.timer = StreamDeadline(self.loop, exchange, call.deadline)

    def _on_attempt_end(self, call: PendingRequest, number: int, server: int, exchange: Exchange) -> None:
        """Report the end of an attempt to the balancer, and answer if it succeeded."""
        status = exchange.status
        assert status is not None
        call.exchange, call.last_status = None, status
        self.shared.events.on_attempt_end(_status_name(status))
        self.in_flight.pop(call.number, None)
        if status not in api.NEVER_RAN:
            call.ran = True
        if not call.open:
            self.ids.discard(call.request.id)
            if exchange.sent:
                self._remember_abandoned(call.request)
        elif call.streaming:
            self._end_stream(call, status)
        elif status is api.Status.OK:
            headers = [pair for pair in exchange.headers if pair[0] not in DROPPED_HEADERS]
            self._respond(call, 200, headers, exchange.body)
        report = None
        if self.settings.reports == "answer":
            for name, value in exchange.headers:
                if name == b"x-load-report":
                    report = read_report(value)
                    if self.capture is not None:
                        self.capture.on_load_report(server, value)
        self._push(api.Outcome(call.number, number, server, status, exchange.elapsed, not call.open, report))

    def _end_stream(self, call: PendingRequest, status: api.Status) -> None:
        """End a streamed response whose attempt has ended."""
        self._remove(call, 200 if status is api.Status.OK else 502)
        if status is api.Status.OK:
            call.reply.finish()
        else:
            call.reply.abort()

    def _reject(self, action: api.Reject) -> None:
        """Answer a request that the balancer sheds."""
        call = self.calls.get(action.call)
        if call is not None:
            self.shared.events.on_rejection(action.reason.value)
            headers = ((b"retry-after", b"%.3f" % action.retry_after),) if action.retry_after > 0 else ()
            self._respond(call, 503, headers, b"refused\n")

    def _fail(self, action: api.Fail) -> None:
        """Answer a request that the balancer has given up."""
        call = self.calls.get(action.call)
        if call is not None:
            self.shared.events.on_rejection(action.reason.value)
            self._respond(call, 502, (), b"failed\n")

    def _cancel(self, action: api.Cancel) -> None:
        """Cancel the attempt in flight."""
        exchange = self.in_flight.get(action.call)
        if exchange is not None:
            exchange.cancel()

    def _probe(self, action: api.Probe) -> None:
        """Send a probe to a backend."""
        upstream = self.upstreams.by_id.get(action.server)
        if upstream is None or upstream.state is api.ServerState.REMOVED or self.probes >= MAX_PROBES:
            # Not sent, which is not the backend's fault.
            self._push(api.ProbeResult(action.server, api.Status.REJECTED, 0.0))
            return
        self.probes += 1
        target = "/healthz" if self.settings.reports == "none" else "/load"
        host, port = upstream.address
        request = f"GET {target} HTTP/1.1\r\nHost: {host}:{port}\r\n\r\n".encode()

        def on_end(exchange: Exchange) -> None:
            self.probes -= 1
            status = exchange.status
            assert status is not None
            report = read_report(exchange.body) if status is api.Status.OK else None
            if report is not None and self.capture is not None:
                self.capture.on_load_report(action.server, exchange.body)
            if status is api.Status.NOT_SENT:
                status = api.Status.REJECTED  # not probed, which says nothing about its health
            started_at = exchange.started_at
            self._push(api.ProbeResult(action.server, status, exchange.elapsed, report, started_at))

        def may_start() -> bool:
            return upstream.state is not api.ServerState.REMOVED

        probe = Exchange(upstream, lambda: (request,), PROBE_TIMEOUT_S, may_start, on_end)
        self.upstreams.start(probe)

    def _set_timer(self, action: api.SetTimer) -> None:
        """Start a timer of the balancer, early by one loop turn in which the sockets are read."""
        wait = max(0.0, action.delay - ONE_LOOP_TURN_S)
        self.loop.call_later(wait, self._on_timer, time.monotonic() + wait, action.token)

    def _on_timer(self, due: float, token: int) -> None:
        """Measure the event loop's lag and have the sockets read before the timer is passed on.

        Timers run before sockets. After a stall of the process, responses that arrived during it are still
        unread, and the balancer would count the stall as latency of the servers.
        """
        self.lag = max(self.lag * LAG_RETENTION, time.monotonic() - due)
        self._read_sockets(token, MAX_TIMER_TURNS)

    def _read_sockets(self, token: int, turns: int) -> None:
        """Pass on a timer after a loop turn without a stall, or after `turns` loop turns at the latest."""
        self.loop.call_later(ONE_LOOP_TURN_S, self._on_turn, time.monotonic(), token, turns)

    def _on_turn(self, began_at: float, token: int, turns: int) -> None:
        """Pass on a timer unless the process stalled in the last turn.

        While the driver is retired and has no open requests, the timer is deferred.
        """
        if turns > 1 and time.monotonic() - began_at > STALL_S:
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
