"""Helpers shared by the commands."""

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
    """Decorates a command: invalid input (settings, descriptions or folders) is reported as one line on
    standard error with exit code 2."""

    @wraps(command)
    def wrapped(*args: P.args, **kwargs: P.kwargs) -> R:
        try:
            return command(*args, **kwargs)
        except (RigError, ConfigError, RoutingError, FolderError) as fault:
            raise click.ClickException(" ".join(str(fault).split())) from None

    return wrapped


def run_async(work: Coroutine[Any, Any, R]) -> R:
    """Runs `work` in a new event loop. SIGTERM and SIGHUP cancel it, as Ctrl-C does, so that it cleans up and
    leaves no process behind; a cancellation is reported as KeyboardInterrupt."""
    import signal

    async def cancelled_by_signals() -> R:
        task = asyncio.current_task()
        assert task is not None
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGHUP):
            loop.add_signal_handler(number, task.cancel)
        try:
            return await work
        except asyncio.CancelledError:
            raise KeyboardInterrupt from None

    return asyncio.run(cancelled_by_signals())


def show_json(result: Any) -> None:
    click.echo(json.dumps(result, indent=None, sort_keys=False, default=str))


def show_routes_changed(difference: dict[str, Any]) -> None:
    """Prints the routes that differ between two route tables, and requests that go to another target. Keys
    that `difference` lacks are skipped."""
    for change in ("added", "removed", "changed"):
        for route in difference.get(change, ()):
            click.echo(f"  {change} route {route}")
    for move in difference.get("moved", ()):
        click.echo(f"  moved {move['request']}\n    from {move['from']}\n    to   {move['to']}")


def milliseconds(figures: dict[str, float]) -> str:
    return "  ".join(f"{name} {value:.2f}" for name, value in figures.items())
