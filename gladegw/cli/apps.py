"""The command `apps`: checks application descriptions and builds the sidecar configuration from them."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import click

from gladegw.apps.check import check as check_all
from gladegw.apps.files import read_folder, read_hcl_texts, write_files
from gladegw.apps.layout import format_hcl
from gladegw.apps.model import Landscape
from gladegw.apps.sarif import sarif
from gladegw.apps.sidecar import difference, explain, parse_request, sidecar
from gladegw.apps.write import sidecar_file
from gladegw.cli.common import mendable, show_json, show_routes_changed
from gladegw.routing.findings import Finding, RoutingError

folder_argument = click.argument("folder", metavar="DIR", type=click.Path(file_okay=False))
endpoints_option = click.option(
    "--endpoints", metavar="FILE", help="An endpoint list in discovery's form, to check selectors against."
)
json_option = click.option("--json", "as_json", is_flag=True, help="Print one object.")


def read_and_check(folder: str, endpoints: str | None = None) -> tuple[Landscape, list[Finding]]:
    """The descriptions of a folder and the sorted findings. If a file can't be read (R001), the descriptions
    are not checked against each other and only the findings of reading are returned."""
    findings: list[Finding] = []
    landscape = read_folder(folder, findings, endpoints)
    if not any(finding.code == "R001" for finding in findings):
        findings += check_all(landscape)
    return landscape, sorted(
        set(findings), key=lambda finding: (finding.place, finding.code, finding.message)
    )


def read_valid(folder: str) -> Landscape:
    """The descriptions of a folder; raises RoutingError if the checks find any fault."""
    landscape, findings = read_and_check(folder)
    if findings:
        raise RoutingError(findings)
    return landscape


def finding_object(finding: Finding) -> dict[str, Any]:
    other = None if finding.other is None else {"file": finding.other.file, "line": finding.other.line}
    return {
        "code": finding.code,
        "file": finding.place.file,
        "line": finding.place.line,
        "column": finding.place.column,
        "message": finding.message,
        "other": other,
        "hint": finding.hint,
    }


@click.group()
def apps() -> None:
    """Check application descriptions and build each application's sidecar configuration."""


@apps.command()
@folder_argument
@endpoints_option
@json_option
@click.option("--sarif", "as_sarif", is_flag=True, help="Print SARIF 2.1.0.")
@click.pass_context
@mendable
def check(ctx: click.Context, folder: str, endpoints: str | None, as_json: bool, as_sarif: bool) -> None:
    """Check all descriptions of a folder together. Exit code 1 if there are findings."""
    _, findings = read_and_check(folder, endpoints)
    if as_sarif:
        show_json(sarif(findings))
    elif as_json:
        show_json({"findings": [finding_object(finding) for finding in findings]})
    else:
        for finding in findings:
            click.echo(str(finding))
        click.echo(f"{len(findings)} findings" if findings else "ok")
    ctx.exit(1 if findings else 0)


@apps.command()
@folder_argument
@click.option("--out", required=True, metavar="DIR", type=click.Path(file_okay=False))
@json_option
@mendable
def build(folder: str, out: str, as_json: bool) -> None:
    """Write each application's sidecar configuration. The same descriptions always give the same bytes."""
    landscape = read_valid(folder)
    files = dict(sidecar_file(app, sidecar(app, landscape)) for app in landscape.apps)
    changed = write_files(out, files)
    if as_json:
        show_json({"files": sorted(files), "changed": changed})
    else:
        click.echo(f"{len(files)} sidecars, {len(changed)} files changed")


@apps.command()
@click.argument("old", metavar="OLD", type=click.Path(file_okay=False))
@click.argument("new", metavar="NEW", type=click.Path(file_okay=False))
@json_option
@click.pass_context
@mendable
def diff(ctx: click.Context, old: str, new: str, as_json: bool) -> None:
    """Show how each sidecar's routes differ between two folders. Exit code 1 if any differ."""
    before, after = read_valid(old), read_valid(new)
    names = sorted({app.name for landscape in (before, after) for app in landscape.apps})
    differences: list[dict[str, Any]] = []
    for name in names:
        old_app, new_app = before.app(name), after.app(name)
        if old_app is None or new_app is None:
            differences.append({"app": name, "sidecar": "added" if old_app is None else "removed"})
            continue
        change = difference(name, sidecar(old_app, before), sidecar(new_app, after))
        if change:
            moved = [
                {"request": request, "from": old_target, "to": new_target}
                for request, old_target, new_target in change.moved
            ]
            differences.append(
                {
                    "app": name,
                    "sidecar": "changed",
                    "added": change.added,
                    "removed": change.removed,
                    "changed": change.changed,
                    "moved": moved,
                    "complete": change.complete,
                }
            )
    if as_json:
        show_json({"sidecars": differences})
    else:
        for entry in differences:
            click.echo(f"{entry['app']}: {entry['sidecar']}")
            show_routes_changed(entry)
        click.echo(f"{len(differences)} of {len(names)} sidecars change")
    ctx.exit(1 if differences else 0)


@apps.command("explain")
@click.argument("app")
@click.argument("request")
@click.option("--dir", "folder", default=".", show_default=True, type=click.Path(file_okay=False))
@json_option
@mendable
def explain_request(app: str, request: str, folder: str, as_json: bool) -> None:
    """Show which route of APP's sidecar takes REQUEST, and why each of the others does not.

    REQUEST is 'METHOD /path name:value ...'. The names host, budget_ms and source set the host, the time
    budget and the source address; all other names are headers.
    """
    landscape = read_valid(folder)
    described = landscape.app(app)
    if described is None:
        raise click.ClickException(f"no application {app}; there are {', '.join(sorted(landscape.by_name))}")
    try:
        ask = parse_request(request)
    except ValueError as fault:
        raise click.ClickException(f"{request!r}: {fault}") from None
    explanation = explain(sidecar(described, landscape), ask)
    if as_json:
        others = [
            {"route": name, "file": file, "line": line, "reasons": why}
            for name, file, line, why in explanation.why_not
        ]
        show_json({"route": explanation.route, "outcome": explanation.outcome, "others": others})
        return
    click.echo(explanation.outcome)
    for name, file, line, why in explanation.why_not:
        click.echo(f"  not {name} ({file}:{line}): {'; '.join(why)}")


@apps.command()
@folder_argument
@click.option(
    "--check", "only_check", is_flag=True, help="Write nothing; exit code 1 if a file would change."
)
@click.pass_context
@mendable
def fmt(ctx: click.Context, folder: str, only_check: bool) -> None:
    """Format the HCL files of a folder."""
    texts = read_hcl_texts(folder)
    formatted = {path: format_hcl(text, path) for path, text in texts.items()}
    changed = [path for path in texts if formatted[path] != texts[path]]
    if not only_check:
        write_files(folder, {Path(path).name: formatted[path] for path in changed}, stale_pattern="")
    for path in changed:
        click.echo(path)
    ctx.exit(1 if changed and only_check else 0)
