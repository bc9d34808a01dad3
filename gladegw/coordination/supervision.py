"""One proxy's processes under a supervisor: the one that serves and, while it is replaced, another beside it.
A table without I/O and clock; docs/design/supervise.md has the invariants.

`step` is asked again and again with what is seen of both. `current` is who serves; `other` is who may follow.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import Enum


class Phase(Enum):
    STARTING = "starting"  # nobody serves: the first process, or one after a death, is coming up
    STEADY = "steady"
    STARTING_REPLACEMENT = "bringing up"  # another is coming up beside the one that serves
    VERIFYING = "proving"  # the other is ready and has the new connections; the one before is as it was
    RETAINING_PREVIOUS = "keeping"  # the other serves; the one before is drained and kept for the way back
    STOPPING_PREVIOUS = "ending"  # the one before was told to end
    STOPPING_REPLACEMENT = "giving up"  # the other was told to end; the one before serves on


class Slot(Enum):
    CURRENT = "current"
    OTHER = "other"


class ActionKind(Enum):
    START = "start"
    TERMINATE = "term"
    KILL = "kill"
    DRAIN = "lame"  # drain, and stay
    REJOIN = "rejoin"  # serve again
    PROMOTE = "swap"  # the other is the current one from here on


Action = tuple[ActionKind, Slot]
Actions = tuple[Action, ...]


@dataclass(frozen=True, slots=True)
class ProcessStatus:
    """`bad`: why it must not go on, though it is alive. `why`: what is known of its death. `thin`: it was
    asked too little for that to be known, though the one before it was asked."""

    alive: bool = False
    ready: bool = False
    failure: str = ""
    exit_reason: str = ""
    insufficient_traffic: bool = False


NOT_RUNNING = ProcessStatus()


@dataclass(frozen=True, slots=True)
class Timeouts:
    """All in s. `again`: after a death, doubled with each in a row, up to `again_most`."""

    ready: float = 30.0
    verify: float = 5.0
    drain: float = 10.0
    restart_backoff: float = 0.5
    max_restart_backoff: float = 30.0


@dataclass(frozen=True, slots=True)
class Supervision:
    """`wanted` was asked for under `epoch`. `refused`: what was tried under it and given up, and is not tried
    again; `tried`: the epoch of the try that is under way, since what failed under an older one says nothing
    of this. `keep`: the one before is kept, while this is not confirmed for good. `good`: the version that
    last was steady for as long as a proof takes, to which a start that fails falls back."""

    wanted: str
    current: str
    phase: Phase = Phase.STARTING
    since: float = 0.0
    coming: str = ""
    epoch: int = 0
    keep: bool = False
    tried: int = 0
    refused: frozenset[str] = frozenset()
    reason: str = ""
    good: str = ""
    deaths: int = 0  # in a row, before it was steady again
    restarts: int = 0  # in all, since this was asked for
    begun: bool = False  # whether what is starting was started
    leaving: bool = False  # who served was told to end
    killed: bool = False


VERIFY_EXTENSION = 4.0  # times the time of a proof, in which one that is asked too little may be judged still
DEATHS_BEFORE_FALLBACK = 2  # in a row at a start, after which the good version is taken again


def request_version(state: Supervision, version: str, epoch: int, keep: bool = False) -> Supervision:
    """Another word of who decides on versions; the same one again changes nothing."""
    if epoch == state.epoch and version == state.wanted:
        return state
    return replace(state, wanted=version, epoch=epoch, keep=keep, refused=frozenset(), reason="", restarts=0)


def step(
    state: Supervision, current: ProcessStatus, other: ProcessStatus, now: float, bounds: Timeouts
) -> tuple[Supervision, Actions]:
    """What is next, and what to do. Each action is asked for once."""
    found = {
        Phase.STARTING: _starting,
        Phase.STEADY: _steady,
        Phase.STARTING_REPLACEMENT: _starting_replacement,
        Phase.VERIFYING: _verifying,
        Phase.RETAINING_PREVIOUS: _retaining_previous,
        Phase.STOPPING_PREVIOUS: _stopping_previous,
        Phase.STOPPING_REPLACEMENT: _stopping_replacement,
    }[state.phase]
    return found(state, current, other, now, bounds)


def _to(state: Supervision, phase: Phase, now: float, **more: object) -> Supervision:
    return replace(state, phase=phase, since=now, killed=False, **more)  # type: ignore[arg-type]


def _restart_backoff(state: Supervision, bounds: Timeouts) -> float:
    return (
        0.0
        if not state.deaths
        else min(bounds.max_restart_backoff, bounds.restart_backoff * 2.0 ** (state.deaths - 1))
    )


def _starting(
    state: Supervision, current: ProcessStatus, other: ProcessStatus, now: float, bounds: Timeouts
) -> tuple[Supervision, Actions]:
    if not state.begun:
        if now < state.since + _restart_backoff(state, bounds):
            return state, ()
        if state.wanted not in state.refused:  # nobody serves: what is asked for now is as good as any
            state = replace(state, current=state.wanted)
        return _to(state, Phase.STARTING, now, begun=True), ((ActionKind.START, Slot.CURRENT),)
    if not current.alive:
        return _died(state, current.exit_reason or "it ended at its start", now)
    if current.ready:
        return _to(state, Phase.STEADY, now), ()
    if now > state.since + bounds.ready and not state.killed:
        return replace(state, killed=True), ((ActionKind.KILL, Slot.CURRENT),)
    return state, ()


def _died(state: Supervision, why: str, now: float) -> tuple[Supervision, Actions]:
    """Nobody serves. What was asked for and can't start is given up for what served before."""
    deaths = state.deaths + 1
    after = _to(state, Phase.STARTING, now, begun=False, leaving=False, deaths=deaths)
    after = replace(after, restarts=state.restarts + 1)
    if deaths >= DEATHS_BEFORE_FALLBACK and state.good not in ("", state.current):
        reason = f"{state.current}: {why}"
        refused = state.refused | {state.current}
        after = replace(after, current=state.good, refused=refused, reason=reason, deaths=0)
    return after, ()


