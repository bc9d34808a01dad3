"""Routes: the compiled table against a reference matcher, precedence, cells, checks and malformed files."""

from __future__ import annotations

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from gladegw.routing.cells import can_both_match, cells, reachability
from gladegw.routing.checks import check_table
from gladegw.routing.findings import RoutingError
from gladegw.routing.matcher import (
    Entry,
    Table,
    host_holds,
    path_holds,
    refusals,
    source_holds,
    text_holds,
)
from gladegw.routing.model import Description, Match, Path, RequestView, Route, Text
from gladegw.routing.read import read_text
from gladegw.routing.source import read_source

SEGMENTS = st.sampled_from(["a", "b", "ab", "status"])
PATHS = st.lists(SEGMENTS, max_size=3).map(lambda parts: "/" + "/".join(parts))
HOSTS = st.sampled_from(["x.example", "y.x.example", "z.y.x.example", "example", "other"])
HOST_PATTERNS = st.sampled_from(["", "x.example", "*.x.example", "*.example", "*.y.x.example"])
VALUES = st.sampled_from(["1", "2", "12"])
TEXTS = st.builds(Text, st.sampled_from(["p", "q"]), st.sampled_from(["is", "present", "regex"]), VALUES)
PATH_MATCHES = st.one_of(
    PATHS.map(lambda path: Path("prefix", path.rstrip("/"))),
    PATHS.map(lambda path: Path("exact", path)),
    st.sampled_from(["/a/.*", "/(a|b)", "/.+/ab", "/a+b?"]).map(lambda text: Path("regex", text)),
)


def unique(texts: list[Text]) -> tuple[Text, ...]:
    return tuple({text.name: text for text in texts}.values())


MATCHES = st.builds(
    Match,
    path=PATH_MATCHES,
    hosts=st.lists(HOST_PATTERNS.filter(bool), max_size=2, unique=True).map(tuple),
    methods=st.sampled_from([(), ("GET",), ("GET", "POST")]),
    headers=st.lists(TEXTS, max_size=2).map(unique),
    query=st.lists(TEXTS, max_size=1).map(unique),
    classes=st.sampled_from([(), ("a",), ("a", "status")]),
    tenants=st.sampled_from([(), ("dash",), ("cabs", "dash")]),
    budget_ms=st.sampled_from([None, (0.0, 500.0), (200.0, 1000.0)]),
)
DESCRIPTIONS = st.lists(st.lists(MATCHES, min_size=1, max_size=2), max_size=8).map(
    lambda found: Description(
        tuple(Route(f"r{n}", tuple(matches), pool=f"p{n}") for n, matches in enumerate(found))
    )
)
REQUESTS = st.builds(
    lambda method, path, host, headers, query, budget, tenant: RequestView(
        method,
        path + ("?" + "&".join(f"{k}={v}" for k, v in query.items()) if query else ""),
        host,
        [(name.encode(), value.encode()) for name, value in headers.items()],
        budget,
        tenant,
    ),
    st.sampled_from(["GET", "POST"]),
    PATHS,
    HOSTS,
    st.dictionaries(st.sampled_from(["p", "q"]), VALUES, max_size=2),
    st.dictionaries(st.sampled_from(["p", "q"]), VALUES, max_size=2),
    st.sampled_from([0.0, 199.0, 200.0, 700.0, 5000.0]),
    st.sampled_from(["", "dash", "cabs", "routes"]),
)


def matches(entry: Entry, request: RequestView) -> bool:
    """Reference matcher: evaluates each condition in turn."""
    match = entry.match
    return (
        host_holds(entry.host, request.host)
        and path_holds(match.path, request.path)
        and (not match.methods or request.method in match.methods)
        and (not match.classes or request.cls in match.classes)
        and (not match.tenants or request.tenant in match.tenants)
        and (match.budget_ms is None or match.budget_ms[0] <= request.budget_ms < match.budget_ms[1])
        and all(text_holds(text, request.headers.get(text.name)) for text in match.headers)
        and all(text_holds(text, request.query.get(text.name)) for text in match.query)
        and (not match.sources or source_holds(match.sources, request))
    )


@settings(max_examples=150, deadline=None)
@given(DESCRIPTIONS, st.lists(REQUESTS, min_size=1, max_size=10))
def test_the_table_agrees_with_the_reference_matcher(
    description: Description, requests: list[RequestView]
) -> None:
    table = Table(description)
    for request in requests:
        expected = min((e for e in table.entries if matches(e, request)), key=lambda e: e.order, default=None)
        assert table.find(request) is expected
        for entry in table.entries:
            assert bool(refusals(entry, request)) is not matches(entry, request)


