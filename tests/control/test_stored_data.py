"""Stored data written by version 0.2.0 stays readable: records, a supervisor's state, a capture, a bundle."""

from __future__ import annotations

import json
from pathlib import Path

import msgspec
import pytest

from gladegw.control import policy_bundle
from gladegw.control.keys import Keys
from gladegw.coordination import records
from gladegw.coordination.records import Record
from gladegw.replay import differences
from gladegw.supervisor.run import State

STORED = Path(__file__).parents[1] / "data" / "stored"
INCARNATION = "a1b2c3d4e5f60718"
DIGEST = "0123456789abcdef01234567"
KEYS = Keys("gladegw/kochi")

# Each key of the store with the type of its record, in the order of records.json.
RECORD_TYPES: list[tuple[bytes, type[Record]]] = [
    (KEYS.member("p1", INCARNATION), records.MemberRecord),
    (KEYS.known_member("p1"), records.KnownMemberRecord),
    (KEYS.duty("policy"), records.DutyHolderRecord),
    (KEYS.successor("policy"), records.SuccessorRecord),
    (KEYS.member_metrics("p1"), records.MemberMetricsRecord),
    (KEYS.fleet_record("digest"), records.FleetSummaryRecord),
    (KEYS.fleet_record("compare"), records.ConfigDriftRecord),
    (KEYS.committed_policy, records.PolicyRecord),
    (KEYS.history(6), records.PolicyRecord),
    (KEYS.open_change, records.PolicyChangeRecord),
    (KEYS.vote("p1", INCARNATION), records.VoteRecord),
    (KEYS.change_outcome("c-9"), records.ChangeOutcomeRecord),
    (KEYS.bundle_attempts(DIGEST, "p1"), records.BundleAttemptsRecord),
    (KEYS.rollout, records.RolloutRecord),
    (KEYS.finished_rollout("r-0"), records.RolloutRecord),
    (KEYS.program, records.ProgramRecord),
    (KEYS.supervisor("p1"), records.SupervisorRecord),
    (KEYS.rollout_heartbeat, records.HeartbeatRecord),
    (KEYS.rollout_evidence, records.EvidenceRecord),
    (KEYS.timeline_point("r-1", 1, 6), records.TimelinePointRecord),
]


def stored_records() -> list[tuple[str, bytes]]:
    entries = json.loads((STORED / "records.json").read_text(encoding="utf-8"))
    return [(entry["key"], entry["bytes"].encode()) for entry in entries]


def test_store_keys_match_the_stored_keys() -> None:
    assert [key.decode() for key, _ in RECORD_TYPES] == [key for key, _ in stored_records()]


@pytest.mark.parametrize("number", range(len(RECORD_TYPES)))
def test_a_stored_record_is_read_and_written_to_the_same_bytes(number: int) -> None:
    raw = stored_records()[number][1]
    record = records.decode(raw, RECORD_TYPES[number][1])
    assert records.encode(record) == raw


@pytest.mark.parametrize("number", range(len(RECORD_TYPES)))
def test_a_stored_record_keeps_fields_of_a_newer_version(number: int) -> None:
    raw = stored_records()[number][1]
    newer = msgspec.json.encode({**json.loads(raw), "v": 2, "added": ["later"]})
    written = json.loads(records.encode(records.decode(raw, RECORD_TYPES[number][1]), newer))
    assert written == {**json.loads(raw), "v": 2, "added": ["later"]}


def test_a_stored_state_file_is_read_and_written_to_the_same_bytes() -> None:
    raw = (STORED / "supervisor-state.json").read_bytes()
    assert msgspec.json.encode(msgspec.json.decode(raw, type=State)) == raw


def test_a_stored_capture_replays_without_a_difference() -> None:
    path = STORED / "capture.jsonl"
    assert path.read_text(encoding="utf-8").count('"kind":"req"') > 15
    assert list(differences(str(path))) == []


def test_a_stored_bundle_keeps_its_bytes_and_its_digest() -> None:
    raw = (STORED / "bundle.json").read_bytes()
    digest = (STORED / "bundle.digest").read_text(encoding="utf-8").strip()
    files = policy_bundle.assemble(digest, [raw[:40], raw[40:]])
    assert sorted(files) == ["north.routes.hcl", "routes.hcl"]
    assert policy_bundle.pack(files) == raw
    assert policy_bundle.digest_of(raw) == digest
    assert policy_bundle.select_file(files, "deploy/routes.hcl") == ("routes.hcl", files["routes.hcl"])
