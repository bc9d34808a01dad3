"""`rollout`: a change of routes in stages, judged against those left as they are, taken back when worse."""

from __future__ import annotations

import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click

from gladegw.cli.common import mendable, show_json
from gladegw.cli.fleet import file_option, json_option
from gladegw.cli.policy import asked, checked, me, settings_of, wait_option, why_option
from gladegw.net.config import ConfigError

if TYPE_CHECKING:
    from gladegw.control.policy_proposals import PolicyOperator
    from gladegw.control.rollout_plan import Plan
    from gladegw.control.rollouts import RolloutOperator
    from gladegw.coordination.records import RolloutRecord, TimelinePointRecord


@click.group()
def rollout() -> None:
    """Change the routes of some proxies first, and of the others where those do not worse."""


def plan_of(path: str) -> tuple[Plan, dict[str, str]]:
    """Raises ConfigError or RoutingError."""
    from gladegw.control import rollout_plan
    from gladegw.control.errors import PlanError

    try:
        found = rollout_plan.read(path)
    except PlanError as fault:
        raise ConfigError(str(fault)) from None
    return found, checked(found.bundle) if found.bundle else {}


def done(
    ctx: click.Context,
    file: str | None,
    as_json: bool,
    what: Callable[[RolloutOperator], Awaitable[RolloutRecord]],
) -> None:
    """Exit code 1 where it is refused."""
    named, found = settings_of(ctx, file)
    if found.rollout is None:
        raise ConfigError(f"bad settings: {named}: no block rollout")

    async def ask(operator: PolicyOperator) -> tuple[str, dict[str, Any]]:
        from gladegw.control.rollouts import RolloutOperator, RolloutRejectedError, latest, status

        try:
            record = await what(RolloutOperator(operator))
        except RolloutRejectedError as fault:
            view = await operator.view()
            return str(fault), status(view, latest(view))
        return "", status(await operator.view(), record)

    why, told = asked(ctx, file, ask)
    if why:
        told = {**told, "refused": why}
    show(told, as_json)
    if why:
        raise SystemExit(1)


def show(told: dict[str, Any], as_json: bool) -> None:
    if as_json:
        show_json(told)
    else:
        click.echo(page(told))


def page(told: dict[str, Any]) -> str:
    lines = [f"refused: {told['refused']}"] if "refused" in told else []
    because = f", because {told['verdict']}" if told["verdict"] else ""
    lines.append(f"{told['state']}: stage {told['stage']} of {told['stages']}{because}")
    if "new" in told:
        lines.append(f"  {told['old']} to {told['new']}; {told['phase']}, baked {told['baked_s']:.0f} s")
        lines += [f"  {name:<24} log e {value:6.2f}" for name, value in told["log_e"].items()]
    for member in told["members"]:
        word = "new" if member["version"] == told.get("new") else "old"
        lines.append(f"  {member['name']:<20} {word} {member['version']}")
    return "\n".join(lines)


@rollout.command("check")
@click.argument("plan", metavar="PLAN")
@file_option
@json_option
@click.pass_context
@mendable
def check(ctx: click.Context, plan: str, file: str | None, as_json: bool) -> None:
    """Read a plan and its bundle; with -f, say who would be in which stage. Changes nothing."""
    found, _ = plan_of(plan)
    stages: tuple[tuple[str, ...], ...] = ()
    if file or ctx.obj:
        from gladegw.coordination.rollout import plan_stages

        async def look(operator: PolicyOperator) -> dict[str, str]:
            return {member.name: member.zone for _, member in (await operator.view()).members()}

        members = asked(ctx, file, look)
        try:
            stages = (*plan_stages(members, found.stages, found.most_of_zone), tuple(sorted(members)))
        except ValueError as fault:
            raise ConfigError(f"{plan}: {fault}") from None
    if as_json:
        return show_json({"plan": plan, "stages": [list(names) for names in stages]})
    click.echo(f"{plan}: can be started")
    for number, names in enumerate(stages, 1):
        click.echo(f"  stage {number}: {', '.join(names)}")


@rollout.command("start")
@click.argument("plan", metavar="PLAN")
@file_option
@wait_option
@why_option
@json_option
@click.pass_context
@mendable
def start(ctx: click.Context, plan: str, file: str | None, wait: bool, why: str, as_json: bool) -> None:
    """Begin. With --wait exit code 0 says that it is done, 1 that it was stopped or taken back."""
    found, files = plan_of(plan)
    _, settings = settings_of(ctx, file)
    assert settings.policy is not None
    confirm = settings.rollout.confirm_s if settings.rollout is not None else 0
    deadline, everyone = settings.policy.deadline_s, settings.policy.when_cut_off == "serve"
    over: list[RolloutRecord] = []

    async def begin(rollouts: RolloutOperator) -> RolloutRecord:
        record = await rollouts.start(found, files, confirm, deadline, everyone, me(), why)
        if wait:
            record = await rollouts.outcome(record.id)
            over.append(record)
        return record

    done(ctx, file, as_json, begin)
    if over and over[0].phase != "done":
        raise SystemExit(1)


