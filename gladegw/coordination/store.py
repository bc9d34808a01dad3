"""The contract of the store that all processes share, and an implementation in memory.

The contract is that of the etcd v3 API (etcd.io/docs, "API reference", "API guarantees"): keys with
revisions, transactions that compare and then write, leases, and the events of a watch. A write makes the
store's next revision; all writes of a transaction share one. The limits are the documented defaults of an
etcd server, with the server's flag in parentheses.
"""

from __future__ import annotations

from bisect import bisect_left, insort
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum
from typing import Literal

MAX_TXN_OPERATIONS = 128  # per transaction (--max-txn-ops)
MAX_REQUEST_BYTES = 1_572_864  # per request; 1.5 MiB (--max-request-bytes)


class StoreError(Exception):
    """The store rejected a request, which had no effect."""


class CompactedError(StoreError):
    """The requested revision was compacted: a watcher has to start over with a full read."""

    def __init__(self, compact_revision: int) -> None:
        super().__init__("mvcc: required revision has been compacted")
        self.compact_revision = compact_revision


class LeaseNotFoundError(StoreError):
    """The store has no such lease."""

    def __init__(self) -> None:
        super().__init__("requested lease not found")


class QuotaExceededError(StoreError):
    """The store's size exceeds its quota."""

    def __init__(self) -> None:
        super().__init__("mvcc: database space exceeded")


@dataclass(frozen=True, slots=True)
class KeyValue:
    """A key with its value and revisions."""

    key: bytes
    value: bytes
    create_revision: int  # a new one if created again after a deletion
    mod_revision: int  # of its last write
    version: int  # writes since its creation, from 1
    lease: int  # 0: none


class Target(Enum):
    """The attribute of a key that a Compare reads."""

    VERSION = "version"
    CREATE = "create_revision"
    MOD = "mod_revision"
    VALUE = "value"
    LEASE = "lease"


@dataclass(frozen=True, slots=True)
class Compare:
    """A condition of a transaction.

    For a missing key all numbers are 0, and any comparison of its value is false.
    """

    key: bytes
    target: Target
    relation: Literal["=", "!=", ">", "<"]
    operand: int | bytes


@dataclass(frozen=True, slots=True)
class Get:
    r"""A read of one key or a range.

    With an empty `end` it reads the single key, with b"\0" all keys from `key` on, else those from `key` up
    to but not including `end`. `revision` 0 means the current revision.
    """

    key: bytes
    end: bytes = b""
    revision: int = 0


@dataclass(frozen=True, slots=True)
class Put:
    """A write of one key, under a lease unless that is 0."""

    key: bytes
    value: bytes
    lease: int = 0


@dataclass(frozen=True, slots=True)
class Delete:
    """A deletion of one key or a range, as in Get."""

    key: bytes
    end: bytes = b""


Operation = Get | Put | Delete


@dataclass(frozen=True, slots=True)
class Txn:
    """A transaction: `success` is executed if all comparisons hold, else `failure`."""

    compare: tuple[Compare, ...]
    success: tuple[Operation, ...]
    failure: tuple[Operation, ...] = ()


@dataclass(frozen=True, slots=True)
class TxnResult:
    """The result of a transaction.

    `found` has one entry for each operation: the keys that a Get has read, those that a Delete has removed,
    or an empty one for a Put.
    """

    revision: int
    succeeded: bool
    found: tuple[tuple[KeyValue, ...], ...]


@dataclass(frozen=True, slots=True)
class StoreEvent:
    """A put or a deletion; after a deletion `kv` has only the key and the revision.

    `before` is the key's previous state, if there was one.
    """

    kv: KeyValue
    deleted: bool
    before: KeyValue | None = None


def prefix_end(prefix: bytes) -> bytes:
    """Return the end of the range of all keys with this prefix."""
    stripped = prefix.rstrip(b"\xff")
    return stripped[:-1] + bytes([stripped[-1] + 1]) if stripped else b"\0"


def within(key: bytes, first: bytes, end: bytes) -> bool:
    """Whether a key is in a range, as in Get."""
    return key == first if not end else key >= first and (end == b"\0" or key < end)


@dataclass(slots=True)
class GrantedLease:
    """A lease as the store has it."""

    id: int
    ttl: int  # s
    expires_at: float  # by the store's clock


