"""All that is wrong with a set of descriptions, found in one run."""

from __future__ import annotations

from collections.abc import Iterable
from itertools import chain

from gladegw.apps.model import App, Landscape
from gladegw.apps.sidecar import effective
from gladegw.routing.checks import check_classes, check_endpoints, check_table, classes_of
from gladegw.routing.findings import Finding, Place, nearest
from gladegw.routing.matcher import Table
from gladegw.routing.model import Description, Route
from gladegw.routing.overlap import overlaps
from gladegw.routing.read import check_references, find_cycles


def check(landscape: Landscape) -> list[Finding]:
    """Checks on top of what reading found."""
    findings: list[Finding] = []
    _collisions(landscape, findings)
    description = Description(
        routes=tuple({str(route): route for route in landscape.routes()}.values()),
        pools=tuple({pool.name: pool for pool in landscape.pools()}.values()),
        unchanged=landscape.platform.unchanged,
    )
    check_references(description, findings)
    _unused_pools(description, findings)
    table = Table(description)
    claimed: set[frozenset[str]] = set()
    for one, other, sure in overlaps(table.entries):
        claimed.add(frozenset((str(one.route), str(other.route))))
        word = "claim" if sure else "may both claim (a regular expression decides)"
        what = f"{one.route.app} and {other.route.app} {word} the same requests: {one.route}, {other.route}"
        findings.append(
            Finding("R102", other.route.place, what, one.route.place, "one application claims a request")
        )
    for finding in check_table(table):
        pair = {str(route) for route in description.routes if route.place in (finding.place, finding.other)}
        if not (finding.code == "R101" and frozenset(pair) in claimed):
            findings.append(finding)
    tenants = [name for app in landscape.apps for name, _ in app.tenants]
    findings += check_classes(description.routes, landscape.classes, tenants)
    for app in landscape.apps:
        _app(app, landscape, findings)
    _chains(landscape, findings)
    if landscape.endpoints is not None:
        findings += check_endpoints(description, landscape.endpoints)
    return sorted(set(findings), key=lambda found: (found.place, found.code, found.message))


def _collisions(landscape: Landscape, findings: list[Finding]) -> None:
    kinds: dict[str, Iterable[tuple[str, Place]]] = {
        "app": ((app.name, app.place) for app in landscape.apps),
        "class": ((rule.name, rule.place) for app in landscape.apps for rule in app.classes),
        "tenant": chain.from_iterable(app.tenants for app in landscape.apps),
        "pool": ((pool.name, pool.place) for pool in landscape.pools()),
    }
    for kind, named in kinds.items():
        first: dict[str, Place] = {}
        for name, place in named:
            before = first.setdefault(name, place)
            if before is not place and before.file != place.file:
                what = f"{kind} {name} is described twice"
                findings.append(Finding("R205", place, what, before, "rename one"))


def _unused_pools(description: Description, findings: list[Finding]) -> None:
    used = {name for route in description.routes for name in route.pools()}
    used |= {name for route in description.routes if route.split for name, _ in route.split.weights}
    used |= {route.mirror.pool for route in description.routes if route.mirror}
    used |= {name for pool in description.pools for name in pool.fallback}
    for pool in description.pools:
        if pool.name not in used:
            findings.append(Finding("R407", pool.place, f"pool {pool.name}: no route leads to it"))


def _app(app: App, landscape: Landscape, findings: list[Finding]) -> None:
    names = [other.name for other in landscape.apps]
    for name in app.calls:
        if name not in names:
            what = f"app {app.name} calls {name}, which is not described"
            findings.append(Finding("R204", app.calls_place, what, None, nearest(name, names)))
    classes = landscape.classes
    for name, count in app.retries:
        rule = classes.get(name)
        if rule is None:
            what = f"app {app.name}: unknown class {name}"
            findings.append(Finding("R202", app.retries_place, what, None, nearest(name, classes)))
        elif count > rule.attempts:
            what = f"app {app.name} allows itself {count} attempts of {name}; it permits {rule.attempts}"
            findings.append(Finding("R301", app.retries_place, what, rule.place))
    for one in app.expects:
        if one.app not in names:
            what = f"expectation {one.name}: unknown app {one.app}"
            findings.append(Finding("R204", one.place, what, None, nearest(one.app, names)))


def _by_class(app: App, landscape: Landscape) -> dict[str, list[Route]]:
    """The routes that an application claims, by the class they serve."""
    found: dict[str, list[Route]] = {}
    for route in app.routes:
        if route.pool or route.split:
            for name in classes_of(route, landscape.classes):
                if name in landscape.classes:
                    found.setdefault(name, []).append(route)
    return found


def _chains(landscape: Landscape, findings: list[Finding]) -> None:
    """What multiplies or runs out along the calls from one application to the next."""
    apps = {app.name: app for app in landscape.apps}
    edges = {app.name: app.calls for app in landscape.apps}
    found = find_cycles(edges)
    for circle in found:
        app = apps[circle[0]]
        what = "applications call each other in a circle: " + " -> ".join((*circle, circle[0]))
        other = apps[circle[1 % len(circle)]].calls_place
        findings.append(Finding("R404", app.calls_place, what, other if len(circle) > 1 else None))
    claimed = {app.name: _by_class(app, landscape) for app in landscape.apps}
    for app in landscape.apps:
        for name in app.calls:
            if name in apps and not any({app.name, name} <= set(circle) for circle in found):
                _timeouts(app, apps[name], claimed, findings)
    if not found:
        _products(landscape, claimed, findings)


def _timeouts(
    app: App, called: App, claimed: dict[str, dict[str, list[Route]]], findings: list[Finding]
) -> None:
    """A call within a request can't wait longer than the request's own caller does."""
    for cls, routes in claimed[app.name].items():
        own = [route for route in routes if route.timeout_ms]
        longest = max((route.timeout_ms for route in own), default=0.0)
        for route in claimed[called.name].get(cls, ()):
            if longest and route.timeout_ms > longest:
                what = (
                    f"route {route} waits {route.timeout_ms:g} ms; {app.name}, which calls it, is given "
                    f"{longest:g} ms for {cls}"
                )
                findings.append(Finding("R303", route.place, what, own[0].place))


Chain = tuple[int, tuple[str, ...]]  # attempts, and the applications along which they multiply


def _most(
    name: str,
    cls: str,
    landscape: Landscape,
    claimed: dict[str, dict[str, list[Route]]],
    worst: dict[str, Chain],
) -> Chain:
    """The dearest chain of calls that begins at an application."""
    if name not in worst:
        best: Chain = (1, (name,))
        app = landscape.app(name)
        assert app is not None
        for called in app.calls:
            for route in claimed.get(called, {}).get(cls, ()):
                count = effective(route, app, landscape).attempts or 1
                below, path = _most(called, cls, landscape, claimed, worst)
                best = max(best, (count * below, (name, *path)))
        worst[name] = best
    return worst[name]


def _products(
    landscape: Landscape, claimed: dict[str, dict[str, list[Route]]], findings: list[Finding]
) -> None:
    """Attempts of one request multiply from tier to tier."""
    limit = landscape.platform.attempts_over_tiers
    called = {name for app in landscape.apps for name in app.calls}
    for cls, rule in landscape.classes.items():
        worst: dict[str, Chain] = {}
        for app in landscape.apps:
            if app.name in called:
                continue
            count, path = _most(app.name, cls, landscape, claimed, worst)
            if count > limit:
                what = f"{count} attempts of one {cls} along {' -> '.join(path)}, above {limit}"
                findings.append(Finding("R302", app.place, what, rule.place))
