"""Connection eviction, the descriptor budget and request timeouts; then true clients beside a flood."""

from __future__ import annotations

import asyncio
import contextlib
import math
import os
from dataclasses import dataclass

import pytest
from hypothesis import given
from hypothesis import strategies as st
from support.loopback import Backend, Caller, Proxy, proxy, run

from gladegw.limits.connection_eviction import (
    MIN_SILENCE_S,
    MIN_STALL_TIMEOUT_S,
    NEW_CONNECTION_GRACE_S,
    RECENT_BYTES_S,
    SLOW_REQUEST_GRACE_S,
    ConnectionFlood,
    ConnectionStage,
    connections_to_evict,
    is_lagging,
)
from gladegw.limits.descriptor_budget import MIN_STARTUP_DESCRIPTORS, OTHER_DESCRIPTORS, split_descriptors
from gladegw.limits.request_timeouts import (
    BODY_STALL_TIMEOUT_S,
    FIRST_BODY_TIMEOUT_S,
    HEAD_TIMEOUT_S,
    MIN_BODY_BYTES_PER_S,
    RequestDeadline,
)

TRUE_RATE = 64_000  # bytes a second at which a slow true client writes


@dataclass
class StubConnection:
    stage: ConnectionStage
    request_started_at: float
    changed_at: float
    received: int = 0
    delivered: bool = False


times = st.floats(0, 10)
connections = st.lists(
    st.builds(
        lambda stage, begun, after, size: StubConnection(stage, begun, min(10.0, begun + after), size),
        st.sampled_from(ConnectionStage),
        times,
        times,
        st.integers(0, 1000),
    )
)


@given(connections)
def test_who_is_owed_an_answer_never_gives_way_and_the_idle_do_first(present: list[StubConnection]) -> None:
    found = next(iter(connections_to_evict(present, 10.0)), None)
    idle = [connection for connection in present if connection.stage is ConnectionStage.IDLE]
    if idle:
        assert found is not None and found.stage is ConnectionStage.IDLE
        assert found.changed_at == min(connection.changed_at for connection in idle)
    elif found is None:
        coming = [connection for connection in present if connection.stage is ConnectionStage.RECEIVING]
        assert all(
            10.0 - connection.request_started_at
            <= (SLOW_REQUEST_GRACE_S if connection.received else NEW_CONNECTION_GRACE_S)
            for connection in coming
        )
    else:
        assert found.stage is not ConnectionStage.PENDING


def test_a_slow_writer_outlives_the_silent_and_the_dripping() -> None:
    slow = StubConnection(ConnectionStage.RECEIVING, 8.3, 9.8, 100)  # has written for 1.7 s, and lately
    half = StubConnection(ConnectionStage.RECEIVING, 9.4, 9.4, 100)
    silent = StubConnection(ConnectionStage.RECEIVING, 9.5, 9.5)
    dripping = StubConnection(ConnectionStage.RECEIVING, 9.1, 9.99, 12)
    fresh = StubConnection(ConnectionStage.RECEIVING, 9.9, 9.9)
    for other in (half, silent, dripping):
        assert connections_to_evict([slow, other, fresh], 10.0) == [other]
    assert connections_to_evict([slow, fresh], 10.0) == [slow]
    assert connections_to_evict([StubConnection(ConnectionStage.RECEIVING, 9.3, 9.8, 60), fresh], 10.0) == []


def test_an_ending_connection_gives_way_when_its_answer_has_arrived() -> None:
    arriving, arrived = (
        StubConnection(ConnectionStage.CLOSING, 9.0, 9.95, delivered=at) for at in (False, True)
    )
    assert connections_to_evict([arriving, arrived], 10.0, 2) == [arrived]
    assert connections_to_evict([arriving], 10.1) == [arriving]  # its peer takes too long


def test_of_the_young_those_give_way_that_lag_most_behind_a_true_client() -> None:
    """None is old enough to be suspected by its silence alone, and places are wanted all the same."""
    writing = StubConnection(
        ConnectionStage.RECEIVING, 9.8, 9.8, 25
    )  # a quarter of a head at once: a slow true writer
    dripping = StubConnection(ConnectionStage.RECEIVING, 9.85, 9.99, 1)
    silent = StubConnection(ConnectionStage.RECEIVING, 9.9, 9.9)
    fresh = StubConnection(ConnectionStage.RECEIVING, 9.99, 9.99)
    assert connections_to_evict([writing, silent, fresh, dripping], 10.0, 4, MIN_SILENCE_S) == [
        dripping,
        silent,
    ]
    assert connections_to_evict([writing, silent, fresh, dripping], 10.0, 4, 0.12) == [dripping]
    assert (
        is_lagging(0, 0.03, MIN_SILENCE_S)
        and not is_lagging(0, 0.01, MIN_SILENCE_S)
        and not is_lagging(100, 1.9, MIN_SILENCE_S)
    )


