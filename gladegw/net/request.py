"""Validation of a request's head by the platform's rules, and the resulting request."""

from __future__ import annotations

import re
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Protocol

from gladegw.balancing.events import Effect
from gladegw.net.hop_by_hop import HOP_BY_HOP
from gladegw.net.upload import RequestBody

if TYPE_CHECKING:
    from gladegw.routing.model import RequestView, Route

BUDGET_PATTERN = re.compile(rb"(\d{1,15}(?:\.\d{1,9})?)([mu])")
SCHEME_AND_HOST = re.compile(rb"^https?://[^/?#]*(?=/|$)", re.IGNORECASE)
FORWARDED_UNCHANGED = frozenset({b"host", b"x-call-id", b"x-caller", b"x-budget", b"idempotency-key"})
NOT_FORWARDED = HOP_BY_HOP | {b"x-budget", b"expect", b"x-load-report"}

MAX_TEXT_CHARS = 200  # characters of a header value in a capture record
Headers = list[tuple[bytes, bytes]]


@dataclass(frozen=True, slots=True)
class RoutedRequest:
    """The result of routing a request."""

    cls: str  # request class; empty: named by the first segment of the path
    target: bytes
    headers: Headers
    timeout: float  # s; 0: the client's budget
    attempts: int  # maximum number; 0: as in the settings
    route: Route
    pool: str  # the preferred pool, before any fallback
    ask: RequestView
    generation: int  # of the route table
    recorded_headers: tuple[str, ...]  # names of the headers that routes match, for capture records
    table: Any = None  # the pools for this request, also after a newer route table is in use
    epoch: int | None = None  # policy epoch; None: no policies in use

    def capture_fields(self, pool: str) -> dict[str, Any]:
        """Fields of a capture record from which the routing decision can be replayed."""
        ask = self.ask
        epoch = {} if self.epoch is None else {"epoch": self.epoch}
        return epoch | {
            "generation": self.generation,
            "name": str(self.route),
            "pool": pool,
            "first": self.pool,
            "method": ask.method,
            "target": ask.path + (f"?{ask.query_text}" if ask.query_text else ""),
            "host": ask.host,
            "source": ask.source,
            "budget_ms": ask.budget_ms,
            "headers": {
                name: ask.headers.get(name, "")[:MAX_TEXT_CHARS]
                for name in self.recorded_headers
                if name in ask.headers
            },
        }


class Router(Protocol):
    """Selects the route of a request.

    Raises BadRequestError for a response that a route gives itself, and if no route matches.
    """

    def __call__(
        self, method: bytes, target: bytes, headers: Headers, budget: float, source: Callable[[], str]
    ) -> RoutedRequest:
        """Route a request; `budget` is in seconds, `source` returns the client's address."""


@dataclass(slots=True)
class Request:
    """A request that was received and is valid."""

    id: bytes
    cls: str
    budget: float  # s, counted from when the client sent the request
    tenant: str
    subject: str
    work: float  # s, announced by X-Call-Cost
    resent: bool  # the client marks it as a retry
    head: bytes  # for a backend, without the headers that depend on the attempt or the body
    received_at: float  # monotonic: when it was complete, or its head if the body is streamed
    bodyless: bool  # a GET, which has no body
    body: bytes = b""
    length: int | None = 0  # bytes of a streamed body; None: unknown until its end
    upload: RequestBody | None = None  # its streamed body
    routed: RoutedRequest | None = None  # None: no routes in use

    def framing(self) -> bytes:
        """The header line that delimits the body towards a backend."""
        if self.bodyless:
            return b""
        length = len(self.body) if self.upload is None else self.upload.length
        return b"transfer-encoding: chunked\r\n" if length is None else b"content-length: %d\r\n" % length


class BadRequestError(Exception):
    """A response that the proxy gives itself: the request is invalid, or a route answers it."""

    def __init__(self, code: int, text: str, headers: tuple[tuple[bytes, bytes], ...] = ()) -> None:
        super().__init__(text)
        self.code, self.headers = code, headers


