"""The store in memory, leases, duties, the election order and records, without I/O."""

from __future__ import annotations

import math

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from gladegw.coordination import duty as duties
from gladegw.coordination import election_order, records
from gladegw.coordination.lease import MAX_CLOCK_DRIFT, Fence, Lease, StaleTokenError, granted, renewed
from gladegw.coordination.store import (
    MAX_TXN_OPERATIONS,
    CompactedError,
    Compare,
    Delete,
    Get,
    InMemoryStore,
    KeyValue,
    LeaseNotFoundError,
    Operation,
    Put,
    QuotaExceededError,
    StoreError,
    Target,
    Txn,
    prefix_end,
    within,
)

keys = st.sampled_from([b"a", b"b", b"b/1", b"b/2", b"c"])
writes = st.one_of(
    st.builds(Put, keys, st.binary(max_size=3)),
    st.builds(Delete, keys, st.sampled_from([b"", b"c", b"\0"])),
)


def write(store: InMemoryStore, *operations: Operation) -> int:
    return store.txn(Txn((), operations)).revision


@given(st.lists(writes, max_size=20))
def test_events_since_a_revision_turn_its_state_into_the_current_one(operations: list[Operation]) -> None:
    store = InMemoryStore()
    states = {1: dict(store.keys)}
    for operation in operations:
        before = store.revision
        assert write(store, operation) in (before, before + 1)
        states[store.revision] = dict(store.keys)
    for revision, state in states.items():
        assert {kv.key: kv for kv in store.get(Get(b"a", b"\0", revision))} == state
        copy = dict(state)
        for event in store.since(revision + 1, b"a", b"\0"):
            assert event.before == copy.get(event.kv.key)
            if event.deleted:
                del copy[event.kv.key]
            else:
                copy[event.kv.key] = event.kv
        assert copy == store.keys


@given(st.lists(writes, min_size=1, max_size=8))
def test_key_created_again_after_a_deletion_has_version_1(operations: list[Operation]) -> None:
    store = InMemoryStore()
    for operation in operations:
        write(store, operation)
    write(store, Delete(b"a", b"\0"))
    write(store, Put(b"a", b"x"))
    assert store.keys[b"a"] == KeyValue(b"a", b"x", store.revision, store.revision, 1, 0)


def test_transaction_is_atomic_and_makes_one_revision() -> None:
    store = InMemoryStore()
    compares = (Compare(b"a", Target.CREATE, "=", 0), Compare(b"b", Target.VALUE, "=", b"no"))
    assert not store.txn(Txn(compares, (Put(b"a", b"1"),), (Get(b"a"),))).succeeded and store.revision == 1
    result = store.txn(Txn(compares[:1], (Put(b"a", b"1"), Put(b"b", b"2"), Get(b"a"))))
    assert result.succeeded and result.revision == store.revision == 2 and result.found[2][0].value == b"1"
    for operations, error in (
        ((Put(b"a", b"1"), Put(b"a", b"2")), "duplicate"),
        ((Put(b"b/1", b""), Delete(b"b", b"c")), "duplicate"),
        ((Put(b"", b"1"),), "not provided"),
        (tuple(Put(b"%d" % n, b"") for n in range(MAX_TXN_OPERATIONS + 1)), "too many"),
        ((Put(b"z", b""), Put(b"a", b"1", 77)), "lease not found"),
        ((Get(b"a", b"", 99),), "future"),
    ):
        with pytest.raises(StoreError, match=error):
            write(store, *operations)
        assert store.revision == 2 and b"z" not in store.keys


@pytest.mark.parametrize(("relation", "true_for"), [("=", {1}), ("!=", {0, 2}), (">", {2}), ("<", {0})])
def test_comparison_of_versions(relation: str, true_for: set[int]) -> None:
    for version in range(3):
        store = InMemoryStore()
        for _ in range(version):
            write(store, Put(b"a", b""))
        compare = Compare(b"a", Target.VERSION, relation, 1)  # type: ignore[arg-type]
        assert store.txn(Txn((compare,), ())).succeeded is (version in true_for)


