"""What is removed of bundles and outcomes, and never while somebody may still fetch it."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from gladegw.control.duties import bundle_collection
from gladegw.control.duties import policy_coordinator as deciding
from gladegw.control.duties.bundle_collection import MAX_OUTCOMES, UNREFERENCED_GRACE_S, BundleCollection
from gladegw.control.keys import Keys
from gladegw.control.store_cache import StoreCache
from gladegw.coordination.records import (
    ChangeOutcomeRecord,
    MemberRecord,
    PolicyChangeRecord,
    PolicyRecord,
    Record,
    RolloutLimitsRecord,
    RolloutRecord,
    VoteRecord,
    decode,
    encode,
)
from gladegw.coordination.store import Compare, Delete, Get, InMemoryStore, Operation, Put, Txn, TxnResult

LIMITS = RolloutLimitsRecord(failed=0, refused=0, level=0, alpha=0.01, least_requests=1)
ROLLOUT = RolloutRecord(
    id="r",
    old="o",
    new="n",
    stages=(),
    limits=LIMITS,
    bake_s=1,
    most_s=1,
    confirm_s=1,
    deadline_s=1,
    everyone=True,
)


class Held:
    """A duty that is held before the store's model."""

    token = 1

    def __init__(self) -> None:
        self.model, self.keys = InMemoryStore(), Keys("/x")

    @property
    def cache(self) -> StoreCache:
        view = StoreCache(self.keys)
        view.load_snapshot(self.keys.all, self.model.revision, self.model.get(Get(*self.keys.all)))
        return view

    def put(self, key: bytes, record: Record | bytes) -> None:
        self.model.txn(Txn((), (Put(key, record if isinstance(record, bytes) else encode(record)),)))

    async def names(self, first: bytes, end: bytes) -> list[bytes]:
        return [kv.key for kv in self.model.get(Get(first, end))]

    async def grant(self, ttl: int) -> int:
        raise NotImplementedError

    async def effect(self, *operations: Operation, compares: tuple[Compare, ...] = ()) -> TxnResult:
        return self.model.txn(Txn(compares, operations))

    def there(self) -> set[str]:
        return {kv.key.decode().split("/")[4] for kv in self.model.get(Get(*self.keys.bundle("")))}


def test_a_bundle_goes_once_nothing_has_named_it_for_an_hour(monkeypatch: pytest.MonkeyPatch) -> None:
    now = 1000.0
    monkeypatch.setattr(bundle_collection, "boot_time", lambda: now)
    held, duty = Held(), BundleCollection()
    for digest in ("force", "stage", "past", "change", "o", "n", "old", "fresh"):
        held.put(held.keys.bundle_chunk(digest, 0), b"1")
        held.put(held.keys.bundle_chunk(digest, 1), b"2")
    held.put(held.keys.committed_policy, PolicyRecord(epoch=2, digest="force", new="stage", named=("a",)))
    held.put(held.keys.history(1), PolicyRecord(epoch=1, digest="past"))
    held.put(held.keys.open_change, PolicyChangeRecord(id="c", epoch=3, digest="change"))
    held.put(held.keys.rollout, ROLLOUT)
    asyncio.run(duty.step(held))
    now += UNREFERENCED_GRACE_S - 1
    held.put(
        held.keys.committed_policy, PolicyRecord(epoch=3, digest="fresh")
    )  # named meanwhile, and no more
    asyncio.run(duty.step(held))
    assert held.there() == {"force", "stage", "past", "change", "o", "n", "old", "fresh"}
    held.put(held.keys.committed_policy, PolicyRecord(epoch=4, digest="force", new="stage"))
    now += 1
    asyncio.run(duty.step(held))
    assert held.there() == {"force", "stage", "past", "change", "o", "n", "fresh"}


def test_nothing_goes_where_a_change_was_opened_since(monkeypatch: pytest.MonkeyPatch) -> None:
    now = 1000.0
    monkeypatch.setattr(bundle_collection, "boot_time", lambda: now)
    held, duty = Held(), BundleCollection()
    held.put(held.keys.bundle_chunk("old", 0), b"1")
    asyncio.run(duty.step(held))
    now += UNREFERENCED_GRACE_S
    real = held.names

    async def names(first: bytes, end: bytes) -> list[bytes]:
        found = await real(first, end)
        view = held.cache
        monkeypatch.setattr(Held, "cache", property(lambda self: view))  # what is known of the store is older
        held.put(held.keys.open_change, PolicyChangeRecord(id="c", epoch=1, digest="old"))
        return found

    held.names = names  # type: ignore[method-assign]
    view = held.cache
    monkeypatch.setattr(Held, "cache", property(lambda self: view))
    asyncio.run(duty.step(held))
    assert held.there() == {"old"}


def test_outcomes_are_bounded() -> None:
    held: Any = Held()
    for number in range(MAX_OUTCOMES + 5):
        ended = ChangeOutcomeRecord(id=f"{number}", epoch=1, digest="d", outcome="nowhere", at=float(number))
        held.put(held.keys.change_outcome(f"{number}"), ended)
    asyncio.run(BundleCollection().step(held))
    left = [ended.id for _, ended in held.cache.records("policy", "ended", form=ChangeOutcomeRecord)]
    assert len(left) == MAX_OUTCOMES and "4" not in left and "5" in left


@pytest.mark.parametrize("planted", [False, True])
def test_a_vote_that_ended_meanwhile_decides_nothing(planted: bool, monkeypatch: pytest.MonkeyPatch) -> None:
    """Found by a simulated outage: the voter's lease was given back while the decision was on its way."""
    if planted:
        monkeypatch.setattr(deciding, "votes_unchanged", lambda view, cast: ())
    held, at = Held(), Keys("/x")
    held.put(at.committed_policy, PolicyRecord(epoch=1, digest="old"))
    for name in ("a", "b"):
        held.put(at.member(name, "i"), MemberRecord(name=name, incarnation="i"))
    held.put(
        at.open_change,
        PolicyChangeRecord(id="c", epoch=2, digest="new", members=("a#i", "b#i"), everyone=False),
    )
    change = held.model.keys[at.open_change].create_revision
    for name in ("a", "b"):
        held.put(at.vote(name, "i"), VoteRecord(change=change, digest="new", yes=True))
    view = held.cache
    held.model.txn(Txn((), (Delete(at.vote("b", "i")), Delete(at.member("b", "i")))))
    monkeypatch.setattr(Held, "cache", property(lambda self: view))  # what is known of the store is older
    monkeypatch.setattr(deciding, "POLL_INTERVAL_S", 0.0)
    asyncio.run(deciding.PolicyCoordinator().step(held))
    assert (at.open_change in held.model.keys) is not planted
    assert decode(held.model.keys[at.committed_policy].value, PolicyRecord).epoch == (2 if planted else 1)