def _steady(
    state: Supervision, current: ProcessStatus, other: ProcessStatus, now: float, bounds: Timeouts
) -> tuple[Supervision, Actions]:
    if not current.alive:
        return _died(state, current.exit_reason, now)
    if state.leaving and now > state.since + bounds.drain and not state.killed:
        return replace(state, killed=True), ((ActionKind.KILL, Slot.CURRENT),)
    if current.failure and not state.killed:  # it hangs; what follows is a death
        return replace(state, killed=True, reason=current.failure), ((ActionKind.KILL, Slot.CURRENT),)
    proven = now >= state.since + bounds.verify and current.ready
    if proven and (state.deaths or state.good != state.current):
        state = replace(state, good=state.current, deaths=0)
    if state.wanted != state.current and state.wanted not in state.refused:
        after = _to(state, Phase.STARTING_REPLACEMENT, now, coming=state.wanted, tried=state.epoch)
        return after, ((ActionKind.START, Slot.OTHER),)
    return state, ()


def _give_up(state: Supervision, why: str, now: float) -> tuple[Supervision, Actions]:
    after = _to(state, Phase.STOPPING_REPLACEMENT, now)
    return (_reject_version(after, why) if why else after), ((ActionKind.TERMINATE, Slot.OTHER),)


def _reject_version(state: Supervision, why: str) -> Supervision:
    """What is coming is no good. It may be one more of the version that serves: that one is not given up."""
    refused = state.refused
    if state.coming != state.current and state.tried == state.epoch:
        refused |= {state.coming}
    return replace(state, refused=refused, reason=f"{state.coming}: {why}")


def _promote(state: Supervision, now: float, ready: bool) -> tuple[Supervision, Actions]:
    """The one that served is gone, and the other is all there is."""
    phase = Phase.STEADY if ready else Phase.STARTING
    after = _to(state, phase, now, current=state.coming, coming="", begun=True, leaving=False)
    return after, ((ActionKind.PROMOTE, Slot.OTHER),)


def _starting_replacement(
    state: Supervision, current: ProcessStatus, other: ProcessStatus, now: float, bounds: Timeouts
) -> tuple[Supervision, Actions]:
    if not other.alive:
        why = other.exit_reason or "it ended before it was ready"
        if not current.alive:
            return _died(replace(state, coming=""), why, now)
        return _to(_reject_version(state, why), Phase.STEADY, now, coming=""), ()
    if not current.alive:
        return _promote(state, now, other.ready)
    if state.wanted != state.coming and state.wanted not in state.refused:
        return _give_up(state, "", now)
    if other.ready:
        return _to(state, Phase.VERIFYING, now), ()
    if now > state.since + bounds.ready:
        return _give_up(state, f"not ready in {bounds.ready:g} s", now)
    return state, ()


