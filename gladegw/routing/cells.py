"""Decides questions about all requests at once: divides the possible requests into cells.

Within a cell, each matcher concerned has the same result for all requests, so one evaluation holds for the
whole cell. Exact paths, segment prefixes, hosts, methods, values, ranges of time and source ranges are
divided exactly. A regular expression is evaluated exactly on values that some matcher names; its result for
all other values is uncertain. The answer is then conservative: what can't be excluded is reported as
possible.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass, field, replace
from ipaddress import ip_address
from itertools import chain
from typing import Any

from gladegw.routing import regex
from gladegw.routing.matcher import Entry, Table, host_holds, path_holds, text_holds
from gladegw.routing.model import TENANT_HEADER, Match, Network, Path, RequestView, Text

MAX_STEPS = 400_000  # atoms evaluated, after which Undecided is raised

UNNAMED_LABEL = "_"  # a host label that no pattern can contain

Truth = bool | None  # None: uncertain
Dimension = tuple[str, str]  # (kind, name); the name is set for headers and query parameters


class Undecided(Exception):
    """The region has too many cells to decide a question about it."""


@dataclass(frozen=True, slots=True)
class Atom:
    """Values for which each matcher concerned has the same result, with one sample of them. `open`: the
    values that no matcher names."""

    sample: Any
    open: bool = False


ROOT = Atom("/")


@dataclass(frozen=True, slots=True)
class Cell:
    """Requests for which each matcher concerned has the same result."""

    host: str = ""
    path: Atom = ROOT
    method: str = "GET"
    budget_ms: float = 1000.0
    source: str = ""
    headers: tuple[tuple[str, str], ...] = ()
    query: tuple[tuple[str, str], ...] = ()
    sure: bool = True  # whether its requests certainly belong to the region
    hits: tuple[tuple[tuple[Entry, Truth], ...], ...] = field(default=(), compare=False)  # by table

    def winners(self, table: int = 0) -> tuple[Entry | None, ...]:
        """The entries that may take the requests of this cell, a single one if that is certain. None stands
        for no entry."""
        winners: list[Entry | None] = [entry for entry, _ in self.hits[table]]
        if not winners or self.hits[table][-1][1] is not True:
            winners.append(None)
        return tuple(winners)

    def example(self) -> RequestView:
        """A sample request of this cell."""
        raw = [(name.encode(), value.encode("latin-1", "replace")) for name, value in self.headers]
        query = "&".join(f"{name}={value}" for name, value in self.query)
        target = self.path.sample + (f"?{query}" if query else "")
        tenant = dict(self.headers).get(TENANT_HEADER, "")
        return RequestView(self.method, target, self.host, raw, self.budget_ms, tenant, self.source)

    def __str__(self) -> str:
        request = self.example()
        target = request.path + (f"?{request.query_text}" if request.query_text else "")
        parts = [self.method, target]
        if self.host:
            parts.append(f"host:{self.host}")
        parts += [f"{name}:{value}" for name, value in self.headers]
        if self.budget_ms != 1000.0:
            parts.append(f"budget_ms:{self.budget_ms:g}")
        if self.source:
            parts.append(f"source:{self.source}")
        return " ".join(parts)


def unused_name(stem: str, taken: Iterable[str]) -> str:
    taken_names = set(taken)
    number, name = 0, stem
    while name in taken_names:
        number += 1
        name = f"{stem}{number}"
    return name


def path_truth(pattern: Path, atom: Atom) -> Truth:
    if pattern.kind == "prefix":
        return path_holds(pattern, atom.sample)
    if pattern.kind == "exact":
        return not atom.open and atom.sample == pattern.value
    if not atom.open:
        return path_holds(pattern, atom.sample)
    start = regex.literal_start(pattern.value)
    folder = atom.sample[: atom.sample.rfind("/") + 1]  # all paths of the atom begin with this folder
    return None if folder.startswith(start) or start.startswith(folder) else False


def class_of(path: str) -> str:
    return path[1:].partition("/")[0]


def route_truth(match: Match, atom: Atom) -> Truth:
    """Whether path and class of a match hold; the class is the first segment of the path."""
    if match.classes and class_of(atom.sample) not in match.classes:
        return False
    return path_truth(match.path, atom)


Requirement = tuple[Any, ...]


def match_requirements(match: Match) -> dict[Dimension, Requirement]:
    """The requirements of a match in each dimension except host and path."""
    requirements: dict[Dimension, Requirement] = {}
    if match.methods:
        requirements["method", ""] = (match.methods,)
    if match.budget_ms is not None:
        requirements["budget", ""] = (match.budget_ms,)
    if match.sources:
        requirements["source", ""] = match.sources
    for kind, texts in (("header", match.headers), ("query", match.query)):
        for text in texts:
            requirements[kind, text.name] = (text,)
    if match.tenants:
        key = ("header", TENANT_HEADER)
        requirements[key] = (*requirements.get(key, ()), match.tenants)
    return requirements


def value_truth(dimension: Dimension, requirement: Requirement, atom: Atom) -> Truth:
    kind = dimension[0]
    if kind == "method":
        return atom.sample in requirement[0]
    if kind == "budget":
        return bool(requirement[0][0] <= atom.sample < requirement[0][1])
    if kind == "source":
        return bool(atom.sample) and any(ip_address(atom.sample) in net for net in requirement)
    result: Truth = True
    for part in requirement:
        if isinstance(part, Text):
            if part.kind == "regex" and atom.open:
                holds: Truth = None
            else:
                holds = text_holds(part, atom.sample)
        else:
            holds = atom.sample in part
        if holds is False:
            return False
        result = None if holds is None else result
    return result


def value_atoms(dimension: Dimension, requirements: Iterable[Requirement]) -> list[Atom]:
    """Divides a dimension into atoms that the requirements can tell apart."""
    kind = dimension[0]
    if kind == "method":
        named = sorted(
            {method for requirement in requirements for method in requirement[0]} | {"GET", "POST"}
        )
        return [*(Atom(method) for method in named), Atom(unused_name("OTHER", named), True)]
    if kind == "budget":
        edges = sorted({edge for requirement in requirements for edge in requirement[0]} | {0.0})
        return [Atom(edge) for edge in edges]
    if kind == "source":
        return _source_atoms(net for requirement in requirements for net in requirement)
    values: set[str] = set()
    for requirement in requirements:
        for part in requirement:
            values |= {part.value} if isinstance(part, Text) and part.kind == "is" else set()
            values |= set(part) if isinstance(part, tuple) else set()
    named = sorted(values)
    return [Atom(None), Atom(unused_name("other", named), True), *(Atom(value) for value in named)]


def _source_atoms(networks: Iterable[Network]) -> list[Atom]:
    addresses = {""}
    for net in networks:
        first, last = int(net.network_address), int(net.broadcast_address)
        top = (1 << net.max_prefixlen) - 1
        kind = type(net.network_address)
        addresses |= {str(kind(value)) for value in {0, first, last, max(0, first - 1), min(top, last + 1)}}
    return [Atom(text) for text in sorted(addresses)]


def literal_folder(pattern: str) -> str:
    start = regex.literal_start(pattern)
    return start[: max(0, start.rfind("/"))]


class CellWalk:
    """Enumerates the cells of a region, for one table or several at once."""

    def __init__(self, tables: Sequence[Table], region: Match, max_steps: int = MAX_STEPS) -> None:
        self.tables, self.region, self.steps_left = tables, region, max_steps
        self.requirements_by_entry: dict[int, dict[Dimension, Requirement]] = {}
        named = {*region.path.value.split("/"), *region.classes}
        for table in tables:
            named.update(table.classes)
        word, number = "other", 0
        while word in named or any(word in table.segments for table in tables):
            number += 1
            word = f"other{number}"
        self.other_segment = word  # a path segment that no matcher names

    def step(self) -> None:
        self.steps_left -= 1
        if self.steps_left < 0:
            raise Undecided

    def cells(self) -> Iterator[Cell]:
        own = match_requirements(self.region)
        for host in self.hosts():
            for path in self.paths(host):
                self.step()
                inside = route_truth(self.region, path)
                if inside is False:
                    continue
                lists = [self.candidates(table, host, path) for table in self.tables]
                cell = Cell(host=host, path=path, sure=inside is True)
                yield from self.divide(cell, lists, dict(own))

    # hosts and paths
    def hosts(self) -> Iterator[str]:
        """Sample hosts: those of the region first, then those that a table names within it."""
        patterns = self.region.hosts or ("",)
        listed = [table.hosts for table in self.tables]
        seen: set[str] = set()
        for pattern in chain(patterns, *listed):
            sample = pattern or UNNAMED_LABEL
            if pattern.startswith("*."):
                sample = UNNAMED_LABEL + pattern[1:]
            if sample not in seen and any(host_holds(own, sample) for own in patterns):
                seen.add(sample)
                yield sample

    def named_paths(self, host: str) -> Iterator[Iterable[str]]:
        """The texts that divide the paths, those of the region first."""
        own = self.region.path
        yield [literal_folder(own.value)] if own.kind == "regex" else [own.value]
        yield [f"/{name}" for name in self.region.classes]
        for table in self.tables:
            for paths in table.paths(host):
                yield paths.exact
                yield paths.prefixes
            yield [f"/{name}" for name in table.classes]

    def paths(self, host: str) -> Iterator[Atom]:
        own = self.region.path
        inside = own.value + "/" if own.kind == "prefix" else ""
        start = regex.literal_start(own.value) if own.kind == "regex" else ""
        seen: set[str] = set()
        for text in chain.from_iterable(self.named_paths(host)):
            if text in seen or not (text == own.value or text.startswith(inside)):
                continue
            if start and not (text.startswith(start) or start.startswith(text)):
                continue
            seen.add(text)
            if own.kind != "exact":
                yield Atom(f"{text.removesuffix('/')}/{self.other_segment}", True)
            if text:
                yield Atom(text)
        if inside in ("", "/") and own.kind != "exact":
            if "" not in seen:
                yield Atom(f"/{self.other_segment}", True)
            if "/" not in seen:
                yield Atom("/")

    @staticmethod
    def candidates(table: Table, host: str, path: Atom) -> list[tuple[Entry, Truth]]:
        """Entries whose host and path match, or may match, by descending precedence."""
        matching: list[tuple[Entry, Truth]] = []
        for paths in table.paths(host):
            group: list[tuple[Entry, Truth]] = []
            if not path.open:
                group += [(entry, True) for entry in paths.exact.get(path.sample, ())]
            if paths.regexes:
                text = path.sample
                possible = (
                    paths.regexes_below(text[: text.rfind("/") + 1])
                    if path.open
                    else [entry for _, _, entry in paths.regex_candidates(text)]
                )
                for entry in possible:
                    truth = path_truth(entry.match.path, path)
                    if truth is not False:
                        group.append((entry, truth))
            prefix = path.sample
            while True:
                group += [(entry, True) for entry in paths.prefixes.get(prefix, ())]
                if not prefix:
                    break
                prefix = prefix[: prefix.rfind("/")]
            name = class_of(path.sample)
            matching += [pair for pair in group if not pair[0].match.classes or name in pair[0].match.classes]
        return matching

    # the other dimensions
    def requirements_of(self, entry: Entry) -> dict[Dimension, Requirement]:
        requirements = self.requirements_by_entry.get(id(entry))
        if requirements is None:
            requirements = self.requirements_by_entry[id(entry)] = match_requirements(entry.match)
        return requirements

    def divide(
        self,
        cell: Cell,
        lists: list[list[tuple[Entry, Truth]]],
        own: dict[Dimension, Requirement],
        done: frozenset[Dimension] = frozenset(),
    ) -> Iterator[Cell]:
        """Divides a cell dimension by dimension until no candidate has a requirement left."""
        relevant: list[list[tuple[Entry, Truth]]] = []
        remaining: set[Dimension] = set(own)
        for entries in lists:
            kept: list[tuple[Entry, Truth]] = []
            for entry, truth in entries:
                kept.append((entry, truth))
                open_dimensions = self.requirements_of(entry).keys() - done
                remaining |= open_dimensions
                if truth is True and not open_dimensions:
                    break  # it takes all requests that reach it; later entries get none
            relevant.append(kept)
        remaining -= done
        if not remaining:
            yield replace(cell, hits=tuple(tuple(entries) for entries in relevant))
            return
        dimension = min(remaining)
        requirements = [
            self.requirements_of(entry)[dimension]
            for entries in relevant
            for entry, _ in entries
            if dimension in self.requirements_of(entry)
        ]
        if dimension in own:
            requirements.append(own[dimension])
        for atom in value_atoms(dimension, requirements):
            self.step()
            inside: Truth = value_truth(dimension, own[dimension], atom) if dimension in own else True
            if inside is False:
                continue
            narrowed: list[list[tuple[Entry, Truth]]] = []
            for entries in relevant:
                kept = []
                for entry, truth in entries:
                    requirement = self.requirements_of(entry).get(dimension)
                    holds = True if requirement is None else value_truth(dimension, requirement, atom)
                    if holds is not False:
                        kept.append((entry, None if holds is None else truth))
                narrowed.append(kept)
            part = self.with_atom(cell, dimension, atom)
            part = part if inside is True else replace(part, sure=False)
            remaining_own = {key: value for key, value in own.items() if key != dimension}
            yield from self.divide(part, narrowed, remaining_own, done | {dimension})

    @staticmethod
    def with_atom(cell: Cell, dimension: Dimension, atom: Atom) -> Cell:
        kind, name = dimension
        if kind == "method":
            return replace(cell, method=atom.sample)
        if kind == "budget":
            return replace(cell, budget_ms=atom.sample)
        if kind == "source":
            return replace(cell, source=atom.sample)
        if atom.sample is None:
            return cell
        pair = ((name, atom.sample),)
        if kind == "header":
            return replace(cell, headers=cell.headers + pair)
        return replace(cell, query=cell.query + pair)


def cells(tables: Sequence[Table], region: Match, max_steps: int = MAX_STEPS) -> Iterator[Cell]:
    """The cells of a region; raises Undecided if there are too many."""
    return CellWalk(tables, region, max_steps).cells()


def region_of(entry: Entry) -> Match:
    return replace(entry.match, hosts=(entry.host,) if entry.host else ())


def reachability(table: Table, entry: Entry) -> tuple[str, tuple[Entry, ...]]:
    """Whether an entry takes any request: `yes`, `maybe`, `never` or `nothing` (no request can match it). For
    `never`, also the entries that take its requests instead."""
    before: dict[Entry, None] = {}
    any_cell = False
    try:
        for cell in cells([table], region_of(entry)):
            any_cell = True
            hits = cell.hits[0]
            for position, (candidate, truth) in enumerate(hits):
                if candidate is entry:  # no entry before it certainly takes this cell
                    return ("yes" if truth is True and position == 0 and cell.sure else "maybe"), ()
                before[candidate] = None
    except Undecided:
        return "maybe", ()
    return ("never", tuple(before)) if any_cell else ("nothing", ())


def can_both_match(one: Entry, other: Entry) -> Truth:
    """Whether some request matches both entries; None if that can't be excluded."""
    hosts = {one.host, other.host} - {""}
    if len(hosts) == 2:
        samples = [host if not host.startswith("*.") else "any-other" + host[1:] for host in hosts]
        if not any(host_holds(one.host, host) and host_holds(other.host, host) for host in samples):
            return False
    result = _paths_can_both_match(one.match, other.match)
    requirements, other_requirements = match_requirements(one.match), match_requirements(other.match)
    for dimension in requirements.keys() & other_requirements.keys():
        if result is False:
            return False
        best: Truth = False
        for atom in value_atoms(dimension, [requirements[dimension], other_requirements[dimension]]):
            truths = (
                value_truth(dimension, requirements[dimension], atom),
                value_truth(dimension, other_requirements[dimension], atom),
            )
            if False not in truths:
                if None not in truths:
                    best = True
                    break
                best = None
        result = best if best is False else (None if None in (best, result) else True)
    return result


def _paths_can_both_match(one: Match, other: Match) -> Truth:
    if one.path.kind == "regex" and other.path.kind == "regex":
        disjoint_classes = one.classes and other.classes and not set(one.classes) & set(other.classes)
        if one.path == other.path and not disjoint_classes:
            return True
        start, other_start = regex.literal_start(one.path.value), regex.literal_start(other.path.value)
        if not (start.startswith(other_start) or other_start.startswith(start)):
            return False
    best: Truth = False
    named = [match.path.value for match in (one, other) if match.path.kind != "regex"]
    named += [f"/{name}" for match in (one, other) for name in match.classes]
    atoms = [Atom("/"), Atom("/any-other", True)]
    for text in named:
        atoms += [Atom(text or "/"), Atom(text.removesuffix("/") + "/any-other", True)]
    for atom in atoms:
        truths = (route_truth(one, atom), route_truth(other, atom))
        if False not in truths:
            if None not in truths:
                return True
            best = None
    return best
