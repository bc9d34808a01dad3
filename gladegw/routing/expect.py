"""Expectations beside the configuration, decided over the table without any traffic.

An expectation is of one request, or of all requests that match something; the latter is decided over the
matchers (see `cells`), not by samples.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from typing import Any

from gladegw.routing.cells import Undecided, cells
from gladegw.routing.fields import Fields
from gladegw.routing.findings import Finding, Place
from gladegw.routing.matcher import Entry, Table, refusals
from gladegw.routing.model import TENANT_HEADER, Ask, Match, Route
from gladegw.routing.read import MATCHERS, match_of
from gladegw.routing.source import Block, Named
from gladegw.routing.split import shares

WANTS = (
    "goes_to",
    "never",
    "answers",
    "refused",
    "redirects",
    "split",
    "class",
    "timeout_ms",
    "attempts",
    "sends",
    "path",
)
CLOSE = 1e-6  # of a share
MOST_NAMED = 3  # other routes that a failure names


@dataclass(frozen=True, slots=True)
class Want:
    kind: str
    value: Any
    place: Place

    def __str__(self) -> str:
        value = f'{self.value.kind} "{self.value.name}"' if isinstance(self.value, Named) else self.value
        return f"{self.kind} {value}"


@dataclass(frozen=True, slots=True)
class Expectation:
    name: str
    place: Place
    wants: tuple[Want, ...]
    ask: Ask | None = None
    region: Match | None = None
    app: str = ""  # whose sidecar


@dataclass(frozen=True, slots=True)
class Failure:
    expectation: str
    place: Place
    expected: str
    got: str
    impossible: bool = False  # no route can ever satisfy it


@dataclass(slots=True)
class Result:
    failures: list[Failure] = field(default_factory=list)
    touched: set[str] = field(default_factory=set)  # routes that some expectation was decided on


def _ask(block: Block, findings: list[Finding]) -> Ask:
    fields = Fields(block, findings)
    path = fields.text("path", "/")
    headers = {}
    for name, value in fields.pairs("headers").items():
        if not isinstance(value, str):
            fields.wrong("headers", "an object of texts")
            continue
        headers[name.lower()] = value
    tenant = fields.text("tenant") or headers.get(TENANT_HEADER, "")
    if tenant:
        headers.setdefault(TENANT_HEADER, tenant)
    if not path.startswith("/"):
        fields.fault("R501", "path must begin with '/'", "path")
    ask = Ask(
        method=fields.text("method", "GET"),
        target=path,
        host=fields.text("host") or headers.get("host", ""),
        raw=[
            (name.encode("latin-1", "replace"), value.encode("latin-1", "replace"))
            for name, value in headers.items()
        ],
        budget_ms=fields.number("budget_ms", 1000.0, 0.0, 1e9),
        tenant=tenant,
        source=fields.text("source"),
    )
    fields.done()
    return ask


def read_expect(block: Block, findings: list[Finding]) -> Expectation:
    fields = Fields(block, findings, ("request", "all"))
    request, every = fields.inner("request"), fields.inner("all")
    if (request is None) == (every is None):
        fields.fault("R501", "takes either a request or an all block")
    region = None
    if every is not None:
        inner = Fields(every, findings, MATCHERS)
        region = match_of(inner)
        inner.done()
    wants = []
    for kind in WANTS:
        if not fields.has(kind):
            continue
        value = fields.raw(kind)
        if kind in ("goes_to", "never"):
            value = Named("pool", value) if isinstance(value, str) else value
            if not isinstance(value, Named) or value.kind not in ("pool", "route"):
                fields.fault("R501", f'{kind} is pool "name" or route "name"', kind)
                continue
        elif kind == "answers" and type(value) is not int:
            fields.fault("R501", "answers is a status code", kind)
            continue
        elif kind in ("split", "sends") and not isinstance(value, dict):
            fields.fault("R501", f"{kind} is an object", kind)
            continue
        wants.append(Want(kind, value, block.place_of(kind)))
    app = fields.text("app")
    fields.done()
    if not wants:
        fields.fault("R501", f"wants nothing; it takes {', '.join(WANTS)}")
    ask = _ask(request, findings) if request is not None else None
    return Expectation(block.label, block.place, tuple(wants), ask, region, app)


def outcome(route: Route | None) -> str:
    """What becomes of a request that a route takes, in words."""
    if route is None:
        return "no route takes it"
    at = f"route {route} ({route.place.file}:{route.place.line}) "
    if route.answer is not None:
        return at + f"answers {route.answer.code}"
    if route.redirect is not None:
        return at + f"redirects to {route.redirect.location}"
    if route.split is not None:
        parts = ", ".join(f"{name} {share:.4g}" for name, share in shares(route.split.weights).items())
        return at + f"splits it: {parts}"
    return at + f'leads to pool "{route.pool}"'


def _first_pools(route: Route) -> tuple[str, ...]:
    if route.split is not None:
        return tuple(name for name, weight in route.split.weights if weight > 0)
    return (route.pool,) if route.pool else ()


def holds(want: Want, route: Route | None, cls: str) -> bool:
    """Whether a request of this class that this route takes is as wanted."""
    kind, value = want.kind, want.value
    if kind == "answers":
        code = 404 if route is None else route.answer.code if route.answer else 0
        return bool(code == value)
    if kind == "refused":
        return (route is None or route.answer is not None) is bool(value)
    if kind == "never":
        if route is None:
            return True
        names = route.pools() if value.kind == "pool" else (str(route), route.name)
        return bool(value.name not in names)
    if route is None:
        return False
    if kind == "goes_to":
        if value.kind == "route":
            return bool(value.name in (str(route), route.name))
        return bool(_first_pools(route) == (value.name,))
    if kind == "redirects":
        return route.redirect is not None and bool(route.redirect.location == value)
    if kind == "split":
        told = shares(route.split.weights) if route.split else {route.pool: 1.0} if route.pool else {}
        wanted = shares([(name, float(weight)) for name, weight in value.items()])
        every = told.keys() | wanted.keys()
        return all(abs(told.get(name, 0.0) - wanted.get(name, 0.0)) < CLOSE for name in every)
    if kind == "class":
        return bool((route.cls or cls) == value)
    if kind == "timeout_ms":
        return bool(route.timeout_ms == value)
    if kind == "attempts":
        return bool(route.attempts == value)
    if kind == "sends":
        put = dict((*route.edits.put, *route.edits.add))
        return all(put.get(name.lower()) == text for name, text in value.items())
    return bool(route.rewrite == value)  # path


def _impossible(table: Table, wants: Sequence[Want], cls: str) -> bool:
    """No route of the table is as wanted, whatever it is asked."""
    routes: list[Route | None] = [*table.description.routes, None]
    return not any(all(holds(want, route, cls) for want in wants) for route in routes)


def _others(table: Table, want: Want, ask: Ask, won: Entry | None) -> str:
    """Why each route that would do as wanted does not take the request."""
    found: list[str] = []
    more = 0
    for entry in table.entries:
        if won is not None and entry.route is won.route:
            continue
        if not holds(want, entry.route, ask.cls):
            continue
        if len(found) == MOST_NAMED:
            more += 1
            continue
        why = refusals(entry, ask) or ["the one that takes it goes first"]
        found.append(f"route {entry.route} would, but {'; '.join(why)}")
    return "".join(f"; {one}" for one in found) + (f"; and {more} more" if more else "")


def decide(table: Table, expectation: Expectation, into: Result) -> None:
    if expectation.ask is not None:
        _decide_one(table, expectation, expectation.ask, into)
    elif expectation.region is not None:
        _decide_all(table, expectation, expectation.region, into)


def _decide_one(table: Table, expectation: Expectation, ask: Ask, into: Result) -> None:
    won = table.find(ask)
    route = won.route if won is not None else None
    if route is not None:
        into.touched.add(str(route))
    for want in expectation.wants:
        if holds(want, route, ask.cls):
            continue
        got = outcome(route) + _others(table, want, ask, won)
        never = _impossible(table, expectation.wants, ask.cls)
        if never:
            got = f"no route can ever satisfy this: {_why_never(table, expectation.wants, ask.cls)}; {got}"
        into.failures.append(Failure(expectation.name, want.place, str(want), got, never))


def _why_never(table: Table, wants: Sequence[Want], cls: str) -> str:
    for want in wants:
        if _impossible(table, [want], cls):
            return f"none is as wanted by {want}"
    return "its wants exclude each other: " + " and ".join(map(str, wants))


def _decide_all(table: Table, expectation: Expectation, region: Match, into: Result) -> None:
    failed: dict[Place, Failure] = {}  # by the want's place
    any_cell = False
    cls = region.classes[0] if region.classes else ""

    def fail(want: Want, got: str, never: bool = False) -> None:
        failed.setdefault(want.place, Failure(expectation.name, want.place, f"all: {want}", got, never))

    try:
        for cell in cells([table], region):
            any_cell = True
            winners = cell.winners()
            sure = cell.sure and len(winners) == 1
            asked = cell.ask()
            for won in winners:
                route = won.route if won is not None else None
                if route is not None:
                    into.touched.add(str(route))
                for want in expectation.wants:
                    if want.place in failed or holds(want, route, asked.cls):
                        continue
                    doubt = "" if sure else " can't be excluded (a regular expression decides):"
                    fail(want, f"{cell}:{doubt} {outcome(route)}", _impossible(table, [want], cls))
            if len(failed) == len(expectation.wants):
                break
    except Undecided:
        for want in expectation.wants:
            fail(want, "undecided: too many cases; narrow what it asks about")
    if not any_cell and not failed:
        for want in expectation.wants:
            fail(want, "no request can match what it asks about: its matchers exclude each other", True)
    into.failures += failed.values()


def decide_all(table: Table, expectations: Iterable[Expectation]) -> Result:
    result = Result()
    for expectation in expectations:
        decide(table, expectation, result)
    result.failures.sort(key=lambda failure: failure.place)
    return result
