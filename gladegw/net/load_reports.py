"""Load reports that backends attach to their responses."""

from __future__ import annotations

# The balancer's names of the fields that backends report.
REPORT_FIELDS = {
    "inflight": "busy_reqs",
    "queue": "pending",
    "util": "cpu_share",
    "latency_ms": "svc_ms",
    "qps": "served_ps",
    "eps": "failed_ps",
}


def read_report(text: bytes) -> dict[str, float] | None:
    """Parse a report such as `inflight=7,queue=2` into the balancer's field names.

    Values that are not finite are skipped. None if the report is malformed or empty.
    """
    report = {}
    try:
        for pair in text.decode("ascii").strip().split(","):
            name, _, value = pair.partition("=")
            name = REPORT_FIELDS.get(name.strip(), name.strip())
            number = float(value)
            if number - number == 0.0:  # finite
                report[name] = number
    except ValueError:
        return None
    return report or None
