"""`load`: open-loop load against any HTTP server, or against the proxy with a mix of the platform's
requests."""

from __future__ import annotations

import ipaddress
import sys
import time
from pathlib import Path
from typing import Any
from urllib.parse import urlsplit

import click

from gladegw.cli.common import mendable, milliseconds, run_async, show_json
from gladegw.rig import play, scenario
from gladegw.rig.errors import RigError
from gladegw.rig.faults import schedule
from gladegw.rig.traffic.arrivals import PROCESSES, SHAPES, Shape, Surge
from gladegw.rig.traffic.load import VALID_P99, Loaded, once
from gladegw.rig.traffic.traces import FOREVER, FORMATS, Options
from gladegw.rig.traffic.worker import Plan
from gladegw.rig.traffic.workload import CallClass, Mix


def target_of(text: str, remote: bool) -> str:
    """Raises RigError for what can't or may not be sent to."""
    parts = urlsplit(text)
    if parts.scheme != "http" or not parts.hostname:
        raise RigError(f"--target {text}: must be http://HOST:PORT/PATH")
    host = "127.0.0.1" if parts.hostname == "localhost" else parts.hostname
    try:
        port = parts.port or 80
        loopback = ipaddress.ip_address(host).is_loopback
    except ValueError:
        raise RigError(
            f"--target {text}: the host must be a number or localhost, the port a number"
        ) from None
    if not loopback and not remote:
        raise RigError(f"--target {text}: not a loopback address; --allow-remote sends there all the same")
    shown = f"[{host}]" if ":" in host else host
    return f"http://{shown}:{port}{parts.path or '/'}{'?' + parts.query if parts.query else ''}"


def surge_of(text: str) -> Surge:
    try:
        at, lasts, size = (float(part) for part in text.split(":"))
        return Surge(at=at, lasts=lasts, size=size)
    except ValueError:
        raise RigError(f"--surge {text}: must be AT:LASTS:TIMES, such as 10:5:2.5") from None


def window_of(text: str) -> tuple[float, float]:
    begin, colon, end = text.partition(":")
    try:
        return float(begin or 0), float(end) if colon and end else FOREVER
    except ValueError:
        raise RigError(f"--window {text}: must be BEGIN:END in seconds of the trace") from None


def told(loaded: Loaded) -> str:
    figures = loaded.figures()
    codes = "  ".join(f"{code}: {count}" for code, count in figures["codes"].items())
    lines = [
        f"sent {figures['sent']}, answered {figures['answered']}, tries {figures['tries']}",
        f"codes      {codes}",
        *(
            f"{kind:<10} {milliseconds(figures[kind + '_ms'])}  ms"
            for kind in ("latency", "service", "lateness")
        ),
    ]
    trace = figures.get("trace")
    if trace:
        counted = ", ".join(f"{name} {value}" for name, value in trace.items() if name != "bad_lines")
        lines.append(f"trace      {counted}")
        lines += [f"           {line}" for line in trace["bad_lines"]]
    lines += [f"NOT VALID: {reason}" for reason in loaded.reasons]
    return "\n".join(lines)


@click.command()
@click.option("--target", "targets", multiple=True, required=True, metavar="URL", help="May be given again.")
@click.option("--rate", type=click.FloatRange(0, 1e6, min_open=True), default=100.0, show_default=True)
@click.option("--duration", type=click.FloatRange(0, 86_400, min_open=True), default=10.0, show_default=True)
@click.option("--arrivals", type=click.Choice(PROCESSES), default="constant", show_default=True)
@click.option("--shape", type=click.Choice(SHAPES), default="steady", show_default=True)
@click.option("--low", type=click.FloatRange(0, 1), default=0.5, help="A shape's low point, of the rate.")
@click.option("--surge", "surges", multiple=True, metavar="AT:LASTS:TIMES", help="May be given again.")
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--workers", type=click.IntRange(1, 64), default=1, show_default=True)
@click.option("--connections", type=click.IntRange(1, 100_000), default=256, help="To a target, a worker.")
@click.option("--timeout", type=click.FloatRange(0, 3600, min_open=True), default=10.0, help="Seconds.")
@click.option("--mix", metavar="FILE", help="Scenario file: its classes, tenants and load's clients.")
@click.option("--trace", type=click.Path(dir_okay=False), help="Recorded requests in place of a rate.")
@click.option("--format", "form", type=click.Choice(FORMATS), default="auto", show_default=True)
@click.option("--bad-lines", type=click.Choice(["skip", "fail"]), default="skip", show_default=True)
@click.option("--late", type=click.Choice(["keep", "drop", "fail"]), default="keep", help="Out of order.")
@click.option("--speed", type=click.FloatRange(0, 1e6, min_open=True), default=1.0, help="Of a trace.")
@click.option("--window", default="0:", metavar="BEGIN:END", help="Seconds of a trace.")
@click.option("--longest-gap", type=click.FloatRange(0), default=FOREVER, help="Of a trace, seconds.")
@click.option("--valid-p99", type=click.FloatRange(0, min_open=True), default=VALID_P99, help="Lateness, ms.")
@click.option("--log", "log_file", type=click.Path(dir_okay=False), help="Standard histogram log.")
@click.option("--allow-remote", is_flag=True, help="Other than loopback addresses.")
@click.option("--json", "as_json", is_flag=True, help="Print one object.")
@click.pass_context
@mendable
def load(ctx: click.Context, /, **how: Any) -> None:
    """Send requests at times fixed ahead, whatever the answers do, and count latency from those times.

    Exit code 1 where the schedule could not be kept: the run then says nothing of the server.
    """
    targets = tuple(target_of(text, how["allow_remote"]) for text in how["targets"])
    begin, end = window_of(how["window"])
    surges = tuple(surge_of(text) for text in how["surges"])
    shape = Shape(
        rate=how["rate"], duration=how["duration"], shape=how["shape"], low=how["low"], surges=surges
    )
    mix = Mix(classes=(CallClass(name="get", deadline=how["timeout"], aim=how["timeout"]),))
    if how["mix"]:
        deployment = scenario.read(how["mix"])
        mix = play.mix_of(deployment)
        shape = Shape(
            rate=shape.rate,
            duration=shape.duration,
            shape=shape.shape,
            low=shape.low,
            surges=(*surges, *schedule.surges(deployment)),
        )
    if how["trace"] and not Path(how["trace"]).is_file():
        raise RigError(f"{how['trace']}: no such file")
    plan = Plan(
        target=targets,
        names=tuple(targets),
        mix=mix,
        shape=shape,
        process=how["arrivals"],
        seed=how["seed"],
        connections=how["connections"],
        plain=not how["mix"],
        trace=how["trace"] or "",
        trace_options=Options(
            format=how["form"],
            bad_lines=how["bad_lines"],
            late=how["late"],
            speed=how["speed"],
            begin=begin,
            end=end,
            longest_gap=how["longest_gap"],
        ),
        prefix=f"{how['seed']:x}-{time.time_ns():x}-",
    )
    bar = sys.stderr.isatty() and not how["as_json"]

    def progress(now: dict[str, Any]) -> None:
        if bar:
            print(
                f"\rsent {now['sent']}  answered {now['answered']}  open {now['open']} ",
                end="",
                file=sys.stderr,
            )

    began = time.time()
    loaded = run_async(once(plan, how["workers"], how["valid_p99"], progress))
    if bar:
        print(file=sys.stderr)
    if how["log_file"]:
        loaded.total.write_log(Path(how["log_file"]), began)
    if how["as_json"]:
        show_json(loaded.figures())
    else:
        click.echo(told(loaded))
    ctx.exit(1 if loaded.reasons else 0)
