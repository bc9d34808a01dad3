"""Reads routes and pools from blocks. Each fault becomes a finding, so that one run reports all of them."""

from __future__ import annotations

import re
from collections.abc import Iterable, Sequence
from dataclasses import replace
from ipaddress import ip_network

from gladegw.routing import regex
from gladegw.routing.fields import Fields
from gladegw.routing.findings import Finding, RoutingError, nearest
from gladegw.routing.model import (
    Answer,
    Description,
    HeaderEdits,
    Match,
    Mirror,
    Network,
    Path,
    Pool,
    Redirect,
    Route,
    Selector,
    Split,
    Text,
)
from gladegw.routing.source import Block, Document, read_source

NAME = re.compile(r"[a-z0-9][a-z0-9._-]{0,62}")
HOST = re.compile(r"(?:\*\.)?[a-z0-9]([a-z0-9.-]{0,250}[a-z0-9])?")
TOKEN = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+")  # RFC 9110, 5.6.2
VALUE = re.compile(r"[\t\x20-\x7e\x80-\xff]*")
MATCHERS = ("header", "query")
ROUTE_BLOCKS = ("match", "split", "redirect", "answer", "mirror", "edit_headers", *MATCHERS)
PROTECTED_HEADERS = frozenset(  # headers that carry the platform's protocol or the framing
    "x-call-id idempotency-key x-budget x-caller x-again x-call-info x-call-cost content-length connection "
    "transfer-encoding upgrade te trailer keep-alive expect".split()
)


def read_pool(block: Block, findings: list[Finding]) -> Pool:
    fields = Fields(block, findings)
    groups = fields.raw("groups")
    if groups is not None and not (isinstance(groups, list) and all(type(item) is int for item in groups)):
        fields.wrong("groups", "a list of whole numbers")
        groups = None
    selector = Selector(
        zones=fields.texts("zones"),
        types=fields.texts("types"),
        groups=tuple(groups or ()),
        names=fields.texts("names"),
        statuses=fields.texts("statuses"),
        least_weight=fields.number("least_weight", 0.0, 0.0, 1e6),
    )
    if not set(selector.statuses) <= {"Ready", "Terminating"}:
        fields.wrong("statuses", "a list of Ready and Terminating")
    below = fields.number("spill_below", 0.5, 0.0, 1.0)
    pool = Pool(
        name=block.label,
        selector=selector,
        local=fields.truth("local", False),
        spill_below=below,
        spill_until=fields.number("spill_until", min(1.0, below + 0.2), 0.0, 1.0),
        remember_s=fields.number("remember_s", 300.0, 1.0, 86_400.0),
        subset=fields.whole("subset", 0, 1, 100_000),
        fallback=fields.texts("fallback"),
        place=block.place,
    )
    if pool.spill_until < pool.spill_below:
        fields.fault("R005", "spill_until must not be below spill_below", "spill_until")
    if not pool.local and (fields.has("spill_below") or fields.has("spill_until")):
        key = "spill_below" if fields.has("spill_below") else "spill_until"
        fields.fault("R007", f"{key} requires local = true", key)
    if pool.name in pool.fallback:
        fields.fault("R403", "falls back to itself", "fallback")
    _name(block, findings)
    fields.done()
    return pool


def _name(block: Block, findings: list[Finding]) -> None:
    if not NAME.fullmatch(block.label):
        message = f"{block.label!r} is not a valid name" if block.label else f"{block.name} needs a name"
        hint = "lower-case letters, digits, '.', '_' and '-', 63 at most"
        findings.append(Finding("R006" if not block.label else "R005", block.place, message, None, hint))


def _pattern(fields: Fields, key: str, pattern: str) -> bool:
    try:
        regex.compiled(pattern)
    except regex.PatternError as fault:
        fields.fault("R008", f"{key}: {fault}", key)
        return False
    return True


def _text(block: Block, findings: list[Finding]) -> Text | None:
    fields = Fields(block, findings)
    name = block.label.lower() if block.name == "header" else block.label
    conditions = [key for key in ("is", "present", "regex") if fields.has(key)]
    fields.done()
    if not name or (block.name == "header" and not TOKEN.fullmatch(name)):
        fields.fault("R006", f"{block.name} needs a name")
        return None
    if len(conditions) != 1:
        fields.fault("R007", "needs exactly one of is, present and regex")
        return None
    if conditions == ["present"]:
        if not fields.truth("present", True):
            fields.wrong("present", "true")
        return Text(name, "present")
    value = fields.text(conditions[0], empty=True)
    if conditions == ["regex"]:
        return Text(name, "regex", value) if _pattern(fields, "regex", value) else None
    return Text(name, "is", value)


