"""Application descriptions: findings of invalid ones, valid ones without findings, and the built sidecars."""

# ruff: noqa: E501 - one case a line

from __future__ import annotations

import json
import random
import re
from pathlib import Path
from typing import Any

import pytest

from gladegw.apps.check import check
from gladegw.apps.layout import format_hcl
from gladegw.apps.read import read_texts
from gladegw.apps.sidecar import difference, explain, parse_request, sidecar
from gladegw.apps.write import render_hcl, sidecar_file
from gladegw.cli import run
from gladegw.routing.findings import CODES, Finding
from gladegw.routing.matcher import Table
from gladegw.routing.model import Description
from gladegw.routing.read import describe, read_text
from gladegw.routing.source import read_source

EXAMPLE = Path(__file__).parents[2] / "examples" / "malabar"
FRONT = """app "front" {
  owner   = "a"
  calls   = ["shop"]
  retries = { stock = 2 }
}
tenant "acme" {}
class "stock" {
  worth      = 1
  aim_ms     = 200
  timeout_ms = 1000
  attempts   = 2
}
class "order" {
  worth      = 5
  aim_ms     = 500
  timeout_ms = 4000
  effect     = "by_key"
}
class "pay" {
  worth      = 9
  aim_ms     = 500
  timeout_ms = 5000
  effect     = "once"
}
"""
SHOP = """app "shop" {
  owner = "b"
  calls = ["store"]
}
pool "shop" { zones = ["a", "b"] }
pool "spare" { zones = ["b"] }
route "stock" {
  host       = "shop.example"
  prefix     = "/stock"
  pool       = "shop"
  fallback   = ["spare"]
  timeout_ms = 900
}
route "order" {
  host   = "shop.example"
  prefix = "/order"
  pool   = "shop"
}
"""
STORE = """app "store" {
  owner = "c"
}
pool "store" { names = ["st-*"] }
route "stock" {
  host       = "store.example"
  prefix     = "/stock"
  pool       = "store"
  timeout_ms = 800
}
"""
ENDPOINTS = json.dumps(
    {
        "endpoints": [
            {"name": "sh-1", "zone": "a"},
            {"name": "st-1", "zone": "b"},
        ]
    }
)
BASE = {"front.hcl": FRONT, "shop.hcl": SHOP, "store.hcl": STORE}