def _single_value(headers: list[tuple[bytes, bytes]], name: bytes) -> bytes:
    values = [value for key, value in headers if key == name]
    if len(values) > 1:
        raise BadRequestError(400, f"more than one {name.decode()}")
    return values[0] if values else b""


def named_by_connection(headers: Headers) -> set[bytes]:
    """Header fields that `Connection` declares as hop-by-hop (RFC 9110, section 7.6.1).

    Fields that the platform's rules rely on are exempt.
    """
    named: set[bytes] = set()
    for name, value in headers:
        if name == b"connection" and value.lower() not in (b"close", b"keep-alive"):
            named.update(part.strip().lower() for part in value.split(b","))
    return named - FORWARDED_UNCHANGED


def origin_form(target: bytes) -> bytes:
    """The request target without scheme and host (RFC 9112, section 3.2.2)."""
    return (SCHEME_AND_HOST.sub(b"", target, count=1) or b"/") if target[:1] != b"/" else target


def class_of(target: bytes) -> str:
    """The request class that a target names: the first segment of its path."""
    return target[1:].split(b"?", 1)[0].split(b"/", 1)[0].decode("latin-1")


def read_head(
    method: bytes,
    target: bytes,
    headers: list[tuple[bytes, bytes]],
    received_at: float,
    effects: Mapping[str, Effect],
    router: Router | None = None,
    source: Callable[[], str] = str,
) -> Request:
    """Validate a request's head and return the request without its body.

    `received_at` is in seconds of the monotonic clock. Raises BadRequestError for an invalid request and for
    a response that a route gives itself.
    """
    target = origin_form(target)
    if not target.startswith(b"/"):
        raise BadRequestError(400, "the target is not a path")
    budget = BUDGET_PATTERN.fullmatch(_single_value(headers, b"x-budget"))
    budget_s = float(budget[1]) / (1e3 if budget[2] == b"m" else 1e6) if budget is not None else 0.0
    cls = class_of(target)
    routed: RoutedRequest | None = None
    if router is not None:
        routed = router(method, target, headers, budget_s, source)
        cls, target, headers = routed.cls or cls, routed.target, routed.headers
    effect = effects.get(cls)
    if effect is None:
        raise BadRequestError(404, "no such class")
    id, key = _single_value(headers, b"x-call-id"), _single_value(headers, b"idempotency-key")
    if not id:
        raise BadRequestError(400, "X-Call-Id is missing")
    if budget is None:
        raise BadRequestError(400, "X-Budget is missing or malformed")
    if method != (b"GET" if effect is Effect.IDEMPOTENT else b"POST"):
        raise BadRequestError(400, "wrong method for the class")
    if (effect is Effect.IDEMPOTENCY_KEY) != bool(key):
        raise BadRequestError(400, "Idempotency-Key goes with a keyed class, and only with one")
    try:
        work = max(0.0, float(_single_value(headers, b"x-call-cost") or 0)) / 1e6
    except ValueError:
        raise BadRequestError(400, "X-Call-Cost is malformed") from None
    lines = [method + b" " + target + b" HTTP/1.1"]
    removed = NOT_FORWARDED | named_by_connection(headers)
    lines += [name + b": " + value for name, value in headers if name not in removed]
    subject = ""
    for part in _single_value(headers, b"cookie").split(b";"):
        name, _, value = part.strip().partition(b"=")
        if name == b"sid":
            subject = value.decode("latin-1")
    return Request(
        id=id,
        cls=cls,
        budget=budget_s,
        tenant=_single_value(headers, b"x-caller").decode("latin-1"),
        subject=subject,
        work=work if work - work == 0.0 else 0.0,
        resent=_single_value(headers, b"x-again") == b"1",
        head=b"\r\n".join(lines) + b"\r\n",
        received_at=received_at,
        bodyless=method == b"GET",
        routed=routed,
    )
