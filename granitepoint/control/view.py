"""What a process knows of the store's keys: one copy, kept up by a whole read and the watch behind it."""

from __future__ import annotations

import logging
from collections.abc import Iterable, Iterator
from typing import TypeVar

from granitepoint.control.keys import Keys
from granitepoint.coordination import records
from granitepoint.coordination.records import Figures, Heir, Holder, Known, Member, Record, RecordError
from granitepoint.coordination.store import Event, KeyValue

log = logging.getLogger(__name__)

R = TypeVar("R", bound=Record)


class View:
    def __init__(self, keys: Keys) -> None:
        self.at = keys
        self.revision = 0
        self.keys: dict[bytes, KeyValue] = {}
        self.said: set[tuple[bytes, int]] = set()  # records that can't be read, said once each

    def whole(self, revision: int, found: Iterable[KeyValue]) -> None:
        self.revision = revision
        self.keys = {kv.key: kv for kv in found}
        self.said &= {(kv.key, kv.mod_revision) for kv in self.keys.values()}

    def change(self, revision: int, events: Iterable[Event]) -> None:
        for event in events:
            if event.gone:
                self.keys.pop(event.kv.key, None)
            else:
                self.keys[event.kv.key] = event.kv
        self.revision = max(self.revision, revision)

    def read(self, key: bytes, form: type[R]) -> R | None:
        """None: there is none, or none that can be read."""
        held = self.keys.get(key)
        if held is None:
            return None
        try:
            return records.decode(held.value, form)
        except RecordError as fault:
            if (key, held.mod_revision) not in self.said:
                self.said.add((key, held.mod_revision))
                log.warning("coordination: %s can't be read: %s", key.decode("utf-8", "replace"), fault)
            return None

    def _below(self, kind: str, form: type[R]) -> Iterator[tuple[KeyValue, R]]:
        for key in sorted(self.keys):
            if self.at.split(key)[0] == kind:
                record = self.read(key, form)
                if record is not None:
                    yield self.keys[key], record

    def members(self) -> list[tuple[KeyValue, Member]]:
        return list(self._below("members", Member))

    def known(self) -> list[tuple[KeyValue, Known]]:
        return list(self._below("known", Known))

    def holders(self) -> list[tuple[KeyValue, Holder]]:
        return list(self._below("duties", Holder))

    def figures(self) -> dict[str, Figures]:
        return {figures.name: figures for _, figures in self._below("figures", Figures)}

    def heir(self, duty: str) -> str:
        found = self.read(self.at.heir(duty), Heir)
        return found.name if found is not None else ""

    def missing(self) -> list[Known]:
        """Who was here and is not, with no process of that name."""
        live = {member.name for _, member in self.members()}
        return [known for _, known in self.known() if known.name not in live]
