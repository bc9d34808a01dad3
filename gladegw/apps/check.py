"""Checks a whole set of application descriptions and reports all findings in one run."""

from __future__ import annotations

from collections.abc import Iterable
from itertools import chain

from gladegw.apps.model import App, Landscape
from gladegw.apps.sidecar import route_for_caller
from gladegw.routing.checks import check_classes, check_endpoints, check_table, classes_of
from gladegw.routing.findings import Finding, Place, nearest
from gladegw.routing.matcher import Table
from gladegw.routing.model import Description, Route
from gladegw.routing.overlap import overlaps
from gladegw.routing.read import check_references, find_cycles


def check(landscape: Landscape) -> list[Finding]:
    """Checks the descriptions against each other; faults found while reading a file are not repeated here."""
    findings: list[Finding] = []
    _check_name_collisions(landscape, findings)
    description = Description(
        routes=tuple({str(route): route for route in landscape.routes()}.values()),
        pools=tuple({pool.name: pool for pool in landscape.pools()}.values()),
        unchanged=landscape.platform.unchanged,
    )
    check_references(description, findings)
    _check_unused_pools(description, findings)
    table = Table(description)
    claimed: set[frozenset[str]] = set()
    for first, second, certain in overlaps(table.entries):
        claimed.add(frozenset((str(first.route), str(second.route))))
        verb = "claim" if certain else "may both claim (a regular expression decides)"
        message = (
            f"{first.route.app} and {second.route.app} {verb} the same requests: "
            f"{first.route}, {second.route}"
        )
        findings.append(
            Finding(
                "R102", second.route.place, message, first.route.place, "one application claims a request"
            )
        )
    for finding in check_table(table):
        pair = {str(route) for route in description.routes if route.place in (finding.place, finding.other)}
        if not (finding.code == "R101" and frozenset(pair) in claimed):
            findings.append(finding)
    tenants = [name for app in landscape.apps for name, _ in app.tenants]
    findings += check_classes(description.routes, landscape.classes, tenants)
    for app in landscape.apps:
        _check_app(app, landscape, findings)
    _check_call_graph(landscape, findings)
    if landscape.endpoints is not None:
        findings += check_endpoints(description, landscape.endpoints)
    return sorted(set(findings), key=lambda found: (found.place, found.code, found.message))


def _check_name_collisions(landscape: Landscape, findings: list[Finding]) -> None:
    kinds: dict[str, Iterable[tuple[str, Place]]] = {
        "app": ((app.name, app.place) for app in landscape.apps),
        "class": ((rule.name, rule.place) for app in landscape.apps for rule in app.classes),
        "tenant": chain.from_iterable(app.tenants for app in landscape.apps),
        "pool": ((pool.name, pool.place) for pool in landscape.pools()),
    }
    for kind, named in kinds.items():
        first: dict[str, Place] = {}
        for name, place in named:
            earlier = first.setdefault(name, place)
            if earlier is not place and earlier.file != place.file:
                message = f"{kind} {name} is described twice"
                findings.append(Finding("R205", place, message, earlier, "rename one"))


def _check_unused_pools(description: Description, findings: list[Finding]) -> None:
    used = {name for route in description.routes for name in route.pools()}
    used |= {name for route in description.routes if route.split for name, _ in route.split.weights}
    used |= {route.mirror.pool for route in description.routes if route.mirror}
    used |= {name for pool in description.pools for name in pool.fallback}
    for pool in description.pools:
        if pool.name not in used:
            findings.append(Finding("R407", pool.place, f"pool {pool.name}: no route leads to it"))


def _check_app(app: App, landscape: Landscape, findings: list[Finding]) -> None:
    names = [other.name for other in landscape.apps]
    for name in app.calls:
        if name not in names:
            message = f"app {app.name} calls {name}, which is not described"
            findings.append(Finding("R204", app.calls_place, message, None, nearest(name, names)))
    classes = landscape.classes
    for name, count in app.retries:
        rule = classes.get(name)
        if rule is None:
            message = f"app {app.name}: unknown class {name}"
            findings.append(Finding("R202", app.retries_place, message, None, nearest(name, classes)))
        elif count > rule.attempts:
            message = f"app {app.name} allows itself {count} attempts of {name}; it permits {rule.attempts}"
            findings.append(Finding("R301", app.retries_place, message, rule.place))
    for expectation in app.expects:
        if expectation.app not in names:
            message = f"expectation {expectation.name}: unknown app {expectation.app}"
            findings.append(
                Finding("R204", expectation.place, message, None, nearest(expectation.app, names))
            )


