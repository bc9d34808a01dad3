"""One attempt or probe: a request to one backend, from the decision to send until its end."""

from __future__ import annotations

import logging
import math
import time
from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING

from gladegw.balancing.events import Status
from gladegw.limits.buffer_budget import MAX_BUFFERED_BYTES
from gladegw.net.upload import RequestBody, UploadProgress

if TYPE_CHECKING:
    from gladegw.net.upstream.connections import UpstreamConnection
    from gladegw.net.upstream.pool import Upstream

log = logging.getLogger(__name__)

TIMER_LAG_S = 0.01  # a timer delayed by more lets the event loop read its sockets before it acts
ONE_LOOP_TURN_S = 0.001  # delay of a timer that runs only after the loop has read its sockets
UPLOAD_CHECK_INTERVAL_S = 0.1  # between checks whether the backend takes the body of a request
STREAM_STALL_S = 20.0  # a streamed response of which the backend sends nothing for this long is aborted


def _empty_request() -> Sequence[bytes]:
    """Replaces `request` once the exchange has ended."""
    return ()


def _never_start() -> bool:
    """Replaces `may_start` once the exchange has ended."""
    return False


def _stream_at_once() -> bool:
    """The default of `prefers_complete`, which also replaces it once the exchange has ended."""
    return False


def _ignore_end(exchange: Exchange) -> None:
    """Replaces `on_end` once the exchange has ended, so that it cannot be called twice."""


