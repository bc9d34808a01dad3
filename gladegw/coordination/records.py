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
    """A record that cannot be decoded; the message has its kind and the reason in one line."""


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
    knows: tuple[str, ...] = ()  # features of duties that an older program lacks
    state: str = "ready"  # of the life cycle
    epoch: int = -1  # of the policy it serves by; -1: none
    digest: str = ""  # of that policy's bundle
    since: float = 0.0  # s since 1970 by its own clock, for display only


class KnownMemberRecord(Record, frozen=True, kw_only=True):
    """A member that should have a process: `told/known/NAME`, under no lease."""

    name: str
    zone: str = ""
    lost: float = 0.0  # s since 1970, when its loss was observed; 0: not lost
    left: bool = False  # gracefully


class DutyHolderRecord(Record, frozen=True, kw_only=True):
    """A duty's holder: `live/duties/NAME`, under the holder's lease.

    The fencing token is the key's create revision.
    """

    holder: str
    incarnation: str
    since: float = 0.0


class SuccessorRecord(Record, frozen=True, kw_only=True):
    """The successor named by a duty's last holder: `live/heirs/NAME`; a preference, which may be stale."""

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
    """A summary of all members' metrics: `told/fleet/digest`, by the holder of the duty `digest`."""

    token: int
    members: int
    totals: dict[str, int] = {}
    worst: tuple[tuple[str, float], ...] = ()  # members by fraction of requests not served
    silent: tuple[str, ...] = ()


class ConfigDriftRecord(Record, frozen=True, kw_only=True):
    """Members whose configuration differs: `told/fleet/compare`."""

    token: int
    discovery: dict[str, tuple[str, ...]] = {}  # names by digest, if there are several digests
    routes: dict[str, tuple[str, ...]] = {}
    since: float = 0.0  # s since 1970, when they began to differ; 0: they agree


class PolicyRecord(Record, frozen=True, kw_only=True):
    """A committed policy: `live/policy/force` and `told/policy/history/EPOCH`.

    In a rollout's stage the members in `named` serve by `new`, and revert by themselves after `confirm_s`
    without a heartbeat.
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

    `members` has the processes registered at the proposal. With `everyone`, known names without a process
    block the change.
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
    """A vote: `told/policy/votes/NAME/INCARNATION`, under the member's lease.

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
    """Attempts with a bundle: `kept/tries/DIGEST/NAME`.

    `count` is how many processes of that name activated the bundle and sent no update afterwards; `last` is
    the incarnation counted last, so that none is counted twice.
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

    `old` and `new` are digests of bundles or versions of the program; for the latter `deadline_s` is how long
    a stage's processes may take to start.
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
    on_thin: str = "stop"
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

    There is no vote on it; each member's supervisor starts it beside the serving process.
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
    coming: str = ""
    wanted: str = ""
    refused: tuple[str, ...] = ()
    reason: str = ""
    restarts: int = 0  # since the version was requested
    epoch: int = -1
    alone: bool = False  # it reverted by itself


class HeartbeatRecord(Record, frozen=True, kw_only=True):
    """A rollout's heartbeat: `live/policy/sign`; members read only the key's revision."""

    rollout: str


class EvidenceRecord(Record, frozen=True, kw_only=True):
    """The evidence so far: `told/rollout/weighed`, as `coordination.canary_analysis.Evidence`."""

    rollout: str
    stage: int
    baked_s: float = 0.0  # of the stage
    wagers: dict[str, tuple[float, ...]] = {}
    peaks: dict[str, float] = {}
    base: dict[str, dict[str, tuple[float, int]]] = {}
    usual: dict[str, tuple[int, int]] = {}
    pool: dict[str, tuple[float, ...]] = {}
    requests: int = 0
    windows: int = 0
    apart: int = 0
    past: tuple[FleetWindow, ...] = ()
    lately: tuple[FleetWindow, ...] = ()


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


def encode(record: Record, over: bytes = b"") -> bytes:
    """Encode a record; unknown fields of the record `over` that it replaces are preserved."""
    fields: dict[str, Any] = msgspec.to_builtins(record)
    if over:
        try:
            old = msgspec.json.decode(over)
        except msgspec.DecodeError:
            old = None
        if isinstance(old, dict):
            fields = {**{key: value for key, value in old.items() if key not in fields}, **fields}
            fields["v"] = max(record.v, old["v"]) if isinstance(old.get("v"), int) else record.v
    return msgspec.json.encode(fields)


def decode(raw: bytes, form: type[R]) -> R:
    """Decode a record of the type `form`; raises RecordError."""
    try:
        return msgspec.json.decode(raw, type=form)
    except (msgspec.DecodeError, UnicodeDecodeError) as fault:
        kind = form.__name__.removesuffix("Record").lower()
        raise RecordError(f"{kind}: {' '.join(str(fault).split())}") from None
