"""`policy`: changes of the routes of all proxies that share a store, everywhere or nowhere."""

from __future__ import annotations

import getpass
import time
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Any, TypeVar

import click
import msgspec

from gladegw.cli.common import mendable, run_async, show_json, show_routes_changed
from gladegw.cli.fleet import file_option, json_option
from gladegw.net import features
from gladegw.net.config import ConfigError

if TYPE_CHECKING:
    from gladegw.control.policy_proposals import PolicyOperator, ProposalResult

T = TypeVar("T")
why_option = click.option("--why", default="", help="Is kept with the change.")
wait_option = click.option("--wait", is_flag=True, help="Until it is in force, or nowhere.")


@click.group()
def policy() -> None:
    """Change the routes of all proxies that share a store, everywhere or nowhere."""


def settings_of(ctx: click.Context, file: str | None) -> tuple[str, features.Features]:
    named = file or ctx.obj
    if not named:
        raise click.UsageError("-f FILE must name a file with blocks coordination and policy")
    found = features.read(named)
    if found.coordination is None or found.policy is None:
        missing = "coordination" if found.coordination is None else "policy"
        raise ConfigError(f"bad settings: {named}: no block {missing}")
    return named, found


def asked(ctx: click.Context, file: str | None, what: Callable[[PolicyOperator], Awaitable[T]]) -> T:
    """Raises ConfigError in one line where the store does not answer."""
    named, found = settings_of(ctx, file)
    settings = found.coordination
    assert settings is not None
    from gladegw.control.errors import StoreClientError
    from gladegw.control.policy_proposals import PolicyOperator
    from gladegw.control.store_client import StoreClient

    async def ask() -> T:
        client = StoreClient(settings.addresses, settings.timeout_ms / 1000, settings.token_file)
        try:
            return await what(PolicyOperator(client, settings.prefix))
        except StoreClientError as fault:
            raise ConfigError(f"{named}: the store at {', '.join(settings.endpoints)}: {fault}") from None
        finally:
            client.close()

    return run_async(ask())


def me() -> str:
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return ""


def checked(folder: str) -> dict[str, str]:
    """The bundle's files, each of which can be read as routes; raises ConfigError or RoutingError."""
    from gladegw.control import policy_bundle
    from gladegw.routing.checks import tied
    from gladegw.routing.findings import RoutingError
    from gladegw.routing.matcher import Table
    from gladegw.routing.read import read_text

    try:
        files = policy_bundle.read_files(folder)
    except policy_bundle.BundleError as fault:
        raise ConfigError(str(fault)) from None
    for name, text in files.items():
        findings = tied(Table(read_text(text, name, ("expect",))))
        if findings:
            raise RoutingError(findings)
    return files


def put_to_vote(
    ctx: click.Context,
    file: str | None,
    files: dict[str, str] | None,
    digest: str,
    wait: bool,
    why: str,
    dry: bool,
    as_json: bool,
) -> None:
    _, found = settings_of(ctx, file)
    assert found.policy is not None
    deadline, everyone = found.policy.deadline_s, found.policy.when_cut_off == "serve"

    async def propose(operator: PolicyOperator) -> ProposalResult:
        from gladegw.control.policy_proposals import ProposalResult

        named = await operator.upload(files) if files is not None else digest
        try:
            change = await operator.propose(named, deadline, everyone, me(), why, dry)
        except ValueError as fault:
            return ProposalResult("nowhere", 0, named, str(fault))
        if wait or dry:
            return await operator.outcome(change, deadline)
        return ProposalResult("open", change.epoch, change.digest)

    result = asked(ctx, file, propose)
    told: dict[str, Any] = msgspec.to_builtins(result)
    if as_json:
        show_json(told)
    else:
        because = f", because {result.reason}" if result.reason else ""
        click.echo(f"{result.outcome}: epoch {result.epoch}, {result.digest}{because}")
        for vote in result.votes:
            click.echo(f"  {vote['member']:<20} {vote['vote']:<8} {vote['reason']}".rstrip())
    if result.outcome == "nowhere":
        raise SystemExit(1)


@policy.command("propose")
@click.argument("folder", metavar="DIR")
@file_option
@wait_option
@why_option
@click.option("--dry-run", "dry", is_flag=True, help="All vote, and nothing is decided.")
@json_option
@click.pass_context
@mendable
def propose(
    ctx: click.Context, folder: str, file: str | None, wait: bool, why: str, dry: bool, as_json: bool
) -> None:
    """Put the files *.routes.hcl of DIR, or one file, to the vote of all proxies."""
    put_to_vote(ctx, file, checked(folder), "", wait, why, dry, as_json)


@policy.command("revert")
@click.argument("epoch", type=click.IntRange(1))
@file_option
@wait_option
@why_option
@json_option
@click.pass_context
@mendable
def revert(ctx: click.Context, epoch: int, file: str | None, wait: bool, why: str, as_json: bool) -> None:
    """Put the bundle of an older epoch to the vote, as a new change."""
    digest = by_epoch(ctx, file, epoch)
    put_to_vote(ctx, file, None, digest, wait, why or f"back to epoch {epoch}", False, as_json)


def by_epoch(ctx: click.Context, file: str | None, epoch: int) -> str:
    from gladegw.control.policy_proposals import history

    async def look(operator: PolicyOperator) -> list[dict[str, Any]]:
        return history(await operator.view())

    for one in asked(ctx, file, look):
        if one["epoch"] == epoch:
            return str(one["digest"])
    raise ConfigError(f"no epoch {epoch} in the history")


