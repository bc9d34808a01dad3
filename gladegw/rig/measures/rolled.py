"""One self-contained page of a rollout: its stages, and how the figures that were judged went."""

from __future__ import annotations

import io
import math
from collections.abc import Sequence
from typing import Any

import matplotlib.pyplot as plt

from gladegw.coordination.records import RolloutRecord, TimelinePointRecord
from gladegw.rig.measures import report

SMOOTHED = 5  # windows of which a rate and its interval are told
Z = 1.96  # of a normal distribution: 95 %
MOST_LINES = 8  # of one plot: those that moved most


def wilson(bad: int, of: int) -> tuple[float, float, float]:
    """A rate and its interval (E. Wilson, J. Am. Stat. Assoc. 22, 1927); nan without requests."""
    if not of:
        return math.nan, math.nan, math.nan
    rate, z = bad / of, Z * Z / of
    middle, half = (rate + z / 2) / (1 + z), Z / (1 + z) * math.sqrt(rate * (1 - rate) / of + z / of / 4)
    return rate, max(0.0, middle - half), min(1.0, middle + half)


def rates(points: Sequence[TimelinePointRecord], side: str, figure: str) -> list[tuple[float, float, float]]:
    """Over the last windows of the same stage, at each point, in percent."""
    found = []
    for place, point in enumerate(points):
        window = [
            getattr(one, side).rates.get(figure, (0, 0))
            for one in points[: place + 1][-SMOOTHED:]
            if one.stage == point.stage
        ]
        told = wilson(sum(bad for bad, _ in window), sum(of for _, of in window))
        found.append((100 * told[0], 100 * told[1], 100 * told[2]))
    return found


def plots(record: RolloutRecord, points: Sequence[TimelinePointRecord]) -> str:
    times = [point.at for point in points]
    shown = sorted(
        {
            figure
            for point in points
            for figure in (*point.new.rates, *point.others.rates)
            if any(
                one.new.rates.get(figure, (0, 0))[0] or one.others.rates.get(figure, (0, 0))[0]
                for one in points
            )
        }
    )[:MOST_LINES]
    levels = sorted({name for point in points for name in point.new.levels})[:MOST_LINES]
    figure, axes = plt.subplots(
        1 + len(shown) + len(levels),
        1,
        sharex=True,
        squeeze=False,
        constrained_layout=True,
        figsize=(11, 3 + 1.8 * (len(shown) + len(levels))),
    )
    top, *rest = (row[0] for row in axes)
    names = sorted({name for point in points for name in point.log_e})
    strongest = sorted(names, key=lambda one: -max(point.log_e.get(one, 0.0) for point in points))
    for name in strongest[:MOST_LINES]:
        top.plot(times, [point.log_e.get(name, math.nan) for point in points], label=name, linewidth=1)
    bound = math.log(max(1, len(names)) / record.limits.alpha)
    top.axhline(bound, color="tab:red", linestyle="--", linewidth=1, label="worse")
    top.set_ylabel("evidence, log e")
    top.legend(fontsize=7, loc="upper left")
    for axis, name in zip(rest, (*shown, *levels), strict=True):
        for side, colour in (("new", "tab:orange"), ("others", "tab:blue")):
            if name in shown:
                told = rates(points, side, name)
                axis.plot(times, [one for one, _, _ in told], color=colour, label=side)
                axis.fill_between(
                    times,
                    [low for _, low, _ in told],
                    [high for _, _, high in told],
                    color=colour,
                    alpha=0.15,
                )
            else:
                values = [getattr(point, side).levels.get(name, math.nan) for point in points]
                axis.plot(times, values, color=colour, label=side)
        axis.set_ylabel(f"{name}, %" if name in shown else name)
        axis.legend(fontsize=7, loc="upper left")
    begins = {point.stage: point.at - point.baked_s for point in reversed(points)}
    for axis in (top, *rest):
        axis.grid(alpha=0.25)
        for begin in begins.values():
            axis.axvline(begin, color="grey", linewidth=0.8)
    (rest or [top])[-1].set_xlabel("seconds since its begin")
    out = io.StringIO()
    figure.savefig(out, format="svg")
    plt.close(figure)
    text = out.getvalue()
    return text[text.index("<svg") :]


def stages(record: RolloutRecord, points: Sequence[TimelinePointRecord]) -> list[tuple[Any, ...]]:
    rows: list[tuple[Any, ...]] = []
    for number, names in enumerate(record.stages):
        mine = [point for point in points if point.stage == number]
        if number > record.stage:
            rows.append((number + 1, " ".join(names), "not begun", "", "", ""))
            continue
        asked = sum(of for point in mine for name, (_, of) in point.new.rates.items() if name[:6] == "failed")
        peaks = {name: value for point in mine for name, value in point.log_e.items()}
        for point in mine:
            for name, value in point.log_e.items():
                peaks[name] = max(peaks[name], value)
        worst = max(peaks, key=lambda name: peaks[name], default="")
        passed = number < record.stage or record.phase in ("done", "finishing")
        rows.append(
            (
                number + 1,
                " ".join(names),
                "not worse" if passed else record.phase,
                f"{mine[-1].baked_s:.0f} s" if mine else "",
                asked,
                f"{worst}, {peaks[worst]:.2f}" if worst else "",
            )
        )
    return rows


HEAD = ("stage", "members", "came to", "baked", "requests", "most evidence, log e")


def page(record: RolloutRecord, points: Sequence[TimelinePointRecord]) -> str:
    """`points` in their order; without any there is no plot."""
    facts = [
        ("state", record.phase),
        ("because", record.reason),
        ("from", record.old),
        ("to", record.new),
        ("kind", record.kind or "bundle"),
        ("who", record.who),
        ("why", record.why),
        ("lasted", f"{record.ended_at - record.at:.0f} s" if record.ended_at else "under way"),
    ]
    told = [(name, value) for name, value in facts if value]
    shown = plots(record, points) if points else "<p>No window was judged.</p>"
    return report.page(
        f"Rollout {record.id}",
        [
            report.table(("", ""), told),
            report.table(HEAD, stages(record, points)),
            shown,
        ],
    )
