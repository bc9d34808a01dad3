"""Scenario files: a deployment, its load and a timed script of faults, in HCL blocks read to checked
settings."""

from __future__ import annotations

import math
import re
from pathlib import Path
from typing import Any, TypeVar

import msgspec

from gladegw.net.hcl import Block, blocks_of
from gladegw.rig.errors import ScenarioError
from gladegw.rig.nodes.model import Kind
from gladegw.rig.traffic.arrivals import PROCESSES, SHAPES
from gladegw.rig.traffic.flood import MANNERS as CROWDS
from gladegw.rig.traffic.peers import MANNERS

LARGEST = 1 << 20  # bytes of a scenario file
EFFECTS = ("repeatable", "by_key", "once")
WAYS = ("there", "back", "both")  # what is asked over a link, what is answered
MEMBERS = ("leader", "follower")
RESETS = ("before", "accepted", "in", "after")

# Each fault with what must be told of it and what may be; `at` goes with all.
FAULTS: dict[str, tuple[frozenset[str], frozenset[str]]] = {
    name: (frozenset(needed.split()), frozenset(allowed.split()))
    for name, needed, allowed in (
        ("burst", "lasts size", "edge"),
        ("fast_errors", "lasts share", "fails tier"),
        ("slow", "lasts size", "share tier"),
        ("deploy", "lasts", "share at_once drain tier"),
        ("kill", "", "count back tier zone"),
        ("freeze", "lasts", "count tier zone"),
        ("vanish", "lasts", "count tier zone"),
        ("reset", "lasts manner", "count fails tier"),
        ("drip", "lasts", "count fails tier"),
        ("garbage", "lasts", "count fails tier"),
        ("discovery_outage", "lasts", ""),
        ("discovery_silence", "lasts", ""),
        ("discovery_stale", "lasts", ""),
        ("discovery_partial", "lasts share", ""),
        ("discovery_move", "", "count"),
        ("proxy_kill", "", "count back"),
        ("proxy_term", "", "count back"),
        ("proxy_stop", "lasts", "count"),
        ("descriptors", "lasts size", "count"),
        ("peers", "lasts manner rate", ""),
        ("flood", "lasts manner", "count"),
        ("cut", "lasts manner", "count"),
        ("node_cut", "lasts manner", "count tier zone"),
        ("node_late", "lasts size", "count tier zone"),
        ("node_reset", "", "count tier zone"),
        ("operators_cut", "lasts manner", "count"),
        ("store_kill", "back", "manner"),
        ("store_stop", "lasts", "manner"),
        ("store_depose", "", ""),
        ("store_slow", "lasts size", ""),
        ("store_full", "lasts", ""),
        ("store_forward", "size", ""),
    )
}


