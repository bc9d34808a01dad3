"""`rig`: a stand-in fleet to look at, scenarios to play, and the judge."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any

import click
import msgspec

from gladegw.cli import simulate as simulating
from gladegw.cli import soak as soaking
from gladegw.cli.common import mendable, run_async, show_json
from gladegw.rig import scenario as scenarios
from gladegw.rig.errors import RigError
from gladegw.rig.faults import schedule
from gladegw.rig.judging.judge import RULES, Verdict, judge_folder
from gladegw.rig.play import Play, play

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
    steps = schedule.script(scenarios.read(file))
    if as_json:
        show_json({"digest": schedule.digest(steps), "steps": msgspec.to_builtins(steps)})
        return
    for step in steps:
        until = f" until {step.until:.3f}" if step.until else ""
        more = f" {step.manner}" if step.manner else ""
        click.echo(f"{step.at:9.3f} {step.party:<8} {step.action:<18} {step.target}{more}{until}".rstrip())
    click.echo(f"digest {schedule.digest(steps)}")


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
        show_json(
            {
                "broken_rules": verdict.broken_rules,
                "served_worth": verdict.served_worth,
                "breaches": msgspec.to_builtins(verdict.breaches),
            }
        )
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
@click.option(
    "--port", type=click.IntRange(1, 65_000), required=True, help="Of the first; the others follow."
)
@click.option(
    "--least-ttl",
    type=click.IntRange(1, 3600),
    default=1,
    show_default=True,
    help="S that a lease is granted at least.",
)
@click.option("--orders", is_flag=True, help="Take faults as lines on standard input, until it ends.")
@click.option("--one-process", is_flag=True, help="All members in this process, without one for each.")
@click.option(
    "--record",
    type=click.Path(dir_okay=False, writable=True, path_type=Path),
    help="Write every operation, with begin and end, to this file.",
)
@mendable
def store(
    members: int, port: int, least_ttl: int, orders: bool, one_process: bool, record: Path | None
) -> None:
    """A stand-in for the coordination store: the etcd v3 API over gRPC, on 127.0.0.1."""
    from gladegw.rig.store.fault_commands import serve

    try:
        run_async(serve(members, port, least_ttl, orders, not one_process, record))
    except OSError as fault:
        raise RigError(f"port {port} and on: {fault.strerror or fault}") from None


@rig.command("losses")
@click.option("--kind", "kinds", multiple=True, help="This kind alone (again for more).")
@click.option("--losses", type=click.IntRange(1, 100_000), default=20, show_default=True, help="Of a kind.")
@click.option("--members", type=click.IntRange(2, 200), default=3, show_default=True)
@click.option("--ttl", type=click.IntRange(1, 60), default=1, show_default=True, help="S of a lease.")
@click.option("--seed", type=int, default=1, show_default=True)
@click.option(
    "--away",
    type=click.FloatRange(0, 3600),
    default=0.0,
    help="S for which the store has no majority.  [default: 1.5 leases]",
)
@click.option(
    "--at-once",
    type=click.IntRange(1, 16),
    default=1,
    show_default=True,
    help="Kinds at a time, each before a store of its own.",
)
@json_option
@mendable
def losses(
    kinds: tuple[str, ...],
    losses: int,
    members: int,
    ttl: int,
    seed: int,
    away: float,
    at_once: int,
    as_json: bool,
) -> None:
    """Lose a duty's holder again and again: s without a holder, and whether two ever held it."""
    from gladegw.rig.measures import failover as lost

    for kind in kinds:
        if kind not in lost.KINDS:
            raise RigError(f"no such kind: {kind}; there are {', '.join(lost.KINDS)}")
    found = run_async(lost.measure(kinds or lost.KINDS, losses, members, ttl, seed, away, at_once))
    rows: list[dict[str, Any]] = [
        {
            "kind": one.kind,
            "losses": len(one.gaps),
            **lost.quantiles(one.gaps),
            "effects": one.effects,
            "refused": one.refused,
            "fenced": one.fenced,
            "went_back": one.went_back,
            "begun_late": one.late,
            "overlaps": one.overlaps,
            "store_operations": one.operations,
            "not_linearizable": one.disorder,
        }
        for one in found
    ]
    if as_json:
        show_json({"members": members, "ttl_s": ttl, "rows": rows})
    else:
        for row in rows:
            told = (
                "{kind:<13} {losses:>6} losses  p50 {p50:.3f} s  p99 {p99:.3f} s  max {max:.3f} s  "
                "{effects} effects, {fenced} refused for their token, {begun_late} begun late, "
                "{store_operations} of the store"
            )
            click.echo(told.format(**row))
            for overlap in row["overlaps"]:
                click.echo(f"  OVERLAP {overlap}")
            for went in row["went_back"]:
                click.echo(f"  WENT BACK {went}")
            for key in row["not_linearizable"]:
                click.echo(f"  NOT LINEARIZABLE {key}")
    broken = ("overlaps", "went_back", "begun_late", "not_linearizable")
    if any(row[kind] for row in rows for kind in broken):
        raise SystemExit(1)


