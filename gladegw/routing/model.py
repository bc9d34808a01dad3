"""Routes, pools and what a request shows of itself: immutable, checked once by the reader."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from ipaddress import IPv4Address, IPv4Network, IPv6Address, IPv6Network, ip_address
from typing import Any, Literal
from urllib.parse import parse_qsl

from gladegw.routing.findings import Place

Network = IPv4Network | IPv6Network
TENANT_HEADER = "x-caller"
NO_PLACE = Place("", 0)


class Ask:
    """What the matcher looks at of one request. Headers and query are read only when a route asks."""

    __slots__ = (
        "_headers",
        "_query",
        "budget_ms",
        "call_id",
        "host",
        "method",
        "path",
        "query_text",
        "raw",
        "source",
        "tenant",
    )

    def __init__(
        self,
        method: str,
        target: str,
        host: str = "",
        raw: Sequence[tuple[bytes, bytes]] = (),
        budget_ms: float = 0.0,
        tenant: str = "",
        source: str = "",
        call_id: str = "",
    ) -> None:
        self.method, self.host, self.raw = method, plain_host(host), raw
        self.path, _, self.query_text = target.partition("?")
        self.budget_ms, self.tenant, self.source, self.call_id = budget_ms, tenant, source, call_id
        self._headers: dict[str, str] | None = None
        self._query: dict[str, str] | None = None

    @property
    def headers(self) -> Mapping[str, str]:
        """By lower-case name; several lines of one name are joined (RFC 9110, 5.3)."""
        if self._headers is None:
            found: dict[str, str] = {}
            for name, value in self.raw:
                key, text = name.decode("latin-1").lower(), value.decode("latin-1")
                found[key] = f"{found[key]}, {text}" if key in found else text
            self._headers = found
        return self._headers

    @property
    def query(self) -> Mapping[str, str]:
        """By name; the first of several counts."""
        if self._query is None:
            found: dict[str, str] = {}
            for name, value in parse_qsl(self.query_text, keep_blank_values=True):
                found.setdefault(name, value)
            self._query = found
        return self._query

    @property
    def cls(self) -> str:
        return self.path[1:].partition("/")[0]

    @property
    def address(self) -> IPv4Address | IPv6Address | None:
        try:
            return ip_address(self.source)
        except ValueError:
            return None


def plain_host(host: str) -> str:
    """Lower case, without port and final dot."""
    host = host.lower()
    if host.startswith("["):
        return host.partition("]")[0].lstrip("[")
    if ":" in host:
        host = host.partition(":")[0]
    return host[:-1] if host.endswith(".") else host


@dataclass(frozen=True, slots=True)
class Text:
    """What is wanted of a header or a query parameter."""

    name: str
    kind: Literal["is", "present", "regex"]
    value: str = ""


@dataclass(frozen=True, slots=True)
class Path:
    """`exact` is the whole path; `prefix` goes by segments ('' is all paths); `regex` is the whole path."""

    kind: Literal["exact", "prefix", "regex"] = "prefix"
    value: str = ""

    def __str__(self) -> str:
        return f"{self.kind} {self.value or '/'}"


ANY_PATH = Path()


@dataclass(frozen=True, slots=True)
class Match:
    """All that is set must hold; an empty tuple asks nothing."""

    path: Path = ANY_PATH
    hosts: tuple[str, ...] = ()  # exact, or `*.` and a suffix
    methods: tuple[str, ...] = ()
    headers: tuple[Text, ...] = ()
    query: tuple[Text, ...] = ()
    classes: tuple[str, ...] = ()
    tenants: tuple[str, ...] = ()
    budget_ms: tuple[float, float] | None = None  # from, and below
    sources: tuple[Network, ...] = ()
    place: Place = field(default=NO_PLACE, compare=False)


@dataclass(frozen=True, slots=True)
class Split:
    by: str  # `tenant`, `header:NAME`, `query:NAME` or `request` (each request by itself)
    weights: tuple[tuple[str, float], ...]  # by pool


@dataclass(frozen=True, slots=True)
class Redirect:
    code: int
    location: str  # `{path}` and `{query}` stand for the request's


@dataclass(frozen=True, slots=True)
class Answer:
    code: int
    body: str = ""
    retry_after: float = 0.0  # s


@dataclass(frozen=True, slots=True)
class Mirror:
    pool: str
    share: float = 1.0  # of the route's requests


@dataclass(frozen=True, slots=True)
class HeaderEdits:
    put: tuple[tuple[str, str], ...] = ()  # in place of what is there
    add: tuple[tuple[str, str], ...] = ()
    drop: tuple[str, ...] = ()

    def __bool__(self) -> bool:
        return bool(self.put or self.add or self.drop)


NO_EDITS = HeaderEdits()


@dataclass(frozen=True, slots=True)
class Route:
    """One of pool, split, redirect and answer is set."""

    name: str
    matches: tuple[Match, ...]
    pool: str = ""
    split: Split | None = None
    redirect: Redirect | None = None
    answer: Answer | None = None
    fallback: tuple[str, ...] = ()  # after the pool's own
    mirror: Mirror | None = None
    edits: HeaderEdits = NO_EDITS
    rewrite: str | None = None  # what stands for the matched prefix or the whole exact path
    timeout_ms: float = 0.0  # 0: the caller's
    attempts: int = 0  # 0: the settings'
    cls: str = ""  # empty: the first part of the path
    app: str = ""
    place: Place = field(default=NO_PLACE, compare=False)

    def pools(self) -> tuple[str, ...]:
        """All that a request of this route may go to, without its mirror."""
        split = tuple(name for name, weight in self.split.weights if weight > 0) if self.split else ()
        return tuple(dict.fromkeys(((self.pool,) if self.pool else ()) + split + self.fallback))

    def __str__(self) -> str:
        return f"{self.app}/{self.name}" if self.app else self.name


@dataclass(frozen=True, slots=True)
class Selector:
    """Which endpoints are members; what is empty asks nothing."""

    zones: tuple[str, ...] = ()
    types: tuple[str, ...] = ()
    groups: tuple[int, ...] = ()
    names: tuple[str, ...] = ()  # shell patterns
    statuses: tuple[str, ...] = ()  # Ready, Terminating; both, if none is named
    least_weight: float = 0.0


EVERY = Selector()


@dataclass(frozen=True, slots=True)
class Pool:
    name: str
    selector: Selector = EVERY
    local: bool = False  # members of the proxy's own zone, as long as enough of them are usable
    spill_below: float = 0.5  # share of usable local members under which all zones serve; 0: never
    spill_until: float = 0.7  # share from which the zone serves alone again
    remember_s: float = 300.0  # for how long a member that vanished is still counted as expected
    subset: int = 0  # members that one proxy uses; 0: all
    fallback: tuple[str, ...] = ()  # pools, where this one has no usable member
    place: Place = field(default=NO_PLACE, compare=False)


@dataclass(frozen=True, slots=True)
class Endpoint:
    """One of discovery's, as pools look at it."""

    name: str
    zone: str = ""
    type: str = ""
    group: int = 0
    status: str = "Ready"  # Ready, Terminating or Gone
    weight: float = 1.0

    @staticmethod
    def of(raw: Mapping[str, Any]) -> Endpoint:
        return Endpoint(
            str(raw["name"]),
            str(raw.get("zone", "")),
            str(raw.get("type", "")),
            int(raw.get("group", 0)),
            str(raw.get("status", "Ready")),
            float(raw.get("weight", 1.0)),
        )


@dataclass(frozen=True, slots=True)
class ClassRule:
    """What a class of requests permits. Times are in milliseconds."""

    name: str
    worth: float
    aim_ms: float
    timeout_ms: float  # how long its callers wait
    effect: str = "repeatable"  # `repeatable`, `by_key` or `once`
    attempts: int = 1  # of one request, over all nodes of a tier
    place: Place = field(default=NO_PLACE, compare=False)


@dataclass(frozen=True, slots=True)
class Description:
    """The routes and pools of one proxy, in the order of their names."""

    routes: tuple[Route, ...] = ()
    pools: tuple[Pool, ...] = ()
    unchanged: bool = True  # the platform wants method, path and query as they came
    digest: str = ""

    def pool(self, name: str) -> Pool | None:
        return next((pool for pool in self.pools if pool.name == name), None)
