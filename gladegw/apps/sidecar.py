"""What each application's sidecar routes: what the applications that it calls claim."""

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

MOST_MOVED = 50  # examples of requests that a change moves


def effective(route: Route, app: App, landscape: Landscape) -> Route:
    """A claimed route as the caller's sidecar has it: with the attempts that the caller allows itself, never
    above what the class or the route permits."""
    classes = landscape.classes
    named = [name for name in classes_of(route, classes) if name in classes]
    bounds = [classes[name].attempts for name in named]
    own = dict(app.retries)
    bounds += [own[name] for name in named if name in own]
    if route.attempts:
        bounds.append(route.attempts)
    if not (route.pool or route.split) or not bounds:
        return route
    return replace(route, attempts=min(bounds))


def sidecar(app: App, landscape: Landscape) -> Description:
    """Routes and pools of one application's proxy, whatever order the files were read in."""
    called = [other for other in landscape.apps if other.name in app.calls]
    routes = sorted((effective(route, app, landscape) for other in called for route in other.routes), key=str)
    known = landscape.known_pools
    wanted: dict[str, Pool] = {}
    waiting = [name for route in routes for name in _pools(route)]
    while waiting:
        name = waiting.pop()
        if name in known and name not in wanted:
            wanted[name] = known[name]
            waiting += known[name].fallback
    pools = tuple(wanted[name] for name in sorted(wanted))
    parts = "".join(f"{other.name}={other.digest};" for other in sorted((app, *called), key=lambda a: a.name))
    digest = blake2b(parts.encode(), digest_size=8).hexdigest()
    return Description(tuple(routes), pools, landscape.platform.unchanged, digest)


def _pools(route: Route) -> Iterable[str]:
    yield from route.pools()
    if route.split is not None:
        yield from (name for name, _ in route.split.weights)
    if route.mirror is not None:
        yield route.mirror.pool


@dataclass(frozen=True, slots=True)
class Difference:
    """What a change does to one sidecar."""

    app: str
    added: tuple[str, ...]  # routes
    removed: tuple[str, ...]
    changed: tuple[str, ...]
    moved: tuple[tuple[str, str, str], ...]  # requests, with where they went and where they go
    complete: bool = True  # all cells were looked at

    def __bool__(self) -> bool:
        return bool(self.added or self.removed or self.changed or self.moved)


def _without_places(route: Route | None) -> str:
    if route is None:
        return "no route"
    text = outcome(route)
    start, end = text.find(" ("), text.find(") ")
    told = text[:start] + text[end + 1 :] if start > 0 else text
    more = [f"fallback {', '.join(route.fallback)}"] if route.fallback else []
    more += [f"{route.attempts} attempts"] if route.attempts else []
    more += [f"{route.timeout_ms:g} ms"] if route.timeout_ms else []
    return "; ".join([told, *more])


def difference(name: str, old: Description, new: Description) -> Difference:
    before = {str(route): route for route in old.routes}
    after = {str(route): route for route in new.routes}
    moved: dict[tuple[str, str], str] = {}
    complete = True
    try:
        for cell in cells([Table(old), Table(new)], Match()):
            then, now = cell.winners(0), cell.winners(1)
            if [w and w.route for w in then] == [w and w.route for w in now]:
                continue
            told = " or ".join(_without_places(w.route if w else None) for w in then)
            tells = " or ".join(_without_places(w.route if w else None) for w in now)
            if told != tells:
                moved.setdefault((told, tells), str(cell))
            if len(moved) >= MOST_MOVED:
                complete = False
                break
    except Undecided:
        complete = False
    return Difference(
        app=name,
        added=tuple(sorted(after.keys() - before.keys())),
        removed=tuple(sorted(before.keys() - after.keys())),
        changed=tuple(sorted(key for key in before.keys() & after.keys() if before[key] != after[key])),
        moved=tuple((example, told, tells) for (told, tells), example in moved.items()),
        complete=complete,
    )


@dataclass(frozen=True, slots=True)
class Explained:
    """Who takes a request, and why each other route does not."""

    outcome: str
    route: str
    why_not: tuple[tuple[str, str, int, tuple[str, ...]], ...]  # route, file, line, reasons


def explain(description: Description, ask: RequestView) -> Explained:
    table = Table(description)
    won = table.find(ask)
    others: dict[str, tuple[str, str, int, tuple[str, ...]]] = {}
    for entry in table.entries:
        if won is not None and entry.route is won.route:
            continue
        why = tuple(refusals(entry, ask)) or ("it matches, but a more specific one goes first",)
        name, place = str(entry.route), entry.route.place
        others.setdefault(name, (name, place.file, place.line, why))
    route = won.route if won is not None else None
    return Explained(outcome(route), str(route) if route is not None else "", tuple(others.values()))


def asked(text: str) -> RequestView:
    """`METHOD TARGET name:value ...`; host, budget_ms and source are names too. Raises ValueError."""
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