@policy.command("status")
@file_option
@json_option
@click.option("--watch", is_flag=True, help="Again every second, until Ctrl-C.")
@click.pass_context
@mendable
def status(ctx: click.Context, file: str | None, as_json: bool, watch: bool) -> None:
    """What is in force, which change is open, who has voted what, and who serves by what."""
    from gladegw.control import policy_proposals as told

    async def look(operator: PolicyOperator) -> dict[str, Any]:
        return told.status(await operator.view())

    while True:
        found = asked(ctx, file, look)
        if as_json:
            show_json(found)
        else:
            click.echo(page(found))
        if not watch:
            return
        time.sleep(1.0)


def page(found: dict[str, Any]) -> str:
    lines = [f"epoch {found['epoch']} in force: {found['digest'] or 'each its own file'}"]
    change = found["change"]
    if change is not None:
        votes = [vote["vote"] for vote in change["votes"]]
        counted = ", ".join(f"{votes.count(vote)} {vote}" for vote in ("yes", "no", "awaited"))
        lines.append(f"change {change['id']} to epoch {change['epoch']} ({change['digest']}): {counted}")
        for vote in change["votes"]:
            lines.append(f"  {vote['member']:<20} {vote['vote']:<8} {vote['reason']}".rstrip())
    for member in found["members"]:
        lines.append(f"{member['name']:<20} epoch {member['epoch']:<6} {member['state']}")
    return "\n".join(lines)


@policy.command("call-off")
@file_option
@json_option
@click.pass_context
@mendable
def call_off(ctx: click.Context, file: str | None, as_json: bool) -> None:
    """End the open change, unless it is decided already."""
    change = asked(ctx, file, lambda operator: operator.cancel(me() or "an operator"))
    if as_json:
        show_json({"called_off": change.id if change is not None else None})
    else:
        click.echo(f"called off: {change.id}" if change is not None else "no change is open")
    if change is None:
        raise SystemExit(1)


@policy.command("history")
@file_option
@json_option
@click.pass_context
@mendable
def history(ctx: click.Context, file: str | None, as_json: bool) -> None:
    """What was in force, epoch by epoch."""
    from gladegw.control.policy_proposals import history as told

    async def look(operator: PolicyOperator) -> list[dict[str, Any]]:
        return told(await operator.view())

    found = asked(ctx, file, look)
    if as_json:
        return show_json({"history": found})
    for one in found:
        at = time.strftime("%Y-%m-%d %H:%M:%S", time.gmtime(one["at"]))
        click.echo(f"{one['epoch']:>6} {one['digest']} {at} {one['who']} {one['why']}".rstrip())


@policy.command("show")
@click.argument("epoch", type=click.IntRange(1))
@file_option
@json_option
@click.pass_context
@mendable
def show(ctx: click.Context, epoch: int, file: str | None, as_json: bool) -> None:
    """The files of an epoch's bundle."""
    digest = by_epoch(ctx, file, epoch)
    from gladegw.control.policy_bundle import BundleError

    try:
        files = asked(ctx, file, lambda operator: operator.files(digest))
    except BundleError as fault:
        raise ConfigError(str(fault)) from None
    if as_json:
        return show_json({"epoch": epoch, "digest": digest, "files": files})
    for name, text in files.items():
        click.echo(f"# {name}\n{text}")


@policy.command("diff")
@click.argument("old", metavar="A", type=click.IntRange(1))
@click.argument("new", metavar="B", type=click.IntRange(1))
@file_option
@json_option
@click.pass_context
@mendable
def diff(ctx: click.Context, old: int, new: int, file: str | None, as_json: bool) -> None:
    """What went another way from epoch A to epoch B. Exit code 1 if anything did."""
    from gladegw.apps.sidecar import difference
    from gladegw.control.policy_bundle import BundleError
    from gladegw.routing.model import Description
    from gladegw.routing.read import read_text

    try:
        before, after = (
            asked(ctx, file, lambda operator, digest=digest: operator.files(digest))  # type: ignore[misc]
            for digest in (by_epoch(ctx, file, old), by_epoch(ctx, file, new))
        )
    except BundleError as fault:
        raise ConfigError(str(fault)) from None
    found = []
    for name in sorted(before.keys() | after.keys()):
        then, now = (
            read_text(files[name], name, ("expect",)) if name in files else Description()
            for files in (before, after)
        )
        change = difference(name, then, now)
        if change:
            moved = [{"request": one, "from": was, "to": goes} for one, was, goes in change.moved]
            found.append(
                {
                    "file": name,
                    "added": change.added,
                    "removed": change.removed,
                    "changed": change.changed,
                    "moved": moved,
                    "complete": change.complete,
                }
            )
    if as_json:
        show_json({"files": found})
    else:
        for one in found:
            click.echo(f"{one['file']}:")
            show_routes_changed(one)
        click.echo(f"{len(found)} files change")
    ctx.exit(1 if found else 0)


@policy.command("members")
@click.option("--remove", "name", required=True, help="A name that will not come back.")
@file_option
@click.pass_context
@mendable
def members(ctx: click.Context, name: str, file: str | None) -> None:
    """Forget a member that is gone for good: no change waits for it any more."""
    why = asked(ctx, file, lambda operator: operator.forget_member(name))
    click.echo(why or f"removed: {name}")
    if why:
        raise SystemExit(1)