# Code of the expected finding, file of the valid set to change, text to replace, and its replacement. An `@` in
# the replacement marks the line of the finding; without it, neither line nor file of the finding are checked.
SHOP_ORDER = '  prefix = "/order"\n'
BROKEN: list[tuple[str, str, str, str]] = [
    # files that are not valid HCL
    ("R001", "shop.hcl", 'owner = "b"', '@owner = "b'),
    ("R001", "shop.hcl", 'owner = "b"', "@owner = b"),
    ("R001", "shop.hcl", 'owner = "b"', "@owner ="),
    ("R001", "shop.hcl", 'owner = "b"', '@owner = "b" calls = []'),
    ("R001", "store.hcl", "  timeout_ms = 800\n}\n", "  timeout_ms = 800\n@"),
    ("R001", "store.hcl", 'app "store"', '@app ? "store"'),
    ("R001", "shop.hcl", 'zones = ["a", "b"]', '@zones = ["a" "b"]'),
    # keys and blocks
    ("R002", "shop.hcl", 'owner = "b"', 'owner = "b"\n@  ownr = "b"'),
    ("R002", "shop.hcl", "  timeout_ms = 900", "@  timeout = 900"),
    ("R002", "shop.hcl", 'pool "spare" { zones', '@pool "spare" { zone'),
    ("R002", "front.hcl", "  attempts   = 2", "@  atempts   = 2"),
    ("R002", "shop.hcl", SHOP_ORDER, '@  path_prefix = "/order"\n  path = "/order"\n'),
    ("R003", "shop.hcl", 'pool "spare"', '@poool "x" {}\npool "spare"'),
    ("R003", "shop.hcl", SHOP_ORDER, SHOP_ORDER + '@  headr "x" { is = "1" }\n'),
    ("R004", "shop.hcl", 'pool "spare"', 'pool "x" {}\n@pool "x" {}\npool "spare"'),
    (
        "R004",
        "shop.hcl",
        'route "order"',
        'route "a" { pool = "shop" }\n@route "a" { pool = "shop" }\nroute "order"',
    ),
    ("R004", "front.hcl", "  worth      = 1", "  worth      = 1\n@  worth = 2"),
    ("R004", "shop.hcl", 'app "shop"', 'app "x" { owner = "y" }\n@app "shop"'),
    ("R004", "shop.hcl", SHOP_ORDER, SHOP_ORDER + '  header "x" { is = "1" }\n@  header "X" { is = "2" }\n'),
    ("R004", "shop.hcl", SHOP_ORDER, SHOP_ORDER + '@  methods = ["GET", "GET"]\n'),
    ("R004", "front.hcl", "retries = { stock = 2 }", "@retries = { stock = 2, stock = 1 }"),
    # values
    ("R005", "shop.hcl", "  timeout_ms = 900", '@  timeout_ms = "900"'),
    ("R005", "shop.hcl", "  timeout_ms = 900", "@  timeout_ms = -1"),
    ("R005", "shop.hcl", 'zones = ["a", "b"]', '@zones = "a"'),
    ("R005", "shop.hcl", 'zones = ["a", "b"]', "@subset = 0"),
    ("R005", "shop.hcl", 'zones = ["a", "b"]', '@statuses = ["ready"]'),
    ("R005", "front.hcl", "  attempts   = 2", "@  attempts   = 2.5"),
    ("R005", "front.hcl", '  effect     = "once"', '@  effect = "twice"'),
    ("R005", "shop.hcl", SHOP_ORDER, SHOP_ORDER + "@  budget_ms = [500, 100]\n"),
    ("R005", "front.hcl", "retries = { stock = 2 }", "@retries = { stock = 99 }"),
    ("R005", "shop.hcl", 'route "order"', '@route "Order"'),
    ("R005", "shop.hcl", 'zones = ["a", "b"]', "local = true\n  spill_below = 0.9\n@  spill_until = 0.2"),
    # missing keys, names and blocks
    ("R006", "shop.hcl", '  owner = "b"\n', ""),
    ("R006", "front.hcl", "  aim_ms     = 200\n", ""),
    ("R006", "store.hcl", '  pool       = "store"\n', ""),
    ("R006", "shop.hcl", 'route "order"', "@route"),
    ("R006", "store.hcl", 'app "store" {\n  owner = "c"\n}', "@"),
    ("R006", "shop.hcl", '  pool   = "shop"\n}', "  redirect { code = 302 }\n}"),
    # settings that exclude each other
    ("R007", "shop.hcl", SHOP_ORDER, SHOP_ORDER + '@  path = "/order"\n'),
    ("R007", "shop.hcl", SHOP_ORDER, SHOP_ORDER + "  answer { code = 503 }\n"),
    ("R007", "shop.hcl", SHOP_ORDER, SHOP_ORDER + '  match { path = "/order/1" }\n'),
    ("R007", "shop.hcl", SHOP_ORDER, SHOP_ORDER + '@  hosts = ["shop.example"]\n'),
    ("R007", "shop.hcl", SHOP_ORDER, SHOP_ORDER + '@  edit_headers { drop = ["X-Call-Id"] }\n'),
    ("R007", "shop.hcl", 'zones = ["a", "b"]', "@spill_below = 0.5"),
    # patterns
    ("R008", "shop.hcl", SHOP_ORDER, '@  regex = "/order/("\n'),
    ("R008", "shop.hcl", SHOP_ORDER, '@  regex = "/((order{99}){99}){99}"\n'),
    ("R008", "shop.hcl", SHOP_ORDER, '@  prefix = "order"\n'),
    ("R008", "shop.hcl", SHOP_ORDER, '@  path = "/order?x=1"\n'),
    ("R008", "store.hcl", 'host       = "store.example"', '@host = "*.*.example"'),
    ("R008", "shop.hcl", SHOP_ORDER, SHOP_ORDER + '@  sources = ["10.0.0.1/8"]\n'),
    ("R008", "shop.hcl", SHOP_ORDER, SHOP_ORDER + '@  method = "get"\n'),
    # routes that conflict with other routes
    (
        "R101",
        "shop.hcl",
        'route "order" {',
        'route "z" {\n  host = "shop.example"\n  prefix = "/order"\n  pool = "shop"\n}\nroute "order" {',
    ),
    (
        "R101",
        "shop.hcl",
        SHOP_ORDER,
        SHOP_ORDER
        + '  header "a" { is = "1" }\n  pool = "shop"\n}\nroute "z" {\n  host = "shop.example"\n  prefix = "/order"\n  header "b" { present = true }\n',
    ),
    ("R102", "store.hcl", 'host       = "store.example"', 'host       = "shop.example"'),
    ("R102", "store.hcl", '  host       = "store.example"\n', ""),
    (
        "R102",
        "store.hcl",
        'host       = "store.example"\n  prefix     = "/stock"',
        'host       = "*.example"\n  path     = "/stock/1"',
    ),
    (
        "R102",
        "store.hcl",
        'host       = "store.example"\n  prefix     = "/stock"',
        'host       = "shop.example"\n  class = "stock"\n  regex     = "/st.*"',
    ),
    (
        "R103",
        "shop.hcl",
        SHOP_ORDER,
        SHOP_ORDER
        + '  pool = "shop"\n}\n@route "z" {\n  host = "shop.example"\n  path = "/order"\n  pool = "shop"\n}\nroute "y" {\n  host = "shop.example"\n  path = "/order"\n',
    ),
    ("R104", "shop.hcl", SHOP_ORDER, SHOP_ORDER + '  classes = ["stock"]\n'),
    # unknown and colliding names
    ("R201", "shop.hcl", 'fallback   = ["spare"]', 'fallback   = ["spar"]'),
    (
        "R201",
        "shop.hcl",
        SHOP_ORDER + '  pool   = "shop"',
        SHOP_ORDER + "  split { weights = { shop = 1, shp = 1 } }",
    ),
    ("R201", "shop.hcl", 'pool "spare" { zones = ["b"] }', '@pool "spare" { fallback = ["nowhere"] }'),
    ("R202", "shop.hcl", SHOP_ORDER, '  prefix = "/ordr"\n'),
    ("R202", "shop.hcl", SHOP_ORDER, SHOP_ORDER + '  class = "ordr"\n'),
    ("R202", "front.hcl", "retries = { stock = 2 }", "@retries = { stok = 2 }"),
    ("R203", "shop.hcl", SHOP_ORDER, SHOP_ORDER + '  tenants = ["acmee"]\n'),
    ("R204", "front.hcl", 'calls   = ["shop"]', '@calls   = ["shp"]'),
    ("R205", "store.hcl", 'pool "store"', '@pool "spare" { names = ["st-*"] }\npool "store"'),
    ("R205", "store.hcl", 'pool "store"', '@tenant "acme" {}\npool "store"'),
    ("R205", "store.hcl", 'app "store"', '@app "shop"'),
    ("R205", "store.hcl", 'pool "store"', '@class "pay" {\n  aim_ms = 1\n  timeout_ms = 2\n}\npool "store"'),
    # attempts and timeouts
    ("R301", "front.hcl", "retries = { stock = 2 }", "@retries = { order = 2 }"),
    ("R301", "front.hcl", "retries = { stock = 2 }", "@retries = { stock = 3 }"),
    ("R301", "shop.hcl", SHOP_ORDER, SHOP_ORDER + "  attempts = 2\n"),
    ("R301", "front.hcl", '  effect     = "once"', '  effect     = "once"\n@  attempts = 2'),
    ("R302", "front.hcl", 'app "front"', 'platform { attempts_over_tiers = 3 }\n@app "front"'),
    ("R303", "shop.hcl", "  timeout_ms = 900", "  timeout_ms = 1001"),
    ("R303", "store.hcl", "  timeout_ms = 800", "  timeout_ms = 950"),
    ("R304", "store.hcl", "  timeout_ms = 800", "  timeout_ms = 100"),
    ("R304", "front.hcl", "  timeout_ms = 1000", "@  timeout_ms = 100"),
    # splits, mirrors, cycles, selectors, rewrites and unused pools
    (
        "R401",
        "shop.hcl",
        SHOP_ORDER + '  pool   = "shop"',
        SHOP_ORDER + "@  split { weights = { shop = 0, spare = 0 } }",
    ),
    ("R402", "shop.hcl", SHOP_ORDER, SHOP_ORDER + '  mirror { pool = "spare" }\n'),
    (
        "R403",
        "shop.hcl",
        'pool "shop" { zones = ["a", "b"] }\npool "spare" { zones = ["b"] }',
        '@pool "shop" { fallback = ["spare"] }\npool "spare" { fallback = ["shop"] }',
    ),
    ("R403", "shop.hcl", 'pool "spare" { zones = ["b"] }', '@pool "spare" { fallback = ["spare"] }'),
    ("R404", "store.hcl", '  owner = "c"', '  owner = "c"\n  calls = ["shop"]'),
    ("R404", "store.hcl", '  owner = "c"', '  owner = "c"\n@  calls = ["store"]'),
    ("R405", "store.hcl", 'names = ["st-*"]', 'names = ["sx-*"]'),
    ("R405", "shop.hcl", 'pool "spare" { zones = ["b"] }', '@pool "spare" { zones = ["c"] }'),
    ("R406", "shop.hcl", SHOP_ORDER, SHOP_ORDER + '  rewrite = "/o"\n'),
    ("R407", "shop.hcl", 'pool "spare"', '@pool "idle" {}\npool "spare"'),
    # expectations
    ("R501", "shop.hcl", 'pool "spare"', '@expect "x" { goes_to = pool "shop" }\npool "spare"'),
    ("R501", "shop.hcl", 'pool "spare"', '@expect "x" {\n  request { path = "/stock" }\n}\npool "spare"'),
    (
        "R501",
        "shop.hcl",
        'pool "spare"',
        'expect "x" {\n  request { path = "/stock" }\n@  goes_to = server "shop"\n}\npool "spare"',
    ),
    (
        "R204",
        "shop.hcl",
        'pool "spare"',
        '@expect "x" {\n  app = "nobody"\n  request { path = "/stock" }\n  refused = true\n}\npool "spare"',
    ),
]


