"""Rollouts over serving proxies with requests flowing: how soon something worse is taken back, how many
requests it harms, and how often something unchanged is stopped."""

from __future__ import annotations

import asyncio
import contextlib
import math
import tempfile
import time
from collections.abc import Sequence
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import Any

from gladegw.control.policy_proposals import PolicyOperator
from gladegw.control.rollout_plan import Plan
from gladegw.control.rollouts import RolloutOperator, latest, status
from gladegw.control.store_client import StoreClient, addresses
from gladegw.rig import process
from gladegw.rig.errors import RigError
from gladegw.rig.faulty_versions import HARMS as OF_PROGRAM
from gladegw.rig.measures import scale
from gladegw.rig.measures.replacements import supervised
from gladegw.rig.nodes.trivial import BETWEEN, LASTS
from gladegw.rig.proxy import Proxy
from gladegw.rig.store.launch import launch

PATIENCE = 30.0  # s for the store to answer
ASKED = 2.0  # s for an answer
LOOK = 0.25  # s
CONFIRM, DEADLINE = 10, 10  # s
BURST = 3.0  # times the usual rate
REQUEST = b"GET /status/1 HTTP/1.1\r\nHost: x\r\nX-Call-Id: r%d\r\nX-Budget: 2000m\r\nX-Draw: %02d\r\n\r\n"
# By name: share of class `status` that is harmed, in percent, and what becomes of it.
HARMS = {
    "none": (0, ""),
    "fails 5%": (5, "502"),
    "fails 20%": (20, "502"),
    "fails all": (100, "502"),
    "refuses 20%": (20, "503"),
    "no route": (100, "404"),
}


@dataclass(slots=True)
class Play:
    state: str
    stage: int
    seconds: float  # of the whole rollout
    found: float  # s from the first stage in force to its end; nan where it was not stopped
    requests: int
    harmed: int
    reason: str


@dataclass(slots=True)
class Told:
    harm: str
    plays: list[Play] = field(default_factory=list)


def table(word: str, harm: str) -> str:
    share, code = HARMS[harm]
    bad = ""
    if share:
        draws = "|".join(f"{draw:02d}" for draw in range(share))
        bad = (
            f'route "harm" {{\n  prefix = "/status"\n  header "x-draw" {{\n    regex = "{draws}"\n  }}\n'
            f"  answer {{\n    code = {code}\n  }}\n}}\n"
        )
    pool = 'pool "all" {\n  names = ["*"]\n}\n'
    edit = f'  edit_headers {{\n    put = {{ "x-word" = "{word}" }}\n  }}\n'
    return f'{pool}{bad}route "all" {{\n  prefix = "/"\n  pool = "all"\n{edit}}}\n'


