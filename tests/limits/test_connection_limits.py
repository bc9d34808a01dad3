"""Connection eviction, the descriptor budget, request timeouts, and service during a connection flood."""

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

LEGITIMATE_BYTES_PER_S = 64_000  # rate at which a slow legitimate client sends a body


@dataclass
class StubConnection:
    stage: ConnectionStage
    request_started_at: float
    changed_at: float
    received: int = 0
    delivered: bool = False
    rate: float = math.inf  # at which the peer reads

    def read_rate(self, now: float) -> float:
        return self.rate


times = st.floats(0, 10)
connections = st.lists(
    st.builds(
        lambda stage, started, after, size: StubConnection(stage, started, min(10.0, started + after), size),
        st.sampled_from(ConnectionStage),
        times,
        times,
        st.integers(0, 1000),
    )
)


@given(connections)
def test_pending_responses_are_never_evicted_and_idle_connections_first(
    present: list[StubConnection],
) -> None:
    evicted = next(iter(connections_to_evict(present, 10.0)), None)
    idle = [connection for connection in present if connection.stage is ConnectionStage.IDLE]
    if idle:
        assert evicted is not None and evicted.stage is ConnectionStage.IDLE
        assert evicted.changed_at == min(connection.changed_at for connection in idle)
    elif evicted is None:
        receiving = [connection for connection in present if connection.stage is ConnectionStage.RECEIVING]
        assert all(
            10.0 - connection.request_started_at
            <= (SLOW_REQUEST_GRACE_S if connection.received else NEW_CONNECTION_GRACE_S)
            for connection in receiving
        )
    else:
        assert evicted.stage is not ConnectionStage.PENDING


def test_a_slow_sender_is_evicted_after_silent_and_dripping_peers() -> None:
    slow = StubConnection(ConnectionStage.RECEIVING, 8.3, 9.8, 100)  # has sent for 1.7 s, last 0.2 s ago
    stopped = StubConnection(ConnectionStage.RECEIVING, 9.4, 9.4, 100)
    silent = StubConnection(ConnectionStage.RECEIVING, 9.5, 9.5)
    dripping = StubConnection(ConnectionStage.RECEIVING, 9.1, 9.99, 12)
    fresh = StubConnection(ConnectionStage.RECEIVING, 9.9, 9.9)
    for other in (stopped, silent, dripping):
        assert connections_to_evict([slow, other, fresh], 10.0) == [other]
    assert connections_to_evict([slow, fresh], 10.0) == [slow]
    assert connections_to_evict([StubConnection(ConnectionStage.RECEIVING, 9.3, 9.8, 60), fresh], 10.0) == []


def test_the_slowest_reader_is_evicted_last_and_one_at_the_rate_of_a_slow_client_never() -> None:
    """Guards against a crowd of slow readers that takes all descriptors (report a22a10)."""
    idle = StubConnection(ConnectionStage.IDLE, 9.0, 9.0)
    lagging = StubConnection(ConnectionStage.RECEIVING, 9.5, 9.5)
    slow, slower = (StubConnection(ConnectionStage.DELIVERING, 5.0, 5.0, rate=r) for r in (20e3, 2e3))
    streamed = StubConnection(ConnectionStage.PENDING, 5.0, 5.0, rate=10e3)
    legitimate = StubConnection(ConnectionStage.DELIVERING, 5.0, 5.0, rate=LEGITIMATE_BYTES_PER_S)
    waiting = StubConnection(ConnectionStage.PENDING, 5.0, 5.0)
    present = [legitimate, waiting, slow, streamed, slower, lagging, idle]
    assert connections_to_evict(present, 10.0, 7) == [idle, lagging, slower, streamed, slow]


def test_a_closing_connection_is_evicted_once_its_response_is_delivered() -> None:
    unacknowledged, acknowledged = (
        StubConnection(ConnectionStage.CLOSING, 9.0, 9.95, delivered=is_acknowledged)
        for is_acknowledged in (False, True)
    )
    assert connections_to_evict([unacknowledged, acknowledged], 10.0, 2) == [acknowledged]
    assert connections_to_evict([unacknowledged], 10.1) == [unacknowledged]  # its peer took too long to close