def findings_of(files: dict[str, str], endpoints: str = ENDPOINTS) -> list[Finding]:
    findings: list[Finding] = []
    landscape = read_texts(files, findings, ("endpoints.json", endpoints))
    if not any(finding.code == "R001" for finding in findings):
        findings += check(landscape)
    return findings


def replace_text(file: str, old: str, new: str) -> tuple[dict[str, str], int | None]:
    assert old in BASE[file], (file, old)
    text = BASE[file].replace(old, new, 1)
    line = text[: text.index("@")].count("\n") + 1 if "@" in new else None
    return {**BASE, file: text.replace("@", "", 1) if line else text}, line


@pytest.mark.parametrize("code, file, old, new", BROKEN)
def test_each_broken_description_is_rejected_with_its_code_and_line(
    code: str, file: str, old: str, new: str
) -> None:
    files, line = replace_text(file, old, new)
    findings = findings_of(files)
    locations = [(finding.code, finding.place.file, finding.place.line) for finding in findings]
    assert code in CODES and code in {finding.code for finding in findings}, locations
    if line is not None:
        assert (code, file, line) in locations, locations
    for finding in findings:
        assert 1 <= finding.place.line <= files.get(finding.place.file, "").count("\n") + 2
        assert finding.place.column >= 1 and finding.message


