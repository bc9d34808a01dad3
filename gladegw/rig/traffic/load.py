"""A load: worker processes that send one schedule together, and the figures of all of them."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any

import msgspec

from gladegw.rig import process
from gladegw.rig.errors import RigError
from gladegw.rig.traffic.recorder import Tally, Total, summary
from gladegw.rig.traffic.worker import Plan

LEAD = 0.3  # s between the workers' readiness and the first arrival
VALID_P99 = 10.0  # ms of lateness at the 99th percentile beyond which a run says nothing of the server
PATIENCE = 20.0  # s for a worker to start

Progress = Callable[[dict[str, Any]], None]


@dataclass(slots=True)
class Loaded:
    """What a load found; times of the summaries in milliseconds."""

    total: Total
    reasons: list[str]  # why it is not valid

    def figures(self) -> dict[str, Any]:
        total = self.total
        found: dict[str, Any] = {
            "sent": int(total.sum("sent")),
            "answered": int(total.sum("answered")),
            "valid": not self.reasons,
            "codes": dict(sorted(total.codes.items())),
        }
        if self.reasons:
            found["invalid_because"] = self.reasons
        for kind in ("lateness", "latency", "service"):
            found[f"{kind}_ms"] = summary(total.of[kind])
        asked = total.sum("asked_worth")
        found |= {
            "tries": int(total.sum("tries")),
            "served_worth": total.sum("worth") / asked if asked else 0.0,
            "cpu_s": round(total.sum("cpu"), 3),
            "memory_mb": round(max((tally.memory for tally in total.tallies), default=0.0), 1),
        }
        if total.tallies and total.tallies[0].trace:
            found["trace"] = total.tallies[0].trace
        return found


def split(plan: Plan, workers: int) -> list[Plan]:
    return [
        msgspec.structs.replace(
            plan,
            worker=number,
            workers=workers,
            rude=plan.rude if number == 0 else (),
            ledger=f"{plan.ledger}-{number}.jsonl" if plan.ledger else "",
        )
        for number in range(workers)
    ]


class Load:
    """The workers of one load. start(), then run(), then close(); close() is owed whatever happens."""

    def __init__(self, plan: Plan, workers: int = 1, valid_p99: float = VALID_P99) -> None:
        self.plans = split(plan, workers)
        self.valid_p99 = valid_p99
        self.processes: list[asyncio.subprocess.Process] = []
        self.latest: list[dict[str, Any]] = [{} for _ in self.plans]

    async def start(self, cpus: Sequence[int] = ()) -> None:
        for plan in self.plans:
            child = await process.start(*process.python("gladegw.rig.traffic.worker"), cpus=cpus)
            self.processes.append(child)
            assert child.stdin is not None
            child.stdin.write(msgspec.json.encode(plan) + b"\n")
        for child in self.processes:
            assert child.stdout is not None
            try:
                async with asyncio.timeout(PATIENCE):
                    if not await child.stdout.readline():
                        raise RigError("a load worker ended before it began")
            except TimeoutError:
                raise RigError("a load worker did not start in time") from None

    async def run(self, start: float, progress: Progress | None = None) -> Loaded:
        """`start` is the moment on the monotonic clock from which the schedule counts."""
        for child in self.processes:
            assert child.stdin is not None
            child.stdin.write(f"{start!r}\n".encode())
        reading = (self._read(place, child, progress) for place, child in enumerate(self.processes))
        found = await asyncio.gather(*reading)
        reasons = [f"worker {place} ended early" for place, tally in enumerate(found) if tally is None]
        tallies = [tally for tally in found if tally is not None]
        total = Total(tallies)
        if total.sum("sent") < total.sum("due"):
            reasons.append(f"{int(total.sum('due') - total.sum('sent'))} arrivals were not sent")
        late = summary(total.of["lateness"])["p99"]
        if late > self.valid_p99:
            reasons.append(f"schedule not kept: p99 of lateness {late:.1f} ms, {self.valid_p99:g} allowed")
        if not total.sum("sent"):
            reasons.append("nothing was sent")
        return Loaded(total, reasons)

    async def _read(
        self, place: int, child: asyncio.subprocess.Process, progress: Progress | None
    ) -> Tally | None:
        assert child.stdout is not None
        while line := await child.stdout.readline():
            if line.startswith(b"tally "):
                return msgspec.json.decode(line[6:], type=Tally)
            try:
                self.latest[place] = msgspec.json.decode(line)
            except msgspec.MsgspecError:
                continue
            if progress is not None:
                progress(self._progress())
        return None

    def _progress(self) -> dict[str, Any]:
        added: dict[str, Any] = {"codes": {}}
        for told in self.latest:
            for name, value in told.items():
                if name == "codes":
                    for code, number in value.items():
                        added["codes"][code] = added["codes"].get(code, 0) + number
                else:
                    added[name] = added.get(name, 0) + value
        return added

    async def close(self) -> None:
        for child in self.processes:
            await process.end(child)


async def once(plan: Plan, workers: int, valid_p99: float, progress: Progress | None = None) -> Loaded:
    """One load against servers that are there already."""
    load = Load(plan, workers, valid_p99)
    try:
        await load.start()
        return await load.run(time.monotonic() + LEAD, progress)
    finally:
        await load.close()