def _texts(block: Block, kind: str, findings: list[Finding]) -> tuple[Text, ...]:
    found: dict[str, Text] = {}
    for inner in block.of(kind):
        text = _text(inner, findings)
        if text is not None and text.name in found:
            findings.append(Finding("R004", inner.place, f"a second {kind} {text.name}"))
        elif text is not None:
            found[text.name] = text
    return tuple(found[name] for name in sorted(found))


def _path(fields: Fields) -> Path:
    kinds = [key for key in ("path", "prefix", "regex") if fields.has(key)]
    kinds.sort(key=fields.block.place_of)
    if len(kinds) > 1:
        fields.fault("R007", f"{kinds[0]} and {kinds[1]} exclude each other", kinds[1])
    if not kinds:
        return Path()
    key = kinds[0]
    value = fields.text(key)
    if key == "regex":
        return Path("regex", value) if value and _pattern(fields, "regex", value) else Path()
    if value and not value.startswith("/"):
        fields.fault("R008", f"{key} must begin with '/'", key)
    elif "?" in value or "#" in value or any(char <= " " for char in value):
        fields.fault("R008", f"{key} must hold no query, fragment or blank", key)
    return Path("exact", value) if key == "path" else Path("prefix", value.rstrip("/"))


def _sources(fields: Fields) -> tuple[Network, ...]:
    found = []
    for text in fields.one_or_more("source", "sources"):
        try:
            found.append(ip_network(text))
        except ValueError as fault:
            fields.fault("R008", f"{text}: {fault}", "source" if fields.has("source") else "sources")
    return tuple(found)


def _budget(fields: Fields) -> tuple[float, float] | None:
    value = fields.raw("budget_ms")
    if value is None:
        return None
    valid = isinstance(value, list) and len(value) == 2 and all(type(item) in (int, float) for item in value)
    if not valid or not 0 <= value[0] < value[1]:
        fields.wrong("budget_ms", "[from, below] in milliseconds")
        return None
    return float(value[0]), float(value[1])


def match_of(fields: Fields) -> Match:
    """Reads the matchers of a block, which may also have other keys."""
    hosts = fields.one_or_more("host", "hosts")
    for host in hosts:
        if not HOST.fullmatch(host):
            hint = "lower case, without port; a wildcard is '*.' and a suffix"
            fields.fault(
                "R008", f"{host!r} is not a valid host", "host" if fields.has("host") else "hosts", hint
            )
    methods = fields.one_or_more("method", "methods")
    for method in methods:
        if not re.fullmatch(r"[A-Z]{1,20}", method):
            fields.fault(
                "R008", f"{method!r} is not a valid method", "method" if fields.has("method") else "methods"
            )
    return Match(
        path=_path(fields),
        hosts=hosts,
        methods=methods,
        headers=_texts(fields.block, "header", fields.findings),
        query=_texts(fields.block, "query", fields.findings),
        classes=fields.texts("classes"),
        tenants=fields.one_or_more("tenant", "tenants"),
        budget_ms=_budget(fields),
        sources=_sources(fields),
        place=fields.block.place,
    )


def _split(block: Block, findings: list[Finding]) -> Split:
    fields = Fields(block, findings)
    by = fields.text("by", "request")
    kind, _, name = by.partition(":")
    known = by in ("request", "tenant") or (kind in ("header", "query") and bool(name))
    if not known:
        fields.wrong("by", "request, tenant, header:NAME or query:NAME")
    weights = []
    for pool, weight in fields.pairs("weights").items():
        if type(weight) not in (int, float) or not 0 <= weight <= 1e6:
            fields.wrong("weights", "an object of pools and numbers from 0")
            continue
        weights.append((pool, float(weight)))
    if not fields.has("weights"):
        fields.fault("R006", "weights are missing")
    elif not sum(weight for _, weight in weights):
        fields.fault("R401", "the weights sum to 0", "weights")
    fields.done()
    return Split(by.lower() if kind == "header" else by, tuple(sorted(weights)))


def _redirect(block: Block, findings: list[Finding]) -> Redirect:
    fields = Fields(block, findings)
    code = fields.whole("code", 302, 301, 308)
    if code not in (301, 302, 303, 307, 308):
        fields.wrong("code", "301, 302, 303, 307 or 308")
    location = fields.text("location")
    if not location:
        fields.fault("R006", "location is missing")
    elif not VALUE.fullmatch(location):
        fields.wrong("location", "a header's value")
    fields.done()
    return Redirect(code, location)


