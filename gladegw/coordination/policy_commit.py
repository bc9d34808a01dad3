"""Two-phase commit of policy changes: the participant's state machine and the coordinator's decision.

Without I/O. The votes and the decision are in the store, so the loss of a coordinator blocks nothing:
whichever member holds the duty next decides in one transaction, and until then nothing has changed (two
phases as in J. Gray, "Notes on data base operating systems", 1978, section 5.8.3.3). docs/design/policy.md
has the invariants and the transition table.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace
from enum import Enum


class Phase(Enum):
    """The state of a participant."""

    UNKNOWN = "unknown"  # has not read the committed policy
    SETTLED = "settled"
    PREPARING = "preparing"  # a change is open
    VOTED_YES = "agreed"  # has prepared the change's bundle beside the committed one
    VOTED_NO = "opposed"
    BEHIND = "behind"  # has not prepared the committed policy
    PREPARE_FAILED = "stuck"  # could not prepare the committed policy


class Action(Enum):
    """What the member has to do after a transition."""

    PREPARE = "prepare"  # fetch, check and compile the bundle `preparing`
    VOTE_YES = "yes"
    VOTE_NO = "no"
    ACTIVATE = "take"  # serve by `digest` from now on
    PREPARE_FALLBACK = "spare"  # prepare the baseline's bundle, to leave the stage without a delay
    DISCARD_PREPARED = "drop"


@dataclass(frozen=True, slots=True)
class CommittedPolicy:
    """The policy in force for this member; epoch 0 means that none was committed yet.

    `baseline` is the digest of the other members' bundle while this member is in a rollout's stage, and empty
    otherwise.
    """

    epoch: int = 0
    digest: str = ""
    baseline: str = ""

    @property
    def fleet_digest(self) -> str:
        """The digest by which all members identify this epoch."""
        return self.baseline or self.digest


@dataclass(frozen=True, slots=True)
class OpenChange:
    """An open change; `id` is the create revision of its key."""

    id: int
    epoch: int
    digest: str
    baseline: str = ""  # as in CommittedPolicy

    @property
    def fleet_digest(self) -> str:
        """The digest by which all members identify this change."""
        return self.baseline or self.digest


@dataclass(frozen=True, slots=True)
class Participant:
    """A member's state in the two-phase commit.

    `epoch` and `digest` name the policy it serves by. `prepared` and `fallback` are digests of further
    bundles that are compiled: for the open change, and for leaving the stage. `joined` means that it has
    served since it registered, so it keeps serving while a change is open. `reverted_epoch` is the epoch in
    which it left the stage by itself; -1 if none.
    """

    phase: Phase = Phase.UNKNOWN
    epoch: int = -1
    digest: str = ""
    prepared: str = ""
    preparing: str = ""  # digest of the bundle that is being prepared
    open_change: OpenChange | None = None
    committed: CommittedPolicy = field(default_factory=CommittedPolicy)
    joined: bool = False
    fallback: str = ""
    reverted_epoch: int = -1
    seen_revision: int = 0  # store revision of the newest update that was applied

    @property
    def may_serve(self) -> bool:
        """Whether requests may be answered by the policy `digest`."""
        return self.joined and self.phase not in (Phase.BEHIND, Phase.PREPARE_FAILED)


P, A = Phase, Action
Actions = tuple[Action, ...]


def on_store_update(
    member: Participant, committed: CommittedPolicy, change: OpenChange | None, revision: int
) -> tuple[Participant, Actions]:
    """Apply the store's state at one revision: the committed policy and the open change.

    An update older than one already applied, or with a lower epoch, changes nothing.
    """
    if revision < member.seen_revision or committed.epoch < member.epoch:
        return member, ()
    if committed.epoch == member.reverted_epoch:
        committed = CommittedPolicy(committed.epoch, committed.fleet_digest)
    member = replace(member, seen_revision=revision)
    actions: Actions = ()
    if committed.epoch > member.epoch or member.phase is P.UNKNOWN:
        member, actions = _on_commit(member, committed)
    if member.phase in (P.BEHIND, P.PREPARE_FAILED):
        return replace(member, open_change=change), actions
    member, more = _on_open_change(member, change)
    return member, actions + more


def _on_commit(member: Participant, committed: CommittedPolicy) -> tuple[Participant, Actions]:
    if committed.digest in (member.prepared, member.digest, member.fallback) or not committed.digest:
        return _activated(replace(member, committed=committed))
    if member.phase is P.BEHIND and member.preparing == committed.digest:
        return replace(member, committed=committed), ()
    if member.phase is P.PREPARE_FAILED and member.committed.digest == committed.digest:
        return replace(member, committed=committed), ()  # retried on a timer, not at each update
    after = replace(member, phase=P.BEHIND, committed=committed, preparing=committed.digest, prepared="")
    return after, (*_discard_prepared(member), A.PREPARE)


def _discard_prepared(member: Participant) -> Actions:
    return (A.DISCARD_PREPARED,) if member.prepared else ()


def _activated(member: Participant) -> tuple[Participant, Actions]:
    committed = member.committed
    ready = (member.digest, member.fallback)
    fallback = committed.baseline if committed.baseline and committed.baseline in ready else ""
    after = replace(
        member,
        phase=P.SETTLED,
        epoch=committed.epoch,
        digest=committed.digest,
        prepared="",
        preparing="",
        open_change=None,
        fallback=fallback,
    )
    return after, (A.ACTIVATE, A.PREPARE_FALLBACK) if committed.baseline and not fallback else (A.ACTIVATE,)


def on_fallback_prepared(member: Participant, digest: str) -> Participant:
    """Record that the fallback is prepared, if it still belongs to the stage."""
    wanted = member.committed.baseline == digest and member.epoch == member.committed.epoch
    return replace(member, fallback=digest) if wanted else member


def revert_unconfirmed(member: Participant) -> tuple[Participant, Actions]:
    """Leave the stage for the rest of this epoch, because its rollout sends no heartbeats.

    The member then serves by the baseline, which was committed together with the stage.
    """
    committed = member.committed
    if (
        not committed.baseline
        or member.epoch != committed.epoch
        or member.phase in (P.UNKNOWN, P.BEHIND, P.PREPARE_FAILED)
    ):
        return member, ()
    reverted = replace(member, reverted_epoch=committed.epoch)
    baseline = CommittedPolicy(committed.epoch, committed.baseline)
    if member.fallback == committed.baseline:  # a vote already sent stays valid, and so does its bundle
        return replace(reverted, committed=baseline, digest=baseline.digest, fallback=""), (A.ACTIVATE,)
    after, actions = _on_commit(replace(reverted, prepared=""), baseline)
    return after, _discard_prepared(member) + actions


def _on_open_change(member: Participant, change: OpenChange | None) -> tuple[Participant, Actions]:
    """Apply the open change once the committed policy is active.

    A change for any epoch but the next cannot be committed and is ignored.
    """
    if change is not None and change.epoch != member.epoch + 1:
        change = None
    if change is None:
        after = replace(member, phase=P.SETTLED, open_change=None, prepared="", preparing="", joined=True)
        return after, _discard_prepared(member)
    if member.open_change is not None and member.open_change.id == change.id:
        return member, ()
    after = replace(member, phase=P.PREPARING, open_change=change, prepared="", preparing=change.digest)
    return after, (*_discard_prepared(member), A.PREPARE)


def on_prepare_result(member: Participant, digest: str, able: bool) -> tuple[Participant, Actions]:
    """Apply the result of a PREPARE action; the result of an obsolete one is ignored."""
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
    """Retry a preparation that failed, since its cause may be gone."""
    if member.phase is not P.PREPARE_FAILED:
        return member, ()
    return replace(member, phase=P.BEHIND, preparing=member.committed.digest), (A.PREPARE,)


def on_rejoin(member: Participant, keep_serving: bool = False) -> Participant:
    """Reset a member that lost its lease and has registered again.

    It may have missed commits, and its vote under the old lease is gone. `keep_serving` means that nothing
    can be committed without this member, so it keeps serving while it reads the store. After a yes vote it
    does not, since the change may have been committed with that vote.
    """
    keep_serving = keep_serving and member.may_serve and not in_doubt(member)
    return replace(member, phase=P.UNKNOWN, open_change=None, prepared="", preparing="", joined=keep_serving)


def in_doubt(member: Participant) -> bool:
    """Whether another policy may have been committed without the member's knowledge.

    That is possible once it has voted yes. Until it knows the outcome, the member may serve only while it is
    connected to the store, whatever the setting `when_cut_off` says.
    """
    return member.phase is P.VOTED_YES


class Outcome(Enum):
    """The outcome of an open change so far."""

    PENDING = "wait"
    COMMIT = "yes"
    ABORT = "no"


@dataclass(frozen=True, slots=True)
class Vote:
    """The vote of one process, bound to one change by its id and digest."""

    change: int
    digest: str
    yes: bool
    reason: str = ""


@dataclass(frozen=True, slots=True)
class Decision:
    """The coordinator's decision; `awaited` has the processes whose votes are missing."""

    outcome: Outcome
    reason: str = ""
    awaited: tuple[str, ...] = ()


