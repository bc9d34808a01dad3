"""`apps`: descriptions of applications, checked together, and the sidecar configuration built from them."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import click

from gladegw.apps.check import check as check_all
from gladegw.apps.files import read_folder, texts_of, write_all
from gladegw.apps.layout import laid_out
from gladegw.apps.model import Landscape
from gladegw.apps.sarif import sarif
from gladegw.apps.sidecar import asked, difference, explain, sidecar
from gladegw.apps.write import file_of
from gladegw.cli.common import mendable, show_json, show_routes_changed
from gladegw.routing.findings import Finding, RoutingError

folder_argument = click.argument("folder", metavar="DIR", type=click.Path(file_okay=False))
endpoints_option = click.option(
    "--endpoints", metavar="FILE", help="A list of endpoints in discovery's form, to check selectors against."
)
json_option = click.option("--json", "as_json", is_flag=True, help="Print one object.")


def checked(folder: str, endpoints: str | None = None) -> tuple[Landscape, list[Finding]]:
    findings: list[Finding] = []
    landscape = read_folder(folder, findings, endpoints)
    if not any(found.code == "R001" for found in findings):
        findings += check_all(landscape)
    return landscape, sorted(set(findings), key=lambda found: (found.place, found.code, found.message))


def sound(folder: str) -> Landscape:
    """Of a folder in which nothing is wrong; raises RoutingError."""
    landscape, findings = checked(folder)
    if findings:
        raise RoutingError(findings)
    return landscape


def as_object(found: Finding) -> dict[str, Any]:
    other = None if found.other is None else {"file": found.other.file, "line": found.other.line}
    return {
        "code": found.code,
        "file": found.place.file,
        "line": found.place.line,
        "column": found.place.column,
        "message": found.message,
        "other": other,
        "hint": found.hint,
    }


@click.group()
def apps() -> None:
    """Describe applications; check them together; build each one's sidecar configuration."""


@apps.command()
@folder_argument
@endpoints_option
@json_option
@click.option("--sarif", "as_sarif", is_flag=True, help="Print SARIF 2.1.0.")
@click.pass_context
@mendable
def check(ctx: click.Context, folder: str, endpoints: str | None, as_json: bool, as_sarif: bool) -> None:
    """Check all descriptions of a folder together. Exit code 1 if anything is wrong."""
    _, findings = checked(folder, endpoints)
    if as_sarif:
        show_json(sarif(findings))
    elif as_json:
        show_json({"findings": [as_object(found) for found in findings]})
    else:
        for found in findings:
            click.echo(str(found))
        click.echo(f"{len(findings)} findings" if findings else "ok")
    ctx.exit(1 if findings else 0)


@apps.command()
@folder_argument
@click.option("--out", required=True, metavar="DIR", type=click.Path(file_okay=False))
@json_option
@mendable
def build(folder: str, out: str, as_json: bool) -> None:
    """Write each application's sidecar configuration; the same descriptions give the same bytes."""
    landscape = sound(folder)
    files = dict(file_of(app, sidecar(app, landscape)) for app in landscape.apps)
    changed = write_all(out, files)
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
    """Show what a change does to each sidecar's routes. Exit code 1 if it does anything."""
    before, after = sound(old), sound(new)
    names = sorted({app.name for landscape in (before, after) for app in landscape.apps})
    found: list[dict[str, Any]] = []
    for name in names:
        then, now = before.app(name), after.app(name)
        if then is None or now is None:
            found.append({"app": name, "sidecar": "added" if then is None else "removed"})
            continue
        change = difference(name, sidecar(then, before), sidecar(now, after))
        if change:
            moved = [{"request": one, "from": was, "to": goes} for one, was, goes in change.moved]
            found.append(
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
        show_json({"sidecars": found})
    else:
        for one in found:
            click.echo(f"{one['app']}: {one['sidecar']}")
            show_routes_changed(one)
        click.echo(f"{len(found)} of {len(names)} sidecars change")
    ctx.exit(1 if found else 0)


@apps.command("explain")
@click.argument("app")
@click.argument("request")
@click.option("--dir", "folder", default=".", show_default=True, type=click.Path(file_okay=False))
@json_option
@mendable
def explain_request(app: str, request: str, folder: str, as_json: bool) -> None:
    """Say which route of APP's sidecar takes a REQUEST, and why each other does not.

    A REQUEST is 'METHOD /path name:value ...'; host, budget_ms and source are names too.
    """
    landscape = sound(folder)
    described = landscape.app(app)
    if described is None:
        raise click.ClickException(f"no application {app}; there are {', '.join(sorted(landscape.by_name))}")
    try:
        ask = asked(request)
    except ValueError as fault:
        raise click.ClickException(f"{request!r}: {fault}") from None
    found = explain(sidecar(described, landscape), ask)
    if as_json:
        others = [
            {"route": name, "file": file, "line": line, "reasons": why}
            for name, file, line, why in found.why_not
        ]
        show_json({"route": found.route, "outcome": found.outcome, "others": others})
        return
    click.echo(found.outcome)
    for name, file, line, why in found.why_not:
        click.echo(f"  not {name} ({file}:{line}): {'; '.join(why)}")


@apps.command()
@folder_argument
@click.option("--check", "only_check", is_flag=True, help="Change nothing; exit code 1 if a file would be.")
@click.pass_context
@mendable
def fmt(ctx: click.Context, folder: str, only_check: bool) -> None:
    """Lay the files of a folder out alike."""
    texts = texts_of(folder)
    made = {path: laid_out(text, path) for path, text in texts.items()}
    changed = [path for path in texts if made[path] != texts[path]]
    if not only_check:
        write_all(folder, {Path(path).name: made[path] for path in changed}, old="")
    for path in changed:
        click.echo(path)
    ctx.exit(1 if changed and only_check else 0)
