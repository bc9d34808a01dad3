"""`rig soak`: days of faults before one real proxy, each drawn from a seed."""

from __future__ import annotations

import asyncio
import tempfile
from pathlib import Path
from typing import TYPE_CHECKING

import click
import msgspec

from gladegw.cli.common import mendable, run_async, show_json

if TYPE_CHECKING:
    from gladegw.rig.soak import Verdict


def shown(one: Verdict) -> None:
    day = one.day
    click.echo(
        f"seed {day.seed}: {day.servers} servers, {day.share:g} of a core, {day.failing:g} of system calls "
        f"fail, {len(day.drains)} drains, {len(day.hangups)} SIGHUP, {len(day.stops)} stops, discovery "
        f"{day.fault}, probes {'on' if day.probes else 'off'}, draining servers "
        f"{'healthy' if day.healthy else 'unhealthy'}, {day.slow_readers} slow readers, "
        f"a crowd of {day.crowd}: {one.answered} answered, {one.refused} refused, "
        f"{one.failed} failed: {'BROKEN' if one.breaches else 'whole'}"
    )
    for breach in one.breaches:
        click.echo(f"  {breach.rule} at {breach.at:g} s: {breach.what}")


@click.command("soak")
@click.option("--seed", type=int, default=1, show_default=True, help="The first one.")
@click.option("--seeds", type=click.IntRange(1, 10_000), default=1, show_default=True)
@click.option("--servers", type=click.IntRange(1, 3200), default=None, help="In place of the drawn number.")
@click.option("--at-once", type=click.IntRange(1, 64), default=2, show_default=True)
@click.option("--harm", default="", help="A harm of rig/bad.py that the proxy does, to try the judge.")
@click.option("--json", "as_json", is_flag=True, help="Print one object.")
@mendable
def soak(seed: int, seeds: int, servers: int | None, at_once: int, harm: str, as_json: bool) -> None:
    """Play days of failing calls, stepped clocks, crowded discovery, drains and signals; a seed is a day."""
    from gladegw.rig import soak as days
    from gladegw.rig.faulty_versions import HARMS

    if harm and harm not in HARMS:
        raise click.BadParameter(f"{harm} is none of {', '.join(HARMS)}", param_hint="--harm")
    found: list[Verdict] = []

    async def play(folder: Path) -> None:
        places = asyncio.Semaphore(at_once)

        async def one(number: int) -> None:
            async with places:
                verdict = await days.play(days.drawn(number, servers or 0), folder / str(number), harm)
            found.append(verdict)
            if not as_json:
                shown(verdict)

        await asyncio.gather(*(one(number) for number in range(seed, seed + seeds)))

    with tempfile.TemporaryDirectory() as folder:
        run_async(play(Path(folder)))
    if as_json:
        found.sort(key=lambda verdict: verdict.day.seed)
        show_json({"runs": [msgspec.to_builtins(one) for one in found]})
    if any(one.breaches for one in found):
        raise SystemExit(1)
