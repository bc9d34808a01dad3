"""Routes: the compiled matcher against a plain reference, precedence, cells, and files that are no good."""

from __future__ import annotations

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from gladegw.routing.cells import cells, meet, reach
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
from gladegw.routing.model import Ask, Description, Match, Path, Route, Text
from gladegw.routing.read import read_text
from gladegw.routing.source import read_source

PIECES = st.sampled_from(["a", "b", "ab", "status"])
PATHS = st.lists(PIECES, max_size=3).map(lambda parts: "/" + "/".join(parts))
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
ASKS = st.builds(
    lambda method, path, host, headers, query, budget, tenant: Ask(
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


def matches(entry: Entry, ask: Ask) -> bool:
    """The plain reference: every matcher, one after another."""
    match = entry.match
    return (
        host_holds(entry.host, ask.host)
        and path_holds(match.path, ask.path)
        and (not match.methods or ask.method in match.methods)
        and (not match.classes or ask.cls in match.classes)
        and (not match.tenants or ask.tenant in match.tenants)
        and (match.budget_ms is None or match.budget_ms[0] <= ask.budget_ms < match.budget_ms[1])
        and all(text_holds(text, ask.headers.get(text.name)) for text in match.headers)
        and all(text_holds(text, ask.query.get(text.name)) for text in match.query)
        and (not match.sources or source_holds(match.sources, ask))
    )


@settings(max_examples=150, deadline=None)
@given(DESCRIPTIONS, st.lists(ASKS, min_size=1, max_size=10))
def test_the_matcher_agrees_with_a_plain_reference(description: Description, asks: list[Ask]) -> None:
    table = Table(description)
    for ask in asks:
        wanted = min((e for e in table.entries if matches(e, ask)), key=lambda e: e.order, default=None)
        assert table.find(ask) is wanted
        for entry in table.entries:
            assert bool(refusals(entry, ask)) is not matches(entry, ask)


@settings(max_examples=100, deadline=None)
@given(DESCRIPTIONS, st.lists(ASKS, min_size=1, max_size=5), st.randoms(use_true_random=False))
def test_the_order_of_the_routes_in_the_files_changes_nothing(
    description: Description, asks: list[Ask], shuffled: random.Random
) -> None:
    routes = list(description.routes)
    shuffled.shuffle(routes)
    one, other = Table(description), Table(Description(tuple(routes)))
    for ask in asks:
        first, second = one.find(ask), other.find(ask)
        assert (first and first.route.name) == (second and second.route.name)


@settings(max_examples=80, deadline=None)
@given(DESCRIPTIONS, MATCHES, st.lists(ASKS, min_size=1, max_size=10))
def test_the_cells_of_a_region_hold_every_request_of_it(
    description: Description, region: Match, asks: list[Ask]
) -> None:
    """Each request of a region is taken by one whom some cell names, and a sure cell tells the truth."""
    table = Table(description)
    own = [
        Entry((), Route("region", (region,), pool="p"), region, host, ()) for host in region.hosts or ("",)
    ]
    found = list(cells([table], region))
    winners = {id(won) for cell in found for won in cell.winners()}
    for ask in asks:
        if any(matches(entry, ask) for entry in own):
            assert id(table.find(ask)) in winners
    for cell in found:
        if cell.sure and len(cell.winners()) == 1 and not cell.path.open:
            assert table.find(cell.ask()) is cell.winners()[0]


@settings(max_examples=60, deadline=None)
@given(DESCRIPTIONS, st.lists(ASKS, min_size=1, max_size=20))
def test_a_route_that_takes_a_request_is_not_called_unreached_and_met_routes_meet(
    description: Description, asks: list[Ask]
) -> None:
    table = Table(description)
    for ask in asks:
        won = table.find(ask)
        if won is not None:
            assert reach(table, won)[0] in ("yes", "maybe")
        both = [entry for entry in table.entries if matches(entry, ask)]
        for one in both:
            for other in both:
                assert meet(one, other) is not False


def test_what_is_never_reached_and_what_ties_is_found() -> None:
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
    found = check_table(Table(read_text(text, "f.hcl")))
    told = sorted((finding.code, finding.place.line) for finding in found)
    assert told == [("R101", 14), ("R101", 22), ("R103", 22), ("R104", 17)]


def test_a_route_below_others_that_together_take_all_is_never_reached() -> None:
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
    found = check_table(Table(read_text(text, "f.hcl")))
    assert [(one.code, one.place.line) for one in found] == []  # it is the more specific one
    text = text.replace('classes = ["a"]', "").replace('methods = ["GET"] }', "}")
    found = check_table(Table(read_text(text, "f.hcl")))
    assert found == []  # POST is left to it
    text = text.replace("budget_ms = [100, 80000]", 'budget_ms = [100, 99000]\nclasses = ["b"]')
    found = check_table(Table(read_text(text, "f.hcl")))
    assert [one.code for one in found] == ["R104"]


def test_regular_expressions_take_linear_time_and_little_memory() -> None:
    explosive = ["(a+)+b", "(a|aa)+", "(.*a){12}", "(x+x+)+y"]
    text = 'pool "p" {}\n' + "".join(
        f'route "r{n}" {{\n regex = "/{pattern}"\n pool = "p"\n}}\n' for n, pattern in enumerate(explosive)
    )
    table = Table(read_text(text, "f.hcl"))
    assert table.find(Ask("GET", "/" + "a" * 8000 + "!")) is None
    won = table.find(Ask("GET", "/" + "a" * 8000))
    assert won is not None
    with pytest.raises(RoutingError, match="R008"):
        read_text('route "r" {\n regex = "/((a{100}){100}){100}"\n pool = "p"\n}\npool "p" {}', "f.hcl")


def test_a_path_of_thousands_of_segments_is_cut_to_what_the_table_knows() -> None:
    table = Table(read_text('pool "p" {}\nroute "r" {\n prefix = "/a/b"\n pool = "p"\n}', "f.hcl"))
    (only,) = [table.any_host]
    assert len(list(only.groups("/a" * 10_000))) == 0
    won = table.find(Ask("GET", "/a/b" + "/c" * 10_000))
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
def test_a_file_that_is_cut_or_no_hcl_is_named_with_its_place(text: str, line: int, column: int) -> None:
    with pytest.raises(RoutingError) as caught:
        read_text(text, "f.hcl")
    assert (caught.value.findings[0].place.line, caught.value.findings[0].place.column) == (line, column)


@settings(max_examples=200, deadline=None)
@given(st.integers(0, 400), st.binary(max_size=3))
def test_any_cut_or_changed_file_is_read_or_named(at: int, other: bytes) -> None:
    whole = 'pool "p" { zones = ["a"] }\nroute "r" {\n  path = "/a" # x\n'
    whole += '  header "h" { is = "\\u00e9" }\n  pool = "p"\n}\n'
    changed = whole[:at] + other.decode("latin-1") + whole[at + len(other) :]
    for text in (whole[:at], changed):
        try:
            read_text(text, "f.hcl")
        except RoutingError as fault:
            assert fault.findings[0].place.line >= 1


def test_the_reader_agrees_with_the_settings_parser() -> None:
    from gladegw.net.hcl import blocks_of

    text = 'pool "p" {\n  zones = ["a", "b"]\n  subset = 3\n  local = true\n  spill_below = 0.25\n}\n'
    (mine,) = read_source(text, "f.hcl", []).blocks
    (theirs,) = blocks_of(text)
    assert {key: found.value for key, found in mine.attributes.items()} == theirs.values
    assert (mine.name, mine.label, mine.place.line) == (theirs.name, theirs.label, theirs.line)


def test_five_thousand_routes_are_each_found_and_none_hides_another() -> None:
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
        won = table.find(Ask("GET", f"/a{number % 40}/b{number}/12", f"s{number % 50}.example"))
        assert won is not None and won.route.name == f"r{number}"
        assert len(list(table.any_host.near(f"/a{number % 40}/b{number}/12"))) <= 1