@given(st.floats(1, 20_000), st.integers(1, 200))
def test_patience_follows_the_pace_so_that_each_who_comes_finds_a_place(
    rate: float, max_connections: int
) -> None:
    flood = ConnectionFlood(max_connections)
    assert flood.silence_timeout == NEW_CONNECTION_GRACE_S
    for number in range(1000):
        flood.on_accepted(10, number * 10 / rate)
    if number * 10 / rate > 5 * NEW_CONNECTION_GRACE_S:
        held = rate * flood.silence_timeout  # so many are inside at a time, if nobody says anything
        assert flood.silence_timeout == MIN_SILENCE_S or held <= max_connections * 1.1 + 10
        assert (
            flood.silence_timeout == NEW_CONNECTION_GRACE_S
            or held >= max_connections * 0.6 - 10
            or flood.silence_timeout == MIN_SILENCE_S
        )
    flood.on_accepted(0, 1000 / rate * 10 + 60)
    assert flood.silence_timeout == NEW_CONNECTION_GRACE_S


def test_in_a_flood_who_stopped_in_a_head_gives_way_however_much_of_it_came() -> None:
    """Guards against a crowd that writes most of a head and holds its places like the slowest true client."""
    stopped = StubConnection(ConnectionStage.RECEIVING, 9.5, 9.65, 100)
    writing = StubConnection(ConnectionStage.RECEIVING, 9.0, 9.75, 60)  # its last byte 0.25 s ago
    flood = ConnectionFlood(30)
    calm = connections_to_evict([stopped, writing], 10.0, 2, flood.silence_timeout, flood.stall_timeout)
    flood.on_accepted(150, 10.0)
    found = connections_to_evict([stopped, writing], 10.0, 2, flood.silence_timeout, flood.stall_timeout)
    assert (calm, found) == ([], [stopped])
    assert flood.stall_timeout == MIN_STALL_TIMEOUT_S < RECENT_BYTES_S


@given(connections, st.integers(0, 5))
def test_no_more_give_way_than_are_asked_for_and_none_twice(
    present: list[StubConnection], count: int
) -> None:
    found = connections_to_evict(present, 10.0, count)
    assert len({id(connection) for connection in found}) == len(found) <= count
    assert found == connections_to_evict(present, 10.0, len(present))[:count]


@given(st.integers(64, 1024), st.integers(0, 30), st.booleans())
def test_the_shares_stay_within_the_limit(limit: int, held: int, operators: bool) -> None:
    found = split_descriptors(limit, held, operators)
    assert found.clients >= 1 and found.upstreams >= 1 and bool(found.operators) is operators
    assert (
        found.clients
        + found.upstreams
        + found.operators
        + max(held, MIN_STARTUP_DESCRIPTORS)
        + OTHER_DESCRIPTORS
        <= limit
    )
    if limit >= 192:  # clients may use a third for requests
        assert found.clients >= limit / 3


@given(st.floats(0, 2.0), st.lists(st.integers(1, 32_000), min_size=1, max_size=60))
def test_a_body_at_the_slowest_true_rate_is_sound(head: float, pieces: list[int]) -> None:
    deadline = RequestDeadline(100.0)
    now = 100.0 + head
    deadline.on_head_start(now)
    assert deadline.due_at >= now
    deadline.on_body_start(now)
    for size in pieces:
        now += size / TRUE_RATE
        assert deadline.due_at > now
        deadline.on_body(size, now)


@given(st.lists(st.tuples(st.floats(0, 3), st.integers(0, 400)), max_size=30))
def test_silence_and_drips_end_within_three_seconds(drips: list[tuple[float, int]]) -> None:
    """What is too little for a true client gains no time to speak of, whenever the head was whole."""
    deadline = RequestDeadline(100.0)
    now = 100.0
    begun = False
    for after, size in drips:
        if now + after > deadline.due_at:
            break
        now += after
        if not begun:
            deadline.on_body_start(now)
            begun = True
        deadline.on_body(size, now)
    gained = sum(size for _, size in drips) / MIN_BODY_BYTES_PER_S
    assert deadline.due_at <= 100.0 + max(HEAD_TIMEOUT_S, FIRST_BODY_TIMEOUT_S) + gained + 1e-9
    deadline.on_complete()
    assert deadline.due_at == math.inf


