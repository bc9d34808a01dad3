"""Losses of a duty's holder, one after another, among members in processes of their own: how long nobody held
it, and whether two ever did."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import tempfile
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from itertools import pairwise
from pathlib import Path
from random import Random

import msgspec

from gladegw.control.clock import boot_time
from gladegw.control.errors import StoreClientError
from gladegw.control.keys import Keys
from gladegw.control.store_client import StoreClient, addresses
from gladegw.coordination.store import Get
from gladegw.rig import process
from gladegw.rig.errors import RigError
from gladegw.rig.faults.links import Link
from gladegw.rig.measures.member import Line, Plan
from gladegw.rig.store.launch import launch
from gladegw.rig.store.linearizability import violations
from gladegw.rig.store.record import read

KINDS = (
    "kill",
    "term",
    "stop",
    "stop short",
    "slow clock",
    "cut out",
    "cut in",
    "depose",
    "store killed",
    "store stopped",
    "term heir",
    "majority",
    "versions",
    "stale",
)
CUTS = ("cut out", "cut in")  # of what the holder sends to the store, or of what it is answered
LINKED = (*CUTS, "stale")  # in `stale` an effect is on its way until another holds the duty
WITH_STORE = {"depose": "depose", "store killed": "kill", "store stopped": "stop"}  # and the holder killed
STEP = 0.06  # s within which the heir is told to end as well
AFTER = {"store killed": "start", "store stopped": "go"}  # what brings the store's member back
PATIENCE = 30.0  # s for a duty to find its next holder
LOOK = 0.005  # s
STOPPED = 2.5  # times the lease, for which `stop` stops a holder
SHORT = 0.4  # and `stop short`
RECORDS = (-1, 0, 1)  # versions of members' records in `versions`
RATES = (0.9, 1.0, 1.05)  # of members' clocks in `slow clock`: a tenth slow against a twentieth fast


@dataclass(slots=True)
class Held:
    """One token's time with its holder, as its own bound had it: `until` grows with each effect."""

    member: str
    token: int
    begun: float
    until: float
    ended: bool = False


@dataclass(slots=True)
class Losses:
    kind: str
    gaps: list[float] = field(default_factory=list)  # s from the loss to the next begin
    overlaps: list[str] = field(default_factory=list)
    operations: int = 0  # of the store, as it recorded them
    disorder: list[str] = field(default_factory=list)  # keys whose record no order explains
    effects: int = 0
    went_back: list[str] = field(default_factory=list)  # effects that the store took after a later token's
    late: int = 0  # effects begun after the holder's bound
    refused: int = 0  # effects begun and refused for their token, as their holders were answered
    fenced: int = 0  # the same as the store counts them


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
            elif not held.ended:  # a line of an effect may come after that of the end that cut it short
                held.until = max(held.until, line.until)
        if line.what in ("effect", "refused"):
            self.effects += 1
            self.late += line.at >= line.until
            self.refused += line.what == "refused"
        elif line.what == "end" and line.token in self.held:
            held = self.held[line.token]
            held.until, held.ended = min(line.at, held.until), True

    def overlaps(self) -> list[str]:
        """Tokens whose holders held at one moment by their own bounds, or that began out of order."""
        ordered = [self.held[token] for token in sorted(self.held)]
        return [
            f"token {one.token} of {one.member} until {one.until:.3f}, "
            f"token {other.token} of {other.member} from {other.begun:.3f}"
            for one, other in pairwise(ordered)
            if other.begun < one.until and one.member != other.member
        ]


class Stand:
    """The stand-in store's process, and what it is told."""

    def __init__(self, child: asyncio.subprocess.Process, endpoints: Sequence[str]) -> None:
        self.child, self.endpoints = child, tuple(endpoints)

    async def order(self, do: str, member: int = 0, size: float = 0.0) -> str:
        """Raises RigError for one that it does not carry out."""
        assert self.child.stdin is not None and self.child.stdout is not None
        self.child.stdin.write(msgspec.json.encode({"do": do, "member": member, "size": size}) + b"\n")
        async with asyncio.timeout(PATIENCE):
            answer = (await self.child.stdout.readline()).decode().strip()
        if not answer.startswith("ok"):
            raise RigError(f"the stand-in store: {do}: {answer}")
        return answer

    async def fenced(self) -> int:
        """Transactions whose token did not hold."""
        return int((await self.order("fenced")).split()[1])

    async def leader(self) -> int:
        """Once there is one."""
        async with asyncio.timeout(PATIENCE):
            while (leader := int((await self.order("leader")).split()[1])) < 0:
                await asyncio.sleep(0.02)
        return leader