def _answer(block: Block, findings: list[Finding]) -> Answer:
    fields = Fields(block, findings)
    code = fields.whole("code", 0, 400, 599)
    if not fields.has("code"):
        fields.fault("R006", "code is missing")
    retry_after = fields.number("retry_after", 0.0, 0.0, 86_400.0)
    if retry_after and code not in (429, 503):
        fields.fault("R007", "retry_after requires code 429 or 503", "retry_after")
    body = fields.text("body", empty=True)
    fields.done()
    return Answer(code, body, retry_after)


def _mirror(block: Block, findings: list[Finding]) -> Mirror:
    fields = Fields(block, findings)
    pool = fields.text("pool")
    if not pool:
        fields.fault("R006", "pool is missing")
    share = fields.number("share", 1.0, 0.0, 1.0)
    fields.done()
    return Mirror(pool, share)


def _edits(block: Block, findings: list[Finding]) -> HeaderEdits:
    fields = Fields(block, findings)
    edits: dict[str, tuple[tuple[str, str], ...]] = {}
    for key in ("put", "add"):
        pairs = []
        for name, value in fields.pairs(key).items():
            if not TOKEN.fullmatch(name) or not isinstance(value, str) or not VALUE.fullmatch(value):
                fields.wrong(key, "an object of header names and texts")
                continue
            pairs.append((name.lower(), value))
        edits[key] = tuple(pairs)
    drop = tuple(name.lower() for name in fields.texts("drop"))
    for key, names in (*((key, [name for name, _ in pairs]) for key, pairs in edits.items()), ("drop", drop)):
        for name in names:
            if name in PROTECTED_HEADERS:
                fields.fault("R007", f"{name} belongs to the protocol and can't be edited", key)
    fields.done()
    return HeaderEdits(edits["put"], edits["add"], drop)


def _matches(block: Block, fields: Fields, findings: list[Finding]) -> tuple[Match, ...]:
    own = match_of(fields)
    inner_blocks = list(block.of("match"))
    if not inner_blocks:
        return (own,)
    if replace(own, hosts=()) != Match():
        fields.fault(
            "R007", "matchers other than hosts belong in the route or in its match blocks, not in both"
        )
    matches = []
    for inner_block in inner_blocks:
        inner_fields = Fields(inner_block, findings, MATCHERS)
        match = match_of(inner_fields)
        matches.append(match if match.hosts else replace(match, hosts=own.hosts))
        inner_fields.done()
    return tuple(matches)


def read_route(block: Block, findings: list[Finding], app: str = "") -> Route:
    fields = Fields(block, findings, ROUTE_BLOCKS)
    _name(block, findings)
    parts = {name: fields.inner(name) for name in ("split", "redirect", "answer", "mirror", "edit_headers")}
    split, redirect, answer = parts["split"], parts["redirect"], parts["answer"]
    mirror, edits = parts["mirror"], parts["edit_headers"]
    route = Route(
        name=block.label,
        matches=_matches(block, fields, findings),
        pool=fields.text("pool"),
        split=_split(split, findings) if split is not None else None,
        redirect=_redirect(redirect, findings) if redirect is not None else None,
        answer=_answer(answer, findings) if answer is not None else None,
        fallback=fields.texts("fallback"),
        mirror=_mirror(mirror, findings) if mirror is not None else None,
        edits=_edits(edits, findings) if edits is not None else HeaderEdits(),
        rewrite=fields.text("rewrite") or None,
        timeout_ms=fields.number("timeout_ms", 0.0, 1.0, 3_600_000.0),
        attempts=fields.whole("attempts", 0, 1, 16),
        cls=fields.text("class"),
        app=app,
        place=block.place,
    )
    _check_actions(route, fields)
    fields.done()
    return route


def _check_actions(route: Route, fields: Fields) -> None:
    actions = [
        name
        for name, value in (
            ("pool", route.pool),
            ("split", route.split),
            ("redirect", route.redirect),
            ("answer", route.answer),
        )
        if value
    ]
    if not actions:
        fields.fault("R006", "needs one of pool, split, redirect and answer")
    elif len(actions) > 1:
        fields.fault("R007", f"{actions[0]} and {actions[1]} exclude each other")
    forwards = bool(route.pool or route.split)
    for key, value in (
        ("fallback", route.fallback),
        ("mirror", route.mirror),
        ("rewrite", route.rewrite),
        ("timeout_ms", route.timeout_ms),
        ("attempts", route.attempts),
        ("edit_headers", route.edits),
    ):
        if value and actions and not forwards:
            fields.fault("R007", f"{key} requires a pool or a split", key)
    if route.rewrite is not None:
        if not route.rewrite.startswith("/") or any(char in route.rewrite for char in "?# "):
            fields.fault("R008", "rewrite must be a path", "rewrite")
        if any(match.path.kind == "regex" for match in route.matches):
            fields.fault("R007", "rewrite can be used with path or prefix, not with regex", "rewrite")


