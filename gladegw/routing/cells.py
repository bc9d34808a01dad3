"""Decides over matchers, not by samples: cuts what can be asked into cells in which no matcher changes its
mind.
 All requests of a cell are alike to every matcher in play, so one look at a cell answers for all of them.
Exact paths, segment prefixes, hosts, methods, values, ranges of time and source ranges are cut exactly. A
regular expression is asked exactly on a value that is named somewhere; on what is left it is uncertain, and
then the answer is sound: what can't be excluded is told as possible.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass, field, replace
from ipaddress import ip_address
from itertools import chain
from typing import Any

from gladegw.routing import regex
from gladegw.routing.matcher import Entry, Table, host_holds, path_holds, text_holds
from gladegw.routing.model import TENANT_HEADER, Ask, Match, Network, Path, Text

MOST_STEPS = 400_000  # looks at atoms, after which a question is given up as undecided

UNNAMED = "_"  # a label of a host that no pattern may hold

Truth = bool | None  # None: can't be told
Dimension = tuple[str, str]  # kind, and a name for headers and query parameters


class Undecided(Exception):
    """The question has too many cells."""


@dataclass(frozen=True, slots=True)
class Atom:
    """Values that all matchers in play take for the same; `open`: any value but those that are named."""

    sample: Any
    open: bool = False


ROOT = Atom("/")


@dataclass(frozen=True, slots=True)
class Cell:
    host: str = ""
    path: Atom = ROOT
    method: str = "GET"
    budget_ms: float = 1000.0
    source: str = ""
    headers: tuple[tuple[str, str], ...] = ()
    query: tuple[tuple[str, str], ...] = ()
    sure: bool = True  # surely a cell of what was asked about
    hits: tuple[tuple[tuple[Entry, Truth], ...], ...] = field(default=(), compare=False)  # by table

    def winners(self, table: int = 0) -> tuple[Entry | None, ...]:
        """Who may take the requests of this cell; one, where that is certain. None: nobody does."""
        found: list[Entry | None] = [entry for entry, _ in self.hits[table]]
        if not found or self.hits[table][-1][1] is not True:
            found.append(None)
        return tuple(found)

    def ask(self) -> Ask:
        """A request of this cell."""
        raw = [(name.encode(), value.encode("latin-1", "replace")) for name, value in self.headers]
        query = "&".join(f"{name}={value}" for name, value in self.query)
        target = self.path.sample + (f"?{query}" if query else "")
        tenant = dict(self.headers).get(TENANT_HEADER, "")
        return Ask(self.method, target, self.host, raw, self.budget_ms, tenant, self.source)

    def __str__(self) -> str:
        asked = self.ask()
        target = asked.path + (f"?{asked.query_text}" if asked.query_text else "")
        parts = [self.method, target]
        if self.host:
            parts.append(f"host:{self.host}")
        parts += [f"{name}:{value}" for name, value in self.headers]
        if self.budget_ms != 1000.0:
            parts.append(f"budget_ms:{self.budget_ms:g}")
        if self.source:
            parts.append(f"source:{self.source}")
        return " ".join(parts)


def unused(word: str, taken: Iterable[str]) -> str:
    names = set(taken)
    number, found = 0, word
    while found in names:
        number += 1
        found = f"{word}{number}"
    return found


def path_truth(wanted: Path, atom: Atom) -> Truth:
    if wanted.kind == "prefix":
        return path_holds(wanted, atom.sample)
    if wanted.kind == "exact":
        return not atom.open and atom.sample == wanted.value
    if not atom.open:
        return path_holds(wanted, atom.sample)
    start = regex.literal_start(wanted.value)
    below = atom.sample[: atom.sample.rfind("/") + 1]  # all paths of the atom begin with this
    return None if below.startswith(start) or start.startswith(below) else False


def class_of(path: str) -> str:
    return path[1:].partition("/")[0]


def route_truth(match: Match, atom: Atom) -> Truth:
    """Path and class together: the class is the path's first part."""
    if match.classes and class_of(atom.sample) not in match.classes:
        return False
    return path_truth(match.path, atom)


Wanted = tuple[Any, ...]


def wanted(match: Match) -> dict[Dimension, Wanted]:
    """What a match asks in each dimension but host and path."""
    found: dict[Dimension, Wanted] = {}
    if match.methods:
        found["method", ""] = (match.methods,)
    if match.budget_ms is not None:
        found["budget", ""] = (match.budget_ms,)
    if match.sources:
        found["source", ""] = match.sources
    for kind, texts in (("header", match.headers), ("query", match.query)):
        for text in texts:
            found[kind, text.name] = (text,)
    if match.tenants:
        key = ("header", TENANT_HEADER)
        found[key] = (*found.get(key, ()), match.tenants)
    return found


