"""Drives the one Balancer: events in, actions out. The only place that knows the module and the sockets.

It decides nothing: no retry, no pick, no queue. What it adds is the proxy's own word on each call: an answer
before the caller's deadline, whatever the module does.
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
from gladegw.net.endpoint_lists import Inventory, Listing
from gladegw.net.hop_by_hop import HOP_BY_HOP
from gladegw.net.interfaces import Reply
from gladegw.net.load_reports import read_report
from gladegw.net.request import Request
from gladegw.net.shared_resources import Desk, OpenCall
from gladegw.net.upstream.exchange import LATE, ONE_TURN, Exchange
from gladegw.operators.commands import BackendCounts

log = logging.getLogger(__name__)

LEAST_MARGIN = 0.02  # s before a caller's deadline at which its answer leaves at the latest
MOST_MARGIN = 0.15  # s
MODULE_MARGIN = 0.02  # s by which the module's deadline lies before the proxy's own
LAG_FADE = 0.995  # of the measured loop lag that is kept at each timer
MOST_PROBES = 32  # at once
PROBE_TIMEOUT = 0.2  # s; a report that comes later is of no use
LARGE_PAUSE = 2.0  # s that a backend may pause in a large answer whose deadline has passed
UNKNOWN_PAUSE = 1.0  # s, in one that tells no length and has not become large
STREAM_LOOK = 0.05  # s between looks whether it moves
DROPPED = HOP_BY_HOP | {b"x-load-report", b"x-rejected"}


class Feed(Protocol):
    """Where a pool's lists come from, when not from a discovery of its own."""

    def watch(self, on: bool) -> None: ...

    def fetch(self) -> None: ...