def _verifying(
    state: Supervision, current: ProcessStatus, other: ProcessStatus, now: float, bounds: Timeouts
) -> tuple[Supervision, Actions]:
    if not other.alive or not current.alive:
        return _starting_replacement(state, current, other, now, bounds)
    if state.wanted != state.coming and state.wanted not in state.refused:
        return _give_up(state, "", now)
    if other.failure or not other.ready:
        return _give_up(state, other.failure or "ready no more", now)
    if now >= state.since + bounds.verify * (VERIFY_EXTENSION if other.insufficient_traffic else 1.0):
        if state.keep and state.coming != state.current:
            return _to(state, Phase.RETAINING_PREVIOUS, now), ((ActionKind.DRAIN, Slot.CURRENT),)
        return _to(state, Phase.STOPPING_PREVIOUS, now, leaving=True), ((ActionKind.TERMINATE, Slot.CURRENT),)
    return state, ()


def _retaining_previous(
    state: Supervision, current: ProcessStatus, other: ProcessStatus, now: float, bounds: Timeouts
) -> tuple[Supervision, Actions]:
    """The way back is the one before, as it was: nothing has to come up for it."""
    if not current.alive:
        if not other.alive:
            return _died(replace(state, coming=""), other.exit_reason, now)
        return _promote(state, now, other.ready)
    if not other.alive:
        after = _to(_reject_version(state, other.exit_reason or "it ended"), Phase.STEADY, now, coming="")
        return after, ((ActionKind.REJOIN, Slot.CURRENT),)
    why = other.failure
    if why or (state.wanted != state.coming and state.wanted not in state.refused):
        after, actions = _give_up(state, why, now)
        return after, ((ActionKind.REJOIN, Slot.CURRENT), *actions)
    if not state.keep:
        return _to(state, Phase.STOPPING_PREVIOUS, now, leaving=True), ((ActionKind.TERMINATE, Slot.CURRENT),)
    return state, ()


def _stopping_previous(
    state: Supervision, current: ProcessStatus, other: ProcessStatus, now: float, bounds: Timeouts
) -> tuple[Supervision, Actions]:
    if not current.alive:
        if not other.alive:
            return _died(replace(state, coming=""), other.exit_reason, now)
        return _promote(state, now, True)
    if not other.alive:  # the one before leaves and can't be called back: another of its kind follows it
        failed = _reject_version(state, f"{other.exit_reason or 'it ended'} while the one before left")
        after = _to(failed, Phase.STARTING_REPLACEMENT, now, coming=state.current)
        return after, ((ActionKind.START, Slot.OTHER),)
    if now > state.since + bounds.drain and not state.killed:
        return replace(state, killed=True), ((ActionKind.KILL, Slot.CURRENT),)
    return state, ()


def _stopping_replacement(
    state: Supervision, current: ProcessStatus, other: ProcessStatus, now: float, bounds: Timeouts
) -> tuple[Supervision, Actions]:
    if not other.alive:
        after = replace(state, coming="")
        if not current.alive:
            return _died(after, current.exit_reason, now)
        return _to(after, Phase.STEADY, now), ()
    if (now > state.since + bounds.drain or not current.alive) and not state.killed:
        return replace(state, killed=True), ((ActionKind.KILL, Slot.OTHER),)
    return state, ()


@dataclass(frozen=True, slots=True)
class VersionOrder:
    """What the store has said last of versions to one name. `base`: the others' version while this name is in
    a stage; without a sign of the rollout for `confirm` s it goes back to that by itself, for this epoch."""

    epoch: int = -1
    version: str = ""
    base: str = ""
    confirm: float = 0.0
    heard: float = 0.0  # the last sign, by the own clock, s
    sign: int = 0  # its revision
    alone: bool = False

    @property
    def wanted(self) -> str:
        return self.base if self.alone else self.version


def apply_order(
    order: VersionOrder,
    name: str,
    epoch: int,
    version: str,
    new: str,
    named: tuple[str, ...],
    confirm: float,
    sign: int,
    now: float,
) -> VersionOrder:
    """The store's word. An epoch that is older than one that was heeded changes nothing."""
    if epoch < order.epoch:
        return order
    if epoch > order.epoch:
        mine = new if new and name in named else version
        base = version if mine != version else ""
        return VersionOrder(epoch, mine, base, confirm, now, max(sign, order.sign))
    if sign > order.sign:
        return replace(order, sign=sign, heard=now)
    return order


def revert_unconfirmed(order: VersionOrder, now: float) -> VersionOrder:
    """Back by itself, where nobody has conducted this stage for too long; it stays there for the epoch."""
    if order.base and not order.alone and order.confirm and now > order.heard + order.confirm:
        return replace(order, alone=True)
    return order