def test_of_new_connections_those_that_lag_most_behind_a_legitimate_client_are_evicted() -> None:
    """In a flood, connections must be evicted although none has been silent for the usual grace time."""
    # A quarter of a head in one piece: a slow legitimate client.
    writing = StubConnection(ConnectionStage.RECEIVING, 9.8, 9.8, 25)
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
def test_the_silence_timeout_shortens_with_the_connection_rate_so_that_all_fit(
    rate: float, max_connections: int
) -> None:
    flood = ConnectionFlood(max_connections)
    assert flood.silence_timeout == NEW_CONNECTION_GRACE_S
    for number in range(1000):
        flood.on_accepted(10, number * 10 / rate)
    if number * 10 / rate > 5 * NEW_CONNECTION_GRACE_S:
        held = rate * flood.silence_timeout  # connections open at a time if all are silent
        assert flood.silence_timeout == MIN_SILENCE_S or held <= max_connections * 1.1 + 10
        assert (
            flood.silence_timeout == NEW_CONNECTION_GRACE_S
            or held >= max_connections * 0.6 - 10
            or flood.silence_timeout == MIN_SILENCE_S
        )
    flood.on_accepted(0, 1000 / rate * 10 + 60)
    assert flood.silence_timeout == NEW_CONNECTION_GRACE_S


def test_a_flood_evicts_a_stalled_head_regardless_of_its_received_bytes() -> None:
    """Peers that send most of a head and stall must not hold connections like a slow legitimate client."""
    stopped = StubConnection(ConnectionStage.RECEIVING, 9.5, 9.65, 100)
    writing = StubConnection(ConnectionStage.RECEIVING, 9.0, 9.75, 60)  # its last byte 0.25 s ago
    flood = ConnectionFlood(30)
    evicted_before_flood = connections_to_evict(
        [stopped, writing], 10.0, 2, flood.silence_timeout, flood.stall_timeout
    )
    flood.on_accepted(150, 10.0)
    evicted_in_flood = connections_to_evict(
        [stopped, writing], 10.0, 2, flood.silence_timeout, flood.stall_timeout
    )
    assert (evicted_before_flood, evicted_in_flood) == ([], [stopped])
    assert flood.stall_timeout == MIN_STALL_TIMEOUT_S < RECENT_BYTES_S


@given(connections, st.integers(0, 5))
def test_at_most_the_requested_number_is_evicted_and_none_twice(
    present: list[StubConnection], count: int
) -> None:
    evicted = connections_to_evict(present, 10.0, count)
    assert len({id(connection) for connection in evicted}) == len(evicted) <= count
    assert evicted == connections_to_evict(present, 10.0, len(present))[:count]


@given(st.integers(64, 1024), st.integers(0, 30), st.booleans())
def test_the_descriptor_budget_stays_within_the_limit(limit: int, in_use: int, operators: bool) -> None:
    budget = split_descriptors(limit, in_use, operators)
    assert budget.clients >= 1 and budget.upstreams >= 1 and bool(budget.operators) is operators
    assert (
        budget.clients
        + budget.upstreams
        + budget.operators
        + max(in_use, MIN_STARTUP_DESCRIPTORS)
        + OTHER_DESCRIPTORS
        <= limit
    )
    if limit >= 192:  # at least a third is for clients
        assert budget.clients >= limit / 3


@given(st.floats(0, 2.0), st.lists(st.integers(1, 32_000), min_size=1, max_size=60))
def test_a_body_at_the_slowest_legitimate_rate_does_not_time_out(head: float, pieces: list[int]) -> None:
    deadline = RequestDeadline(100.0)
    now = 100.0 + head
    deadline.on_head_start(now)
    assert deadline.due_at >= now
    deadline.on_body_start(now)
    for size in pieces:
        now += size / LEGITIMATE_BYTES_PER_S
        assert deadline.due_at > now
        deadline.on_body(size, now)


@given(st.lists(st.tuples(st.floats(0, 3), st.integers(0, 400)), max_size=30))
def test_silent_and_dripping_peers_time_out_within_three_seconds(drips: list[tuple[float, int]]) -> None:
    """Bytes below the minimum rate extend the deadline only slightly, however late the head was complete."""
    deadline = RequestDeadline(100.0)
    now = 100.0
    body_started = False
    for after, size in drips:
        if now + after > deadline.due_at:
            break
        now += after
        if not body_started:
            deadline.on_body_start(now)
            body_started = True
        deadline.on_body(size, now)
    extension = sum(size for _, size in drips) / MIN_BODY_BYTES_PER_S
    assert deadline.due_at <= 100.0 + max(HEAD_TIMEOUT_S, FIRST_BODY_TIMEOUT_S) + extension + 1e-9
    deadline.on_complete()
    assert deadline.due_at == math.inf


