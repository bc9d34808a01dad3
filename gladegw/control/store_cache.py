"""What a process knows of the store's keys: one copy, kept up by whole reads and the watches behind them."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Iterable, Iterator
from typing import TypeVar, cast

from gladegw.control.keys import Keys, Range
from gladegw.coordination import records
from gladegw.coordination.records import (
    DutyHolderRecord,
    KnownMemberRecord,
    MemberMetricsRecord,
    MemberRecord,
    Record,
    RecordError,
    SuccessorRecord,
)
from gladegw.coordination.store import KeyValue, StoreEvent, within

log = logging.getLogger(__name__)

R = TypeVar("R", bound=Record)


class View:
    """Each range of keys is known up to a revision of its own. Records are decoded once for each change of
    their key, and not before somebody asks."""

    def __init__(self, keys: Keys) -> None:
        self.at = keys
        self.known_to: dict[Range, int] = {}
        self.keys: dict[bytes, KeyValue] = {}
        self.kinds: dict[str, set[bytes]] = {}
        self.decoded: dict[bytes, tuple[int, Record | None]] = {}
        self.news = asyncio.Event()  # set at each change

    def to(self, part: Range) -> int:
        """The revision up to which all of this range is known."""
        first, end = part
        return max(
            (known for over, known in self.known_to.items() if over[0] <= first and over[1] >= end), default=0
        )

    def whole(self, part: Range, revision: int, found: Iterable[KeyValue]) -> None:
        """All that stands in this range."""
        there = {kv.key: kv for kv in found}
        for key in [key for key in self.keys if within(key, *part) and key not in there]:
            self._gone(key)
        for kv in there.values():
            self._stands(kv)
        self.known_to[part] = revision
        self.news.set()

    def change(self, part: Range, revision: int, events: Iterable[StoreEvent]) -> None:
        for event in events:
            if event.deleted:
                self._gone(event.kv.key)
            else:
                self._stands(event.kv)
        self.known_to[part] = max(self.known_to.get(part, 0), revision)
        self.news.set()

    def forget(self, part: Range) -> None:
        """It is not watched any more."""
        self.whole(part, 0, ())
        del self.known_to[part]

    def only(self, *parts: Range) -> None:
        """Nothing but these is watched from now on; what is known of others within them stays a while."""
        self.known_to = {part: known for part, known in self.known_to.items() if part in parts}

    def _stands(self, kv: KeyValue) -> None:
        self.keys[kv.key] = kv
        self.kinds.setdefault(self.at.split(kv.key)[0], set()).add(kv.key)

    def _gone(self, key: bytes) -> None:
        if self.keys.pop(key, None) is not None:
            self.kinds[self.at.split(key)[0]].discard(key)
            self.decoded.pop(key, None)

    def read(self, key: bytes, form: type[R]) -> R | None:
        """None: there is none, or none that can be read."""
        held = self.keys.get(key)
        if held is None:
            return None
        known = self.decoded.get(key)
        if known is None or known[0] != held.mod_revision:
            record: Record | None = None
            try:
                record = records.decode(held.value, form)
            except RecordError as fault:
                log.warning("coordination: %s can't be read: %s", key.decode("utf-8", "replace"), fault)
            known = self.decoded[key] = (held.mod_revision, record)
        return cast("R | None", known[1])  # a key has records of one form

    def _below(self, kind: str, form: type[R]) -> Iterator[tuple[KeyValue, R]]:
        for key in sorted(self.kinds.get(kind, ())):
            record = self.read(key, form)
            if record is not None:
                yield self.keys[key], record

    def records(self, *kind: str, form: type[R]) -> list[tuple[list[str], R]]:
        """All below these parts, each with the parts behind them."""
        found = []
        for key in sorted(self.kinds.get(kind[0], ())):
            parts = self.at.split(key)
            record = self.read(key, form) if parts[: len(kind)] == list(kind) else None
            if record is not None:
                found.append((parts[len(kind) :], record))
        return found

    def members(self) -> list[tuple[KeyValue, MemberRecord]]:
        return list(self._below("members", MemberRecord))

    def known(self) -> list[tuple[KeyValue, KnownMemberRecord]]:
        return list(self._below("known", KnownMemberRecord))

    def holders(self) -> list[tuple[KeyValue, DutyHolderRecord]]:
        return list(self._below("duties", DutyHolderRecord))

    def figures(self) -> dict[str, MemberMetricsRecord]:
        return {figures.name: figures for _, figures in self._below("figures", MemberMetricsRecord)}

    def heir(self, duty: str) -> str:
        found = self.read(self.at.heir(duty), SuccessorRecord)
        return found.name if found is not None else ""

    def missing(self) -> list[KnownMemberRecord]:
        """Who was here and is not, with no process of that name."""
        live = {member.name for _, member in self.members()}
        return [known for _, known in self.known() if known.name not in live]
