"""Finds routes of different applications that can match the same request, without comparing all pairs."""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Iterable, Iterator, Sequence

from gladegw.routing.cells import Truth, can_both_match
from gladegw.routing.matcher import Entry


class Bucket:
    """The entries of one host pattern, indexed by path. `close` ends the adding of entries."""

    def __init__(self) -> None:
        self.by_path: dict[str, list[Entry]] = {}
        self.regexes: list[Entry] = []
        self.sorted_paths: list[str] = []

    def add(self, entry: Entry) -> None:
        if entry.match.path.kind == "regex":
            self.regexes.append(entry)
        else:
            self.by_path.setdefault(entry.match.path.value, []).append(entry)

    def close(self) -> None:
        self.sorted_paths = sorted(self.by_path)

    def near(self, entry: Entry) -> Iterator[Entry]:
        """Entries whose path can match some path that this entry matches."""
        yield from self.regexes
        path = entry.match.path
        if path.kind == "regex":
            for entries in self.by_path.values():
                yield from entries
            return
        parent = path.value
        while True:  # parent paths
            yield from self.by_path.get(parent, ())
            if not parent:
                break
            parent = parent[: parent.rfind("/")]
        if path.kind == "prefix":  # child paths
            first = path.value + "/"
            for index in range(bisect_left(self.sorted_paths, first), len(self.sorted_paths)):
                text = self.sorted_paths[index]
                if not text.startswith(first):
                    break
                yield from self.by_path[text]


def _wider_hosts(host: str) -> Iterator[str]:
    """The pattern itself, then each wider pattern that matches all of its hosts."""
    yield host
    suffix = host[1:] if host.startswith("*.") else host
    dot = suffix.find(".", 1)
    while dot > 0:
        yield "*" + suffix[dot:]
        dot = suffix.find(".", dot + 1)
    if host:
        yield ""


def overlaps(entries: Sequence[Entry]) -> Iterable[tuple[Entry, Entry, Truth]]:
    """One pair of entries for each pair of routes of different applications that can match the same request,
    with True if they certainly can, or None if that depends on a regular expression."""
    buckets: dict[str, Bucket] = {}
    for entry in entries:
        buckets.setdefault(entry.host, Bucket()).add(entry)
    for bucket in buckets.values():
        bucket.close()
    pairs: dict[tuple[str, str], tuple[Entry, Entry, Truth]] = {}
    for entry in entries:
        for host in _wider_hosts(entry.host):
            for other in buckets[host].near(entry) if host in buckets else ():
                if other.route.app == entry.route.app:
                    continue
                first, second = sorted((entry, other), key=lambda item: item.route.place)
                key = (str(first.route), str(second.route))
                if pairs.get(key, (None, None, None))[2]:
                    continue
                truth = can_both_match(first, second)
                if truth is not False:
                    pairs[key] = (first, second, truth)
    return pairs.values()
