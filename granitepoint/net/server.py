"""The callers' side: reads requests, and writes the one answer of each."""

from __future__ import annotations

import asyncio
import json
import logging
import socket
import ssl
import time
from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any, Protocol, cast

import httptools

from granitepoint.interface import Effect
from granitepoint.net import listener
from granitepoint.net.request import BadRequest, Request, Router, class_of, read_request
from granitepoint.net.tls import reason, subject
from granitepoint.operators.ledger import Ledger, Watcher

log = logging.getLogger(__name__)

MOST_BODY = 64 * 1024  # bytes of a request
MOST_HEAD = 32 * 1024  # bytes of its target and headers
MOST_RAW = 2 * (MOST_HEAD + MOST_BODY)  # bytes of a request as it comes; the parser holds what is unfinished
IDLE = 120.0  # s after which a connection that asks nothing more is closed
FIRST_WHOLE = 2.2  # s for the first request of a connection to come whole, and for each from its first byte
LINGER = 1.0  # s for which what still comes after a last answer to bad input is read and dropped
SPARE_AGE = 0.5  # s without a request after which a connection may make room for another
SWEEP = 0.25  # s between looks for those
ENTERING_SHARE = 0.1  # of the connections, that more may be at their handshake
ACCEPT_PAUSE = 0.05  # s without accepting once it failed, for lack of descriptors most of all
GOODBYE = 1.0  # s for the end of a TLS connection to be answered
REASONS = {
    200: b"OK", 301: b"Moved Permanently", 302: b"Found", 303: b"See Other", 307: b"Temporary Redirect",
    308: b"Permanent Redirect", 400: b"Bad Request", 403: b"Forbidden", 404: b"Not Found", 409: b"Conflict",
    413: b"Content Too Large", 429: b"Too Many Requests", 500: b"Internal Server Error",
    502: b"Bad Gateway", 503: b"Service Unavailable", 504: b"Gateway Timeout",
}  # fmt: skip
NO_HEADERS: tuple[tuple[bytes, bytes], ...] = ()


@dataclass(slots=True)
class Peer:
    """Who is at the other end of a connection, where a feature has to know."""

    client: str  # address and port
    via: str | None = None  # the front's address
    denied: bool = False
    subject: str | None = None  # of its certificate; None: not TLS

    def told(self) -> str:
        via = "" if self.via is None else f" via={self.via}"
        subject = "" if self.subject is None else f" client_subject={json.dumps(self.subject)}"
        return f"client={self.client}{via}{subject}"


@dataclass(slots=True)
class Asked:
    """What is known of a request whatever becomes of it: peers' text, as it came."""

    id: str
    cls: str
    tenant: str
    came: float  # monotonic
    peer: Peer | None = None


class Reply(Protocol):
    """Where a call's answer goes."""

    def answer(self, code: int, headers: Any, body: bytes) -> None: ...


class Certificates(Protocol):
    """What a TLS port asks for: a connection keeps the context that it began with."""

    context: ssl.SSLContext


class TurnedAway(Exception):
    """A connection is closed before HTTP; the message says why, if there is anything to say."""


class Door(Protocol):
    """Who a connection's client is, from what comes before TLS and HTTP; raises TurnedAway."""

    async def meet(self, sock: socket.socket) -> Peer: ...


class Handler(Protocol):
    """What the callers' side asks of the driver."""

    def opened(self, request: Request, reply: Reply) -> object: ...

    def left(self, call: Any) -> None: ...


