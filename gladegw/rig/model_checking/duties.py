"""A world of members, one duty and one store, for the search: the very functions that proxies run, between
them messages that are late, lost, answered late or delivered twice, and members that stall, die and return.

Time goes in ticks. A lease lives `ttl` ticks in the store; a member's clock may lose one tick in `ttl`, which
is what `drift` gives away. All times are kept relative to now, and revisions and leases are renamed by their
order, so that states that differ by names alone are one.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field, replace
from typing import TypeVar

from gladegw.coordination import duty as duties
from gladegw.coordination import lease as leases
from gladegw.coordination.duty import Action, Duty, Event, Phase
from gladegw.coordination.lease import Lease
from gladegw.coordination.store import Get, GrantedLease, InMemoryStore, KeyValue, StoreError, Txn, TxnResult

KEY = b"duties/one"
MOST_TTL = 8  # ticks
AWAITED = {Phase.CLAIMING: "claim", Phase.UNCERTAIN: "read", Phase.RELEASING: "give back"}
LIKELY = (  # how likely a step is in a long run, by words of its name; 1 for the rest
    ("clock loses", 0.3),
    ("a tick", 0.7),
    ("is lost", 0.1),
    ("and will again", 0.3),
    ("waits no more", 0.1),
    ("dies", 0.05),
    ("told to leave", 0.1),
    ("starts again", 0.5),
    ("finds its effect", 3.0),
    ("sends its effect", 0.3),
    ("effect", 0.5),
    ("the store gets", 3.0),
    ("hears", 3.0),
    ("renews", 0.5),
)
MOST_OUT = 2  # requests of one member under way
DEAD = -1.0  # all bounds that have passed are alike
ROUNDS = 14  # of a run without faults in which a duty has to find a holder


@dataclass(frozen=True, slots=True)
class Request:
    """`age`: ticks since it was sent, by the sender's clock. `twice`: it was delivered once already."""

    kind: str  # grant, renew, read, claim, give back, effect
    lease: int = 0
    token: int = 0
    age: int = 0
    late: bool = False  # the sender waits for it no more


@dataclass(frozen=True, slots=True)
class Answer:
    kind: str
    lease: int = 0  # of the grant; or of the key that is there
    token: int = 0  # its create revision; 0: no key
    revision: int = 0
    ttl: int = 0
    age: int = 0
    late: bool = False


@dataclass(frozen=True, slots=True)
class Member:
    up: bool = True
    duty: Duty = field(default_factory=Duty)
    lease: Lease = field(default_factory=Lease)
    steady: int = 0  # ticks since its clock lost one
    checked: int = 0  # token of an effect that was found allowed and is not sent yet
    leaving: bool = False
    out: tuple[Request, ...] = ()
    back: tuple[Answer, ...] = ()


@dataclass(frozen=True, slots=True)
class State:
    revision: int
    key: KeyValue | None
    granted: tuple[tuple[int, int], ...]  # leases: id, ticks left
    accepted: int  # token of the last accepted effect
    members: tuple[Member, ...]
    crashes: int  # that are still to come, at most; likewise the others
    leaves: int
    doubles: int
    wrong: str = ""


def _waits(member: Member, kind: str) -> bool:
    return any(request.kind == kind and not request.late for request in member.out) or any(
        answer.kind == kind and not answer.late for answer in member.back
    )


T = TypeVar("T")


