"""Immutable descriptions of routes and pools, checked once by the reader, and of the requests they match."""

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


class RequestView:
    """The parts of a request that matchers use. Headers and query are parsed only if a route needs them."""

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
        """Values by lower-case name; several lines of one name are joined (RFC 9110, 5.3)."""
        if self._headers is None:
            joined: dict[str, str] = {}
            for name, value in self.raw:
                key, text = name.decode("latin-1").lower(), value.decode("latin-1")
                joined[key] = f"{joined[key]}, {text}" if key in joined else text
            self._headers = joined
        return self._headers

    @property
    def query(self) -> Mapping[str, str]:
        """Values by name; the first one if a name is repeated."""
        if self._query is None:
            values: dict[str, str] = {}
            for name, value in parse_qsl(self.query_text, keep_blank_values=True):
                values.setdefault(name, value)
            self._query = values
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
    """A host in lower case, without its port and its final dot."""
    host = host.lower()
    if host.startswith("["):
        return host.partition("]")[0].lstrip("[")
    if ":" in host:
        host = host.partition(":")[0]
    return host[:-1] if host.endswith(".") else host


@dataclass(frozen=True, slots=True)
class Text:
    """A condition on the value of one header or query parameter."""

    name: str
    kind: Literal["is", "present", "regex"]
    value: str = ""


@dataclass(frozen=True, slots=True)
class Path:
    """`exact` and `regex` match the whole path; `prefix` matches whole segments ('' matches each path)."""

    kind: Literal["exact", "prefix", "regex"] = "prefix"
    value: str = ""

    def __str__(self) -> str:
        return f"{self.kind} {self.value or '/'}"


ANY_PATH = Path()


@dataclass(frozen=True, slots=True)
class Match:
    """A request matches if all fields that are set hold; an empty tuple permits any value."""

    path: Path = ANY_PATH
    hosts: tuple[str, ...] = ()  # an exact host, or `*.` and a suffix
    methods: tuple[str, ...] = ()
    headers: tuple[Text, ...] = ()
    query: tuple[Text, ...] = ()
    classes: tuple[str, ...] = ()
    tenants: tuple[str, ...] = ()
    budget_ms: tuple[float, float] | None = None  # lower bound (inclusive) and upper bound (exclusive)
    sources: tuple[Network, ...] = ()
    place: Place = field(default=NO_PLACE, compare=False)


@dataclass(frozen=True, slots=True)
class Split:
    by: str  # `tenant`, `header:NAME`, `query:NAME`, or `request` (each request is assigned on its own)
    weights: tuple[tuple[str, float], ...]  # (pool, weight)


@dataclass(frozen=True, slots=True)
class Redirect:
    code: int
    location: str  # `{path}` and `{query}` are replaced by those of the request


@dataclass(frozen=True, slots=True)
class Answer:
    code: int
    body: str = ""
    retry_after: float = 0.0  # s


@dataclass(frozen=True, slots=True)
class Mirror:
    pool: str
    share: float = 1.0  # fraction of the route's requests


@dataclass(frozen=True, slots=True)
class HeaderEdits:
    put: tuple[tuple[str, str], ...] = ()  # replaces existing headers of the name
    add: tuple[tuple[str, str], ...] = ()
    drop: tuple[str, ...] = ()

    def __bool__(self) -> bool:
        return bool(self.put or self.add or self.drop)


NO_EDITS = HeaderEdits()


@dataclass(frozen=True, slots=True)
class Route:
    """Exactly one of `pool`, `split`, `redirect` and `answer` is set."""

    name: str
    matches: tuple[Match, ...]
    pool: str = ""
    split: Split | None = None
    redirect: Redirect | None = None
    answer: Answer | None = None
    fallback: tuple[str, ...] = ()  # pools tried after the pool's own fallbacks
    mirror: Mirror | None = None
    edits: HeaderEdits = NO_EDITS
    rewrite: str | None = None  # replaces the matched prefix, or the whole path if it is exact
    timeout_ms: float = 0.0  # 0: the caller's timeout
    attempts: int = 0  # 0: the number in the settings
    cls: str = ""  # empty: the first segment of the path
    app: str = ""
    place: Place = field(default=NO_PLACE, compare=False)

    def pools(self) -> tuple[str, ...]:
        """All pools that may serve a request of this route; the mirror's pool is not among them."""
        split = tuple(name for name, weight in self.split.weights if weight > 0) if self.split else ()
        return tuple(dict.fromkeys(((self.pool,) if self.pool else ()) + split + self.fallback))

    def __str__(self) -> str:
        return f"{self.app}/{self.name}" if self.app else self.name


@dataclass(frozen=True, slots=True)
class Selector:
    """Selects the endpoints that are members; an empty field permits any value."""

    zones: tuple[str, ...] = ()
    types: tuple[str, ...] = ()
    groups: tuple[int, ...] = ()
    names: tuple[str, ...] = ()  # shell patterns
    statuses: tuple[str, ...] = ()  # Ready, Terminating; empty: both
    least_weight: float = 0.0


EVERY = Selector()


@dataclass(frozen=True, slots=True)
class Pool:
    name: str
    selector: Selector = EVERY
    local: bool = False  # use only members of the proxy's own zone while enough of them are usable
    spill_below: float = 0.5  # fraction of usable local members below which all zones serve; 0: never
    spill_until: float = 0.7  # fraction from which the proxy's own zone serves alone again
    remember_s: float = 300.0  # time for which a member that vanished still counts as expected
    subset: int = 0  # members that one proxy uses; 0: all
    fallback: tuple[str, ...] = ()  # pools to use if this one has no usable member
    place: Place = field(default=NO_PLACE, compare=False)


@dataclass(frozen=True, slots=True)
class Endpoint:
    """An endpoint of the discovery list, with the attributes that selectors use."""

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
    attempts: int = 1  # maximum for one request over all nodes of a tier
    place: Place = field(default=NO_PLACE, compare=False)


@dataclass(frozen=True, slots=True)
class Description:
    """The routes and pools of one proxy, each sorted by name."""

    routes: tuple[Route, ...] = ()
    pools: tuple[Pool, ...] = ()
    unchanged: bool = True  # the platform requires that method, path and query are forwarded unchanged
    digest: str = ""

    def pool(self, name: str) -> Pool | None:
        return next((pool for pool in self.pools if pool.name == name), None)
