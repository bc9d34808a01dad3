"""`rig`: a stand-in fleet to look at, scenarios to play, and the judge."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any

import click
import msgspec

from granitepoint.cli.common import mendable, run_async, show_json
from granitepoint.rig import faults
from granitepoint.rig import scenario as scenarios
from granitepoint.rig.errors import RigError
from granitepoint.rig.judge import RULES, Verdict, judge_folder
from granitepoint.rig.play import Play, play

file_argument = click.argument("file", type=click.Path(dir_okay=False))
json_option = click.option("--json", "as_json", is_flag=True, help="Print one object.")


@click.group()
def rig() -> None:
    """Stand-in nodes and discovery with real proxies before them, on loopback addresses."""


def told(verdict: Verdict) -> str:
    """The verdict as text, each broken rule with the first request's whole story."""
    counted = f"{verdict.requests} requests, {verdict.tries} tries, {verdict.runs} at nodes"
    worth = f"served worth {verdict.served_worth:.3f}"
    if not verdict.breaches:
        return f"rules kept: {counted}; {worth}"
    lines = [f"RULES BROKEN: {', '.join(verdict.broken_rules)}: {counted}; {worth}"]
    for rule in verdict.broken_rules:
        found = [breach for breach in verdict.breaches if breach.rule == rule]
        lines.append(f"{rule} ({len(found)} times): {RULES[rule]}")
        for breach in found[:3]:
            lines.append(f"  at {breach.at:.3f} s, {breach.subject}: {breach.reason}")
            lines += [f"    {line}" for line in breach.story]
    return "\n".join(lines)


@rig.command("script")
@file_argument
@json_option
@mendable
def script(file: str, as_json: bool) -> None:
    """Print what a scenario's faults will do, and when."""
    steps = faults.script(scenarios.read(file))
    if as_json:
        show_json({"digest": faults.digest(steps), "steps": msgspec.to_builtins(steps)})
        return
    for step in steps:
        until = f" until {step.until:.3f}" if step.until else ""
        more = f" {step.manner}" if step.manner else ""
        click.echo(f"{step.at:9.3f} {step.party:<8} {step.action:<18} {step.target}{more}{until}".rstrip())
    click.echo(f"digest {faults.digest(steps)}")


@rig.command("run")
@file_argument
@click.option("--dir", "folder", type=click.Path(file_okay=False), default="rig-run", show_default=True)
@json_option
@click.pass_context
@mendable
def run(ctx: click.Context, file: str, folder: str, as_json: bool) -> None:
    """Play a scenario and judge it; the ledgers stay in the folder."""
    loaded = run_async(play(scenarios.read(file), Path(folder)))
    verdict = judge_folder(Path(folder))
    if as_json:
        figures = loaded.figures()
        show_json({**figures, "served_worth": verdict.served_worth, "broken_rules": verdict.broken_rules})
    else:
        click.echo(told(verdict))
        for reason in loaded.reasons:
            click.echo(f"NOT VALID: {reason}")
    ctx.exit(1 if verdict.breaches or loaded.reasons else 0)


@rig.command("judge")
@click.argument("folder", type=click.Path(file_okay=False))
@json_option
@click.pass_context
@mendable
def judge(ctx: click.Context, folder: str, as_json: bool) -> None:
    """Judge a run's ledgers again. Exit code 1 where a rule was broken."""
    try:
        verdict = judge_folder(Path(folder))
    except (OSError, ValueError) as fault:
        raise RigError(f"{folder}: no run that can be judged: {fault}") from None
    if as_json:
        show_json({"broken_rules": verdict.broken_rules, "served_worth": verdict.served_worth,
                   "breaches": msgspec.to_builtins(verdict.breaches)})  # fmt: skip
    else:
        click.echo(told(verdict))
    ctx.exit(1 if verdict.breaches else 0)


@rig.command("up")
@file_argument
@click.option("--dir", "folder", type=click.Path(file_okay=False), default="rig-run", show_default=True)
@click.option("--for", "lasts", type=click.FloatRange(0, 3600), default=600.0, show_default=True)
@mendable
def up(file: str, folder: str, lasts: float) -> None:
    """Start a scenario's fleet and proxies without load, tell their addresses, and wait."""

    async def stand() -> None:
        async with Play(scenarios.read(file), Path(folder)) as running:
            for name, proxy in running.proxies.items():
                click.echo(f"{name} http://127.0.0.1:{proxy.port}")
            click.echo(f"up for {lasts:g} s; Ctrl-C ends it")
            await asyncio.sleep(lasts)

    run_async(stand())


@rig.command("store")
@click.option("--members", type=click.IntRange(1, 9), default=3, show_default=True)
@click.option("--port", type=click.IntRange(1, 65_000), required=True,
              help="Of the first; the others follow.")  # fmt: skip
