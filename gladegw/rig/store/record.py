"""What was asked of the stand-in store and what it answered, each with begin and end, for the checker of
linearizability. An operation on several keys is told as one of each: whatever explains the whole explains
these, so no sound record is called broken."""

from __future__ import annotations

import contextlib
import hashlib
import math
from collections.abc import Callable, Iterable, Iterator
from pathlib import Path
from typing import BinaryIO

import msgspec

from gladegw.coordination.store import (
    Compare,
    Delete,
    Get,
    KeyValue,
    Put,
    StoreError,
    StoreEvent,
    Target,
    Txn,
    TxnResult,
)
from gladegw.rig.errors import RigError
from gladegw.rig.store.linearizability import Seen

RECORD = "store.record"  # its name in the folder of a run


def told(value: bytes) -> str:
    return hashlib.blake2b(value, digest_size=6).hexdigest()


def of_get(asked: Get, found: tuple[KeyValue, ...], begin: float, end: float) -> Iterator[Seen]:
    """Of a range: the keys that were there. One at an older revision says nothing of now."""
    if asked.revision:
        return
    if not asked.end:
        result = told(found[0].value) if found else None
        yield Seen(key=asked.key.decode("latin-1"), kind="read", begin=begin, end=end, result=result)
        return
    for kv in found:
        yield Seen(key=kv.key.decode("latin-1"), kind="read", begin=begin, end=end, result=told(kv.value))


def _put(put: Put, only_if_absent: bool, result: str | None, begin: float, end: float) -> Seen:
    return Seen(
        key=put.key.decode("latin-1"),
        kind="swap" if only_if_absent else "write",
        begin=begin,
        end=end,
        value=told(put.value),
        result=result if only_if_absent else None,
    )


def of_txn(asked: Txn, done: TxnResult | None, begin: float, end: float) -> Iterator[Seen]:
    """`done` None: not answered, so either branch may have taken place, or neither."""
    absent = {compare.key for compare in asked.compare if _wants_absent(compare)}
    if done is None:
        for operation in (*asked.success, *asked.failure):
            if isinstance(operation, Put):
                yield _put(operation, operation.key in absent, None, begin, math.inf)
            elif isinstance(operation, Delete) and not operation.end:
                yield Seen(key=operation.key.decode("latin-1"), kind="write", begin=begin)
        return
    if not done.succeeded and len(asked.compare) == 1:
        for operation in asked.success:
            if isinstance(operation, Put) and operation.key in absent:
                yield _put(operation, True, "no", begin, end)
    for operation, found in zip(asked.success if done.succeeded else asked.failure, done.found, strict=True):
        if isinstance(operation, Put):
            yield _put(operation, done.succeeded and operation.key in absent, "yes", begin, end)
        elif isinstance(operation, Delete):
            keys = {kv.key for kv in found} if operation.end else {operation.key}
            for key in sorted(keys):
                yield Seen(key=key.decode("latin-1"), kind="write", begin=begin, end=end)
        else:
            yield from of_get(operation, found, begin, end)


def _wants_absent(compare: Compare) -> bool:
    return compare.target is Target.CREATE and compare.relation == "=" and compare.operand == 0


class Recorder:
    """One JSON line an operation, in the order of their ends."""

    def __init__(self, file: BinaryIO, clock: Callable[[], float]) -> None:
        self.file, self.clock = file, clock

    def add(self, seen: Iterable[Seen]) -> None:
        for one in seen:
            self.file.write(msgspec.json.encode(one) + b"\n")
        self.file.flush()

    @contextlib.contextmanager
    def txn(self, asked: Txn) -> Iterator[Callable[[TxnResult], None]]:
        """Around one, which tells its outcome. If it ends by a fault it may have taken place, unless the
        store refuses it by its rules."""
        begin = self.clock()
        outcome: list[TxnResult] = []
        try:
            yield outcome.append
        except StoreError:
            raise
        except BaseException:
            self.add(of_txn(asked, None, begin, math.inf))
            raise
        self.add(of_txn(asked, outcome[0], begin, self.clock()))

    def gone(self, events: Iterable[StoreEvent], begin: float, end: float) -> None:
        """Deleted with their lease."""
        self.add(
            Seen(key=event.kv.key.decode("latin-1"), kind="write", begin=begin, end=end)
            for event in events
            if event.deleted
        )


def read(path: Path) -> list[Seen]:
    """Raises RigError, naming the line."""
    found: list[Seen] = []
    try:
        with path.open("rb") as file:
            for number, line in enumerate(file, 1):
                try:
                    found.append(msgspec.json.decode(line, type=Seen))
                except msgspec.DecodeError as fault:
                    raise RigError(f"{path}: line {number}: {fault}") from None
    except OSError as fault:
        raise RigError(f"{path}: {fault.strerror or fault}") from None
    return found
