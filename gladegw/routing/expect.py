"""Expectations in the configuration about what the route table does, decided without any traffic.

An expectation is about one request, or about all requests that match a region. The latter is decided over the
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
from gladegw.routing.model import TENANT_HEADER, Match, RequestView, Route
from gladegw.routing.read import MATCHERS, match_of
from gladegw.routing.source import Block, Reference
from gladegw.routing.split import shares

WANT_KINDS = (
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
SHARE_TOLERANCE = 1e-6
MAX_ROUTES_EXPLAINED = 3  # other routes that a failure explains


@dataclass(frozen=True, slots=True)
class Want:
    kind: str
    value: Any
    place: Place

    def __str__(self) -> str:
        value = f'{self.value.kind} "{self.value.name}"' if isinstance(self.value, Reference) else self.value
        return f"{self.kind} {value}"


@dataclass(frozen=True, slots=True)
class Expectation:
    name: str
    place: Place
    wants: tuple[Want, ...]
    request: RequestView | None = None
    region: Match | None = None
    app: str = ""  # the application whose sidecar is asked about


@dataclass(frozen=True, slots=True)
class Failure:
    expectation: str
    place: Place
    expected: str
    got: str
    impossible: bool = False  # no route of the table can satisfy it


@dataclass(slots=True)
class Result:
    failures: list[Failure] = field(default_factory=list)
    touched: set[str] = field(default_factory=set)  # routes that take or may take a request of an expectation


def _read_request(block: Block, findings: list[Finding]) -> RequestView:
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
    request = RequestView(
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
    return request


def read_expect(block: Block, findings: list[Finding]) -> Expectation:
    fields = Fields(block, findings, ("request", "all"))
    request_block, all_block = fields.inner("request"), fields.inner("all")
    if (request_block is None) == (all_block is None):
        fields.fault("R501", "needs either a request or an all block")
    region = None
    if all_block is not None:
        region_fields = Fields(all_block, findings, MATCHERS)
        region = match_of(region_fields)
        region_fields.done()
    wants = []
    for kind in WANT_KINDS:
        if not fields.has(kind):
            continue
        value = fields.raw(kind)
        if kind in ("goes_to", "never"):
            value = Reference("pool", value) if isinstance(value, str) else value
            if not isinstance(value, Reference) or value.kind not in ("pool", "route"):
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
        fields.fault("R501", f"expects nothing; it needs at least one of {', '.join(WANT_KINDS)}")
    request = _read_request(request_block, findings) if request_block is not None else None
    return Expectation(block.label, block.place, tuple(wants), request, region, app)


def outcome(route: Route | None) -> str:
    """Describes what a route does with a request; None: no route takes it."""
    if route is None:
        return "no route takes it"
    prefix = f"route {route} ({route.place.file}:{route.place.line}) "
    if route.answer is not None:
        return prefix + f"answers {route.answer.code}"
    if route.redirect is not None:
        return prefix + f"redirects to {route.redirect.location}"
    if route.split is not None:
        parts = ", ".join(f"{name} {share:.4g}" for name, share in shares(route.split.weights).items())
        return prefix + f"splits it: {parts}"
    return prefix + f'leads to pool "{route.pool}"'


def _first_pools(route: Route) -> tuple[str, ...]:
    if route.split is not None:
        return tuple(name for name, weight in route.split.weights if weight > 0)
    return (route.pool,) if route.pool else ()


def holds(want: Want, route: Route | None, cls: str) -> bool:
    """Whether a request of class `cls` satisfies an expectation if `route` takes it."""
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
        actual = shares(route.split.weights) if route.split else {route.pool: 1.0} if route.pool else {}
        expected = shares([(name, float(weight)) for name, weight in value.items()])
        pools = actual.keys() | expected.keys()
        return all(abs(actual.get(name, 0.0) - expected.get(name, 0.0)) < SHARE_TOLERANCE for name in pools)
    if kind == "class":
        return bool((route.cls or cls) == value)
    if kind == "timeout_ms":
        return bool(route.timeout_ms == value)
    if kind == "attempts":
        return bool(route.attempts == value)
    if kind == "sends":
        sent_headers = dict((*route.edits.put, *route.edits.add))
        return all(sent_headers.get(name.lower()) == text for name, text in value.items())
    return bool(route.rewrite == value)  # path


def _is_impossible(table: Table, wants: Sequence[Want], cls: str) -> bool:
    """Whether no route of the table satisfies all of `wants` for any request."""
    routes: list[Route | None] = [*table.description.routes, None]
    return not any(all(holds(want, route, cls) for want in wants) for route in routes)


def _explain_other_routes(table: Table, want: Want, request: RequestView, won: Entry | None) -> str:
    """Explains why the routes that would satisfy an expectation don't take the request."""
    explanations: list[str] = []
    omitted = 0
    for entry in table.entries:
        if won is not None and entry.route is won.route:
            continue
        if not holds(want, entry.route, request.cls):
            continue
        if len(explanations) == MAX_ROUTES_EXPLAINED:
            omitted += 1
            continue
        reasons = refusals(entry, request) or ["the route that takes it has precedence"]
        explanations.append(f"route {entry.route} would, but {'; '.join(reasons)}")
    return "".join(f"; {text}" for text in explanations) + (f"; and {omitted} more" if omitted else "")


