"""Hedged requests to the store: an urgent request is also sent to a second endpoint."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from typing import TypeVar

from gladegw.control.errors import StoreClientError
from gladegw.control.store_client import StoreClient

T = TypeVar("T")

HEDGE_FRACTION = 1 / 3  # fraction of `time_left` after which the request is sent to a second endpoint


async def hedged(request: Callable[[StoreClient], Awaitable[T]], client: StoreClient, time_left: float) -> T:
    """Send an idempotent request whose answer is needed within `time_left` seconds; return the first answer.

    If `client` has not answered after HEDGE_FRACTION of that time, the request is sent to its next endpoint
    too; if that one answers first, `client` uses it from then on. If `time_left` is 0 or less, the answer is
    too late anyway and the request is not hedged. Raises StoreClientError if no request is answered.
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
    """Return the result of the first task that succeeds; if all fail, raise the error of the last one."""
    last_error: StoreClientError | None = None
    for completed in asyncio.as_completed(tasks):
        try:
            return await completed
        except StoreClientError as error:
            last_error = error
    assert last_error is not None
    raise last_error
