"""Parses description files into a Landscape. A fault in one file does not hide faults in the others."""

from __future__ import annotations

import json
from collections.abc import Mapping, Sequence
from dataclasses import replace

from gladegw.apps.model import DEFAULT_ATTEMPTS_OVER_TIERS, App, Landscape, Platform
from gladegw.routing.expect import read_expect
from gladegw.routing.fields import Fields
from gladegw.routing.findings import Finding, Place, RoutingError, nearest
from gladegw.routing.model import ClassRule, Endpoint
from gladegw.routing.read import read_pool, read_route, unique
from gladegw.routing.source import Block, Document, read_source

BLOCKS = ("app", "class", "tenant", "pool", "route", "expect", "platform")
EFFECTS = ("repeatable", "by_key", "once")
DEFAULT_ATTEMPTS = {"repeatable": 3, "by_key": 1, "once": 1}  # by the class's effect


def read_class(block: Block, findings: list[Finding]) -> ClassRule:
    fields = Fields(block, findings)
    effect = fields.text("effect", "repeatable")
    if effect not in EFFECTS:
        fields.wrong("effect", "repeatable, by_key or once")
        effect = "repeatable"
    rule = ClassRule(
        name=block.label,
        worth=fields.number("worth", 1.0, 0.0, 1e9),
        aim_ms=fields.number("aim_ms", 0.0, 1.0, 3_600_000.0),
        timeout_ms=fields.number("timeout_ms", 0.0, 1.0, 3_600_000.0),
        effect=effect,
        attempts=fields.whole("attempts", DEFAULT_ATTEMPTS[effect], 1, 16),
        place=block.place,
    )
    for key in ("aim_ms", "timeout_ms"):
        if not fields.has(key):
            fields.fault("R006", f"{key} is missing")
    if 0 < rule.timeout_ms < rule.aim_ms:
        fields.fault("R304", "timeout_ms is shorter than aim_ms", "timeout_ms")
    if effect == "once" and rule.attempts > 1:
        fields.fault("R301", "a class that must run once permits one attempt", "attempts")
    if not block.label:
        fields.fault("R006", "class needs a name")
    fields.done()
    return rule


def read_app(document: Document, blocks: Sequence[Block], findings: list[Finding]) -> App | None:
    heads = [block for block in blocks if block.name == "app"]
    if not heads:
        findings.append(Finding("R006", Place(document.file, 1), "the file describes no app"))
        return None
    for extra in heads[1:]:
        findings.append(Finding("R004", extra.place, "a second app in one file", heads[0].place))
    head = heads[0]
    fields = Fields(head, findings)
    retries = []
    for name, count in fields.pairs("retries").items():
        if type(count) is not int or not 1 <= count <= 16:
            fields.wrong("retries", "an object of classes and whole numbers from 1 to 16")
            continue
        retries.append((name, count))
    app = App(
        name=head.label,
        owner=fields.text("owner"),
        calls=fields.texts("calls"),
        retries=tuple(sorted(retries)),
        digest=document.digest,
        place=head.place,
        retries_place=head.place_of("retries"),
        calls_place=head.place_of("calls"),
    )
    if not head.label:
        fields.fault("R006", "app needs a name")
    if not app.owner:
        fields.fault("R006", "owner is missing")
    fields.done()
    for block in blocks:
        if block.name == "tenant":
            tenant = Fields(block, findings)
            tenant.number("share", 0.0, 0.0, 1.0)
            tenant.done()
            if not block.label:
                tenant.fault("R006", "tenant needs a name")
    expects = [read_expect(block, findings) for block in blocks if block.name == "expect"]
    return replace(
        app,
        classes=tuple(read_class(block, findings) for block in blocks if block.name == "class"),
        tenants=tuple((block.label, block.place) for block in blocks if block.name == "tenant"),
        pools=tuple(read_pool(block, findings) for block in blocks if block.name == "pool"),
        routes=tuple(read_route(block, findings, app.name) for block in blocks if block.name == "route"),
        expects=tuple(replace(expect, app=expect.app or app.name) for expect in expects),
    )


def read_platform(block: Block, findings: list[Finding]) -> Platform:
    fields = Fields(block, findings)
    platform = Platform(
        attempts_over_tiers=fields.whole("attempts_over_tiers", DEFAULT_ATTEMPTS_OVER_TIERS, 1, 10_000),
        unchanged=fields.truth("unchanged", True),
        place=block.place,
    )
    fields.done()
    return platform


def read_endpoints(text: str, file: str, findings: list[Finding]) -> tuple[Endpoint, ...] | None:
    """Parses an endpoint list in discovery's form; None, with a finding, if it can't be read."""
    try:
        return tuple(Endpoint.of(raw) for raw in json.loads(text)["endpoints"])
    except (ValueError, KeyError, TypeError, AttributeError) as fault:
        line = fault.lineno if isinstance(fault, json.JSONDecodeError) else 1
        findings.append(Finding("R001", Place(file, line), "not a list of endpoints in discovery's form"))
        return None


def read_texts(
    texts: Mapping[str, str], findings: list[Finding], endpoints: tuple[str, str] | None = None
) -> Landscape:
    """Parses descriptions, given as texts by file name. `endpoints` is the endpoint list's name and text."""
    apps: list[App] = []
    platform = Platform()
    platforms: list[Block] = []
    for file in sorted(texts):
        try:
            document = read_source(texts[file], file, findings)
        except RoutingError as fault:
            findings += fault.findings
            continue
        blocks = unique(document.blocks, findings)
        for block in blocks:
            if block.name not in BLOCKS:
                hint = nearest(block.name, BLOCKS)
                findings.append(Finding("R003", block.place, f"unknown block {block.name}", None, hint))
        platform_blocks = [block for block in blocks if block.name == "platform"]
        platforms += platform_blocks
        if platform_blocks and len(blocks) == len(platform_blocks):
            continue
        app = read_app(document, blocks, findings)
        if app is not None:
            apps.append(app)
    for number, block in enumerate(platforms):
        if number:
            findings.append(Finding("R004", block.place, "a second block platform", platforms[0].place))
        else:
            platform = read_platform(block, findings)
    endpoint_list = read_endpoints(endpoints[1], endpoints[0], findings) if endpoints is not None else None
    return Landscape(tuple(apps), platform, endpoint_list)
