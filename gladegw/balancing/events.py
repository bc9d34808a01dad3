"""Settings, events and actions of a Balancer, independent of any wire format.

Times are in seconds unless a field says otherwise. Enum values and the setting names in error messages are
those that operators and the platform use.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum, IntEnum
from typing import Any


class Effect(Enum):
    """The effect of executing a request a second time."""

    IDEMPOTENT = "repeatable"  # harmless on any server
    IDEMPOTENCY_KEY = "by_key"  # the servers of one group drop duplicates by key for a limited time
    NOT_IDEMPOTENT = "once"  # a second execution does harm


class Status(IntEnum):
    """How an attempt or a probe ended."""

    OK = 0
    ERROR = 1  # the server answered with an error; the request may have run
    REJECTED = 2  # rejected before processing: never ran
    TIMEOUT = 3
    CONNECT_FAILED = 4  # never ran
    RESET = 5
    CANCELLED = 6
    NOT_SENT = 7  # never sent


NEVER_RAN = (Status.REJECTED, Status.CONNECT_FAILED, Status.NOT_SENT)


class ServerState(Enum):
    """State of a server in the endpoint list."""

    SERVING = "serving"
    DRAINING = "draining"
    REMOVED = "gone"


class ListKind(Enum):
    """Kind of a server list event."""

    CACHED = "saved"  # the full list from a cache, maybe out of date
    FULL = "full"
    INCREMENTAL = "incremental"
    FAILED = "failed"  # a watch or fetch failed, or an open watch broke
    ADDRESS_CHANGED = "moved"  # no list: discovery has a new address


def _check(ok: bool, key: str, value: object) -> None:
    """Raise ValueError naming the setting and its value unless `ok`."""
    if not ok:
        raise ValueError(f"setting {key} is out of range: {value!r}")


def _positive(owner: object, prefix: str, *keys: str) -> None:
    """Check that these fields of a settings object are finite and above 0."""
    for key in keys:
        value = getattr(owner, key)
        _check(math.isfinite(value) and value > 0, prefix + key, value)


def _not_negative(owner: object, prefix: str, *keys: str) -> None:
    """Check that these fields of a settings object are finite and not negative."""
    for key in keys:
        value = getattr(owner, key)
        _check(math.isfinite(value) and value >= 0, prefix + key, value)


@dataclass(slots=True)
class RequestClass:
    """A class of requests.

    Times are in seconds. Raises ValueError if a field is out of range.
    """

    name: str
    priority_weight: float
    latency_objective: float  # an answer within it has the full priority weight
    deadline: float  # how long a client waits, over all attempts
    late_weight_fraction: float = 0.0  # of the weight, for answers between the objective and the deadline
    effect: Effect = Effect.IDEMPOTENT
    group: str = "all"  # IDEMPOTENCY_KEY: servers that deduplicate together: "all", "zone" or "cell"
    window: float = 0.0  # IDEMPOTENCY_KEY: deduplication time
    stream: bool = False
    objective_stretch: float = 0.0  # the objective grows by this multiple of the request's work

    def __post_init__(self) -> None:
        _positive(self, f"class {self.name} ", "latency_objective", "deadline")
        _not_negative(
            self,
            f"class {self.name} ",
            "priority_weight",
            "window",
            "objective_stretch",
            "late_weight_fraction",
        )
        _check(
            self.late_weight_fraction <= 1,
            f"class {self.name} late_weight_fraction",
            self.late_weight_fraction,
        )
        _check(self.group in ("all", "zone", "cell"), f"class {self.name} group", self.group)


@dataclass(slots=True)
class Tenant:
    """A tenant and its quota.

    Raises ValueError if a field is out of range.
    """

    name: str
    quota_per_s: float  # over all instances of the tier
    fraction: float = 0.0  # of the service's traffic

    def __post_init__(self) -> None:
        _not_negative(self, f"tenant {self.name} ", "quota_per_s", "fraction")


@dataclass(slots=True)
class Settings:
    """The settings of an instance, given when it starts.

    Times are in seconds, prices in points per unit. Raises ValueError if a field is out of range.
    """

    classes: list[RequestClass]
    tenants: list[Tenant] = field(default_factory=list)
    zone: str = ""
    instance: int = 0  # this instance's number among `balancers`
    balancers: int = 1
    stage: int = 0  # 0: receives clients' requests; above: calls from servers
    stages: int = 1  # number of tiers
    zones: tuple[str, ...] = ()
    kinds: tuple[str, ...] = ()
    quantum: float = 0.0  # minimum interval between batches of events
    polls_endpoints: bool = False
    max_poll_gap: float = 10.0
    # Whether discovery confirms the list every second or so while a watch is open; otherwise an open watch
    # reports nothing while nothing changes.
    watch_is_confirmed: bool = False
    max_attempts: int = 1
    may_hedge: bool = False
    hedges_are_sent: bool = True  # the driver can hold two attempts of a call in flight
    may_cancel: bool = False
    may_probe: bool = False
    may_message_peers: bool = False  # may send messages to other instances
    max_open_requests: int = 0  # 0: no limit
    clients_mark_retries: bool = False
    may_send_retry_after: bool = False
    max_retry_after: float = 0.0
    over_quota_weight: float = 1.0
    weight_by_work: bool = False
    passes_deadline: bool = False
    report_names: tuple[str, ...] = ()  # of busy_reqs, pending, cpu_share, svc_ms, served_ps, failed_ps
    reports: str = "probe"  # where load reports arrive: "answer" (with probes too), "probe" or "none"
    weights: str = "nominal"  # what a listed weight means: "none", "nominal", "rough" or "live"
    conn_idle: float = 15.0
    connect_timeout: float = 0.25
    calls_per_connection: int = 1  # concurrent calls on one connection
    cpu_per_s: float = 0.0  # CPU seconds of an instance each second; 0: no limit
    cpu_per_call: float = 0.0  # CPU seconds
    # Weights of the parts of the result: the whole, and its worst window, class and tenant.
    goal_overall: float = 1.0
    goal_window: float = 0.0
    goal_class: float = 0.0
    goal_tenant: float = 0.0
    answer_slack: float = 0.0
    drain_grace: float = 0.0
    warmup_start_fraction: float = 1.0
    warmup_time: float = 0.0
    overload_multiple: float = 1.0
    overload_window: float = 1.0
    price_crossing: float = 0.0
    price_probe: float = 0.0
    price_handshake: float = 0.0
    price_connection: float = 0.0
    price_waste: float = 0.0
    price_late_failure: float = 0.0
    price_peer: float = 0.0
    price_discovery: float = 0.0

    def __post_init__(self) -> None:
        _check(bool(self.classes), "classes", self.classes)
        _check(self.balancers >= 1, "balancers", self.balancers)
        _check(self.instance >= 0, "me", self.instance)
        _check(self.stage >= 0, "stage", self.stage)
        _check(self.max_attempts >= 1, "max_attempts", self.max_attempts)
        _check(0 < self.warmup_start_fraction <= 1, "cold_from", self.warmup_start_fraction)
        _check(0 <= self.over_quota_weight <= 1, "over_share_worth", self.over_quota_weight)
        _check(self.stages >= 1, "stages", self.stages)
        _check(self.max_open_requests >= 0, "most_held", self.max_open_requests)
        _check(self.calls_per_connection >= 1, "calls_per_connection", self.calls_per_connection)
        _check(self.reports in ("answer", "probe", "none"), "reports", self.reports)
        _check(self.weights in ("none", "nominal", "rough", "live"), "weights", self.weights)
        names = [cls.name for cls in self.classes]
        _check(len(set(names)) == len(names), "classes", names)
        _positive(self, "", "max_poll_gap", "overload_multiple", "overload_window", "connect_timeout")
        _not_negative(
            self,
            "",
            "max_retry_after",
            "conn_idle",
            "answer_slack",
            "drain_grace",
            "warmup_time",
            "price_crossing",
            "price_probe",
            "price_handshake",
            "price_connection",
            "price_waste",
            "price_late_failure",
            "price_peer",
            "price_discovery",
            "goal_overall",
            "goal_window",
            "goal_class",
            "goal_tenant",
            "cpu_per_s",
            "cpu_per_call",
            "quantum",
        )


# -- events ------------------------------------------------------------------------------------------


@dataclass(slots=True)
class ServerEntry:
    """An entry of the endpoint list."""

    server: int
    zone: str = ""
    kind: str = ""
    cell: int = 0
    state: ServerState = ServerState.SERVING
    weight: float = 1.0
    started_at: float = 0.0  # 0: so long ago that it needs no warm-up


class RejectionReason(Enum):
    """Why a call gets no further attempt. The values are those of the metrics and the log."""

    UNKNOWN = "unknown_request"  # its class is unknown, or it has no time left
    SHED = "shed"  # by the admission threshold, or it arrived too late to be useful
    TOO_LATE = "too_late"  # it could not be answered in time any more
    QUEUE_FULL = "queue_full"  # the expected wait is longer than its useful time
    DISPLACED = "displaced"  # calls of higher priority weight took its place in the queue
    ATTEMPTS_EXHAUSTED = "attempts_exhausted"  # its attempts failed, and no further one is allowed
    LIST_EXPIRED = "list_expired"  # the endpoint list may lack a drain that counts as known


class ListState(Enum):
    """How an endpoint list may be used."""

    CURRENT = "current"
    STALE = "stale"  # less than half of its validity is left
    EXPIRED = "expired"  # it may lack a drain that counts as known


class DiscoveryFailure(Enum):
    """How a call to discovery failed."""

    UNANSWERED = "unanswered"  # no answer in time, no connection or a malformed answer
    CONNECTION_REFUSED = "connection refused"  # nothing listens at discovery's address
    WATCH_ENDED = "watch ended"  # the connection of an open watch was closed or reset
    REJECTED = "refused"  # after a wait: discovery is down, or too many calls wait before this one
    WATCH_REJECTED = "watch refused"  # an open watch, as when discovery goes down
    REJECTED_IMMEDIATELY = "refused at once"  # discovery is reachable but overloaded


@dataclass(slots=True)
class ServerList:
    """An endpoint list, a failed poll or a new address of discovery."""

    kind: ListKind
    entries: list[ServerEntry] = field(default_factory=list)
    version: int = 0
    failure: DiscoveryFailure = DiscoveryFailure.UNANSWERED  # only of a failed poll
    current: bool = True  # False: from a former address of discovery, or sent before
    # No change before this time is missing, in seconds of the batches' clock; inf: the time of the batch.
    # Of a failed poll: when the call began; inf: not known.
    as_of: float = math.inf
    missed_for: float = math.inf  # seconds for which a failed watch may have missed changes; inf: unknown


@dataclass(slots=True)
class Arrival:
    """A request arrived from a client or from a caller's instance."""

    call: int
    cls: str
    budget: float  # seconds until the client abandons this attempt
    tenant: str = ""
    work: float = 0.0  # expected work in core seconds; 0: unknown
    is_retry: bool = False
    write: bool = False
    key: str = ""  # the subject of the request, where it has one
    max_attempts: int = 0  # the route's limit, never above the settings'; 0: the settings' limit
    route_timeout: float = math.inf  # seconds that the route allows; the budget remains the client's
    waited: float = 0.0  # seconds of the budget spent on waiting to be read and on this process's lag
    incomplete: bool = False  # its body is still being received: no server works on it before its last byte