def test_the_broken_descriptions_cover_every_code() -> None:
    assert len(BROKEN) >= 60
    assert {code for code, *_ in BROKEN} == set(CODES)


ROUTE = '  host = "shop.example"\n  prefix = "/order"\n'
VALID = [
    ("shop.hcl", "", ""),
    ("shop.hcl", SHOP_ORDER, SHOP_ORDER + '  methods = ["POST"]\n'),
    ("shop.hcl", SHOP_ORDER, '  regex = "/order/[0-9]+"\n  class = "order"\n'),
    ("shop.hcl", SHOP_ORDER, SHOP_ORDER + '  header "x" { is = "1" }\n  query "q" { regex = "a+" }\n'),
    ("shop.hcl", SHOP_ORDER, '  match { path = "/order" }\n  match { path = "/order/1" }\n'),
    (
        "shop.hcl",
        'pool "shop" { zones = ["a", "b"] }',
        'pool "shop" {\n  local = true\n  spill_below = 0.4\n  subset = 30\n}',
    ),
    (
        "shop.hcl",
        SHOP_ORDER + '  pool   = "shop"',
        SHOP_ORDER + '  split {\n  by = "tenant"\n  weights = { shop = 9, spare = 1 }\n}',
    ),
    ("shop.hcl", "  timeout_ms = 900", '  timeout_ms = 900\n  attempts = 1\n  mirror { pool = "spare" }'),
    (
        "shop.hcl",
        'route "order"',
        'route "soon" {\n' + ROUTE + '  budget_ms = [0, 100]\n  answer { code = 429 }\n}\nroute "order"',
    ),
    (
        "shop.hcl",
        'route "order"',
        'route "acme" {\n' + ROUTE + '  tenant = "acme"\n  pool = "spare"\n}\nroute "order"',
    ),
    (
        "shop.hcl",
        'route "order"',
        'route "x" {\n  path = "/old"\n  redirect { location = "/order{query}" }\n}\nroute "order"',
    ),
    ("shop.hcl", SHOP_ORDER, SHOP_ORDER + '  edit_headers { put = { "x-a" = "b" } }\n'),
    ("shop.hcl", SHOP_ORDER, SHOP_ORDER + '  sources = ["10.0.0.0/8", "fd00::/8"]\n'),
    ("shop.hcl", 'owner = "b"', 'owner = "b" // who\n  # a comment\n  /* and\n one more */'),
    (
        "shop.hcl",
        'pool "spare" { zones = ["b"] }',
        'pool "spare" { fallback = ["last"] }\npool "last" { types = ["t"] }',
    ),
    ("store.hcl", 'host       = "store.example"', 'host       = "*.store.example"'),
    ("store.hcl", "  timeout_ms = 800", ""),
    ("front.hcl", "retries = { stock = 2 }", "retries = { stock = 1, order = 1, pay = 1 }"),
    ("front.hcl", 'tenant "acme" {}', 'tenant "acme" { share = 0.5 }\nplatform { attempts_over_tiers = 4 }'),
    (
        "front.hcl",
        'tenant "acme" {}',
        'tenant "acme" {}\nexpect "e" {\n  all { host = "shop.example" }\n  never = pool "store"\n}',
    ),
    (
        "shop.hcl",
        'route "order"',
        'route "get" {\n'
        + ROUTE
        + '  methods = ["GET"]\n  classes = ["order"]\n  answer { code = 403 }\n}\nroute "order"',
    ),
]


