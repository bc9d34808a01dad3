"""`routes`: expectations decided over routes, without any traffic."""

from __future__ import annotations

from typing import Any

import click

from gladegw.apps.files import read_folder, read_hcl_texts
from gladegw.apps.sidecar import sidecar
from gladegw.cli.apps import folder_argument, json_option
from gladegw.cli.common import mendable, show_json
from gladegw.routing.expect import Failure, Result, decide_all, read_expect
from gladegw.routing.findings import Finding, Place, RoutingError
from gladegw.routing.matcher import Table
from gladegw.routing.read import describe
from gladegw.routing.source import Document, read_source


@click.group()
def routes() -> None:
    """Ask what routes do, without any traffic."""


def plain_table(documents: list[Document], findings: list[Finding]) -> tuple[Result, dict[str, Place], int]:
    """Files that hold routes themselves: one table, and the expectations beside it."""
    description = describe(documents, findings, ("expect",))
    expects = [
        read_expect(block, findings)
        for document in documents
        for block in document.blocks
        if block.name == "expect"
    ]
    if findings:
        raise RoutingError(findings)
    places = {str(route): route.place for route in description.routes}
    return decide_all(Table(description), expects), places, len(expects)


def by_sidecar(folder: str, findings: list[Finding]) -> tuple[Result, dict[str, Place], int]:
    """Descriptions of applications: each expectation is of a sidecar."""
    landscape = read_folder(folder, findings)
    if findings:
        raise RoutingError(findings)
    result, count = Result(), 0
    places = {str(route): route.place for route in landscape.routes()}
    expects = [one for app in landscape.apps for one in app.expects]
    for name in sorted({one.app for one in expects}):
        app = landscape.app(name)
        mine = [one for one in expects if one.app == name]
        count += len(mine)
        if app is None:
            why = f"there is no application {name}"
            result.failures += [Failure(one.name, one.place, f"of app {name}", why, True) for one in mine]
            continue
        part = decide_all(Table(sidecar(app, landscape)), mine)
        result.failures += part.failures
        result.touched |= part.touched
    result.failures.sort(key=lambda failure: failure.place)
    return result, places, count


@routes.command("test")
@folder_argument
@json_option
@click.option("--coverage", is_flag=True, help="Name the routes that no expectation touches.")
@click.pass_context
@mendable
def test_routes(ctx: click.Context, folder: str, as_json: bool, coverage: bool) -> None:
    """Decide the expectations of a folder: of descriptions of applications, or of files of routes.

    Exit code 1 if one fails.
    """
    findings: list[Finding] = []
    documents = [read_source(text, file, findings) for file, text in read_hcl_texts(folder).items()]
    described = any(block.name == "app" for document in documents for block in document.blocks)
    result, places, count = by_sidecar(folder, []) if described else plain_table(documents, findings)
    untouched = sorted(places.keys() - result.touched)
    failed: list[dict[str, Any]] = [
        {
            "expectation": one.expectation,
            "file": one.place.file,
            "line": one.place.line,
            "expected": one.expected,
            "got": one.got,
            "impossible": one.impossible,
        }
        for one in result.failures
    ]
    if as_json:
        told: dict[str, Any] = {"failed": failed}
        if coverage:
            told["untouched"] = [
                {"route": name, "file": places[name].file, "line": places[name].line} for name in untouched
            ]
        show_json(told)
    else:
        for one in failed:
            click.echo(
                f"{one['file']}:{one['line']}: {one['expectation']}: expected {one['expected']}; "
                f"got: {one['got']}"
            )
        if coverage:
            for name in untouched:
                click.echo(f"{places[name].file}:{places[name].line}: no expectation touches route {name}")
        click.echo(f"{count} expectations, {len(failed)} failed")
    ctx.exit(1 if failed else 0)
