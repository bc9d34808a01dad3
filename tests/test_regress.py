"""What the comparison with the journal says of a run, and what makes it fail."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Any

import pytest

sys.path.insert(0, str(Path(__file__).parents[1] / "benchmarks"))
import regress


def entry(score: float, **more: Any) -> dict[str, Any]:
    days = [{"name": "calm", "score": score, "served": 0.8, "served_least": 0.7, **more.pop("day", {})}]
    return {
        "cmd": "real-score",
        "at": ["2026-01-01"],
        "days": days,
        "panel": "x" + regress.RUNS[0].panel,
        "figures": {"real_score": score, "gate": more.pop("gate", 1.0)},
        **more,
    }


@pytest.mark.parametrize(
    ("new", "wrong"),
    [
        (entry(0.78), []),
        (entry(0.76), ["trial: 0.760 after 0.800"]),
        (entry(0.8, gate=0.0), ["trial: gate failed"]),
        (entry(0.8, day={"fault": "two answers"}), ["trial: calm: two answers"]),
        (entry(0.8, error="crashed"), ["trial: crashed"]),
    ],
)
def test_what_fails_a_landing(new: dict[str, Any], wrong: list[str]) -> None:
    assert regress.verdict(regress.RUNS[0], new, [entry(0.9), entry(0.8)]) == wrong


def test_each_day_stands_beside_the_last_figure_and_the_spread_of_the_last_few() -> None:
    found = regress.rows(regress.RUNS[0], entry(0.7), [entry(0.9), entry(0.8)])
    assert [(row["day"], row["figure"], row["last"], row["spread"]) for row in found] == [
        ("calm", 0.7, 0.8, 0.1),
        ("all", 0.7, 0.8, 0.1),
    ]
    assert regress.rows(regress.RUNS[0], entry(0.7), [])[0]["last"] is None


def test_a_run_counts_as_played_only_for_the_program_as_it_stands() -> None:
    head = regress.git("rev-parse", "HEAD").stdout.strip()
    assert regress.unchanged({"head": head}, ["LICENCE-of-nothing"])
    assert not regress.unchanged({"head": head, "dirty": True}, ["LICENCE-of-nothing"])
    assert not regress.unchanged({"head": "0" * 40}, regress.SERVING)
    assert [run.name for run in regress.RUNS if regress.of(run, [entry(0.5)])] == ["trial"]


def test_a_missing_kit_is_said_plainly(monkeypatch: pytest.MonkeyPatch, capsys: Any, tmp_path: Path) -> None:
    monkeypatch.setenv("GLADEGW_KIT", str(tmp_path))
    monkeypatch.setattr(regress, "entries", lambda folder: [])
    assert regress.main(["--why", "x"]) == 2
    assert "no kit" in capsys.readouterr().err
