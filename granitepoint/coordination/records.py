"""What stands in the store: records as JSON, each with its version. A reader one version older or newer reads
what it knows; whoever writes a record back keeps the fields that it did not know."""

from __future__ import annotations

from typing import Any, TypeVar

import msgspec

VERSION = 1  # of all records: a field that comes is optional, one that goes is still read for one version


class RecordError(ValueError):
    """A record that can't be read; the message says why, in one line."""


class Record(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=False):
    v: int = VERSION


class Member(Record, frozen=True, kw_only=True):
    """`members/NAME/INCARNATION`, under the lease of the process."""

    name: str
    incarnation: str  # new with each process, so two of one name are told apart
    address: str = ""
    zone: str = ""
    version: str = ""  # of the program
    can: tuple[str, ...] = ()  # the duties that it knows
    state: str = "ready"  # as the life-cycle has it
    since: float = 0.0  # s since 1970 by its own clock: shown, and nothing rests on it


class Known(Record, frozen=True, kw_only=True):
    """`known/NAME`, under no lease: who is missed when no process of that name is there."""

    name: str
    zone: str = ""
    lost: float = 0.0  # s since 1970, when the sweeper saw that it was gone; 0: it was not


class Holder(Record, frozen=True, kw_only=True):
    """`duties/NAME`, under the holder's lease. The token is the key's create revision."""

    holder: str
    incarnation: str
    since: float = 0.0


class Heir(Record, frozen=True, kw_only=True):
    """`heirs/NAME`: whom the last holder left the duty to. A preference, so it may be stale."""

    name: str


class Figures(Record, frozen=True, kw_only=True):
    """`figures/NAME`, under the member's lease."""

    name: str
    figures: dict[str, int] = {}
    discovery: str = ""  # digest of the list that it works by
    routes: str = ""  # digest of its table


class Fleet(Record, frozen=True, kw_only=True):
    """`fleet/digest`: what the holder of `digest` made of all figures."""

    token: int
    members: int
    totals: dict[str, int] = {}
    worst: tuple[tuple[str, float], ...] = ()  # by share of requests that were not served
    silent: tuple[str, ...] = ()


class Differences(Record, frozen=True, kw_only=True):
    """`fleet/compare`: who stands alone with what."""

    token: int
    discovery: dict[str, tuple[str, ...]] = {}  # digest: names, where there is more than one digest
    routes: dict[str, tuple[str, ...]] = {}
    since: float = 0.0  # s since 1970, from when on they differed; 0: they agree


R = TypeVar("R", bound=Record)


def encode(record: Record, over: bytes = b"") -> bytes:
    """`over` is the record that this one replaces: fields of it that are not known here stay."""
    made: dict[str, Any] = msgspec.to_builtins(record)
    if over:
        try:
            old = msgspec.json.decode(over)
        except msgspec.DecodeError:
            old = None
        if isinstance(old, dict):
            made = {**{key: value for key, value in old.items() if key not in made}, **made}
            made["v"] = max(record.v, old["v"]) if isinstance(old.get("v"), int) else record.v
    return msgspec.json.encode(made)


def decode(raw: bytes, form: type[R]) -> R:
    """Raises RecordError."""
    try:
        return msgspec.json.decode(raw, type=form)
    except (msgspec.DecodeError, UnicodeDecodeError) as fault:
        raise RecordError(f"{form.__name__.lower()}: {' '.join(str(fault).split())}") from None
