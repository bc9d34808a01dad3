"""A world of members, one store and changes of policy, for the search: the functions that proxies run,
between them words of the store that are late, members that die, are cut off and return, and a decider whose
news are old.

What a lease guarantees is taken from the duty's own world: a member that the store has given up does not
serve (`when_cut_off = "refuse"`), or nothing is decided without it (`serve`).
"""

from __future__ import annotations

import re
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass, field, replace

from gladegw.coordination import policy_commit
from gladegw.coordination.policy_commit import (
    Action,
    CommittedPolicy,
    Decision,
    OpenChange,
    Outcome,
    Participant,
    Phase,
    Vote,
)

_ENUM_MEMBER = re.compile(r"<\w+\.\w+: ('[^']*')>")
ROUNDS = 20  # of a run without faults in which an open change has to be closed
LIKELY = (
    ("older", 0.2),
    ("hears", 3.0),
    ("prepares", 3.0),
    ("dies", 0.03),
    ("is given up", 0.05),
    ("ends by its lease", 0.02),
    ("is called off", 0.03),
    ("can't prepare", 0.05),
    ("looks", 2.0),
    ("arrives", 3.0),
)


@dataclass(frozen=True, slots=True)
class Word:
    """The store's records at one revision."""

    revision: int = 1
    force: CommittedPolicy = field(default_factory=CommittedPolicy)
    open_change: OpenChange | None = None


@dataclass(frozen=True, slots=True)
class Proxy:
    up: bool = True
    life: int = 0  # counts its processes
    registered: bool = True
    member: Participant = field(default_factory=Participant)
    heard: Word = field(default_factory=Word)  # the newest word that has reached it, and is not heeded yet
    older: Word | None = None  # one that was heard before, and comes once more
    preparing: tuple[str, ...] = ()
    vote: Vote | None = None  # in the store, under its lease
    voting: Vote | None = None  # on its way there


@dataclass(frozen=True, slots=True)
class State:
    word: Word
    proxies: tuple[Proxy, ...]
    proposed_with: tuple[str, ...] = ()
    looked: Decision | None = None  # what the decider has made of its view, and at which revision
    looked_at: int = 0
    changes: int = 2  # still to be proposed; likewise the others
    crashes: int = 2
    cuts: int = 2
    bad: int = 1  # bundles that can't be prepared, at some member
    decided: tuple[str, ...] = ("",)  # digest by epoch
    wrong: str = ""


def _order(proxy: Proxy) -> str:
    """The place of a proxy among others, by values alone: a name must not change the walk of a seed."""
    return _ENUM_MEMBER.sub(r"\1", repr(proxy))


