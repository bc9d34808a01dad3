"""What the commands share."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable, Coroutine
from functools import wraps
from typing import Any, ParamSpec, TypeVar

import click

from gladegw.apps.files import FolderError
from gladegw.net.config import ConfigError
from gladegw.rig.errors import RigError
from gladegw.routing.findings import RoutingError

P = ParamSpec("P")
R = TypeVar("R")


def mendable(command: Callable[P, R]) -> Callable[P, R]:
    """Bad input is one line on standard error and exit code 2."""

    @wraps(command)
    def wrapped(*args: P.args, **kwargs: P.kwargs) -> R:
        try:
            return command(*args, **kwargs)
        except (RigError, ConfigError, RoutingError, FolderError) as fault:
            raise click.ClickException(" ".join(str(fault).split())) from None

    return wrapped


def run_async(work: Coroutine[Any, Any, R]) -> R:
    """In a loop of its own; Ctrl-C ends the work in order, so that nothing it started stays behind."""
    import signal

    async def bounded() -> R:
        task = asyncio.current_task()
        assert task is not None
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGHUP):
            loop.add_signal_handler(number, task.cancel)
        try:
            return await work
        except asyncio.CancelledError:
            raise KeyboardInterrupt from None

    return asyncio.run(bounded())


def show_json(found: Any) -> None:
    click.echo(json.dumps(found, indent=None, sort_keys=False, default=str))


def show_routes_changed(one: dict[str, Any]) -> None:
    """What a difference of two tables adds, removes, changes and moves; nothing where it has no such part."""
    for word in ("added", "removed", "changed"):
        for route in one.get(word, ()):
            click.echo(f"  {word} route {route}")
    for move in one.get("moved", ()):
        click.echo(f"  moved {move['request']}\n    from {move['from']}\n    to   {move['to']}")


def milliseconds(figures: dict[str, float]) -> str:
    return "  ".join(f"{name} {value:.2f}" for name, value in figures.items())
