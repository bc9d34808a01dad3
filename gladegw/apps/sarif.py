"""Findings as SARIF 2.1.0 (OASIS), which code hosts show next to the lines concerned."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from gladegw.routing.findings import CODES, Finding, Place

SCHEMA = "https://json.schemastore.org/sarif-2.1.0.json"


def _location(place: Place) -> dict[str, Any]:
    region = {"startLine": max(1, place.line), "startColumn": max(1, place.column)}
    return {"physicalLocation": {"artifactLocation": {"uri": place.file}, "region": region}}


def sarif(findings: Iterable[Finding]) -> dict[str, Any]:
    results = []
    for finding in findings:
        text = f"{finding.message}; {finding.hint}" if finding.hint else finding.message
        result: dict[str, Any] = {
            "ruleId": finding.code,
            "level": "error",
            "message": {"text": text},
            "locations": [_location(finding.place)],
        }
        if finding.other is not None:
            result["relatedLocations"] = [_location(finding.other)]
        results.append(result)
    rules = [{"id": code, "shortDescription": {"text": text}} for code, text in CODES.items()]
    return {
        "$schema": SCHEMA,
        "version": "2.1.0",
        "runs": [{"tool": {"driver": {"name": "gladegw", "rules": rules}}, "results": results}],
    }
