"""Downstream connection: parses HTTP/1.1 requests and writes exactly one response to each."""

from __future__ import annotations

import asyncio
import logging
import math
import time
from collections import deque
from typing import TYPE_CHECKING, Any, cast

import httptools

from gladegw.limits.buffer_budget import HEADER_OVERHEAD_BYTES, MAX_BUFFERED_BYTES
from gladegw.limits.connection_eviction import RECENT_BYTES_S, ConnectionStage
from gladegw.limits.memory_account import Holding, Shortage
from gladegw.limits.request_timeouts import MIN_BODY_BYTES_PER_S, RequestDeadline
from gladegw.limits.unfinished_element import ElementTooLongError, UnfinishedElement
from gladegw.net.downstream.delivery import ResponseDelivery
from gladegw.net.downstream.header_buffer import HeaderBuffer
from gladegw.net.downstream.pending_response import PendingResponse, response_head
from gladegw.net.interfaces import ClientIdentity, FlowControl, RequestInfo
from gladegw.net.request import BadRequestError, Request, class_of, origin_form, read_head
from gladegw.net.sockets import (
    has_unread,
    peer_has_closed,
    read_when_received,
    reset_on_close,
    time_since_data,
    unread_bytes,
)
from gladegw.net.upload import RequestBody

if TYPE_CHECKING:
    from gladegw.net.downstream.server import DownstreamServer

log = logging.getLogger(__name__)

MAX_BODY_BYTES = 32 * 1024 * 1024  # bytes of a request's body
MAX_HEAD_BYTES = 32 * 1024  # bytes of a request's target and headers, and the overhead of these
LINGER_S = 1.0  # time that the peer has to close after its last response
MAX_UNREAD_S = 10.0  # limit of the time credited for bytes that waited unread; more is implausible
LINGER_CHECK_INTERVAL_S = 0.01  # between checks whether the peer has closed
OVERLOADED_CHECK_INTERVAL_S = 0.001  # the same while the server is overloaded
FIRST_READ_BYTES = 1024  # read at the begin of a request: most of what is sent ahead stays unread
HEAD_END = b"\r\n\r\n"
MAX_INFO_CHARS = 200  # of each text that observers get of a request
NO_HEADERS: tuple[tuple[bytes, bytes], ...] = ()