@dataclass(slots=True)
class RequestCompleted:
    """The last byte of a request that had arrived incomplete was received."""

    call: int


@dataclass(slots=True)
class Outcome:
    """An attempt ended, after `elapsed` seconds; `final` means that it also ended the call."""

    call: int
    attempt: int
    server: int
    status: int
    elapsed: float
    final: bool
    report: dict[str, float] | None = None


@dataclass(slots=True)
class StreamStarted:
    """An attempt's answer began to stream to the client, after `elapsed` seconds."""

    call: int
    attempt: int
    server: int
    elapsed: float = 0.0


@dataclass(slots=True)
class Stalled:
    """This process stalled for `seconds` while it executed the last batch's actions.

    During that time attempts in flight waited for this process, not for their servers.
    """

    seconds: float


@dataclass(slots=True)
class ClientDisconnected:
    """The client disconnected or its time ran out, so it no longer expects an answer."""

    call: int


@dataclass(slots=True)
class ProbeResult:
    """A health probe ended, after `elapsed` seconds."""

    server: int
    status: int
    elapsed: float
    report: dict[str, float] | None = None
    sent_at: float | None = None  # when the probe began; None: `elapsed` before the batch


@dataclass(slots=True)
class Timer:
    """A timer set by SetTimer expired."""

    token: int


