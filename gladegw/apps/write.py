"""A sidecar's configuration as text: the same description always gives the same bytes."""

from __future__ import annotations

import json
from collections.abc import Iterable, Sequence
from typing import Any

from gladegw.apps.model import App
from gladegw.routing.model import EVERY, Description, Match, Pool, Route, Text


def value(found: Any) -> str:
    """A literal; texts are escaped as JSON escapes them, which HCL reads."""
    if isinstance(found, bool):
        return "true" if found else "false"
    if isinstance(found, int | float):
        return f"{found:g}" if float(f"{found:g}") == found else repr(float(found))
    if isinstance(found, str):
        return json.dumps(found, ensure_ascii=True)
    if isinstance(found, dict):
        return "{ " + ", ".join(f"{json.dumps(key)} = {value(item)}" for key, item in found.items()) + " }"
    return "[" + ", ".join(value(item) for item in found) + "]"


class Lines:
    def __init__(self) -> None:
        self.lines: list[str] = []
        self.depth = 0

    def line(self, text: str) -> None:
        self.lines.append("  " * self.depth + text if text else "")

    def put(self, key: str, found: Any, default: Any = None) -> None:
        if found != default and found is not None and found != ():
            self.line(f"{key} = {value(found)}")

    def open(self, name: str, label: str = "") -> None:
        self.line(f"{name} {json.dumps(label)} {{" if label else f"{name} {{")
        self.depth += 1

    def close(self) -> None:
        self.depth -= 1
        self.line("}")


def _texts(lines: Lines, kind: str, texts: Iterable[Text]) -> None:
    for text in texts:
        lines.open(kind, text.name)
        lines.put(text.kind, True if text.kind == "present" else text.value)
        lines.close()


def _match(lines: Lines, match: Match) -> None:
    lines.put("hosts", match.hosts)
    if match.path.kind == "prefix":
        lines.put("prefix", match.path.value, "")
    else:
        lines.put("path" if match.path.kind == "exact" else "regex", match.path.value)
    lines.put("methods", match.methods)
    lines.put("classes", match.classes)
    lines.put("tenants", match.tenants)
    lines.put("budget_ms", match.budget_ms)
    lines.put("sources", tuple(str(net) for net in match.sources))
    _texts(lines, "header", match.headers)
    _texts(lines, "query", match.query)


def _pool(lines: Lines, pool: Pool) -> None:
    lines.open("pool", pool.name)
    selector = pool.selector
    lines.put("zones", selector.zones)
    lines.put("types", selector.types)
    lines.put("groups", selector.groups)
    lines.put("names", selector.names)
    lines.put("statuses", selector.statuses)
    lines.put("least_weight", selector.least_weight, EVERY.least_weight)
    if pool.local:
        lines.put("local", True)
        lines.put("spill_below", pool.spill_below)
        lines.put("spill_until", pool.spill_until)
    lines.put("remember_s", pool.remember_s, 300.0)
    lines.put("subset", pool.subset, 0)
    lines.put("fallback", pool.fallback)
    lines.close()


def _route(lines: Lines, route: Route) -> None:
    lines.open("route", label_of(route))
    if len(route.matches) == 1:
        _match(lines, route.matches[0])
    else:
        for match in route.matches:
            lines.open("match")
            _match(lines, match)
            lines.close()
    lines.put("pool", route.pool, "")
    if route.split is not None:
        lines.open("split")
        lines.put("by", route.split.by)
        lines.put("weights", dict(route.split.weights))
        lines.close()
    if route.redirect is not None:
        lines.open("redirect")
        lines.put("code", route.redirect.code)
        lines.put("location", route.redirect.location)
        lines.close()
    if route.answer is not None:
        lines.open("answer")
        lines.put("code", route.answer.code)
        lines.put("body", route.answer.body, "")
        lines.put("retry_after", route.answer.retry_after, 0.0)
        lines.close()
    lines.put("fallback", route.fallback)
    if route.mirror is not None:
        lines.open("mirror")
        lines.put("pool", route.mirror.pool)
        lines.put("share", route.mirror.share, 1.0)
        lines.close()
    if route.edits:
        lines.open("edit_headers")
        lines.put("put", dict(route.edits.put), {})
        lines.put("add", dict(route.edits.add), {})
        lines.put("drop", route.edits.drop)
        lines.close()
    lines.put("rewrite", route.rewrite)
    lines.put("timeout_ms", route.timeout_ms, 0.0)
    lines.put("attempts", route.attempts, 0)
    lines.put("class", route.cls, "")
    lines.close()


def label_of(route: Route) -> str:
    """A claimed route's name in a sidecar."""
    return f"{route.app}.{route.name}" if route.app else route.name


def text_of(description: Description, head: Sequence[str] = (), app: str = "") -> str:
    lines = Lines()
    for line in head:
        lines.line(f"# {line}")
    lines.open("routes")
    lines.put("app", app, "")
    lines.put("source", description.digest, "")
    lines.put("unchanged", description.unchanged, True)
    lines.close()
    for pool in description.pools:
        lines.line("")
        _pool(lines, pool)
    for route in description.routes:
        lines.line("")
        _route(lines, route)
    return "\n".join(lines.lines) + "\n"


def file_of(app: App, description: Description) -> tuple[str, str]:
    """A sidecar's file: its name and its text."""
    head = [
        f"The routes of {app.name}'s sidecar, built by gladegw apps build; change the descriptions instead.",
        f"source {description.digest}",
    ]
    return f"{app.name}.routes.hcl", text_of(description, head, app.name)
