"""The records in the store: JSON, each with a version.

A reader that is one version older or newer reads the fields that it knows; a writer that replaces a record
preserves the fields that it does not know.
"""

from __future__ import annotations

from typing import Any, TypeVar

import msgspec

from gladegw.coordination.fleet_regression import FleetWindow

VERSION = 1  # new fields are optional, and removed ones are still read for one version


class RecordError(ValueError):
    """The record cannot be decoded; the message names the kind of record and the reason, in one line."""


class Record(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=False):
    """The base of all records, with the version."""

    v: int = VERSION


class MemberRecord(Record, frozen=True, kw_only=True):
    """A process of a member: `live/members/NAME/INCARNATION`, under the lease of the process."""

    name: str
    incarnation: str  # unique to each process
    address: str = ""
    zone: str = ""
    version: str = ""  # of the program
    can: tuple[str, ...] = ()  # the duties that it can hold
    knows: tuple[str, ...] = ()  # features of duties that this program has and older ones lack
    state: str = "ready"  # of its life cycle
    epoch: int = -1  # of the policy by which it serves; -1: none
    digest: str = ""  # of that policy's bundle
    since: float = 0.0  # s since 1970 by its own clock; only displayed


class KnownMemberRecord(Record, frozen=True, kw_only=True):
    """A member that is expected to have a process: `told/known/NAME`, under no lease."""

    name: str
    zone: str = ""
    lost: float = 0.0  # s since 1970, when its loss was observed; 0: not lost
    left: bool = False  # it has left gracefully


class DutyHolderRecord(Record, frozen=True, kw_only=True):
    """A duty's holder: `live/duties/NAME`, under the holder's lease.

    The fencing token is the key's create revision.
    """

    holder: str  # name of the member
    incarnation: str
    since: float = 0.0


class SuccessorRecord(Record, frozen=True, kw_only=True):
    """The successor that a duty's last holder named: `live/heirs/NAME`; a preference, maybe stale."""

    name: str


class MemberMetricsRecord(Record, frozen=True, kw_only=True):
    """A member's metrics: `told/figures/NAME`, under the member's lease."""

    name: str
    incarnation: str = ""
    figures: dict[str, int] = {}
    discovery: str = ""  # digest of its list of backends
    routes: str = ""  # digest of its route table
    serving: str = ""  # digest of the listed backends that do not drain


class FleetSummaryRecord(Record, frozen=True, kw_only=True):
    """A summary of all members' metrics: `told/fleet/digest`, written by the holder of the duty `digest`."""

    token: int
    members: int
    totals: dict[str, int] = {}
    worst: tuple[tuple[str, float], ...] = ()  # members by fraction of requests not served
    silent: tuple[str, ...] = ()  # members that reported no metrics


class ConfigDriftRecord(Record, frozen=True, kw_only=True):
    """Members whose configuration differs: `told/fleet/compare`."""

    token: int
    discovery: dict[str, tuple[str, ...]] = {}  # names by digest; empty if all have the same digest
    routes: dict[str, tuple[str, ...]] = {}
    since: float = 0.0  # s since 1970, when they began to differ; 0: they agree


class PolicyRecord(Record, frozen=True, kw_only=True):
    """A committed policy: `live/policy/force` and `told/policy/history/EPOCH`.

    In a rollout's stage the members in `named` serve by the bundle `new` instead of `digest`. They revert by
    themselves after `confirm_s` without a heartbeat of the rollout.
    """

    epoch: int
    digest: str
    new: str = ""
    named: tuple[str, ...] = ()
    rollout: str = ""
    confirm_s: int = 0
    who: str = ""
    why: str = ""
    at: float = 0.0


class PolicyChangeRecord(Record, frozen=True, kw_only=True):
    """An open change of policy: `live/policy/change`, under a lease as long as its deadline.

    `members` has the processes registered at the proposal. With `everyone`, a known member without a process
    blocks the change.
    """

    id: str
    epoch: int
    digest: str
    new: str = ""  # this and the next three as in PolicyRecord
    named: tuple[str, ...] = ()
    rollout: str = ""
    confirm_s: int = 0
    members: tuple[str, ...] = ()
    everyone: bool = True
    dry: bool = False
    who: str = ""
    why: str = ""
    at: float = 0.0


class VoteRecord(Record, frozen=True, kw_only=True):
    """A vote on a change: `told/policy/votes/NAME/INCARNATION`, under the member's lease.

    `change` is the create revision of the change's key.
    """

    change: int
    digest: str
    yes: bool
    reason: str = ""


class ChangeOutcomeRecord(Record, frozen=True, kw_only=True):
    """The outcome of a change: `told/policy/ended/ID`."""

    id: str
    epoch: int
    digest: str
    outcome: str
    reason: str = ""
    votes: dict[str, dict[str, str]] = {}
    who: str = ""
    why: str = ""
    at: float = 0.0