class ClientConnection(asyncio.Protocol):
    """One caller's connection: requests one after another, each with exactly one answer."""

    def __init__(self, server: Server, peer: Peer | None = None, begun_at: float | None = None) -> None:
        self.server, self.peer = server, peer
        self.transport: asyncio.Transport | None = None
        self.parser: Any = httptools.HttpRequestParser(self)
        self.target = b""
        self.headers: list[tuple[bytes, bytes]] = []
        self.body: list[bytes] = []
        self.head_size = self.body_size = self.raw_size = 0
        self.inside = False  # a request has begun to come
        self.begun_at = begun_at  # since when a request is awaited whole; None: nothing is owed
        self.waiting: deque[tuple[Request | BadRequest | None, bool, Asked | None]] = deque()
        self.asked: Asked | None = None  # the open request, where a feature watches
        self.cls = ""  # of the open request; empty: it is none that is counted
        self.call: object | None = None
        self.answering = False  # a request is open
        self.keep_alive = True
        self.closing = False
        self.changed_at = 0.0
        self.full = False  # the peer does not read
        self.paused = False

    # transport callbacks
    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # uvloop's own class
        self.changed_at = time.monotonic()
        self.begun_at = self.begun_at or self.changed_at
        if self.peer is not None and transport.get_extra_info("ssl_object") is not None:
            self.peer.subject = subject(transport.get_extra_info("peercert"))
        self.server.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self.closing = True
        self._forget()
        self.server.connections.discard(self)
        self._ended(None)
        call, self.call = self.call, None
        if call is not None:
            self.server.handler.left(call)

    def pause_writing(self) -> None:
        self.full = True
        self._flow()

    def resume_writing(self) -> None:
        self.full = False
        self._flow()

    def _flow(self) -> None:
        """Nothing more is read from a peer that reads nothing or that is ahead of its answers."""
        if self.transport is not None and not self.closing:
            pause = self.full or bool(self.waiting)  # so it holds one read's worth of bodies at most
            if pause and not self.paused:
                self.transport.pause_reading()
            elif self.paused and not pause:
                self.transport.resume_reading()
            self.paused = pause

    def data_received(self, data: bytes) -> None:
        if self.closing:
            return
        self.changed_at = time.monotonic()
        unfinished = self.inside
        try:
            self.parser.feed_data(data)
            if unfinished and self.inside:
                self.raw_size += len(data)
                if self.raw_size > MOST_RAW:
                    raise BadRequest(413, "request too large")
        except Exception as fault:  # from the parser, or from a callback through it
            cause = fault if isinstance(fault, BadRequest) else fault.__context__
            bad = cause if isinstance(cause, BadRequest) else BadRequest(400, "malformed HTTP")
            self.waiting.append((bad, False, self._asked()))
            self.closing = True  # what still comes is read, so that the answer arrives, and dropped
        self._next()

    # parser callbacks
    def on_message_begin(self) -> None:
        self.inside = True
        self.begun_at = self.begun_at or time.monotonic()
        self.target = b""
        self.headers, self.body = [], []
        self.head_size = self.body_size = self.raw_size = 0

    def on_url(self, part: bytes) -> None:
        self.target += part
        self._count_head(len(part))

    def on_header(self, name: bytes, value: bytes) -> None:
        self._count_head(len(name) + len(value))
        self.headers.append((name.lower(), value))

    def _count_head(self, size: int) -> None:
        self.head_size += size
        if self.head_size > MOST_HEAD:
            raise BadRequest(400, "headers too large")

    def on_headers_complete(self) -> None:
        length = next((value for name, value in self.headers if name == b"content-length"), b"0")
        if length.isdigit() and int(length) > MOST_BODY:
            raise BadRequest(413, "body too large")
        expects = any(n == b"expect" and v.lower() == b"100-continue" for n, v in self.headers)
        if expects and self.transport is not None and not self.answering and not self.waiting:
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, chunk: bytes) -> None:
        self.body_size += len(chunk)
        if self.body_size > MOST_BODY:
            raise BadRequest(413, "body too large")
        self.body.append(chunk)

    def on_message_complete(self) -> None:
        self.inside = False
        self.begun_at = None
        parser = self.parser
        keep_alive = parser.should_keep_alive()
        method = parser.get_method()
        request: Request | BadRequest | None = None  # None: asks whether the proxy is ready
        if parser.should_upgrade():
            request = BadRequest(400, "no upgrades")
            keep_alive = False
        elif self.target.split(b"?", 1)[0] != b"/healthz" or method != b"GET":
            body = b"".join(self.body)
            try:
                request = read_request(
                    method, self.target, self.headers, body, time.monotonic(), self.server.effects,
                    self.server.router, self._source,
                )  # fmt: skip
            except BadRequest as bad:
                request = bad
            else:
                self.server.ledger.taken()
        asked = self._asked() if request is not None else None
        self.headers, self.body = [], []
        self.waiting.append((request, keep_alive, asked))

    def _source(self) -> str:
        """The client's address, for routes that ask for it."""
        if self.peer is not None:
            return self.peer.client.rpartition(":")[0].strip("[]")
        name = self.transport.get_extra_info("peername") if self.transport is not None else None
        return str(name[0]) if name else ""

    def _asked(self) -> Asked | None:
        if not self.server.watchers:
            return None
        told = dict(self.headers)
        return Asked(
            id=told.get(b"x-call-id", b"").decode("latin-1"),
            cls=class_of(self.target),
            tenant=told.get(b"x-caller", b"").decode("latin-1"),
            came=time.monotonic(),
            peer=self.peer,
        )

    def _forget(self) -> None:
        """What waits behind the open request is not answered any more."""
        for request, _, _ in self.waiting:
            if isinstance(request, Request):
                self.server.ledger.ended(request.cls, None)
        self.waiting.clear()

    def _ended(self, code: int | None) -> None:
        if self.cls:
            self.server.ledger.ended(self.cls, code)
            self.cls = ""
        asked, self.asked = self.asked, None
        if asked is not None:
            for watcher in self.server.watchers:
                watcher.ended(asked, code)

    # answers
    def _next(self) -> None:
        while self.waiting and not self.answering and self.transport is not None:
            request, self.keep_alive, self.asked = self.waiting.popleft()
            self.answering = True
            self.cls = request.cls if isinstance(request, Request) else ""
            if self.asked is not None:
                for watcher in self.server.watchers:
                    watcher.begun(self.asked)
            if self.peer is not None and self.peer.denied:
                self.keep_alive = False
                self.answer(403, NO_HEADERS, b"this address is not admitted\n")
            elif request is None:
                ready = self.server.ready()
                self.answer(200 if ready else 503, NO_HEADERS, b"ok\n" if ready else b"not ready\n")
            elif isinstance(request, BadRequest):
                self.answer(request.code, request.headers, f"{request}\n".encode())
            elif self.server.crowded():
                # Never sent, so a refusal is harmless.
                self.keep_alive = False
                self.answer(503, ((b"retry-after", b"1"),), b"too many connections\n")
            else:
                try:
                    call = self.server.handler.opened(request, self)
                except Exception:
                    log.exception("a request could not be taken")
                    self.answer(500, NO_HEADERS, b"internal error\n")
                    continue
                if self.answering:
                    self.call = call
        self._flow()

    def answer(self, code: int, headers: Any, body: bytes) -> None:
        """The one answer to the open request; whoever asks for a second one gets an exception, not a byte."""
        if not self.answering:
            raise RuntimeError("a request has one answer")
        self.answering = False
        self.call = None
        self._ended(code)
        transport = self.transport
        if transport is None:
            return
        last = not self.keep_alive or self.server.draining
        parts = [b"HTTP/1.1 %d %s\r\n" % (code, REASONS.get(code, b"Status"))]
        parts += [name + b": " + value + b"\r\n" for name, value in headers]
        parts.append(b"content-length: %d\r\n" % len(body))
        parts.append(b"connection: close\r\n\r\n" if last else b"\r\n")
        parts.append(body)
        transport.write(b"".join(parts))
        self.changed_at = time.monotonic()
        if last and self.closing:
            # The peer may still be sending. Closing on unread bytes resets the connection, which can take
            # the answer with it: first only this side ends.
            self._forget()
            if transport.can_write_eof():  # TLS has no such half end; there the answer's length tells it
                transport.write_eof()
            self.server.loop.call_later(LINGER, transport.abort)
        elif last:
            self.closing = True
            self._forget()
            transport.close()
        elif self.waiting:
            self.server.loop.call_soon(self._next)

    @property
    def idle(self) -> bool:
        return not self.answering and not self.waiting and not self.inside

    def close(self) -> None:
        if self.transport is not None:
            self.closing = True
            self.transport.close()


