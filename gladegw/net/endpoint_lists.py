"""Lists of backends as discovery writes them: typed decoding, and what a list changes in the ones before."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, replace
from hashlib import blake2b

import msgspec

from gladegw.balancing.events import ServerEntry, ServerState
from gladegw.net.config import Address, address
from gladegw.net.wallclock import StartTimes

STATES = {"Ready": ServerState.SERVING, "Terminating": ServerState.DRAINING, "Gone": ServerState.REMOVED}


class Entry(msgspec.Struct, frozen=True, gc=False):
    """A backend as an answer of discovery names it."""

    name: str
    address: str
    status: str
    zone: str | None = ""
    type: str | None = ""
    group: int = 0
    weight: float = 1.0
    since_ms: float | None = 0


class ListResponse(msgspec.Struct, frozen=True, gc=False):
    """An answer of discovery: the whole list, or what has changed since the version that was named."""

    index: int
    snapshot: bool
    endpoints: list[Entry]


@dataclass(slots=True)
class ListedBackend:
    """A backend as a list names it."""

    name: str
    address: Address
    entry: ServerEntry


@dataclass(slots=True)
class Listing:
    """What a list says of backends: of all there are (`whole`), or of those that it names."""

    version: int
    complete: bool
    backends: list[ListedBackend]
    current: bool = True  # False: from an address that discovery has left


_decoder: msgspec.json.Decoder[ListResponse] = msgspec.json.Decoder(ListResponse, strict=False)


def decode(body: bytes) -> ListResponse:
    """An answer's body as it came; raises ValueError where it is no list."""
    try:
        return _decoder.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as fault:
        raise ValueError(f"malformed list: {fault}") from None


def read_listing(raw: object) -> Listing:
    """A list that was read from JSON already; raises ValueError where it can't be used."""
    return EndpointInventory().adopt(raw)


def server_id(name: str) -> int:
    """The module's number of a backend: the same at every proxy, whose rings of backends must agree."""
    return int.from_bytes(blake2b(name.encode(), digest_size=6).digest(), "big")


def listed(entry: Entry, started: float) -> ListedBackend:
    """The entry with its figures checked; raises ValueError. `started`: s of the monotonic clock."""
    if not (entry.weight - entry.weight == 0.0 and started - started == 0.0):
        raise ValueError("malformed list: a figure is not finite")
    state = STATES.get(entry.status)
    if state is None:
        raise ValueError(f"malformed list: no status: {entry.status!r}")
    server = ServerEntry(
        server=server_id(entry.name),
        zone=entry.zone or "",
        kind=entry.type or "",
        cell=entry.group,
        state=state,
        weight=entry.weight,
        started_at=started,
    )
    return ListedBackend(entry.name, address(entry.address), server)


class EndpointInventory:
    """The list as it stands, kept so that each further one is taken as what it changes.

    A list of thousands is read in milliseconds, but taking it, in every part of the program that follows the
    list, costs ten times as much. While one is taken nothing else is served, and a drain that the list tells
    has not taken hold; so only what differs is handed on.
    """

    def __init__(self) -> None:
        self.entries: dict[str, Entry] = {}
        self.known: dict[str, ListedBackend] = {}
        self.start_times = StartTimes()

    def apply(self, answer: ListResponse) -> Listing:
        """What the answer changes; raises ValueError, and then nothing has changed."""
        first = not self.known
        changed = {
            entry.name: (entry, listed(entry, self._started(entry)))
            for entry in answer.endpoints
            if self.entries.get(entry.name) != entry
        }
        found = [told for _, told in changed.values()]
        if answer.snapshot:
            found += self._removed({entry.name for entry in answer.endpoints})
        for name, (entry, told) in changed.items():
            self.entries[name], self.known[name] = entry, told
        for told in found:
            if told.entry.state is ServerState.REMOVED:
                self.entries.pop(told.name, None)
                self.known.pop(told.name, None)
        return Listing(answer.index, answer.snapshot and first, found)

    def _started(self, entry: Entry) -> float:
        """The same told time is the same start in every list: else a step of the wall clock would look like
        a restart."""
        before = self.entries.get(entry.name)
        if before is not None and before.since_ms == entry.since_ms:
            return self.known[entry.name].entry.started_at
        return self.start_times.monotonic(entry.since_ms) if entry.since_ms and entry.since_ms > 0 else 0.0

    def _removed(self, named: set[str]) -> Iterator[ListedBackend]:
        """What a whole list does not name is gone."""
        for name, told in self.known.items():
            if name not in named:
                yield ListedBackend(name, told.address, replace(told.entry, state=ServerState.REMOVED))

    def forget(self) -> None:
        """The next whole list is handed on whole."""
        self.entries.clear()
        self.known.clear()

    def adopt(self, raw: object) -> Listing:
        """The list that a configuration holds; raises ValueError."""
        try:
            answer: ListResponse = msgspec.convert(raw, ListResponse, strict=False)
        except msgspec.MsgspecError as fault:
            raise ValueError(f"malformed list: {fault}") from None
        return self.apply(answer)
