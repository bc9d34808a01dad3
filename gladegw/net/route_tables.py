"""Construction of a route table for serving from the text of a route file."""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path

from gladegw.balancing import events as api
from gladegw.net.config import ConfigError
from gladegw.routing.checks import check_classes, tied
from gladegw.routing.findings import Finding, RoutingError
from gladegw.routing.matcher import Table
from gladegw.routing.model import ClassRule, Description
from gladegw.routing.read import read_text
from gladegw.routing.split import hasher


def build_table(text: str, file: str, classes: Sequence[api.RequestClass]) -> Table:
    """Parse and check a route text, and return its table.

    Raises RoutingError.
    """
    description = read_text(text, file, ("expect",))
    table = Table(description)
    rules = {
        cls.name: ClassRule(
            cls.name, cls.priority_weight, cls.latency_objective * 1000, cls.deadline * 1000, cls.effect.value
        )
        for cls in classes
    }
    # Findings about a route's timeout and attempts do not prevent serving: both are bounded for each request,
    # and `gladegw routes` reports them to operators.
    errors = [
        finding for finding in check_classes(description.routes, rules) if finding.code in ("R202", "R402")
    ]
    findings = [*tied(table), *errors, *missing_hash_findings(description)]
    if findings:
        raise RoutingError(findings)
    return table


def missing_hash_findings(description: Description) -> list[Finding]:
    """Findings for parts of the table that need a hash function, if its library is not installed.

    They are reported when the table is read, rather than at the first request.
    """
    mirrors = [route.place for route in description.routes if route.mirror and route.mirror.share < 1]
    places = mirrors + [route.place for route in description.routes if route.split is not None]
    places += [pool.place for pool in description.pools if pool.subset]
    try:
        if places:
            hasher()
    except ModuleNotFoundError:
        message = "splits, subsets and shares of mirrors need xxhash: pip install 'gladegw[routes]'"
        return [Finding("R008", place, message) for place in places]
    return []


def read_file(path: str) -> str:
    """Read a file as UTF-8.

    Raises ConfigError.
    """
    try:
        return Path(path).read_bytes().decode("utf-8")
    except (OSError, UnicodeDecodeError) as fault:
        reason = fault.strerror if isinstance(fault, OSError) else "not UTF-8"
        raise ConfigError(f"bad settings: {path}: {reason}") from None