class Duties:
    def __init__(
        self, members: int = 3, crashes: int = 1, leaves: int = 1, doubles: int = 1, ttl: int = 2
    ) -> None:
        self.ttl, self.drift = ttl, 1.0 / ttl
        self.members, self.crashes, self.leaves, self.doubles = members, crashes, leaves, doubles

    def first(self) -> State:
        return State(1, None, (), 0, (Member(),) * self.members, self.crashes, self.leaves, self.doubles)

    @staticmethod
    def weight(name: str) -> float:
        return next((weight for words, weight in LIKELY if words in name), 1.0)

    # invariants
    def broken(self, state: State) -> str:
        if state.wrong:
            return state.wrong
        holders = [m for m in state.members if m.up and duties.may_act(m.duty, m.lease, 0.0)]
        return "two hold the duty by their own bounds" if len(holders) > 1 else ""

    def settles(self, state: State) -> str:
        """Nothing fails from here on, each is heard, ticks go by: somebody has to hold it by its bound."""
        up = [number for number, member in enumerate(state.members) if member.up and not member.leaving]
        if not up:
            return ""
        for _ in range(ROUNDS):
            for number in range(len(state.members)):
                state = self._fair(state, number)
            if any(duties.may_act(m.duty, m.lease, 0.0) for m in state.members if m.up):
                return ""
            state = self._tick(state, frozenset())
        return "a live member does not come to hold the duty"

    def _fair(self, state: State, number: int) -> State:
        for kind in ("expire", "time out", "grant", "read", "renew"):
            state = self._settled(state, number)
            state = next((after for _, after in self._acts(state, number, (kind,))), state)
        return self._settled(state, number)

    def _settled(self, state: State, number: int) -> State:
        """All its messages come through, as often as one leads to another."""
        for _ in range(4 * MOST_OUT):
            if state.members[number].out:
                state = self._deliver(state, number, 0, False)
            elif state.members[number].back:
                state = self._hear(state, number, 0)
            else:
                break
        return state

    # steps
    def normal(self, state: State) -> State:
        return normal(state)

    def steps(self, state: State) -> Iterator[tuple[str, State]]:
        yield "a tick passes", self._tick(state, frozenset())
        for number, member in enumerate(state.members):
            who = f"m{number}"
            if member.up and member.steady >= self.ttl:
                yield f"a tick passes, {who}'s clock loses it", self._tick(state, frozenset({number}))
            for place, request in enumerate(member.out):
                said = f"{who}'s {request.kind}"
                yield f"the store gets {said}", self._deliver(state, number, place, False)
                yield f"{said} is lost", self._with(state, number, out=_without(member.out, place))
                if state.doubles:
                    again = replace(state, doubles=state.doubles - 1)
                    yield f"the store gets {said}, and will again", self._deliver(again, number, place, True)
            if not member.up:
                yield f"{who} starts again", self._with(state, number, up=True)
                continue
            for place, answer in enumerate(member.back):
                yield f"{who} hears of its {answer.kind}", self._hear(state, number, place)
            yield from self._acts(state, number)
            if state.crashes:
                dead = Member(up=False, out=tuple(replace(r, late=True) for r in member.out))
                yield f"{who} dies", replace(self._put(state, number, dead), crashes=state.crashes - 1)

    def _acts(self, state: State, number: int, kinds: tuple[str, ...] = ()) -> Iterator[tuple[str, State]]:
        member, who = state.members[number], f"m{number}"

        def wanted(kind: str) -> bool:
            return not kinds or kind in kinds

        def idle(kind: str) -> bool:
            return wanted(kind) and len(member.out) < MOST_OUT and not _waits(member, kind)

        if not member.lease.id and not member.leaving and idle("grant"):
            yield f"{who} asks for a lease", self._send(state, number, Request("grant"))
        if member.lease.id and idle("renew"):
            yield f"{who} renews", self._send(state, number, Request("renew", member.lease.id))
        if member.lease.is_valid(0.0) and idle("read"):
            yield f"{who} reads", self._send(state, number, Request("read"))
        if member.lease.id and not member.lease.is_valid(0.0) and wanted("expire"):
            yield (
                f"{who} finds its lease expired",
                self._on(self._with(state, number, lease=Lease()), number, Event.EXPIRED),
            )
        awaited = AWAITED.get(member.duty.phase)
        if awaited is not None and (not kinds or ("time out" in kinds and not _waits(member, awaited))):
            yield f"{who} waits no more for its {awaited}", self._give_up(state, number, awaited)
        if state.leaves and not member.leaving and not kinds and member.duty.phase is not Phase.IDLE:
            leaving = replace(self._with(state, number, leaving=True), leaves=state.leaves - 1)
            yield f"{who} is told to leave", self._on(leaving, number, Event.RELEASE)
        if kinds:
            return
        if member.checked:
            sent = self._with(state, number, checked=0)
            yield f"{who} sends its effect", self._send(sent, number, Request("effect", token=member.checked))
        elif duties.may_act(member.duty, member.lease, 0.0):
            yield f"{who} finds its effect allowed", self._check(state, number)

    def _check(self, state: State, number: int) -> State:
        """The effect is begun here; what follows may come late."""
        member = state.members[number]
        wrong = "" if member.lease.until > 0 else "an effect is begun after the holder's bound"
        return replace(self._with(state, number, checked=member.duty.token), wrong=state.wrong or wrong)

    def _tick(self, state: State, slow: frozenset[int]) -> State:
        members = tuple(
            member if number in slow and member.up else _older(member)
            for number, member in enumerate(state.members)
        )
        members = tuple(
            replace(member, steady=0 if number in slow else min(self.ttl, member.steady + 1))
            for number, member in enumerate(members)
        )
        store = self._store(state)
        store.expire(1.0)
        return self._from(replace(state, members=members), store, 1.0)

    # the store
    def _store(self, state: State) -> InMemoryStore:
        store = InMemoryStore()
        store.revision = state.revision
        store.leases = {id: GrantedLease(id, self.ttl, left) for id, left in state.granted}
        if state.key is not None:
            store.set_current(state.key)
        return store

    def _from(self, state: State, store: InMemoryStore, now: float) -> State:
        granted = tuple(sorted((id, int(lease.expires_at - now)) for id, lease in store.leases.items()))
        return replace(state, revision=store.revision, key=store.keys.get(KEY), granted=granted)

    def _deliver(self, state: State, number: int, place: int, again: bool) -> State:
        member = state.members[number]
        request = member.out[place]
        store = self._store(state)
        answer: Answer | None = None
        if request.kind == "grant":
            id = max((id for id, _ in state.granted), default=0) + 1
            lease = store.grant(self.ttl, 0.0, max(id, _highest_lease(state) + 1))
            answer = Answer("grant", lease.id, ttl=lease.ttl)
        elif request.kind == "renew":
            answer = Answer("renew", request.lease, ttl=store.keep_alive(request.lease, 0.0))
        else:
            asked = self._asked(request)
            try:
                done = store.txn(asked)
            except StoreError:
                answer = Answer("refused")
            else:
                if request.kind == "effect":
                    state = self._accepted(state, request, done)
                else:
                    answer = self._told(request, done)
        out = member.out if again else _without(member.out, place)
        back = member.back
        if answer is not None and member.up:
            kind = request.kind if answer.kind == "refused" else answer.kind
            back = (*back, replace(answer, kind=kind, age=request.age, late=request.late))
            if answer.kind == "refused":
                back = back[:-1]
        state = self._with(state, number, out=out, back=back)
        return self._from(state, store, 0.0)

    @staticmethod
    def _asked(request: Request) -> Txn:
        if request.kind == "claim":
            return duties.claim(KEY, b"", request.lease)
        if request.kind == "give back":
            return duties.release(KEY, request.lease)
        if request.kind == "effect":
            return duties.fenced(KEY, request.token, Get(KEY))
        return Txn((), (Get(KEY),))

    @staticmethod
    def _accepted(state: State, request: Request, done: TxnResult) -> State:
        if not done.succeeded:
            return state
        wrong = "" if request.token >= state.accepted else "an effect is accepted under an older token"
        return replace(state, accepted=max(state.accepted, request.token), wrong=state.wrong or wrong)

    @staticmethod
    def _told(request: Request, done: TxnResult) -> Answer:
        if request.kind == "claim" and done.succeeded:
            return Answer("claim", request.lease, done.revision, done.revision)
        if request.kind == "give back" and done.succeeded:
            return Answer("give back", 0, 0, done.revision)
        found = done.found[-1]
        if not found:
            return Answer(request.kind, 0, 0, done.revision)
        return Answer(request.kind, found[0].lease, found[0].create_revision, done.revision)

    # a member
    def _hear(self, state: State, number: int, place: int) -> State:
        member = state.members[number]
        answer = member.back[place]
        state = self._with(state, number, back=_without(member.back, place))
        if answer.kind == "grant":
            if member.lease.id or member.leaving:
                return state
            lease = leases.granted(answer.lease, -answer.age, self.ttl, self.drift)
            return self._with(state, number, lease=lease)
        if answer.kind == "renew":
            lease = leases.renewed(member.lease, answer.lease, -answer.age, answer.ttl, self.drift)
            state = self._with(state, number, lease=lease)
            return self._on(state, number, Event.EXPIRED) if member.lease.id and not lease.id else state
        event = duties.event_of_key(answer.token, answer.lease, member.lease)
        state = self._on(state, number, event, answer.token, answer.revision)
        member = state.members[number]
        vacant = event is Event.VACANT and not member.leaving and answer.revision >= member.duty.seen_revision
        if vacant and member.duty.phase is Phase.IDLE and member.lease.is_valid(0.0):
            return self._on(state, number, Event.CLAIM_DUE)
        return state

    def _give_up(self, state: State, number: int, kind: str) -> State:
        member = state.members[number]
        out = tuple(replace(r, late=True) if r.kind == kind else r for r in member.out)
        back = tuple(replace(a, late=True) if a.kind == kind else a for a in member.back)
        state = self._with(state, number, out=out, back=back)
        return self._on(state, number, Event.UNKNOWN)

    def _on(self, state: State, number: int, event: Event, token: int = 0, revision: int = 0) -> State:
        member = state.members[number]
        duty, actions = duties.step(member.duty, event, token, revision)
        state = self._with(state, number, duty=duty)
        for action in actions:
            kind = {Action.CLAIM: "claim", Action.READ: "read", Action.RELEASE: "give back"}.get(action)
            if kind is not None:
                state = self._send(state, number, Request(kind, member.lease.id))
        return state

    def _send(self, state: State, number: int, request: Request) -> State:
        out = (*state.members[number].out, request)
        return self._with(state, number, out=out[-MOST_OUT:])  # what is over is lost

    @staticmethod
    def _put(state: State, number: int, member: Member) -> State:
        members = state.members
        return replace(state, members=(*members[:number], member, *members[number + 1 :]))

    def _with(self, state: State, number: int, **changes: object) -> State:
        return self._put(state, number, replace(state.members[number], **changes))  # type: ignore[arg-type]


