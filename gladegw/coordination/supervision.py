"""The state machine of a supervisor, which replaces one proxy's process by another started beside it.

It does no I/O and reads no clock; docs/design/supervise.md has the invariants. `step` is called repeatedly
with the status of both processes: `current` serves, `other` may replace it.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import Enum


class Phase(Enum):
    """The state of the supervision; the values are stored."""

    STARTING = "starting"  # no process serves: the first one or a restarted one is starting
    STEADY = "steady"  # one process, which serves
    STARTING_REPLACEMENT = "bringing up"  # a second process is starting beside the serving one
    VERIFYING = "proving"  # the replacement accepts connections too; the previous process is unchanged
    RETAINING_PREVIOUS = "keeping"  # the replacement serves; the previous process is drained, for a rollback
    STOPPING_PREVIOUS = "ending"
    STOPPING_REPLACEMENT = "giving up"  # the previous process keeps serving


class Slot(Enum):
    """Which of the two processes an action concerns."""

    CURRENT = "current"
    OTHER = "other"


class ActionKind(Enum):
    """What the supervisor has to do with a process."""

    START = "start"
    TERMINATE = "term"
    KILL = "kill"
    DRAIN = "lame"  # drain, but keep running
    REJOIN = "rejoin"  # end the drain and serve again
    PROMOTE = "swap"  # the other process becomes the current one


Action = tuple[ActionKind, Slot]
Actions = tuple[Action, ...]


@dataclass(frozen=True, slots=True)
class ProcessStatus:
    """The observed status of a process.

    `failure` is why a live process must be stopped, and `exit_reason` what is known about why it exited.
    `insufficient_traffic` means that the process received too few requests to be verified, while the previous
    process received enough.
    """

    alive: bool = False
    ready: bool = False
    failure: str = ""
    exit_reason: str = ""
    insufficient_traffic: bool = False


NOT_RUNNING = ProcessStatus()


@dataclass(frozen=True, slots=True)
class Timeouts:
    """Timeouts in s; the restart backoff doubles with each consecutive exit, up to its maximum."""

    ready: float = 30.0
    verify: float = 5.0
    drain: float = 10.0
    restart_backoff: float = 0.5
    max_restart_backoff: float = 30.0


@dataclass(frozen=True, slots=True)
class Supervision:
    """The supervision's state; the field names are stored.

    Version `wanted` was requested under `epoch`, `current` is the serving process's and `coming` the
    replacement's. `refused` are the versions that failed under `epoch` and are not attempted again. `tried`
    is the epoch of the attempt in progress, since a failure under an older epoch does not count for this one.
    With `keep` the previous process is retained until the version is confirmed. `good` is the version that
    was last steady for the verification time; failed starts fall back to it. `since` is when the phase began,
    in s.
    """

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
    deaths: int = 0  # consecutive exits, until a process has been steady for the verification time
    restarts: int = 0  # since the version was requested
    begun: bool = False  # in phase STARTING: the process was started, so the restart backoff is over
    leaving: bool = False  # the current process was sent TERMINATE
    killed: bool = False  # a process was sent KILL in this phase


VERIFY_EXTENSION = 4.0  # factor on the verification time while traffic is insufficient
DEATHS_BEFORE_FALLBACK = 2  # consecutive exits after which the last good version is started


def request_version(state: Supervision, version: str, epoch: int, keep: bool = False) -> Supervision:
    """Request a version; a repeated request changes nothing."""
    if epoch == state.epoch and version == state.wanted:
        return state
    return replace(state, wanted=version, epoch=epoch, keep=keep, refused=frozenset(), reason="", restarts=0)


def step(
    state: Supervision, current: ProcessStatus, other: ProcessStatus, now: float, timeouts: Timeouts
) -> tuple[Supervision, Actions]:
    """Return the new state and the actions to take; each action is returned once."""
    handler = {
        Phase.STARTING: _starting,
        Phase.STEADY: _steady,
        Phase.STARTING_REPLACEMENT: _starting_replacement,
        Phase.VERIFYING: _verifying,
        Phase.RETAINING_PREVIOUS: _retaining_previous,
        Phase.STOPPING_PREVIOUS: _stopping_previous,
        Phase.STOPPING_REPLACEMENT: _stopping_replacement,
    }[state.phase]
    return handler(state, current, other, now, timeouts)


def _enter_phase(state: Supervision, phase: Phase, now: float, **changes: object) -> Supervision:
    return replace(state, phase=phase, since=now, killed=False, **changes)  # type: ignore[arg-type]


def _restart_backoff(state: Supervision, timeouts: Timeouts) -> float:
    return (
        0.0
        if not state.deaths
        else min(timeouts.max_restart_backoff, timeouts.restart_backoff * 2.0 ** (state.deaths - 1))
    )


def _starting(
    state: Supervision, current: ProcessStatus, other: ProcessStatus, now: float, timeouts: Timeouts
) -> tuple[Supervision, Actions]:
    if not state.begun:
        if now < state.since + _restart_backoff(state, timeouts):
            return state, ()
        if state.wanted not in state.refused:  # no process serves, so it is started directly
            state = replace(state, current=state.wanted)
        return _enter_phase(state, Phase.STARTING, now, begun=True), ((ActionKind.START, Slot.CURRENT),)
    if not current.alive:
        return _restart_after_exit(state, current.exit_reason or "the process exited at its start", now)
    if current.ready:
        return _enter_phase(state, Phase.STEADY, now), ()
    if now > state.since + timeouts.ready and not state.killed:
        return replace(state, killed=True), ((ActionKind.KILL, Slot.CURRENT),)
    return state, ()


def _restart_after_exit(state: Supervision, why: str, now: float) -> tuple[Supervision, Actions]:
    """Restart after an exit that left no process serving.

    Falls back to the last good version if the current one has exited repeatedly.
    """
    deaths, restarts = state.deaths + 1, state.restarts + 1
    after = _enter_phase(state, Phase.STARTING, now, begun=False, leaving=False, deaths=deaths)
    after = replace(after, restarts=restarts)
    has_failed = min(deaths, restarts) >= DEATHS_BEFORE_FALLBACK  # under this epoch, not an earlier one
    if has_failed and state.good not in ("", state.current):
        reason = f"{state.current}: {why}"
        refused = state.refused | {state.current}
        after = replace(after, current=state.good, refused=refused, reason=reason, deaths=0)
    return after, ()


def _steady(
    state: Supervision, current: ProcessStatus, other: ProcessStatus, now: float, timeouts: Timeouts
) -> tuple[Supervision, Actions]:
    if not current.alive:
        return _restart_after_exit(state, current.exit_reason, now)
    if state.leaving and now > state.since + timeouts.drain and not state.killed:
        return replace(state, killed=True), ((ActionKind.KILL, Slot.CURRENT),)
    if current.failure and not state.killed:  # it hangs, say; its exit is handled in a later step
        return replace(state, killed=True, reason=current.failure), ((ActionKind.KILL, Slot.CURRENT),)
    verified = now >= state.since + timeouts.verify and current.ready
    if verified and (state.deaths or state.good != state.current):
        state = replace(state, good=state.current, deaths=0)
    if state.wanted != state.current and state.wanted not in state.refused:
        after = _enter_phase(state, Phase.STARTING_REPLACEMENT, now, coming=state.wanted, tried=state.epoch)
        return after, ((ActionKind.START, Slot.OTHER),)
    return state, ()


def _stop_replacement(state: Supervision, why: str, now: float) -> tuple[Supervision, Actions]:
    after = _enter_phase(state, Phase.STOPPING_REPLACEMENT, now)
    return (_reject_version(after, why) if why else after), ((ActionKind.TERMINATE, Slot.OTHER),)


def _reject_version(state: Supervision, why: str) -> Supervision:
    """Record the failure of the replacement; its version is not refused if the current process has it too."""
    refused = state.refused
    if state.coming != state.current and state.tried == state.epoch:
        refused |= {state.coming}
    return replace(state, refused=refused, reason=f"{state.coming}: {why}")


def _promote(state: Supervision, now: float, ready: bool) -> tuple[Supervision, Actions]:
    """Make the replacement the current process, since the previous one has exited."""
    phase = Phase.STEADY if ready else Phase.STARTING
    after = _enter_phase(state, phase, now, current=state.coming, coming="", begun=True, leaving=False)
    return after, ((ActionKind.PROMOTE, Slot.OTHER),)


def _starting_replacement(
    state: Supervision, current: ProcessStatus, other: ProcessStatus, now: float, timeouts: Timeouts
) -> tuple[Supervision, Actions]:
    if not other.alive:
        why = other.exit_reason or "the process exited before it was ready"
        if not current.alive:
            return _restart_after_exit(replace(state, coming=""), why, now)
        return _enter_phase(_reject_version(state, why), Phase.STEADY, now, coming=""), ()
    if not current.alive:
        return _promote(state, now, other.ready)
    if state.wanted != state.coming and state.wanted not in state.refused:
        return _stop_replacement(state, "", now)
    if other.ready:
        return _enter_phase(state, Phase.VERIFYING, now), ()
    if now > state.since + timeouts.ready:
        return _stop_replacement(state, f"not ready in {timeouts.ready:g} s", now)
    return state, ()


def _verifying(
    state: Supervision, current: ProcessStatus, other: ProcessStatus, now: float, timeouts: Timeouts
) -> tuple[Supervision, Actions]:
    if not other.alive or not current.alive:
        return _starting_replacement(state, current, other, now, timeouts)
    if state.wanted != state.coming and state.wanted not in state.refused:
        return _stop_replacement(state, "", now)
    if other.failure or not other.ready:
        return _stop_replacement(state, other.failure or "no longer ready", now)
    if now >= state.since + timeouts.verify * (VERIFY_EXTENSION if other.insufficient_traffic else 1.0):
        if state.keep and state.coming != state.current:
            return _enter_phase(state, Phase.RETAINING_PREVIOUS, now), ((ActionKind.DRAIN, Slot.CURRENT),)
        return _enter_phase(state, Phase.STOPPING_PREVIOUS, now, leaving=True), (
            (ActionKind.TERMINATE, Slot.CURRENT),
        )
    return state, ()


def _retaining_previous(
    state: Supervision, current: ProcessStatus, other: ProcessStatus, now: float, timeouts: Timeouts
) -> tuple[Supervision, Actions]:
    """Wait for a confirmation; a rollback returns to the previous process, which is still running."""
    if not current.alive:
        if not other.alive:
            return _restart_after_exit(replace(state, coming=""), other.exit_reason, now)
        return _promote(state, now, other.ready)
    if not other.alive:
        after = _enter_phase(
            _reject_version(state, other.exit_reason or "the process exited"), Phase.STEADY, now, coming=""
        )
        return after, ((ActionKind.REJOIN, Slot.CURRENT),)
    why = other.failure
    if why or (state.wanted != state.coming and state.wanted not in state.refused):
        after, actions = _stop_replacement(state, why, now)
        return after, ((ActionKind.REJOIN, Slot.CURRENT), *actions)
    if not state.keep:
        return _enter_phase(state, Phase.STOPPING_PREVIOUS, now, leaving=True), (
            (ActionKind.TERMINATE, Slot.CURRENT),
        )
    return state, ()


def _stopping_previous(
    state: Supervision, current: ProcessStatus, other: ProcessStatus, now: float, timeouts: Timeouts
) -> tuple[Supervision, Actions]:
    if not current.alive:
        if not other.alive:
            return _restart_after_exit(replace(state, coming=""), other.exit_reason, now)
        return _promote(state, now, True)
    if not other.alive:  # the previous process is terminating too, so its version is started anew
        failed = _reject_version(
            state, f"{other.exit_reason or 'the process exited'} while the previous process was stopping"
        )
        after = _enter_phase(failed, Phase.STARTING_REPLACEMENT, now, coming=state.current)
        return after, ((ActionKind.START, Slot.OTHER),)
    if now > state.since + timeouts.drain and not state.killed:
        return replace(state, killed=True), ((ActionKind.KILL, Slot.CURRENT),)
    return state, ()


def _stopping_replacement(
    state: Supervision, current: ProcessStatus, other: ProcessStatus, now: float, timeouts: Timeouts
) -> tuple[Supervision, Actions]:
    if not other.alive:
        after = replace(state, coming="")
        if not current.alive:
            return _restart_after_exit(after, current.exit_reason, now)
        return _enter_phase(after, Phase.STEADY, now), ()
    if (now > state.since + timeouts.drain or not current.alive) and not state.killed:
        return replace(state, killed=True), ((ActionKind.KILL, Slot.OTHER),)
    return state, ()


@dataclass(frozen=True, slots=True)
class VersionOrder:
    """The version in force for one member, as last read from the store; the field names are stored.

    `base` is the other members' version while this member is in a stage of a rollout, and empty otherwise.
    After `confirm` s without a heartbeat of the rollout the member reverts to it by itself, for the rest of
    this epoch.
    """

    epoch: int = -1
    version: str = ""
    base: str = ""
    confirm: float = 0.0
    heard: float = 0.0  # time of the last heartbeat by this host's clock, s
    sign: int = 0  # store revision of the last heartbeat
    alone: bool = False  # reverted by itself

    @property
    def wanted(self) -> str:
        """The version to run."""
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
    """Apply a version order read from the store, and the revision `sign` of the rollout's heartbeat.

    An older epoch than one already applied changes nothing.
    """
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
    """Revert to the base version, for this epoch, if the stage had no heartbeat for `confirm` s."""
    if order.base and not order.alone and order.confirm and now > order.heard + order.confirm:
        return replace(order, alone=True)
    return order
