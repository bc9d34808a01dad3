"""Identifiers of abandoned requests: remembered for a while, in bounded memory."""

from __future__ import annotations

import sys

from gladegw.limits.abandoned_ids import RETENTION_S, AbandonedIds


def test_an_identifier_takes_no_more_memory_the_longer_it_is() -> None:
    """Guards against clients that leave with identifiers of 24 kB: 67 MB of 32 (report 9346bc)."""
    ids = AbandonedIds()
    identifier = b"x" * 30_000
    references = sys.getrefcount(identifier)
    ids.add(identifier, 0.0)
    assert sys.getrefcount(identifier) == references
    assert ids.contains(bytes(identifier), 1.0)
    assert not ids.contains(identifier + b"x", 1.0)


def test_identifiers_are_forgotten_by_age_and_by_number() -> None:
    ids = AbandonedIds(max_ids=2)
    for number in range(3):
        ids.add(b"%d" % number, float(number))
    assert [ids.contains(b"%d" % number, 3.0) for number in range(3)] == [False, True, True]
    assert not ids.contains(b"2", 2.0 + RETENTION_S)
    assert len(ids) == 0
