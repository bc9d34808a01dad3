"""The pages: what a run shows, and what an experiment shows."""

from __future__ import annotations

import html
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Any

from gladegw.rig.judging.series import course
from gladegw.rig.measures import report


def run_page(title: str, folder: Path, figures: Mapping[str, Any], verdict: str) -> str:
    rows = [(name, value) for name, value in figures.items()]
    return report.page(
        title,
        [
            report.table(("figure", "value"), rows),
            f"<pre>{html.escape(verdict)}</pre>",
            report.plot({"run": course(folder)}),
        ],
    )


FIGURES = ("served_worth", "p50_ms", "p99_ms", "refused", "retries", "cpu_us", "memory_mb", "broken")


def medians(results: Sequence[Mapping[str, Any]]) -> list[tuple[str, ...]]:
    """A row for each scenario and variant: medians over the seeds with their bootstrap intervals."""
    groups: dict[tuple[str, str], list[Mapping[str, Any]]] = {}
    for result in results:
        groups.setdefault((result["scenario"], result["variant"]), []).append(result)
    rows = []
    for (scenario, variant), found in sorted(groups.items()):
        cells = []
        for name in FIGURES:
            middle, low, high = report.bootstrap([float(result[name]) for result in found])
            cells.append(f"{middle:.4g} ({low:.4g} to {high:.4g})" if len(found) > 1 else f"{middle:.4g}")
        rows.append((scenario, variant, str(len(found)), *cells))
    return rows


HEAD = ("scenario", "variant", "runs", *FIGURES)


def differences(results: Sequence[Mapping[str, Any]]) -> list[tuple[str, ...]]:
    """For paired experiments: each variant less the first one, by scenario and seed."""
    names = list(dict.fromkeys(result["variant"] for result in results))
    rows: list[tuple[str, ...]] = []
    by_key = {(result["scenario"], result["seed"], result["variant"]): result for result in results}
    for other in names[1:]:
        for scenario in sorted({result["scenario"] for result in results}):
            pairs = [
                (by_key[scenario, seed, names[0]], by_key[scenario, seed, other])
                for seed in sorted({result["seed"] for result in results})
                if (scenario, seed, names[0]) in by_key and (scenario, seed, other) in by_key
            ]
            if not pairs:
                continue
            cells = []
            for name in FIGURES:
                middle, low, high = report.bootstrap([float(b[name]) - float(a[name]) for a, b in pairs])
                cells.append(f"{middle:+.4g} ({low:+.4g} to {high:+.4g})")
            rows.append((scenario, f"{other} less {names[0]}", str(len(pairs)), *cells))
    return rows


def experiment_page(title: str, folder: Path, results: Sequence[Mapping[str, Any]]) -> str:
    parts = [report.table(HEAD, medians(results))]
    if rows := differences(results):
        parts += ["<h2>Paired differences</h2>", report.table(HEAD, rows)]
    for scenario in sorted({result["scenario"] for result in results}):
        seed = min(result["seed"] for result in results if result["scenario"] == scenario)
        courses = {
            result["variant"]: course(folder / "runs" / result["key"])
            for result in results
            if result["scenario"] == scenario and result["seed"] == seed
        }
        parts += [f"<h2>{html.escape(scenario)}, seed {seed}</h2>", report.plot(courses)]
    return report.page(title, parts)


def as_text(rows: Sequence[Sequence[str]], head: Sequence[str]) -> str:
    widths = [max(len(str(row[place])) for row in (head, *rows)) for place in range(len(head))]
    lines = [
        "  ".join(str(cell).ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip()
        for row in (head, *rows)
    ]
    return "\n".join(lines)