def value_truth(dimension: Dimension, asked: Wanted, atom: Atom) -> Truth:
    kind = dimension[0]
    if kind == "method":
        return atom.sample in asked[0]
    if kind == "budget":
        return bool(asked[0][0] <= atom.sample < asked[0][1])
    if kind == "source":
        return bool(atom.sample) and any(ip_address(atom.sample) in net for net in asked)
    result: Truth = True
    for one in asked:
        if isinstance(one, Text):
            if one.kind == "regex" and atom.open:
                holds: Truth = None
            else:
                holds = text_holds(one, atom.sample)
        else:
            holds = atom.sample in one
        if holds is False:
            return False
        result = None if holds is None else result
    return result


def value_atoms(dimension: Dimension, asked: Iterable[Wanted]) -> list[Atom]:
    """All that can be told apart in a dimension by what is asked there; what is not named first."""
    kind = dimension[0]
    if kind == "method":
        named = sorted({method for one in asked for method in one[0]} | {"GET", "POST"})
        return [*(Atom(method) for method in named), Atom(unused("OTHER", named), True)]
    if kind == "budget":
        edges = sorted({edge for one in asked for edge in one[0]} | {0.0})
        return [Atom(edge) for edge in edges]
    if kind == "source":
        return _source_atoms(net for one in asked for net in one)
    values: set[str] = set()
    for one in asked:
        for part in one:
            values |= {part.value} if isinstance(part, Text) and part.kind == "is" else set()
            values |= set(part) if isinstance(part, tuple) else set()
    named = sorted(values)
    return [Atom(None), Atom(unused("other", named), True), *(Atom(value) for value in named)]


def _source_atoms(networks: Iterable[Network]) -> list[Atom]:
    found = {""}
    for net in networks:
        first, last = int(net.network_address), int(net.broadcast_address)
        top = (1 << net.max_prefixlen) - 1
        kind = type(net.network_address)
        found |= {str(kind(value)) for value in {0, first, last, max(0, first - 1), min(top, last + 1)}}
    return [Atom(text) for text in sorted(found)]


def literal_folder(pattern: str) -> str:
    start = regex.literal_start(pattern)
    return start[: max(0, start.rfind("/"))]


class Question:
    """One walk over the cells of a region, for one table or several at once."""

    def __init__(self, tables: Sequence[Table], region: Match, most: int = MOST_STEPS) -> None:
        self.tables, self.region, self.left = tables, region, most
        self.wanted: dict[int, dict[Dimension, Wanted]] = {}
        named = {*region.path.value.split("/"), *region.classes}
        for table in tables:
            named.update(table.classes)
        word, number = "other", 0
        while word in named or any(word in table.segments for table in tables):
            number += 1
            word = f"other{number}"
        self.other = word  # a part of a path that nothing names

    def step(self) -> None:
        self.left -= 1
        if self.left < 0:
            raise Undecided

    def cells(self) -> Iterator[Cell]:
        own = wanted(self.region)
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
        """The region's own first, then those that some table names within it."""
        patterns = self.region.hosts or ("",)
        listed = [table.hosts for table in self.tables]
        seen: set[str] = set()
        for pattern in chain(patterns, *listed):
            sample = pattern or UNNAMED
            if pattern.startswith("*."):
                sample = UNNAMED + pattern[1:]
            if sample not in seen and any(host_holds(own, sample) for own in patterns):
                seen.add(sample)
                yield sample

    def named_paths(self, host: str) -> Iterator[Iterable[str]]:
        """The texts by which paths are told apart, the region's own first."""
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
                yield Atom(f"{text.removesuffix('/')}/{self.other}", True)
            if text:
                yield Atom(text)
        if inside in ("", "/") and own.kind != "exact":
            if "" not in seen:
                yield Atom(f"/{self.other}", True)
            if "/" not in seen:
                yield Atom("/")

    @staticmethod
    def candidates(table: Table, host: str, path: Atom) -> list[tuple[Entry, Truth]]:
        """Entries whose host and path hold, or may hold, in their order."""
        found: list[tuple[Entry, Truth]] = []
        for paths in table.paths(host):
            part: list[tuple[Entry, Truth]] = []
            if not path.open:
                part += [(entry, True) for entry in paths.exact.get(path.sample, ())]
            if paths.regexes:
                text = path.sample
                below = (
                    paths.below(text[: text.rfind("/") + 1])
                    if path.open
                    else [entry for _, _, entry in paths.near(text)]
                )
                for entry in below:
                    truth = path_truth(entry.match.path, path)
                    if truth is not False:
                        part.append((entry, truth))
            at = path.sample
            while True:
                part += [(entry, True) for entry in paths.prefixes.get(at, ())]
                if not at:
                    break
                at = at[: at.rfind("/")]
            name = class_of(path.sample)
            found += [one for one in part if not one[0].match.classes or name in one[0].match.classes]
        return found

    # the other dimensions
    def of(self, entry: Entry) -> dict[Dimension, Wanted]:
        found = self.wanted.get(id(entry))
        if found is None:
            found = self.wanted[id(entry)] = wanted(entry.match)
        return found

    def divide(
        self,
        cell: Cell,
        lists: list[list[tuple[Entry, Truth]]],
        own: dict[Dimension, Wanted],
        done: frozenset[Dimension] = frozenset(),
    ) -> Iterator[Cell]:
        """Cuts on until no matcher that counts has anything left to ask."""
        cut: list[list[tuple[Entry, Truth]]] = []
        left: set[Dimension] = set(own)
        for some in lists:
            kept: list[tuple[Entry, Truth]] = []
            for entry, truth in some:
                kept.append((entry, truth))
                open_ones = self.of(entry).keys() - done
                left |= open_ones
                if truth is True and not open_ones:
                    break  # it takes all that comes this far
            cut.append(kept)
        left -= done
        if not left:
            yield replace(cell, hits=tuple(tuple(some) for some in cut))
            return
        dimension = min(left)
        asked = [
            self.of(entry)[dimension] for some in cut for entry, _ in some if dimension in self.of(entry)
        ]
        if dimension in own:
            asked.append(own[dimension])
        for atom in value_atoms(dimension, asked):
            self.step()
            inside: Truth = value_truth(dimension, own[dimension], atom) if dimension in own else True
            if inside is False:
                continue
            some_lists: list[list[tuple[Entry, Truth]]] = []
            for some in cut:
                kept = []
                for entry, truth in some:
                    asks = self.of(entry).get(dimension)
                    holds = True if asks is None else value_truth(dimension, asks, atom)
                    if holds is not False:
                        kept.append((entry, None if holds is None else truth))
                some_lists.append(kept)
            made = self.placed(cell, dimension, atom)
            made = made if inside is True else replace(made, sure=False)
            rest = {key: value for key, value in own.items() if key != dimension}
            yield from self.divide(made, some_lists, rest, done | {dimension})

    @staticmethod
    def placed(cell: Cell, dimension: Dimension, atom: Atom) -> Cell:
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


