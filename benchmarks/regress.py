"""Plays on the operators' benches what has not been played of this program yet, one run after another, and
compares each day with the journal. Exit codes: 0 all is well, 1 a rule broke, a gate failed, a run crashed or
a figure fell too far, 2 it could not be asked that way."""

from __future__ import annotations

import argparse
import json
import os
import statistics
import subprocess
import sys
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[1]
FALL = 0.03  # of a run's figure below the last one known, that is borne
SPREAD = 5  # last figures of which the spread is shown
# What `run` executes; nothing else can move a figure.
SERVING = (
    "deploy",
    "requirements.txt",
    "gladegw/__init__.py",
    "gladegw/__main__.py",
    "gladegw/balancing",
    "gladegw/limits",
    "gladegw/net",
    "gladegw/operators",
    "gladegw/replay.py",
    "gladegw/simulator_adapter.py",
)
MODULE = ("gladegw/balancing", "gladegw/simulator_adapter.py")


@dataclass(frozen=True)
class Run:
    """`panel` ends the journal's name of the days, which tells the runs apart."""

    name: str
    program: str  # below the kit
    panel: str
    arguments: tuple[str, ...] = ()
    concerns: tuple[str, ...] = SERVING


RUNS = (
    Run(
        "trial", "more/mass/bin/lbreal", ":soak,calm+mass,roll+mass,herd+mass,zone+mass,split+mass,join+mass"
    ),
    Run("operators", "more/ops/bin/lbreal", ":upgrade,bulk+slow+pieces,drain+scrape:quick", ("--quick",)),
    Run(
        "earlier",
        "more/ops/bin/lbreal",
        ":churn,rude+garble+fleet,reload:quick",
        ("--panel", "later", "--quick"),
    ),
    Run("fleet", "more/bin/lbreal", ":disco+vast,zone+vast,join+vast:quick", ("--quick",)),
    Run("simulator", "bin/lbsim", "ba280056", ("--quick",), MODULE),
)


class Unusable(Exception):
    """It can't be played; the message is one line."""