class Tokens:
    """What the store has taken, in its own order: each effect writes its token to one key."""

    def __init__(self, endpoints: Sequence[str], prefix: str) -> None:
        self.client = StoreClient(addresses(endpoints), PATIENCE)
        self.key = Keys(prefix).fleet_record("one")
        self.seen: list[str] = []
        self.newest = self.known_to = 0
        self.following: asyncio.Task[None] | None = None

    async def __aenter__(self) -> Tokens:
        self.following = asyncio.create_task(self._follow())
        return self

    async def __aexit__(self, *exc: object) -> None:
        assert self.following is not None
        self.following.cancel()
        self.client.close()

    async def _follow(self) -> None:
        """From the first revision on: nothing is compacted in this measure."""
        while True:
            with contextlib.suppress(StoreClientError):
                async for now, events in self.client.watch(self.key, b"", self.known_to + 1, PATIENCE):
                    for event in events:
                        self.taken(int(event.kv.value))
                    self.known_to = max(now, self.known_to)
            await asyncio.sleep(LOOK)

    def taken(self, token: int) -> None:
        if token < self.newest:
            self.seen.append(f"an effect of token {token} after one of {self.newest}")
        self.newest = max(self.newest, token)

    async def ended(self) -> list[str]:
        """Once all that was written by now is known."""
        async with asyncio.timeout(PATIENCE):
            while True:
                with contextlib.suppress(StoreClientError):
                    _, found = await self.client.get(Get(self.key))
                    if not found or self.known_to >= found[0].mod_revision:
                        return self.seen
                await asyncio.sleep(LOOK)


class Fleet:
    """Members before one stand-in store; `async with` ends all of it."""

    def __init__(
        self,
        kind: str,
        endpoints: Sequence[str],
        members: int,
        ttl: int,
        seed: int,
        away: float = 0.0,
        unfenced: bool = False,
    ) -> None:
        self.kind, self.endpoints, self.ttl, self.away = kind, tuple(endpoints), ttl, away
        self.draws = Random(seed)
        self.links: dict[str, list[Link]] = {}
        self.standing = contextlib.AsyncExitStack()
        self.names = [f"m{number}" for number in range(members)]
        self.prefix = f"/{kind.replace(' ', '-')}-{seed}"
        self.children: dict[str, asyncio.subprocess.Process] = {}
        self.reading: list[asyncio.Task[None]] = []
        self.judge = Judge()
        self.changed = asyncio.Event()
        self.ready: set[str] = set()
        self.newest = Line("", 0.0)
        self.last: dict[tuple[str, str], Line] = {}  # by what it says, and of whom
        self.unfenced = unfenced
        self.tokens = Tokens(endpoints, self.prefix)

    async def __aenter__(self) -> Fleet:
        await self.standing.enter_async_context(self.tokens)
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
        await self.standing.aclose()

    async def linked(self, name: str) -> tuple[str, ...]:
        """The store's addresses, as this member is told them."""
        if self.kind not in LINKED:
            return self.endpoints
        if name not in self.links:
            found = [await self.standing.enter_async_context(Link(target)) for target in self.endpoints]
            self.links[name] = found
        return tuple(link.address for link in self.links[name])

    async def start(self, name: str) -> None:
        place = self.names.index(name)
        rate = RATES[place % len(RATES)] if self.kind == "slow clock" else 1.0
        version = RECORDS[place % len(RECORDS)] if self.kind == "versions" else 0
        child = await process.start(*process.python("gladegw.rig.measures.member"))
        plan = Plan(
            name=name,
            endpoints=await self.linked(name),
            prefix=self.prefix,
            duties=("one",),
            ttl=self.ttl,
            rate=rate,
            records=version,
            unfenced=self.unfenced,
        )
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
            self.last[line.what, line.member] = line
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

    async def lose(self, store: Stand) -> float:
        """One loss, and all members back; s without a holder, or until the next holder began."""
        leader = await store.leader()
        holder = await self.until(self.kind)
        if self.kind == "majority":
            return await self._majority(store, leader, holder)
        if self.kind == "term heir":
            return await self._hand_over_twice(holder)
        if self.kind == "stale":
            return await self._late_effect(store, holder)
        child = self.children[holder.member]
        at = boot_time()
        if self.kind in ("kill", "slow clock", "versions"):
            child.kill()
            await child.wait()
        elif self.kind == "term":
            child.terminate()
        elif self.kind in ("stop", "stop short"):
            child.send_signal(signal.SIGSTOP)
        elif self.kind in CUTS:
            for link in self.links[holder.member]:
                (link.there if self.kind == "cut out" else link.back).hold()
        elif self.kind in WITH_STORE:
            await store.order(WITH_STORE[self.kind], leader)
            child.kill()
            await child.wait()
        if self.kind == "stop short":  # nobody else has to take it over
            await asyncio.sleep(SHORT * self.ttl)
            child.send_signal(signal.SIGCONT)
            await asyncio.sleep(self.ttl)
            return 0.0
        begun = await self.until(self.kind, holder.token)
        if self.kind == "stop":
            await asyncio.sleep(max(0.0, at + STOPPED * self.ttl - boot_time()))
            child.send_signal(signal.SIGCONT)
            await asyncio.sleep(0.2 * self.ttl)
        elif self.kind in CUTS:
            await asyncio.sleep(0.5 * self.ttl)
            for link in self.links[holder.member]:
                link.heal()
        else:
            await child.wait()
            self.ready.discard(holder.member)
            if self.kind in AFTER:
                await store.order(AFTER[self.kind], leader)
            await self.start(holder.member)
        return begun.at - at

    async def _late_effect(self, store: Stand, holder: Line) -> float:
        """The holder's next effect is on its way, and it stands still, until another has had an effect."""
        links, child = self.links[holder.member], self.children[holder.member]
        at, fenced, seen = boot_time(), await store.fenced(), len(self.tokens.seen)
        for link in links:
            link.there.hold()
        async with asyncio.timeout(PATIENCE):
            while not any(self.tokens.key in piece for link in links for piece in link.there.waiting):
                await asyncio.sleep(LOOK)
            child.send_signal(signal.SIGSTOP)
            begun = await self.until(self.kind, holder.token)
            while not self._told("effect", begun.member, begun.at):
                await asyncio.sleep(LOOK)
            for link in links:
                link.heal()
            while await store.fenced() == fenced and len(self.tokens.seen) == seen:
                await asyncio.sleep(LOOK)
        child.send_signal(signal.SIGCONT)
        return begun.at - at

    def _told(self, what: str, member: str, since: float) -> bool:
        line = self.last.get((what, member))
        return line is not None and line.at >= since

    async def _majority(self, store: Stand, leader: int, holder: Line) -> float:
        """S from its return until somebody holds: nobody has, in between, beyond the own bound."""
        lost = (leader, (leader + 1) % len(self.endpoints))
        for member in lost:
            await store.order("kill", member)
        await asyncio.sleep(max(self.away, 1.5 * self.ttl))
        for member in lost:
            await store.order("start", member)
        at = boot_time()
        return (await self.until(self.kind, holder.token)).at - at

    async def _hand_over_twice(self, holder: Line) -> float:
        """All but one are told to end, one after another, at any step of their hand-overs."""
        at = boot_time()
        leaving = [holder.member, *(name for name in self.names if name != holder.member)][:-1]
        ended = {name: self.children[name] for name in leaving}
        for child in ended.values():
            child.terminate()
            await asyncio.sleep(self.draws.uniform(0.0, STEP))
        while self.newest.member in leaving:
            await self.until(self.kind, self.newest.token)
        for name, child in ended.items():
            await child.wait()
            self.ready.discard(name)
            await self.start(name)
        return self.newest.at - at


