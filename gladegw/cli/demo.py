"""`demo`: the whole thing at work, live in the terminal, judged at the end."""

from __future__ import annotations

import sys
import tempfile
from pathlib import Path
from typing import Any

import click
import msgspec
from rich.console import Console
from rich.live import Live
from rich.table import Table

from gladegw.cli.common import mendable, run_async, show_json
from gladegw.cli.rig import told
from gladegw.rig import scenario as scenarios
from gladegw.rig.faults.schedule import bands
from gladegw.rig.judging.judge import Verdict, judge_folder
from gladegw.rig.judging.ledger import Sample
from gladegw.rig.play import play
from gladegw.rig.process import ROOT
from gladegw.rig.scenario import Scenario
from gladegw.rig.traffic.load import Loaded

FILE = Path(scenarios.__file__).with_name("demo.hcl")
LENGTH = 30.0  # s for which the file is written
SHORTEST = 2.0
BEHIND = "of-"  # how the names of the proxies behind the first tier begin


def shortened(scenario: Scenario, duration: float) -> Scenario:
    """The same course in another time."""
    scale = duration / scenario.run.duration
    replace = msgspec.structs.replace
    faults = tuple(
        replace(fault, at=fault.at * scale, lasts=fault.lasts * scale, drain=fault.drain * min(1.0, scale))
        for fault in scenario.faults
    )
    return replace(scenario, run=replace(scenario.run, duration=duration), faults=faults)


class View:
    """What the terminal shows while it runs."""

    def __init__(self, scenario: Scenario) -> None:
        self.scenario = scenario
        self.before: dict[str, Any] = {"sent": 0, "answered": 0, "codes": {}}
        self.cpu: dict[str, tuple[float, float]] = {}
        self.rows: list[tuple[str, ...]] = []

    def add(self, at: float, now: dict[str, Any], samples: dict[str, Sample]) -> Table:
        codes, old = now.get("codes", {}), self.before.get("codes", {})
        if at > 0.5:
            served = now["worth"] / now["asked"] if now.get("asked") else 0.0
            good = codes.get("200", 0) - old.get("200", 0)
            ended = sum(codes.values()) - sum(old.values())
            used, others, most = [], 0.0, 0.0
            for name, sample in sorted(samples.items()):
                cpu, when = self.cpu.get(name, (sample.cpu, sample.at - 1))
                share = (sample.cpu - cpu) / max(0.1, sample.at - when)
                self.cpu[name] = sample.cpu, sample.at
                if name.startswith(BEHIND):
                    others, most = others + share, max(most, sample.memory)
                else:
                    used.append(f"{name} {share:4.0%} {sample.memory:.0f} MB")
            if most:
                used.append(f"behind {others:4.0%} {most:.0f} MB")
            faults = ", ".join(kind for kind, begin, end in bands(self.scenario) if begin <= at <= end)
            self.rows.append(
                (
                    f"{at:.0f}",
                    str(now["sent"] - self.before["sent"]),
                    str(good),
                    str(ended - good),
                    str(now["open"]),
                    f"{served:.1%}",
                    "  ".join(used),
                    faults,
                )
            )
        self.before = now
        return self.table(self.rows[-14:])

    @staticmethod
    def table(rows: list[tuple[str, ...]]) -> Table:
        table = Table(title="the clients' two proxies, before three tiers", box=None, header_style="bold")
        for name in ("s", "sent/s", "served/s", "not", "open", "worth served", "proxies", "faults now"):
            table.add_column(name, justify="left" if name in ("proxies", "faults now") else "right")
        for row in rows:
            table.add_row(*row)
        return table


def summary(loaded: Loaded, verdict: Verdict) -> dict[str, Any]:
    figures = loaded.figures()
    return {
        "broken_rules": verdict.broken_rules,
        "served_worth": round(verdict.served_worth, 4),
        "requests": verdict.requests,
        "tries": verdict.tries,
        "valid": figures["valid"],
        "codes": figures["codes"],
        "latency_ms": figures["latency_ms"],
    }


@click.command()
@click.option("--duration", type=click.FloatRange(SHORTEST, 3600), default=LENGTH, show_default=True)
@click.option("--seed", type=int, default=None, help="Other draws.")
@click.option("--report", "report_file", type=click.Path(dir_okay=False), help="Write a page with plots.")
@click.option("--dir", "folder", type=click.Path(file_okay=False), help="Keep the ledgers here.")
@click.option("--json", "as_json", is_flag=True, help="Print one object.")
@click.pass_context
@mendable
def demo(
    ctx: click.Context,
    duration: float,
    seed: int | None,
    report_file: str | None,
    folder: str | None,
    as_json: bool,
) -> None:
    """Three tiers in two centres under 120 requests/s, routed as examples/malabar describes, through a
    rolling deploy and fast errors.

    Exit code 0 only if every rule held.
    """
    scenario = shortened(scenarios.read(FILE), duration)
    replace = msgspec.structs.replace
    if seed is not None:
        scenario = replace(scenario, run=replace(scenario.run, seed=seed))
    tiers = scenario.tiers
    if not all((ROOT / tier.features).is_file() for tier in tiers):  # a package comes without examples/
        scenario = replace(scenario, tiers=tuple(replace(tier, features="") for tier in tiers))
    with tempfile.TemporaryDirectory(prefix="gladegw-demo-") as scratch:
        where = Path(folder) if folder else Path(scratch)
        view = View(scenario)
        console = Console(stderr=as_json)
        live = sys.stdout.isatty() and not as_json
        with Live(console=console, refresh_per_second=4, transient=True) if live else _Quiet() as screen:
            loaded = run_async(
                play(scenario, where, lambda at, now, samples: screen.update(view.add(at, now, samples)))
            )
        verdict = judge_folder(where)
        if report_file:
            from gladegw.rig.measures.pages import run_page
            from gladegw.rig.measures.report import write

            write(Path(report_file), run_page("gladegw demo", where, summary(loaded, verdict), told(verdict)))
    if as_json:
        show_json(summary(loaded, verdict))
    else:
        console.print(view.table(view.rows))
        figures = loaded.figures()
        latency = figures["latency_ms"]
        click.echo(
            f"latency p50 {latency['p50']:.0f} ms, p99 {latency['p99']:.0f} ms; codes {figures['codes']}"
        )
        click.echo(told(verdict))
        for reason in loaded.reasons:
            click.echo(f"NOT VALID: {reason}")
    ctx.exit(1 if verdict.breaches else 0)


class _Quiet:
    """Where there is no terminal, nothing is drawn."""

    def __enter__(self) -> _Quiet:
        return self

    def __exit__(self, *exc: object) -> None:
        pass

    def update(self, what: object) -> None:
        pass
