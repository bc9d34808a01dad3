"""The checker of records by planted violations, then the stand-in by what several clients record."""

from __future__ import annotations

import asyncio
import math
import time
from collections.abc import Sequence
from pathlib import Path
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st
from support.fleet import Store, store
from support.loopback import PATIENCE, run

from gladegw.control.errors import StoreClientError, StoreRejectedError
from gladegw.control.store_client import StoreClient
from gladegw.coordination.store import Compare, Get, Put, Target, Txn
from gladegw.rig.store.linearizability import Seen, violations
from gladegw.rig.store.record import read as recorded


def read(begin: float, end: float, result: str | None) -> Seen:
    return Seen(key="k", kind="read", begin=begin, end=end, result=result)


def write(begin: float, end: float, value: str | None) -> Seen:
    return Seen(key="k", kind="write", begin=begin, end=end, value=value)


def swap(begin: float, end: float, expected: str | None, value: str, result: str | None) -> Seen:
    return Seen(key="k", kind="swap", begin=begin, end=end, expected=expected, value=value, result=result)


@pytest.mark.parametrize(
    ("record", "sound"),
    [
        ([write(0, 1, "a"), read(2, 3, "a")], True),
        ([write(0, 1, "a"), read(2, 3, None)], False),  # a stale read
        ([write(0, 5, "a"), read(1, 2, None), read(3, 4, "a")], True),
        ([write(0, 5, "a"), read(1, 2, "a"), read(3, 4, None)], False),  # back in time
        ([write(0, math.inf, "a"), read(5, 6, None), read(7, 8, "a")], True),  # not answered, and done late
        ([write(0, math.inf, "a"), read(5, 6, "a"), read(7, 8, None)], False),
        ([swap(0, 1, None, "a", "yes"), swap(0, 1, None, "b", "yes")], False),  # two that both won
        ([swap(0, 1, None, "a", "yes"), swap(0, 1, None, "b", "no"), read(2, 3, "a")], True),
        ([swap(0, 1, None, "a", "no"), read(2, 3, None)], False),  # one that lost against nobody
        ([swap(0, math.inf, None, "a", None), swap(1, 2, None, "b", "no"), read(3, 4, "a")], True),
        ([write(0, 1, "a"), write(2, 3, None), read(4, 5, "a")], False),  # a lost deletion
        ([write(0, 1, "a"), write(2, 3, "b"), read(4, 5, "a")], False),  # a lost update
    ],
)
def test_planted_violations_are_found(record: Sequence[Seen], sound: bool) -> None:
    assert violations(record) == ([] if sound else ["k"])


shares = st.floats(0, 0.9)


@given(st.lists(st.tuples(st.sampled_from("abc"), st.booleans(), shares, shares), max_size=9))
def test_whatever_took_place_one_at_a_time_is_sound(course: list[tuple[str, bool, float, float]]) -> None:
    """Begins and ends are stretched around the moments at which it took place."""
    held: str | None = None
    record = []
    for at, (value, writes, before, after) in enumerate(course):
        begin, end = at - 3 * before, at + 3 * after
        if writes:
            held = value
        record.append(write(begin, end, value) if writes else read(begin, end, held))
    assert violations(record) == []


async def client(at: Store, seed: int, end: float, record: list[Seen]) -> None:
    draws = Random(seed)
    own = StoreClient(at.client.endpoints[seed % 3 :] + at.client.endpoints[: seed % 3], 0.4)
    value = 0
    while time.monotonic() < end:
        key = draws.choice("xy")
        begin = time.monotonic()
        known: str | None = None
        try:
            _, found = await own.get(Get(key.encode()))
            known = found[0].value.decode() if found else None
            record.append(Seen(key=key, kind="read", begin=begin, end=time.monotonic(), result=known))
        except StoreClientError:
            continue
        value += 1
        told = f"{seed}.{value}"
        begin = time.monotonic()
        compare = (
            Compare(key.encode(), Target.CREATE, "=", 0)
            if known is None
            else Compare(key.encode(), Target.VALUE, "=", known.encode())
        )
        try:
            done = await own.txn(Txn((compare,), (Put(key.encode(), told.encode()),)))
            result, ended = "yes" if done.succeeded else "no", time.monotonic()
        except StoreRejectedError:
            continue  # it was not done
        except StoreClientError:
            result, ended = "", math.inf
        record.append(
            Seen(
                key=key,
                kind="swap",
                begin=begin,
                end=ended,
                expected=known,
                value=told,
                result=result or None,
            )
        )
        await asyncio.sleep(draws.uniform(0.01, 0.08))
    own.close()


async def leads(at: Store) -> int:
    """The member that leads, once one does."""
    async with asyncio.timeout(PATIENCE):
        while (leader := int((await at.order("leader")).split()[1])) < 0:
            await asyncio.sleep(0.02)
    return leader


def test_the_stand_in_is_linearizable_while_its_members_go_and_answers_get_lost(tmp_path: Path) -> None:
    """The members are processes: a leader is killed, another stopped until it is replaced."""

    async def test() -> None:
        record: list[Seen] = []
        file = tmp_path / "store.jsonl"
        async with store(3, "--record", str(file)) as at:
            end = time.monotonic() + 4.5
            clients = [asyncio.create_task(client(at, seed, end, record)) for seed in range(4)]
            await asyncio.sleep(0.3)
            await at.order("unanswered", size=2)
            killed = await leads(at)
            await at.order("kill", member=killed)
            second = await leads(at)
            assert second != killed
            await at.order("start", member=killed)
            await at.order("stop", member=second)
            async with asyncio.timeout(PATIENCE):
                while (third := await leads(at)) == second:
                    await asyncio.sleep(0.02)
            await at.order("go", member=second)
            for fault in ("depose", "unanswered"):
                await asyncio.sleep(0.3)
                await at.order(fault, size=2)
            await asyncio.gather(*clients)
            assert third != second
            told = await at.client.status()
            assert told.version and 1 <= told.leader <= 3 and told.raftTerm > 1
        assert len(record) > 60 and any(not op.answered for op in record)
        assert any(op.result == "no" for op in record if op.kind == "swap")
        assert violations(record) == []
        reads = [op for op in record if op.kind == "read" and op.result is not None]
        own = recorded(file)
        assert len(own) > 100 and any(not op.answered for op in own) and violations(own) == []
        spoilt = [op for op in record if op is not reads[-1]]
        first = Seen(key=reads[-1].key, kind="read", begin=reads[-1].begin, end=reads[-1].end, result="stale")
        assert violations([*spoilt, first]) == [first.key]

    run(test())