def test_compacted_revisions_cannot_be_read_or_watched() -> None:
    store = InMemoryStore()
    for value in (b"1", b"2", b"3"):
        write(store, Put(b"a", value))
    store.compact(3)
    assert store.get(Get(b"a", b"", 3))[0].value == b"2"
    assert [event.kv.value for event in store.since(4, b"a")] == [b"3"]
    for request in (
        lambda: store.get(Get(b"a", b"", 2)),
        lambda: store.since(3, b"a"),
        lambda: store.compact(3),
    ):
        with pytest.raises(CompactedError) as caught:
            request()
        assert caught.value.compact_revision == 3


def test_lease_expires_by_the_stores_clock_and_its_keys_are_deleted() -> None:
    store = InMemoryStore(min_ttl=2)
    lease = store.grant(1, 0.0)
    assert lease.ttl == 2
    write(store, Put(b"a", b"1", lease.id), Put(b"b", b"2"))
    assert store.keep_alive(lease.id, 1.5) == 2 and store.expire(3.4) == []
    store.extend_all(3.0)
    assert store.expire(4.9) == [] and store.expire(5.0) == [lease.id] and list(store.keys) == [b"b"]
    assert store.keep_alive(lease.id, 5.0) == 0
    with pytest.raises(LeaseNotFoundError):
        store.revoke(lease.id)


def test_full_store_rejects_writes_but_allows_deletions() -> None:
    store = InMemoryStore(quota=4)
    write(store, Put(b"a", b"12345"))
    with pytest.raises(QuotaExceededError):
        write(store, Put(b"b", b""))
    write(store, Delete(b"a"))
    write(store, Put(b"b", b""))


@given(st.binary(max_size=3), st.binary(max_size=4))
def test_range_of_a_prefix_has_exactly_the_keys_with_it(prefix: bytes, key: bytes) -> None:
    assert within(key, prefix, prefix_end(prefix)) is key.startswith(prefix)


@given(
    st.lists(st.tuples(st.floats(0, 3), st.floats(0, 5), st.floats(0, 5), st.booleans()), max_size=12),
    st.floats(-MAX_CLOCK_DRIFT / 2.2, MAX_CLOCK_DRIFT / 2.2),
    st.integers(1, 20),
)
def test_lease_expires_earlier_for_its_holder_than_in_the_store(
    renewals: list[tuple[float, float, float, bool]], clock_drift: float, ttl: int
) -> None:
    """Whatever the delays, whichever responses are lost, for each clock drift that MAX_CLOCK_DRIFT covers."""
    store, now = InMemoryStore(), 0.0  # by the store's clock
    rate = 1 + clock_drift  # of the holder's clock relative to the store's
    sent = now
    lease = granted(store.grant(ttl, now).id, sent * rate, ttl)
    for pause, request_delay, response_delay, lost in renewals:
        now += pause
        sent = now
        now += request_delay
        store.expire(now)
        renewed_ttl = store.keep_alive(lease.id, now) if lease.id else 0
        now += response_delay
        if not lost:
            lease = renewed(lease, lease.id, sent * rate, renewed_ttl)
        stored = store.leases.get(lease.id)
        if lease.is_valid(now * rate):
            assert stored is not None and lease.until / rate <= stored.expires_at + 1e-9


def test_late_response_does_not_shorten_a_lease_and_one_for_another_is_ignored() -> None:
    lease = renewed(granted(7, 0.0, 10), 7, 5.0, 10)
    assert renewed(lease, 7, 1.0, 10) == lease and renewed(lease, 8, 9.0, 10) == lease
    assert renewed(lease, 7, 9.0, 0) == Lease() and Lease().until == -math.inf


def test_fence_rejects_older_tokens() -> None:
    fence = Fence()
    fence.accept(5)
    fence.accept(5)
    with pytest.raises(StaleTokenError, match="token 4 after 5"):
        fence.accept(4)