def test_a_body_on_a_kept_connection_has_the_same_time() -> None:
    deadline = RequestDeadline(0.0)
    deadline.on_complete()
    deadline.on_head_start(100.0)
    assert deadline.due_at == 100.0 + HEAD_TIMEOUT_S
    deadline.on_body_start(101.5)
    assert deadline.due_at == 101.5 + BODY_STALL_TIMEOUT_S


def test_a_short_request_written_over_two_seconds_is_sound() -> None:
    for kept in (False, True):
        deadline = RequestDeadline(100.0)
        if kept:
            deadline.on_complete()
        deadline.on_head_start(100.0)
        deadline.on_body_start(100.1)
        for tenth in range(2, 21):
            assert deadline.due_at > 100.0 + tenth / 10
            deadline.on_body(20, 100.0 + tenth / 10)


def test_a_side_that_does_not_read_blames_nobody() -> None:
    deadline = RequestDeadline(0.0)
    deadline.on_body_start(1.0)
    deadline.suspend()
    deadline.on_body(10, 50.0)
    assert deadline.due_at == math.inf
    deadline.resume(60.0)
    assert deadline.due_at == 60.0 + BODY_STALL_TIMEOUT_S


def descriptors(node: Proxy) -> int:
    return len(os.listdir(f"/proc/{node.process.pid}/fd"))


@pytest.mark.parametrize(
    "kind", ["silent", "half", "dripping", "asked and stayed", "open and close", "most of a head"]
)
def test_true_clients_are_served_beside_a_crowd(kind: str) -> None:
    """At the bound of descriptors some of the crowd makes room for each true client; some write slowly.

    `half` and `most of a head` guard against an accept queue that waits for those who stopped in a head.
    """
    limit = 96

    async def test() -> None:
        crowd: list[Caller] = []
        most = 0

        async def fill_up(node: Proxy) -> None:
            while True:
                try:
                    peer = await node.caller()
                except OSError:
                    await asyncio.sleep(0.01)
                    continue
                if kind == "half":
                    peer.writer.write(b"GET /stock HTTP/1.1\r\nX-")
                elif kind == "most of a head":
                    peer.writer.write(b"GET /stock HTTP/1.1\r\nX-" + b"y" * 100)
                elif kind == "asked and stayed":
                    peer.writer.write(b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
                if kind == "open and close":
                    peer.writer.close()
                else:
                    crowd.append(peer)
                await asyncio.sleep(0.004)

        async def drip() -> None:
            while True:
                for peer in crowd[-200:]:
                    with contextlib.suppress(OSError):
                        peer.writer.write(b"x" if kind == "dripping" else b"")
                await asyncio.sleep(0.2)

        async def watch(node: Proxy) -> None:
            nonlocal most
            while True:
                most = max(most, descriptors(node))
                await asyncio.sleep(0.01)

        async def client(node: Proxy, number: int) -> bool:
            try:
                caller = await node.caller()
                whole = (
                    f"GET /stock HTTP/1.1\r\nHost: x\r\nX-Call-Id: {number:016x}\r\n"
                    "X-Budget: 1000m\r\n\r\n"
                ).encode()
                pieces = 4 if number % 5 == 0 else 1
                size = -(-len(whole) // pieces)
                for start in range(0, len(whole), size):
                    caller.writer.write(whole[start : start + size])
                    await asyncio.sleep(0.25 if pieces > 1 else 0)
                reply = await caller.answer()
                caller.writer.close()
                return reply.code == 200
            except (OSError, asyncio.IncompleteReadError):
                return False

        async with proxy({"s-1": Backend()}, sockets=limit) as node:
            others = [
                asyncio.create_task(task) for task in (fill_up(node), fill_up(node), drip(), watch(node))
            ]
            await asyncio.sleep(0.5)
            tasks = []
            for number in range(100):
                tasks.append(asyncio.create_task(client(node, number)))
                await asyncio.sleep(0.02)
            served = await asyncio.gather(*tasks)
            for other in others:
                other.cancel()
            async with asyncio.timeout(1.0):
                assert (await node.operator("PING")).startswith("SUCCESS")
            for peer in crowd:
                peer.writer.close()
        assert most <= limit
        assert sum(served) >= 80, f"{sum(served)} of {len(served)} were served"  # without eviction: 25

    run(test())
