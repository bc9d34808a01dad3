"""A received message whose response is pending, and the head of that response."""

from __future__ import annotations

from collections.abc import Iterable
from typing import TYPE_CHECKING

from gladegw.limits.memory_account import REQUEST_OBJECTS_BYTES
from gladegw.net.request import BadRequestError, Request

if TYPE_CHECKING:
    from gladegw.net.interfaces import RequestInfo
    from gladegw.net.upload import RequestBody

HEAD_COPIES = 2  # of a request's head: one as received, one as it is sent to a backend

REASONS = {
    200: b"OK",
    301: b"Moved Permanently",
    302: b"Found",
    303: b"See Other",
    307: b"Temporary Redirect",
    308: b"Permanent Redirect",
    400: b"Bad Request",
    403: b"Forbidden",
    404: b"Not Found",
    409: b"Conflict",
    413: b"Content Too Large",
    429: b"Too Many Requests",
    500: b"Internal Server Error",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}


class PendingResponse:
    """A message whose response is pending.

    `request` is None for a readiness check, and an error if the message is answered without a backend.
    """

    __slots__ = (
        "bodyless",
        "close_after",
        "head_bytes",
        "http_1_0",
        "info",
        "keep_alive",
        "received",
        "request",
        "upload",
    )

    def __init__(self, request: Request | BadRequestError | None) -> None:
        self.request = request
        self.upload: RequestBody | None = None  # set if the request body is streamed
        self.keep_alive = False
        self.close_after = False  # close after this response, if no further one is pending
        self.bodyless = False  # HEAD: the response has no body
        self.http_1_0 = False  # the request is HTTP/1.0
        self.head_bytes = 0  # bytes of the request's head
        self.received = False  # the request was received completely, and counted
        self.info: RequestInfo | None = None  # for observers, if there are any

    @property
    def held_bytes(self) -> int:
        """Bytes of memory that the request takes."""
        size = REQUEST_OBJECTS_BYTES + HEAD_COPIES * self.head_bytes
        if isinstance(self.request, Request):
            size += len(self.request.body)
        if self.upload is not None:
            size += len(self.upload.buffer)
        return size


def response_head(
    pending: PendingResponse, code: int, headers: Iterable[tuple[bytes, bytes]], length: int | None
) -> bytes:
    """The status line and headers of a response.

    Without a length the body is chunked, or ends with the connection for HTTP/1.0.
    """
    parts = [b"HTTP/1.1 %d %s\r\n" % (code, REASONS.get(code, b"Status"))]
    parts += [name + b": " + value + b"\r\n" for name, value in headers]
    if length is not None:
        parts.append(b"content-length: %d\r\n" % length)
    elif not pending.http_1_0:
        parts.append(b"transfer-encoding: chunked\r\n")
    if not pending.keep_alive:
        parts.append(b"connection: close\r\n")
    elif pending.http_1_0:
        parts.append(b"connection: keep-alive\r\n")
    parts.append(b"\r\n")
    return b"".join(parts)
