"""Losses of a duty's holder, one after another, among members in processes of their own: how long nobody held
it, and whether two ever did."""

from __future__ import annotations

import asyncio
import contextlib
import signal
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from itertools import pairwise
from random import Random

import msgspec

from granitepoint.control.clock import boot
from granitepoint.rig import process
from granitepoint.rig.errors import RigError
from granitepoint.rig.member import Line, Plan
from granitepoint.rig.store.launch import launch

KINDS = ("kill", "term", "stop", "stop short", "slow clock", "depose")
PATIENCE = 30.0  # s for a duty to find its next holder
STOPPED = 2.5  # times the lease, for which `stop` stops a holder
SHORT = 0.4  # and `stop short`
RATES = (0.9, 1.0, 1.05)  # of members' clocks in `slow clock`: a tenth slow against a twentieth fast


@dataclass(slots=True)
class Held:
    """One token's time with its holder, as its own bound had it: `until` grows with each effect."""

    member: str
    token: int
    begun: float
    until: float


@dataclass(slots=True)
class Losses:
    kind: str
    gaps: list[float] = field(default_factory=list)  # s from the loss to the next begin
    overlaps: list[str] = field(default_factory=list)
    effects: int = 0
    late: int = 0  # effects begun after the holder's bound
    refused: int = 0  # effects begun and refused for their token


class Judge:
    """Reads members' lines; pure but for what it is told."""

    def __init__(self) -> None:
        self.held: dict[int, Held] = {}
        self.effects = self.late = self.refused = 0

    def line(self, line: Line) -> None:
        if line.what in ("begin", "effect"):
            held = self.held.get(line.token)
            if held is None:
                self.held[line.token] = Held(line.member, line.token, line.at, line.until)
            else:
                held.until = max(held.until, line.until)
        if line.what in ("effect", "refused"):
            self.effects += 1
            self.late += line.at >= line.until
            self.refused += line.what == "refused"
        elif line.what == "end" and line.token in self.held:
            self.held[line.token].until = min(line.at, self.held[line.token].until)

    def overlaps(self) -> list[str]:
        """Tokens whose holders held at one moment by their own bounds, or that began out of order."""
        ordered = [self.held[token] for token in sorted(self.held)]
        return [
            f"token {one.token} of {one.member} until {one.until:.3f}, "
            f"token {other.token} of {other.member} from {other.begun:.3f}"
            for one, other in pairwise(ordered)
            if other.begun < one.until and one.member != other.member
        ]


