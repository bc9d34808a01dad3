"""What is wrong with a whole table, and with its routes against the classes they serve."""

from __future__ import annotations

from collections.abc import Iterator, Mapping, Sequence
from itertools import combinations

from gladegw.routing.cells import meet, reach
from gladegw.routing.findings import Finding, nearest
from gladegw.routing.matcher import Entry, Rank, Table
from gladegw.routing.model import ClassRule, Description, Endpoint, Route
from gladegw.routing.pools import selects
from gladegw.routing.regex import literal_start


def check_table(table: Table) -> list[Finding]:
    """Ties, and routes that nothing reaches."""
    return [*tied(table), *_unreached(table)]


def tied(table: Table) -> list[Finding]:
    """Routes of equal precedence that can match the same request: who takes it would be a surprise."""
    equal: dict[Rank, list[Entry]] = {}
    for entry in table.entries:
        path = entry.match.path
        text = "" if path.kind == "regex" else path.value  # equal texts, or they can't both match
        equal.setdefault((*entry.rank, entry.host, text), []).append(entry)
    found: dict[tuple[str, str], Finding] = {}
    for entries in equal.values():
        for one, other in _pairs(entries):
            if one.route is other.route or meet(one, other) is False:
                continue
            what = f"routes {one.route} and {other.route} can match the same request with equal precedence"
            hint = "make one of them more specific"
            place, before = sorted((other.match.place, one.match.place), reverse=True)
            found.setdefault((str(one.route), str(other.route)), Finding("R101", place, what, before, hint))
    return list(found.values())


def _pairs(entries: list[Entry]) -> Iterator[tuple[Entry, Entry]]:
    """Pairs that may meet: of regular expressions only those of which one's literal start begins the
    other's."""
    if entries[0].match.path.kind != "regex":
        yield from combinations(entries, 2)
        return
    starts = sorted(
        ((literal_start(entry.match.path.value), entry) for entry in entries), key=lambda one: one[0]
    )
    for number, (start, one) in enumerate(starts):
        for other_start, other in starts[number + 1 :]:
            if not other_start.startswith(start):
                break
            yield one, other


def _unreached(table: Table) -> list[Finding]:
    by_route: dict[int, list[Entry]] = {}
    for entry in table.entries:
        by_route.setdefault(id(entry.route), []).append(entry)
    found = []
    for entries in by_route.values():
        route = entries[0].route
        states = [reach(table, entry) for entry in entries]
        if any(state in ("yes", "maybe") for state, _ in states):
            continue
        before = [other.route for _, others in states for other in others if other.route is not route]
        if before:
            names = ", ".join(dict.fromkeys(str(other) for other in before))
            what = f"route {route} is never reached: {names} takes all that it matches"
            found.append(Finding("R103", route.place, what, before[0].place))
        elif all(state == "nothing" for state, _ in states):
            what = f"route {route} matches no request: its matchers exclude each other"
            found.append(Finding("R104", route.place, what))
    return found


def classes_of(route: Route, classes: Mapping[str, ClassRule]) -> list[str]:
    """The classes whose requests a route may serve, as far as its matchers tell."""
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
    """Attempts, timeouts and mirrors against what the classes permit, and names that nothing has."""
    found = []
    for route in routes:
        named = [*((route.cls,) if route.cls else ()), *(n for m in route.matches for n in m.classes)]
        for name in dict.fromkeys(named):
            if name not in classes:
                what = f"route {route}: unknown class {name}"
                found.append(Finding("R202", route.place, what, None, nearest(name, classes)))
        if tenants is not None:
            for match in route.matches:
                for name in match.tenants:
                    if name not in tenants:
                        what = f"route {route}: unknown tenant {name}"
                        found.append(Finding("R203", match.place, what, None, nearest(name, tenants)))
        for name in classes_of(route, classes):
            rule = classes.get(name)
            if rule is None:
                if name not in named and (route.pool or route.split):
                    what = f"route {route}: its path is of no known class ({name})"
                    found.append(Finding("R202", route.place, what, None, nearest(name, classes)))
                continue
            found += _against(route, rule)
    return found


def _against(route: Route, rule: ClassRule) -> list[Finding]:
    found = []
    if route.attempts > rule.attempts:
        what = f"route {route} allows {route.attempts} attempts; class {rule.name} permits {rule.attempts}"
        found.append(Finding("R301", route.place, what, rule.place))
    if route.timeout_ms > rule.timeout_ms:
        what = (
            f"route {route} waits {route.timeout_ms:g} ms; callers of class {rule.name} wait "
            f"{rule.timeout_ms:g} ms"
        )
        found.append(Finding("R303", route.place, what, rule.place))
    elif 0 < route.timeout_ms < rule.aim_ms:
        what = (
            f"route {route} waits {route.timeout_ms:g} ms; class {rule.name} aims at " f"{rule.aim_ms:g} ms"
        )
        found.append(Finding("R304", route.place, what, rule.place))
    if route.mirror is not None and rule.effect != "repeatable":
        what = f"route {route} mirrors class {rule.name}, which is not safe to repeat"
        found.append(Finding("R402", route.place, what, rule.place, "mirror repeatable classes only"))
    return found


def check_endpoints(description: Description, endpoints: Sequence[Endpoint]) -> list[Finding]:
    found = []
    for pool in description.pools:
        if not any(one.status != "Gone" and selects(pool.selector, one) for one in endpoints):
            what = f"pool {pool.name}: its selector matches none of {len(endpoints)} endpoints"
            found.append(Finding("R405", pool.place, what))
    return found