async def run(
    kind: str,
    losses: int,
    store: Stand,
    members: int,
    ttl: int,
    seed: int,
    away: float,
    unfenced: bool = False,
) -> Losses:
    found = Losses(kind)
    draws = Random(seed)
    async with Fleet(kind, store.endpoints, members, ttl, seed, away, unfenced) as fleet:
        for _ in range(losses):
            found.gaps.append(await fleet.lose(store))
            await fleet.until(kind)
            await asyncio.sleep(draws.uniform(0.0, 0.5 * ttl))  # so that losses come at all times of a lease
        found.fenced = await store.fenced()
        found.went_back = await fleet.tokens.ended()
    found.overlaps = fleet.judge.overlaps()
    judge = fleet.judge
    found.effects, found.late, found.refused = judge.effects, judge.late, judge.refused
    return found


def quantiles(gaps: Iterable[float]) -> dict[str, float]:
    ordered = sorted(gaps)
    last = len(ordered) - 1
    shares = {"p50": 0.5, "p99": 0.99, "max": 1.0}
    return {name: round(ordered[min(last, int(share * len(ordered)))], 3) for name, share in shares.items()}


async def one_kind(
    kind: str, losses: int, members: int, ttl: int, seed: int, away: float, unfenced: bool = False
) -> Losses:
    """Before a store of its own, whose record is checked afterwards. `unfenced`: a defect for the judge to
    find. Raises RigError."""
    with tempfile.TemporaryDirectory() as folder:
        file = Path(folder) / "store.jsonl"
        child, endpoints = await launch(3, "--record", str(file))
        try:
            found = await run(kind, losses, Stand(child, endpoints), members, ttl, seed, away, unfenced)
        finally:
            await process.end(child)
        record = read(file)
    found.operations, found.disorder = len(record), violations(record)
    return found


async def measure(
    kinds: Sequence[str], losses: int, members: int, ttl: int, seed: int, away: float = 0.0, at_once: int = 1
) -> list[Losses]:
    """So many kinds at a time, each by itself. Raises RigError."""
    turn = asyncio.Semaphore(at_once)

    async def in_turn(number: int, kind: str) -> Losses:
        async with turn:
            return await one_kind(kind, losses, members, ttl, seed + number, away)

    return await asyncio.gather(*(in_turn(number, kind) for number, kind in enumerate(kinds)))