@rig.command("scale")
@click.option(
    "--proxies",
    "proxies",
    type=click.IntRange(1, 1000),
    multiple=True,
    help="A fleet of so many serving proxies (again for more).",
)
@click.option(
    "--members",
    "members",
    type=click.IntRange(1, 10_000),
    multiple=True,
    help="A fleet of so many members without serving (again for more).",
)
@click.option("--duties", type=click.IntRange(1, 100), default=20, show_default=True, help="Of --members.")
@click.option("--ttl", type=click.IntRange(1, 60), default=5, show_default=True, help="S of a lease.")
@click.option("--for", "lasts", type=click.FloatRange(1, 600), default=20.0, show_default=True, help="S.")
@click.option("--changes", type=click.IntRange(0, 1000), default=0, help="Of policy, over --members.")
@json_option
@mendable
def scale(
    proxies: tuple[int, ...],
    members: tuple[int, ...],
    duties: int,
    ttl: int,
    lasts: float,
    changes: int,
    as_json: bool,
) -> None:
    """What a fleet costs its store and its members, before the stand-in: calls, bytes, CPU, a loss."""
    from gladegw.rig.measures import scale as scales

    rows = [run_async(scales.fleet_of(count, ttl, lasts)) for count in proxies]
    rows += [run_async(scales.crowd(count, duties, ttl, lasts, changes)) for count in members]
    if as_json:
        show_json({"ttl_s": ttl, "rows": [msgspec.to_builtins(row) for row in rows]})
        return
    for row in rows:
        kind, without = "members", ""
        if row.serving:
            kind, without = "proxies", f" ({100 * row.without_cpu:.3f}% without the block)"
        click.echo(
            f"{row.members} {kind}, {row.duties} duties: {row.store_calls:.1f} calls/s, "
            f"{row.bytes / 1000:.1f} kB/s, store {100 * row.store_cpu:.1f}% of a core, "
            f"each {100 * row.member_cpu:.3f}%{without}; together in {row.together_s:.1f} s; "
            f"a loss {row.lost_s:.2f} s (the store's part {row.ended_s:.2f}, claims {row.vacant_s:.2f}), "
            f"{row.lost_calls} calls"
        )
        if row.decided_s:
            click.echo(f"  changes decided after {row.decided_s} s, everywhere after {row.everywhere_s} s")


@rig.command("cost")
@click.option(
    "--rate", type=click.FloatRange(1, 100_000), default=500.0, show_default=True, help="Requests/s."
)
@click.option("--plays", type=click.IntRange(1, 100), default=5, show_default=True, help="Pairs of plays.")
@click.option(
    "--for", "lasts", type=click.FloatRange(1, 600), default=10.0, show_default=True, help="S of each."
)
@click.option("--ttl", type=click.IntRange(1, 60), default=5, show_default=True, help="S of a lease.")
@json_option
@mendable
def cost(rate: float, plays: int, lasts: float, ttl: int, as_json: bool) -> None:
    """The same load on a proxy with the block `coordination` and without, by turns."""
    from gladegw.rig.measures import cost as costs

    found = run_async(costs.measure(rate, plays, lasts, ttl))
    if as_json:
        show_json(found)
        return
    for name in ("without", "with", "difference"):
        row = found[name]
        click.echo(
            f"{name:<10}  p50 {row['p50']:.3f} ms  p99 {row['p99']:.3f} ms  "
            f"CPU {row['cpu_us']:.1f} us/request  {row['memory_mb']:.1f} MB"
        )
    click.echo(f"duties kept: {'yes' if found['kept'] else 'no'}; answered 200: {found['good']:.4f} at least")