def git(*words: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(("git", *words), cwd=ROOT, capture_output=True, text=True, check=False)


def unchanged(entry: dict[str, Any], paths: Sequence[str]) -> bool:
    """Whether what was played is, in these paths, what stands here now."""
    head = str(entry.get("head") or "")
    if not head or entry.get("dirty"):
        return False
    return git("diff", "--quiet", head, "--", *paths).returncode == 0


def entries(folder: Path) -> list[dict[str, Any]]:
    """The journal's scores, the oldest first; a file that is none is passed over."""
    found = []
    for path in folder.glob("*.json"):
        try:
            entry = json.loads(path.read_text(encoding="utf-8"))
        except ValueError:
            continue
        if isinstance(entry, dict) and entry.get("cmd") in ("real-score", "score") and entry.get("days"):
            found.append(entry)
    return sorted(found, key=lambda entry: str(entry["at"][0]))


def of(run: Run, journal: Iterable[dict[str, Any]]) -> list[dict[str, Any]]:
    return [entry for entry in journal if str(entry.get("panel", "")).endswith(run.panel)]


def figure(entry: dict[str, Any]) -> float:
    told = (entry.get("figures") or {}).get("real_score", entry.get("score"))
    if told is None:
        told = statistics.fmean(day["score"] for day in entry["days"])
    return float(told)


def faults(entry: dict[str, Any]) -> list[str]:
    """What fails a landing whatever the figure."""
    found = [str(entry["error"])] if entry.get("error") else []
    if (entry.get("figures") or {}).get("gate", 1.0) != 1.0:
        found.append("gate failed")
    found += [
        f"{day['name']}: {day.get('fault') or 'rule broken'}"
        for day in entry["days"]
        if day.get("fault") or day.get("sound") is False or day.get("gate")
    ]
    return found


def rows(run: Run, new: dict[str, Any], known: Sequence[dict[str, Any]]) -> list[dict[str, Any]]:
    """A row a day and one for the whole: figure, last known one, and the spread of the last few."""
    before: dict[str, list[float]] = {}
    for entry in known[-SPREAD:]:
        for day in entry["days"]:
            before.setdefault(day["name"], []).append(day["score"])
        before.setdefault("", []).append(figure(entry))
    told = [(day["name"], day["score"], day) for day in new["days"]] + [("", figure(new), {})]
    return [
        {
            "run": run.name,
            "day": name or "all",
            "figure": round(value, 4),
            "last": round(before[name][-1], 4) if name in before else None,
            "spread": round(max(before[name]) - min(before[name]), 4) if name in before else None,
            "served": day.get("served"),
            "wanted": day.get("served_least"),
        }
        for name, value, day in told
    ]


def verdict(run: Run, new: dict[str, Any], known: Sequence[dict[str, Any]]) -> list[str]:
    found = [f"{run.name}: {reason}" for reason in faults(new)]
    if known and figure(new) < figure(known[-1]) - FALL:
        found.append(f"{run.name}: {figure(new):.3f} after {figure(known[-1]):.3f}")
    return found


def kit() -> tuple[Path, Path]:
    folder = Path(os.environ.get("GLADEGW_KIT", ROOT.parent / "given" / "kit"))
    sites = sorted((folder / "sites").glob("*.toml"))
    if len(sites) != 1:
        raise Unusable(f"{folder}: no kit with one site file there; GLADEGW_KIT names its folder")
    return folder, sites[0]


def play(run: Run, why: str) -> None:
    folder, site = kit()
    program = folder / run.program
    if not program.exists():
        raise Unusable(f"{program}: no such program")
    print(f"playing {run.name} ...", file=sys.stderr, flush=True)
    subprocess.run(
        (program, "score", os.path.relpath(site, ROOT), *run.arguments, "--why", why),
        cwd=ROOT,
        stdout=sys.stderr,
        check=False,
    )


def show(told: Sequence[dict[str, Any]]) -> None:
    for row in told:
        cells = [row[name] for name in ("run", "day", "figure", "last", "spread", "served", "wanted")]
        print("".join(f"{cell:<20.4f}" if isinstance(cell, float) else f"{cell or '':<20}" for cell in cells))


def main(arguments: Sequence[str]) -> int:
    parser = argparse.ArgumentParser(prog="regress.sh", description=__doc__)
    parser.add_argument("--why", metavar="TEXT", help="a sentence under 120 characters that names the change")
    parser.add_argument(
        "--only",
        metavar="RUN",
        action="append",
        choices=[run.name for run in RUNS],
        help="this run alone (again for more): " + ", ".join(run.name for run in RUNS),
    )
    parser.add_argument("--dry-run", action="store_true", help="play nothing: tell what is missing")
    parser.add_argument("--json", action="store_true", help="print one object")
    asked = parser.parse_args(arguments)
    if not (asked.dry_run or (asked.why and len(asked.why) < 120)):
        parser.error("--why must be a sentence under 120 characters")
    told: list[dict[str, Any]] = []
    wrong: list[str] = []
    missing: list[str] = []
    for run in RUNS:
        if asked.only and run.name not in asked.only:
            continue
        known = of(run, entries(ROOT / "journal"))
        played = bool(known) and unchanged(known[-1], run.concerns)
        if not played and asked.dry_run:
            missing.append(run.name)
            continue
        if not played:
            try:
                play(run, asked.why)
            except (Unusable, OSError) as fault:
                print(f"regress: {fault}", file=sys.stderr)
                return 2
            now = of(run, entries(ROOT / "journal"))
            if len(now) == len(known):
                wrong.append(f"{run.name}: it left no entry in the journal")
                continue
            known = now
        told += rows(run, known[-1], known[:-1])
        wrong += verdict(run, known[-1], known[:-1])
    if asked.json:
        print(json.dumps({"rows": told, "wrong": wrong, "missing": missing}))
    else:
        show(
            (
                {
                    "run": "run",
                    "day": "day",
                    "figure": "figure",
                    "last": "last",
                    "spread": "spread",
                    "served": "served",
                    "wanted": "wanted",
                },
                *told,
            )
        )
        for line in (*(f"not played yet: {name}" for name in missing), *wrong):
            print(line)
    return 1 if wrong else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
