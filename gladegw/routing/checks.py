"""Checks of a whole route table, and of its routes against the classes that they serve."""

from __future__ import annotations

from collections.abc import Iterator, Mapping, Sequence
from itertools import combinations

from gladegw.routing.cells import can_both_match, reachability
from gladegw.routing.findings import Finding, nearest
from gladegw.routing.matcher import Entry, Rank, Table
from gladegw.routing.model import ClassRule, Description, Endpoint, Route
from gladegw.routing.pools import selects
from gladegw.routing.regex import literal_start


def check_table(table: Table) -> list[Finding]:
    """Findings for ties and for routes that no request reaches."""
    return [*tied(table), *_unreached(table)]


def tied(table: Table) -> list[Finding]:
    """Findings for routes of equal precedence that can match the same request: which one takes it would
    depend on their names."""
    equal: dict[Rank, list[Entry]] = {}
    for entry in table.entries:
        path = entry.match.path
        text = "" if path.kind == "regex" else path.value  # unless the texts are equal, they can't both match
        equal.setdefault((*entry.rank, entry.host, text), []).append(entry)
    found: dict[tuple[str, str], Finding] = {}
    for entries in equal.values():
        for one, other in _pairs(entries):
            if one.route is other.route or can_both_match(one, other) is False:
                continue
            message = f"routes {one.route} and {other.route} can match the same request with equal precedence"
            hint = "make one of them more specific"
            place, before = sorted((other.match.place, one.match.place), reverse=True)
            found.setdefault(
                (str(one.route), str(other.route)), Finding("R101", place, message, before, hint)
            )
    return list(found.values())


def _pairs(entries: list[Entry]) -> Iterator[tuple[Entry, Entry]]:
    """Pairs that may match the same request. Two regular expressions can do so only if the literal start of
    one begins with that of the other."""
    if entries[0].match.path.kind != "regex":
        yield from combinations(entries, 2)
        return
    starts = sorted(
        ((literal_start(entry.match.path.value), entry) for entry in entries), key=lambda item: item[0]
    )
    for number, (start, entry) in enumerate(starts):
        for other_start, other in starts[number + 1 :]:
            if not other_start.startswith(start):
                break
            yield entry, other


def _unreached(table: Table) -> list[Finding]:
    by_route: dict[int, list[Entry]] = {}
    for entry in table.entries:
        by_route.setdefault(id(entry.route), []).append(entry)
    found = []
    for entries in by_route.values():
        route = entries[0].route
        states = [reachability(table, entry) for entry in entries]
        if any(state in ("yes", "maybe") for state, _ in states):
            continue
        before = [other.route for _, others in states for other in others if other.route is not route]
        if before:
            names = ", ".join(dict.fromkeys(str(other) for other in before))
            message = f"route {route} is never reached: {names} takes all that it matches"
            found.append(Finding("R103", route.place, message, before[0].place))
        elif all(state == "nothing" for state, _ in states):
            message = f"route {route} matches no request: its matchers exclude each other"
            found.append(Finding("R104", route.place, message))
    return found


def classes_of(route: Route, classes: Mapping[str, ClassRule]) -> list[str]:
    """The classes whose requests a route may serve, according to its matchers."""
    if route.cls:
        return [route.cls]
    found: dict[str, None] = {}
    for match in route.matches:
        first = match.path.value[1:].partition("/")[0] if match.path.kind != "regex" else ""
        if match.classes:
            found.update(dict.fromkeys(match.classes))
        elif first:
            found[first] = None
        else:
            found.update(dict.fromkeys(classes))
    return list(found)


def check_classes(
    routes: Sequence[Route], classes: Mapping[str, ClassRule], tenants: Sequence[str] | None = None
) -> list[Finding]:
    """Findings for attempts, timeouts and mirrors that a class does not permit, and for unknown names."""
    found = []
    for route in routes:
        named = [*((route.cls,) if route.cls else ()), *(n for m in route.matches for n in m.classes)]
        for name in dict.fromkeys(named):
            if name not in classes:
                message = f"route {route}: unknown class {name}"
                found.append(Finding("R202", route.place, message, None, nearest(name, classes)))
        if tenants is not None:
            for match in route.matches:
                for name in match.tenants:
                    if name not in tenants:
                        message = f"route {route}: unknown tenant {name}"
                        found.append(Finding("R203", match.place, message, None, nearest(name, tenants)))
        for name in classes_of(route, classes):
            rule = classes.get(name)
            if rule is None:
                if name not in named and (route.pool or route.split):
                    message = f"route {route}: the class of its path is unknown ({name})"
                    found.append(Finding("R202", route.place, message, None, nearest(name, classes)))
                continue
            found += _check_class(route, rule)
    return found


def _check_class(route: Route, rule: ClassRule) -> list[Finding]:
    found = []
    if route.attempts > rule.attempts:
        message = f"route {route} allows {route.attempts} attempts; class {rule.name} permits {rule.attempts}"
        found.append(Finding("R301", route.place, message, rule.place))
    if route.timeout_ms > rule.timeout_ms:
        message = (
            f"route {route} waits {route.timeout_ms:g} ms; callers of class {rule.name} wait "
            f"{rule.timeout_ms:g} ms"
        )
        found.append(Finding("R303", route.place, message, rule.place))
    elif 0 < route.timeout_ms < rule.aim_ms:
        message = (
            f"route {route} waits {route.timeout_ms:g} ms; class {rule.name} aims at " f"{rule.aim_ms:g} ms"
        )
        found.append(Finding("R304", route.place, message, rule.place))
    if route.mirror is not None and rule.effect != "repeatable":
        message = f"route {route} mirrors class {rule.name}, which is not safe to repeat"
        found.append(Finding("R402", route.place, message, rule.place, "mirror repeatable classes only"))
    return found


def check_endpoints(description: Description, endpoints: Sequence[Endpoint]) -> list[Finding]:
    found = []
    for pool in description.pools:
        if not any(one.status != "Gone" and selects(pool.selector, one) for one in endpoints):
            message = f"pool {pool.name}: its selector matches none of {len(endpoints)} endpoints"
            found.append(Finding("R405", pool.place, message))
    return found