@settings(max_examples=100, deadline=None)
@given(DESCRIPTIONS, st.lists(REQUESTS, min_size=1, max_size=5), st.randoms(use_true_random=False))
def test_the_order_of_the_routes_does_not_matter(
    description: Description, requests: list[RequestView], shuffled: random.Random
) -> None:
    routes = list(description.routes)
    shuffled.shuffle(routes)
    table, shuffled_table = Table(description), Table(Description(tuple(routes)))
    for request in requests:
        entry, shuffled_entry = table.find(request), shuffled_table.find(request)
        assert (entry and entry.route.name) == (shuffled_entry and shuffled_entry.route.name)


@settings(max_examples=80, deadline=None)
@given(DESCRIPTIONS, MATCHES, st.lists(REQUESTS, min_size=1, max_size=10))
def test_the_cells_of_a_region_cover_each_of_its_requests(
    description: Description, region: Match, requests: list[RequestView]
) -> None:
    """Some cell names the winner of each request of the region, and a sure cell with one winner is right."""
    table = Table(description)
    region_entries = [
        Entry((), Route("region", (region,), pool="p"), region, host, ()) for host in region.hosts or ("",)
    ]
    region_cells = list(cells([table], region))
    winners = {id(won) for cell in region_cells for won in cell.winners()}
    for request in requests:
        if any(matches(entry, request) for entry in region_entries):
            assert id(table.find(request)) in winners
    for cell in region_cells:
        if cell.sure and len(cell.winners()) == 1 and not cell.path.open:
            assert table.find(cell.example()) is cell.winners()[0]


@settings(max_examples=60, deadline=None)
@given(DESCRIPTIONS, st.lists(REQUESTS, min_size=1, max_size=20))
def test_a_route_that_takes_a_request_counts_as_reached_and_routes_that_both_match_as_overlapping(
    description: Description, requests: list[RequestView]
) -> None:
    table = Table(description)
    for request in requests:
        won = table.find(request)
        if won is not None:
            assert reachability(table, won)[0] in ("yes", "maybe")
        matching = [entry for entry in table.entries if matches(entry, request)]
        for one in matching:
            for other in matching:
                assert can_both_match(one, other) is not False


def test_unreached_routes_and_ties_are_reported() -> None:
    text = """
    pool "p" {}
    route "wide"   { prefix = "/a"
                     pool = "p" }
    route "get"    { prefix = "/a"
                     methods = ["GET"]
                     pool = "p" }
    route "post"   { prefix = "/a"
                     methods = ["POST"]
                     pool = "p" }
    route "dash"   { prefix = "/b"
                     header "x" { is = "1" }
                     pool = "p" }
    route "cabs"   { prefix = "/b"
                     header "y" { present = true }
                     pool = "p" }
    route "none"   { prefix = "/b"
                     classes = ["a"]
                     pool = "p" }
    route "all-1"  { path = "/c"
                     pool = "p" }
    route "hidden" { path = "/c"
                     match { path = "/c" } }
    """.replace('match { path = "/c" }', 'pool = "p"')
    findings = check_table(Table(read_text(text, "f.hcl")))
    reported = sorted((finding.code, finding.place.line) for finding in findings)
    assert reported == [("R101", 14), ("R101", 22), ("R103", 22), ("R104", 17)]


def test_a_route_is_unreached_only_if_no_request_is_left_to_it() -> None:
    text = """
    pool "p" {}
    route "soon"  { prefix = "/a"
                    budget_ms = [0, 500]
                    methods = ["GET"]
                    pool = "p" }
    route "later" { prefix = "/a"
                    budget_ms = [500, 90000]
                    methods = ["GET"]
                    pool = "p" }
    route "rest"  { prefix = "/a"
                    budget_ms = [100, 80000]
                    pool = "p"
                    classes = ["a"]
                    methods = ["GET"] }
    """
    findings = check_table(Table(read_text(text, "f.hcl")))
    # "rest" names a class, so it is the most specific one.
    assert [(finding.code, finding.place.line) for finding in findings] == []
    text = text.replace('classes = ["a"]', "").replace('methods = ["GET"] }', "}")
    findings = check_table(Table(read_text(text, "f.hcl")))
    assert findings == []  # "rest" takes the POST requests
    text = text.replace("budget_ms = [100, 80000]", 'budget_ms = [100, 99000]\nclasses = ["b"]')
    findings = check_table(Table(read_text(text, "f.hcl")))
    assert [finding.code for finding in findings] == ["R104"]


