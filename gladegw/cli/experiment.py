"""`experiment`: a matrix of settings, scenarios and seeds; and its report."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Any

import click
from rich.console import Console
from rich.progress import BarColumn, MofNCompleteColumn, Progress, TextColumn, TimeElapsedColumn

from gladegw.cli.common import mendable, run_async, show_json
from gladegw.rig.errors import RigError
from gladegw.rig.measures.experiment import Results, carry_out, load


class OrRun(click.Group):
    """`experiment FILE` means `experiment run FILE`."""

    def resolve_command(
        self, ctx: click.Context, args: list[str]
    ) -> tuple[str | None, click.Command | None, list[str]]:
        if args and args[0] not in self.commands:
            args = ["run", *args]
        return super().resolve_command(ctx, args)


@click.group(cls=OrRun)
def experiment() -> None:
    """Play a matrix of builds or settings, scenarios and seeds: `experiment FILE`, `experiment report
    DIR`."""


def capacity_text(results: list[dict[str, Any]]) -> str:
    lines = []
    for result in results:
        lines.append(f"{result['key']}: {result['most_rate']:.0f} requests/s at the most")
        for part in result["parts"]:
            lines.append(
                f"  at {part['share']:.0%} ({part['rate']:.0f}/s): added p50 {part['added_p50_ms']:.2f} ms, "
                f"p99 {part['added_p99_ms']:.2f} ms; CPU {part['cpu_us']:.0f} us a request"
            )
        held = result["held"]
        lines.append(
            f"  with {held['connections']} connections: {held['memory_mb']:.1f} MB, "
            f"{held['descriptors']} descriptors"
        )
        for one in result["schedule"]:
            late = one["lateness_ms"]
            lines.append(
                f"  schedule at {one['rate']:.0f}/s: late by p50 {late['p50']:.2f}, p99 {late['p99']:.2f}, "
                f"max {late['max']:.2f} ms; load's CPU {one['load_cpu_s']:.2f} s"
            )
    return "\n".join(lines)


@experiment.command("run")
@click.argument("file", type=click.Path(dir_okay=False))
@click.option(
    "--dir", "folder", type=click.Path(file_okay=False), help="Of the results; FILE's name, if none."
)
@click.option("--json", "as_json", is_flag=True, help="Print a list of results.")
@click.pass_context
@mendable
def run(ctx: click.Context, file: str, folder: str | None, as_json: bool) -> None:
    """Play what is left of an experiment; what stands in its folder is not played again."""
    made = load(Path(file))
    where = Path(folder or f"{Path(file).stem}-results")
    bar = Progress(
        TextColumn("{task.description}"),
        BarColumn(),
        MofNCompleteColumn(),
        TimeElapsedColumn(),
        console=Console(stderr=True),
        disable=not sys.stderr.isatty(),
    )
    with bar:
        task = bar.add_task("", total=None)
        results = run_async(
            carry_out(
                made, where, lambda n, of, key: bar.update(task, completed=n, total=of, description=key)
            )
        )
    if as_json:
        show_json(results)
    elif made.capacity is not None:
        click.echo(capacity_text(results))
    else:
        from gladegw.rig.measures.pages import HEAD, as_text, medians

        click.echo(as_text(medians(results), HEAD))
    ctx.exit(1 if any(result.get("broken") for result in results) else 0)


@experiment.command("report")
@click.argument("folder", type=click.Path(file_okay=False))
@click.option("--out", type=click.Path(dir_okay=False), help="The page; DIR/report.html, if none.")
@click.option("--text", "as_text_only", is_flag=True, help="Tables as plain text, and no page.")
@mendable
def report(folder: str, out: str | None, as_text_only: bool) -> None:
    """Write one self-contained page of an experiment's results."""
    if not (Path(folder) / "results.jsonl").is_file():
        raise RigError(f"{folder}: holds no results")
    results = Results(Path(folder)).found
    if not results:
        raise RigError(f"{folder}: holds no results yet")
    from gladegw.rig.measures import pages
    from gladegw.rig.measures import report as pages_of

    if "most_rate" in results[0]:
        text = capacity_text(results)
        page = pages_of.page("capacity", [f"<pre>{text}</pre>"])
    else:
        rows = pages.medians(results)
        text = pages.as_text(rows, pages.HEAD)
        if differences := pages.differences(results):
            text += "\n\n" + pages.as_text(differences, pages.HEAD)
        page = "" if as_text_only else pages.experiment_page(Path(folder).name, Path(folder), results)
    if as_text_only:
        click.echo(text)
        return
    target = Path(out) if out else Path(folder) / "report.html"
    pages_of.write(target, page)
    click.echo(str(target))