class InMemoryStore:
    """A store in memory that implements the contract.

    `now` arguments are the store's own clock, in s. `min_ttl` is in s; `quota` is in bytes, 0 for none.
    """

    def __init__(self, min_ttl: int = 1, quota: int = 0) -> None:
        self.revision = 1
        self.compacted = 0
        self.keys: dict[bytes, KeyValue] = {}
        self.sorted_keys: list[bytes] = []  # the keys of `keys`
        self.keys_by_lease: dict[int, set[bytes]] = {}
        self.log: list[StoreEvent] = []  # events after revision `compacted`, in order
        self.leases: dict[int, GrantedLease] = {}
        self.min_ttl, self.quota = min_ttl, quota
        self.next_lease = 1

    # reads
    def get(self, request: Get) -> tuple[KeyValue, ...]:
        """Read one key or a range, in the order of keys.

        Raises StoreError for a future revision and CompactedError for a compacted one.
        """
        if request.revision > self.revision:
            raise StoreError("mvcc: required revision is a future revision")
        if 0 < request.revision < self.compacted:
            raise CompactedError(self.compacted)
        keys = self.keys if request.revision in (0, self.revision) else self._as_of(request.revision)
        if not request.end:
            found = keys.get(request.key)
            return () if found is None else (found,)
        order = self.sorted_keys if keys is self.keys else sorted(keys)
        first = bisect_left(order, request.key)
        last = len(order) if request.end == b"\0" else bisect_left(order, request.end)
        return tuple(keys[key] for key in order[first:last])

    def _as_of(self, revision: int) -> dict[bytes, KeyValue]:
        keys = dict(self.keys)
        for event in reversed(self.log):
            if event.kv.mod_revision <= revision:
                break
            if event.before is None:
                del keys[event.kv.key]
            else:
                keys[event.kv.key] = event.before
        return keys

    def since(self, revision: int, key: bytes, end: bytes = b"") -> list[StoreEvent]:
        """Return the past events of a watch from this revision on; raises CompactedError."""
        if revision <= self.compacted:
            raise CompactedError(self.compacted)
        found = []
        for event in reversed(self.log):
            if event.kv.mod_revision < revision:
                break
            if within(event.kv.key, key, end):
                found.append(event)
        return found[::-1]

    # writes
    def txn(self, request: Txn) -> TxnResult:
        """Execute a transaction atomically; raises StoreError without any effect."""
        for branch in (request.success, request.failure):
            self._check(branch)
        if max(len(request.compare), len(request.success), len(request.failure)) > MAX_TXN_OPERATIONS:
            raise StoreError("etcdserver: too many operations in txn request")
        succeeded = all(self._holds(compare) for compare in request.compare)
        chosen = request.success if succeeded else request.failure
        for operation in chosen:
            if isinstance(operation, Put) and operation.lease and operation.lease not in self.leases:
                raise LeaseNotFoundError
            if isinstance(operation, Put) and 0 < self.quota < self.size:
                raise QuotaExceededError
        new_revision = self.revision + 1
        found: list[tuple[KeyValue, ...]] = []
        changed = False
        for operation in chosen:
            if isinstance(operation, Get):
                found.append(self.get(operation))
            elif isinstance(operation, Put):
                self._put(operation, new_revision)
                found.append(())
                changed = True
            else:
                removed = self.get(Get(operation.key, operation.end))
                self._delete(removed, new_revision)
                found.append(removed)
                changed |= bool(removed)
        if changed:
            self.revision = new_revision
        return TxnResult(self.revision, succeeded, tuple(found))

    def _check(self, branch: Sequence[Operation]) -> None:
        written: set[bytes] = set()
        for operation in branch:
            if not operation.key:
                raise StoreError("etcdserver: key is not provided")
            if isinstance(operation, Put):
                if operation.key in written:
                    raise StoreError("etcdserver: duplicate key given in txn request")
                written.add(operation.key)
        for operation in branch:
            if isinstance(operation, Delete) and any(
                within(key, operation.key, operation.end) for key in written
            ):
                raise StoreError("etcdserver: duplicate key given in txn request")

    def _holds(self, compare: Compare) -> bool:
        current = self.keys.get(compare.key)
        if compare.target is Target.VALUE:
            if current is None:
                return False
            value: int | bytes = current.value
        else:
            value = 0 if current is None else getattr(current, compare.target.value)
        operand = compare.operand
        if compare.relation == "=":
            return value == operand
        if compare.relation == "!=":
            return value != operand
        return value > operand if compare.relation == ">" else value < operand  # type: ignore[operator]

    @property
    def size(self) -> int:
        """Bytes of all keys and values."""
        return sum(len(kv.key) + len(kv.value) for kv in self.keys.values())

    def _put(self, request: Put, revision: int) -> None:
        before = self.keys.get(request.key)
        kv = KeyValue(
            request.key,
            request.value,
            revision if before is None else before.create_revision,
            revision,
            1 if before is None else before.version + 1,
            request.lease,
        )
        if before is not None:
            self._detach(before)
        self.set_current(kv)
        self.log.append(StoreEvent(kv, False, before))

    def _delete(self, removed: Sequence[KeyValue], revision: int) -> None:
        for before in removed:
            del self.keys[before.key]
            del self.sorted_keys[bisect_left(self.sorted_keys, before.key)]
            self._detach(before)
            self.log.append(StoreEvent(KeyValue(before.key, b"", 0, revision, 0, 0), True, before))

    def set_current(self, kv: KeyValue) -> None:
        """Set a key's current state without an event."""
        if kv.key not in self.keys:
            insort(self.sorted_keys, kv.key)
        self.keys[kv.key] = kv
        if kv.lease:
            self.keys_by_lease.setdefault(kv.lease, set()).add(kv.key)

    def _detach(self, kv: KeyValue) -> None:
        """Detach a key from its lease."""
        if kv.lease in self.keys_by_lease:
            self.keys_by_lease[kv.lease].discard(kv.key)
            if not self.keys_by_lease[kv.lease]:
                del self.keys_by_lease[kv.lease]

    def compact(self, revision: int) -> None:
        """Drop the events up to and including a revision.

        Raises CompactedError if it was compacted already, and StoreError if it is in the future.
        """
        if revision <= self.compacted:
            raise CompactedError(self.compacted)
        if revision > self.revision:
            raise StoreError("mvcc: required revision is a future revision")
        self.compacted = revision
        self.log = [event for event in self.log if event.kv.mod_revision > revision]

    # leases
    def grant(self, ttl: int, now: float, id: int = 0) -> GrantedLease:
        """Grant a lease, with an unused id unless one is given; raises StoreError if that one exists.

        `ttl` is in s and raised to the store's minimum.
        """
        if id in self.leases:
            raise StoreError("etcdserver: lease already exists")
        if not id:
            while self.next_lease in self.leases:
                self.next_lease += 1
            id, self.next_lease = self.next_lease, self.next_lease + 1
        ttl = max(ttl, self.min_ttl)
        lease = self.leases[id] = GrantedLease(id, ttl, now + ttl)
        return lease

    def keep_alive(self, id: int, now: float) -> int:
        """Renew a lease and return its time to live in s; 0 if there is no such lease."""
        lease = self.leases.get(id)
        if lease is None:
            return 0
        lease.expires_at = now + lease.ttl
        return lease.ttl

    def revoke(self, id: int) -> None:
        """End a lease and delete its keys; raises LeaseNotFoundError."""
        if self.leases.pop(id, None) is None:
            raise LeaseNotFoundError
        removed = [self.keys[key] for key in self.attached(id)]
        if removed:
            self.revision += 1
            self._delete(removed, self.revision)

    def attached(self, id: int) -> list[bytes]:
        """Return the keys under a lease, sorted."""
        return sorted(self.keys_by_lease.get(id, ()))

    def expire(self, now: float) -> list[int]:
        """Revoke the leases that have expired and return their ids."""
        expired = sorted(id for id, lease in self.leases.items() if lease.expires_at <= now)
        for id in expired:
            self.revoke(id)
        return expired

    def extend_all(self, now: float) -> None:
        """Extend each lease to a full time to live, as a new leader of an etcd cluster does.

        The new leader cannot know when a lease was last renewed.
        """
        for lease in self.leases.values():
            lease.expires_at = max(lease.expires_at, now + lease.ttl)