def cells(tables: Sequence[Table], region: Match, most: int = MOST_STEPS) -> Iterator[Cell]:
    """All cells of a region; raises Undecided where there are too many."""
    return Question(tables, region, most).cells()


def region_of(entry: Entry) -> Match:
    return replace(entry.match, hosts=(entry.host,) if entry.host else ())


def reach(table: Table, entry: Entry) -> tuple[str, tuple[Entry, ...]]:
    """Whether an entry takes any request: `yes`, `maybe`, `never` or `nothing` (no request can match it),
    and who takes its requests instead."""
    before: dict[Entry, None] = {}
    any_cell = False
    try:
        for cell in cells([table], region_of(entry)):
            any_cell = True
            hits = cell.hits[0]
            for place, (found, truth) in enumerate(hits):
                if found is entry:  # nobody before it surely takes this cell
                    return ("yes" if truth is True and place == 0 and cell.sure else "maybe"), ()
                before[found] = None
    except Undecided:
        return "maybe", ()
    return ("never", tuple(before)) if any_cell else ("nothing", ())


def meet(one: Entry, other: Entry) -> Truth:
    """Whether some request matches both; None: it can't be excluded."""
    hosts = {one.host, other.host} - {""}
    if len(hosts) == 2:
        samples = [host if not host.startswith("*.") else "any-other" + host[1:] for host in hosts]
        if not any(host_holds(one.host, host) and host_holds(other.host, host) for host in samples):
            return False
    result = _paths_meet(one.match, other.match)
    asked, more = wanted(one.match), wanted(other.match)
    for dimension in asked.keys() & more.keys():
        if result is False:
            return False
        best: Truth = False
        for atom in value_atoms(dimension, [asked[dimension], more[dimension]]):
            truths = (
                value_truth(dimension, asked[dimension], atom),
                value_truth(dimension, more[dimension], atom),
            )
            if False not in truths:
                if None not in truths:
                    best = True
                    break
                best = None
        result = best if best is False else (None if None in (best, result) else True)
    return result


def _paths_meet(one: Match, other: Match) -> Truth:
    if one.path.kind == "regex" and other.path.kind == "regex":
        apart = one.classes and other.classes and not set(one.classes) & set(other.classes)
        if one.path == other.path and not apart:
            return True
        start, more = regex.literal_start(one.path.value), regex.literal_start(other.path.value)
        if not (start.startswith(more) or more.startswith(start)):
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
