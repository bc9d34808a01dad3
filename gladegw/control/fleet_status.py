"""Status of a fleet for operators: members, duties and fleet records from one read of the store."""

from __future__ import annotations

import time
from typing import Any

from gladegw.control.keys import Keys
from gladegw.control.store_cache import StoreCache
from gladegw.control.store_client import StoreClient
from gladegw.coordination.records import ConfigDriftRecord, FleetSummaryRecord
from gladegw.coordination.store import Get


async def read(client: StoreClient, prefix: str) -> StoreCache:
    """Read all records except bundles and timelines; raises StoreClientError.

    The read is linearizable, as operators act on the result.
    """
    view = StoreCache(Keys(prefix))
    key_ranges = view.keys.live, view.keys.reported
    result = await client.do(*(Get(*key_range) for key_range in key_ranges))
    for key_range, entries in zip(key_ranges, result.found, strict=True):
        view.load_snapshot(key_range, result.revision, entries)
    return view


def _seconds_since(timestamp: float) -> float:
    return round(max(0.0, time.time() - timestamp), 1) if timestamp else 0.0


def members(view: StoreCache) -> list[dict[str, Any]]:
    """Return the live and the missing members.

    `since_s` depends on the clock of the process that wrote the record.
    """
    rows = [
        {
            "name": member.name,
            "incarnation": member.incarnation,
            "version": member.version,
            "zone": member.zone,
            "state": member.state,
            "since_s": _seconds_since(member.since),
        }
        for _, member in view.members()
    ] + [
        {
            "name": known.name,
            "incarnation": "",
            "version": "",
            "zone": known.zone,
            "state": "missing",
            "since_s": _seconds_since(known.lost),
        }
        for known in view.missing_members()
    ]
    return sorted(rows, key=lambda member: (str(member["name"]), str(member["incarnation"])))


def duties(view: StoreCache) -> list[dict[str, Any]]:
    """Return all duties with their holders, including vacant ones that some member can hold."""
    holders = {view.keys.split(kv.key)[1]: (kv, holder) for kv, holder in view.duty_holders()}
    names = sorted(holders.keys() | {name for _, member in view.members() for name in member.can})
    return [
        {
            "name": name,
            "holder": holders[name][1].holder,
            "token": holders[name][0].create_revision,
            "since_s": _seconds_since(holders[name][1].since),
        }
        if name in holders
        else {"name": name, "holder": None, "token": 0, "since_s": 0.0}
        for name in names
    ]


def status(view: StoreCache) -> dict[str, Any]:
    """Return the summary of the fleet as `fleet status` shows it."""
    fleet = view.read(view.keys.fleet_record("digest"), FleetSummaryRecord)
    drift = view.read(view.keys.fleet_record("compare"), ConfigDriftRecord)
    return {
        "members": len(view.members()),
        "missing": [known.name for known in view.missing_members()],
        "totals": fleet.totals if fleet is not None else {},
        "worst": [{"name": name, "unserved": fraction} for name, fraction in fleet.worst] if fleet else [],
        "silent": list(fleet.silent) if fleet is not None else [],
        "discovery": {digest: list(names) for digest, names in drift.discovery.items()} if drift else {},
        "routes": {digest: list(names) for digest, names in drift.routes.items()} if drift else {},
        "differ_since_s": _seconds_since(drift.since) if drift is not None else 0.0,
    }
