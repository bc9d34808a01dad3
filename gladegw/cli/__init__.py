"""The command line `gladegw`. A command's module is imported only when the command is used."""

from __future__ import annotations

import importlib
import sys

import click

COMMANDS = {  # name: module and attribute
    "serve": ("gladegw.cli.serving", "serve"),
    "replay": ("gladegw.cli.serving", "replay"),
    "check-config": ("gladegw.cli.serving", "check_config"),
    "rig": ("gladegw.cli.rig", "rig"),
    "load": ("gladegw.cli.load", "load"),
    "experiment": ("gladegw.cli.experiment", "experiment"),
    "apps": ("gladegw.cli.apps", "apps"),
    "routes": ("gladegw.cli.routes", "routes"),
    "fleet": ("gladegw.cli.fleet", "fleet"),
    "policy": ("gladegw.cli.policy", "policy"),
    "rollout": ("gladegw.cli.rollout", "rollout"),
    "supervise": ("gladegw.cli.supervise", "supervise"),
    "demo": ("gladegw.cli.demo", "demo"),
}
OPTIONAL_PACKAGES = {
    "msgspec",
    "hdrh",
    "numpy",
    "matplotlib",
    "rich",
    "click",
    "re2",
    "xxhash",
    "grpclib",
    "google",
}


class LazyGroup(click.Group):
    """A group that imports the module of a command on first use."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        return list(COMMANDS)

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        if cmd_name not in COMMANDS:
            return None
        module, name = COMMANDS[cmd_name]
        command: click.Command = getattr(importlib.import_module(module), name)
        return command


@click.group(
    cls=LazyGroup, invoke_without_command=True, context_settings={"help_option_names": ["-h", "--help"]}
)
@click.option("-f", "file", metavar="FILE", help="Settings of the features, in HCL blocks.")
@click.version_option(package_name="gladegw", prog_name="gladegw")
@click.pass_context
def gladegw(ctx: click.Context, file: str | None) -> None:
    """The proxy, configured by EDGE_CONFIG, and its tools. Without a command, it runs the proxy."""
    ctx.obj = file
    if ctx.invoked_subcommand is None:
        from gladegw.net.serve import run as serve

        ctx.exit(serve(file))


def run(arguments: list[str]) -> int:
    """Runs a command and returns its exit code: 0 success, 1 the command ran and found a fault, 2 invalid
    arguments or input or a missing package, 130 interrupted."""
    try:
        code = gladegw.main(arguments, prog_name="gladegw", standalone_mode=False)
    except click.ClickException as fault:
        fault.show()
        return 2
    except (click.Abort, KeyboardInterrupt):
        print("gladegw: stopped", file=sys.stderr)
        return 130
    except ModuleNotFoundError as fault:
        if (fault.name or "").partition(".")[0] not in OPTIONAL_PACKAGES:
            raise
        extra = "coordination" if (fault.name or "").startswith(("grpclib", "google")) else "rig"
        message = f"this command needs {fault.name}: pip install 'gladegw[{extra}]'"
        print(f"gladegw: {message}", file=sys.stderr)
        return 2
    return code if isinstance(code, int) else 0