@rollout.command("status")
@file_option
@json_option
@click.option("--watch", is_flag=True, help="Again every second, until Ctrl-C.")
@click.pass_context
@mendable
def status(ctx: click.Context, file: str | None, as_json: bool, watch: bool) -> None:
    """Which stage, what was seen so far, and who serves by what."""

    async def look(operator: PolicyOperator) -> dict[str, Any]:
        from gladegw.control.rollouts import latest
        from gladegw.control.rollouts import status as told

        view = await operator.view()
        return told(view, latest(view))

    while True:
        show(asked(ctx, file, look), as_json)
        if not watch:
            return
        time.sleep(1.0)


@rollout.command("pause")
@file_option
@json_option
@click.pass_context
@mendable
def pause(ctx: click.Context, file: str | None, as_json: bool) -> None:
    """Nothing moves and nothing is judged until `resume`; the stage stays as it is."""
    done(ctx, file, as_json, lambda rollouts: rollouts.pause(True))


@rollout.command("resume")
@file_option
@json_option
@click.pass_context
@mendable
def resume(ctx: click.Context, file: str | None, as_json: bool) -> None:
    """Go on after `pause`."""
    done(ctx, file, as_json, lambda rollouts: rollouts.pause(False))


@rollout.command("stop")
@file_option
@json_option
@click.pass_context
@mendable
def stop(ctx: click.Context, file: str | None, as_json: bool) -> None:
    """End it where it is: nobody conducts it any more, so that its members go back by themselves in time."""
    done(ctx, file, as_json, lambda rollouts: rollouts.stop(f"stopped by {me() or 'an operator'}", False))


@rollout.command("back")
@file_option
@json_option
@click.pass_context
@mendable
def back(ctx: click.Context, file: str | None, as_json: bool) -> None:
    """Take it back at once, whether anybody conducts it or not."""
    done(ctx, file, as_json, lambda rollouts: rollouts.stop(f"taken back by {me() or 'an operator'}", True))


@rollout.command("history")
@file_option
@json_option
@click.pass_context
@mendable
def history(ctx: click.Context, file: str | None, as_json: bool) -> None:
    """What was rolled out, and what became of it."""

    async def look(operator: PolicyOperator) -> list[RolloutRecord]:
        from gladegw.control.rollouts import history as told

        return told(await operator.view())

    found = asked(ctx, file, look)
    if as_json:
        return show_json(
            {
                "history": [
                    {
                        "id": one.id,
                        "state": one.phase,
                        "stage": one.stage + 1,
                        "stages": len(one.stages) + 1,
                        "verdict": one.reason,
                        "old": one.old,
                        "new": one.new,
                        "who": one.who,
                        "why": one.why,
                        "at": one.at,
                        "lasted_s": round(one.ended_at - one.at, 1),
                    }
                    for one in found
                ]
            }
        )
    for one in found:
        at = time.strftime("%Y-%m-%d %H:%M:%S", time.gmtime(one.at))
        click.echo(
            f"{one.id} {at} {one.phase:<8} stage {one.stage + 1} of {len(one.stages) + 1} "
            f"{one.reason}".rstrip()
        )


@rollout.command("page")
@click.argument("id", metavar="[ID]", required=False, default="")
@click.option("-o", "--output", type=click.Path(dir_okay=False), required=True, metavar="FILE")
@file_option
@click.pass_context
@mendable
def page_of(ctx: click.Context, id: str, output: str, file: str | None) -> None:
    """Write one page of a rollout, the last one if none is named: stages, figures judged, evidence, plots."""

    async def look(operator: PolicyOperator) -> tuple[RolloutRecord | None, list[TimelinePointRecord]]:
        from gladegw.control.rollouts import history as told
        from gladegw.control.rollouts import latest, timeline

        view = await operator.view()
        named = [one for one in told(view) if one.id == id] if id else []
        record = latest(view) if not id or last_is(latest(view), id) else (named[0] if named else None)
        return record, await timeline(operator, record.id) if record is not None else []

    record, found = asked(ctx, file, look)
    if record is None:
        raise ConfigError(f"no rollout {id or 'yet'}: see `gladegw rollout history`")
    from gladegw.rig.measures import report, rolled

    try:
        report.write(Path(output), rolled.page(record, found))
    except OSError as fault:
        raise ConfigError(f"{output}: {fault.strerror or fault}") from None
    click.echo(f"{output}: rollout {record.id}, {record.phase}, {len(found)} windows")


def last_is(record: RolloutRecord | None, id: str) -> bool:
    return record is not None and record.id == id
