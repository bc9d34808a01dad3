"""Experiments: a matrix of variants, scenarios and seeds, run in turn, resumed where they were left.

A file holds one block `experiment`, a block `variant` for each build or settings file that is compared, and
either the scenarios to play or a block `capacity`. Results go to results.jsonl, a line a run, each written
whole before the next run begins; a run that stands there is not played again.
"""

from __future__ import annotations

import hashlib
import os
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import msgspec

from gladegw.rig import scenario as scenarios
from gladegw.rig.errors import RigError, ScenarioError
from gladegw.rig.judging.judge import Verdict, judge_folder
from gladegw.rig.judging.ledger import Sample, read
from gladegw.rig.measures.capacity import CapacitySettings, measure
from gladegw.rig.play import machine, play
from gladegw.rig.scenario import Scenario, checked, read_blocks


class Matrix(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """`experiment "name"`: scenario files (from this file's folder) and seeds."""

    name: str = "experiment"
    scenarios: tuple[str, ...] = ()
    seeds: tuple[int, ...] = (1,)

    def __post_init__(self) -> None:
        if not self.seeds or len(set(self.seeds)) != len(self.seeds):
            raise ValueError("seeds must be different numbers, one at least")


class Variant(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """`variant "name"`: what differs. Unset (empty or 0): as the scenario says."""

    name: str = ""
    features: str = ""
    checkout: str = ""  # of another version of the program, from the folder that the command runs in
    proxies: int = 0
    rate: float = 0.0
    sockets: int = 0

    def __post_init__(self) -> None:
        if not self.name or not self.name.replace("-", "").replace("_", "").isalnum():
            raise ValueError("needs a label of letters, digits, dashes")


class Experiment(msgspec.Struct, frozen=True, kw_only=True):
    matrix: Matrix
    variants: tuple[Variant, ...]
    scenarios: tuple[tuple[str, Scenario], ...]
    capacity: CapacitySettings | None
    digest: str


class Run(msgspec.Struct, frozen=True, kw_only=True):
    """One cell of the matrix."""

    key: str
    variant: Variant
    seed: int
    name: str = ""
    scenario: Scenario | None = None


def load(path: Path) -> Experiment:
    """Raises ScenarioError: file, line and reason."""
    text, blocks = read_blocks(path)
    matrix: Matrix | None = None
    capacity: CapacitySettings | None = None
    variants: list[Variant] = []
    for block in blocks:
        label = {"name": block.label} if block.label else {}
        if block.name == "experiment" and matrix is None:
            matrix = checked(block, text, str(path), Matrix, label)
        elif block.name == "variant":
            variants.append(checked(block, text, str(path), Variant, label))
        elif block.name == "capacity" and capacity is None:
            capacity = checked(block, text, str(path), CapacitySettings, {})
        else:
            raise ScenarioError(f"{path}:{block.line}: unexpected block {block.name}")
        if len({variant.name for variant in variants}) != len(variants):
            raise ScenarioError(f"{path}:{block.line}: variant: {variants[-1].name} stands twice")
    if matrix is None:
        raise ScenarioError(f"{path}:1: no block experiment")
    if (capacity is None) == (not matrix.scenarios):
        raise ScenarioError(f"{path}:1: needs either scenarios or a block capacity")
    digest = hashlib.blake2b(text.encode(), digest_size=8)
    found = []
    for name in matrix.scenarios:
        one = scenarios.read(path.parent / name)
        digest.update(msgspec.json.encode(one))
        found.append((Path(name).stem, one))
    return Experiment(
        matrix=matrix,
        variants=tuple(variants) or (Variant(name="base"),),
        scenarios=tuple(found),
        capacity=capacity,
        digest=digest.hexdigest(),
    )


def varied(scenario: Scenario, variant: Variant, seed: int) -> Scenario:
    replace = msgspec.structs.replace
    proxies: dict[str, Any] = {"features": variant.features, "checkout": variant.checkout}
    proxies |= {"count": variant.proxies, "sockets": variant.sockets}
    return replace(
        scenario,
        run=replace(scenario.run, seed=seed),
        proxies=replace(scenario.proxies, **{name: value for name, value in proxies.items() if value}),
        load=replace(scenario.load, rate=variant.rate) if variant.rate else scenario.load,
    )


def runs(experiment: Experiment) -> Iterator[Run]:
    """In the order of play: the variants of a pair one after the other, which one first by turns."""
    turn = 0
    for seed in experiment.matrix.seeds:
        for name, scenario in experiment.scenarios or (("capacity", None),):
            order = experiment.variants if turn % 2 == 0 else tuple(reversed(experiment.variants))
            turn += 1
            for variant in order:
                key = f"{name}-{variant.name}-{seed}"
                made = varied(scenario, variant, seed) if scenario is not None else None
                yield Run(key=key, variant=variant, seed=seed, name=name, scenario=made)


class Results:
    """The folder of an experiment: what has been played stays played."""

    def __init__(self, folder: Path, digest: str = "") -> None:
        self.path = folder / "results.jsonl"
        self.found: list[dict[str, Any]] = []
        folder.mkdir(parents=True, exist_ok=True)
        mark = folder / "experiment.json"
        if digest and mark.exists() and msgspec.json.decode(mark.read_bytes())["digest"] != digest:
            raise RigError(f"{folder}: holds the results of another experiment; name another folder")
        if digest and not mark.exists():
            mark.write_bytes(msgspec.json.encode({"digest": digest, "machine": machine()}))
        if self.path.exists():
            whole = self.path.read_bytes()
            lines = whole.split(b"\n")
            self.found = [msgspec.json.decode(line) for line in lines[:-1] if line]
            if lines[-1]:  # torn by a kill: that run is played again
                self.path.write_bytes(whole[: len(whole) - len(lines[-1])])
        self.done = {result["key"] for result in self.found}

    def add(self, result: dict[str, Any]) -> None:
        with self.path.open("ab", buffering=0) as file:
            file.write(msgspec.json.encode(result) + b"\n")
            os.fsync(file.fileno())
        self.found.append(result)
        self.done.add(result["key"])


def proxies_used(folder: Path) -> tuple[float, float]:
    """CPU seconds of all proxies over the run, and the most megabytes of one."""
    spans: dict[str, list[Sample]] = {}
    for record in read(folder / "rig.jsonl"):
        if isinstance(record, Sample):
            spans.setdefault(record.who, []).append(record)
    cpu = sum(samples[-1].cpu - samples[0].cpu for samples in spans.values())
    return cpu, max((sample.memory for samples in spans.values() for sample in samples), default=0.0)


def figures_of(run: Run, loaded: dict[str, Any], verdict: Verdict, folder: Path) -> dict[str, Any]:
    cpu, memory = proxies_used(folder)
    refused = loaded["codes"].get("503", 0) + loaded["codes"].get("429", 0)
    return {
        "key": run.key,
        "variant": run.variant.name,
        "scenario": run.name,
        "seed": run.seed,
        "valid": loaded["valid"],
        "served_worth": verdict.served_worth,
        "p50_ms": loaded["latency_ms"]["p50"],
        "p99_ms": loaded["latency_ms"]["p99"],
        "refused": refused / max(1, loaded["sent"]),
        "retries": loaded["tries"] / max(1, loaded["sent"]) - 1,
        "cpu_us": cpu * 1e6 / max(1, loaded["tries"]),
        "memory_mb": memory,
        "broken": len(verdict.breaches),
        "broken_rules": verdict.broken_rules,
    }


async def perform(run: Run, capacity: CapacitySettings | None, folder: Path) -> dict[str, Any]:
    if capacity is not None:
        found = await measure(capacity, run.variant.features, run.variant.checkout)
        return {
            "key": run.key,
            "variant": run.variant.name,
            "scenario": "capacity",
            "seed": run.seed,
            **found,
        }
    assert run.scenario is not None
    where = folder / "runs" / run.key
    loaded = await play(run.scenario, where)
    return figures_of(run, loaded.figures(), judge_folder(where), where)


async def carry_out(
    experiment: Experiment, folder: Path, told: Callable[[int, int, str], None]
) -> list[dict[str, Any]]:
    """Plays what is left; `told` hears how many are done, of how many, and what comes next."""
    results = Results(folder, experiment.digest)
    wanted = list(runs(experiment))
    for place, run in enumerate(wanted):
        told(place, len(wanted), run.key)
        if run.key not in results.done:
            results.add(await perform(run, experiment.capacity, folder))
    told(len(wanted), len(wanted), "")
    return results.found
