"""`serve`, `replay` and `check-config`."""

from __future__ import annotations

import os

import click

from gladegw.cli.common import mendable, show_json

about_file = "Settings of the features, in HCL blocks."


@click.command()
@click.option("-f", "file", metavar="FILE", help=about_file)
@click.pass_context
def serve(ctx: click.Context, file: str | None) -> None:
    """Serve as EDGE_CONFIG says (the same as no command)."""
    from gladegw.net.serve import run

    ctx.exit(run(file or ctx.obj))


@click.command()
@click.option("-f", "file", metavar="FILE", help=about_file)
@click.argument("capture", metavar="CAPTURE")
@click.pass_context
def replay(ctx: click.Context, file: str | None, capture: str) -> None:
    """Ask the decision module again what a capture recorded."""
    from gladegw.__main__ import replay_file

    ctx.exit(replay_file(file or ctx.obj, capture))


@click.command("check-config")
@click.option("-f", "file", metavar="FILE", help=about_file)
@click.option("--json", "as_json", is_flag=True, help="Print one object.")
@click.argument("config", metavar="[CONFIG]", required=False)
@click.pass_context
@mendable
def check_config(ctx: click.Context, file: str | None, as_json: bool, config: str | None) -> None:
    """Check a configuration (EDGE_CONFIG's, if none is named) and a file of features, and start nothing."""
    from gladegw.net import features
    from gladegw.net.config import load

    environ = {**os.environ, "EDGE_CONFIG": config} if config else dict(os.environ)
    found = load(environ)
    named = file or ctx.obj
    on = features.read(named) if named else features.Features()
    names = [name for name in features.BLOCKS if getattr(on, name) is not None]
    settings = found.settings
    told = {
        "name": found.name,
        "listen": "{}:{}".format(*found.listen),
        "sockets": found.sockets,
        "classes": [cls.name for cls in settings.classes],
        "tenants": len(settings.tenants),
        "tier": settings.stage,
        "known": len(found.known.get("endpoints", ())),
        "features": names,
    }
    if as_json:
        show_json(told)
    else:
        click.echo(
            f"ok: {told['name']} listens at {told['listen']}, tier {told['tier']}, "
            f"{len(settings.classes)} classes, {told['known']} known backends, "
            f"features: {', '.join(names) or 'none'}"
        )