class Callers:
    """One caller a proxy, on a connection as long as it holds; at a mean rate, by chance, and in bursts."""

    def __init__(self, proxies: Sequence[Proxy], rate: float, seed: int, bursts: bool) -> None:
        self.rate, self.draws = rate, Random(seed)
        self.requests = self.harmed = 0
        self.running = [asyncio.create_task(self._call(proxy)) for proxy in proxies]
        if bursts:
            self.running.append(asyncio.create_task(self._bursts()))

    async def _bursts(self) -> None:
        usual = self.rate
        while True:
            await asyncio.sleep(self.draws.uniform(*BETWEEN))
            self.rate = BURST * usual
            await asyncio.sleep(self.draws.uniform(*LASTS))
            self.rate = usual

    async def _call(self, proxy: Proxy) -> None:
        number = 0
        while True:
            with contextlib.suppress(OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
                reader, writer = await asyncio.open_connection("127.0.0.1", proxy.port)
                try:
                    while True:
                        await asyncio.sleep(self.draws.expovariate(self.rate))
                        number += 1
                        writer.write(REQUEST % (number, self.draws.randrange(100)))
                        async with asyncio.timeout(ASKED):
                            head = await reader.readuntil(b"\r\n\r\n")
                            size = int(head.lower().partition(b"content-length:")[2].split(b"\r\n", 1)[0])
                            await reader.readexactly(size)
                        self.requests += 1
                        self.harmed += b" 200 " not in head[:16]
                finally:
                    writer.close()
            await asyncio.sleep(0.05)

    async def end(self) -> None:
        for one in self.running:
            one.cancel()
        await asyncio.gather(*self.running, return_exceptions=True)


async def one(rollouts: RolloutOperator, plan: Plan, harm: str, number: int, callers: Callers) -> Play:
    files = {} if plan.program else {"site.routes.hcl": table(f"w{number}", harm)}
    began, asked, harmed = time.monotonic(), callers.requests, callers.harmed
    record = await rollouts.start(plan, files, CONFIRM, DEADLINE, True, "rig", harm)
    baking, stopped = math.nan, math.nan
    while True:
        view = await rollouts.operator.view()
        now = latest(view)
        if now is not None and now.phase == "baking" and math.isnan(baking):
            baking = time.monotonic()
        if now is not None and now.phase in ("going back", "back", "stopped") and math.isnan(stopped):
            stopped = time.monotonic()
        if view.read(view.keys.finished_rollout(record.id), type(record)) is not None:
            break
        await asyncio.sleep(LOOK)
    over = await rollouts.outcome(record.id)
    told = status(await rollouts.operator.view(), over)
    return Play(
        str(told["state"]),
        int(told["stage"]),
        time.monotonic() - began,
        stopped - baking,
        callers.requests - asked,
        callers.harmed - harmed,
        over.reason,
    )


async def installation(
    proxies: int,
    harm: str,
    program: bool,
    plays: int,
    rate: float,
    ttl: int,
    bake: float,
    seed: int,
    troubled: bool,
) -> Told:
    """Plays one after another before one store. Raises RigError."""
    told = Told(harm)
    with tempfile.TemporaryDirectory() as scratch:
        folder = Path(scratch)
        child, endpoints = await launch(3)
        try:
            first = folder / "site.routes.hcl"
            first.write_text(table("first", "none"), encoding="utf-8")
            blocks = (
                f'routes {{\n  file = "{first}"\n}}\npolicy {{\n  deadline_s = {DEADLINE}\n}}\n'
                f"rollout {{\n  confirm_s = {CONFIRM}\n}}\n"
            )
            file = folder / "site.hcl"
            file.write_text(scale.block(endpoints, ttl) + blocks, encoding="utf-8")
            client = StoreClient(addresses(endpoints), 2.0)
            rollouts = RolloutOperator(PolicyOperator(client, scale.PREFIX, timeout=PATIENCE))
            started: contextlib.AbstractAsyncContextManager[Sequence[Proxy]]
            troubles = seed if troubled else None
            if program:
                versions = {"1": "none", "2": harm}
                started = supervised(proxies, folder, str(file), versions, "1", troubles)
            else:
                started = scale.proxies(proxies, folder, str(file), troubles=troubles)
            async with started as running:
                callers = Callers(running, rate / proxies, seed, troubled)
                operator = rollouts.operator
                digest = await operator.upload({"site.routes.hcl": table("old", "none")})
                change = await operator.propose(digest, DEADLINE, True, "rig", "", False)
                result = await operator.outcome(change, DEADLINE)
                if result.outcome != "everywhere":
                    raise RigError(f"the first policy did not come into force: {result.reason}")
                version = "2"
                for number in range(plays):
                    plan = Plan(
                        program=version if program else "",
                        stages=("1", "25%", "100%"),
                        bake_s=bake,
                        most_s=10 * bake,
                        least_requests=50,
                    )
                    told.plays.append(await one(rollouts, plan, harm, number, callers))
                    if told.plays[-1].state == "done":
                        version = "1" if version == "2" else "2"
                await callers.end()
            client.close()
        finally:
            await process.end(child)
    return told


async def run(
    harms: list[str],
    program: bool,
    proxies: int,
    plays: int,
    rate: float,
    ttl: int,
    bake: float,
    seed: int,
    troubled: bool = False,
) -> list[dict[str, Any]]:
    """One installation for each of `harms`, at once; `none` may stand there again and again. `troubled`:
    nodes die, are replaced, slow, fail, and callers come in bursts."""
    for harm in harms:
        known = OF_PROGRAM if program else HARMS
        if harm not in known:
            raise RigError(f"no such harm: {harm}; there are {', '.join(known)}")
    found = await asyncio.gather(
        *(
            installation(proxies, harm, program, plays, rate, ttl, bake, seed + number, troubled)
            for number, harm in enumerate(harms)
        )
    )
    return [row(told) for told in found]


def row(told: Told) -> dict[str, Any]:
    plays = told.plays
    within = sorted(play.found for play in plays if not math.isnan(play.found))
    return {
        "harm": told.harm,
        "plays": len(plays),
        "states": {
            state: sum(play.state == state for play in plays)
            for state in sorted({play.state for play in plays})
        },
        "first_stage": sum(play.stage == 1 for play in plays if play.state != "done"),
        "found_s": [round(value, 1) for value in within],
        "whole_s": [round(play.seconds, 1) for play in plays],
        "requests": sum(play.requests for play in plays),
        "harmed": sum(play.harmed for play in plays),
        "reasons": sorted({play.reason for play in plays if play.reason}),
    }
