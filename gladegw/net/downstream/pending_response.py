"""One request as it waits for its answer, and the head of that answer."""

from __future__ import annotations

from collections.abc import Iterable
from typing import TYPE_CHECKING

from gladegw.net.request import BadRequest, Request

if TYPE_CHECKING:
    from gladegw.net.interfaces import Asked
    from gladegw.net.upload import Upload

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


class Turn:
    """One message as it waits for its answer. `what`: None asks whether the proxy is ready."""

    __slots__ = ("asked", "bodyless", "keep_alive", "last", "old", "taken", "upload", "what")

    def __init__(self, what: Request | BadRequest | None) -> None:
        self.what = what
        self.upload: Upload | None = None  # its body is passed on while it comes
        self.keep_alive = False
        self.last = False  # the connection is to end with this answer, if none is owed behind it
        self.bodyless = False  # HEAD: its answer has no body
        self.old = False  # HTTP/1.0
        self.taken = False  # it has come whole, and is counted
        self.asked: Asked | None = None


def response_head(turn: Turn, code: int, headers: Iterable[tuple[bytes, bytes]], length: int | None) -> bytes:
    """The status line and headers of an answer. Without a length it comes in chunks, or until close."""
    parts = [b"HTTP/1.1 %d %s\r\n" % (code, REASONS.get(code, b"Status"))]
    parts += [name + b": " + value + b"\r\n" for name, value in headers]
    if length is not None:
        parts.append(b"content-length: %d\r\n" % length)
    elif not turn.old:
        parts.append(b"transfer-encoding: chunked\r\n")
    if not turn.keep_alive:
        parts.append(b"connection: close\r\n")
    elif turn.old:
        parts.append(b"connection: keep-alive\r\n")
    parts.append(b"\r\n")
    return b"".join(parts)