def test_regular_expressions_take_linear_time_and_little_memory() -> None:
    explosive = ["(a+)+b", "(a|aa)+", "(.*a){12}", "(x+x+)+y"]
    text = 'pool "p" {}\n' + "".join(
        f'route "r{n}" {{\n regex = "/{pattern}"\n pool = "p"\n}}\n' for n, pattern in enumerate(explosive)
    )
    table = Table(read_text(text, "f.hcl"))
    assert table.find(RequestView("GET", "/" + "a" * 8000 + "!")) is None
    won = table.find(RequestView("GET", "/" + "a" * 8000))
    assert won is not None
    with pytest.raises(RoutingError, match="R008"):
        read_text('route "r" {\n regex = "/((a{100}){100}){100}"\n pool = "p"\n}\npool "p" {}', "f.hcl")


def test_a_path_of_thousands_of_segments_is_truncated_to_the_depth_of_the_table() -> None:
    table = Table(read_text('pool "p" {}\nroute "r" {\n prefix = "/a/b"\n pool = "p"\n}', "f.hcl"))
    (index,) = [table.any_host]
    assert len(list(index.groups("/a" * 10_000))) == 0
    won = table.find(RequestView("GET", "/a/b" + "/c" * 10_000))
    assert won is not None and won.route.name == "r"


@pytest.mark.parametrize(
    "text, line, column",
    [
        ('route "a" {', 1, 12),
        ('route "a" {\n  path = \n}', 2, 10),
        ('route "a" {\n  path = "/a\n}', 2, 10),
        ("route 'a' {}", 1, 7),
        ('route "a" {\n  path = "/a" pool = "b"\n}', 2, 15),
        ("x = 1", 1, 1),
        ("}", 1, 1),
    ],
)
def test_a_truncated_or_malformed_file_is_reported_with_line_and_column(
    text: str, line: int, column: int
) -> None:
    with pytest.raises(RoutingError) as caught:
        read_text(text, "f.hcl")
    assert (caught.value.findings[0].place.line, caught.value.findings[0].place.column) == (line, column)


@settings(max_examples=200, deadline=None)
@given(st.integers(0, 400), st.binary(max_size=3))
def test_any_truncated_or_changed_file_is_read_or_reported(position: int, inserted: bytes) -> None:
    whole = 'pool "p" { zones = ["a"] }\nroute "r" {\n  path = "/a" # x\n'
    whole += '  header "h" { is = "\\u00e9" }\n  pool = "p"\n}\n'
    changed = whole[:position] + inserted.decode("latin-1") + whole[position + len(inserted) :]
    for text in (whole[:position], changed):
        try:
            read_text(text, "f.hcl")
        except RoutingError as fault:
            assert fault.findings[0].place.line >= 1


def test_the_route_parser_agrees_with_the_settings_parser() -> None:
    from gladegw.net.hcl import blocks_of

    text = 'pool "p" {\n  zones = ["a", "b"]\n  subset = 3\n  local = true\n  spill_below = 0.25\n}\n'
    (route_block,) = read_source(text, "f.hcl", []).blocks
    (settings_block,) = blocks_of(text)
    assert {
        key: attribute.value for key, attribute in route_block.attributes.items()
    } == settings_block.values
    assert (route_block.name, route_block.label, route_block.place.line) == (
        settings_block.name,
        settings_block.label,
        settings_block.line,
    )


def test_each_of_five_thousand_routes_is_found_and_reached() -> None:
    text = ['pool "p" {}']
    for number in range(5000):
        host = f'  host = "s{number % 50}.example"\n' if number % 2 else ""
        kind = "regex" if number % 5 == 0 else "prefix"
        tail = "/[0-9]+" if kind == "regex" else ""
        match = f'{kind} = "/a{number % 40}/b{number}{tail}"'
        text.append(f'route "r{number}" {{\n{host}  {match}\n  pool = "p"\n}}')
    table = Table(read_text("\n".join(text), "f.hcl"))
    assert check_table(table) == []
    for number in range(0, 5000, 7):
        won = table.find(RequestView("GET", f"/a{number % 40}/b{number}/12", f"s{number % 50}.example"))
        assert won is not None and won.route.name == f"r{number}"
        assert len(list(table.any_host.regex_candidates(f"/a{number % 40}/b{number}/12"))) <= 1
