"""Changes of policy over serving proxies, one after another, with requests flowing and faults between: how
long each took, how wide the moment was in which both policies answered, whether any answer broke the rules.

| rule | an answer breaks it if |
| --- | --- |
| decided | its policy was never decided |
| forward | its proxy's process has answered by a newer one before |
| bound | it was asked for later than `bound` after a newer policy was known to be in force |
"""

from __future__ import annotations

import asyncio
import contextlib
import tempfile
import time
from collections.abc import Sequence
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import Any

from gladegw.control.duties.policy_coordinator import votes
from gladegw.control.errors import StoreClientError
from gladegw.control.policy_participant import EXTEND_INTERVAL_S, PROBATION_S
from gladegw.control.policy_proposals import PolicyOperator, ProposalResult, status
from gladegw.control.store_cache import StoreCache
from gladegw.control.store_client import StoreClient, addresses
from gladegw.coordination.lease import MAX_CLOCK_DRIFT
from gladegw.coordination.records import PolicyChangeRecord, PolicyRecord
from gladegw.rig import process
from gladegw.rig.errors import RigError
from gladegw.rig.faults.links import Link
from gladegw.rig.measures import scale
from gladegw.rig.measures.failover import Stand, quantiles
from gladegw.rig.proxy import Proxy
from gladegw.rig.store.launch import launch

BOUND = 1.2  # s: the gate's second and a tick; of who hears what is decided
EACH = 0.005  # s between two requests of one proxy; of more than FEW proxies as much longer
FEW = 8
DROP_BY = 0.1  # s between two that come on connections of their own
ASKED = 2.0  # s for an answer
PATIENCE = 60.0  # s for all to serve again
FAULTS = (
    "kill",
    "stop",
    "stop long",
    "term",
    "cut there",
    "cut back",
    "asleep",
    "deaf",
    "depose",
    "store killed",
    "none",
)
CLOCKS = ("slow clock", "", "fast clock")  # of rig.bad.HARMS, by turns
STEPS = ("before", "proposed", "first vote", "all voted", "decided")  # of a change, at which a fault comes
OF_DECIDER = 0.5  # share of the proxies' faults that touch who decides
SHORT, LONG = (0.05, 0.8), (1.2, 3.0)  # s of a stop
REQUEST = b"GET /status/1 HTTP/1.1\r\nHost: x\r\nX-Call-Id: c%d\r\nX-Budget: 2000m\r\n\r\n"
Streams = tuple[asyncio.StreamReader, asyncio.StreamWriter]


@dataclass(slots=True)
class Answer:
    proxy: str
    life: int  # counts the proxy's processes
    sent: float
    ended: float
    word: int  # number of the policy; -1: refused


@dataclass(slots=True)
class Told:
    decided: list[float] = field(default_factory=list)  # s from the proposal
    everywhere: list[float] = field(default_factory=list)  # s until all that are there serve by it
    windows: list[float] = field(default_factory=list)  # s from the first to the last proxy's first answer
    outcomes: dict[str, int] = field(default_factory=dict)
    reasons: list[str] = field(default_factory=list)  # of those that were not everywhere, with the fault
    during: list[float] = field(default_factory=list)  # s from request to answer while a change was open
    beside: list[float] = field(default_factory=list)  # and of all others
    answers: int = 0
    refused: int = 0
    breaches: list[str] = field(default_factory=list)


def bound(ttl: float, cut: bool) -> float:
    """S for which the older policy may still answer. Where links are cut, one that has agreed and hears
    nothing serves for as long as it knows the store's word (docs/design/policy.md)."""
    return max(BOUND, ttl * (1 - MAX_CLOCK_DRIFT) + EXTEND_INTERVAL_S) if cut else BOUND