@pytest.mark.parametrize("file, old, new", VALID)
def test_a_valid_description_has_no_findings(file: str, old: str, new: str) -> None:
    files, _ = replace_text(file, old, new)
    endpoints = json.loads(ENDPOINTS)
    endpoints["endpoints"].append({"name": "x", "zone": "c", "type": "t"})
    assert [str(finding) for finding in findings_of(files, json.dumps(endpoints))] == []


def test_faults_in_several_files_are_found_in_one_run() -> None:
    files = {
        "front.hcl": FRONT.replace("retries = { stock = 2 }", "retries = { stock = 9 }"),
        "shop.hcl": SHOP.replace('fallback   = ["spare"]', 'fallback   = ["spear"]'),
        "store.hcl": STORE.replace("owner =", "ownr ="),
    }
    findings = findings_of(files)
    assert {"R301", "R201", "R407", "R002", "R006"} <= {finding.code for finding in findings}
    hints = {finding.code: finding.hint for finding in findings if finding.hint}
    assert hints["R201"] == "did you mean spare?" and hints["R002"] == "did you mean owner?"
    (attempts_finding,) = [finding for finding in findings if finding.code == "R301"]
    assert attempts_finding.other is not None and attempts_finding.other.file == "front.hcl"


def build_sidecars(files: dict[str, str]) -> dict[str, tuple[Description, str]]:
    landscape = read_texts(files, [])
    sidecars = {}
    for app in landscape.apps:
        description = sidecar(app, landscape)
        sidecars[app.name] = (description, sidecar_file(app, description)[1])
    return sidecars