def decide(
    change: OpenChange,
    committed: CommittedPolicy,
    proposed_with: Iterable[str],
    registered: Iterable[str],
    votes: Mapping[str, Vote],
    signed_off: Iterable[str] = (),
    unreached: Iterable[str] = (),
) -> Decision:
    """Decide an open change from the votes.

    `proposed_with` has the processes registered at the proposal and `signed_off` those of them that left
    gracefully. `unreached` has the known names without a process if those block a commit (`when_cut_off` is
    `serve`), and is empty otherwise.
    """
    present = set(registered)
    if change.epoch != committed.epoch + 1:
        return Decision(Outcome.ABORT, f"epoch {committed.epoch} came first")
    lost = sorted(set(proposed_with) - present - set(signed_off))
    if lost:
        return Decision(Outcome.ABORT, f"lost while it was open: {', '.join(lost)}")
    valid = {
        name: vote
        for name, vote in votes.items()
        if name in present and vote.change == change.id and vote.digest == change.digest
    }
    rejecting = sorted(name for name, vote in valid.items() if not vote.yes)
    if rejecting:
        return Decision(Outcome.ABORT, "; ".join(f"{name}: {valid[name].reason}" for name in rejecting))
    missing = sorted(unreached)
    if missing:
        return Decision(Outcome.ABORT, f"not reached: {', '.join(missing)}")
    awaited = tuple(sorted(present - valid.keys()))
    if awaited or not present:
        return Decision(Outcome.PENDING, "", awaited)
    return Decision(Outcome.COMMIT)