@rig.command("stall")
@click.option("--busy", type=click.FloatRange(0, 10), default=0.3, show_default=True, help="S at a time.")
@click.option("--free", type=click.FloatRange(0, 10), default=0.02, show_default=True, help="S between.")
@click.option("--for", "lasts", type=click.FloatRange(1, 600), default=20.0, show_default=True, help="S.")
@click.option("--ttl", type=click.IntRange(1, 60), default=1, show_default=True, help="S of a lease.")
@json_option
@mendable
def stall(busy: float, free: float, lasts: float, ttl: int, as_json: bool) -> None:
    """A loop that is busy for long at a time, and a duty held beside it: on a thread, and on that loop."""
    from gladegw.rig.measures import stall as stalls

    rows = run_async(stalls.measure(busy, free, lasts, ttl))
    if as_json:
        show_json({"ttl_s": ttl, "rows": [msgspec.to_builtins(row) for row in rows]})
        return
    for row in rows:
        where = "a thread" if row.thread else "the loop"
        click.echo(
            f"on {where}: {row.lost} leases lost, {row.effects} effects, at most {row.gap_s:.2f} s "
            f"between two; timers late by {row.late_p50:.1f} ms (p50), {row.late_p99:.1f} ms (p99); "
            f"{100 * row.cpu:.0f}% of a core"
        )


@rig.command("changes")
@click.option("--proxies", type=click.IntRange(1, 1000), default=3, show_default=True)
@click.option("--changes", type=click.IntRange(1, 100_000), default=20, show_default=True)
@click.option("--faults", is_flag=True, help="One beside most changes: deaths, stops, the store's leader.")
@click.option("--kind", "kinds", multiple=True, help="Faults of this kind alone (again for more).")
@click.option("--ttl", type=click.IntRange(1, 60), default=5, show_default=True, help="S of a lease.")
@click.option("--deadline", type=click.IntRange(1, 600), default=10, show_default=True, help="S.")
@click.option(
    "--every", type=click.FloatRange(0, 3600), default=0.0, help="S from one to the next, at least."
)
@click.option("--clocks", is_flag=True, help="One clock of three a tenth slow, one a twentieth fast.")
@click.option("--seed", type=int, default=1, show_default=True)
@json_option
@mendable
def changes(
    proxies: int,
    changes: int,
    faults: bool,
    kinds: tuple[str, ...],
    ttl: int,
    deadline: int,
    every: float,
    clocks: bool,
    seed: int,
    as_json: bool,
) -> None:
    """Change the policy of serving proxies again and again, with requests flowing."""
    from gladegw.rig.measures import changes as course

    for kind in kinds:
        if kind not in course.FAULTS:
            raise RigError(f"no such kind: {kind}; there are {', '.join(course.FAULTS)}")
    if proxies < 2 and (faults or kinds):
        raise RigError("faults need two proxies at least")
    kinds = kinds or (course.FAULTS if faults else ())
    found = course.figures(run_async(course.run(proxies, changes, ttl, deadline, kinds, seed, every, clocks)))
    if as_json:
        show_json({"proxies": proxies, "ttl_s": ttl, **found})
    else:
        click.echo(f"{changes} changes over {proxies} proxies: {found['outcomes']}")
        for name in ("decided", "everywhere", "windows", "during", "beside"):
            told = "  ".join(f"{at} {value:.3f} s" for at, value in found[name].items())
            click.echo(f"  {name:<10} {told}")
        broken = len(found["breaches"])
        click.echo(f"  {found['answers']} answers, {found['refused']} refused, {broken} breaches")
        for breach in found["breaches"][:20]:
            click.echo(f"  BREACH {breach}")
    if found["breaches"]:
        raise SystemExit(1)