def test_built_files_are_the_same_in_any_input_order_and_read_back_unchanged() -> None:
    first_build = build_sidecars(BASE)
    names = list(BASE)
    random.Random(3).shuffle(names)
    assert {app: text for app, (_, text) in build_sidecars({n: BASE[n] for n in names}).items()} == {
        app: text for app, (_, text) in first_build.items()
    }
    for description, text in first_build.values():
        reread = read_text(text, "built.hcl")
        assert reread.pools == description.pools
        expected = [
            (f"{route.app}.{route.name}", route.matches, route.attempts) for route in description.routes
        ]
        assert sorted(expected) == sorted((r.name, r.matches, r.attempts) for r in reread.routes)
        assert render_hcl(reread) == render_hcl(reread)
    front = {str(route): route for route in first_build["front"][0].routes}
    assert set(front) == {"shop/stock", "shop/order"}
    assert (front["shop/stock"].attempts, front["shop/order"].attempts) == (2, 1)


def test_the_example_is_valid_and_formatted_and_its_sidecars_are_up_to_date() -> None:
    texts = {path.name: path.read_text() for path in sorted((EXAMPLE / "apps").glob("*.hcl"))}
    assert findings_of(texts, json.dumps({"endpoints": [{"name": "n"}]})) == []
    assert all(format_hcl(text) == text for text in texts.values())
    for app, (_, text) in build_sidecars(texts).items():
        assert (EXAMPLE / "sidecars" / f"{app}.routes.hcl").read_text() == text


def test_formatting_changes_only_white_space_and_is_stable() -> None:
    for text in [*BASE.values(), 'a "b" {\n\n\n  x=1 # c\n long_name = [ "a" ,"b"]\n\n}\n/* c\n d */\n']:
        formatted = format_hcl(text)
        assert format_hcl(formatted) == formatted
        assert re.sub(r"\s", "", formatted) == re.sub(r"\s", "", text)
        blocks = read_source(formatted, "f", []).blocks
        assert [b.name for b in blocks] == [b.name for b in read_source(text, "f", []).blocks]