def _without(items: tuple[T, ...], place: int) -> tuple[T, ...]:
    return (*items[:place], *items[place + 1 :])


def _older(member: Member) -> Member:
    lease = member.lease
    return replace(
        member,
        lease=Lease(lease.id, max(DEAD, lease.until - 1)) if lease.id else lease,
        out=tuple(replace(r, age=min(MOST_TTL, r.age + 1)) for r in member.out),
        back=tuple(replace(a, age=min(MOST_TTL, a.age + 1)) for a in member.back),
    )


def _highest_lease(state: State) -> int:
    known = [id for id, _ in state.granted]
    for member in state.members:
        known.append(member.lease.id)
        known += [request.lease for request in member.out] + [answer.lease for answer in member.back]
    return max(known, default=0)


def normal(state: State) -> State:
    """The same state under names of its own: members in a fixed order, revisions and leases by their rank."""
    members = tuple(sorted(state.members, key=_shape))
    revisions = {0, state.revision, state.accepted}
    ids = {0} | {id for id, _ in state.granted}
    if state.key is not None:
        revisions |= {state.key.create_revision, state.key.mod_revision}
        ids.add(state.key.lease)
    for member in members:
        revisions |= {member.duty.token, member.duty.seen_revision, member.checked}
        ids.add(member.lease.id)
        for request in member.out:
            revisions.add(request.token)
            ids.add(request.lease)
        for answer in member.back:
            revisions |= {answer.token, answer.revision}
            ids.add(answer.lease)
    rank = {value: number for number, value in enumerate(sorted(revisions))}
    name = {value: number for number, value in enumerate(sorted(ids))}
    key = state.key
    if key is not None:
        key = KeyValue(KEY, b"", rank[key.create_revision], rank[key.mod_revision], 1, name[key.lease])
    return replace(
        state,
        revision=rank[state.revision],
        key=key,
        accepted=rank[state.accepted],
        granted=tuple(sorted((name[id], left) for id, left in state.granted)),
        members=tuple(_renamed(member, rank, name) for member in members),
    )


def _shape(member: Member) -> tuple[object, ...]:
    """What is left of a member without names."""
    return (
        member.up,
        member.duty.phase.value,
        bool(member.duty.token),
        member.lease.until,
        member.steady,
        bool(member.checked),
        member.leaving,
        tuple((r.kind, r.age, r.late) for r in member.out),
        tuple((a.kind, a.age, a.late, a.ttl) for a in member.back),
        member.duty.seen_revision,
        member.lease.id,
    )


def _renamed(member: Member, rank: dict[int, int], name: dict[int, int]) -> Member:
    duty = member.duty
    return replace(
        member,
        duty=Duty(duty.phase, rank[duty.token], rank[duty.seen_revision]),
        lease=replace(member.lease, id=name[member.lease.id]),
        checked=rank[member.checked],
        out=tuple(replace(r, lease=name[r.lease], token=rank[r.token]) for r in member.out),
        back=tuple(
            replace(a, lease=name[a.lease], token=rank[a.token], revision=rank[a.revision])
            for a in member.back
        ),
    )
