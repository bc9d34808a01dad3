"""Hedged calls to the store: what must be answered soon is asked of a second endpoint as well."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from typing import TypeVar

from gladegw.control.errors import StoreClientError
from gladegw.control.store_client import StoreClient

T = TypeVar("T")

HEDGE_FRACTION = 1 / 3  # of the time in which the answer is of use


async def hedged(request: Callable[[StoreClient], Awaitable[T]], client: StoreClient, time_left: float) -> T:
    """Return the first answer to an idempotent request that is of use for `time_left` seconds.

    If `client` has not answered after HEDGE_FRACTION of that time, the request is sent to its next endpoint
    too; if only that one answers, `client` uses it from then on. If `time_left` is not above 0, an answer
    comes too late for what it was to save, and one request is enough. Raises StoreClientError if none is
    answered.
    """
    if time_left <= 0:
        return await request(client)
    other: StoreClient | None = None
    tasks = [asyncio.ensure_future(request(client))]
    try:
        await asyncio.wait(tasks, timeout=time_left * HEDGE_FRACTION)
        if not tasks[0].done():
            other = client.at_next_endpoint()
            tasks.append(asyncio.ensure_future(request(other)))
        answer = await _first_answer(tasks)
        if not tasks[0].done():
            client.use_next_endpoint()
        return answer
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        if other is not None:
            other.close()


async def _first_answer(tasks: Sequence[asyncio.Future[T]]) -> T:
    """Return the result of the first task that has one; raises the fault of the last one if all fail."""
    fault: StoreClientError | None = None
    for completed in asyncio.as_completed(tasks):
        try:
            return await completed
        except StoreClientError as failed:
            fault = failed
    assert fault is not None
    raise fault