def test_a_difference_names_added_removed_and_moved_requests() -> None:
    new = {
        **BASE,
        "shop.hcl": SHOP.replace(
            'prefix = "/order"\n  pool   = "shop"', 'prefix = "/order"\n  pool   = "spare"'
        ),
    }
    old_routes, new_routes = build_sidecars(BASE)["front"][0], build_sidecars(new)["front"][0]
    change = difference("front", old_routes, new_routes)
    assert (change.added, change.removed, change.changed) == ((), (), ("shop/order",))
    ((request, old_target, new_target),) = change.moved
    ask = parse_request(request)
    assert 'pool "shop"' in old_target and 'pool "spare"' in new_target
    old_entry, new_entry = Table(old_routes).find(ask), Table(new_routes).find(ask)
    assert old_entry is not None and new_entry is not None
    assert (old_entry.route.pool, new_entry.route.pool) == ("shop", "spare")
    assert not difference("store", build_sidecars(BASE)["store"][0], build_sidecars(new)["store"][0])


def test_an_explanation_gives_the_reason_against_each_other_route() -> None:
    explanation = explain(
        build_sidecars(BASE)["front"][0], parse_request("GET /stock/7 host:shop.example x-caller:acme")
    )
    assert explanation.route == "shop/stock"
    assert [(name, why) for name, _, _, why in explanation.why_not] == [
        ("shop/order", ("path /stock/7 is not prefix /order",))
    ]


def write_folder(tmp_path: Path, files: dict[str, str]) -> str:
    for name, text in files.items():
        (tmp_path / name).write_text(text)
    return str(tmp_path)