def _routes_by_class(app: App, landscape: Landscape) -> dict[str, list[Route]]:
    """The routes by which an application is reached, grouped by the request class they serve.

    Redirects and fixed answers are left out: they lead to no pool.
    """
    found: dict[str, list[Route]] = {}
    for route in app.routes:
        if route.pool or route.split:
            for name in classes_of(route, landscape.classes):
                if name in landscape.classes:
                    found.setdefault(name, []).append(route)
    return found


def _check_call_graph(landscape: Landscape, findings: list[Finding]) -> None:
    """Checks the graph of calls between applications: cycles, timeouts and multiplied attempts."""
    apps = {app.name: app for app in landscape.apps}
    edges = {app.name: app.calls for app in landscape.apps}
    cycles = find_cycles(edges)
    for cycle in cycles:
        app = apps[cycle[0]]
        message = "applications call each other in a circle: " + " -> ".join((*cycle, cycle[0]))
        other = apps[cycle[1 % len(cycle)]].calls_place
        findings.append(Finding("R404", app.calls_place, message, other if len(cycle) > 1 else None))
    claimed = {app.name: _routes_by_class(app, landscape) for app in landscape.apps}
    for app in landscape.apps:
        for name in app.calls:
            if name in apps and not any({app.name, name} <= set(cycle) for cycle in cycles):
                _check_timeouts(app, apps[name], claimed, findings)
    if not cycles:
        _check_total_attempts(landscape, claimed, findings)


def _check_timeouts(
    app: App, called: App, claimed: dict[str, dict[str, list[Route]]], findings: list[Finding]
) -> None:
    """A called application's route must not have a longer timeout than the route of the application that
    calls it: the caller has given up by then."""
    for cls, routes in claimed[app.name].items():
        own = [route for route in routes if route.timeout_ms]
        longest = max((route.timeout_ms for route in own), default=0.0)
        for route in claimed[called.name].get(cls, ()):
            if longest and route.timeout_ms > longest:
                message = (
                    f"route {route} waits {route.timeout_ms:g} ms; {app.name}, which calls it, is given "
                    f"{longest:g} ms for {cls}"
                )
                findings.append(Finding("R303", route.place, message, own[0].place))


CallChain = tuple[int, tuple[str, ...]]  # product of the attempts; names of the applications called in turn


def _worst_chain(
    name: str,
    cls: str,
    landscape: Landscape,
    claimed: dict[str, dict[str, list[Route]]],
    worst: dict[str, CallChain],
) -> CallChain:
    """The chain of calls from an application that can cause the most attempts. `worst` caches the results by
    application; the call graph must have no cycle."""
    if name not in worst:
        best: CallChain = (1, (name,))
        app = landscape.app(name)
        assert app is not None
        for called in app.calls:
            for route in claimed.get(called, {}).get(cls, ()):
                count = route_for_caller(route, app, landscape).attempts or 1
                called_count, path = _worst_chain(called, cls, landscape, claimed, worst)
                best = max(best, (count * called_count, (name, *path)))
        worst[name] = best
    return worst[name]


def _check_total_attempts(
    landscape: Landscape, claimed: dict[str, dict[str, list[Route]]], findings: list[Finding]
) -> None:
    """Each tier's retries multiply those of the tier above; the product has to stay within the platform's
    limit."""
    limit = landscape.platform.attempts_over_tiers
    called = {name for app in landscape.apps for name in app.calls}
    for cls, rule in landscape.classes.items():
        worst: dict[str, CallChain] = {}
        for app in landscape.apps:
            if app.name in called:
                continue
            count, path = _worst_chain(app.name, cls, landscape, claimed, worst)
            if count > limit:
                message = f"{count} attempts of one {cls} along {' -> '.join(path)}, above {limit}"
                findings.append(Finding("R302", app.place, message, rule.place))
