"""`fleet`: members, duties and figures of all proxies that share a store."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import click

from gladegw.cli.common import mendable, run_async, show_json
from gladegw.net import features
from gladegw.net.config import ConfigError

if TYPE_CHECKING:
    from gladegw.control.store_cache import StoreCache

file_option = click.option("-f", "file", metavar="FILE", help="Settings of the features, in HCL blocks.")
json_option = click.option("--json", "as_json", is_flag=True, help="Print one object.")


@click.group()
def fleet() -> None:
    """What proxies that share a store know of each other."""


def looked(ctx: click.Context, file: str | None) -> StoreCache:
    """One read of the store that the settings name; raises ConfigError."""
    named = file or ctx.obj
    if not named:
        raise click.UsageError("-f FILE must name a file with a block coordination")
    settings = features.read(named).coordination
    if settings is None:
        raise ConfigError(f"bad settings: {named}: no block coordination")
    from gladegw.control.errors import StoreClientError
    from gladegw.control.fleet_status import read
    from gladegw.control.store_client import StoreClient

    async def look() -> StoreCache:
        client = StoreClient(settings.addresses, settings.timeout_ms / 1000, settings.token_file)
        fault: StoreClientError | None = None
        try:
            for _ in settings.addresses:
                try:
                    return await read(client, settings.prefix)
                except StoreClientError as found:
                    fault = found
        finally:
            client.close()
        raise ConfigError(f"{named}: the store at {', '.join(settings.endpoints)}: {fault}")

    return run_async(look())


@fleet.command("members")
@file_option
@json_option
@click.pass_context
@mendable
def members(ctx: click.Context, file: str | None, as_json: bool) -> None:
    """Who is there, and who is missing."""
    from gladegw.control import fleet_status as told

    found = told.members(looked(ctx, file))
    if as_json:
        return show_json({"members": found})
    for member in found:
        line = "{name:<20} {state:<9} {since_s:>9.1f} s  {zone:<8} {version:<8} {incarnation}"
        click.echo(line.format(**member))


@fleet.command("duties")
@file_option
@json_option
@click.pass_context
@mendable
def duties(ctx: click.Context, file: str | None, as_json: bool) -> None:
    """Who holds what, and under which token."""
    from gladegw.control import fleet_status as told

    found = told.duties(looked(ctx, file))
    if as_json:
        return show_json({"duties": found})
    for duty in found:
        holder = duty["holder"] or "(nobody)"
        click.echo(f"{duty['name']:<12} {holder:<20} token {duty['token']:<8} {duty['since_s']:>9.1f} s")


def page(found: dict[str, Any]) -> str:
    lines = [f"{found['members']} members, missing: {', '.join(found['missing']) or 'none'}"]
    lines += [f"  {name} {value}" for name, value in sorted(found["totals"].items())]
    for entry in found["worst"]:
        lines.append(f"  worst: {entry['name']} {100 * entry['unserved']:.1f} % unserved")
    if found["silent"]:
        lines.append(f"  silent: {', '.join(found['silent'])}")
    for kind in ("discovery", "routes"):
        for digest, names in found[kind].items():
            lines.append(f"  {kind} {digest}: {', '.join(names)} (for {found['differ_since_s']:.0f} s)")
    return "\n".join(lines)


@fleet.command("status")
@file_option
@json_option
@click.option("--watch", is_flag=True, help="Again every second, until Ctrl-C.")
@click.pass_context
@mendable
def status(ctx: click.Context, file: str | None, as_json: bool, watch: bool) -> None:
    """The fleet's figures, its worst members, who is silent, and who differs from the others."""
    from gladegw.control import fleet_status as told

    while True:
        found = told.status(looked(ctx, file))
        if as_json:
            show_json(found)
        else:
            click.echo(page(found))
        if not watch:
            return
        run_async(asyncio.sleep(1.0))