class Policies:
    """The functions that are fields can be replaced by planted defects."""

    def __init__(
        self,
        members: int,
        refuse: bool = True,
        changes: int = 2,
        crashes: int = 2,
        cuts: int = 2,
        bad: int = 1,
    ) -> None:
        self.members, self.refuse, self.bad = members, refuse, bad
        self.changes, self.crashes, self.cuts = changes, crashes, cuts
        self.told: Callable[..., tuple[Participant, tuple[Action, ...]]] = policy_commit.on_store_update
        self.prepared: Callable[..., tuple[Participant, tuple[Action, ...]]] = policy_commit.on_prepare_result
        self.rejoined: Callable[..., Participant] = policy_commit.on_rejoin
        self.in_doubt: Callable[[Participant], bool] = policy_commit.in_doubt
        self.verdict: Callable[..., Decision] = policy_commit.decide
        self.compares = True  # the decision compares that the change is still open
        self.dies_with_lease = True  # votes and the right to serve end with the registration

    def first(self) -> State:
        word = Word()
        proxies = []
        for _ in range(self.members):
            member, _ = policy_commit.on_store_update(Participant(), word.force, None, 1)
            proxies.append(Proxy(member=member, heard=word))
        return State(
            word, tuple(proxies), changes=self.changes, crashes=self.crashes, cuts=self.cuts, bad=self.bad
        )

    @staticmethod
    def name(state: State, number: int) -> str:
        return f"m{number}#{state.proxies[number].life}"

    def serves(self, proxy: Proxy) -> bool:
        """What its gate says: under `refuse`, or in doubt, a member that the store has given up had stopped
        before."""
        if not proxy.up or not proxy.member.may_serve:
            return False
        stops = self.refuse or self.in_doubt(proxy.member)
        return proxy.registered or not (stops and self.dies_with_lease)

    # steps
    def steps(self, state: State) -> Iterator[tuple[str, State]]:
        if state.wrong:
            return
        if state.changes and state.word.open_change is None:
            yield "a change is proposed", self._proposed(state)
        if state.word.open_change is not None:
            yield "the change ends by its lease", self._closed(state)
            yield "the change is called off", self._closed(state)
            yield "the decider looks", self._look(state)
        if state.looked is not None and state.looked.outcome is not Outcome.PENDING:
            yield f"the decider's {state.looked.outcome.value} arrives", self._decided(state)
        for number, proxy in enumerate(state.proxies):
            yield from self._own(state, number, proxy)

    def _own(self, state: State, number: int, proxy: Proxy) -> Iterator[tuple[str, State]]:
        def put(**changes: object) -> State:
            proxies = list(state.proxies)
            proxies[number] = replace(proxy, **changes)  # type: ignore[arg-type]
            return replace(state, proxies=tuple(proxies))

        who = f"m{number}"
        if not proxy.up:
            yield (
                f"{who} starts again",
                put(
                    up=True,
                    life=proxy.life + 1,
                    registered=True,
                    member=Participant(),
                    heard=Word(0),
                    older=None,
                    preparing=(),
                    vote=None,
                    voting=None,
                ),
            )
            return
        if proxy.registered and proxy.heard != state.word:
            yield f"the word reaches {who}", put(heard=state.word, older=proxy.heard)
        if (
            proxy.older is not None
            and proxy.older.revision
            and proxy.member.seen_revision >= proxy.older.revision
        ):
            yield f"{who} hears an older word", self._heard(state, number, proxy.older)
        news = proxy.heard.revision > proxy.member.seen_revision or proxy.member.phase is Phase.UNKNOWN
        if proxy.heard.revision and news:
            yield f"{who} hears", self._heard(state, number, proxy.heard)
        for digest in proxy.preparing:
            yield f"{who} prepares {digest}", self._prepared(state, number, digest, True)
            if state.bad:
                after = self._prepared(state, number, digest, False)
                yield f"{who} can't prepare {digest}", replace(after, bad=state.bad - 1)
        if proxy.voting is not None and proxy.registered:
            yield f"the vote of {who} arrives", put(vote=proxy.voting, voting=None)
        if state.crashes:
            yield (
                f"{who} dies",
                replace(put(up=False, registered=False, vote=None, voting=None), crashes=state.crashes - 1),
            )
        if proxy.registered and state.cuts:
            yield f"{who} is given up", replace(put(registered=False, vote=None), cuts=state.cuts - 1)
        if not proxy.registered:
            member = self.rejoined(proxy.member, not self.refuse)
            yield (
                f"{who} is registered anew",
                put(
                    registered=True,
                    member=member,
                    heard=Word(0),
                    vote=None,
                    voting=None,
                    older=None,
                    preparing=(),
                ),
            )

    def _proposed(self, state: State) -> State:
        word = state.word
        change = OpenChange(word.revision + 1, word.force.epoch + 1, f"b{state.changes}")
        there = tuple(self.name(state, n) for n, proxy in enumerate(state.proxies) if proxy.registered)
        after = replace(word, revision=word.revision + 1, open_change=change)
        return replace(state, word=after, proposed_with=there, changes=state.changes - 1, looked=None)

    def _closed(self, state: State) -> State:
        return replace(state, word=replace(state.word, revision=state.word.revision + 1, open_change=None))

    def _look(self, state: State) -> State:
        change = state.word.open_change
        assert change is not None
        registered = [self.name(state, n) for n, proxy in enumerate(state.proxies) if proxy.registered]
        votes = {
            self.name(state, n): proxy.vote for n, proxy in enumerate(state.proxies) if proxy.vote is not None
        }
        unreached = [] if self.refuse else [f"m{n}" for n, p in enumerate(state.proxies) if not p.registered]
        found = self.verdict(change, state.word.force, state.proposed_with, registered, votes, (), unreached)
        lost = set(state.proposed_with) - set(registered)
        wrong = (
            f"decided although {sorted(lost)} were lost" if lost and found.outcome is Outcome.COMMIT else ""
        )
        return replace(state, looked=found, looked_at=change.id, wrong=wrong or state.wrong)

    def _decided(self, state: State) -> State:
        """The transaction: it compares that the change which was looked at is open still."""
        found, word, change = state.looked, state.word, state.word.open_change
        assert found is not None
        state = replace(state, looked=None)
        if self.compares and (change is None or change.id != state.looked_at):
            return state
        if found.outcome is Outcome.ABORT:
            return self._closed(state)
        if change is None:  # a planted defect: what was looked at is gone
            change = OpenChange(state.looked_at, word.force.epoch + 1, f"b{state.changes + 1}")
        force = CommittedPolicy(change.epoch, change.digest)
        after = Word(word.revision + 1, force)
        return replace(state, word=after, decided=(*state.decided, change.digest))

    def _acted(self, state: State, number: int, member: Participant, actions: tuple[Action, ...]) -> State:
        proxy = state.proxies[number]
        preparing, voting, wrong = proxy.preparing, proxy.voting, state.wrong
        for action in actions:
            if action is Action.PREPARE:
                preparing = (*(one for one in preparing if one != member.preparing), member.preparing)
            elif action in (Action.VOTE_YES, Action.VOTE_NO):
                assert member.open_change is not None
                voting = Vote(member.open_change.id, member.open_change.digest, action is Action.VOTE_YES)
            elif action is Action.ACTIVATE and member.epoch < proxy.member.epoch:
                wrong = f"m{number} went back from epoch {proxy.member.epoch} to {member.epoch}"
        proxies = list(state.proxies)
        proxies[number] = replace(proxy, member=member, preparing=preparing, voting=voting)
        return replace(state, proxies=tuple(proxies), wrong=wrong)

    def _heard(self, state: State, number: int, word: Word) -> State:
        proxy = state.proxies[number]
        member, actions = self.told(proxy.member, word.force, word.open_change, word.revision)
        return self._acted(state, number, member, actions)

    def _prepared(self, state: State, number: int, digest: str, able: bool) -> State:
        proxy = state.proxies[number]
        member, actions = self.prepared(proxy.member, digest, able)
        proxies = list(state.proxies)
        proxies[number] = replace(proxy, preparing=tuple(one for one in proxy.preparing if one != digest))
        return self._acted(replace(state, proxies=tuple(proxies)), number, member, actions)

    # what must hold
    def broken(self, state: State) -> str:
        if state.wrong:
            return state.wrong
        force = state.word.force
        for number, proxy in enumerate(state.proxies):
            if not self.serves(proxy):
                continue
            epoch, digest = proxy.member.epoch, proxy.member.digest
            if epoch >= len(state.decided) or state.decided[epoch] != digest:
                return f"m{number} serves by epoch {epoch} ({digest}), which was not decided"
            if epoch < force.epoch - 1 or (epoch < force.epoch and proxy.member.prepared != force.digest):
                return f"m{number} serves by epoch {epoch} and does not hold epoch {force.epoch}"
        return ""

    def settles(self, state: State) -> str:
        """Without further faults an open change is closed, and all that are up serve by what is in force."""
        state = replace(state, crashes=0, cuts=0, bad=0, changes=0)
        for _ in range(ROUNDS):
            state = self._quiet(state)
        if state.word.open_change is not None:
            return "a change stays open"
        for number, proxy in enumerate(state.proxies):
            stuck = proxy.member.phase is Phase.PREPARE_FAILED
            if not stuck and (not self.serves(proxy) or proxy.member.epoch != state.word.force.epoch):
                return f"m{number} does not come to serve by epoch {state.word.force.epoch}"
        return ""

    def _quiet(self, state: State) -> State:
        done: set[str] = set()
        while True:
            choices: Mapping[str, State] = {
                name: after
                for name, after in self.steps(state)
                if name not in done and not any(word in name for word in ("lease", "called off", "can't"))
            }
            if not choices:
                return state
            name = next(iter(choices))
            done.add(name)
            state = choices[name]

    def normal(self, state: State) -> State:
        """Members are alike: the state with their order sorted. Names in the proposal go by place, so a state
        with an open change is left as it is."""
        if state.word.open_change is not None or state.looked is not None:
            return state
        fresh = [replace(proxy, life=0) for proxy in state.proxies]
        return replace(state, proxies=tuple(sorted(fresh, key=_order)), proposed_with=())

    def weight(self, name: str) -> float:
        return next((weight for word, weight in LIKELY if word in name), 1.0)