def told_address(name: Any) -> str:
    """A socket's name as `host:port`."""
    host, port = name[:2]
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"


class Server:
    """The listener and the callers' connections."""

    def __init__(
        self,
        effects: Mapping[str, Effect],
        handler: Handler,
        most_open: int,
        ledger: Ledger,
        ready: Callable[[], bool],
    ) -> None:
        self.loop = asyncio.get_running_loop()
        self.effects, self.handler, self.most_open = effects, handler, most_open
        self.ledger, self.ready = ledger, ready
        self.connections: set[ClientConnection] = set()
        self.draining = False  # each answer is the last on its connection
        self.listener: asyncio.Server | None = None
        self.queue: socket.socket | None = None  # the listener's, to be emptied once that is closed
        # Listeners whose connections are met first.
        self.accepting: dict[socket.socket, tuple[asyncio.Task[None], Certificates | None]] = {}
        self.entering: dict[asyncio.Task[None], None] = {}  # the oldest first
        self.watchers: tuple[Watcher[Asked], ...] = ()
        self.door: Door | None = None
        self.router: Router | None = None

    def crowded(self) -> bool:
        return len(self.connections) > self.most_open

    def add(self, connection: ClientConnection) -> None:
        """Beyond the bound, the connection that asked nothing the longest makes room: a caller may find one
        closed between requests. Where all are busy, crowded() has the newest request refused."""
        self.connections.add(connection)
        if self.crowded():
            oldest = min(self.connections, key=lambda c: c.changed_at if c.idle else float("inf"))
            if oldest.idle and oldest.changed_at < time.monotonic() - SPARE_AGE:
                oldest.close()
                self.connections.discard(oldest)

    async def listen(self, host: str, port: int) -> None:
        if self.door is not None:
            self._accept(host, port, None)
        else:
            sock = listener.listen(host, port)
            self.queue = sock.dup()
            self.listener = await self.loop.create_server(
                lambda: ClientConnection(self), sock=sock, backlog=listener.BACKLOG
            )
        self.loop.call_later(SWEEP, self._sweep)

    def listen_tls(self, host: str, port: int, certificates: Certificates) -> None:
        self._accept(host, port, certificates)

    def _accept(self, host: str, port: int, certificates: Certificates | None) -> None:
        door = listener.listen(host, port)
        self.accepting[door] = self.loop.create_task(self._accepting(door, certificates)), certificates

    async def _accepting(self, door: socket.socket, certificates: Certificates | None) -> None:
        while True:
            try:
                sock, _ = await self.loop.sock_accept(door)
            except OSError as fault:
                log.warning("a connection could not be accepted: %s", fault)
                await asyncio.sleep(ACCEPT_PAUSE)
                continue
            self._met(sock, certificates)

    def _met(self, sock: socket.socket, certificates: Certificates | None) -> None:
        if len(self.entering) >= max(1, int(self.most_open * ENTERING_SHARE)):
            next(iter(self.entering)).cancel()  # it has said nothing for the longest
        task = self.loop.create_task(self._enter(sock, certificates))
        self.entering[task] = None
        task.add_done_callback(self.entering.pop)

    async def _enter(self, sock: socket.socket, certificates: Certificates | None) -> None:
        """All that comes before HTTP, within the time of a first request."""
        begun_at = time.monotonic()
        handed_on = False
        told = "unknown"
        try:
            peer: Peer | None = None
            if self.door is not None or certificates is not None:
                peer = Peer(told_address(sock.getpeername()))
                told = peer.client
            if self.door is not None:
                async with asyncio.timeout(FIRST_WHOLE):
                    peer = await self.door.meet(sock)
            left = begun_at + FIRST_WHOLE - time.monotonic()
            more: dict[str, Any] = {}
            if certificates is not None:
                more = {"ssl": certificates.context, "ssl_handshake_timeout": left,
                        "ssl_shutdown_timeout": GOODBYE}  # fmt: skip
            handed_on = True
            await self.loop.connect_accepted_socket(
                lambda: ClientConnection(self, peer, begun_at), sock, **more
            )
        except TurnedAway as fault:
            if str(fault):
                log.warning("connection closed: client=%s reason=%s", told, fault)
        except OSError as fault:
            if handed_on and certificates is not None:
                who = peer.told() if peer is not None else told
                log.warning("tls: handshake refused: %s reason=%s", who, reason(fault))
            elif isinstance(fault, TimeoutError):
                log.warning("connection closed: client=%s reason=nothing came in time", told)
        except Exception:
            log.exception("a connection could not be taken")
        finally:
            if not handed_on:
                sock.close()

    def stop_listening(self) -> None:
        """What the kernel has let in already is served: closing a listener resets what is in its queue."""
        if self.listener is not None and self.queue is not None:
            self.listener.close()
            for sock in listener.waiting(self.queue):
                sock.setblocking(False)
                task = self.loop.create_task(self._enter(sock, None))
                self.entering[task] = None
                task.add_done_callback(self.entering.pop)
            self.queue.close()
        for door, (accepting, certificates) in self.accepting.items():
            accepting.cancel()
            for sock in listener.waiting(door):
                sock.setblocking(False)
                self._met(sock, certificates)
            door.close()

    def close_idle(self, unused_since: float = float("inf"), partial: bool = False) -> None:
        for connection in list(self.connections):
            unused = connection.idle or (partial and not connection.answering)
            if unused and not connection.closing and connection.changed_at <= unused_since:
                connection.close()

    def abort(self, unused_since: float = float("inf")) -> None:
        """Ends what a close does not: peers that never take their last answer."""
        for connection in list(self.connections):
            if connection.closing and connection.transport and connection.changed_at <= unused_since:
                connection.transport.abort()

    def _sweep(self) -> None:
        now = time.monotonic()
        for connection in list(self.connections):
            begun_at = connection.begun_at
            if begun_at is not None and begun_at < now - FIRST_WHOLE and not connection.answering:
                connection.close()
        self.close_idle(now - IDLE)
        self.abort(now - IDLE)
        self.loop.call_later(SWEEP, self._sweep)
