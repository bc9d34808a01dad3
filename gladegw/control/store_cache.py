"""Local copy of the watched keys of the store, updated by snapshots and watches."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Iterable, Iterator
from typing import TypeVar, cast

from gladegw.control.keys import KeyRange, Keys
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


class StoreCache:
    """Cache of store entries by key.

    Each range of keys is known up to its own revision. Records are decoded on first use after each change
    of their key.
    """

    def __init__(self, keys: Keys) -> None:
        self.keys = keys
        self.known_revisions: dict[KeyRange, int] = {}
        self.entries: dict[bytes, KeyValue] = {}
        self.keys_by_kind: dict[str, set[bytes]] = {}
        self.decoded: dict[bytes, tuple[int, Record | None]] = {}
        self.changed = asyncio.Event()  # set at each change; those who wait for it clear it

    def known_revision(self, key_range: KeyRange) -> int:
        """Return the revision up to which a range is completely known; 0 if it is not."""
        first, end = key_range
        return max(
            (
                known
                for cached, known in self.known_revisions.items()
                if cached[0] <= first and cached[1] >= end
            ),
            default=0,
        )

    def load_snapshot(self, key_range: KeyRange, revision: int, entries: Iterable[KeyValue]) -> None:
        """Replace a range by a complete read of it at a revision."""
        by_key = {kv.key: kv for kv in entries}
        for key in [key for key in self.entries if within(key, *key_range) and key not in by_key]:
            self._remove(key)
        for kv in by_key.values():
            self._put(kv)
        self.known_revisions[key_range] = revision
        self.changed.set()

    def apply_events(self, key_range: KeyRange, revision: int, events: Iterable[StoreEvent]) -> None:
        """Apply the events of a watched range up to a revision."""
        for event in events:
            if event.deleted:
                self._remove(event.kv.key)
            else:
                self._put(event.kv)
        self.known_revisions[key_range] = max(self.known_revisions.get(key_range, 0), revision)
        self.changed.set()

    def drop_range(self, key_range: KeyRange) -> None:
        """Remove a range that is no longer watched."""
        self.load_snapshot(key_range, 0, ())
        del self.known_revisions[key_range]

    def retain_ranges(self, *key_ranges: KeyRange) -> None:
        """Forget the known revisions of all other ranges; their entries remain until the next snapshot."""
        self.known_revisions = {
            key_range: known for key_range, known in self.known_revisions.items() if key_range in key_ranges
        }

    def _put(self, kv: KeyValue) -> None:
        self.entries[kv.key] = kv
        self.keys_by_kind.setdefault(self.keys.split(kv.key)[0], set()).add(kv.key)

    def _remove(self, key: bytes) -> None:
        if self.entries.pop(key, None) is not None:
            self.keys_by_kind[self.keys.split(key)[0]].discard(key)
            self.decoded.pop(key, None)

    def read(self, key: bytes, form: type[R]) -> R | None:
        """Return the decoded record of a key; None if it is missing or invalid."""
        entry = self.entries.get(key)
        if entry is None:
            return None
        known = self.decoded.get(key)
        if known is None or known[0] != entry.mod_revision:
            record: Record | None = None
            try:
                record = records.decode(entry.value, form)
            except RecordError as fault:
                log.warning(
                    "coordination: the record %s is invalid: %s", key.decode("utf-8", "replace"), fault
                )
            known = self.decoded[key] = (entry.mod_revision, record)
        return cast("R | None", known[1])  # all records of a key have the same type

    def _records_of_kind(self, kind: str, form: type[R]) -> Iterator[tuple[KeyValue, R]]:
        for key in sorted(self.keys_by_kind.get(kind, ())):
            record = self.read(key, form)
            if record is not None:
                yield self.entries[key], record

    def records(self, *kind: str, form: type[R]) -> list[tuple[list[str], R]]:
        """Return all records below a key prefix, each with the remaining segments of its key."""
        matching = []
        for key in sorted(self.keys_by_kind.get(kind[0], ())):
            segments = self.keys.split(key)
            record = self.read(key, form) if segments[: len(kind)] == list(kind) else None
            if record is not None:
                matching.append((segments[len(kind) :], record))
        return matching

    def members(self) -> list[tuple[KeyValue, MemberRecord]]:
        """Return the member records with their entries."""
        return list(self._records_of_kind("members", MemberRecord))

    def known_members(self) -> list[tuple[KeyValue, KnownMemberRecord]]:
        """Return the records of all members that have existed, with their entries."""
        return list(self._records_of_kind("known", KnownMemberRecord))

    def duty_holders(self) -> list[tuple[KeyValue, DutyHolderRecord]]:
        """Return the duty holders with their entries."""
        return list(self._records_of_kind("duties", DutyHolderRecord))

    def member_metrics(self) -> dict[str, MemberMetricsRecord]:
        """Return the reported metrics by member name."""
        return {metrics.name: metrics for _, metrics in self._records_of_kind("figures", MemberMetricsRecord)}

    def successor(self, duty: str) -> str:
        """Return the designated successor of a duty, or an empty string."""
        record = self.read(self.keys.successor(duty), SuccessorRecord)
        return record.name if record is not None else ""

    def missing_members(self) -> list[KnownMemberRecord]:
        """Return the known members without a live process of their name."""
        live = {member.name for _, member in self.members()}
        return [known for _, known in self.known_members() if known.name not in live]
