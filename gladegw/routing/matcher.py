"""The compiled table: an immutable matcher whose look-up does not grow with the routes.
 Precedence, the most specific first, in the order of the Gateway API (HTTPRoute, precedence of rules): an
exact host before a wildcard (the longer first) before any host; an exact path before a regular expression
(the longer first) before a prefix (the longer first); a method; more headers; more query parameters; and
beyond that API a source range (the narrower first), tenants, classes, a range of remaining time (the narrower
first). Two routes that are equal in all of this and can match the same request are an error when the table is
checked.
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass
from typing import Any

from gladegw.routing import regex
from gladegw.routing.model import TENANT_HEADER, Ask, Description, Match, Network, Path, Route, Text

Rank = tuple[Any, ...]  # the lower goes first
Condition = Callable[[Ask], bool]
PATH_ORDER = {"exact": 0, "regex": 1, "prefix": 2}
WIDEST = 1e18


def rank_of(match: Match, host: str) -> Rank:
    wild = host.startswith("*.")
    budget = match.budget_ms
    width = min((net.prefixlen for net in match.sources), default=-1)
    return (
        0 if host and not wild else 1 if wild else 2,
        -len(host),
        PATH_ORDER[match.path.kind],
        -len(match.path.value),
        0 if match.methods else 1,
        -len(match.headers),
        -len(match.query),
        -width,
        0 if match.tenants else 1,
        0 if match.classes else 1,
        budget[1] - budget[0] if budget is not None else WIDEST,
    )


def text_holds(text: Text, value: str | None) -> bool:
    if value is None:
        return False
    if text.kind == "is":
        return value == text.value
    return text.kind == "present" or regex.full(text.value, value)


def source_holds(networks: tuple[Network, ...], ask: Ask) -> bool:
    address = ask.address
    return address is not None and any(address in net for net in networks)


def conditions(match: Match) -> tuple[Condition, ...]:
    """What is left to ask once host and path hold, the cheapest first."""
    found: list[Condition] = []
    if match.methods:
        methods = frozenset(match.methods)
        found.append(lambda ask: ask.method in methods)
    if match.tenants:
        tenants = frozenset(match.tenants)
        found.append(lambda ask: ask.tenant in tenants)
    if match.classes:
        classes = frozenset(match.classes)
        found.append(lambda ask: ask.cls in classes)
    if match.budget_ms is not None:
        low, high = match.budget_ms
        found.append(lambda ask: low <= ask.budget_ms < high)
    for text in match.headers:
        found.append(lambda ask, text=text: text_holds(text, ask.headers.get(text.name)))  # type: ignore[misc]
    for text in match.query:
        found.append(lambda ask, text=text: text_holds(text, ask.query.get(text.name)))  # type: ignore[misc]
    if match.sources:
        networks = match.sources
        found.append(lambda ask: source_holds(networks, ask))
    return tuple(found)


@dataclass(frozen=True, slots=True, eq=False)
class Entry:
    """One host of one match of a route, with its place in the order."""

    rank: Rank
    route: Route
    match: Match
    host: str  # empty: any
    rest: tuple[Condition, ...]

    @property
    def order(self) -> Rank:
        return (*self.rank, str(self.route), self.route.matches.index(self.match))

    def holds(self, ask: Ask) -> bool:
        return all(condition(ask) for condition in self.rest)


def host_holds(pattern: str, host: str) -> bool:
    """A wildcard stands for one label or more (Gateway API, Hostname)."""
    if not pattern:
        return True
    if pattern.startswith("*."):
        return host.endswith(pattern[1:]) and len(host) > len(pattern) - 1
    return host == pattern


def path_holds(wanted: Path, path: str) -> bool:
    if wanted.kind == "exact":
        return path == wanted.value
    if wanted.kind == "prefix":
        return path == wanted.value or path.startswith(wanted.value + "/")
    return regex.full(wanted.value, path)


class Paths:
    """All entries of one host pattern, by path."""

    __slots__ = ("deepest", "exact", "prefixes", "regexes", "regexes_deepest", "starts")

    def __init__(self, entries: Sequence[Entry]) -> None:
        self.exact: dict[str, list[Entry]] = {}
        self.prefixes: dict[str, list[Entry]] = {}
        # By the folder that a pattern's literal start lies in: only these can hold for a path below it.
        self.regexes: dict[str, list[tuple[int, Any, Entry]]] = {}
        starts: list[tuple[str, int, Entry]] = []
        for place, entry in enumerate(sorted(entries, key=lambda one: one.order)):
            path = entry.match.path
            if path.kind == "exact":
                self.exact.setdefault(path.value, []).append(entry)
            elif path.kind == "prefix":
                self.prefixes.setdefault(path.value, []).append(entry)
            else:
                start = regex.literal_start(path.value)
                starts.append((start, place, entry))
                item = (place, regex.compiled(path.value), entry)
                self.regexes.setdefault(start[: max(0, start.rfind("/"))], []).append(item)
        self.starts = sorted(starts, key=lambda one: one[:2])
        self.deepest = max((prefix.count("/") for prefix in self.prefixes), default=-1)
        self.regexes_deepest = max((folder.count("/") for folder in self.regexes), default=-1)

    def groups(self, path: str) -> Iterator[Sequence[Entry]]:
        """Entries whose path holds, the first in the order first."""
        found = self.exact.get(path)
        if found is not None:
            yield found
        if self.regexes:
            found = [item[2] for item in self.near(path) if item[1].fullmatch(path) is not None]
            if found:
                yield found
        if self.deepest < 0:
            return
        prefixes = self.prefixes
        path = cut(path, self.deepest)
        while True:
            found = prefixes.get(path)
            if found is not None:
                yield found
            if not path:
                return
            path = path[: path.rfind("/")]

    def near(self, path: str) -> list[tuple[int, Any, Entry]]:
        """Regular expressions whose literal start does not rule a path out, in their order."""
        found: list[tuple[int, Any, Entry]] = []
        at = cut(path, self.regexes_deepest + 1)
        while True:
            at = at[: max(0, at.rfind("/"))]
            found += self.regexes.get(at, ())
            if not at:
                break
        if len(found) > 1:
            found.sort(key=lambda item: item[0])
        return found

    def below(self, folder: str) -> list[Entry]:
        """Regular expressions that may hold for some path below a folder (`/a/`), in their order."""
        found = [(place, entry) for place, _, entry in self.near(folder)]
        for number in range(bisect_left(self.starts, folder, key=lambda one: one[0]), len(self.starts)):
            start, place, entry = self.starts[number]
            if not start.startswith(folder):
                break
            found.append((place, entry))
        return [entry for _, entry in sorted(dict(found).items())]


def cut(path: str, deepest: int) -> str:
    """A path deeper than any that is named: only so many segments count."""
    if path.count("/") > deepest:
        return "/".join(path.split("/", deepest + 1)[: deepest + 1])
    return path


class Table:
    """Immutable once made. `find` is pure: the same request always gets the same entry."""

    __slots__ = (
        "any_host",
        "classes",
        "description",
        "entries",
        "exact_hosts",
        "hosts",
        "segments",
        "wild_hosts",
    )

    def __init__(self, description: Description) -> None:
        self.description = description
        self.entries: tuple[Entry, ...] = tuple(
            sorted(
                (
                    Entry(rank_of(match, host), route, match, host, conditions(match))
                    for route in description.routes
                    for match in route.matches
                    for host in match.hosts or ("",)
                ),
                key=lambda entry: entry.order,
            )
        )
        by_host: dict[str, list[Entry]] = {}
        for entry in self.entries:
            by_host.setdefault(entry.host, []).append(entry)
        self.any_host = Paths(by_host.pop("", []))
        self.exact_hosts: dict[str, Paths] = {}
        self.wild_hosts: dict[str, Paths] = {}  # by what follows the star, dot included
        for host, entries in by_host.items():
            if host.startswith("*."):
                self.wild_hosts[host[1:]] = Paths(entries)
            else:
                self.exact_hosts[host] = Paths(entries)
        self.hosts = tuple(sorted(by_host))  # patterns
        matches = [entry.match for entry in self.entries]
        self.classes = tuple(sorted({name for match in matches for name in match.classes}))
        self.segments = frozenset(part for match in matches for part in match.path.value.split("/"))

    def paths(self, host: str) -> Iterator[Paths]:
        """What may serve a host, the most specific first."""
        if self.exact_hosts:
            found = self.exact_hosts.get(host)
            if found is not None:
                yield found
        if self.wild_hosts:
            dot = host.find(".", 1)
            while dot > 0:
                found = self.wild_hosts.get(host[dot:])
                if found is not None:
                    yield found
                dot = host.find(".", dot + 1)
        yield self.any_host

    def find(self, ask: Ask) -> Entry | None:
        """The first entry in the order that matches, or None."""
        for paths in self.paths(ask.host):
            for group in paths.groups(ask.path):
                for entry in group:
                    for condition in entry.rest:
                        if not condition(ask):
                            break
                    else:
                        return entry
        return None


def refusals(entry: Entry, ask: Ask) -> list[str]:
    """Why an entry does not take a request: each matcher that does not hold, in words."""
    match, found = entry.match, []
    if not host_holds(entry.host, ask.host):
        found.append(f"host {ask.host or '(none)'} is not {entry.host}")
    if not path_holds(match.path, ask.path):
        found.append(f"path {ask.path} is not {match.path}")
    if match.methods and ask.method not in match.methods:
        found.append(f"method {ask.method} is not {' or '.join(match.methods)}")
    if match.tenants and ask.tenant not in match.tenants:
        found.append(f"{TENANT_HEADER} {ask.tenant or '(none)'} is not {' or '.join(match.tenants)}")
    if match.classes and ask.cls not in match.classes:
        found.append(f"class {ask.cls} is not {' or '.join(match.classes)}")
    if match.budget_ms is not None and not match.budget_ms[0] <= ask.budget_ms < match.budget_ms[1]:
        low, high = match.budget_ms
        found.append(f"remaining time {ask.budget_ms:g} ms is not in [{low:g}, {high:g})")
    for kind, texts, values in (("header", match.headers, ask.headers), ("query", match.query, ask.query)):
        for text in texts:
            value = values.get(text.name)
            if not text_holds(text, value):
                wanted = "present" if text.kind == "present" else f"{text.kind} {text.value!r}"
                found.append(
                    f"{kind} {text.name} {value!r} is not {wanted}"
                    if value is not None
                    else f"{kind} {text.name} is missing"
                )
    if match.sources and not source_holds(match.sources, ask):
        nets = " or ".join(map(str, match.sources))
        found.append(f"source {ask.source or '(none)'} is not in {nets}")
    return found