def test_release_keeps_the_next_holders_key() -> None:
    """Guards against a release that deletes the key regardless of its holder."""
    store = InMemoryStore()
    first, second = store.grant(5, 0.0).id, store.grant(5, 0.0).id
    store.txn(duties.claim(b"d", b"me", first))
    assert store.txn(duties.release(b"d", first, (Put(b"heir", b"you"),))).succeeded
    token = store.txn(duties.claim(b"d", b"you", second)).revision
    assert not store.txn(duties.release(b"d", first)).succeeded and store.keys[b"d"].value == b"you"
    assert not store.txn(duties.claim(b"d", b"me", first)).succeeded
    assert not store.txn(duties.fenced(b"d", token - 1, Put(b"x", b""))).succeeded
    assert store.txn(duties.fenced(b"d", token, Put(b"x", b""))).succeeded


def test_transitions_start_and_stop_effects_and_handle_expiry_in_each_phase() -> None:
    for (phase, _), (after, actions) in duties.TRANSITIONS.items():
        assert (duties.Action.START in actions) is (after is duties.Phase.HELD)
        if phase is duties.Phase.HELD:
            assert duties.Action.STOP in actions
    for phase in duties.Phase:
        if phase is not duties.Phase.IDLE:
            assert (phase, duties.Event.EXPIRED) in duties.TRANSITIONS


names = st.sets(st.text("abcdef", min_size=1, max_size=4), min_size=1, max_size=12)


@given(names, st.data())
def test_removal_of_a_member_moves_only_its_own_duties(members: set[str], data: st.DataObject) -> None:
    removed = data.draw(st.sampled_from(sorted(members)))
    weights = dict.fromkeys(members, 1.0)
    remaining = {name: 1.0 for name in members if name != removed}
    for duty in ("digest", "sweeper", "compare", "other"):
        before, after = election_order.ranking(duty, weights), election_order.ranking(duty, remaining)
        assert [name for name in before if name != removed] == after
        assert election_order.claim_delay(duty, before[0], weights, 0.05) == 0.0
        assert election_order.successor(duty, before[0], weights) == (before[1] if len(before) > 1 else "")


def test_duties_are_spread_by_weight_and_a_flapping_member_gets_none() -> None:
    detector = election_order.FlapDetector()
    for number in range(election_order.FLAP_THRESHOLD):
        detector.observe("c", str(number), float(number))
    detector.observe("a", "1", 0.0)
    weights = detector.weights(["a", "b", "c"], 5.0)
    assert weights == {"a": 1.0, "b": 1.0, "c": 0.0}
    firsts = [election_order.ranking(f"duty-{n}", weights)[0] for n in range(400)]
    assert firsts.count("c") == 0 and 150 < firsts.count("a") < 250
    firsts = [election_order.ranking(f"duty-{n}", {"a": 3.0, "b": 1.0})[0] for n in range(400)]
    assert 260 < firsts.count("a") < 340
    assert detector.weights(["c"], election_order.FLAP_WINDOW_S + 10.0) == {"c": 1.0}
    detector.forget(election_order.FLAP_WINDOW_S + 10.0)
    assert not detector.incarnations


def test_unknown_fields_of_a_newer_version_are_preserved() -> None:
    newer = b'{"v":2,"name":"p1","incarnation":"x","spin":[1,2],"state":"lame"}'
    member = records.decode(newer, records.MemberRecord)
    assert member.state == "lame" and member.can == ()
    rewritten = msgspec.json.decode(records.encode(msgspec.structs.replace(member, state="ready"), newer))
    assert rewritten["spin"] == [1, 2] and rewritten["v"] == 2 and rewritten["state"] == "ready"
    older = records.decode(b'{"name":"p1","incarnation":"x"}', records.MemberRecord)
    assert older.v == records.VERSION and records.encode(older, b"malformed")
    for malformed in (b"", b"\xff", b"[]", b'{"name":1}'):
        with pytest.raises(records.RecordError, match="member: "):
            records.decode(malformed, records.MemberRecord)
