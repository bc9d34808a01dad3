"""The account of the memory held for peers: its sum stays under the capacity, whoever holds it."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gladegw.limits.memory_account import (
    ALLOWANCE_FRACTION,
    CLIENT_BYTES,
    CONNECTION_BYTES,
    MIN_ALLOWANCE_BYTES,
    MIN_CAPACITY_BYTES,
    ConnectionLimits,
    Holding,
    MemoryAccount,
    MemoryShare,
    Shortage,
    capacity_bytes,
    limit_connections,
)

CAPACITY = 4_000_000
MB = 1_000_000


@given(st.lists(st.integers(min_value=1, max_value=100_000), min_size=1, max_size=400))
def test_connections_that_keep_to_their_allowance_never_hold_more_than_the_capacity(
    wanted: list[int],
) -> None:
    """Guards against limits on single messages whose sum nobody limits (report 9346bc)."""
    account = MemoryAccount(CAPACITY)
    for size in wanted:
        MemoryShare(account).set(Holding.REQUESTS, min(size, account.allowance))
    assert account.total <= CAPACITY + len(wanted) * MIN_ALLOWANCE_BYTES
    assert account.total == sum(account.by_holding)


def test_greedy_connections_get_equal_parts_of_the_room_whatever_they_hold_it_for() -> None:
    account = MemoryAccount(CAPACITY)
    shares = [MemoryShare(account) for _ in range(100)]
    for _ in range(60):
        for number, share in enumerate(shares):
            share.set(Holding(number % len(Holding)), 0)
            share.set(Holding(number % len(Holding)), account.allowance)
    assert account.total / 100 == pytest.approx(CAPACITY / (1 / ALLOWANCE_FRACTION + 100), rel=0.05)


def test_a_usual_request_is_within_the_allowance_while_nothing_is_free() -> None:
    account = MemoryAccount(CAPACITY)
    MemoryShare(account).set(Holding.RESPONSES, 2 * CAPACITY)
    assert account.free == 0
    assert account.allowance == MIN_ALLOWANCE_BYTES


def test_a_connection_that_ends_gives_everything_back() -> None:
    account = MemoryAccount(CAPACITY)
    share = account.open_share()
    share.set(Holding.UNSENT_TO_CLIENTS, 5000)
    assert account.total == CONNECTION_BYTES + 5000
    share.release()
    assert account.total == 0
    assert account.by_holding == [0] * len(Holding)


def test_what_was_done_for_lack_of_memory_is_counted_once() -> None:
    account = MemoryAccount(CAPACITY)
    account.shortages[Shortage.REQUEST_REFUSED] += 2
    assert account.take_shortages() == {Shortage.REQUEST_REFUSED: 2}
    assert not account.take_shortages()


@pytest.mark.parametrize("limit_mb", [32, 40, 64, 80, 192])
def test_the_limit_of_the_settings_decides_the_capacity(limit_mb: int) -> None:
    """Two processes of an upgrade share one limit, where they fit under it."""
    resident = 26 * MB
    capacity = capacity_bytes(limit_mb * MB, resident)
    assert capacity >= MIN_CAPACITY_BYTES
    processes = 2 if limit_mb >= 64 else 1
    assert processes * (resident + capacity) < limit_mb * MB
    assert capacity_bytes(limit_mb * MB + MB, resident) > capacity or limit_mb >= 64


def test_small_memory_admits_fewer_connections_and_large_memory_all() -> None:
    descriptors = ConnectionLimits(clients=536, servers=429)
    small = limit_connections(descriptors, 4 * MB, 200)
    assert 200 < small.clients < 536
    assert small.clients * (CLIENT_BYTES + CONNECTION_BYTES * small.servers / small.clients) < 4.1 * MB
    assert limit_connections(descriptors, 60 * MB, 300) == descriptors
    assert limit_connections(descriptors, 0, 300).clients == 300
    assert limit_connections(ConnectionLimits(100, 80), 0, 300).clients == 100