def test_a_body_on_a_reused_connection_has_the_same_timeouts() -> None:
    deadline = RequestDeadline(0.0)
    deadline.on_complete()
    deadline.on_head_start(100.0)
    assert deadline.due_at == 100.0 + HEAD_TIMEOUT_S
    deadline.on_body_start(101.5)
    assert deadline.due_at == 101.5 + BODY_STALL_TIMEOUT_S


def test_a_short_request_sent_over_two_seconds_does_not_time_out() -> None:
    for reused in (False, True):
        deadline = RequestDeadline(100.0)
        if reused:
            deadline.on_complete()
        deadline.on_head_start(100.0)
        deadline.on_body_start(100.1)
        for tenth in range(2, 21):
            assert deadline.due_at > 100.0 + tenth / 10
            deadline.on_body(20, 100.0 + tenth / 10)


def test_the_deadline_is_suspended_while_this_side_does_not_read() -> None:
    deadline = RequestDeadline(0.0)
    deadline.on_body_start(1.0)
    deadline.suspend()
    deadline.on_body(10, 50.0)
    assert deadline.due_at == math.inf
    deadline.resume(60.0)
    assert deadline.due_at == 60.0 + BODY_STALL_TIMEOUT_S


def open_descriptors(node: Proxy) -> int:
    return len(os.listdir(f"/proc/{node.process.pid}/fd"))


@pytest.mark.parametrize(
    "kind", ["silent", "half", "dripping", "idle after a response", "open and close", "most of a head"]
)
def test_true_clients_are_served_beside_a_crowd(kind: str) -> None:
    """At the descriptor limit, connections of a flood are evicted for legitimate clients, some of them slow.

    `half` and `most of a head` guard against an accept queue blocked by peers that stall within a head.
    """
    limit = 96

    async def test() -> None:
        flood_peers: list[Caller] = []
        max_descriptors = 0

        async def open_flood(node: Proxy) -> None:
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
                elif kind == "idle after a response":
                    peer.writer.write(b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
                if kind == "open and close":
                    peer.writer.close()
                else:
                    flood_peers.append(peer)
                await asyncio.sleep(0.004)

        async def drip() -> None:
            while True:
                for peer in flood_peers[-200:]:
                    with contextlib.suppress(OSError):
                        peer.writer.write(b"x" if kind == "dripping" else b"")
                await asyncio.sleep(0.2)

        async def record_descriptors(node: Proxy) -> None:
            nonlocal max_descriptors
            while True:
                max_descriptors = max(max_descriptors, open_descriptors(node))
                await asyncio.sleep(0.01)

        async def client(node: Proxy, number: int) -> bool:
            try:
                caller = await node.caller()
                request = (
                    f"GET /stock HTTP/1.1\r\nHost: x\r\nX-Call-Id: {number:016x}\r\n"
                    "X-Budget: 1000m\r\n\r\n"
                ).encode()
                pieces = 4 if number % 5 == 0 else 1
                size = -(-len(request) // pieces)
                for start in range(0, len(request), size):
                    caller.writer.write(request[start : start + size])
                    await asyncio.sleep(0.25 if pieces > 1 else 0)
                reply = await caller.answer()
                caller.writer.close()
                return reply.code == 200
            except (OSError, asyncio.IncompleteReadError):
                return False

        async with proxy({"s-1": Backend()}, sockets=limit) as node:
            background = [
                asyncio.create_task(task)
                for task in (open_flood(node), open_flood(node), drip(), record_descriptors(node))
            ]
            await asyncio.sleep(0.5)
            tasks = []
            for number in range(100):
                tasks.append(asyncio.create_task(client(node, number)))
                await asyncio.sleep(0.02)
            served = await asyncio.gather(*tasks)
            for background_task in background:
                background_task.cancel()
            async with asyncio.timeout(1.0):
                assert (await node.operator("PING")).startswith("SUCCESS")
            for peer in flood_peers:
                peer.writer.close()
        assert max_descriptors <= limit
        assert sum(served) >= 80, f"{sum(served)} of {len(served)} were served"  # without eviction: 25

    run(test())