class Driver:
    def __init__(
        self,
        config: Config,
        capture: Capture | None = None,
        desk: Desk | None = None,
        feed: Feed | None = None,
        pool: str = "",
    ) -> None:
        self.capture, self.pool = capture, pool
        self.loop = asyncio.get_running_loop()
        self.config, self.settings = config, config.settings
        self.effects = {cls.name: cls.effect for cls in self.settings.classes}
        self.balancer = Balancer(self.settings, config.seed ^ zlib.crc32(pool.encode()))
        self.desk = desk or Desk(config)
        self.upstreams, self.ids = self.desk.upstreams, self.desk.ids
        self.retired = False  # a newer one has taken its place: it rests when nothing of it is open
        self.resting: list[int] = []  # timers that came meanwhile
        self.calls: dict[int, OpenCall] = {}
        self.out: dict[int, Exchange] = {}  # attempts, by call: also of calls whose caller has left
        self.ended: dict[int, int] = {}  # attempts of calls that ended since the module was last asked
        self.probes = 0
        self.events: list[api.Event] = []
        self.flush_at: asyncio.Handle | None = None
        self.flushed = 0.0
        self.lag = 0.0  # s, how late this loop was lately
        self.on_empty: Callable[[], None] | None = None
        self.carriers: dict[type, Callable[[Any], None]] = {
            api.Send: self._send,
            api.Reject: self._refuse,
            api.Fail: self._fail,
            api.Cancel: self._cancel,
            api.Probe: self._probe,
            api.SetTimer: self._set_timer,
            api.CloseIdle: self._close_idle,
            api.Watch: lambda action: self.feed.watch(action.on),
            api.Fetch: lambda action: self.feed.fetch(),
            api.Log: lambda action: log.info("module: %s", action.text),
            api.SendToPeer: lambda action: None,  # there is no talk between proxies
        }
        self.feed: Feed = feed or self._own_feed()
        if capture is not None:
            self.balancer.observer = capture.step

    def _own_feed(self) -> Discovery:
        config, inventory = self.config, Inventory()
        known = self.known(config, inventory)
        version = known.version if config.known else None
        within = config.settings.max_poll_gap
        self.discovery = Discovery(
            config.discovery, version, within, self._on_list, self.list_failed, inventory
        )
        self.upstreams.apply(known)
        if self.capture is not None:
            self.capture.listed(known)
        self.events.append(self._server_list(known, api.ListKind.CACHED))
        return self.discovery

    @staticmethod
    def known(config: Config, inventory: Inventory) -> Listing:
        """The list that the configuration holds; raises ConfigError."""
        try:
            return inventory.adopt(config.known) if config.known else Listing(0, True, [])
        except ValueError as fault:
            raise ConfigError(f"bad configuration: known: {fault}") from None

    def start(self) -> None:
        if not self.settings.polls_endpoints:
            self.feed.watch(True)  # lists count as pushed from the first moment, and the module asks for none
        self._flush()

    def stop(self) -> None:
        self.discovery.stop()

    # events
    def _push(self, event: api.Event) -> None:
        """Events come to the module no more often than once a quantum."""
        self.events.append(event)
        if self.flush_at is None:
            wait = self.flushed + self.settings.quantum - time.monotonic()
            if wait > 0:
                self.flush_at = self.loop.call_later(wait, self._flush)
            else:
                self.flush_at = self.loop.call_soon(self._flush)

    def _flush(self) -> None:
        self.flush_at = None
        now = self.flushed = time.monotonic()
        events, self.events = self.events, []
        ended = list(self.ended)  # what the module learns only with this batch
        try:
            actions = self.balancer.handle(now, events)
        except Exception:
            self._recover(events)
            return
        for action in actions:
            try:
                self.carriers[type(action)](action)
            except Exception:
                log.exception("an action failed: %s", action)
                number = getattr(action, "call", None)
                if number is not None:
                    self._give_up(number)
        for number in ended:
            del self.ended[number]

    def _recover(self, events: list[api.Event]) -> None:
        """The module failed on a batch: its calls fail, its timers come again, the rest goes on."""
        log.exception("the module failed on %d events", len(events))
        for event in events:
            if isinstance(event, api.Arrival | api.Outcome):
                self._give_up(event.call)
            elif isinstance(event, api.Timer):
                self._set_timer(api.SetTimer(0.05, event.token))

    def _give_up(self, number: int) -> None:
        call = self.calls.get(number)
        if call is not None:
            self._close(call, 502, (), b"internal error\n")
            self._push(api.ClientDisconnected(number))

    @staticmethod
    def _server_list(listing: Listing, kind: api.ListKind) -> api.ServerList:
        entries = [listed.entry for listed in listing.backends]
        return api.ServerList(kind, entries, listing.version, current=listing.current)

    def _on_list(self, listing: Listing) -> None:
        self.upstreams.apply(listing)
        if self.capture is not None:
            self.capture.listed(listing)
        kind = api.ListKind.FULL if listing.whole else api.ListKind.INCREMENTAL
        self._push(self._server_list(listing, kind))

    def list_failed(self, failure: api.DiscoveryFailure) -> None:
        self._push(api.ServerList(api.ListKind.FAILED, failure=failure))

    def discovery_moved(self) -> None:
        """A new configuration may name another address of discovery."""
        self._push(api.ServerList(api.ListKind.ADDRESS_CHANGED))

    def follows(self, other: Driver) -> None:
        """This one begins with the list of one that has served until now: it is as old here as there."""
        self.balancer.freshness.continues(other.balancer.freshness)

    def listed(self, entries: list[api.ServerEntry], version: int, kind: api.ListKind, current: bool) -> None:
        """The members of this pool, where someone else asks discovery. `current`: as discovery told them just
        now."""
        self._push(api.ServerList(kind, entries, version, current=current))

    # the callers' side
    def ready(self) -> bool:
        return self.upstreams.ready

    def listed_backends(self) -> BackendCounts:
        return self.desk.backends({server.id for server in self.balancer.servers.avoided()})

    def opened(self, request: Request, reply: Reply) -> OpenCall | None:
        if request.id and request.id in self.ids:
            # An earlier one of this name is still out, and a second copy could run beside it.
            reply.answer(409, (), b"this X-Call-Id is in use\n")
            return None
        if self.settings.max_open_requests and len(self.calls) >= self.settings.max_open_requests:
            reply.answer(503, ((b"retry-after", b"1"),), b"too many calls\n")
            return None
        while self.resting:
            self._push(api.Timer(self.resting.pop()))
        self.desk.calls_taken += 1
        number = self.desk.calls_taken
        margin, limit = self._margin(), self._limit(request)
        coming = request.upload is not None and not request.upload.whole
        deadline = math.inf if coming else request.came + limit - margin
        call = OpenCall(self, number, request, reply, deadline)
        self.calls[number] = call
        if request.id:  # a mirrored copy has none
            self.ids.add(request.id)
        now = time.monotonic()
        left = request.budget - margin - MODULE_MARGIN
        if not coming:  # its time begins with its last byte
            call.timer = self.loop.call_later(max(0.0, deadline - now), self._overdue, call)
            left += request.came - now
        arrival = api.Arrival(
            call=number,
            cls=request.cls,
            budget=left,
            tenant=request.tenant,
            work=request.work,
            is_retry=request.resent,
            key=request.subject,
        )
        if request.routed is not None:
            arrival.max_attempts = request.routed.attempts
            if limit < request.budget:
                arrival.route_timeout = left - (request.budget - limit)
        if self.capture is not None and request.id:
            self.capture.taken(request, arrival, self.pool)
        self._push(arrival)
        return call

    def _margin(self) -> float:
        """What the budget has lost before the request was read shows only as this loop's lag."""
        return min(MOST_MARGIN, LEAST_MARGIN + 2 * self.lag)

    @staticmethod
    def _limit(request: Request) -> float:
        """s that the caller, or the request's route, allows from its last byte on."""
        routed = request.routed
        allowed = routed.timeout if routed is not None and routed.timeout else request.budget
        return min(request.budget, allowed)

    def uploaded(self, call: OpenCall) -> None:
        """The last byte of a request that was opened while it came: from here on its time counts."""
        if not call.open:
            return
        call.deadline = call.request.came + self._limit(call.request) - self._margin()
        if call.streaming:
            if call.exchange is not None:
                self._watch_stream(call, call.exchange)
            return
        wait = max(0.0, call.deadline - time.monotonic())
        call.timer = self.loop.call_later(wait, self._overdue, call)

    def left(self, call: OpenCall) -> None:
        if call.open:
            exchange = call.exchange
            self._settle(call, None)
            self._push(api.ClientDisconnected(call.number))
            if exchange is not None and (call.streaming or exchange.coming):
                exchange.cancel()  # the module does not, where something has begun to flow

    def _overdue(self, call: OpenCall, late: bool = False) -> None:
        """The module has said nothing in time: a failure, unless a refusal is provably harmless."""
        if not call.open:
            return
        if not late and time.monotonic() > call.deadline + LATE:
            # This process stood still, and timers come before sockets: the answer may have come meanwhile.
            call.timer = self.loop.call_later(ONE_TURN, self._overdue, call, True)
            return
        harmless = not call.ran and (call.exchange is None or not call.exchange.sent)
        exchange = call.exchange
        self._close(call, 503 if harmless else 504, (), b"out of time\n")
        self._push(api.ClientDisconnected(call.number))
        if exchange is not None:
            exchange.end(api.Status.TIMEOUT if exchange.sent else api.Status.NOT_SENT)

    def _close(self, call: OpenCall, code: int, headers: Any, body: bytes) -> None:
        """The final answer. After it the call is gone from the table, so there is no second one."""
        self._settle(call, code)
        call.reply.answer(code, headers, body)

    def _settle(self, call: OpenCall, code: int | None) -> None:
        call.open = False
        if self.capture is not None:
            self.capture.ended(call.number, code)
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
        call = self.calls.get(action.call)
        if call is None:
            # It ended before the module had heard of it; every send is owed an outcome, under its number.
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
            left = timeout if exchange.coming else exchange.due - time.monotonic()
            budget = b"x-budget: %du\r\n\r\n" % max(1, int(left * 1e6))
            return request.head + request.framing() + budget + request.body

        def done(exchange: Exchange) -> None:
            self._attempt_ended(call, number, action.server, exchange)

        def begun(exchange: Exchange, length: int | None) -> bool:
            return self._answer_begins(call, number, action.server, exchange, length)

        exchange = Exchange(
            upstream, message, max(0.0, timeout), may_start, done, self.desk.ledger.on_attempt, begun
        )
        if request.upload is not None:
            exchange.upload = request.upload
            request.upload.on_let_go = lambda: self._push(
                api.StreamStarted(call.number, number, action.server)
            )
        call.exchange = self.out[call.number] = exchange
        self.upstreams.start(exchange)

    def _answer_begins(
        self, call: OpenCall, number: int, server: int, exchange: Exchange, length: int | None
    ) -> bool:
        """The first bytes of a large answer go out as they come. False: nobody wants them."""
        if not call.open:
            return False
        call.streaming = True
        self._watch_stream(call, exchange)
        self._push(api.StreamStarted(call.number, number, server, exchange.elapsed))
        headers = [pair for pair in exchange.headers if pair[0] not in DROPPED]
        call.reply.begin(headers, length, exchange)
        exchange.sink = call.reply.send
        return True

    def _watch_stream(self, call: OpenCall, exchange: Exchange) -> None:
        """At its deadline an answer that is being passed on has to be whole, or still on its way: only the
        first bytes of a large one are timed, and one that tells no length may yet become large. Where nothing
        has come for a while, the end of the connection tells its caller."""
        if call.timer is not None:
            call.timer.cancel()
        if not call.open or math.isinf(call.deadline):
            return
        now = time.monotonic()
        left = call.deadline - now
        pause = LARGE_PAUSE if exchange.large else UNKNOWN_PAUSE
        moves = exchange.held or now < exchange.moved_at + pause
        if left <= 0 and not moves:
            exchange.end(api.Status.TIMEOUT)
        else:
            call.timer = self.loop.call_later(max(left, STREAM_LOOK), self._watch_stream, call, exchange)

    def _attempt_ended(self, call: OpenCall, number: int, server: int, exchange: Exchange) -> None:
        status = exchange.status
        assert status is not None
        call.exchange = None
        self.out.pop(call.number, None)
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
            headers = [pair for pair in exchange.headers if pair[0] not in DROPPED]
            self._close(call, 200, headers, exchange.body)
        report = None
        if self.settings.reports == "answer":
            for name, value in exchange.headers:
                if name == b"x-load-report":
                    report = read_report(value)
                    if self.capture is not None:
                        self.capture.reported(server, value)
        self._push(api.Outcome(call.number, number, server, status, exchange.elapsed, not call.open, report))

    def _refuse(self, action: api.Reject) -> None:
        call = self.calls.get(action.call)
        if call is not None:
            advice = ((b"retry-after", b"%.3f" % action.retry_after),) if action.retry_after > 0 else ()
            self._close(call, 503, advice, b"refused\n")

    def _fail(self, action: api.Fail) -> None:
        call = self.calls.get(action.call)
        if call is not None:
            self._close(call, 502, (), b"failed\n")

    def _cancel(self, action: api.Cancel) -> None:
        exchange = self.out.get(action.call)
        if exchange is not None:
            exchange.cancel()

    def _probe(self, action: api.Probe) -> None:
        upstream = self.upstreams.by_id.get(action.server)
        if upstream is None or not upstream.serving or self.probes >= MOST_PROBES:
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
                self.capture.reported(action.server, exchange.body)
            if status is api.Status.NOT_SENT:
                status = api.Status.REJECTED  # not asked, so nothing is known against it
            self._push(api.ProbeResult(action.server, status, exchange.elapsed, report))

        probe = Exchange(upstream, lambda: request, PROBE_TIMEOUT, lambda: upstream.serving, done)
        self.upstreams.start(probe)

    def _set_timer(self, action: api.SetTimer) -> None:
        due = time.monotonic() + action.delay
        self.loop.call_later(max(0.0, action.delay), self._timer, due, action.token)

    def _timer(self, due: float, token: int) -> None:
        self.lag = max(self.lag * LAG_FADE, time.monotonic() - due)
        if self.retired and not (self.calls or self.out):
            self.resting.append(token)
        else:
            self._push(api.Timer(token))

    def _close_idle(self, action: api.CloseIdle) -> None:
        upstream = self.upstreams.by_id.get(action.server)
        if upstream is not None:
            upstream.close_idle()
