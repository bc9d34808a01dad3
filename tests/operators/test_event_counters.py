"""Counters of internal events: taken once, encoded with their tag, and kept apart by value."""

from __future__ import annotations

from pathlib import Path

from support.balancing import Driver, entries, settings
from support.loopback import PATIENCE

from gladegw import ListKind, Reject, ServerList
from gladegw.balancing.events import RejectionReason
from gladegw.net.metrics import Metrics, MetricsSettings
from gladegw.operators.event_counters import EventCounters


def test_each_event_is_reported_once_with_its_tag(tmp_path: Path) -> None:
    events = EventCounters()
    events.on_discovery_call("rejected")
    events.on_discovery_call("rejected")
    events.on_attempt_end("reset")
    events.on_retry("reset")
    events.on_rejection("shed")
    events.list_ages["south"] = lambda: 1.25
    metrics = Metrics(MetricsSettings(sink="none", file=str(tmp_path / "figures")), settings(), events)
    metrics.flush()
    metrics.flush()
    metrics.close(PATIENCE)
    lines = (tmp_path / "figures").read_text().splitlines()
    gauge = "gladegw.endpoint_list.age_ms:1250|g|#pool:south"
    assert lines[:5] == [
        "gladegw.discovery.calls:2|c|#result:rejected",
        "gladegw.attempts:1|c|#status:reset",
        "gladegw.retries:1|c|#after:reset",
        "gladegw.rejections:1|c|#reason:shed",
        gauge,
    ]
    assert set(lines[5:]) == {gauge}


def test_the_time_left_to_a_list_and_the_attempts_by_its_state_are_reported(tmp_path: Path) -> None:
    """Guards against a record that does not tell whether a request relied on an expired list (a22a10)."""
    events = EventCounters()
    events.on_send("expired")
    remaining_s = [2.5, -1.0]
    events.list_validities[""] = lambda: remaining_s.pop(0)
    metrics = Metrics(MetricsSettings(sink="none", file=str(tmp_path / "figures")), settings(), events)
    metrics.flush()
    metrics.close(PATIENCE)
    assert (tmp_path / "figures").read_text().splitlines() == [
        "gladegw.sends:1|c|#list:expired",
        "gladegw.endpoint_list.valid_ms:2500|g",
        "gladegw.endpoint_list.valid_ms:0|g",
    ]


def test_a_rejection_says_why() -> None:
    driver = Driver(settings(), servers=entries(1))
    driver.feed(ServerList(ListKind.FULL, entries(1)))
    (unknown,) = [a for a in driver.arrive(1, cls="no-such-class") if isinstance(a, Reject)]
    assert unknown.reason is RejectionReason.UNKNOWN
    driver.feed(ServerList(ListKind.FULL, []))
    actions = driver.arrive(2, budget=0.3) + driver.wait(1.0)
    (late,) = [a for a in actions if isinstance(a, Reject)]
    assert late.reason is RejectionReason.TOO_LATE