class ClientConnection(asyncio.BufferedProtocol):
    """One downstream connection, whose requests are answered one after another."""

    def __init__(self, server: DownstreamServer, peer: ClientIdentity | None, accepted_at: float) -> None:
        self.server, self.peer = server, peer
        self.transport: asyncio.Transport | None = None
        self.parser: Any = httptools.HttpRequestParser(self)
        self.target = b""
        self.header_buffer = HeaderBuffer()
        self.body = bytearray()
        self.head_size = self.body_size = 0
        self.max_head_bytes = MAX_HEAD_BYTES  # as far as memory allows it now
        self.unfinished_element = UnfinishedElement()
        self.receiving = False  # a request is being received
        # The request whose head was received completely, but not its end.
        self.incoming: PendingResponse | None = None
        self.request_started_at = accepted_at  # start of the request's deadline
        self.received = 0  # bytes received of the request
        self.request_deadline = RequestDeadline(accepted_at)  # for receiving the next or current request
        self.had_request = False  # at least one request was received completely
        self.queued: deque[PendingResponse] = deque()  # not started yet, in order of arrival
        # Received behind a complete request and parsed once that is answered: requests sent ahead take much
        # more memory once they are parsed.
        self.unparsed = b""
        self.unparsed_received_at = 0.0
        self.parses_again = False  # what is being parsed had to wait for that
        self.current: PendingResponse | None = None  # the open request, whose response is pending
        self.call: object | None = None  # the handler's identification of the open request
        self.body_source: FlowControl | None = None  # of the streamed response
        self.chunked = False  # the length of the streamed response is unknown
        self.until_close = False  # the same, and the client does not know chunks
        self.closing = False
        self.rejected = False  # a request was shed for lack of capacity
        self.discarding = False  # the rest of a request that was answered early is discarded
        self.changed_at = accepted_at  # when bytes were last received or sent
        self.write_buffer_full = False  # the peer does not read fast enough
        self.reading_paused = False
        self.offered_bytes = 0  # size of the buffer for the latest read
        self.body_has_arrived = False  # all of it, or enough to forward, while it was left with the kernel
        self.awaited_bytes = 0  # of a body that are read only once all of them have arrived; 0: any byte is
        self.delivery = ResponseDelivery(accepted_at)
        self.share = server.memory.open_share()

    # transport callbacks
    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection (called by the event loop)."""
        self.transport = cast(asyncio.Transport, transport)  # uvloop has a transport class of its own
        self.transport.set_write_buffer_limits(high=len(self.server.scratch))
        self.delivery.transport = self.transport
        if self.peer is not None and transport.get_extra_info("ssl_object") is not None:
            from gladegw.net.tls import subject

            self.peer.subject = subject(transport.get_extra_info("peercert"))
        self.server.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Unregister the connection and cancel its open request (called by the event loop)."""
        self.transport = self.delivery.transport = None
        self.closing = True
        self._discard_queued()
        self.server.on_closed(self)
        pending, self.current = self.current, None
        if pending is not None:
            self._on_request_end(pending, None)
        call, self.call = self.call, None
        if call is not None:
            self.server.handler.on_disconnect(call)
        # Ends the reference cycles, so that nothing waits for the garbage collector.
        self.parser = self.incoming = None
        self.header_buffer.clear()
        self.body = bytearray()
        self.share.release()

    def update_share(self) -> None:
        """Account for the bytes that are held for this connection now, and for a request that is pending."""
        if self.transport is None:
            return
        waits_for_client = self.write_buffer_full or self.is_uploading
        if self.is_pending and not waits_for_client:
            self.server.pending.add(self)
        else:
            self.server.pending.discard(self)
        size = len(self.target) + len(self.header_buffer) + self.unfinished_element.size
        size += len(self.body) + len(self.unparsed)
        if self.incoming is not None and self.incoming.upload is None:
            size += self.incoming.held_bytes
        self.share.set(Holding.INCOMPLETE_REQUESTS, size)
        pending = self.current.held_bytes if self.current is not None else 0
        for waiting in self.queued:
            pending += waiting.held_bytes
        self.share.set(Holding.REQUESTS, pending)
        self.share.set(Holding.UNSENT_TO_CLIENTS, self.transport.get_write_buffer_size())

    def pause_writing(self) -> None:
        """The write buffer is full: pause the response's source and reading."""
        self.write_buffer_full = True
        self.server.pending.discard(self)
        if self.body_source is not None:
            self.body_source.pause()
        self._update_reading()

    def resume_writing(self) -> None:
        """The write buffer has drained: resume the response's source and reading."""
        self.write_buffer_full = False
        self.changed_at = time.monotonic()
        if self.body_source is not None:
            self.body_source.resume()
        elif self.has_queued():
            self.server.answer_next_of(self)
        self._update_reading()

    def _update_reading(self) -> None:
        """Pause or resume reading.

        Reading is paused if the peer does not read its responses, has sent requests ahead of them, or sends a
        body faster than the backend takes it. It is also paused while a response is streamed: if that breaks
        off, the connection ends, and a client may repeat only a request that was not read.
        """
        if self.transport is None or self.transport.is_closing() or (self.closing and not self.discarding):
            return
        upload = self.incoming.upload if self.incoming is not None else None
        is_stalled = upload is not None and upload.waiting
        # Every request that is read gets a response. A draining proxy therefore reads no further requests;
        # otherwise the drain would not end while a client keeps sending.
        is_ahead = self.has_queued() or (
            self.server.draining and self.current is not None and not self.receiving
        )
        is_streaming = self.body_source is not None and self.current is not self.incoming
        pause = not self.discarding and (self.write_buffer_full or is_ahead or is_stalled or is_streaming)
        if pause == self.reading_paused:
            return
        self.reading_paused = pause
        if pause:
            self.transport.pause_reading()
            if self.receiving:
                self.request_deadline.suspend()
        else:
            self.transport.resume_reading()
            if self.receiving:
                self.request_deadline.resume(time.monotonic())

    def get_buffer(self, sizehint: int) -> memoryview:
        """The buffer that all connections share, parsed before another connection reads."""
        upload = self.incoming.upload if self.incoming is not None else None
        buffer = self.server.scratch
        if upload is None or upload.reader is None or upload.waiting:  # it is not passed on at once
            buffer = buffer[: self.server.memory.allowance]
            if not self.receiving:
                buffer = buffer[:FIRST_READ_BYTES]
        self.offered_bytes = len(buffer)
        return buffer

    def buffer_updated(self, size: int) -> None:
        """Parse received bytes."""
        if self.closing and not self.discarding:
            return
        self.changed_at = time.monotonic()
        self.received += size
        if self.awaited_bytes:
            self.body_has_arrived = True
            self._await_body(0)
        self._parse(bytes(self.server.scratch[:size]))
        if self.receiving and self.incoming is None and self.server.is_overloaded:
            # For the eviction policy, silence starts when the client's bytes arrive, not when they are read.
            self.changed_at -= self._waited_unread()
        self.answer_next()
        self._leave_body_unread()
        self.update_share()
        if size >= self.offered_bytes and not self.awaited_bytes and not self.server.may_read_on():
            self._rest()

    def _rest(self) -> None:
        """Read nothing more in this turn of the event loop, which would go on while bytes come."""
        if self.transport is not None and not self.reading_paused and not self.transport.is_closing():
            self.transport.pause_reading()
            self.server.rest(self)

    def read_on(self) -> None:
        """Read again after a rest."""
        if self.transport is not None and not self.reading_paused and not self.transport.is_closing():
            self.transport.resume_reading()

    def _leave_body_unread(self) -> None:
        """If memory is short, leave a body with the kernel until all of it or enough to forward is there."""
        pending = self.incoming
        if (
            pending is None
            or pending.upload is not None
            or self.server.memory.allowance >= MAX_BUFFERED_BYTES
        ):
            return
        if isinstance(pending.request, Request) and pending.request.length:
            self._await_body(min(pending.request.length, MAX_BUFFERED_BYTES) - self.body_size)
            self._rest()

    def _await_body(self, size: int) -> None:
        """Read on once `size` bytes have arrived; 0: at any byte."""
        if self.transport is None or self.transport.is_closing():
            return
        self.awaited_bytes = max(0, size)
        read_when_received(self.transport.get_extra_info("socket"), max(1, size))
        if size > 0:
            self.request_deadline.on_body_awaited(size, self.changed_at)

    def _parse(self, data: bytes) -> None:
        """Parse received bytes up to the end of a request that has to be answered first."""
        position = 0
        self.max_head_bytes = min(MAX_HEAD_BYTES, self.server.memory.allowance)
        try:
            while position < len(data) and (self.discarding or not self.closing):
                if self.queued and not self.receiving:
                    if not self.parses_again:
                        self.unparsed_received_at = self._received_at()
                    self.unparsed = data[position:]
                    break
                end = self._end_of_piece(data, position)
                self.parser.feed_data(data[position:end])
                self.unfinished_element.on_parsed(end - position)
                if self.unfinished_element.size > self.server.memory.allowance:
                    raise self._refusal()
                position = end
            if self.incoming is not None and self.incoming.upload is not None:
                self.incoming.upload.flush()
        except Exception as fault:  # from the parser, or from a callback through it
            self._on_malformed(fault)

    def _end_of_piece(self, data: bytes, position: int) -> int:
        """Where a request that begins at or before `position` may end, so that little behind it is parsed."""
        incoming = self.incoming
        if len(data) == 1:
            return 1
        if incoming is not None and isinstance(incoming.request, Request) and incoming.request.length:
            end = position + incoming.request.length - self.body_size
        else:
            head_end = data.find(HEAD_END, position)
            end = head_end + len(HEAD_END) if head_end >= 0 else len(data)
        return min(len(data), max(end, position + 1))

    def _parse_waiting(self) -> None:
        """Parse what was received behind a request that has been answered."""
        data, self.unparsed = self.unparsed, b""
        self.changed_at = time.monotonic()  # the time that the client has for the rest begins
        self.parses_again = True
        self._parse(data)
        self.parses_again = False

    def _received_at(self) -> float:
        """When the bytes that are being parsed arrived at this machine; monotonic."""
        return self.unparsed_received_at if self.parses_again else self.changed_at - self._waited_unread()

    def _refusal(self) -> BadRequestError:
        """The response to a request for which there is no memory: nothing has run, so it may be repeated."""
        self.server.memory.shortages[Shortage.REQUEST_REFUSED] += 1
        return BadRequestError(503, "out of memory", ((b"retry-after", b"1"),))

    def _on_malformed(self, fault: Exception) -> None:
        """Respond to input that cannot be parsed any further."""
        incoming, self.incoming = self.incoming, None
        if incoming is not None and incoming.upload is not None:
            # The request is queued or open already: a second response would be taken for another request's.
            self.abort_connection()
            return
        pending = PendingResponse(self._rejection(fault))
        try:
            fields = self._take_headers()
        except BadRequestError:
            fields = []
        pending.info = self._request_info(fields)
        self.body = bytearray()
        self.queued.append(pending)
        self.closing = True  # closing with unread bytes could destroy the response, so the rest is discarded

    @staticmethod
    def _rejection(fault: Exception) -> BadRequestError:
        """The response to a fault of the parser, or of a callback through it."""
        cause = fault if isinstance(fault, BadRequestError) else fault.__context__
        if isinstance(cause, BadRequestError):
            return cause.with_traceback(None)  # whose frames refer to this connection
        if isinstance(fault, ElementTooLongError):
            return BadRequestError(413, "request too large")
        return BadRequestError(400, "malformed HTTP")

    # parser callbacks
    def on_message_begin(self) -> None:
        """Reset the state for a new request (called by the parser)."""
        self.receiving = True
        if self.had_request:
            self.request_started_at, self.received = self.changed_at, 0
        self.request_deadline.on_head_start(self.changed_at)
        self.target = b""
        self.header_buffer.clear()
        self.body = bytearray()
        self.body_has_arrived = False
        self.head_size = self.body_size = 0

    def on_url(self, part: bytes) -> None:
        """Append a part of the target (called by the parser)."""
        self.target += part
        self._count_head(len(part))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Append a header field (called by the parser)."""
        self.unfinished_element.on_completed()
        self._count_head(len(name) + len(value) + HEADER_OVERHEAD_BYTES)
        if self.incoming is None:  # ignore trailer fields
            self.header_buffer.append(
                name.lower(), value.strip(b" \t")
            )  # the parser keeps trailing whitespace

    def _count_head(self, size: int) -> None:
        """Check the size of the head; raises BadRequestError."""
        self.head_size += size
        if self.head_size > self.max_head_bytes:
            if self.head_size > MAX_HEAD_BYTES:
                raise BadRequestError(400, "headers too large")
            if self.incoming is None:
                raise self._refusal()

    def on_headers_complete(self) -> None:
        """Validate the head and prepare for the body (called by the parser).

        Raises BadRequestError.
        """
        self.unfinished_element.on_completed()
        parser, now = self.parser, time.monotonic()
        headers = self._take_headers()
        method = parser.get_method()
        pending = PendingResponse(None)
        pending.head_bytes = self.head_size
        pending.keep_alive = parser.should_keep_alive()
        pending.bodyless = method == b"HEAD"
        pending.http_1_0 = parser.get_http_version() == "1.0"
        size = next((value for name, value in headers if name == b"content-length"), b"0")
        length = int(size) if size.isdigit() else 0
        if length > MAX_BODY_BYTES:
            raise BadRequestError(413, "body too large")
        if parser.should_upgrade():
            pending.request = BadRequestError(400, "no upgrades")
            pending.keep_alive = False
        elif origin_form(self.target).split(b"?", 1)[0] != b"/healthz" or method not in (b"GET", b"HEAD"):
            try:
                pending.request = read_head(
                    method,
                    self.target,
                    headers,
                    now,
                    self.server.effects,
                    self.server.router,
                    self._client_address,
                )
                if pending.request.bodyless and length:
                    raise BadRequestError(400, "a GET has no body")
            except BadRequestError as bad:
                if length > MAX_BUFFERED_BYTES:
                    raise  # the body is too large to receive only to reject it
                pending.request = bad.with_traceback(None)  # whose frames refer to this connection
            else:
                chunked = any(name == b"transfer-encoding" for name, _ in headers)
                pending.request.length = None if chunked else length
        if pending.request is not None:
            pending.info = self._request_info(headers)
        self.incoming = pending
        self.request_deadline.on_body_start(now)
        expects_continue = any(n == b"expect" and v.lower() == b"100-continue" for n, v in headers)
        if (
            expects_continue
            and not pending.http_1_0
            and self.transport is not None
            and not (self.current or self.queued)
        ):
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, chunk: bytes) -> None:
        """Buffer or stream a part of the body (called by the parser).

        Raises BadRequestError.
        """
        pending = self.incoming
        assert pending is not None
        self.unfinished_element.on_completed()
        self.body_size += len(chunk)
        self.request_deadline.on_body(len(chunk), self.changed_at)
        if self.discarding:
            if self.body_size > MAX_BODY_BYTES:
                self.abort_connection()
            return
        if self.body_size > MAX_BODY_BYTES:
            raise BadRequestError(413, "body too large")
        if pending.upload is not None:
            pending.upload.feed(chunk)
        elif not isinstance(pending.request, Request):
            if self.body_size > MAX_BUFFERED_BYTES:
                raise pending.request or BadRequestError(413, "body too large")
        elif pending.request.bodyless:
            pending.request = BadRequestError(400, "a GET has no body")
        else:
            self.body += chunk
            is_left_unread = pending.request.length is not None and not self.body_has_arrived
            allowance = MAX_BUFFERED_BYTES if is_left_unread else self.server.memory.allowance
            if self.body_size > min(MAX_BUFFERED_BYTES, allowance):
                if self.body_size <= MAX_BUFFERED_BYTES:
                    self.server.memory.shortages[Shortage.BODY_FORWARDED_EARLY] += 1
                pending.upload = pending.request.upload = RequestBody(
                    pending.request.length, self.body, self._update_reading
                )
                self.body = bytearray()
                self.queued.append(pending)

    def on_message_complete(self) -> None:
        """Queue the complete request, or end its streamed body (called by the parser)."""
        pending, self.incoming = self.incoming, None
        assert pending is not None
        self.unfinished_element.on_completed()
        self.receiving = False
        self.request_deadline.on_complete()
        self.had_request = True
        if self.discarding:
            self.discarding = False
            self._close_gracefully()
            return
        request = pending.request
        if isinstance(request, Request):
            request.received_at = self._received_at()
            pending.received = True
            self.server.counters.on_received()
            if pending.upload is not None:
                if pending is self.current and self.call is not None:
                    self.server.handler.on_body_complete(self.call)
                pending.upload.end()
                return
            request.body = bytes(self.body)
        self.body = bytearray()
        self.queued.append(pending)

    def _waited_unread(self) -> float:
        """Seconds that the last received bytes spent in the kernel.

        The client's budget runs from their arrival, also while this process was stalled or the connection
        waited to be accepted.
        """
        if self.transport is None or self.transport.is_closing():
            return 0.0
        return min(time_since_data(self.transport.get_extra_info("socket")), MAX_UNREAD_S)

    def _client_address(self) -> str:
        """The client's address, for routes that match it."""
        if self.peer is not None:
            return self.peer.client.rpartition(":")[0].strip("[]")
        name = self.transport.get_extra_info("peername") if self.transport is not None else None
        return str(name[0]) if name else ""

    def _take_headers(self) -> list[tuple[bytes, bytes]]:
        """Return the header fields received so far, which are not held any longer.

        Raises BadRequestError.
        """
        try:
            return self.header_buffer.fields()
        except ValueError:
            raise BadRequestError(400, "malformed HTTP") from None
        finally:
            self.header_buffer.clear()

    def _request_info(self, fields: list[tuple[bytes, bytes]]) -> RequestInfo | None:
        """Attributes of a request with these header fields for observers; None if there are no observers."""
        if not self.server.observers:
            return None
        headers = dict(fields)
        return RequestInfo(
            id=headers.get(b"x-call-id", b"")[:MAX_INFO_CHARS].decode("latin-1"),
            cls=class_of(self.target)[:MAX_INFO_CHARS],
            tenant=headers.get(b"x-caller", b"")[:MAX_INFO_CHARS].decode("latin-1"),
            received_at=time.monotonic(),
            peer=self.peer,
        )

    def _discard_queued(self) -> None:
        """Discard the requests queued behind the open one."""
        for pending in self.queued:
            if pending.received and isinstance(pending.request, Request):
                self.server.counters.on_ended(pending.request.cls, None)
        self.queued.clear()
        self.unparsed = b""

    def _on_request_end(self, pending: PendingResponse, code: int | None) -> None:
        """Count the end of a request and notify the observers."""
        counters = self.server.counters
        if isinstance(pending.request, Request) and (pending.received or code is not None):
            if not pending.received:  # it was answered before it was received completely
                counters.on_received()
            counters.on_ended(pending.request.cls, code)
        if pending.info is not None:
            for observer in self.server.observers:
                observer.on_end(pending.info, code)

    # responses
    def answer_next(self) -> None:
        """Start the next queued request unless one is open, or the client does not take the last response.

        Only one in a turn of the event loop: the proxy may answer it by itself, and other connections have to
        get their turn.
        """
        if self.unparsed and not self.queued and self.current is None:
            self._parse_waiting()
        may_start = self.current is None and self.transport is not None and not self.write_buffer_full
        if self.queued and may_start:
            pending = self.current = self.queued.popleft()
            if pending.info is not None:
                for observer in self.server.observers:
                    observer.on_start(pending.info)
            if not self._answer_without_backend(pending):
                self._handle_request(pending)
        self._update_reading()

    def _answer_without_backend(self, pending: PendingResponse) -> bool:
        """Answer a message that no backend gets; returns whether it is one."""
        request = pending.request
        if self.peer is not None and self.peer.denied:
            pending.close_after = True
            self.answer(403, NO_HEADERS, b"this address is not admitted\n")
        elif request is None:
            ready = self.server.ready()
            self.answer(200 if ready else 503, NO_HEADERS, b"ok\n" if ready else b"not ready\n")
        elif isinstance(request, BadRequestError):
            self.answer(request.code, request.headers, f"{request}\n".encode())
        elif self.server.at_capacity:
            # No backend has received the request, so the client may safely repeat it.
            pending.close_after = self.rejected = True
            self.answer(503, ((b"retry-after", b"1"),), b"too many connections\n")
        else:
            return False
        return True

    def _handle_request(self, pending: PendingResponse) -> None:
        """Pass the open request to the handler."""
        assert isinstance(pending.request, Request)
        try:
            call = self.server.handler.on_request(pending.request, self)
        except Exception:
            log.exception("the request handler failed; responding with 500")
            self.answer(500, NO_HEADERS, b"internal error\n")
            return
        if self.current is pending:
            self.call = call

    def _open_response(self) -> PendingResponse:
        """The open request; raises RuntimeError if there is none or its response has already started."""
        if self.current is None or self.body_source is not None:
            raise RuntimeError("no open request, or its response has already started")
        return self.current

    def _has_more_pending(self) -> bool:
        """Whether another request is queued, or has arrived unread while a drain still reads requests."""
        return self.has_queued() or (time.monotonic() < self.server.reads_until and self.unread)

    def _build_head(self, pending: PendingResponse, code: int, headers: Any, length: int | None) -> bytes:
        """Build the head of a response and decide whether the connection persists."""
        if pending is self.incoming or (
            (pending.close_after or self.server.closes_after_response) and not self._has_more_pending()
        ):
            pending.keep_alive = False
        self.chunked = length is None and not pending.http_1_0
        self.until_close = length is None and pending.http_1_0
        if self.until_close:
            pending.keep_alive = False
        return response_head(pending, code, headers, length)

    def answer(self, code: int, headers: Any, body: bytes) -> None:
        """Send a complete response to the open request."""
        pending = self._open_response()
        if self.transport is not None:
            head = self._build_head(pending, code, headers, len(body))
            self.delivery.write(head if pending.bodyless else head + body)
        self._on_answered(pending, code)

    def begin(self, headers: Any, length: int | None, source: FlowControl) -> None:
        """Start a streamed response with status 200, continued by `send` until `finish` or `abort`."""
        pending = self._open_response()
        self.body_source = source
        if self.transport is not None:
            self.delivery.write(self._build_head(pending, 200, headers, length))
        if self.write_buffer_full:
            source.pause()
        self._update_reading()
        self.update_share()

    def send(self, chunk: bytes) -> None:
        """Send the next part of a streamed body."""
        if self.transport is not None and chunk:
            self.changed_at = time.monotonic()
            self.delivery.write(b"%x\r\n%b\r\n" % (len(chunk), chunk) if self.chunked else chunk)
            self.share.set(Holding.UNSENT_TO_CLIENTS, self.delivery.unsent_bytes)

    def finish(self) -> None:
        """End the streamed response."""
        pending = self.current
        if pending is not None:
            if self.chunked:
                self.delivery.write(b"0\r\n\r\n")
            self._on_answered(pending, 200)

    def hung_up(self) -> bool:
        """Whether the client has closed its connection.

        Queries the kernel, since the event loop may have paused reading or not have processed the close yet.
        """
        if self.transport is None or self.transport.is_closing():
            return True
        if not peer_has_closed(self.transport.get_extra_info("socket").fileno()):
            return False
        self.transport.abort()
        return True

    def has_queued(self) -> bool:
        """Whether further requests that were read wait behind the open one."""
        return bool(self.queued or self.unparsed)

    def abort(self) -> None:
        """Break off the streamed response.

        The client detects this, since neither the full length nor the last chunk was sent. Earlier responses
        on the connection are still delivered. A response that ends with the connection is reset instead.
        """
        pending, self.current, self.body_source, self.call = self.current, None, None, None
        if pending is not None:
            self._on_request_end(pending, 502)
        if self.until_close and self.transport is not None:
            reset_on_close(self.transport.get_extra_info("socket").fileno())
            self.abort_connection()
        else:
            self._close_gracefully()

    def _on_answered(self, pending: PendingResponse, code: int) -> None:
        """Complete the open request and continue, or close the connection."""
        self.current = self.call = self.body_source = None
        self._on_request_end(pending, code)
        transport = self.transport
        if transport is None:
            return
        self.changed_at = time.monotonic()
        if pending is self.incoming:
            # The request is incomplete: its rest is read and discarded, since closing with unread bytes could
            # destroy the response.
            self.closing = self.discarding = True
            if pending.upload is not None:
                pending.upload.drop()
            self._discard_queued()
            self._update_reading()
        elif not pending.keep_alive:
            self._close_gracefully(read_out=self.closing)  # the client may read only after it has sent all
        elif self.has_queued():
            self.server.answer_next_of(self)
        else:
            self._update_reading()
        self.update_share()

    def _close_gracefully(self, read_out: bool = False) -> None:
        """Close the connection after its last response, which the peer must be able to read.

        The peer may still be sending, and closing with unread bytes resets the connection, which can destroy
        the response. Hence only the sending side is closed first (RFC 9112, section 9.6). A request that
        arrives now is not read: without a response, the client may repeat it. With `read_out`, incoming bytes
        are read and discarded.
        """
        self.closing, self.discarding = True, False
        self._discard_queued()
        transport = self.transport
        if transport is None or transport.is_closing():
            return
        if transport.can_write_eof():  # TLS has no half-close; the response's length marks its end
            transport.write_eof()
        if read_out or not transport.can_write_eof():
            transport.resume_reading()
        else:
            transport.pause_reading()
        self._linger(time.monotonic() + LINGER_S)

    def _linger(self, until: float) -> None:
        """Close once the peer has closed, or LINGER_S after the response was delivered or its client stalled.

        If the server is overloaded and the request was shed, close once the response was acknowledged.
        """
        transport = self.transport
        if transport is None or transport.is_closing():
            return
        now = time.monotonic()
        if self.delivery.in_progress:
            until = now + LINGER_S
        closed = peer_has_closed(transport.get_extra_info("socket").fileno())
        descriptor_is_needed = self.rejected and self.server.is_overloaded
        if now >= until or closed or (descriptor_is_needed and self.delivered):
            transport.abort()
        else:
            interval = OVERLOADED_CHECK_INTERVAL_S if descriptor_is_needed else LINGER_CHECK_INTERVAL_S
            self.server.loop.call_later(interval, self._linger, until)

    @property
    def is_pending(self) -> bool:
        """Whether a request that was read has no complete response."""
        return self.current is not None or bool(self.queued or self.unparsed)

    @property
    def is_uploading(self) -> bool:
        """Whether the only request without a response is one that is still being received."""
        incoming = self.incoming
        if incoming is None or incoming.upload is None or self.body_source is not None:
            return False
        next_pending = self.current or next(iter(self.queued), None)
        return next_pending is incoming

    @property
    def awaits_body(self) -> bool:
        """Whether a body is left with the kernel, whose client goes on sending it fast enough."""
        if not self.awaited_bytes or self.transport is None or self.transport.is_closing():
            return False
        arrived = unread_bytes(self.transport.get_extra_info("socket").fileno())
        expected = MIN_BODY_BYTES_PER_S * (time.monotonic() - self.changed_at - RECENT_BYTES_S)
        return arrived >= expected and self._waited_unread() < RECENT_BYTES_S

    @property
    def stage(self) -> ConnectionStage:
        """The stage of the connection, for the eviction policy."""
        if self.is_pending:
            return ConnectionStage.UPLOADING if self.is_uploading else ConnectionStage.PENDING
        if self.delivery.in_progress:
            return ConnectionStage.DELIVERING
        if self.closing and not self.discarding:
            return ConnectionStage.CLOSING
        return ConnectionStage.RECEIVING if self.receiving or not self.had_request else ConnectionStage.IDLE

    def read_rate(self, now: float) -> float:
        """Bytes per second of responses that the client takes; infinite while it waits for one."""
        waits_for_client = self.body_source is not None or self.write_buffer_full
        if self.is_pending and not waits_for_client:
            return math.inf
        return self.delivery.read_rate(now)

    @property
    def unread(self) -> bool:
        """Whether the kernel holds unread bytes, which may contain a request."""
        if self.transport is None or self.transport.is_closing():
            return False
        return has_unread(self.transport.get_extra_info("socket").fileno())

    @property
    def delivered(self) -> bool:
        """Whether closing now loses nothing: all written bytes were acknowledged."""
        return self.delivery.close_loses_nothing

    @property
    def is_pending_unread(self) -> bool:
        """Whether a response waits for its client while reading is paused: its close would go unnoticed."""
        return self.reading_paused and (self.body_source is not None or self.write_buffer_full)

    def overdue(self, now: float) -> bool:
        """Whether the awaited request missed its deadline; False while another response is pending."""
        if self.current is not None and self.current is not self.incoming:
            return False
        return self.request_deadline.due_at < now and not self.has_queued()

    def was_read_overdue(self, since: float) -> bool:
        """Whether bytes were read since `since`, and the deadline had been missed even so."""
        return self.changed_at > since and self.overdue(self.changed_at)

    def close(self) -> None:
        """Close the connection if no response is pending.

        Bytes that arrive from now on are not read, so the client may repeat its request. After a response
        that is recent or not delivered yet the connection lingers, so that the response is not lost.
        """
        if self.transport is None or (self.closing and not self.discarding):
            return
        if self.current is not None:  # its body is incomplete, and a response could not be written any more
            self.abort_connection()
            return
        if self.delivery.in_progress or (self.had_request and time.monotonic() < self.changed_at + LINGER_S):
            self._close_gracefully()
            return
        self.closing, self.discarding = True, False
        self.transport.close()

    def abort_connection(self) -> None:
        """Close immediately and discard unwritten bytes, which frees the descriptor."""
        if self.delivery.unsent_bytes:
            self.server.log_discarded_bytes(self.delivery.unsent_bytes, self.stage)
        self.closing, self.discarding = True, False
        if self.transport is not None:
            self.transport.abort()
