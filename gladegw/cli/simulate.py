"""`rig simulate` and `rig outages`: fleets in one process each, on a clock that jumps, and real ones."""

from __future__ import annotations

import os
from typing import TYPE_CHECKING

import click
import msgspec

from gladegw.cli.common import mendable, run_async, show_json

if TYPE_CHECKING:
    from gladegw.rig.simulate.scenario_run import Simulated


def shown(one: Simulated) -> None:
    wrong = one.broken + [f"in the end: {what}" for what in one.missing]
    click.echo(
        f"seed {one.seed}: {one.seconds:.0f} s, {sum(one.faults.values())} faults, changes "
        f"{one.changes}, rollouts {one.rollouts}, {one.begins} begins: "
        f"{'whole' if not wrong else 'BROKEN'}"
    )
    for line in (*one.told, *wrong) if wrong else ():
        click.echo(f"  {line}")


@click.command("simulate")
@click.option("--seeds", type=click.IntRange(1, 1_000_000), default=10, show_default=True)
@click.option("--seed", type=int, default=1, show_default=True, help="The first one.")
@click.option("--members", type=click.IntRange(2, 50), default=5, show_default=True)
@click.option(
    "--for",
    "lasts",
    type=click.FloatRange(1, 100_000),
    default=120.0,
    show_default=True,
    help="Simulated s of faults.",
)
@click.option("--when-cut-off", type=click.Choice(["serve", "refuse"]), default="serve", show_default=True)
@click.option("--planted", metavar="NAME", default="", help="A defect to be found; `list` names them.")
@click.option(
    "--at-once", type=click.IntRange(1, 256), default=os.cpu_count() or 1, show_default="one a core"
)
@click.option("--json", "as_json", is_flag=True, help="Print one object.")
@mendable
def simulate(
    seeds: int,
    seed: int,
    members: int,
    lasts: float,
    when_cut_off: str,
    planted: str,
    at_once: int,
    as_json: bool,
) -> None:
    """Live through changes, rollouts and faults on a clock that jumps; a seed is a course."""
    from gladegw.rig.simulate.parallel_runs import Asked, courses
    from gladegw.rig.simulate.seeded_defects import DEFECTS

    if planted == "list":
        for name, defect in DEFECTS.items():
            click.echo(f"{name:<12} {defect.what}")
        return
    if planted and planted not in DEFECTS:
        raise click.BadParameter(f"{planted} is none of {', '.join(DEFECTS)}", param_hint="--planted")
    found: list[Simulated] = []

    async def play() -> None:
        asked = (
            Asked(seed=number, members=members, lasts=lasts, when_cut_off=when_cut_off, planted=planted)
            for number in range(seed, seed + seeds)
        )
        async for one in courses(asked, at_once):
            found.append(one)
            if not as_json:
                shown(one)

    run_async(play())
    if as_json:
        show_json(
            {
                "members": members,
                "when_cut_off": when_cut_off,
                "runs": [msgspec.to_builtins(one) for one in found],
            }
        )
    if any(one.broken or one.missing for one in found):
        raise SystemExit(1)


@click.command("outages")
@click.option("--away", "aways", type=click.FloatRange(0, 7200), multiple=True, help="S (again for more).")
@click.option("--proxies", type=click.IntRange(1, 200), default=3, show_default=True)
@click.option("--ttl", type=click.IntRange(1, 60), default=5, show_default=True, help="S of a lease.")
@click.option("--simulated", is_flag=True, help="Members on a clock that jumps, at each point of a change.")
@click.option("--json", "as_json", is_flag=True, help="Print one object.")
@mendable
def outages(aways: tuple[float, ...], proxies: int, ttl: int, simulated: bool, as_json: bool) -> None:
    """Take the store away from proxies with either `when_cut_off`: what is refused, and for how long."""
    if simulated:
        return simulated_outages(aways or (1.0, 60.0, 3600.0), as_json)
    from gladegw.rig.measures import outages as course

    rows = run_async(course.measure(("serve", "refuse"), aways or (1.0, 10.0), proxies, ttl))
    if as_json:
        return show_json({"proxies": proxies, "ttl_s": ttl, "rows": rows})
    for row in rows:
        click.echo(
            "{when_cut_off:<7} away {away_s:g} s: {refused} of {answers} refused, from {first_s} s on "
            "until {last_after_s} s after its return".format(**row)
        )


def simulated_outages(aways: tuple[float, ...], as_json: bool) -> None:
    """Exit code 1 where something broke, or is not whole afterwards."""
    from gladegw.rig.simulate.outages import PHASES, Asked, measure

    wanted = [
        Asked(when_cut_off=mode, away=away, phase=phase)
        for away in aways
        for mode in ("serve", "refuse")
        for phase in PHASES
    ]
    found = run_async(measure(wanted, os.cpu_count() or 1))
    if as_json:
        show_json({"rows": [msgspec.to_builtins(one) for one in found]})
    else:
        for one in found:
            click.echo(
                f"{one.when_cut_off:<7} away {one.away:g} s, {one.phase}: {100 * one.served:.1f}% "
                f"of the time served, all again {max(0.0, one.last):.2f} s after its return"
                f"{'; the change is ' + one.outcome if one.outcome else ''}"
            )
            for what in one.wrong:
                click.echo(f"  {what}")
    if any(one.wrong for one in found):
        raise SystemExit(1)


def rolled(members: int, bake: float, seed: int, as_json: bool) -> None:
    """Exit code 1 where the good bundle was not done, the bad one was not taken back, or something broke."""
    from gladegw.rig.simulate.rollouts import Asked, measure

    wanted = [Asked(members=members, bad=bad, bake=bake, seed=seed) for bad in (False, True)]
    found = run_async(measure(wanted, len(wanted)))
    if as_json:
        show_json({"rows": [msgspec.to_builtins(one) for one in found]})
    else:
        for one in found:
            click.echo(
                f"{one.members} members, {'bad' if one.bad else 'good'}: {one.state}, all by one "
                f"bundle after {one.seconds:g} s, {one.baked:g} of them baked; {one.messages} messages"
                f"{'; ' if one.wrong else ''}{'; '.join(one.wrong)}"
            )
    if any(one.wrong or one.state != ("back" if one.bad else "done") for one in found):
        raise SystemExit(1)
