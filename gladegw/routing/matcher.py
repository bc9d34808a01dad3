"""The compiled route table: immutable, with a look-up time that does not grow with the number of routes.

Precedence, the most specific first, follows the Gateway API (HTTPRoute, precedence of rules): an exact host
before a wildcard host (the longer first) before no host; an exact path before a regular expression (the
longer first) before a prefix (the longer first); with a method; more headers; more query parameters. Beyond
that API: a source range (the narrower first), tenants, classes, a range of remaining time (the narrower
first). The check of the table reports two routes that are equal in all of this and can match the same
request.
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass
from typing import Any

from gladegw.routing import regex
from gladegw.routing.model import TENANT_HEADER, Description, Match, Network, Path, RequestView, Route, Text

Rank = tuple[Any, ...]  # the lowest has precedence
Condition = Callable[[RequestView], bool]
PATH_ORDER = {"exact": 0, "regex": 1, "prefix": 2}
UNBOUNDED_WIDTH = 1e18


def rank_of(match: Match, host: str) -> Rank:
    wildcard = host.startswith("*.")
    budget = match.budget_ms
    prefix_length = min((net.prefixlen for net in match.sources), default=-1)
    return (
        0 if host and not wildcard else 1 if wildcard else 2,
        -len(host),
        PATH_ORDER[match.path.kind],
        -len(match.path.value),
        0 if match.methods else 1,
        -len(match.headers),
        -len(match.query),
        -prefix_length,
        0 if match.tenants else 1,
        0 if match.classes else 1,
        budget[1] - budget[0] if budget is not None else UNBOUNDED_WIDTH,
    )


def text_holds(text: Text, value: str | None) -> bool:
    if value is None:
        return False
    if text.kind == "is":
        return value == text.value
    return text.kind == "present" or regex.full_match(text.value, value)


def source_holds(networks: tuple[Network, ...], request: RequestView) -> bool:
    address = request.address
    return address is not None and any(address in net for net in networks)


def match_conditions(match: Match) -> tuple[Condition, ...]:
    """The conditions of a match besides host and path, the cheapest first."""
    result: list[Condition] = []
    if match.methods:
        methods = frozenset(match.methods)
        result.append(lambda request: request.method in methods)
    if match.tenants:
        tenants = frozenset(match.tenants)
        result.append(lambda request: request.tenant in tenants)
    if match.classes:
        classes = frozenset(match.classes)
        result.append(lambda request: request.cls in classes)
    if match.budget_ms is not None:
        low, high = match.budget_ms
        result.append(lambda request: low <= request.budget_ms < high)
    for text in match.headers:
        result.append(lambda request, text=text: text_holds(text, request.headers.get(text.name)))  # type: ignore[misc]
    for text in match.query:
        result.append(lambda request, text=text: text_holds(text, request.query.get(text.name)))  # type: ignore[misc]
    if match.sources:
        networks = match.sources
        result.append(lambda request: source_holds(networks, request))
    return tuple(result)


@dataclass(frozen=True, slots=True, eq=False)
class Entry:
    """One host of one match of a route, with its precedence."""

    rank: Rank
    route: Route
    match: Match
    host: str  # empty: any host
    conditions: tuple[Condition, ...]

    @property
    def order(self) -> Rank:
        return (*self.rank, str(self.route), self.route.matches.index(self.match))

    def holds(self, request: RequestView) -> bool:
        return all(condition(request) for condition in self.conditions)


def host_holds(pattern: str, host: str) -> bool:
    """Whether a host pattern matches; a wildcard matches one label or more (Gateway API, Hostname)."""
    if not pattern:
        return True
    if pattern.startswith("*."):
        return host.endswith(pattern[1:]) and len(host) > len(pattern) - 1
    return host == pattern


def path_holds(pattern: Path, path: str) -> bool:
    if pattern.kind == "exact":
        return path == pattern.value
    if pattern.kind == "prefix":
        return path == pattern.value or path.startswith(pattern.value + "/")
    return regex.full_match(pattern.value, path)


class PathIndex:
    """The entries of one host pattern, indexed by path."""

    __slots__ = ("exact", "literal_starts", "prefix_depth", "prefixes", "regex_depth", "regexes")

    def __init__(self, entries: Sequence[Entry]) -> None:
        self.exact: dict[str, list[Entry]] = {}
        self.prefixes: dict[str, list[Entry]] = {}
        # By the folder of the pattern's literal start: a pattern can match only paths below its folder.
        self.regexes: dict[str, list[tuple[int, Any, Entry]]] = {}
        starts: list[tuple[str, int, Entry]] = []
        for position, entry in enumerate(sorted(entries, key=lambda item: item.order)):
            path = entry.match.path
            if path.kind == "exact":
                self.exact.setdefault(path.value, []).append(entry)
            elif path.kind == "prefix":
                self.prefixes.setdefault(path.value, []).append(entry)
            else:
                start = regex.literal_start(path.value)
                starts.append((start, position, entry))
                candidate = (position, regex.compiled(path.value), entry)
                self.regexes.setdefault(start[: max(0, start.rfind("/"))], []).append(candidate)
        self.literal_starts = sorted(starts, key=lambda item: item[:2])
        self.prefix_depth = max((prefix.count("/") for prefix in self.prefixes), default=-1)
        self.regex_depth = max((folder.count("/") for folder in self.regexes), default=-1)

    def groups(self, path: str) -> Iterator[Sequence[Entry]]:
        """Groups of entries whose path matches, by descending precedence."""
        found = self.exact.get(path)
        if found is not None:
            yield found
        if self.regexes:
            found = [item[2] for item in self.regex_candidates(path) if item[1].fullmatch(path) is not None]
            if found:
                yield found
        if self.prefix_depth < 0:
            return
        prefixes = self.prefixes
        path = truncate_path(path, self.prefix_depth)
        while True:
            found = prefixes.get(path)
            if found is not None:
                yield found
            if not path:
                return
            path = path[: path.rfind("/")]

    def regex_candidates(self, path: str) -> list[tuple[int, Any, Entry]]:
        """Regular expressions whose literal start does not exclude the path, by descending precedence."""
        found: list[tuple[int, Any, Entry]] = []
        folder = truncate_path(path, self.regex_depth + 1)
        while True:
            folder = folder[: max(0, folder.rfind("/"))]
            found += self.regexes.get(folder, ())
            if not folder:
                break
        if len(found) > 1:
            found.sort(key=lambda item: item[0])
        return found

    def regexes_below(self, folder: str) -> list[Entry]:
        """Entries whose regular expression may match paths below `folder` (`/a/`), in order of precedence."""
        found = [(position, entry) for position, _, entry in self.regex_candidates(folder)]
        for index in range(
            bisect_left(self.literal_starts, folder, key=lambda item: item[0]), len(self.literal_starts)
        ):
            start, position, entry = self.literal_starts[index]
            if not start.startswith(folder):
                break
            found.append((position, entry))
        return [entry for _, entry in sorted(dict(found).items())]


def truncate_path(path: str, depth: int) -> str:
    """The first `depth` segments of a path; deeper ones can't match any indexed text."""
    if path.count("/") > depth:
        return "/".join(path.split("/", depth + 1)[: depth + 1])
    return path