class Exchange:
    """One request to one backend, from the decision to send until its single end.

    `may_start` is called right before the first byte is sent, also after a slow connect, since the request
    may have ended or the backend begun to drain. `request` is called only then and returns the parts to send,
    which may contain the remaining time. `on_sent` is called when the last byte of the request is sent,
    `on_streaming` when a response is to be streamed (it sets `sink`, or returns False if the response is not
    wanted any more), `prefers_complete` to ask whether one that may still be buffered should not be streamed
    before it is complete, and `on_end` exactly once, with `status` set.
    """

    __slots__ = (
        "body",
        "code",
        "connection",
        "due_at",
        "elapsed",
        "forwarded_bytes",
        "headers",
        "length",
        "loop",
        "may_start",
        "on_end",
        "on_sent",
        "on_streaming",
        "paused",
        "prefers_complete",
        "progressed_at",
        "request",
        "request_complete",
        "sent",
        "sink",
        "started_at",
        "status",
        "timeout",
        "timer",
        "upload",
        "upload_progress",
        "upstream",
    )

    def __init__(
        self,
        upstream: Upstream,
        request: Callable[[], Sequence[bytes]],
        timeout: float,
        may_start: Callable[[], bool],
        on_end: Callable[[Exchange], None],
        on_sent: Callable[[], None] | None = None,
        on_streaming: Callable[[Exchange, int | None], bool] | None = None,
        prefers_complete: Callable[[], bool] = _stream_at_once,
    ) -> None:
        self.upstream, self.request, self.timeout = upstream, request, timeout
        self.may_start, self.on_end, self.on_sent, self.on_streaming = (
            may_start,
            on_end,
            on_sent,
            on_streaming,
        )
        self.prefers_complete = prefers_complete
        self.loop = upstream.owner.loop
        self.started_at = time.monotonic()
        self.status: Status | None = None
        self.elapsed = 0.0  # s from the request's last byte to the start of a streamed response, or the end
        self.sent = False  # at least a part of the request was written
        self.request_complete = False  # the whole request was written
        self.upload: RequestBody | None = None  # sent after `request`, as the client delivers it
        self.upload_progress: UploadProgress | None = None  # if given, ends a stalled upload
        self.sink: Callable[[bytes], None] | None = None  # receives a streamed response
        self.progressed_at = 0.0  # when a streamed message last made progress
        self.length: int | None = None  # of the response body, if known
        self.forwarded_bytes = 0  # body bytes passed to the sink
        self.paused = False  # reading is paused since the client does not read
        self.connection: UpstreamConnection | None = None
        self.code = 0
        self.headers: list[tuple[bytes, bytes]] = []
        self.body = b""
        self.due_at = self.started_at + timeout
        self.timer = self.loop.call_later(timeout, self._on_timeout)

    @property
    def uploading(self) -> bool:
        """Whether a part of the streamed request body is still to be sent."""
        return self.upload is not None and not self.request_complete

    def end(self, status: Status) -> None:
        """End with `status`; without effect if already ended.

        Unless the response is complete the connection is abandoned, so that a late response reaches nobody.
        """
        if self.status is not None:
            return
        if status in (Status.RESET, Status.TIMEOUT) and self.uploading:
            status = Status.CONNECT_FAILED  # no backend runs a request that it has not received completely
        self.status = status
        if self.sink is None:
            self.elapsed = time.monotonic() - self.started_at
        self.timer.cancel()
        if self.upload is not None:
            self.upload.reader = self.upload.on_release = None  # they refer to the exchange and its request
        connection, self.connection = self.connection, None
        if connection is not None:
            connection.abandon()
        try:
            self.on_end(self)
        except Exception:  # must not interrupt the connection's own processing
            log.exception("the callback for the end of an exchange failed")
        self._release_callbacks()

    def _release_callbacks(self) -> None:
        """Drop the callbacks of an ended exchange.

        They refer to the exchange: only the garbage collector, which stops the process, would free the cycle.
        """
        self.request, self.may_start, self.on_end = _empty_request, _never_start, _ignore_end
        self.on_streaming = self.on_sent = None
        self.prefers_complete = _stream_at_once

    def cancel(self) -> None:
        """End the exchange because its response is not needed any more."""
        self.end(Status.CANCELLED if self.sent else Status.NOT_SENT)

    def _on_timeout(self) -> None:
        """End the exchange at its timeout, or check a stream for progress."""
        now = time.monotonic()
        if self.sent and self.sink is not None:
            self._check_stream(now)
            return
        if now > self.due_at + TIMER_LAG_S:
            # The process was stalled and timers run before sockets: the response may already have arrived.
            self.due_at = math.inf
            self.timer = self.loop.call_later(ONE_LOOP_TURN_S, self._on_timeout)
            return
        if self.sent and self.upstream.last_received_at < self.started_at:
            # The backend has sent nothing on any connection since this exchange began. A machine that has
            # disappeared leaves its connections open; once it is back, each of them would make one more call
            # or probe time out.
            self.upstream.close_idle(self.started_at)
        self.end(Status.TIMEOUT if self.sent else Status.NOT_SENT)

    def _check_stream(self, now: float) -> None:
        """End a response that its backend has stalled.

        It has no time limit here while it makes progress, or while it waits for its client: the downstream
        side ends it if the client stops reading.
        """
        if self.paused or now < self.progressed_at + STREAM_STALL_S:
            self.timer = self.loop.call_later(STREAM_STALL_S / 4, self._on_timeout)
        else:
            self.end(Status.TIMEOUT)

    def _check_upload(self) -> None:
        """End an upload whose backend takes nothing, so that the client gets its final answer in time."""
        if self.status is not None or not self.uploading:
            return
        upload, connection, progress = self.upload, self.connection, self.upload_progress
        if upload is None or connection is None or progress is None:
            return
        has_stalled = progress.has_stalled_upload(
            time.monotonic(), upload.waiting, connection.undelivered_bytes
        )
        if has_stalled and not (self.sink is not None and self.large):  # cut off by its own progress only
            self.end(Status.TIMEOUT)
        else:
            self.loop.call_later(UPLOAD_CHECK_INTERVAL_S, self._check_upload)

    def start_on(self, connection: UpstreamConnection) -> None:
        """Write the request, unless the exchange has ended or must not start any more."""
        if self.status is not None or not self.may_start():
            connection.upstream.return_idle(connection)
            self.end(Status.NOT_SENT)
            return
        self.connection = connection
        self.sent = True
        connection.begin(self)
        if self.uploading:  # its time starts with its last byte
            self.timer.cancel()
            self._check_upload()

    def on_request_sent(self) -> None:
        """Note that the last byte of the request was written."""
        if self.upload is not None:  # the timeout of a streamed upload starts at its end
            self.upload.reader = None
            self.started_at = time.monotonic()
            self.due_at = self.started_at + self.timeout
            self.timer.cancel()
            self.timer = self.loop.call_later(self.timeout, self._on_timeout)
        self.request_complete = True
        if self.on_sent is not None:
            self.on_sent()

    def begin_response(self, code: int, headers: list[tuple[bytes, bytes]], length: int | None) -> bool:
        """Start to stream the response if it can be streamed; returns whether it is."""
        if code != 200 or self.on_streaming is None or self.status is not None:
            return False
        self.code, self.headers, self.length = code, headers, length
        self.elapsed = time.monotonic() - self.started_at
        self.timer.cancel()
        self.progressed_at = time.monotonic()
        self.timer = self.loop.call_later(STREAM_STALL_S, self._on_timeout)
        return self.on_streaming(self, length)

    @property
    def large(self) -> bool:
        """Whether the response is larger than the largest buffered one."""
        return max(self.length or 0, self.forwarded_bytes) > MAX_BUFFERED_BYTES

    def forward(self, chunk: bytes) -> None:
        """Pass on the next bytes of a streamed response."""
        if self.sink is not None:
            self.forwarded_bytes += len(chunk)
            self.sink(chunk)

    def pause(self) -> None:
        """Stop reading the response, since the client does not read."""
        self.paused = True
        if self.connection is not None:
            self.connection.set_read_paused(True)

    def resume(self) -> None:
        """Continue to read the response."""
        self.paused = False
        self.progressed_at = time.monotonic()
        if self.connection is not None:
            self.connection.set_read_paused(False)

    def on_response(self, code: int, headers: list[tuple[bytes, bytes]], body: bytes) -> None:
        """End with a complete response."""
        self.connection = None
        self.code, self.headers, self.body = code, headers, body
        if code == 200:
            self.end(Status.OK)
        elif code in (503, 504) and any(name == b"x-rejected" and value == b"1" for name, value in headers):
            self.end(Status.REJECTED)
        else:
            self.end(Status.ERROR)
