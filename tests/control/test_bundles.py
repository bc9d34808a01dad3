"""The duties that remove bundles and outcomes and decide changes, on an in-memory store.

A bundle that a member may still fetch is never removed.
"""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from gladegw.control.duties import bundle_collection, policy_coordinator
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


class InMemoryDutyContext:
    """Context of a duty that is always held, on an in-memory store."""

    token = 1

    def __init__(self) -> None:
        self.store, self.keys = InMemoryStore(), Keys("/x")

    @property
    def cache(self) -> StoreCache:
        view = StoreCache(self.keys)
        view.load_snapshot(self.keys.all, self.store.revision, self.store.get(Get(*self.keys.all)))
        return view

    def put(self, key: bytes, record: Record | bytes) -> None:
        self.store.txn(Txn((), (Put(key, record if isinstance(record, bytes) else encode(record)),)))

    async def names(self, first: bytes, end: bytes) -> list[bytes]:
        return [kv.key for kv in self.store.get(Get(first, end))]

    async def grant(self, ttl: int) -> int:
        raise NotImplementedError

    async def effect(self, *operations: Operation, compares: tuple[Compare, ...] = ()) -> TxnResult:
        return self.store.txn(Txn(compares, operations))

    def bundle_digests(self) -> set[str]:
        return {kv.key.decode().split("/")[4] for kv in self.store.get(Get(*self.keys.bundle("")))}


def test_a_bundle_is_removed_after_an_hour_without_a_reference(monkeypatch: pytest.MonkeyPatch) -> None:
    now = 1000.0
    monkeypatch.setattr(bundle_collection, "boot_time", lambda: now)
    context, duty = InMemoryDutyContext(), BundleCollection()
    for digest in ("force", "stage", "past", "change", "o", "n", "old", "fresh"):
        context.put(context.keys.bundle_chunk(digest, 0), b"1")
        context.put(context.keys.bundle_chunk(digest, 1), b"2")
    context.put(
        context.keys.committed_policy, PolicyRecord(epoch=2, digest="force", new="stage", named=("a",))
    )
    context.put(context.keys.history(1), PolicyRecord(epoch=1, digest="past"))
    context.put(context.keys.open_change, PolicyChangeRecord(id="c", epoch=3, digest="change"))
    context.put(context.keys.rollout, ROLLOUT)
    asyncio.run(duty.step(context))
    now += UNREFERENCED_GRACE_S - 1
    # Referenced only until the next change.
    context.put(context.keys.committed_policy, PolicyRecord(epoch=3, digest="fresh"))
    asyncio.run(duty.step(context))
    assert context.bundle_digests() == {"force", "stage", "past", "change", "o", "n", "old", "fresh"}
    context.put(context.keys.committed_policy, PolicyRecord(epoch=4, digest="force", new="stage"))
    now += 1
    asyncio.run(duty.step(context))
    assert context.bundle_digests() == {"force", "stage", "past", "change", "o", "n", "fresh"}


def test_no_bundle_is_removed_if_a_change_was_opened_since_the_cached_state(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    now = 1000.0
    monkeypatch.setattr(bundle_collection, "boot_time", lambda: now)
    context, duty = InMemoryDutyContext(), BundleCollection()
    context.put(context.keys.bundle_chunk("old", 0), b"1")
    asyncio.run(duty.step(context))
    now += UNREFERENCED_GRACE_S
    read_names = context.names

    async def open_change_and_read_names(first: bytes, end: bytes) -> list[bytes]:
        keys = await read_names(first, end)
        view = context.cache
        # The duty keeps this cache, which is older than the store from now on.
        monkeypatch.setattr(InMemoryDutyContext, "cache", property(lambda self: view))
        context.put(context.keys.open_change, PolicyChangeRecord(id="c", epoch=1, digest="old"))
        return keys

    context.names = open_change_and_read_names  # type: ignore[method-assign]
    view = context.cache
    monkeypatch.setattr(InMemoryDutyContext, "cache", property(lambda self: view))
    asyncio.run(duty.step(context))
    assert context.bundle_digests() == {"old"}


def test_only_the_newest_outcomes_are_kept() -> None:
    context: Any = InMemoryDutyContext()
    for number in range(MAX_OUTCOMES + 5):
        outcome = ChangeOutcomeRecord(
            id=f"{number}", epoch=1, digest="d", outcome="nowhere", at=float(number)
        )
        context.put(context.keys.change_outcome(f"{number}"), outcome)
    asyncio.run(BundleCollection().step(context))
    retained = [
        outcome.id for _, outcome in context.cache.records("policy", "ended", form=ChangeOutcomeRecord)
    ]
    assert len(retained) == MAX_OUTCOMES and "4" not in retained and "5" in retained


@pytest.mark.parametrize("planted", [False, True])
def test_a_vote_deleted_before_the_decision_is_not_counted(
    planted: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against committing a change on a vote whose lease was revoked while the decision was being sent.

    Without the comparisons of the votes (`planted`), the change commits.
    """
    if planted:
        monkeypatch.setattr(policy_coordinator, "votes_unchanged", lambda view, cast: ())
    context, keys = InMemoryDutyContext(), Keys("/x")
    context.put(keys.committed_policy, PolicyRecord(epoch=1, digest="old"))
    for name in ("a", "b"):
        context.put(keys.member(name, "i"), MemberRecord(name=name, incarnation="i"))
    context.put(
        keys.open_change,
        PolicyChangeRecord(id="c", epoch=2, digest="new", members=("a#i", "b#i"), everyone=False),
    )
    change = context.store.keys[keys.open_change].create_revision
    for name in ("a", "b"):
        context.put(keys.vote(name, "i"), VoteRecord(change=change, digest="new", yes=True))
    view = context.cache
    context.store.txn(Txn((), (Delete(keys.vote("b", "i")), Delete(keys.member("b", "i")))))
    # The cache is older than the store.
    monkeypatch.setattr(InMemoryDutyContext, "cache", property(lambda self: view))
    monkeypatch.setattr(policy_coordinator, "POLL_INTERVAL_S", 0.0)
    asyncio.run(policy_coordinator.PolicyCoordinator().step(context))
    assert (keys.open_change in context.store.keys) is not planted
    assert decode(context.store.keys[keys.committed_policy].value, PolicyRecord).epoch == (
        2 if planted else 1
    )