def decide(table: Table, expectation: Expectation, result: Result) -> None:
    if expectation.request is not None:
        _decide_one(table, expectation, expectation.request, result)
    elif expectation.region is not None:
        _decide_all(table, expectation, expectation.region, result)


def _decide_one(table: Table, expectation: Expectation, request: RequestView, result: Result) -> None:
    won = table.find(request)
    route = won.route if won is not None else None
    if route is not None:
        result.touched.add(str(route))
    for want in expectation.wants:
        if holds(want, route, request.cls):
            continue
        got = outcome(route) + _explain_other_routes(table, want, request, won)
        impossible = _is_impossible(table, expectation.wants, request.cls)
        if impossible:
            got = f"no route can ever satisfy this: {_conflict(table, expectation.wants, request.cls)}; {got}"
        result.failures.append(Failure(expectation.name, want.place, str(want), got, impossible))


def _conflict(table: Table, wants: Sequence[Want], cls: str) -> str:
    for want in wants:
        if _is_impossible(table, [want], cls):
            return f"none satisfies {want}"
    return "its wants exclude each other: " + " and ".join(map(str, wants))


def _decide_all(table: Table, expectation: Expectation, region: Match, result: Result) -> None:
    failed: dict[Place, Failure] = {}  # by the place of the want
    any_cell = False
    cls = region.classes[0] if region.classes else ""

    def fail(want: Want, got: str, impossible: bool = False) -> None:
        failed.setdefault(want.place, Failure(expectation.name, want.place, f"all: {want}", got, impossible))

    try:
        for cell in cells([table], region):
            any_cell = True
            winners = cell.winners()
            sure = cell.sure and len(winners) == 1
            example = cell.example()
            for won in winners:
                route = won.route if won is not None else None
                if route is not None:
                    result.touched.add(str(route))
                for want in expectation.wants:
                    if want.place in failed or holds(want, route, example.cls):
                        continue
                    doubt = "" if sure else " can't be excluded (a regular expression decides):"
                    fail(want, f"{cell}:{doubt} {outcome(route)}", _is_impossible(table, [want], cls))
            if len(failed) == len(expectation.wants):
                break
    except Undecided:
        for want in expectation.wants:
            fail(want, "undecided: too many cases; make its matchers narrower")
    if not any_cell and not failed:
        for want in expectation.wants:
            fail(want, "no request can match it: its matchers exclude each other", True)
    result.failures += failed.values()


def decide_all(table: Table, expectations: Iterable[Expectation]) -> Result:
    result = Result()
    for expectation in expectations:
        decide(table, expectation, result)
    result.failures.sort(key=lambda failure: failure.place)
    return result
