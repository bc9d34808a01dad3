"""What clients ask for, and when they ask again. Pure: times and draws come from the seed alone."""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Iterator, Sequence
from itertools import accumulate
from random import Random

import msgspec

from gladegw.rig.traffic.arrivals import Shape, times
from gladegw.rig.traffic.traces import Recorded

AGAIN = ("closed", "garbage", "refused", "timeout", "unsent")  # ends without an answer
LEAST_TRY = 0.05  # s that must be left for another try to be worth it


class CallClass(msgspec.Struct, frozen=True, kw_only=True):
    """A class as clients know it. Times in seconds."""

    name: str
    share: float = 1.0
    deadline: float = 1.5  # over all tries
    aim: float = 0.6
    worth: float = 1.0
    keyed: bool = False
    target: str = ""  # path and query; empty: /NAME/NUMBER
    body: int = 120  # bytes, of a keyed class


class Mix(msgspec.Struct, frozen=True, kw_only=True):
    """Who asks for what."""

    classes: tuple[CallClass, ...]
    tenants: tuple[tuple[str, float], ...] = ()  # name, share of the requests
    retries: int = 0
    try_share: float = 1.0  # of the deadline, after which clients give a try up; all do alike
    backoff: tuple[float, float] = (0.03, 0.24)  # s before the first retry; each further one waits twice that
    honours: float = 1.0  # share of clients that wait as Retry-After says
    longest_advice: float = 2.0  # s
    marks: bool = True  # a retry carries X-Again


class Call(msgspec.Struct, frozen=True, array_like=True):
    """One arrival: `luck` are its own draws (back-off, honours Retry-After)."""

    number: int
    at: float  # s from the start
    cls: int  # in the mix
    tenant: str
    key: str
    deadline: float
    luck: tuple[float, float]


def _chooser(shares: Sequence[float]) -> Sequence[float]:
    total = sum(shares)
    return [part / total for part in accumulate(shares)]


def calls(mix: Mix, shape: Shape, process: str, seed: int) -> Iterator[Call]:
    """The run's arrivals in order of time."""
    return _dressed(mix, ((at, None) for at in times(shape, process, seed)), seed)


def recorded_calls(mix: Mix, trace: Iterator[Recorded], seed: int) -> Iterator[Call]:
    """A trace's arrivals; what it doesn't tell (class, tenant, key, budget) is drawn from the mix."""
    return _dressed(mix, ((request.at, request) for request in trace), seed)


def _dressed(mix: Mix, found: Iterator[tuple[float, Recorded | None]], seed: int) -> Iterator[Call]:
    draws = Random(seed ^ 0x6D69780A)  # apart from the draws of the times
    draw = draws.random
    by_class = _chooser([cls.share for cls in mix.classes])
    by_tenant = _chooser([share for _, share in mix.tenants])
    index = {cls.name: place for place, cls in enumerate(mix.classes)}
    for number, (at, told) in enumerate(found):
        place = min(bisect_right(by_class, draw()), len(mix.classes) - 1)
        tenant = ""
        if mix.tenants:
            tenant = mix.tenants[min(bisect_right(by_tenant, draw()), len(mix.tenants) - 1)][0]
        luck = (draw(), draw())
        token = draws.getrandbits(64)
        if told is not None:
            place = index.get(told.cls, place)
            tenant = told.tenant or tenant
        cls = mix.classes[place]
        key = f"{token:016x}{number:08x}" if cls.keyed else ""
        if told is not None and told.key and cls.keyed:
            key = told.key
        deadline = told.budget if told is not None and told.budget > 0 else cls.deadline
        yield Call(number, at, place, tenant, key, deadline, luck)


def try_budget(mix: Mix, call: Call, left: float) -> float:
    """Seconds that this try is waited for; `left` of the deadline over all tries."""
    return min(left, mix.try_share * call.deadline) if mix.retries else left


def retry_wait(mix: Mix, call: Call, turn: int, left: float, code: int, advice: float) -> float | None:
    """Seconds until the next try after one that ended with `code` (0: none came); None: it is given up."""
    if code == 200 or turn >= mix.retries or 400 <= code < 429 or 429 < code < 500:
        return None
    low, high = mix.backoff
    wait = (low + (high - low) * ((call.luck[0] + turn * 0.618034) % 1.0)) * 2**turn
    if advice > 0 and call.luck[1] < mix.honours:
        wait = max(wait, min(advice, mix.longest_advice))
    return wait if wait + LEAST_TRY < left else None