def judge(
    answers: Sequence[Answer], in_force: dict[int, float], decided: set[int], within: float = BOUND
) -> list[str]:
    """`in_force`: when each policy that was decided was known to be, by the clock of the answers."""
    found = []
    newest: dict[tuple[str, int], int] = {}
    for one in sorted(answers, key=lambda answer: answer.ended):
        if one.word < 0:
            continue
        who = f"{one.proxy} at {one.ended:.3f} by policy {one.word}"
        if one.word not in decided:
            found.append(f"decided: {who}")
        before = newest.get((one.proxy, one.life), -1)
        if one.word < before:
            found.append(f"forward: {who} after {before}")
        newest[one.proxy, one.life] = max(before, one.word)
        over = [number for number, at in in_force.items() if number > one.word and one.sent > at + within]
        if over:
            late = one.sent - in_force[min(over)]
            found.append(f"bound: {who}, {late:.3f} s after {min(over)} was in force")
    return found


def cast(view: StoreCache) -> set[str]:
    """Who has voted on the change that is open: votes on those before stand for a while."""
    change = view.entries.get(view.keys.open_change)
    if change is None:
        return set()
    return {who for who, vote in votes(view).items() if vote.change == change.create_revision}


class Course:
    def __init__(
        self, store: Stand, running: Sequence[Proxy], links: dict[str, list[Link]], seed: int
    ) -> None:
        self.store, self.running = store, running
        self.draws = Random(seed)
        self.client = StoreClient(addresses(store.endpoints), 1.0)
        self.operator = PolicyOperator(self.client, scale.PREFIX, timeout=PATIENCE)
        self.lives = dict.fromkeys((proxy.name for proxy in running), 0)
        self.answers: list[Answer] = []
        self.asked = 0
        self.killed: dict[str, float] = {}
        self.links = links
        self.over = False  # the change that is under way is decided, or nowhere
        self.slower = max(1.0, len(running) / FEW)  # who asks shares a core with who measures

    async def drop_by(self, proxy: Proxy) -> None:
        """Requests on connections of their own, whether those before are answered or not: they wait in the
        sockets of one that stands still."""
        dropped: set[asyncio.Task[None]] = set()
        try:
            while True:
                await asyncio.sleep(DROP_BY * self.slower)
                task = asyncio.create_task(self.once(proxy))
                dropped.add(task)
                task.add_done_callback(dropped.discard)
        finally:
            for task in dropped:
                task.cancel()

    async def once(self, proxy: Proxy) -> None:
        with contextlib.suppress(OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
            streams = await asyncio.open_connection("127.0.0.1", proxy.port)
            try:
                await self.answered(proxy, streams)
            finally:
                streams[1].close()

    async def answered(self, proxy: Proxy, streams: Streams) -> None:
        life, sent = self.lives[proxy.name], time.monotonic()
        self.asked += 1
        streams[1].write(REQUEST % self.asked)
        async with asyncio.timeout(ASKED + LONG[1]):
            head = await streams[0].readuntil(b"\r\n\r\n")
            size = int(head.lower().partition(b"content-length:")[2].split(b"\r\n", 1)[0])
            body = await streams[0].readexactly(size)
        if self.lives[proxy.name] == life:
            word = int(body) if b" 404 " in head[:16] else -1
            self.answers.append(Answer(proxy.name, life, sent, time.monotonic(), word))

    async def ask(self, proxy: Proxy) -> None:
        """Requests without end, on a connection as long as it holds."""
        streams: Streams | None = None
        while True:
            await asyncio.sleep(EACH * self.slower)
            try:
                if streams is None:
                    streams = await asyncio.open_connection("127.0.0.1", proxy.port)
                await self.answered(proxy, streams)
            except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
                if streams is not None:
                    streams[1].close()
                streams = None

    # faults
    async def reached(self, step: str, epoch: int) -> str:
        """Waits for a step of the change to this epoch, or for its end; who decides."""
        while True:
            view = await self.operator.view()
            change = view.read(view.keys.open_change, PolicyChangeRecord)
            given, force = cast(view), view.read(view.keys.committed_policy, PolicyRecord)
            there = {
                "before": True,
                "proposed": change is not None,
                "first vote": bool(given),
                "all voted": len(given) >= len(self.running),
                "decided": force is not None and force.epoch >= epoch,
            }[step]
            decider = next(
                (holder.holder for kv, holder in view.duty_holders() if kv.key == view.keys.duty("policy")),
                "",
            )
            if there or self.over:
                return decider
            await asyncio.sleep(0.002)

    async def agreed(self, kind: str) -> None:
        """One has voted, and sleeps or hears nothing when it is decided: another's vote is held back till
        then."""
        decider = await self.reached("before", 0)
        victim = self.draws.choice([one for one in self.running if one.name != decider])
        other = self.draws.choice([one for one in self.running if one is not victim])
        for link in self.links[other.name]:
            link.there.hold()
        try:
            while not self.over:
                if any(who.partition("#")[0] == victim.name for who in cast(await self.operator.view())):
                    break
                await asyncio.sleep(0.002)
            if kind == "asleep":
                victim.signal("stop")
            else:
                for link in self.links[victim.name]:
                    link.back.hold()
        finally:
            for link in self.links[other.name]:
                link.heal()
        while not self.over:
            await asyncio.sleep(0.01)
        await asyncio.sleep(self.draws.uniform(*LONG))
        victim.signal("cont")
        for link in self.links[victim.name]:
            link.heal()

    async def fault(self, kind: str, step: str, epoch: int) -> None:
        if kind in ("asleep", "deaf"):
            return await self.agreed(kind)
        decider = await self.reached(step, epoch)
        now = time.monotonic()
        proxy = self.draws.choice(self.running)
        if self.draws.random() < OF_DECIDER:
            proxy = next((one for one in self.running if one.name == decider), proxy)
        if kind in ("kill", "term") and now < self.killed.get(proxy.name, 0.0) + PROBATION_S + 1.0:
            return  # a second death so soon would count against the bundle
        if kind in ("kill", "term"):
            self.lives[proxy.name] += 1
            if kind == "kill":
                await proxy.kill()
            else:
                await proxy.end(8.0)
            await proxy.start()
            await proxy.ready()
            self.killed[proxy.name] = time.monotonic()  # from here on it has to live for SURE
        elif kind in ("stop", "stop long"):
            proxy.signal("stop")
            await asyncio.sleep(self.draws.uniform(*(SHORT if kind == "stop" else LONG)))
            proxy.signal("cont")
        elif kind in ("cut there", "cut back"):
            for link in self.links[proxy.name]:
                (link.there if kind == "cut there" else link.back).hold()
            await asyncio.sleep(self.draws.uniform(SHORT[0], LONG[1]))
            for link in self.links[proxy.name]:
                link.heal()
        elif kind == "depose":
            await self.store.order("depose")
        elif kind == "store killed":
            member = await self.store.leader()
            await self.store.order("kill", member)
            await asyncio.sleep(0.5)
            await self.store.order("start", member)

    async def all_serve(self, epoch: int) -> None:
        """Raises RigError if they do not."""
        names = {proxy.name for proxy in self.running}
        end = time.monotonic() + PATIENCE
        while True:
            found = status(await self.operator.view())
            if found["epoch"] >= epoch and {
                one["name"] for one in found["members"] if one["state"] == "in force"
            } == names == {one["name"] for one in found["members"]}:
                return
            if time.monotonic() > end:
                logs = "; ".join(f"{proxy.name}: {proxy.last_line()}" for proxy in self.running)
                raise RigError(f"not all serve by epoch {epoch} after {PATIENCE:g} s: {found}; {logs}")
            await asyncio.sleep(0.005)

    async def change(self, number: int, deadline: int) -> ProposalResult:
        digest = await self.operator.upload({"site.routes.hcl": policy(number)})
        change = await self.operator.propose(digest, deadline, True, "rig", f"change {number}", False)
        return await self.operator.outcome(change, deadline)


def policy(number: int) -> str:
    return f'route "all" {{\n  prefix = "/"\n  answer {{\n    code = 404\n    body = "{number}"\n  }}\n}}\n'


async def run(
    proxies: int,
    changes: int,
    ttl: int,
    deadline: int,
    kinds: Sequence[str],
    seed: int,
    every: float = 0.0,
    clocks: bool = False,
) -> Told:
    """`every`: s from one change to the next, at least. `clocks`: of every three proxies one has a clock that
    is a tenth slow, one a twentieth fast. Raises RigError."""
    told = Told()
    with tempfile.TemporaryDirectory() as scratch:
        folder = Path(scratch)
        child, endpoints = await launch(3)
        try:
            store = Stand(child, endpoints)
            first = folder / "site.routes.hcl"
            first.write_text(policy(0), encoding="utf-8")
            more = f'routes {{\n  file = "{first}"\n}}\npolicy {{\n  deadline_s = {deadline}\n}}\n'
            async with contextlib.AsyncExitStack() as stack:
                links: dict[str, list[Link]] = {}
                files = []
                for number in range(proxies):
                    own = [await stack.enter_async_context(Link(target)) for target in endpoints]
                    links[f"p{number}"] = own
                    at = [link.address for link in own] if kinds else endpoints
                    files.append(folder / f"p{number}.hcl")
                    files[-1].write_text(scale.block(at, ttl) + more, encoding="utf-8")
                running = await stack.enter_async_context(
                    scale.proxies(proxies, folder, [str(file) for file in files], CLOCKS if clocks else ("",))
                )
                course = Course(store, running, links, seed)
                await _course(course, changes, deadline, kinds, told, ttl, every)
        finally:
            await process.end(child)
    return told


async def _course(
    course: Course, changes: int, deadline: int, kinds: Sequence[str], told: Told, ttl: int, every: float
) -> None:
    in_force: dict[int, float] = {}
    decided, unknown = {0}, set()
    spans: list[tuple[float, float]] = []
    asking = [
        asyncio.create_task(ask(proxy)) for ask in (course.ask, course.drop_by) for proxy in course.running
    ]
    try:
        await course.all_serve(0)
        for number in range(1, changes + 1):
            kind = course.draws.choice(list(kinds)) if kinds else "none"
            step = course.draws.choice(STEPS)
            course.over = False
            epoch = status(await course.operator.view())["epoch"] + 1
            fault = asyncio.create_task(course.fault(kind, step, epoch))
            began = time.monotonic()
            try:
                result = await course.change(number, deadline)
            except (StoreClientError, ValueError) as problem:
                result = ProposalResult("unknown", 0, "", str(problem))
            now = time.monotonic()
            spans.append((began, now))
            course.over = True
            if result.outcome != "everywhere":
                told.reasons.append(f"{kind} at {step}: {result.reason}")
            told.outcomes[result.outcome] = told.outcomes.get(result.outcome, 0) + 1
            if result.outcome == "everywhere":
                decided.add(number)
                in_force[number] = now
                told.decided.append(now - began)
            elif result.outcome == "unknown":
                unknown.add(number)
            await fault
            await course.all_serve(result.epoch if result.outcome == "everywhere" else 0)
            if result.outcome == "everywhere" and kind == "none":
                told.everywhere.append(time.monotonic() - began)
                await asyncio.sleep(10 * EACH * course.slower)
                told.windows.append(_window(course.answers, number, began))
            await asyncio.sleep(max(0.0, began + every - time.monotonic()))
        told.answers = len(course.answers)
        for one in course.answers:
            changing = any(began <= one.ended and one.sent <= over for began, over in spans)
            (told.during if changing else told.beside).append(one.ended - one.sent)
        told.refused = sum(one.word < 0 for one in course.answers)
        told.breaches = judge(course.answers, in_force, decided | unknown, bound(ttl, bool(kinds)))
    finally:
        for task in asking:
            task.cancel()
        await asyncio.gather(*asking, return_exceptions=True)
        course.client.close()


def _window(answers: Sequence[Answer], number: int, began: float) -> float:
    firsts: dict[str, float] = {}
    for one in answers:
        if one.word == number and one.ended > began:
            firsts.setdefault(one.proxy, one.ended)
    return max(firsts.values()) - min(firsts.values()) if firsts else 0.0


def figures(told: Told) -> dict[str, Any]:
    found: dict[str, Any] = {
        "outcomes": told.outcomes,
        "answers": told.answers,
        "refused": told.refused,
        "reasons": told.reasons,
        "breaches": told.breaches,
    }
    for name in ("decided", "everywhere", "windows", "during", "beside"):
        values: list[float] = getattr(told, name)
        found[name] = quantiles(values) if values else {}
    return found
