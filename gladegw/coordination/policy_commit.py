"""A change of policy, as each member goes through it and as it is decided: tables and functions without I/O.

Two phases (J. Gray, "Notes on data base operating systems", 1978, section 5.8.3.3), with the votes and the
decision in the store, so that no coordinator is missed: whoever holds the duty decides by one transaction,
and until it does nothing has changed. docs/design/policy.md has the invariants and the table.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace
from enum import Enum


class Phase(Enum):
    UNKNOWN = "unknown"  # has not read what is in force
    SETTLED = "settled"
    PREPARING = "preparing"  # a change is open
    VOTED_YES = "agreed"  # holds its bundle beside what is in force, and has voted yes
    VOTED_NO = "opposed"
    BEHIND = "behind"  # something is in force that it does not hold
    PREPARE_FAILED = "stuck"  # and can't


class Action(Enum):
    PREPARE = "prepare"  # fetch, check and compile `wanted`
    VOTE_YES = "yes"
    VOTE_NO = "no"
    ACTIVATE = "take"  # serve by `digest` from here on
    PREPARE_FALLBACK = (
        "spare"  # prepare the others' bundle too, beside serving: it is the way back from the stage
    )
    DISCARD_PREPARED = "drop"  # what is held beside is wanted no more


@dataclass(frozen=True, slots=True)
class CommittedPolicy:
    """What is in force, as the store has it for this member; epoch 0: nothing was decided yet. `base`: the
    bundle of the others, where this member is in a stage with one of its own."""

    epoch: int = 0
    digest: str = ""
    baseline: str = ""

    @property
    def fleet_digest(self) -> str:
        """By which all members name this epoch."""
        return self.baseline or self.digest


@dataclass(frozen=True, slots=True)
class OpenChange:
    """A change that is open. `id` is the create revision of its key."""

    id: int
    epoch: int
    digest: str
    baseline: str = ""  # as in `Force`

    @property
    def fleet_digest(self) -> str:
        return self.baseline or self.digest


@dataclass(frozen=True, slots=True)
class Participant:
    """`epoch`, `digest`: of what it serves by. `held`: digest of what is prepared beside it. `joined`: it has
    served under this membership, so that it goes on while a change is open. `spare`: what it served by before
    it was in a stage, held for the way back. `alone`: the epoch in which it went back by itself."""

    phase: Phase = Phase.UNKNOWN
    epoch: int = -1
    digest: str = ""
    prepared: str = ""
    preparing: str = ""  # what is being prepared
    open_change: OpenChange | None = None
    committed: CommittedPolicy = field(default_factory=CommittedPolicy)
    joined: bool = False
    fallback: str = ""
    reverted_epoch: int = -1
    seen_revision: int = 0  # revision of the newest word of the store that was heeded

    @property
    def may_serve(self) -> bool:
        """Whether requests may be answered by `digest`, as far as is known."""
        return self.joined and self.phase not in (Phase.BEHIND, Phase.PREPARE_FAILED)


P, A = Phase, Action
Actions = tuple[Action, ...]


def on_store_update(
    member: Participant, force: CommittedPolicy, change: OpenChange | None, revision: int
) -> tuple[Participant, Actions]:
    """The store's word: what is in force and which change is open, at one revision. One that is older than
    what was heeded, or would take an epoch back, changes nothing."""
    if revision < member.seen_revision or force.epoch < member.epoch:
        return member, ()
    if force.epoch == member.reverted_epoch:
        force = CommittedPolicy(force.epoch, force.fleet_digest)
    member = replace(member, seen_revision=revision)
    actions: Actions = ()
    if force.epoch > member.epoch or member.phase is P.UNKNOWN:
        member, actions = _on_commit(member, force)
    if member.phase in (P.BEHIND, P.PREPARE_FAILED):
        return replace(member, open_change=change), actions
    member, more = _on_open_change(member, change)
    return member, actions + more


def _on_commit(member: Participant, force: CommittedPolicy) -> tuple[Participant, Actions]:
    if force.digest in (member.prepared, member.digest, member.fallback) or not force.digest:
        return _activated(replace(member, committed=force))
    if member.phase is P.BEHIND and member.preparing == force.digest:
        return replace(member, committed=force), ()
    if member.phase is P.PREPARE_FAILED and member.committed.digest == force.digest:
        return replace(member, committed=force), ()  # tried again in its time, not at each word
    drop = (A.DISCARD_PREPARED,) if member.prepared else ()
    return replace(member, phase=P.BEHIND, committed=force, preparing=force.digest, prepared=""), (
        *drop,
        A.PREPARE,
    )


def _activated(member: Participant) -> tuple[Participant, Actions]:
    force = member.committed
    had = (member.digest, member.fallback)
    spare = force.baseline if force.baseline and force.baseline in had else ""
    after = replace(
        member,
        phase=P.SETTLED,
        epoch=force.epoch,
        digest=force.digest,
        prepared="",
        preparing="",
        open_change=None,
        fallback=spare,
    )
    return after, (A.ACTIVATE, A.PREPARE_FALLBACK) if force.baseline and not spare else (A.ACTIVATE,)


def on_fallback_prepared(member: Participant, digest: str) -> Participant:
    """The way back is prepared, by one that began within the stage."""
    wanted = member.committed.baseline == digest and member.epoch == member.committed.epoch
    return replace(member, fallback=digest) if wanted else member


def revert_unconfirmed(member: Participant) -> tuple[Participant, Actions]:
    """In a stage, and nobody conducts it as far as it hears: back to what the others serve by, for this
    epoch. That much was decided with the stage."""
    force = member.committed
    if (
        not force.baseline
        or member.epoch != force.epoch
        or member.phase in (P.UNKNOWN, P.BEHIND, P.PREPARE_FAILED)
    ):
        return member, ()
    alone, back = replace(member, reverted_epoch=force.epoch), CommittedPolicy(force.epoch, force.baseline)
    if member.fallback == force.baseline:  # a vote that it has given stands, and what that holds
        return replace(alone, committed=back, digest=back.digest, fallback=""), (A.ACTIVATE,)
    drop = (A.DISCARD_PREPARED,) if member.prepared else ()
    after, actions = _on_commit(replace(alone, prepared=""), back)
    return after, drop + actions


def _on_open_change(member: Participant, change: OpenChange | None) -> tuple[Participant, Actions]:
    """With what is in force taken. A change for another epoch than the next can't be decided."""
    if change is not None and change.epoch != member.epoch + 1:
        change = None
    if change is None:
        drop = (A.DISCARD_PREPARED,) if member.prepared else ()
        return replace(
            member, phase=P.SETTLED, open_change=None, prepared="", preparing="", joined=True
        ), drop
    if member.open_change is not None and member.open_change.id == change.id:
        return member, ()
    drop = (A.DISCARD_PREPARED,) if member.prepared else ()
    after = replace(member, phase=P.PREPARING, open_change=change, prepared="", preparing=change.digest)
    return after, (*drop, A.PREPARE)