@click.option("--least-ttl", type=click.IntRange(1, 3600), default=1, show_default=True,
              help="S that a lease is granted at least.")  # fmt: skip
@click.option("--orders", is_flag=True, help="Take faults as lines on standard input, until it ends.")
@mendable
def store(members: int, port: int, least_ttl: int, orders: bool) -> None:
    """A stand-in for the coordination store: the etcd v3 API over gRPC, on 127.0.0.1."""
    from granitepoint.rig.store.server import serve

    try:
        run_async(serve(members, port, least_ttl, orders))
    except OSError as fault:
        raise RigError(f"port {port} and on: {fault.strerror or fault}") from None


@rig.command("losses")
@click.option("--kind", "kinds", multiple=True, help="This kind alone (again for more).")
@click.option("--losses", type=click.IntRange(1, 100_000), default=20, show_default=True, help="Of a kind.")
@click.option("--members", type=click.IntRange(2, 200), default=3, show_default=True)
@click.option("--ttl", type=click.IntRange(1, 60), default=1, show_default=True, help="S of a lease.")
@click.option("--seed", type=int, default=1, show_default=True)
@json_option
@mendable
def losses(kinds: tuple[str, ...], losses: int, members: int, ttl: int, seed: int, as_json: bool) -> None:
    """Lose a duty's holder again and again: s without a holder, and whether two ever held it."""
    from granitepoint.rig import losses as lost

    for kind in kinds:
        if kind not in lost.KINDS:
            raise RigError(f"no such kind: {kind}; there are {', '.join(lost.KINDS)}")
    found = run_async(lost.measure(kinds or lost.KINDS, losses, members, ttl, seed))
    rows: list[dict[str, Any]] = [
        {"kind": one.kind, "losses": len(one.gaps), **lost.quantiles(one.gaps), "effects": one.effects,
         "refused": one.refused, "begun_late": one.late, "overlaps": one.overlaps}
        for one in found
    ]  # fmt: skip
    if as_json:
        show_json({"members": members, "ttl_s": ttl, "rows": rows})
    else:
        for row in rows:
            told = ("{kind:<12} {losses:>6} losses  p50 {p50:.3f} s  p99 {p99:.3f} s  max {max:.3f} s  "
                    "{effects} effects, {refused} refused, {begun_late} begun late")  # fmt: skip
            click.echo(told.format(**row))
            for overlap in row["overlaps"]:
                click.echo(f"  OVERLAP {overlap}")
    if any(row["overlaps"] or row["begun_late"] for row in rows):
        raise SystemExit(1)


@rig.command("explore")
@click.option("--members", type=click.IntRange(1, 5), default=3, show_default=True)
@click.option("--depth", type=click.IntRange(0, 60), default=6, show_default=True, help="Of the search.")
@click.option("--most", type=click.IntRange(1, 100_000_000), default=1_000_000, show_default=True,
              help="States at most.")  # fmt: skip
@click.option("--walks", type=click.IntRange(0, 1_000_000), default=20, show_default=True, help="Long runs.")
@click.option("--steps", type=click.IntRange(1, 1_000_000), default=1200, show_default=True, help="Of each.")
@click.option("--seed", type=int, default=0, show_default=True, help="Of the first long run.")
@json_option
def explore(
    members: int, depth: int, most: int, walks: int, steps: int, seed: int, as_json: bool
) -> None:  # fmt: skip
    """Search the duty's machine in all orders of steps and faults, then by long random runs."""
    from dataclasses import asdict

    from granitepoint.rig.explore.duties import Duties
    from granitepoint.rig.explore.search import Search, walk

    found = [Search(Duties(members), liveness=10).run(depth, most)] if depth else []
    for number in range(walks):
        found.append(walk(Duties(members, crashes=8, leaves=8, doubles=10, ttl=4), seed + number, steps))
        if found[-1].broken:
            break
    broken = [one for one in found if one.broken]
    if as_json:
        show_json({"runs": [asdict(one) for one in found if one.broken or one is found[0]],
                   "states": sum(one.states for one in found)})  # fmt: skip
    else:
        if depth:
            first = found[0]
            click.echo(f"search: {first.states} states, depth {first.depth}, {first.merged} steps to states "
                       f"seen before, {first.seconds:.1f} s")  # fmt: skip
        runs = len(found) - bool(depth)
        click.echo(f"{runs} long runs of {steps} steps from seed {seed}: {len(broken)} of all runs broke")
        for one in broken:
            click.echo(f"BROKEN: {one.broken}")
            for step in one.trace:
                click.echo(f"  {step}")
    if broken:
        raise SystemExit(1)
