"""Typed decoding of discovery's endpoint lists, and computation of the changes that a list contains."""

from __future__ import annotations

import math
from collections.abc import Iterator
from dataclasses import dataclass, replace
from hashlib import blake2b

import msgspec

from gladegw.balancing.events import ServerEntry, ServerState
from gladegw.net.config import Address, address
from gladegw.net.wallclock import StartTimes

STATES = {"Ready": ServerState.SERVING, "Terminating": ServerState.DRAINING, "Gone": ServerState.REMOVED}


class EndpointListError(ValueError):
    """An endpoint list is malformed."""


class Entry(msgspec.Struct, frozen=True, gc=False):
    """A backend as encoded in a discovery response."""

    name: str
    address: str
    status: str
    zone: str | None = ""
    type: str | None = ""
    group: int = 0
    weight: float = 1.0
    since_ms: float | None = 0


class ListResponse(msgspec.Struct, frozen=True, gc=False):
    """A discovery response: a full snapshot, or the changes since the requested version."""

    index: int
    snapshot: bool
    endpoints: list[Entry]


@dataclass(slots=True)
class ListedBackend:
    """A backend of an endpoint list: its name and address, and its entry for the balancer."""

    name: str
    address: Address
    entry: ServerEntry


@dataclass(slots=True)
class Listing:
    """The changes from a list: all backends if it is `complete`, otherwise those that changed."""

    version: int
    complete: bool
    backends: list[ListedBackend]
    current: bool = True  # False: from an address of discovery that is being or was replaced
    as_of: float = math.inf  # monotonic time before which no change is missing; inf: now


_decoder: msgspec.json.Decoder[ListResponse] = msgspec.json.Decoder(ListResponse, strict=False)


def decode(body: bytes) -> ListResponse:
    """Decode the body of a discovery response.

    Raises EndpointListError if it is malformed.
    """
    try:
        return _decoder.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as fault:
        raise EndpointListError(f"malformed list: {fault}") from None


def read_listing(raw: object) -> Listing:
    """Convert a list that was already parsed from JSON.

    Raises EndpointListError if it is malformed.
    """
    return EndpointInventory().apply_parsed(raw)


def server_id(name: str) -> int:
    """The balancer's number for a backend, the same at all proxies, so that their hash rings agree."""
    return int.from_bytes(blake2b(name.encode(), digest_size=6).digest(), "big")


def to_listed_backend(entry: Entry, started: float) -> ListedBackend:
    """Convert an entry; `started` is in seconds of the monotonic clock.

    Raises EndpointListError, or ValueError for an invalid address.
    """
    if not (entry.weight - entry.weight == 0.0 and started - started == 0.0):
        raise EndpointListError("malformed list: the weight or start time is not finite")
    state = STATES.get(entry.status)
    if state is None:
        raise EndpointListError(f"malformed list: unknown status: {entry.status!r}")
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
    """The current endpoint list, retained to reduce each further list to its changes.

    Decoding a list of thousands of backends takes milliseconds, but applying it throughout the program takes
    ten times as long. During that time no request is served and a drain in the list is not yet in effect, so
    only changes are passed on.
    """

    def __init__(self) -> None:
        self.entries: dict[str, Entry] = {}
        self.known: dict[str, ListedBackend] = {}
        self.start_times = StartTimes()

    def apply(self, answer: ListResponse) -> Listing:
        """Apply a response and return its changes.

        Raises ValueError without changing anything.
        """
        was_empty = not self.known
        changed = {
            entry.name: (entry, to_listed_backend(entry, self._start_time(entry)))
            for entry in answer.endpoints
            if self.entries.get(entry.name) != entry
        }
        updated = [backend for _, backend in changed.values()]
        if answer.snapshot:
            updated += self._removed({entry.name for entry in answer.endpoints})
        for name, (entry, backend) in changed.items():
            self.entries[name], self.known[name] = entry, backend
        for backend in updated:
            if backend.entry.state is ServerState.REMOVED:
                self.entries.pop(backend.name, None)
                self.known.pop(backend.name, None)
        return Listing(answer.index, answer.snapshot and was_empty, updated)

    def _start_time(self, entry: Entry) -> float:
        """The entry's start time on the monotonic clock; 0 if none is given.

        The earlier result is reused if the given time is unchanged, since otherwise a step of the wall clock
        would look like a restart.
        """
        before = self.entries.get(entry.name)
        if before is not None and before.since_ms == entry.since_ms:
            return self.known[entry.name].entry.started_at
        return self.start_times.monotonic(entry.since_ms) if entry.since_ms and entry.since_ms > 0 else 0.0

    def _removed(self, listed_names: set[str]) -> Iterator[ListedBackend]:
        """The backends that a full snapshot no longer names, marked as removed."""
        for name, backend in self.known.items():
            if name not in listed_names:
                yield ListedBackend(name, backend.address, replace(backend.entry, state=ServerState.REMOVED))

    def forget(self) -> None:
        """Discard all entries, so that the next full snapshot is passed on as a complete list."""
        self.entries.clear()
        self.known.clear()

    def apply_parsed(self, raw: object) -> Listing:
        """Apply a list that was already parsed from JSON, such as that of the configuration.

        Raises EndpointListError if it is malformed.
        """
        try:
            answer: ListResponse = msgspec.convert(raw, ListResponse, strict=False)
        except msgspec.MsgspecError as fault:
            raise EndpointListError(f"malformed list: {fault}") from None
        return self.apply(answer)