def on_prepare_result(member: Participant, digest: str, able: bool) -> tuple[Participant, Actions]:
    """What became of a PREPARE. One that is wanted no more changes nothing."""
    if digest != member.preparing or member.phase not in (P.PREPARING, P.BEHIND):
        return member, ()
    if member.phase is P.PREPARING:
        if able:
            return replace(member, phase=P.VOTED_YES, prepared=digest, preparing="", joined=True), (
                A.VOTE_YES,
            )
        return replace(member, phase=P.VOTED_NO, preparing=""), (A.VOTE_NO,)
    if not able:
        return replace(member, phase=P.PREPARE_FAILED, preparing=""), ()
    change = member.open_change
    after, actions = _activated(replace(member, prepared=digest))
    after, more = _on_open_change(after, change)
    return after, actions + more


def retry_prepare(member: Participant) -> tuple[Participant, Actions]:
    """What could not be prepared is tried once more: a library may have come, a time of caution be over."""
    if member.phase is not P.PREPARE_FAILED:
        return member, ()
    return replace(member, phase=P.BEHIND, preparing=member.committed.digest), (A.PREPARE,)


def on_rejoin(member: Participant, keep_serving: bool = False) -> Participant:
    """Its lease was lost and it is registered anew: it may have missed what was decided meanwhile, and the
    vote under the old lease is gone. `goes_on`: nothing can be decided without it, so it serves as before
    while it asks; but not if it had agreed, since with that vote it may have been."""
    keep_serving = keep_serving and member.may_serve and not in_doubt(member)
    return replace(member, phase=P.UNKNOWN, open_change=None, prepared="", preparing="", joined=keep_serving)


def in_doubt(member: Participant) -> bool:
    """Whether what it serves by may be over without its having heard: it has agreed to a change. Until it
    hears what became of it, it may serve only as long as it knows the store's word, whatever the settings say
    of one that is cut off."""
    return member.phase is P.VOTED_YES


class Outcome(Enum):
    PENDING = "wait"
    COMMIT = "yes"
    ABORT = "no"


@dataclass(frozen=True, slots=True)
class Vote:
    """Of one process on one change: bound to both by id and digest."""

    change: int
    digest: str
    yes: bool
    reason: str = ""


@dataclass(frozen=True, slots=True)
class Decision:
    outcome: Outcome
    reason: str = ""
    awaited: tuple[str, ...] = ()


def decide(
    change: OpenChange,
    force: CommittedPolicy,
    proposed_with: Iterable[str],
    registered: Iterable[str],
    votes: Mapping[str, Vote],
    signed_off: Iterable[str] = (),
    unreached: Iterable[str] = (),
) -> Decision:
    """`proposed_with`: who was registered at the proposal. `signed_off`: of those, who left in order.
    `unreached`: names that are known and have no process, where that is a reason (`when_cut_off` serve)."""
    there = set(registered)
    if change.epoch != force.epoch + 1:
        return Decision(Outcome.ABORT, f"epoch {force.epoch} came first")
    lost = sorted(set(proposed_with) - there - set(signed_off))
    if lost:
        return Decision(Outcome.ABORT, f"lost while it was open: {', '.join(lost)}")
    valid = {
        who: vote
        for who, vote in votes.items()
        if who in there and vote.change == change.id and vote.digest == change.digest
    }
    against = sorted(who for who, vote in valid.items() if not vote.yes)
    if against:
        return Decision(Outcome.ABORT, "; ".join(f"{who}: {valid[who].reason}" for who in against))
    missing = sorted(unreached)
    if missing:
        return Decision(Outcome.ABORT, f"not reached: {', '.join(missing)}")
    awaited = tuple(sorted(there - valid.keys()))
    if awaited or not there:
        return Decision(Outcome.PENDING, "", awaited)
    return Decision(Outcome.COMMIT)
