"""One self-contained page of a run or an experiment: plots as inline SVG, and tables."""

from __future__ import annotations

import html
import io
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import matplotlib

matplotlib.use("svg")

import matplotlib.pyplot as plt
import numpy as np

from gladegw.rig.judging.series import Course

RESAMPLES = 2000
CONFIDENCE = 0.95
STYLE = """
body{font:15px/1.5 system-ui,sans-serif;margin:2rem auto;max-width:70rem;padding:0 1rem;color:#222}
table{border-collapse:collapse;margin:1rem 0}
td,th{padding:.25rem .8rem;border-bottom:1px solid #ddd;text-align:right}
td:first-child,th:first-child{text-align:left}svg{max-width:100%;height:auto}.bad{color:#b00020;font-weight:600}
pre{background:#f5f5f5;padding:.8rem;overflow:auto}
"""


def bootstrap(values: Sequence[float], seed: int = 1) -> tuple[float, float, float]:
    """The median, and the bounds of its bootstrap interval (percentile method)."""
    found = np.asarray(values, dtype=np.float64)
    if len(found) < 2:
        only = float(found[0]) if len(found) else float("nan")
        return only, only, only
    draws = np.random.default_rng(seed)
    medians = np.median(draws.choice(found, (RESAMPLES, len(found))), axis=1)
    tail = (1 - CONFIDENCE) / 2
    return float(np.median(found)), float(np.quantile(medians, tail)), float(np.quantile(medians, 1 - tail))


def plot(courses: dict[str, Course]) -> str:
    """Five plots over one axis of time, a line a run, the faults as bands; as SVG."""
    figure, axes = plt.subplots(5, 1, figsize=(11, 13), sharex=True, constrained_layout=True)
    single = len(courses) == 1
    for name, course in courses.items():
        axes[0].plot(course.times, course.served * 100, label=name)
        (line,) = axes[1].plot(course.times, course.p50, label=f"{name} p50")
        axes[1].plot(course.times, course.p99, linestyle="--", color=line.get_color(), label=f"{name} p99")
        axes[2].plot(course.times, course.refused, label=name)
        axes[3].plot(course.times, course.retries, label=name)
        if single:
            for node, held in course.inflight.items():
                axes[4].plot(course.times, held, linewidth=0.9, label=node)
        else:
            axes[4].plot(course.times, sum(course.inflight.values()), label=name)
    titles = ("worth served, %", "latency, ms", "refusals, 1/s", "retries, 1/s", "in flight by node")
    for place, (axis, title) in enumerate(zip(axes, titles, strict=True)):
        axis.set_ylabel(title if place < 4 or single else "in flight, all nodes")
        axis.grid(alpha=0.25)
        if place == 1:
            axis.set_yscale("log")
        if place != 4 or len(axis.lines) <= 8:
            axis.legend(fontsize=7, loc="upper right")
        for kind, begin, end in next(iter(courses.values())).bands:
            axis.axvspan(begin, max(end, begin + 0.1), alpha=0.08, color="tab:red")
            if place == 0:
                axis.text(begin, axis.get_ylim()[0], f" {kind}", fontsize=7, va="bottom")
    axes[-1].set_xlabel("seconds")
    out = io.StringIO()
    figure.savefig(out, format="svg")
    plt.close(figure)
    text = out.getvalue()
    return text[text.index("<svg") :]


def table(head: Sequence[str], rows: Sequence[Sequence[Any]]) -> str:
    cells = "".join(f"<th>{html.escape(str(cell))}</th>" for cell in head)
    body = "".join(
        "<tr>" + "".join(f"<td>{html.escape(str(cell))}</td>" for cell in row) + "</tr>" for row in rows
    )
    return f"<table><tr>{cells}</tr>{body}</table>"


def page(title: str, parts: Sequence[str]) -> str:
    head = f"<!doctype html><html lang=en><meta charset=utf-8><title>{html.escape(title)}</title>"
    return f"{head}<style>{STYLE}</style><h1>{html.escape(title)}</h1>{''.join(parts)}</html>\n"


def write(path: Path, text: str) -> None:
    part = path.with_name(path.name + ".part")
    part.write_text(text, encoding="utf-8")
    part.replace(path)