class BundleAttemptsRecord(Record, frozen=True, kw_only=True):
    """A member's attempts to activate a bundle: `kept/tries/DIGEST/NAME`.

    `count` is how many processes of that name activated the bundle and sent no update afterwards. `last` is
    the incarnation that was counted last, so that none is counted twice.
    """

    count: int
    last: str = ""


class RolloutLimitsRecord(Record, frozen=True, kw_only=True):
    """The tolerances of a rollout, as `coordination.canary_analysis.Limits`."""

    failed: float
    refused: float
    level: float
    alpha: float
    least_requests: int
    late: float = 0.02


class RolloutRecord(Record, frozen=True, kw_only=True):
    """A rollout: `live/policy/rollout`, and `told/rollout/ended/ID` once it has ended.

    `old` and `new` are digests of bundles, or versions of the program. In a rollout of the program
    `deadline_s` is how long a stage's processes may take to start.
    """

    id: str
    old: str
    new: str
    stages: tuple[tuple[str, ...], ...]
    limits: RolloutLimitsRecord
    bake_s: float
    most_s: float
    confirm_s: int
    deadline_s: int
    everyone: bool
    on_thin: str = "stop"  # if the evidence is still insufficient after `most_s`: `stop` or `go on`
    hold: bool = False
    stage: int = 0
    phase: str = "moving"
    paused: bool = False
    reason: str = ""
    who: str = ""
    why: str = ""
    at: float = 0.0
    ended_at: float = 0.0
    kind: str = ""  # empty for a bundle, or `program`
    quiet: tuple[str, ...] = ()  # blackout windows, `coordination.blackout_windows`


class ProgramRecord(Record, frozen=True, kw_only=True):
    """The program's version in force: `live/policy/program`, with fields as in PolicyRecord.

    It is not voted on. Each member's supervisor starts the version beside the process that serves.
    """

    epoch: int
    version: str
    new: str = ""
    named: tuple[str, ...] = ()
    rollout: str = ""
    confirm_s: int = 0
    who: str = ""
    why: str = ""
    at: float = 0.0


class SupervisorRecord(Record, frozen=True, kw_only=True):
    """A supervisor's state: `live/supervisors/NAME`, under the supervisor's lease.

    `epoch` is that of the last ProgramRecord it has applied.
    """

    name: str
    version: str
    state: str
    coming: str = ""  # version of the process that may replace the serving one
    wanted: str = ""  # requested version
    refused: tuple[str, ...] = ()  # versions that failed
    reason: str = ""
    restarts: int = 0  # since the version was requested
    epoch: int = -1
    alone: bool = False  # it reverted by itself, without heartbeats of the rollout


class HeartbeatRecord(Record, frozen=True, kw_only=True):
    """A rollout's heartbeat: `live/policy/sign`; members read only the key's revision."""

    rollout: str


class EvidenceRecord(Record, frozen=True, kw_only=True):
    """A rollout's evidence so far: `told/rollout/weighed`, as `coordination.canary_analysis.Evidence`."""

    rollout: str
    stage: int
    baked_s: float = 0.0  # of the stage
    wagers: dict[str, tuple[float, ...]] = {}
    peaks: dict[str, float] = {}
    base: dict[str, dict[str, tuple[float, int]]] = {}  # baseline_levels
    usual: dict[str, tuple[int, int]] = {}  # baseline_rates
    pool: dict[str, tuple[float, ...]] = {}  # residuals
    requests: int = 0
    windows: int = 0
    apart: int = 0  # divergent_windows
    past: tuple[FleetWindow, ...] = ()  # history
    lately: tuple[FleetWindow, ...] = ()  # recent


class TimelinePointRecord(Record, frozen=True, kw_only=True):
    """One window of a rollout: `kept/courses/ID/STAGE-WINDOW`.

    `at` is in s since the rollout's start, by the clock of the duty's holder; `log_e` is the logarithm of the
    e-value by metric.
    """

    at: float
    stage: int
    baked_s: float = 0.0
    log_e: dict[str, float] = {}
    new: FleetWindow = FleetWindow()
    others: FleetWindow = FleetWindow()


R = TypeVar("R", bound=Record)


def encode(record: Record, replaced: bytes = b"") -> bytes:
    """Encode a record; unknown fields of the encoded record `replaced` are preserved."""
    fields: dict[str, Any] = msgspec.to_builtins(record)
    if replaced:
        try:
            old = msgspec.json.decode(replaced)
        except msgspec.DecodeError:
            old = None
        if isinstance(old, dict):
            fields = {**{key: value for key, value in old.items() if key not in fields}, **fields}
            fields["v"] = max(record.v, old["v"]) if isinstance(old.get("v"), int) else record.v
    return msgspec.json.encode(fields)


def decode(raw: bytes, record_type: type[R]) -> R:
    """Decode a record of the type `record_type`; raises RecordError."""
    try:
        return msgspec.json.decode(raw, type=record_type)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        kind = record_type.__name__.removesuffix("Record").lower()
        raise RecordError(f"{kind}: {' '.join(str(error).split())}") from None
