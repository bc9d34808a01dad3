"""What stands in the store: records as JSON, each with its version. A reader one version older or newer reads
what it knows; whoever writes a record back keeps the fields that it did not know."""

from __future__ import annotations

from typing import Any, TypeVar

import msgspec

from gladegw.coordination.fleet_regression import FleetWindow

VERSION = 1  # of all records: a field that comes is optional, one that goes is still read for one version


class RecordError(ValueError):
    """A record that can't be read; the message says why, in one line."""


class Record(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=False):
    v: int = VERSION


class MemberRecord(Record, frozen=True, kw_only=True):
    """`live/members/NAME/INCARNATION`, under the lease of the process."""

    name: str
    incarnation: str  # new with each process, so two of one name are told apart
    address: str = ""
    zone: str = ""
    version: str = ""  # of the program
    can: tuple[str, ...] = ()  # the duties that it knows
    knows: tuple[str, ...] = ()  # kinds of their work that an older program would get wrong
    state: str = "ready"  # as the life-cycle has it
    epoch: int = -1  # of the policy that it serves by; -1: it has none
    digest: str = ""  # and its bundle
    since: float = 0.0  # s since 1970 by its own clock: shown, and nothing rests on it


class KnownMemberRecord(Record, frozen=True, kw_only=True):
    """`told/known/NAME`, under no lease: who is missed when no process of that name is there."""

    name: str
    zone: str = ""
    lost: float = 0.0  # s since 1970, when the sweeper saw that it was gone; 0: it was not
    left: bool = False  # it signed off in order


class DutyHolderRecord(Record, frozen=True, kw_only=True):
    """`live/duties/NAME`, under the holder's lease. The token is the key's create revision."""

    holder: str
    incarnation: str
    since: float = 0.0


class SuccessorRecord(Record, frozen=True, kw_only=True):
    """`live/heirs/NAME`: whom the last holder left the duty to. A preference, so it may be stale."""

    name: str


class MemberMetricsRecord(Record, frozen=True, kw_only=True):
    """`told/figures/NAME`, under the member's lease."""

    name: str
    incarnation: str = ""
    figures: dict[str, int] = {}
    discovery: str = ""  # digest of the list that it works by
    routes: str = ""  # digest of its table
    serving: str = ""  # digest of the backends that it may send to: listed, and not told to drain


class FleetSummaryRecord(Record, frozen=True, kw_only=True):
    """`told/fleet/digest`: what the holder of `digest` made of all figures."""

    token: int
    members: int
    totals: dict[str, int] = {}
    worst: tuple[tuple[str, float], ...] = ()  # by share of requests that were not served
    silent: tuple[str, ...] = ()


class ConfigDriftRecord(Record, frozen=True, kw_only=True):
    """`told/fleet/compare`: who stands alone with what."""

    token: int
    discovery: dict[str, tuple[str, ...]] = {}  # digest: names, where there is more than one digest
    routes: dict[str, tuple[str, ...]] = {}
    since: float = 0.0  # s since 1970, from when on they differed; 0: they agree


class PolicyRecord(Record, frozen=True, kw_only=True):
    """`live/policy/force`, and `told/policy/history/EPOCH`. In a rollout's stage `named` serve by `new`, and
    go back by themselves if they hear nothing of it for `confirm_s`."""

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
    """`live/policy/change`, under a lease as long as its deadline. `members`: who was registered when it was
    proposed. `everyone`: names without a process are a reason against it."""

    id: str
    epoch: int
    digest: str
    new: str = ""  # this and the next three as in `InForce`
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
    """`told/policy/votes/NAME/INCARNATION`, under the member's lease. `change`: its key's create revision."""

    change: int
    digest: str
    yes: bool
    reason: str = ""


class ChangeOutcomeRecord(Record, frozen=True, kw_only=True):
    """`told/policy/ended/ID`: what became of a change."""

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
    """`kept/tries/DIGEST/NAME`: how often processes of that name began with a bundle and were not heard of
    since. `last`: the incarnation that counted itself last, so that none does twice."""

    count: int
    last: str = ""


class RolloutLimitsRecord(Record, frozen=True, kw_only=True):
    """What worse means to a rollout; `coordination.verdict.Limits`."""

    failed: float
    refused: float
    level: float
    alpha: float
    least_requests: int
    late: float = 0.02


class RolloutRecord(Record, frozen=True, kw_only=True):
    """`live/policy/rollout`, and `told/rollout/ended/ID` once it is over. `old`, `new`: bundles by digest, or
    versions of the program; of those `deadline_s` is how long a stage may take to come up."""

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
    kind: str = ""  # of what is rolled out: a bundle, or a `program`
    quiet: tuple[str, ...] = ()  # `coordination.quiet`


class ProgramRecord(Record, frozen=True, kw_only=True):
    """`live/policy/program`: which version of the program runs, as `InForce` has it for bundles. Nobody votes
    on it: each name's supervisor tries it beside what serves."""

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
    """`live/supervisors/NAME`, under the supervisor's lease. `epoch`: of the `Program` that it has heard."""

    name: str
    version: str
    state: str
    coming: str = ""
    wanted: str = ""
    refused: tuple[str, ...] = ()
    reason: str = ""
    restarts: int = 0  # since the version was asked for
    epoch: int = -1
    alone: bool = False  # it went back by itself


class HeartbeatRecord(Record, frozen=True, kw_only=True):
    """`live/policy/sign`: somebody conducts this rollout; members look at the key's revision alone."""

    rollout: str


class EvidenceRecord(Record, frozen=True, kw_only=True):
    """`told/rollout/weighed`: the evidence so far, `coordination.verdict.Evidence`."""

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
    """`kept/courses/ID/STAGE-WINDOW`: what a window has shown. `at`: s since the rollout's begin, by the
    conductor's clock; `log_e`: the evidence as it stands, by figure."""

    at: float
    stage: int
    baked_s: float = 0.0
    log_e: dict[str, float] = {}
    new: FleetWindow = FleetWindow()
    others: FleetWindow = FleetWindow()


R = TypeVar("R", bound=Record)


def encode(record: Record, over: bytes = b"") -> bytes:
    """`over` is the record that this one replaces: fields of it that are not known here stay."""
    made: dict[str, Any] = msgspec.to_builtins(record)
    if over:
        try:
            old = msgspec.json.decode(over)
        except msgspec.DecodeError:
            old = None
        if isinstance(old, dict):
            made = {**{key: value for key, value in old.items() if key not in made}, **made}
            made["v"] = max(record.v, old["v"]) if isinstance(old.get("v"), int) else record.v
    return msgspec.json.encode(made)


def decode(raw: bytes, form: type[R]) -> R:
    """Raises RecordError."""
    try:
        return msgspec.json.decode(raw, type=form)
    except (msgspec.DecodeError, UnicodeDecodeError) as fault:
        kind = form.__name__.removesuffix("Record").lower()
        raise RecordError(f"{kind}: {' '.join(str(fault).split())}") from None
