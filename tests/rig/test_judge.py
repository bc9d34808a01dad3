"""The judge finds each planted breach, and none in a run that kept the rules."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

import msgspec
import pytest

from gladegw.rig.judging import ledger
from gladegw.rig.judging.judge import RULES, Judge, Verdict
from gladegw.rig.judging.ledger import (
    Called,
    FaultBand,
    Life,
    Origin,
    PeerSeen,
    ProxyEvent,
    Record,
    Run,
    Sample,
    Told,
    Try,
)
from gladegw.rig.nodes.model import Kind
from gladegw.rig.scenario import Class, Scenario, Tier

SCENARIO = Scenario(
    classes=(
        Class(name="safe"),
        Class(name="keyed", effect="by_key"),
        Class(name="single", effect="once"),
    ),
    tiers=(Tier(),),
    kinds=(Kind(),),
)


@dataclass
class Books:
    """A run that kept every rule; a test plants its breach in it."""

    tries: dict[str, Try] = field(default_factory=dict)
    runs: dict[str, Run] = field(default_factory=dict)
    more: list[Record] = field(default_factory=list)

    def call(self, id: str, first: int, cls: str, at: float, key: str = "") -> None:
        self.tries[id] = Try(
            id, first, 0, cls, "a", "p0", at, 1.0, key, at, at + 0.2, "answer", 200, first + 7
        )
        self.runs[id] = Run(
            id, "n1", "gateway", cls, at + 0.01, at + 0.01, key, at + 0.01, at + 0.19, "ok", 200, first + 7
        )

    def verdict(self) -> Verdict:
        return Judge(SCENARIO, [*self.tries.values(), *self.runs.values(), *self.more]).verdict()


def good() -> Books:
    books = Books(
        more=[Origin(100.0, 0.0), ProxyEvent("p0", 99.0, "started"), ProxyEvent("p0", 99.5, "ready")]
    )
    for number, cls in enumerate(("safe", "keyed", "single", "safe", "keyed")):
        books.call(f"c{number}", number, cls, 101.0 + number, f"k{number}" if cls == "keyed" else "")
    return books


def lose(books: Books) -> None:
    books.tries["c0"].how, books.tries["c0"].code = "closed", 0


def late(books: Books) -> None:
    books.tries["c0"].ended = 102.2


def silent(books: Books) -> None:
    books.tries["c0"].how, books.tries["c0"].code = "timeout", 0


def invent(books: Books) -> None:
    books.tries["c0"].crc = 99


def unseen(books: Books) -> None:
    del books.runs["c0"]


def stray(books: Books) -> None:
    books.more.append(Run("never-sent", "n1", "gateway", "safe", 103.0, 103.0))


def often(books: Books) -> None:
    for number in range(5):
        books.more.append(Run("c0", "n2", "gateway", "safe", 101.1 + number / 100, 101.1, ended=101.2))


def twice(books: Books) -> None:
    books.more.append(Run("c2", "n2", "gateway", "single", 103.1, 103.1, began=103.1, ended=103.2))


def key_twice(books: Books) -> None:
    books.tries["c1b"] = Try("c1b", 1, 1, "keyed", "a", "p0", 103.0, 1.0, "k1", 103.0, 103.2, "answer", 503)
    books.more.append(Run("c1b", "n2", "gateway", "keyed", 103.1, 103.1, "k1", 103.1, 103.2, "ok", 200))


def drained(books: Books) -> None:
    books.more.append(Told("p0", "n1", 104.0 - 0.6, "Terminating"))


def gone_after_drain(books: Books) -> None:
    """The half second counts from the first word, not from the last."""
    books.more += [Told("p0", "n1", 103.4, "Terminating"), Told("p0", "n1", 103.9, "Gone")]


def pushed(books: Books) -> None:
    books.more.append(Life("n1", "gateway", 102.0, "fell", "fell"))


def ignored(books: Books) -> None:
    books.more.append(PeerSeen("silent", "p0", 102.0, 105.5, "silence"))


def dragged(books: Books) -> None:
    books.more.append(PeerSeen("drip", "p0", 102.0, 105.2, "closed"))


def unanswered(books: Books) -> None:
    books.more.append(Called("p0", 102.0, 103.2, "SUCCESS"))


def hung_up_on(books: Books) -> None:
    books.more.append(Called("p0", 102.0, 102.1, "closed"))


def crash(books: Books) -> None:
    books.more.append(ProxyEvent("p0", 103.0, "crashed", 1))


def grow(books: Books) -> None:
    books.more += [Sample("p0", 100.0 + at, memory=30.0 + max(0, at - 40)) for at in range(80)]


BREACHES: list[tuple[str, Callable[[Books], None]]] = [
    ("one-answer", lose),
    ("in-time", late),
    ("in-time", silent),
    ("made-by-node", invent),
    ("made-by-node", unseen),
    ("own-request", stray),
    ("attempts", often),
    ("repeat", twice),
    ("repeat", key_twice),
    ("drain", drained),
    ("drain", gone_after_drain),
    ("cold", pushed),
    ("manners", ignored),
    ("manners", dragged),
    ("operators", unanswered),
    ("operators", hung_up_on),
    ("crash", crash),
    ("memory", grow),
]


def test_a_run_that_kept_the_rules_has_no_breach() -> None:
    verdict = good().verdict()
    assert verdict.broken_rules == [] and verdict.requests == 5 and verdict.served_worth == 1.0


@pytest.mark.parametrize(("rule", "plant"), BREACHES, ids=[plant.__name__ for _, plant in BREACHES])
def test_each_planted_breach_is_found_and_told(rule: str, plant: Callable[[Books], None]) -> None:
    books = good()
    plant(books)
    verdict = books.verdict()
    assert verdict.broken_rules == [rule]
    breach = verdict.breaches[0]
    assert breach.reason and breach.subject
    if breach.subject in books.tries:
        assert any(breach.subject in line for line in breach.story)


def test_every_rule_has_its_planted_breach() -> None:
    assert {rule for rule, _ in BREACHES} | {"store"} == set(RULES)  # that one: test_scenario_store.py


def kill(books: Books) -> None:
    books.more += [ProxyEvent("p0", 101.1, "kill"), ProxyEvent("p0", 101.1, "ended", -9)]


def stop(books: Books) -> None:
    books.more += [ProxyEvent("p0", 101.1, "stop"), ProxyEvent("p0", 104.0, "cont")]


def anew(books: Books) -> None:
    books.more += [ProxyEvent("p0", 103.5, "kill"), ProxyEvent("p0", 103.9, "started")]


def ready_again(books: Books) -> None:
    books.more.append(Told("p0", "n1", 103.6, "Ready", 5))


def held_back(books: Books) -> None:
    """The link to the node: what it got was sent before."""
    books.runs = {id: msgspec.structs.replace(run, node="gateway-1-4") for id, run in books.runs.items()}
    books.more = [
        msgspec.structs.replace(one, node="gateway-1-4") if isinstance(one, Told) else one
        for one in books.more
    ]
    books.more.append(FaultBand("node_cut", 103.0, 104.0, "gateway/1"))


def no_way_in(books: Books) -> None:
    books.more.append(FaultBand("operators_cut", 101.0, 103.1, "p0"))


def term(books: Books) -> None:
    books.more.append(ProxyEvent("p0", 101.9, "term"))


@pytest.mark.parametrize(
    ("plant", "excuse"),
    [
        (lose, kill),
        (silent, stop),
        (late, stop),
        (drained, anew),
        (drained, ready_again),
        (drained, held_back),
        (unanswered, no_way_in),
        (hung_up_on, term),
    ],
)
def test_what_a_fault_took_from_a_proxy_is_no_breach(
    plant: Callable[[Books], None], excuse: Callable[[Books], None]
) -> None:
    books = good()
    plant(books)
    excuse(books)
    assert books.verdict().broken_rules == []


def test_a_torn_last_line_is_passed_over_and_a_bad_one_named(tmp_path: Path) -> None:
    path = tmp_path / "one.jsonl"
    book = ledger.Ledger(path)
    for record in good().more:
        book.put(record)
    book.close()
    whole = path.read_bytes()
    path.write_bytes(whole + b'{"kind":"try","id')
    assert len(list(ledger.read(path))) == 3
    path.write_bytes(b"{}\n" + whole)
    with pytest.raises(ValueError, match=r"one\.jsonl:1: "):
        list(ledger.read(path))
