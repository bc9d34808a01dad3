"""Renders a sidecar's configuration as HCL. The same description always gives the same bytes."""

from __future__ import annotations

import json
from collections.abc import Iterable, Sequence
from typing import Any

from gladegw.apps.model import App
from gladegw.routing.model import EVERY, Description, Match, Pool, Route, Text


def literal(content: Any) -> str:
    """An HCL literal. Strings get JSON escapes, which HCL accepts."""
    if isinstance(content, bool):
        return "true" if content else "false"
    if isinstance(content, int | float):
        return f"{content:g}" if float(f"{content:g}") == content else repr(float(content))
    if isinstance(content, str):
        return json.dumps(content, ensure_ascii=True)
    if isinstance(content, dict):
        return (
            "{ " + ", ".join(f"{json.dumps(key)} = {literal(item)}" for key, item in content.items()) + " }"
        )
    return "[" + ", ".join(literal(item) for item in content) + "]"


class HclWriter:
    """Collects lines of HCL, indented by the depth of the open blocks."""

    def __init__(self) -> None:
        self.lines: list[str] = []
        self.depth = 0

    def line(self, text: str) -> None:
        self.lines.append("  " * self.depth + text if text else "")

    def put(self, key: str, content: Any, default: Any = None) -> None:
        if content != default and content is not None and content != ():
            self.line(f"{key} = {literal(content)}")

    def open(self, name: str, label: str = "") -> None:
        self.line(f"{name} {json.dumps(label)} {{" if label else f"{name} {{")
        self.depth += 1

    def close(self) -> None:
        self.depth -= 1
        self.line("}")


def _texts(writer: HclWriter, kind: str, texts: Iterable[Text]) -> None:
    for text in texts:
        writer.open(kind, text.name)
        writer.put(text.kind, True if text.kind == "present" else text.value)
        writer.close()


def _match(writer: HclWriter, match: Match) -> None:
    writer.put("hosts", match.hosts)
    if match.path.kind == "prefix":
        writer.put("prefix", match.path.value, "")
    else:
        writer.put("path" if match.path.kind == "exact" else "regex", match.path.value)
    writer.put("methods", match.methods)
    writer.put("classes", match.classes)
    writer.put("tenants", match.tenants)
    writer.put("budget_ms", match.budget_ms)
    writer.put("sources", tuple(str(net) for net in match.sources))
    _texts(writer, "header", match.headers)
    _texts(writer, "query", match.query)


def _pool(writer: HclWriter, pool: Pool) -> None:
    writer.open("pool", pool.name)
    selector = pool.selector
    writer.put("zones", selector.zones)
    writer.put("types", selector.types)
    writer.put("groups", selector.groups)
    writer.put("names", selector.names)
    writer.put("statuses", selector.statuses)
    writer.put("least_weight", selector.least_weight, EVERY.least_weight)
    if pool.local:
        writer.put("local", True)
        writer.put("spill_below", pool.spill_below)
        writer.put("spill_until", pool.spill_until)
    writer.put("remember_s", pool.remember_s, 300.0)
    writer.put("subset", pool.subset, 0)
    writer.put("fallback", pool.fallback)
    writer.close()


def _route(writer: HclWriter, route: Route) -> None:
    writer.open("route", label_of(route))
    if len(route.matches) == 1:
        _match(writer, route.matches[0])
    else:
        for match in route.matches:
            writer.open("match")
            _match(writer, match)
            writer.close()
    writer.put("pool", route.pool, "")
    if route.split is not None:
        writer.open("split")
        writer.put("by", route.split.by)
        writer.put("weights", dict(route.split.weights))
        writer.close()
    if route.redirect is not None:
        writer.open("redirect")
        writer.put("code", route.redirect.code)
        writer.put("location", route.redirect.location)
        writer.close()
    if route.answer is not None:
        writer.open("answer")
        writer.put("code", route.answer.code)
        writer.put("body", route.answer.body, "")
        writer.put("retry_after", route.answer.retry_after, 0.0)
        writer.close()
    writer.put("fallback", route.fallback)
    if route.mirror is not None:
        writer.open("mirror")
        writer.put("pool", route.mirror.pool)
        writer.put("share", route.mirror.share, 1.0)
        writer.close()
    if route.edits:
        writer.open("edit_headers")
        writer.put("put", dict(route.edits.put), {})
        writer.put("add", dict(route.edits.add), {})
        writer.put("drop", route.edits.drop)
        writer.close()
    writer.put("rewrite", route.rewrite)
    writer.put("timeout_ms", route.timeout_ms, 0.0)
    writer.put("attempts", route.attempts, 0)
    writer.put("class", route.cls, "")
    writer.close()


def label_of(route: Route) -> str:
    """A route's label in a sidecar file; the prefix is the application that the route leads to."""
    return f"{route.app}.{route.name}" if route.app else route.name


def render_hcl(description: Description, head: Sequence[str] = (), app: str = "") -> str:
    writer = HclWriter()
    for line in head:
        writer.line(f"# {line}")
    writer.open("routes")
    writer.put("app", app, "")
    writer.put("source", description.digest, "")
    writer.put("unchanged", description.unchanged, True)
    writer.close()
    for pool in description.pools:
        writer.line("")
        _pool(writer, pool)
    for route in description.routes:
        writer.line("")
        _route(writer, route)
    return "\n".join(writer.lines) + "\n"


def sidecar_file(app: App, description: Description) -> tuple[str, str]:
    """Name and text of a sidecar's file."""
    head = [
        f"The routes of {app.name}'s sidecar, built by gladegw apps build; change the descriptions instead.",
        f"source {description.digest}",
    ]
    return f"{app.name}.routes.hcl", render_hcl(description, head, app.name)