class Table:
    """The routes of a description; immutable. `find` is pure: equal requests get the same entry."""

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
                    Entry(rank_of(match, host), route, match, host, match_conditions(match))
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
        self.any_host = PathIndex(by_host.pop("", []))
        self.exact_hosts: dict[str, PathIndex] = {}
        self.wild_hosts: dict[str, PathIndex] = {}  # by the suffix after the star, with its dot
        for host, entries in by_host.items():
            if host.startswith("*."):
                self.wild_hosts[host[1:]] = PathIndex(entries)
            else:
                self.exact_hosts[host] = PathIndex(entries)
        self.hosts = tuple(sorted(by_host))  # all host patterns except the empty one
        matches = [entry.match for entry in self.entries]
        self.classes = tuple(sorted({name for match in matches for name in match.classes}))
        self.segments = frozenset(part for match in matches for part in match.path.value.split("/"))

    def paths(self, host: str) -> Iterator[PathIndex]:
        """The indexes whose host pattern matches, the most specific first."""
        if self.exact_hosts:
            index = self.exact_hosts.get(host)
            if index is not None:
                yield index
        if self.wild_hosts:
            dot = host.find(".", 1)
            while dot > 0:
                index = self.wild_hosts.get(host[dot:])
                if index is not None:
                    yield index
                dot = host.find(".", dot + 1)
        yield self.any_host

    def find(self, request: RequestView) -> Entry | None:
        """The matching entry with the highest precedence, or None."""
        for index in self.paths(request.host):
            for group in index.groups(request.path):
                for entry in group:
                    for condition in entry.conditions:
                        if not condition(request):
                            break
                    else:
                        return entry
        return None


def refusals(entry: Entry, request: RequestView) -> list[str]:
    """Why an entry does not match a request: one text for each condition that does not hold."""
    match, reasons = entry.match, []
    if not host_holds(entry.host, request.host):
        reasons.append(f"host {request.host or '(none)'} is not {entry.host}")
    if not path_holds(match.path, request.path):
        reasons.append(f"path {request.path} is not {match.path}")
    if match.methods and request.method not in match.methods:
        reasons.append(f"method {request.method} is not {' or '.join(match.methods)}")
    if match.tenants and request.tenant not in match.tenants:
        reasons.append(f"{TENANT_HEADER} {request.tenant or '(none)'} is not {' or '.join(match.tenants)}")
    if match.classes and request.cls not in match.classes:
        reasons.append(f"class {request.cls} is not {' or '.join(match.classes)}")
    if match.budget_ms is not None and not match.budget_ms[0] <= request.budget_ms < match.budget_ms[1]:
        low, high = match.budget_ms
        reasons.append(f"remaining time {request.budget_ms:g} ms is not in [{low:g}, {high:g})")
    for kind, texts, values in (
        ("header", match.headers, request.headers),
        ("query", match.query, request.query),
    ):
        for text in texts:
            value = values.get(text.name)
            if not text_holds(text, value):
                condition = "present" if text.kind == "present" else f"{text.kind} {text.value!r}"
                reasons.append(
                    f"{kind} {text.name} {value!r} is not {condition}"
                    if value is not None
                    else f"{kind} {text.name} is missing"
                )
    if match.sources and not source_holds(match.sources, request):
        nets = " or ".join(map(str, match.sources))
        reasons.append(f"source {request.source or '(none)'} is not in {nets}")
    return reasons