def test_the_commands_keep_their_output_forms_and_exit_codes(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    def run_command(*arguments: str) -> tuple[int, Any]:
        code = run(list(arguments))
        text = capsys.readouterr().out
        return code, json.loads(text) if "--json" in arguments or "--sarif" in arguments else text

    directory = write_folder(tmp_path, BASE)
    assert run_command("apps", "check", directory, "--json") == (0, {"findings": []})
    out = str(tmp_path / "out")
    assert run_command("apps", "build", directory, "--out", out, "--json")[1]["changed"] == [
        "front.routes.hcl",
        "shop.routes.hcl",
        "store.routes.hcl",
    ]
    assert run_command("apps", "build", directory, "--out", out, "--json")[1]["changed"] == []
    (tmp_path / "shop.hcl").write_text(SHOP + "@")
    code, output = run_command("apps", "check", directory, "--json")
    assert code == 1 and set(output["findings"][0]) >= {"code", "file", "line", "message", "other"}
    code, output = run_command("apps", "check", directory, "--sarif")
    assert code == 1 and output["runs"][0]["results"][0]["ruleId"] == "R001"
    assert run(["apps", "build", directory, "--out", out]) == 2 and "shop.hcl:" in capsys.readouterr().err
    assert run(["apps", "check", str(tmp_path / "none")]) == 2
    assert "no such folder" in capsys.readouterr().err


# Text of SHOP to replace, its replacement, and the indexes in EXPECTS of the expectations that then fail.
MISROUTES = [
    ('  fallback   = ["spare"]\n', "", set()),
    ('prefix     = "/stock"\n  pool       = "shop"', 'prefix     = "/stock"\n  pool       = "spare"', {0, 4}),
    ('prefix     = "/stock"', 'prefix     = "/stok"', {0, 3, 4}),
    (SHOP_ORDER, SHOP_ORDER + '  header "x-old" { is = "1" }\n', {1, 6}),
    (
        '  pool   = "shop"\n}',
        '  pool   = "shop"\n}\nroute "x" {\n  host = "shop.example"\n  prefix = "/order/7"\n  answer { code = 403 }\n}',
        {1, 6},
    ),
    ("  timeout_ms = 900", "  timeout_ms = 700", {3}),
    ('host       = "shop.example"', 'host       = "sh.example"', {0, 3, 4}),
    ('  pool   = "shop"\n}', "  split { weights = { shop = 8, spare = 2 } }\n}", {1, 6}),
    (
        '  pool   = "shop"\n}',
        '  pool   = "shop"\n}\nroute "x" {\n  host = "shop.example"\n  prefix = "/stock"\n  budget_ms = [0, 10]\n  pool = "spare"\n}',
        {4, 5},
    ),
    (
        '  pool   = "shop"\n}',
        '  pool   = "shop"\n}\nroute "x" {\n  prefix = "/pay"\n  pool = "spare"\n}',
        {2},
    ),
    (
        '  pool   = "shop"\n}',
        '  pool   = "shop"\n}\nroute "x" {\n  host = "shop.example"\n  prefix = "/stock"\n  header "x-trial" { present = true }\n  pool = "shop"\n  timeout_ms = 900\n}',
        {5},
    ),
]
EXPECTS = """
expect "stock" {
  request { host = "shop.example"
            path = "/stock/1" }
  goes_to = pool "shop"
}
expect "order" {
  request { host = "shop.example"
            method = "POST"
            path = "/order/7" }
  goes_to = pool "shop"
}
expect "pay" {
  request { path = "/pay" }
  refused = true
}
expect "time" {
  request { host = "shop.example"
            path = "/stock" }
  timeout_ms = 900
}
expect "every stock" {
  all { host = "shop.example"
        prefix = "/stock" }
  goes_to = pool "shop"
}
expect "one route" {
  all { host = "shop.example"
        prefix = "/stock"
        header "x-trial" { is = "1" } }
  never = route "x"
}
expect "never half" {
  all { host = "shop.example"
        prefix = "/order" }
  split = { shop = 1 }
}
"""


@pytest.mark.parametrize("old, new, failing", MISROUTES)
def test_each_misroute_fails_its_expectations_with_their_lines(
    old: str, new: str, failing: set[int], tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    assert old in SHOP
    files = {**BASE, "shop.hcl": SHOP.replace(old, new, 1), "front.hcl": FRONT + EXPECTS}
    directory = write_folder(tmp_path, files)
    code = run(["routes", "test", directory, "--json"])
    failures = json.loads(capsys.readouterr().out)["failed"]
    lines = (FRONT + EXPECTS).splitlines()
    expected_lines = [
        n for n, line in enumerate(lines, 1) if re.match(r"  (goes_to|refused|timeout_ms|never|split) ", line)
    ]
    expected_lines = expected_lines[-7:]
    assert {failure["line"] for failure in failures} == {expected_lines[index] for index in failing}
    assert code == (1 if failing else 0)
    assert all(failure["got"] and failure["file"].endswith("front.hcl") for failure in failures)


@pytest.mark.parametrize(
    "want, region, why",
    [
        ('goes_to = pool "nowhere"', 'path = "/stock"', "no route can ever satisfy this"),
        ("answers = 418", 'path = "/stock"', "no route can ever satisfy this"),
        ('goes_to = pool "shop"\n  refused = true', 'path = "/stock"', "its wants exclude each other"),
    ],
)
def test_an_expectation_that_no_route_can_satisfy_is_reported_as_such(
    want: str, region: str, why: str
) -> None:
    from gladegw.routing.expect import decide_all, read_expect

    text = SHOP.replace('app "shop" {\n  owner = "b"\n  calls = ["store"]\n}', "")
    text += f'expect "x" {{\n  request {{\n    host = "shop.example"\n    {region}\n  }}\n  {want}\n}}\n'
    findings: list[Finding] = []
    document = read_source(text, "f.hcl", findings)
    description = describe([document], findings, ("expect",))
    expects = [read_expect(block, findings) for block in document.blocks if block.name == "expect"]
    assert findings == []
    failures = decide_all(Table(description), expects).failures
    assert failures and all(one.impossible and why in one.got for one in failures)
    empty = f'expect "x" {{\n  all {{\n    classes = ["order"]\n    prefix = "/stock"\n  }}\n  {want}\n}}\n'
    (block,) = read_source(empty, "f.hcl", []).blocks
    (first, *_) = decide_all(Table(description), [read_expect(block, [])]).failures
    assert first.impossible and "exclude each other" in first.got
