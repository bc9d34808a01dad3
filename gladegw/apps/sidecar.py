"""Builds each application's sidecar configuration: the routes of the applications that it calls."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace
from hashlib import blake2b

from gladegw.apps.model import App, Landscape
from gladegw.routing.cells import Undecided, cells
from gladegw.routing.checks import classes_of
from gladegw.routing.expect import outcome
from gladegw.routing.matcher import Table, refusals
from gladegw.routing.model import Description, Match, Pool, RequestView, Route

MAX_MOVED_EXAMPLES = 50  # example requests, one for each pair of old and new target


def route_for_caller(route: Route, app: App, landscape: Landscape) -> Route:
    """A called application's route as it stands in the caller's sidecar. Its attempts are the lowest of what
    the caller allows itself, the class permits and the route permits."""
    classes = landscape.classes
    class_names = [name for name in classes_of(route, classes) if name in classes]
    limits = [classes[name].attempts for name in class_names]
    own = dict(app.retries)
    limits += [own[name] for name in class_names if name in own]
    if route.attempts:
        limits.append(route.attempts)
    if not (route.pool or route.split) or not limits:
        return route
    return replace(route, attempts=min(limits))


def sidecar(app: App, landscape: Landscape) -> Description:
    """Routes and pools of one application's proxy. The result does not depend on the order in which the files
    were read."""
    called = [other for other in landscape.apps if other.name in app.calls]
    routes = sorted(
        (route_for_caller(route, app, landscape) for other in called for route in other.routes), key=str
    )
    known = landscape.known_pools
    wanted: dict[str, Pool] = {}
    pending = [name for route in routes for name in _pool_names(route)]
    while pending:
        name = pending.pop()
        if name in known and name not in wanted:
            wanted[name] = known[name]
            pending += known[name].fallback
    pools = tuple(wanted[name] for name in sorted(wanted))
    parts = "".join(f"{other.name}={other.digest};" for other in sorted((app, *called), key=lambda a: a.name))
    digest = blake2b(parts.encode(), digest_size=8).hexdigest()
    return Description(tuple(routes), pools, landscape.platform.unchanged, digest)


def _pool_names(route: Route) -> Iterable[str]:
    yield from route.pools()
    if route.split is not None:
        yield from (name for name, _ in route.split.weights)
    if route.mirror is not None:
        yield route.mirror.pool


@dataclass(frozen=True, slots=True)
class Difference:
    """What a change does to one sidecar."""

    app: str
    added: tuple[str, ...]  # routes, by application and name
    removed: tuple[str, ...]
    changed: tuple[str, ...]
    moved: tuple[tuple[str, str, str], ...]  # an example request, its old target, its new target
    complete: bool = True  # False: the comparison stopped early, so more requests may move

    def __bool__(self) -> bool:
        return bool(self.added or self.removed or self.changed or self.moved)


def _target_text(route: Route | None) -> str:
    if route is None:
        return "no route"
    text = outcome(route)
    start, end = text.find(" ("), text.find(") ")
    target = text[:start] + text[end + 1 :] if start > 0 else text
    details = [f"fallback {', '.join(route.fallback)}"] if route.fallback else []
    details += [f"{route.attempts} attempts"] if route.attempts else []
    details += [f"{route.timeout_ms:g} ms"] if route.timeout_ms else []
    return "; ".join([target, *details])


def difference(name: str, old: Description, new: Description) -> Difference:
    before = {str(route): route for route in old.routes}
    after = {str(route): route for route in new.routes}
    moved: dict[tuple[str, str], str] = {}
    complete = True
    try:
        for cell in cells([Table(old), Table(new)], Match()):
            old_winners, new_winners = cell.winners(0), cell.winners(1)
            if [w and w.route for w in old_winners] == [w and w.route for w in new_winners]:
                continue
            old_target = " or ".join(_target_text(w.route if w else None) for w in old_winners)
            new_target = " or ".join(_target_text(w.route if w else None) for w in new_winners)
            if old_target != new_target:
                moved.setdefault((old_target, new_target), str(cell))
            if len(moved) >= MAX_MOVED_EXAMPLES:
                complete = False
                break
    except Undecided:
        complete = False
    return Difference(
        app=name,
        added=tuple(sorted(after.keys() - before.keys())),
        removed=tuple(sorted(before.keys() - after.keys())),
        changed=tuple(sorted(key for key in before.keys() & after.keys() if before[key] != after[key])),
        moved=tuple((example, old_target, new_target) for (old_target, new_target), example in moved.items()),
        complete=complete,
    )


@dataclass(frozen=True, slots=True)
class Explanation:
    """The route that takes a request, and why each of the others does not."""

    outcome: str
    route: str
    why_not: tuple[tuple[str, str, int, tuple[str, ...]], ...]  # route, file, line, reasons


def explain(description: Description, ask: RequestView) -> Explanation:
    table = Table(description)
    winner = table.find(ask)
    others: dict[str, tuple[str, str, int, tuple[str, ...]]] = {}
    for entry in table.entries:
        if winner is not None and entry.route is winner.route:
            continue
        why = tuple(refusals(entry, ask)) or ("it matches, but a more specific one goes first",)
        name, place = str(entry.route), entry.route.place
        others.setdefault(name, (name, place.file, place.line, why))
    route = winner.route if winner is not None else None
    return Explanation(outcome(route), str(route) if route is not None else "", tuple(others.values()))


def parse_request(text: str) -> RequestView:
    """Parses `METHOD /path name:value ...`. The names host, budget_ms and source set the host, the time
    budget and the source address; all others are headers. Raises ValueError."""
    parts = text.split()
    if len(parts) < 2 or not parts[1].startswith("/"):
        raise ValueError("a request is METHOD /path name:value ...")
    values: dict[str, str] = {}
    for part in parts[2:]:
        name, colon, value = part.partition(":")
        if not colon or not name:
            raise ValueError(f"{part} is not name:value")
        values[name.lower()] = value
    budget = float(values.pop("budget_ms", "1000"))
    source = values.pop("source", "")
    raw = [
        (name.encode("latin-1", "replace"), value.encode("latin-1", "replace"))
        for name, value in values.items()
        if name != "host"
    ]
    return RequestView(
        parts[0].upper(), parts[1], values.get("host", ""), raw, budget, values.get("x-caller", ""), source
    )
