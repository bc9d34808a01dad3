"""`supervise`: one proxy's processes, started, watched, and replaced side by side."""

from __future__ import annotations

import logging
import os
import sys

import click

from gladegw.cli.common import mendable, show_json
from gladegw.cli.fleet import file_option
from gladegw.net.config import ConfigError, load


@click.command()
@click.argument("settings", metavar="SETTINGS")
@file_option
@click.option("--check", is_flag=True, help="Read the settings, and start nothing.")
@click.option("--status", is_flag=True, help="Tell what another supervisor with these settings has written.")
@click.option("--json", "as_json", is_flag=True, help="Print one object (with --check and --status).")
@click.pass_context
@mendable
def supervise(
    ctx: click.Context, settings: str, file: str | None, check: bool, status: bool, as_json: bool
) -> None:
    """Start the proxy that EDGE_CONFIG configures, watch it, and replace it side by side.

    The version is that of SETTINGS until the store has a word on it (with -f and its block `coordination`),
    and read again on SIGHUP. SIGTERM ends the proxy too; a supervisor that dies leaves it to the next one.
    """
    import msgspec

    from gladegw.net import features
    from gladegw.supervisor import run
    from gladegw.supervisor import settings as file_of

    found = file_of.read(settings)
    config = load(os.environ)
    named = file or ctx.obj
    coordination = features.read(named).coordination if named else None
    told: dict[str, object] = {
        "name": config.name,
        "version": found.version,
        "programs": sorted(found.programs),
    }
    if status:
        try:
            raw = run.state_file(found, config.name).read_bytes()
            kept: run.State = msgspec.json.decode(raw, type=run.State)
        except (OSError, msgspec.MsgspecError) as fault:
            raise ConfigError(f"{run.state_file(found, config.name)}: {fault}") from None
        state = kept.supervision
        told |= {
            "version": state.current,
            "state": state.phase.value,
            "wanted": state.wanted,
            "coming": state.coming,
            "refused": sorted(state.refused),
            "reason": state.reason,
            "restarts": state.restarts,
            "alone": kept.order.alone,
            "pids": {slot: one.pid for slot, one in kept.processes.items()},
        }
    if check or status:
        if as_json:
            return show_json(told)
        return click.echo("  ".join(f"{key} {value}" for key, value in told.items()))
    options = None
    if coordination is not None:
        from gladegw.control.member import StoreOptions

        options = StoreOptions(
            coordination.addresses,
            coordination.prefix,
            coordination.ttl_s,
            coordination.timeout_ms / 1000,
            coordination.token_file,
        )
    logging.basicConfig(stream=sys.stderr, format="%(levelname)s %(name)s: %(message)s")
    run.supervise(settings, config, options)
