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
    RESTING = "resting"  # does not hold it and has asked for nothing
    ASKING = "asking"  # has sent a claim
    UNSURE = "unsure"  # sent a claim, and can't know what became of it: it reads
    HOLDING = "holding"
    LEAVING = "leaving"  # gives it back: nothing is begun any more


class Event(Enum):
    TURN = "turn"  # nobody holds it, and it is this member's turn to claim
    MINE = "mine"  # the store says that this member's key is there
    OTHER = "other"  # it says that another's is
    NOBODY = "nobody"  # it says that there is none
    UNKNOWN = "unknown"  # a request was sent and not answered
    EXPIRED = "expired"  # the member's own bound has passed, or the store knows no such lease
    LEAVE = "leave"  # hand it over: SIGTERM, LAMEDUCK, a newer process of the same name


class Action(Enum):
    CLAIM = "claim"
    READ = "read"
    BEGIN = "begin"
    END = "end"
    GIVE_BACK = "give back"


P, E, A = Phase, Event, Action
# Each pair that is not here changes nothing.
TABLE: dict[tuple[Phase, Event], tuple[Phase, tuple[Action, ...]]] = {
    (P.RESTING, E.TURN): (P.ASKING, (A.CLAIM,)),
    (P.RESTING, E.MINE): (P.HOLDING, (A.BEGIN,)),  # a claim that was given up for lost has come through
    (P.ASKING, E.MINE): (P.HOLDING, (A.BEGIN,)),
    (P.ASKING, E.OTHER): (P.RESTING, ()),
    (P.ASKING, E.UNKNOWN): (P.UNSURE, (A.READ,)),
    (P.ASKING, E.EXPIRED): (P.RESTING, ()),
    (P.ASKING, E.LEAVE): (P.LEAVING, (A.GIVE_BACK,)),
    (P.UNSURE, E.MINE): (P.HOLDING, (A.BEGIN,)),
    (P.UNSURE, E.OTHER): (P.RESTING, ()),
    (P.UNSURE, E.NOBODY): (P.RESTING, ()),
    (P.UNSURE, E.UNKNOWN): (P.UNSURE, (A.READ,)),
    (P.UNSURE, E.EXPIRED): (P.RESTING, ()),
    (P.UNSURE, E.LEAVE): (P.LEAVING, (A.GIVE_BACK,)),
    (P.HOLDING, E.OTHER): (P.RESTING, (A.END,)),
    (P.HOLDING, E.NOBODY): (P.RESTING, (A.END,)),
    (P.HOLDING, E.EXPIRED): (P.RESTING, (A.END,)),
    (P.HOLDING, E.LEAVE): (P.LEAVING, (A.END, A.GIVE_BACK)),
    (P.LEAVING, E.NOBODY): (P.RESTING, ()),
    (P.LEAVING, E.OTHER): (P.RESTING, ()),
    (P.LEAVING, E.MINE): (P.LEAVING, (A.GIVE_BACK,)),
    (P.LEAVING, E.UNKNOWN): (P.LEAVING, (A.GIVE_BACK,)),
    (P.LEAVING, E.EXPIRED): (P.RESTING, ()),
}


@dataclass(frozen=True, slots=True)
class Duty:
    """One duty at one member. `seen` is the revision of the newest word of the store that was heeded."""

    phase: Phase = Phase.RESTING
    token: int = 0  # of what is held; 0 where nothing is
    seen: int = 0


def step(duty: Duty, event: Event, token: int = 0, revision: int = 0) -> tuple[Duty, tuple[Action, ...]]:
    """`token` goes with MINE; `revision` is the store's at the time of its word, 0 for what it did not say.
    A word that is older than one that was heeded changes nothing: answers and watches overtake each other."""
    if revision and revision < duty.seen:
        return duty, ()
    heeded = replace(duty, seen=max(duty.seen, revision))
    if event is Event.MINE and duty.phase is P.HOLDING:
        if token == duty.token:
            return heeded, ()
        return replace(heeded, token=token), (A.END, A.BEGIN)  # an own key that was made anew: start over
    found = TABLE.get((duty.phase, event))
    if found is None:
        return heeded, ()
    phase, actions = found
    return replace(heeded, phase=phase, token=token if phase is P.HOLDING else 0), actions


def heard(token: int, held_by: int, lease: Lease) -> Event:
    """What the store's word on the key means to a member: its own is one under the lease that it has now. A
    key under an older lease of the same process is not: no bound speaks of that one any more."""
    if not token:
        return Event.NOBODY
    return Event.MINE if lease.id and held_by == lease.id else Event.OTHER


def may_act(duty: Duty, lease: Lease, now: float) -> bool:
    """Asked right before each effect, with the clock read right before: not on a timer."""
    return duty.phase is Phase.HOLDING and lease.live(now)


def claim(key: bytes, record: bytes, lease: int) -> Txn:
    return Txn((Compare(key, Target.CREATE, "=", 0),), (Put(key, record, lease),), (Get(key),))


def give_back(key: bytes, lease: int, also: tuple[Operation, ...] = ()) -> Txn:
    """Whoever else has the key by now keeps it: what is compared is the lease, since a claim whose answer is
    out has no token yet."""
    return Txn((Compare(key, Target.LEASE, "=", lease),), (Delete(key), *also), (Get(key),))


def fenced(key: bytes, token: int, *effects: Operation, compares: tuple[Compare, ...] = ()) -> Txn:
    """Effects on the store that take place only while the token holds, and what else is compared."""
    return Txn((Compare(key, Target.CREATE, "=", token), *compares), effects, (Get(key),))