def check_references(description: Description, findings: list[Finding]) -> None:
    """Reports unknown names, changes that the platform forbids, and cyclic fallbacks."""
    known = {pool.name: pool for pool in description.pools}
    for route in description.routes:
        mirrored = (route.mirror.pool,) if route.mirror is not None and route.mirror.pool else ()
        split = tuple(name for name, _ in route.split.weights) if route.split else ()
        for name in dict.fromkeys((*route.pools(), *split, *mirrored)):
            if name not in known:
                message = f"route {route}: unknown pool {name}"
                findings.append(Finding("R201", route.place, message, None, nearest(name, known)))
        if route.rewrite is not None and description.unchanged:
            message = f"route {route}: rewrite changes the path, and the platform wants it unchanged"
            findings.append(Finding("R406", route.place, message, None, "set unchanged = false elsewhere"))
    for pool in description.pools:
        for name in pool.fallback:
            if name not in known:
                message = f"pool {pool.name}: unknown pool {name}"
                findings.append(Finding("R201", pool.place, message, None, nearest(name, known)))
    for cycle in find_cycles({pool.name: pool.fallback for pool in description.pools}):
        if len(cycle) > 1:
            message = "fallbacks in a circle: " + " -> ".join((*cycle, cycle[0]))
            findings.append(Finding("R403", known[cycle[0]].place, message, known[cycle[1]].place))


def find_cycles(edges: dict[str, tuple[str, ...]]) -> list[tuple[str, ...]]:
    """Finds at least one cycle in each strongly connected component, in linear time: each edge is followed
    once. A cycle begins with its least name."""
    cycles: set[tuple[str, ...]] = set()
    open_at: dict[str, int] = {}  # position in the trail
    closed: set[str] = set()
    for start in sorted(edges):
        if start in closed:
            continue
        trail = [start]
        open_at[start] = 0
        unfollowed = [iter(edges[start])]
        while trail:
            name = next(unfollowed[-1], None)
            if name is None:
                closed.add(trail[-1])
                del open_at[trail.pop()]
                unfollowed.pop()
            elif name in open_at:
                cycle = trail[open_at[name] :]
                first = cycle.index(min(cycle))
                cycles.add(tuple(cycle[first:] + cycle[:first]))
            elif name in edges and name not in closed:
                open_at[name] = len(trail)
                trail.append(name)
                unfollowed.append(iter(edges[name]))
    return sorted(cycles)


def unique(blocks: Iterable[Block], findings: list[Finding]) -> list[Block]:
    """The first block of each name; further ones become findings."""
    first: dict[tuple[str, str], Block] = {}
    for block in blocks:
        before = first.setdefault((block.name, block.label), block)
        if before is not block:
            message = f"a second {block.name} {block.label}".rstrip()
            findings.append(Finding("R004", block.place, message, before.place, "rename or remove one"))
    return list(first.values())


def describe(
    documents: Sequence[Document], findings: list[Finding], allowed: tuple[str, ...] = ()
) -> Description:
    """Reads routes and pools from files that may also contain the `allowed` blocks."""
    blocks = unique([block for document in documents for block in document.blocks], findings)
    known = ("route", "pool", "routes", *allowed)
    unchanged = True
    for block in blocks:
        if block.name not in known:
            hint = nearest(block.name, known)
            findings.append(Finding("R003", block.place, f"unknown block {block.name}", None, hint))
        elif block.name == "routes":
            fields = Fields(block, findings)
            unchanged = fields.truth("unchanged", True)
            fields.text("app")
            fields.text("source")
            fields.done()
    description = Description(
        routes=tuple(
            read_route(block, findings)
            for block in sorted(blocks, key=lambda b: b.label)
            if block.name == "route"
        ),
        pools=tuple(
            read_pool(block, findings)
            for block in sorted(blocks, key=lambda b: b.label)
            if block.name == "pool"
        ),
        unchanged=unchanged,
        digest="-".join(document.digest for document in documents),
    )
    check_references(description, findings)
    return description


def read_text(text: str, file: str, allowed: tuple[str, ...] = ()) -> Description:
    """Reads the routes and pools of one file; raises RoutingError with all findings."""
    findings: list[Finding] = []
    description = describe([read_source(text, file, findings)], findings, allowed)
    if findings:
        raise RoutingError(findings)
    return description