class Fleet:
    """Members before one stand-in store; `async with` ends all of it."""

    def __init__(self, kind: str, endpoints: Sequence[str], members: int, ttl: int, seed: int) -> None:
        self.kind, self.endpoints, self.ttl = kind, tuple(endpoints), ttl
        self.names = [f"m{number}" for number in range(members)]
        self.prefix = f"/{kind.replace(' ', '-')}-{seed}"
        self.children: dict[str, asyncio.subprocess.Process] = {}
        self.reading: list[asyncio.Task[None]] = []
        self.judge = Judge()
        self.changed = asyncio.Event()
        self.ready: set[str] = set()
        self.newest = Line("", 0.0)

    async def __aenter__(self) -> Fleet:
        await asyncio.gather(*(self.start(name) for name in self.names))
        return self

    async def __aexit__(self, *exc: object) -> None:
        for child in self.children.values():
            with contextlib.suppress(ProcessLookupError):
                child.send_signal(signal.SIGCONT)
            process.kill(child)
            await child.wait()
        for task in self.reading:
            task.cancel()

    async def start(self, name: str) -> None:
        rate = RATES[self.names.index(name) % len(RATES)] if self.kind == "slow clock" else 1.0
        child = await process.start(*process.python("granitepoint.rig.member"))
        plan = Plan(name=name, endpoints=self.endpoints, prefix=self.prefix, duties=("one",), ttl=self.ttl,
                    rate=rate)  # fmt: skip
        assert child.stdin is not None
        child.stdin.write(msgspec.json.encode(plan) + b"\n")
        self.children[name] = child
        self.reading.append(asyncio.create_task(self._read(child)))

    async def _read(self, child: asyncio.subprocess.Process) -> None:
        assert child.stdout is not None
        while raw := await child.stdout.readline():
            try:
                line: Line = msgspec.json.decode(raw, type=Line)
            except msgspec.DecodeError as fault:
                self.changed.set()
                raise RigError(f"a member wrote {raw[:80]!r}: {fault}") from None
            self.judge.line(line)
            if line.what == "ready":
                self.ready.add(line.member)
            if line.what == "begin" and line.token > self.newest.token:
                self.newest = line
            self.changed.set()
        self.changed.set()

    async def until(self, wanted: str, after: int = 0) -> Line:
        """The newest begin, once all members are ready and its token is above `after`."""
        async with asyncio.timeout(PATIENCE):
            while self.newest.token <= after or len(self.ready) < len(self.names):
                for task in self.reading:
                    if task.done():
                        task.result()  # what it could not read
                self.changed.clear()
                await self.changed.wait()
        if not self.newest.token:
            raise RigError(f"{wanted}: nobody holds the duty")
        return self.newest

    async def lose(self, store: asyncio.subprocess.Process) -> float:
        """One loss, and all members back; s without a holder, or until the next holder began."""
        holder = await self.until(self.kind)
        child = self.children[holder.member]
        at = boot()
        if self.kind in ("kill", "slow clock"):
            child.kill()
            await child.wait()
        elif self.kind == "term":
            child.terminate()
        elif self.kind in ("stop", "stop short"):
            child.send_signal(signal.SIGSTOP)
        elif self.kind == "depose":
            assert store.stdin is not None and store.stdout is not None
            store.stdin.write(b'{"do":"depose"}\n')
            await store.stdout.readline()
            child.kill()
            await child.wait()
        if self.kind == "stop short":  # nobody else has to take it over
            await asyncio.sleep(SHORT * self.ttl)
            child.send_signal(signal.SIGCONT)
            await asyncio.sleep(self.ttl)
            return 0.0
        begun = await self.until(self.kind, holder.token)
        if self.kind == "stop":
            await asyncio.sleep(max(0.0, at + STOPPED * self.ttl - boot()))
            child.send_signal(signal.SIGCONT)
            await asyncio.sleep(0.2 * self.ttl)
        else:
            await child.wait()
            self.ready.discard(holder.member)
            await self.start(holder.member)
        return begun.at - at


async def run(
    kind: str, losses: int, store: asyncio.subprocess.Process, endpoints: Sequence[str], members: int,
    ttl: int, seed: int,
) -> Losses:  # fmt: skip
    found = Losses(kind)
    draws = Random(seed)
    async with Fleet(kind, endpoints, members, ttl, seed) as fleet:
        for _ in range(losses):
            found.gaps.append(await fleet.lose(store))
            await fleet.until(kind)
            await asyncio.sleep(draws.uniform(0.0, 0.5 * ttl))  # so that losses come at all times of a lease
    found.overlaps = fleet.judge.overlaps()
    judge = fleet.judge
    found.effects, found.late, found.refused = judge.effects, judge.late, judge.refused
    return found


def quantiles(gaps: Iterable[float]) -> dict[str, float]:
    ordered = sorted(gaps)
    last = len(ordered) - 1
    shares = {"p50": 0.5, "p99": 0.99, "max": 1.0}
    return {name: round(ordered[min(last, int(share * len(ordered)))], 3) for name, share in shares.items()}


async def measure(kinds: Sequence[str], losses: int, members: int, ttl: int, seed: int) -> list[Losses]:
    """Each kind before a store of its own, one after another. Raises RigError."""
    told = []
    for number, kind in enumerate(kinds):
        store, endpoints = await launch(3)
        try:
            told.append(await run(kind, losses, store, endpoints, members, ttl, seed + number))
        finally:
            await process.end(store)
    return told
