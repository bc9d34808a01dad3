"""Which routes of different applications can match the same request, without comparing each with each."""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Iterable, Iterator, Sequence

from gladegw.routing.cells import Truth, meet
from gladegw.routing.matcher import Entry


class Bucket:
    """All entries of one host pattern, to be asked by path."""

    def __init__(self) -> None:
        self.by_path: dict[str, list[Entry]] = {}
        self.regexes: list[Entry] = []
        self.sorted: list[str] = []

    def add(self, entry: Entry) -> None:
        if entry.match.path.kind == "regex":
            self.regexes.append(entry)
        else:
            self.by_path.setdefault(entry.match.path.value, []).append(entry)

    def close(self) -> None:
        self.sorted = sorted(self.by_path)

    def near(self, entry: Entry) -> Iterator[Entry]:
        """Those whose path may hold for some path of this entry."""
        yield from self.regexes
        path = entry.match.path
        if path.kind == "regex":
            for some in self.by_path.values():
                yield from some
            return
        at = path.value
        while True:  # what lies above
            yield from self.by_path.get(at, ())
            if not at:
                break
            at = at[: at.rfind("/")]
        if path.kind == "prefix":  # what lies below
            first = path.value + "/"
            for place in range(bisect_left(self.sorted, first), len(self.sorted)):
                text = self.sorted[place]
                if not text.startswith(first):
                    break
                yield from self.by_path[text]


def _wider(host: str) -> Iterator[str]:
    """Patterns that hold for all or some hosts of this one, itself first."""
    yield host
    at = host[1:] if host.startswith("*.") else host
    dot = at.find(".", 1)
    while dot > 0:
        yield "*" + at[dot:]
        dot = at.find(".", dot + 1)
    if host:
        yield ""


def overlaps(entries: Sequence[Entry]) -> Iterable[tuple[Entry, Entry, Truth]]:
    """One pair of entries for each pair of routes of different applications that meet; with it, whether they
    surely do (None: a regular expression leaves it open)."""
    buckets: dict[str, Bucket] = {}
    for entry in entries:
        buckets.setdefault(entry.host, Bucket()).add(entry)
    for bucket in buckets.values():
        bucket.close()
    found: dict[tuple[str, str], tuple[Entry, Entry, Truth]] = {}
    for entry in entries:
        for host in _wider(entry.host):
            for other in buckets[host].near(entry) if host in buckets else ():
                if other.route.app == entry.route.app:
                    continue
                one, two = sorted((entry, other), key=lambda found: found.route.place)
                key = (str(one.route), str(two.route))
                if found.get(key, (None, None, None))[2]:
                    continue
                met = meet(one, two)
                if met is not False:
                    found[key] = (one, two, met)
    return found.values()
