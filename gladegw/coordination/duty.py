"""The state machine of a duty, which one member holds at a time.

The holder's key exists under its lease; the fencing token is the key's create revision, which only grows (the
etcd election recipe, etcd.io/docs "Interacting with etcd: leases and elections"). A member never infers
ownership from a request it has sent, only from the store: from a transaction's response or from its own key
in a watch. An effect is anything that only the holder may do. It is started only while `may_act` is true, and
the resource that it changes compares the token.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import Enum

from gladegw.coordination.lease import Lease
from gladegw.coordination.store import Compare, Delete, Get, Operation, Put, Target, Txn


class Phase(Enum):
    """The state of a duty at one member."""

    IDLE = "resting"  # neither holds nor claims it
    CLAIMING = "asking"  # a claim is in flight
    UNCERTAIN = "unsure"  # the claim's result is unknown, so the key is read
    HELD = "holding"
    RELEASING = "leaving"  # the key is being deleted; no new effect is started


class Event(Enum):
    """An input of the state machine."""

    CLAIM_DUE = "turn"  # the duty is vacant and this member's claim delay has passed
    OWNED = "mine"  # the store has this member's key
    OWNED_BY_OTHER = "other"  # the store has another member's key
    VACANT = "nobody"  # the store has no key
    UNKNOWN = "unknown"  # a request got no response
    EXPIRED = "expired"  # the lease: by the member's own clock, or because the store does not have it
    RELEASE = "leave"  # the member gives it up: on SIGTERM, LAMEDUCK, or a newer process of the same name


class Action(Enum):
    """What the member has to do after a transition."""

    CLAIM = "claim"
    READ = "read"
    START = "begin"
    STOP = "end"
    RELEASE = "give back"


P, E, A = Phase, Event, Action
# By phase and event: the next phase and the actions to take. A pair without an entry causes no transition.
TRANSITIONS: dict[tuple[Phase, Event], tuple[Phase, tuple[Action, ...]]] = {
    (P.IDLE, E.CLAIM_DUE): (P.CLAIMING, (A.CLAIM,)),
    (P.IDLE, E.OWNED): (P.HELD, (A.START,)),  # a claim presumed lost has succeeded
    (P.CLAIMING, E.OWNED): (P.HELD, (A.START,)),
    (P.CLAIMING, E.OWNED_BY_OTHER): (P.IDLE, ()),
    (P.CLAIMING, E.UNKNOWN): (P.UNCERTAIN, (A.READ,)),
    (P.CLAIMING, E.EXPIRED): (P.IDLE, ()),
    (P.CLAIMING, E.RELEASE): (P.RELEASING, (A.RELEASE,)),
    (P.UNCERTAIN, E.OWNED): (P.HELD, (A.START,)),
    (P.UNCERTAIN, E.OWNED_BY_OTHER): (P.IDLE, ()),
    (P.UNCERTAIN, E.VACANT): (P.IDLE, ()),
    (P.UNCERTAIN, E.UNKNOWN): (P.UNCERTAIN, (A.READ,)),
    (P.UNCERTAIN, E.EXPIRED): (P.IDLE, ()),
    (P.UNCERTAIN, E.RELEASE): (P.RELEASING, (A.RELEASE,)),
    (P.HELD, E.OWNED_BY_OTHER): (P.IDLE, (A.STOP,)),
    (P.HELD, E.VACANT): (P.IDLE, (A.STOP,)),
    (P.HELD, E.EXPIRED): (P.IDLE, (A.STOP,)),
    (P.HELD, E.RELEASE): (P.RELEASING, (A.STOP, A.RELEASE)),
    (P.RELEASING, E.VACANT): (P.IDLE, ()),
    (P.RELEASING, E.OWNED_BY_OTHER): (P.IDLE, ()),
    (P.RELEASING, E.OWNED): (P.RELEASING, (A.RELEASE,)),
    (P.RELEASING, E.UNKNOWN): (P.RELEASING, (A.RELEASE,)),
    (P.RELEASING, E.EXPIRED): (P.IDLE, ()),
}


@dataclass(frozen=True, slots=True)
class Duty:
    """The state of one duty at one member."""

    phase: Phase = Phase.IDLE
    token: int = 0  # fencing token; 0 while the duty is not held
    seen_revision: int = 0  # store revision of the newest update that was applied


def step(duty: Duty, event: Event, token: int = 0, revision: int = 0) -> tuple[Duty, tuple[Action, ...]]:
    """Apply an event and return the new state with the actions to take.

    `token` is given with OWNED only. `revision` is the store revision that the event reports, or 0 if the
    event does not come from the store. An update older than one already applied changes nothing, since
    responses and watch events arrive out of order.
    """
    if revision and revision < duty.seen_revision:
        return duty, ()
    updated = replace(duty, seen_revision=max(duty.seen_revision, revision))
    if event is Event.OWNED and duty.phase is P.HELD:
        if token == duty.token:
            return updated, ()
        return replace(updated, token=token), (A.STOP, A.START)  # this member's key was deleted and recreated
    transition = TRANSITIONS.get((duty.phase, event))
    if transition is None:
        return updated, ()
    phase, actions = transition
    return replace(updated, phase=phase, token=token if phase is P.HELD else 0), actions


def event_of_key(token: int, lease_of_key: int, lease: Lease) -> Event:
    """Return the event for a member that results from the duty's key as read from the store.

    Only a key under the member's current lease is its own. One under an older lease of the same process is
    not, because the member no longer tracks that lease's expiry. `token` 0 means that there is no key.
    """
    if not token:
        return Event.VACANT
    return Event.OWNED if lease.id and lease_of_key == lease.id else Event.OWNED_BY_OTHER


def may_act(duty: Duty, lease: Lease, now: float) -> bool:
    """Whether the member may start an effect at `now`.

    Call it immediately before each effect with a fresh reading of the clock, not on a timer.
    """
    return duty.phase is Phase.HELD and lease.is_valid(now)


def claim(key: bytes, record: bytes, lease: int) -> Txn:
    """Return the transaction that creates the duty's key if there is none, and reads it otherwise."""
    return Txn((Compare(key, Target.CREATE, "=", 0),), (Put(key, record, lease),), (Get(key),))


def release(key: bytes, lease: int, also: tuple[Operation, ...] = ()) -> Txn:
    """Return the transaction that deletes the duty's key, with the operations in `also`.

    It leaves the key in place if another member owns it by now. It compares the lease instead of the token,
    which is not known yet while the response to the claim is outstanding.
    """
    return Txn((Compare(key, Target.LEASE, "=", lease),), (Delete(key), *also), (Get(key),))


def fenced(key: bytes, token: int, *effects: Operation, compares: tuple[Compare, ...] = ()) -> Txn:
    """Return the transaction that writes `effects` if the key has this token and `compares` hold."""
    return Txn((Compare(key, Target.CREATE, "=", token), *compares), effects, (Get(key),))