class _Block(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """What all blocks share: no field that is not known."""

    def above(self, *names: str) -> None:
        for name in names:
            value = getattr(self, name)
            if not (math.isfinite(value) and value > 0):
                raise ValueError(f"{name} must be above 0, not {value:g}")

    def within(self, low: float, high: float, *names: str) -> None:
        for name in names:
            value = getattr(self, name)
            if not low <= value <= high:
                raise ValueError(f"{name} must be {low:g} to {high:g}, not {value:g}")

    def ranges(self, low: float, high: float, *names: str) -> None:
        for name in names:
            first, last = getattr(self, name)
            if not low <= first <= last <= high:
                raise ValueError(f"{name} must be two figures in order, {low:g} to {high:g}")


class Run(_Block, frozen=True):
    """`scenario "name"`. Times in seconds."""

    name: str = "scenario"
    duration: float = 30.0
    seed: int = 1
    sample: float = 0.5  # s between two looks at the processes

    def __post_init__(self) -> None:
        self.above("duration", "sample")
        self.within(0, 86_400, "duration")


class Class(_Block, frozen=True):
    """`class "name"`: a class of requests and the work of one."""

    name: str = ""
    share: float = 1.0
    work_ms: float = 100.0  # mean, of a yardstick core, over all tiers
    spread: float = 1.0  # standard deviation over mean (lognormal)
    aim_ms: float = 600.0
    deadline_ms: float = 1500.0
    worth: float = 1.0
    effect: str = "repeatable"
    window_ms: float = 10_000.0  # by_key: in which nodes drop a repeat

    def __post_init__(self) -> None:
        self.above("share", "work_ms", "aim_ms", "deadline_ms")
        self.within(0, 1e9, "spread", "worth", "window_ms")
        if not re.fullmatch(r"[A-Za-z0-9._-]+", self.name):
            raise ValueError("needs a label of letters, digits, dots, dashes")
        if self.effect not in EFFECTS:
            raise ValueError(f"effect must be one of {', '.join(EFFECTS)}, not {self.effect}")


class Tenant(_Block, frozen=True):
    """`tenant "name"`."""

    name: str = ""
    share: float = 1.0  # of what the fleet can do, that it may use
    usage: float = 1.0  # times its share, that it asks for

    def __post_init__(self) -> None:
        self.above("share", "usage")


class Tier(_Block, frozen=True):
    """`tier "name"`: the first one is called by the proxies; each next one by the nodes of the one before,
    each through a proxy of its own."""

    name: str = "gateway"
    nodes: int = 8
    work: float = 1.0  # share of a request's work that is done here, for each call
    calls: float = 1.0  # of this tier for a request of the tier before, on average
    zones: tuple[str, ...] = ("a",)
    host: str = ""  # under which it is called; the proxy's address, if none is named
    features: str = ""  # a settings file of the proxies in front of it, in place of the others'

    def __post_init__(self) -> None:
        self.within(1, 1000, "nodes")
        self.above("work", "calls")
        if not self.zones:
            raise ValueError("zones must name one at least")


class Load(_Block, frozen=True):
    """`load`: what clients send."""

    rate: float = 170.0  # first tries a second
    arrivals: str = "poisson"
    shape: str = "steady"
    low: float = 0.5  # share of the rate at a shape's low point
    trace: str = ""  # a recorded trace in place of rate, arrivals and shape
    retries: int = 2
    try_share: float = 0.6  # of the deadline, after which a client gives a try up
    backoff_ms: tuple[float, float] = (30.0, 240.0)
    honours: float = 0.85
    workers: int = 1
    connections: int = 256
    valid_p99_ms: float = 10.0

    def __post_init__(self) -> None:
        self.above("rate", "valid_p99_ms")
        self.within(0, 1, "low", "honours")
        self.within(0, 10, "retries")
        self.within(1, 64, "workers")
        self.within(1, 100_000, "connections")
        self.within(0.01, 1, "try_share")
        self.ranges(0, 60_000, "backoff_ms")
        for name, words in (("arrivals", PROCESSES), ("shape", SHAPES)):
            if getattr(self, name) not in words:
                raise ValueError(f"{name} must be one of {', '.join(words)}, not {getattr(self, name)}")


class Proxies(_Block, frozen=True):
    """`proxies`: how many, and how they are started."""

    count: int = 2
    features: str = ""  # a settings file of theirs, from the checkout's root
    checkout: str = ""  # of another version of the program
    sockets: int = 1024
    memory_mb: int = 192
    quantum_ms: float = 5.0  # events come to the module no more often
    cpus: tuple[int, ...] = ()  # cores to which each proxy is held, in turn
    does: tuple[str, ...] = ()  # what each does, in turn: names of rig/bad.py; none: as it is

    def __post_init__(self) -> None:
        self.within(1, 64, "count")
        self.within(64, 1 << 20, "sockets")
        self.within(0, 1000, "quantum_ms")


class Discovery(_Block, frozen=True):
    """`discovery`: how late it is, and how much it can do."""

    notice_s: tuple[float, float] = (0.7, 3.0)  # from a change that a node announces to its being told
    silent_s: tuple[float, float] = (4.5, 9.0)  # from a node's silent end
    lines_per_s: float = 4000.0  # of lists, over all calls
    call_lines: float = 30.0  # that a call costs beside its lines
    patience_s: float = 1.0  # that a call waits for its turn

    def __post_init__(self) -> None:
        self.ranges(0, 600, "notice_s", "silent_s")
        self.above("lines_per_s", "patience_s")


class Store(_Block, frozen=True):
    """`store`: the stand-in for the coordination store, and the block by which each proxy joins it. `policy`:
    also the blocks routes and policy, with this `when_cut_off`; one that says the same in other words is
    proposed every `changes_every_s`, 0 for never."""

    members: int = 3
    prefix: str = "/scenario"
    ttl_s: int = 1
    timeout_ms: int = 500
    policy: str = ""
    changes_every_s: float = 0.0

    def __post_init__(self) -> None:
        self.within(1, 9, "members")
        self.within(0, 3600, "changes_every_s")
        if self.policy not in ("", "serve", "refuse"):
            raise ValueError(f"policy must be serve or refuse, not {self.policy}")
        if self.changes_every_s and not self.policy:
            raise ValueError("changes_every_s needs policy")
        self.within(1, 60, "ttl_s")
        self.within(1, 60_000, "timeout_ms")
        if not re.fullmatch(r"(/[A-Za-z0-9._-]+)+", self.prefix):
            raise ValueError("prefix must be a path like /scenario")


class Operators(_Block, frozen=True):
    """`operators`: who asks each proxy at its second address, over a relay."""

    every_s: float = 0.5  # s between two calls

    def __post_init__(self) -> None:
        self.within(0.02, 60, "every_s")


class Fault(_Block, frozen=True):
    """`fault "kind"`: what happens when. FAULTS says which settings go with which kind."""

    at: float  # s from the start
    kind: str = ""
    lasts: float = 0.0
    share: float = 1.0  # of the nodes
    count: int = 1  # nodes or proxies; of a flood: connections to each proxy
    size: float = 1.0
    edge: float = 0.3
    fails: float = 0.7  # share of the requests that it touches
    tier: str = ""  # the first one, if none is named
    zone: str = ""  # all its nodes, in place of a count
    manner: str = ""
    back: float = 0.0  # s after which what ended starts again; 0: never
    at_once: float = 0.15  # of the nodes, that a deploy replaces at a time
    drain: float = 3.0  # s that a node drains before it ends
    rate: float = 0.0

    def __post_init__(self) -> None:
        if self.kind not in FAULTS:
            raise ValueError(f"no such fault: {self.kind or '(no label)'}; there are {', '.join(FAULTS)}")
        self.within(0, 86_400, "at", "lasts", "back", "drain", "edge")
        self.within(0, 1, "share", "fails", "at_once")
        self.within(1, 10_000 if self.kind == "flood" else 1000, "count")
        self.within(0, 1e6, "size", "rate")
        manners = {
            "reset": RESETS,
            "peers": MANNERS,
            "flood": CROWDS,
            "cut": WAYS,
            "node_cut": WAYS,
            "operators_cut": WAYS,
        }.get(self.kind)
        if self.manner and self.kind in ("store_kill", "store_stop"):
            manners = MEMBERS
        if manners is not None and self.manner not in manners:
            raise ValueError(f"manner must be one of {', '.join(manners)}")


class Scenario(msgspec.Struct, frozen=True, kw_only=True):
    """A whole file."""

    run: Run = Run()
    classes: tuple[Class, ...] = ()
    tenants: tuple[Tenant, ...] = ()
    tiers: tuple[Tier, ...] = ()
    kinds: tuple[Kind, ...] = ()
    load: Load = Load()
    proxies: Proxies = Proxies()
    discovery: Discovery = Discovery()
    store: Store | None = None
    operators: Operators | None = None
    faults: tuple[Fault, ...] = ()


T = TypeVar("T", bound=msgspec.Struct)
SINGLE: dict[str, type[msgspec.Struct]] = {
    "load": Load,
    "proxies": Proxies,
    "discovery": Discovery,
    "store": Store,
    "operators": Operators,
}
MANY: dict[str, tuple[str, type[msgspec.Struct]]] = {
    "class": ("classes", Class),
    "tenant": ("tenants", Tenant),
    "tier": ("tiers", Tier),
    "kind": ("kinds", Kind),
    "fault": ("faults", Fault),
}
FIELD = re.compile(r"`\$\.(\w+)")
UNKNOWN = re.compile(r"unknown field `(\w+)`")
STARTS = re.compile(r"(\w+) must ")


def checked(block: Block, text: str, path: str, form: type[T], more: dict[str, Any]) -> T:
    """A block as its settings; raises ScenarioError with file, line and reason."""
    try:
        return msgspec.convert({**more, **block.values}, form)
    except msgspec.ValidationError as fault:
        reason = str(fault)
        found = UNKNOWN.search(reason) or FIELD.search(reason) or STARTS.match(reason)
        key = found[1] if found is not None else ""
        line = block.line_of(text, key) if key else block.line
        named = reason if not key or key in reason.split("`$")[0] else f"{key}: {reason.split(' - at')[0]}"
        raise ScenarioError(f"{path}:{line}: {block.name}: {named.split(' - at `$')[0]}") from None


def read_blocks(path: str | Path) -> tuple[str, list[Block]]:
    """A file's text and blocks; raises ScenarioError."""
    try:
        raw = Path(path).read_bytes()
    except OSError as fault:
        raise ScenarioError(f"{path}: {fault.strerror or fault}") from None
    if len(raw) > LARGEST:
        raise ScenarioError(f"{path}: too large")
    try:
        text = raw.decode("utf-8")
        return text, blocks_of(text)
    except ValueError as fault:
        place = re.search(r"at line (\d+)", str(fault))
        raise ScenarioError(f"{path}:{place[1] if place else 1}: {' '.join(str(fault).split())}") from None


def read(path: str | Path) -> Scenario:
    """Raises ScenarioError: one line with file, line and reason."""
    text, blocks = read_blocks(path)
    return of_blocks(text, blocks, str(path))


def _check_fault(block: Block, text: str, path: str) -> None:
    needed, allowed = FAULTS.get(block.label, (frozenset(), frozenset(block.values)))
    for key in block.values:
        if key not in needed | allowed | {"at"}:
            line = block.line_of(text, key)
            raise ScenarioError(f"{path}:{line}: fault: {key} does not go with {block.label}")
    for key in sorted(needed - block.values.keys()):
        raise ScenarioError(f"{path}:{block.line}: fault: {block.label} needs {key}")


def of_blocks(text: str, blocks: list[Block], path: str) -> Scenario:
    single: dict[str, Any] = {}
    many: dict[str, list[Any]] = {}
    for block in blocks:
        if block.name == "scenario" or block.name in SINGLE:
            field = "run" if block.name == "scenario" else block.name
            if field in single:
                raise ScenarioError(f"{path}:{block.line}: more than one block {block.name}")
            more = {"name": block.label} if block.name == "scenario" and block.label else {}
            single[field] = checked(block, text, path, SINGLE.get(block.name, Run), more)
        elif block.name in MANY:
            field, form = MANY[block.name]
            if block.name == "fault":
                _check_fault(block, text, path)
            label = {"kind" if block.name == "fault" else "name": block.label} if block.label else {}
            found: Any = checked(block, text, path, form, label)
            if block.name != "fault" and any(other.name == found.name for other in many.get(field, [])):
                raise ScenarioError(f"{path}:{block.line}: {block.name}: {found.name} stands twice")
            many.setdefault(field, []).append(found)
        else:
            raise ScenarioError(f"{path}:{block.line}: unknown block {block.name}")
    fields: dict[str, Any] = {**single, **{name: tuple(found) for name, found in many.items()}}
    made = _with_defaults(Scenario(**fields))
    names = [tier.name for tier in made.tiers]
    faults = [block for block in blocks if block.name == "fault"]
    for block, fault in zip(faults, made.faults, strict=True):
        if fault.tier and fault.tier not in names:
            line = block.line_of(text, "tier")
            raise ScenarioError(f"{path}:{line}: fault: no tier {fault.tier}; there are {', '.join(names)}")
        if made.store is None and (fault.kind == "cut" or fault.kind.startswith("store_")):
            raise ScenarioError(f"{path}:{block.line}: fault: {fault.kind} needs a block store")
        if made.operators is None and fault.kind == "operators_cut":
            raise ScenarioError(f"{path}:{block.line}: fault: {fault.kind} needs a block operators")
        if fault.at >= made.run.duration:
            line = block.line_of(text, "at")
            raise ScenarioError(f"{path}:{line}: fault: at {fault.at:g} s is after the run's end")
    return made


DEFAULT_CLASSES = (
    Class(name="nearby", share=0.46, work_ms=32, spread=1.4, worth=1),
    Class(name="status", share=0.37, work_ms=35, spread=1.6, worth=3),
    Class(
        name="book-slot",
        share=0.17,
        work_ms=120,
        spread=1.6,
        aim_ms=2500,
        deadline_ms=6000,
        worth=5,
        effect="by_key",
    ),
)
DEFAULT_KINDS = (
    Kind(name="large", share=0.35, cores=3, speed=0.97, slots=60, room=54),
    Kind(name="small", share=0.65, cores=2, speed=0.75, slots=40, room=40),
)


def _with_defaults(made: Scenario) -> Scenario:
    return msgspec.structs.replace(
        made,
        classes=made.classes or DEFAULT_CLASSES,
        tiers=made.tiers or (Tier(),),
        kinds=made.kinds or DEFAULT_KINDS,
    )