@rig.command("explore")
@click.option("--members", type=click.IntRange(1, 5), default=3, show_default=True)
@click.option("--depth", type=click.IntRange(0, 60), default=6, show_default=True, help="Of the search.")
@click.option(
    "--most",
    type=click.IntRange(1, 100_000_000),
    default=1_000_000,
    show_default=True,
    help="States at most.",
)
@click.option("--walks", type=click.IntRange(0, 1_000_000), default=20, show_default=True, help="Long runs.")
@click.option("--steps", type=click.IntRange(1, 1_000_000), default=1200, show_default=True, help="Of each.")
@click.option("--seed", type=int, default=0, show_default=True, help="Of the first long run.")
@json_option
def explore(members: int, depth: int, most: int, walks: int, steps: int, seed: int, as_json: bool) -> None:
    """Search the duty's machine in all orders of steps and faults, then by long random runs."""
    from dataclasses import asdict

    from gladegw.rig.model_checking.duties import Duties
    from gladegw.rig.model_checking.search import Search, walk

    found = [Search(Duties(members), liveness=10).run(depth, most)] if depth else []
    for number in range(walks):
        found.append(walk(Duties(members, crashes=8, leaves=8, doubles=10, ttl=4), seed + number, steps))
        if found[-1].broken:
            break
    broken = [one for one in found if one.broken]
    if as_json:
        show_json(
            {
                "runs": [asdict(one) for one in found if one.broken or one is found[0]],
                "states": sum(one.states for one in found),
            }
        )
    else:
        if depth:
            first = found[0]
            click.echo(
                f"search: {first.states} states, depth {first.depth}, {first.merged} steps to states "
                f"seen before, {first.seconds:.1f} s"
            )
        runs = len(found) - bool(depth)
        click.echo(f"{runs} long runs of {steps} steps from seed {seed}: {len(broken)} of all runs broke")
        for one in broken:
            click.echo(f"BROKEN: {one.broken}")
            for step in one.trace:
                click.echo(f"  {step}")
    if broken:
        raise SystemExit(1)


@rig.command("replacements")
@click.option("--proxies", type=click.IntRange(1, 200), default=6, show_default=True)
@click.option("--count", type=click.IntRange(1, 100_000), default=30, show_default=True, help="In all.")
@json_option
@mendable
def replacements(proxies: int, count: int, as_json: bool) -> None:
    """Replace processes under their supervisors again and again, with requests flowing: what is lost."""
    from gladegw.rig.measures import replacements as course

    found = run_async(course.measure(proxies, count))
    if as_json:
        show_json(found)
    else:
        took = "  ".join(f"{at} {value:.2f} s" for at, value in found["seconds"].items())
        click.echo(f"{found['replacements']} replacements over {proxies} proxies: {took}")
        click.echo(
            "{requests} requests, {served} served, {lost} lost {why}, "
            "{excused} while the callers stood still".format(**found)
        )
    if found["lost"]:
        raise SystemExit(1)


@rig.command("rollouts")
@click.option("--harm", "harms", multiple=True, help="What the new bundle does (again for more, at once).")
@click.option("--program", is_flag=True, help="Of the program, under supervisors, in place of bundles.")
@click.option("--proxies", type=click.IntRange(4, 1000), default=12, show_default=True, help="Each time.")
@click.option("--plays", type=click.IntRange(1, 10_000), default=1, show_default=True, help="Of each.")
@click.option(
    "--rate", type=click.FloatRange(1, 100_000), default=120.0, show_default=True, help="Requests/s."
)
@click.option("--bake", type=click.FloatRange(1, 3600), default=30.0, show_default=True, help="S of a stage.")
@click.option("--ttl", type=click.IntRange(1, 60), default=5, show_default=True, help="S of a lease.")
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--troubled", is_flag=True, help="Nodes die, are replaced, slow, fail; callers come in bursts.")
@click.option("--simulated", is_flag=True, help="Members without serving, a good bundle and a bad one.")
@json_option
@mendable
def rollouts(
    harms: tuple[str, ...],
    program: bool,
    proxies: int,
    plays: int,
    rate: float,
    bake: float,
    ttl: int,
    seed: int,
    troubled: bool,
    simulated: bool,
    as_json: bool,
) -> None:
    """Roll bundles out over serving proxies: how soon a worse one is taken back, and whom it harms."""
    if simulated:
        return simulating.rolled(proxies, bake, seed, as_json)
    from gladegw.rig.measures import rollouts as course

    wanted = list(harms) or ["none", "fails 5%"]
    rows = run_async(course.run(wanted, program, proxies, plays, rate, ttl, bake, seed, troubled))
    if as_json:
        show_json({"proxies": proxies, "rate": rate, "bake_s": bake, "rows": rows})
    else:
        for row in rows:
            click.echo(
                f"{row['harm']:<12} {row['plays']} plays: {row['states']}, found after "
                f"{row['found_s']} s; {row['harmed']} of {row['requests']} requests harmed; "
                f"{'; '.join(row['reasons'])}"
            )
    missed = [row for row in rows if row["harm"] != "none" and "done" in row["states"]]
    if missed or any("back" in row["states"] for row in rows if row["harm"] == "none"):
        raise SystemExit(1)


rig.add_command(simulating.simulate)
rig.add_command(simulating.outages)
rig.add_command(soaking.soak)