@dataclass(slots=True)
class PeerMessage:
    """A message from another instance."""

    sender: int
    data: bytes


Event = (
    ServerList
    | Arrival
    | RequestCompleted
    | Outcome
    | StreamStarted
    | Stalled
    | ClientDisconnected
    | ProbeResult
    | Timer
    | PeerMessage
)

# -- actions -----------------------------------------------------------------------------------------


@dataclass(slots=True)
class Send:
    """Send an attempt of a call to a server, with a timeout in seconds."""

    call: int
    server: int
    timeout: float
    # Seconds from the batch's time within which the attempt must begin: the deduplication window of a retry
    # or the validity of the endpoint list ends then.
    start_within: float = math.inf


@dataclass(slots=True)
class Reject:
    """Reject a call that never ran, so a retry is harmless; retry_after is in seconds, 0 means no hint."""

    call: int
    retry_after: float = 0.0
    reason: RejectionReason = field(default=RejectionReason.UNKNOWN, compare=False)


@dataclass(slots=True)
class Fail:
    """Fail a call that may have been executed."""

    call: int
    reason: RejectionReason = field(default=RejectionReason.UNKNOWN, compare=False)


@dataclass(slots=True)
class Cancel:
    """Cancel an attempt that is in flight."""

    call: int
    attempt: int


@dataclass(slots=True)
class Probe:
    """Send a health probe to a server."""

    server: int


@dataclass(slots=True)
class Watch:
    """Open (or close) the watch of the endpoint list at discovery."""

    on: bool = True


@dataclass(slots=True)
class Fetch:
    """Fetch the endpoint list once."""


@dataclass(slots=True)
class SetTimer:
    """Send a Timer event with this token after `delay` seconds."""

    delay: float
    token: int


@dataclass(slots=True)
class CloseIdle:
    """Close the idle connections to a server."""

    server: int


@dataclass(slots=True)
class SendToPeer:
    """Send a message to another instance or to all; only if Settings.may_message_peers."""

    data: bytes
    peer: int | None = None  # None: to all


@dataclass(slots=True)
class Log:
    """Write a line to the log."""

    text: str


Action = Send | Reject | Fail | Cancel | Probe | Watch | Fetch | SetTimer | CloseIdle | SendToPeer | Log

# -- decisions ---------------------------------------------------------------------------------------

# If set, called for each decision on a call with the call, the decision's name, its inputs and its result.
# It has no influence on decisions.
DecisionObserver = Callable[[int, str, dict[str, Any], Any], None]
