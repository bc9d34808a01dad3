"""A scenario's faults as a script: who is told to do what, and when. Pure; the same seed gives the same
script.

Nodes are named by tier and place (`gateway/3`): whoever stands there at that time. Each step goes to one
party: `fleet` (nodes and discovery), `proxies`, or `load` (bursts and peers, which are part of the
schedule).
"""

from __future__ import annotations

import hashlib
import math
from random import Random

import msgspec

from gladegw.rig.scenario import Fault, Scenario, Tier
from gladegw.rig.traffic.arrivals import Surge
from gladegw.rig.traffic.peers import Rude


class Step(msgspec.Struct, frozen=True, omit_defaults=True):
    """`at` in seconds from the start. `until`, where there is one, is the end of what begins at `at`."""

    at: float
    party: str
    action: str
    target: str = ""
    until: float = 0.0
    size: float = 0.0
    manner: str = ""


OF_PROXIES = ("descriptors", "discovery_move", "cut", "operators_cut")


def place(tier: str, number: int) -> str:
    return f"{tier}/{number}"


def _tier(scenario: Scenario, fault: Fault) -> Tier:
    return next((tier for tier in scenario.tiers if tier.name == fault.tier), scenario.tiers[0])


def _deploy(fault: Fault, tier: Tier, draws: Random) -> list[Step]:
    """Nodes drain and are replaced a few at a time, in a drawn order; successors start cold."""
    order = draws.sample(range(tier.nodes), tier.nodes)[: max(1, round(fault.share * tier.nodes))]
    width = max(1, int(fault.at_once * tier.nodes))
    turns = math.ceil(len(order) / width)
    steps = []
    for turn in range(turns):
        at = fault.at + turn * fault.lasts / turns
        for number in order[turn * width : (turn + 1) * width]:
            target = place(tier.name, number)
            steps.append(Step(at, "fleet", "replace", target, until=at + fault.drain))
    return steps


def _nodes(fault: Fault, tier: Tier, draws: Random) -> list[Step]:
    """Faults of single nodes, by count or by share."""
    places = [n for n in range(tier.nodes) if fault.zone in ("", tier.zones[n % len(tier.zones)])]
    counted = fault.kind not in ("fast_errors", "slow")
    count = min(tier.nodes, fault.count if counted else max(1, round(fault.share * tier.nodes)))
    chosen = places if fault.zone else sorted(draws.sample(places, count))
    until = fault.at + fault.lasts
    if fault.kind == "kill":
        until = fault.at + fault.back if fault.back else 0.0
    size = fault.size if fault.kind in ("slow", "node_late") else fault.fails
    return [
        Step(fault.at, "fleet", fault.kind, place(tier.name, number), until, size, fault.manner)
        for number in chosen
    ]


def _proxies(scenario: Scenario, fault: Fault, draws: Random) -> list[Step]:
    total = scenario.proxies.count
    chosen = sorted(draws.sample(range(total), min(total, fault.count)))
    until = fault.at + (fault.lasts or fault.back) if fault.lasts or fault.back else 0.0
    return [Step(fault.at, "proxies", fault.kind, f"p{n}", until, fault.size, fault.manner) for n in chosen]


def script(scenario: Scenario) -> tuple[Step, ...]:
    """All steps in order of time."""
    steps: list[Step] = []
    for number, fault in enumerate(scenario.faults):
        draws = Random(scenario.run.seed * 1_000_003 + number)
        tier = _tier(scenario, fault)
        until = fault.at + fault.lasts
        if fault.kind == "burst":
            steps.append(Step(fault.at, "load", "burst", "", until, fault.size))
        elif fault.kind == "peers":
            steps.append(Step(fault.at, "load", "peers", "", until, fault.rate, fault.manner))
        elif fault.kind == "flood":
            steps += [
                Step(fault.at, "proxies", "flood", f"p{n}", until, fault.count, fault.manner)
                for n in range(scenario.proxies.count)
            ]
        elif fault.kind == "deploy":
            steps += _deploy(fault, tier, draws)
        elif fault.kind.startswith("discovery_") and fault.kind != "discovery_move":
            steps.append(Step(fault.at, "fleet", fault.kind, "discovery", until, fault.share))
        elif fault.kind.startswith("store_"):
            until = max(until, fault.at + fault.back)
            steps.append(Step(fault.at, "store", fault.kind, "store", until, fault.size, fault.manner))
        elif fault.kind.startswith("proxy_") or fault.kind in OF_PROXIES:
            steps += _proxies(scenario, fault, draws)
        else:
            steps += _nodes(fault, tier, draws)
    return tuple(sorted(steps, key=lambda step: (step.at, step.party, step.action, step.target)))


def digest(steps: tuple[Step, ...]) -> str:
    return hashlib.blake2b(msgspec.json.encode(steps), digest_size=8).hexdigest()


def surges(scenario: Scenario) -> tuple[Surge, ...]:
    return tuple(
        Surge(at=fault.at, lasts=fault.lasts, size=fault.size, edge=fault.edge)
        for fault in scenario.faults
        if fault.kind == "burst"
    )


def rude(scenario: Scenario) -> tuple[Rude, ...]:
    return tuple(
        Rude(manner=fault.manner, at=fault.at, lasts=fault.lasts, rate=fault.rate, seed=scenario.run.seed + n)
        for n, fault in enumerate(scenario.faults)
        if fault.kind == "peers"
    )


def bands(scenario: Scenario) -> list[tuple[str, float, float]]:
    """Name, begin and end of each fault, for plots and for the judge."""
    found = []
    for fault in scenario.faults:
        until = fault.at + max(fault.lasts, fault.back, 0.0)
        if fault.kind == "deploy":
            until += fault.drain
        found.append((fault.kind, fault.at, until))
    return found
