"""A duty that one member holds at a time, as each member goes through it: one table of states.

The holder's key exists under its lease; the token is the key's create revision, which only grows (the etcd
election recipe, etcd.io/docs "Interacting with etcd: leases and elections"). A member never infers that it
holds from what it has sent: only from the store's word, by an answered transaction or by seeing its own key.
Each effect is begun only while `may_act`, and compares the token where it writes.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import Enum

from gladegw.coordination.lease import Lease
from gladegw.coordination.store import Compare, Delete, Get, Operation, Put, Target, Txn


class Phase(Enum):
    IDLE = "resting"  # does not hold it and has asked for nothing
    CLAIMING = "asking"  # has sent a claim
    UNCERTAIN = "unsure"  # sent a claim, and can't know what became of it: it reads
    HELD = "holding"
    RELEASING = "leaving"  # gives it back: nothing is begun any more


class Event(Enum):
    CLAIM_DUE = "turn"  # nobody holds it, and it is this member's turn to claim
    OWNED = "mine"  # the store says that this member's key is there
    OWNED_BY_OTHER = "other"  # it says that another's is
    VACANT = "nobody"  # it says that there is none
    UNKNOWN = "unknown"  # a request was sent and not answered
    EXPIRED = "expired"  # the member's own bound has passed, or the store knows no such lease
    RELEASE = "leave"  # hand it over: SIGTERM, LAMEDUCK, a newer process of the same name


class Action(Enum):
    CLAIM = "claim"
    READ = "read"
    START = "begin"
    STOP = "end"
    RELEASE = "give back"


P, E, A = Phase, Event, Action
# Each pair that is not here changes nothing.
TRANSITIONS: dict[tuple[Phase, Event], tuple[Phase, tuple[Action, ...]]] = {
    (P.IDLE, E.CLAIM_DUE): (P.CLAIMING, (A.CLAIM,)),
    (P.IDLE, E.OWNED): (P.HELD, (A.START,)),  # a claim that was given up for lost has come through
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
    """One duty at one member. `seen` is the revision of the newest word of the store that was heeded."""

    phase: Phase = Phase.IDLE
    token: int = 0  # of what is held; 0 where nothing is
    seen_revision: int = 0


def step(duty: Duty, event: Event, token: int = 0, revision: int = 0) -> tuple[Duty, tuple[Action, ...]]:
    """`token` goes with MINE; `revision` is the store's at the time of its word, 0 for what it did not say.
    A word that is older than one that was heeded changes nothing: answers and watches overtake each other."""
    if revision and revision < duty.seen_revision:
        return duty, ()
    heeded = replace(duty, seen_revision=max(duty.seen_revision, revision))
    if event is Event.OWNED and duty.phase is P.HELD:
        if token == duty.token:
            return heeded, ()
        return replace(heeded, token=token), (A.STOP, A.START)  # an own key that was made anew: start over
    found = TRANSITIONS.get((duty.phase, event))
    if found is None:
        return heeded, ()
    phase, actions = found
    return replace(heeded, phase=phase, token=token if phase is P.HELD else 0), actions


def event_of_key(token: int, lease_of_key: int, lease: Lease) -> Event:
    """What the store's word on the key means to a member: its own is one under the lease that it has now. A
    key under an older lease of the same process is not: no bound speaks of that one any more."""
    if not token:
        return Event.VACANT
    return Event.OWNED if lease.id and lease_of_key == lease.id else Event.OWNED_BY_OTHER


def may_act(duty: Duty, lease: Lease, now: float) -> bool:
    """Asked right before each effect, with the clock read right before: not on a timer."""
    return duty.phase is Phase.HELD and lease.is_valid(now)


def claim(key: bytes, record: bytes, lease: int) -> Txn:
    return Txn((Compare(key, Target.CREATE, "=", 0),), (Put(key, record, lease),), (Get(key),))


def release(key: bytes, lease: int, also: tuple[Operation, ...] = ()) -> Txn:
    """Whoever else has the key by now keeps it: what is compared is the lease, since a claim whose answer is
    out has no token yet."""
    return Txn((Compare(key, Target.LEASE, "=", lease),), (Delete(key), *also), (Get(key),))


def fenced(key: bytes, token: int, *effects: Operation, compares: tuple[Compare, ...] = ()) -> Txn:
    """Effects on the store that take place only while the token holds, and what else is compared."""
    return Txn((Compare(key, Target.CREATE, "=", token), *compares), effects, (Get(key),))
