"""A proxy's configuration file as the platform would write it, for a scenario's deployment."""

from __future__ import annotations

from typing import Any

from gladegw.rig.scenario import Scenario

MUST_ASK = 6.0  # s
DRAIN_GRACE = 0.5  # s
CONNECT = 0.12  # s
LOAD_SHARE = 0.8  # of the fleet's capacity, that the tenants' quotas add up to


def capacity(scenario: Scenario, tier: int) -> float:
    """Requests a second that a tier can do when all its nodes are warm."""
    total = sum(kind.share for kind in scenario.kinds) or 1.0
    cores = sum(kind.share / total * kind.cores * kind.speed for kind in scenario.kinds)
    shares = sum(cls.share for cls in scenario.classes)
    work = sum(cls.share / shares * cls.work_ms / 1000 for cls in scenario.classes)
    calls = 1.0
    for below in scenario.tiers[1 : tier + 1]:
        calls *= below.calls
    return scenario.tiers[tier].nodes * cores / (work * scenario.tiers[tier].work * calls)


def settings(scenario: Scenario, tier: int, me: int, zone: str) -> dict[str, Any]:
    tiers = scenario.tiers
    kinds = scenario.kinds
    quota = LOAD_SHARE * capacity(scenario, 0)
    shares = sum(tenant.share for tenant in scenario.tenants) or 1.0
    balancers = scenario.proxies.count if tier == 0 else tiers[tier - 1].nodes
    return {
        "balancers": balancers,
        "me": me,
        "stage": tier,
        "stages": [t.name for t in tiers],
        "zone": zone,
        "dcs": sorted({zone for t in tiers for zone in t.zones}),
        "kinds": [kind.name for kind in kinds],
        "discovery": "ask",
        "quantum": scenario.proxies.quantum_ms / 1000,
        "worth_by": "work",
        "over_share_worth": 0.2,
        "weights": "nominal",
        "grades": [
            {
                "name": cls.name,
                "value": cls.worth,
                "objective": cls.aim_ms / 1000,
                "deadline": cls.deadline_ms / 1000,
                "effect": cls.effect,
                "group": "all",
                "window": cls.window_ms / 1000 if cls.effect == "by_key" else 0.0,
            }
            for cls in scenario.classes
        ],
        "tenants": [
            {
                "name": tenant.name,
                "quota_rps": quota * tenant.share / shares,
                "portion": tenant.share / shares,
            }
            for tenant in scenario.tenants
        ],
        "report": {"names": ["busy_reqs", "pending"], "via": "on_probe"},
        "callers": {"marks_retry": True},
        "specifics": {"passes_deadline": True},
        "policy_limits": {
            "send_cap": 4,
            "may_duplicate": True,
            "may_cancel": True,
            "probes": True,
            "conn_idle": min(kind.idle for kind in kinds),
            "connect_timeout": CONNECT,
            "most_held": 20_000,
            "retry_after": True,
            "max_retry_after": 2.0,
        },
        "contract": {
            "must_ask_in": MUST_ASK,
            "grace_to_answer": 0.02,
            "drain_grace": DRAIN_GRACE,
            "cold_from": min(kind.cold_from for kind in kinds),
            "cold": max(kind.cold_for for kind in kinds),
            "fall_multiple": min(kind.fall_multiple for kind in kinds),
            "overload_for": min(kind.fall_for for kind in kinds),
        },
        "objective_mix": {"whole": 0.35, "worst_window": 0.25, "worst_class": 0.3, "worst_tenant": 0.1},
        "charges": {"cross_zone": 0.0048, "waste": 0.13, "probe": 0.01, "late_fail": 0.05},
    }


def config(
    scenario: Scenario,
    name: str,
    listen: str,
    discovery: str,
    known: dict[str, Any],
    tier: int,
    me: int,
    zone: str,
) -> dict[str, Any]:
    """The whole file."""
    return {
        "name": name,
        "listen": listen,
        "discovery": discovery,
        "seed": f"{(scenario.run.seed * 0x9E3779B97F4A7C15 + tier * 1000 + me) & (2**63 - 1):016x}",
        "limits": {
            "cores": 1.0,
            "memory_mb": scenario.proxies.memory_mb,
            "sockets": scenario.proxies.sockets,
        },
        "known": known,
        "settings": settings(scenario, tier, me, zone),
    }
