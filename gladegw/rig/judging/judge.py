"""Judges a run by its ledgers: were the platform's rules kept? Pure: records in, breaches out.

Each breach names its rule and the request or node, and tells the whole story of that request. A proxy that a
fault killed owes nothing from then on, and one that a fault stopped owes nothing while it stood still.
"""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections import defaultdict
from collections.abc import Iterable
from pathlib import Path

import msgspec

from gladegw.rig.faults import schedule
from gladegw.rig.judging.ledger import (
    Called,
    FaultBand,
    Life,
    Origin,
    PeerSeen,
    ProxyEvent,
    Record,
    Run,
    Sample,
    Told,
    Try,
    read_all,
)
from gladegw.rig.scenario import Scenario
from gladegw.rig.store.linearizability import violations
from gladegw.rig.store.record import RECORD
from gladegw.rig.store.record import read as read_operations
from gladegw.rig.traffic.peers import OWED

SLACK = 0.05  # s by which every limit is longer on sockets (PROTOCOL)
OWED_CALL = 1.0  # s for an operators' call
MOST_SENDS = 4  # of one request to nodes
NOTICED = 0.1  # s around a proxy's end, in which its connections break
GROWTH_AFTER = 60.0  # s of a run from which memory is judged
GROWTH_SHARE = 0.15  # between the third and the last quarter, beyond which it grows
GROWTH_MB = 6.0
RULES = {
    "one-answer": "each request that a running proxy took ends with exactly one whole answer",
    "in-time": "that answer comes before the client gives up",
    "made-by-node": "an answer 200 is one that a node made for this request",
    "own-request": "nothing reaches a node that no client asked for",
    "attempts": "a request is sent to nodes no more often than the platform allows",
    "repeat": "nothing runs more often than its class allows",
    "drain": "nothing new to a node 500 ms after its proxy was told that it drains or is gone",
    "cold": "no node that has just started is pushed over",
    "manners": "a peer that sends no request gets an error or a close within 3 s",
    "operators": "an operators' call is answered within 1 s",
    "crash": "a proxy ends only when it is told to",
    "store": "some order of what was asked of the coordination store explains all that it answered",
    "memory": "a proxy's memory does not grow through the second half of a long run",
}
MOST_STORIES = 5  # breaches of one rule that are told at length


class Breach(msgspec.Struct, frozen=True):
    """One broken rule; `at` in seconds from the run's origin."""

    rule: str
    at: float
    subject: str  # a call's id, a node or a proxy
    reason: str
    story: tuple[str, ...] = ()


class Verdict(msgspec.Struct, frozen=True):
    breaches: tuple[Breach, ...]
    requests: int  # first tries
    tries: int
    runs: int  # executions and refusals at nodes
    served_worth: float  # worth answered in time, of all that was asked

    @property
    def broken_rules(self) -> list[str]:
        return sorted({breach.rule for breach in self.breaches})


class _Spans:
    """Stretches in which a proxy was down or stood still."""

    def __init__(self, events: Iterable[ProxyEvent]) -> None:
        self.down: dict[str, list[tuple[float, float]]] = defaultdict(list)
        self.still: dict[str, list[tuple[float, float]]] = defaultdict(list)
        self.starts: dict[str, list[float]] = defaultdict(list)
        self.told: dict[str, list[float]] = defaultdict(list)  # to end
        down_since: dict[str, float] = {}
        still_since: dict[str, float] = {}
        for event in sorted(events, key=lambda event: event.at):
            if event.event == "kill":
                down_since.setdefault(event.proxy, event.at)
            elif event.event == "term":
                self.told[event.proxy].append(event.at)
            elif event.event == "stop":
                still_since.setdefault(event.proxy, event.at)
            elif event.event == "cont" and event.proxy in still_since:
                self.still[event.proxy].append((still_since.pop(event.proxy), event.at))
            elif event.event == "started":
                self.starts[event.proxy].append(event.at)
                if event.proxy in down_since:
                    self.down[event.proxy].append((down_since.pop(event.proxy), event.at))
        for proxy, at in down_since.items():
            self.down[proxy].append((at, float("inf")))
        for proxy, at in still_since.items():
            self.still[proxy].append((at, float("inf")))

    def was_down(self, proxy: str, since: float, until: float) -> bool:
        return any(a - NOTICED <= until and since <= b + NOTICED for a, b in self.down.get(proxy, ()))

    def leaves(self, proxy: str, at: float) -> bool:
        """Whether it was told to end, and nobody has followed it yet."""
        told = max((one for one in self.told.get(proxy, ()) if one <= at), default=None)
        return told is not None and not any(told < one <= at for one in self.starts.get(proxy, ()))

    def stood_still(self, proxy: str, since: float, until: float) -> bool:
        return any(a - SLACK <= until and since <= b + SLACK for a, b in self.still.get(proxy, ()))


class Judge:
    def __init__(self, scenario: Scenario, records: Iterable[Record], drain_grace: float = 0.5) -> None:
        self.scenario, self.drain_grace = scenario, drain_grace
        self.tries: list[Try] = []
        self.runs: list[Run] = []
        self.lives: list[Life] = []
        self.peers: list[PeerSeen] = []
        self.called: list[Called] = []
        self.told: dict[tuple[str, str], list[Told]] = defaultdict(list)
        self.events: list[ProxyEvent] = []
        self.samples: dict[str, list[Sample]] = defaultdict(list)
        self.bands: list[FaultBand] = []
        self.origin = 0.0
        for record in records:
            if isinstance(record, Try):
                self.tries.append(record)
            elif isinstance(record, Run):
                self.runs.append(record)
            elif isinstance(record, Life):
                self.lives.append(record)
            elif isinstance(record, PeerSeen):
                self.peers.append(record)
            elif isinstance(record, Called):
                self.called.append(record)
            elif isinstance(record, Told):
                self.told[record.proxy, record.node].append(record)
            elif isinstance(record, ProxyEvent):
                self.events.append(record)
            elif isinstance(record, Sample):
                self.samples[record.who].append(record)
            elif isinstance(record, FaultBand):
                self.bands.append(record)
            elif isinstance(record, Origin):
                self.origin = record.at
        self.spans = _Spans(self.events)
        self.by_id: dict[str, list[Run]] = defaultdict(list)
        for run in self.runs:
            self.by_id[run.id].append(run)
        self.try_of = {one.id: one for one in self.tries}
        self.effects = {cls.name: cls.effect for cls in scenario.classes}
        for told in self.told.values():
            told.sort(key=lambda one: one.at)
        self.found: list[Breach] = []

    def verdict(self) -> Verdict:
        for one in self.tries:
            self._answered(one)
        for id, runs in self.by_id.items():
            self._sent(id, runs)
        self._keys()
        self._lives()
        self._peers()
        self._operators()
        self._proxies()
        firsts = [one for one in self.tries if one.first >= 0 and one.turn == 0]
        found = sorted(self.found, key=lambda breach: breach.at)
        return Verdict(tuple(found), len(firsts), len(self.tries), len(self.runs), self.served_worth())

    def _breach(self, rule: str, at: float, subject: str, reason: str, story: Iterable[str] = ()) -> None:
        told = sum(breach.rule == rule for breach in self.found)
        kept = tuple(story) if told < MOST_STORIES else ()
        self.found.append(Breach(rule, round(at - self.origin, 4), subject, reason, kept))

    # the callers' side
    def _answered(self, one: Try) -> None:
        if not one.sent or one.how in ("refused", "unsent"):
            return  # no proxy took it
        excused = self.spans.was_down(one.proxy, one.sent, one.ended)
        still = self.spans.stood_still(one.proxy, one.sent, one.ended)
        if one.how in ("closed", "garbage") and not excused:
            reason = "the connection ended without a whole answer" if one.how == "closed" else "no HTTP"
            self._breach("one-answer", one.ended, one.id, reason, self.story(one))
        elif one.how == "timeout" and not (excused or still):
            reason = f"no answer within its {one.budget * 1000:.0f} ms"
            self._breach("in-time", one.ended, one.id, reason, self.story(one))
        elif one.how == "answer" and one.ended > one.due + one.budget + SLACK and not (excused or still):
            late = (one.ended - one.due - one.budget) * 1000
            self._breach("in-time", one.ended, one.id, f"answered {late:.0f} ms late", self.story(one))
        if one.how == "answer" and one.code == 200:
            made = self.by_id.get(one.id, ())
            if not any(run.code == 200 and run.crc == one.crc for run in made):
                reason = "no node made this answer" if made else "no node saw this request"
                self._breach("made-by-node", one.ended, one.id, reason, self.story(one))

    # the nodes' side
    def _sent(self, id: str, runs: list[Run]) -> None:
        one = self.try_of.get(id)
        if one is None:
            reason = f"{runs[0].node} got a request that no client sent"
            self._breach("own-request", runs[0].came, id, reason, self._runs_story(runs))
            return
        if len(runs) > MOST_SENDS:
            reason = f"sent {len(runs)} times, {MOST_SENDS} allowed"
            self._breach("attempts", runs[-1].came, id, reason, self.story(one))
        if self.effects.get(one.cls) == "once":
            ran = [run for run in runs if run.outcome != "full"]
            if len(ran) > 1:
                reason = f"may have run {len(ran)} times, once allowed"
                self._breach("repeat", ran[1].came, id, reason, self.story(one))
        for run in runs:
            self._after_drain(one, run)

    def _after_drain(self, one: Try, run: Run) -> None:
        told = self.told.get((one.proxy, run.node))
        if not told:
            return
        place = bisect_right([t.at for t in told], run.came) - 1
        if place < 0 or told[place].status == "Ready":
            return
        while place > 0 and told[place - 1].status != "Ready":
            place -= 1  # since when it has known: draining and gone are one matter
        at = told[place].at
        starts = self.spans.starts.get(one.proxy, [])
        if bisect_left(starts, at) != bisect_left(starts, run.came):
            return  # the proxy has started anew since, and knows nothing
        for begin, end in self.spans.still.get(one.proxy, ()):
            if begin <= run.came and at <= end:
                at = max(at, end)
        late = run.came - at
        tier, number, *_ = [*run.node.rsplit("-", 2), ""]
        if self._broken("node_", schedule.place(tier, int(number) if number.isdigit() else 0), at, run.came):
            return  # what was sent in time may have been held on the way
        if late > self.drain_grace + SLACK:
            reason = (
                f"{run.node} got it {late * 1000:.0f} ms after {one.proxy} was told: {told[place].status}"
            )
            self._breach("drain", run.came, one.id, reason, self.story(one))

    def _keys(self) -> None:
        """A keyed request runs once: nodes drop its repeats, as long as these come within the window."""
        by_key: dict[tuple[str, str], list[Run]] = defaultdict(list)
        for run in self.runs:
            if run.key and run.outcome == "ok" and self.effects.get(run.cls) == "by_key":
                by_key[run.tier, run.key].append(run)
        for (_, key), runs in by_key.items():
            if len(runs) > 1:
                reason = f"key {key} ran {len(runs)} times, at {', '.join(run.node for run in runs)}"
                one = self.try_of.get(runs[1].id)
                story = self.story(one) if one is not None else self._runs_story(runs)
                self._breach("repeat", runs[1].came, runs[1].id, reason, story)

    def _lives(self) -> None:
        for life in self.lives:
            if life.state == "fell":
                since = life.at - max(kind.fall_for for kind in self.scenario.kinds)
                runs = [run for run in self.runs if run.node == life.node and since <= run.came <= life.at]
                senders: dict[str, int] = defaultdict(int)
                for run in runs:
                    one = self.try_of.get(run.id)
                    senders[one.proxy if one is not None else "?"] += 1
                sent = ", ".join(f"{proxy} {count}" for proxy, count in sorted(senders.items()))
                self._breach("cold", life.at, life.node, f"fell over while cold; sent to it by: {sent}")

    def _peers(self) -> None:
        for peer in self.peers:
            if self.spans.was_down(peer.proxy, peer.at, peer.ended):
                continue
            if self.spans.stood_still(peer.proxy, peer.at, peer.ended):
                continue
            waited = peer.ended - peer.at
            if peer.how == "silence" or waited > OWED + SLACK:
                self._breach(
                    "manners", peer.ended, peer.proxy, f"a {peer.manner} peer got nothing in {waited:.2f} s"
                )

    def _operators(self) -> None:
        for one in self.called:
            if one.how in ("SUCCESS", "FAILURE") and one.ended - one.at <= OWED_CALL + SLACK:
                continue
            excused = self.spans.was_down(one.proxy, one.at, one.ended)
            excused |= self.spans.stood_still(one.proxy, one.at, one.ended)
            excused |= self.spans.leaves(one.proxy, one.ended)
            if not (excused or self._broken("operators_cut", one.proxy, one.at, one.ended)):
                took = one.ended - one.at
                self._breach("operators", one.ended, one.proxy, f"a call ended as {one.how} in {took:.2f} s")

    def _broken(self, prefix: str, target: str, since: float, until: float) -> bool:
        """Whether a fault of a link to this party was under way; what it held may come right after it."""
        return any(
            band.name.startswith(prefix)
            and band.target == target
            and band.at <= until
            and since <= band.until + NOTICED
            for band in self.bands
        )

    def _proxies(self) -> None:
        for event in self.events:
            if event.event == "crashed":
                self._breach("crash", event.at, event.proxy, f"ended by itself with code {event.code}")
        for who, samples in self.samples.items():
            lasted = samples[-1].at - samples[0].at
            if lasted < GROWTH_AFTER or len(self.spans.starts.get(who, ())) > 1:
                continue
            quarter = len(samples) // 4
            third = sum(s.memory for s in samples[2 * quarter : 3 * quarter]) / quarter
            last = sum(s.memory for s in samples[3 * quarter :]) / (len(samples) - 3 * quarter)
            if last > third * (1 + GROWTH_SHARE) and last > third + GROWTH_MB:
                self._breach("memory", samples[-1].at, who, f"from {third:.1f} to {last:.1f} MB")

    # what was served
    def served_worth(self) -> float:
        """Worth answered within each class's aim, from the first try on, of the worth asked for."""
        classes = {cls.name: cls for cls in self.scenario.classes}
        begun: dict[int, Try] = {}
        served: dict[int, float] = {}
        for one in self.tries:
            if one.first >= 0 and one.turn == 0:
                begun[one.first] = one
            if one.first >= 0 and one.code == 200:
                served[one.first] = one.ended
        asked = good = 0.0
        for number, one in begun.items():
            cls = classes.get(one.cls)
            if cls is not None:
                worth = cls.worth * cls.work_ms
                asked += worth
                good += worth if served.get(number, float("inf")) - one.due <= cls.aim_ms / 1000 else 0.0
        return good / asked if asked else 0.0

    # stories
    def story(self, one: Try) -> list[str]:
        """All that is known of an arrival: its tries, their runs, what the proxies had been told."""
        tries = [one]
        if one.first >= 0:
            tries = [other for other in self.tries if other.first == one.first]
        lines: list[tuple[float, str]] = []
        for each in tries:
            what = f"try {each.id} {each.cls} by {each.proxy}, budget {each.budget * 1000:.0f} ms"
            lines.append((each.sent or each.due, what))
            lines.append((each.ended, f"try {each.id} ends: {each.how} {each.code or ''}".rstrip()))
            for run in self.by_id.get(each.id, ()):
                lines.append((run.came, f"  {run.node} has its first byte"))
                lines.append((run.ended, f"  {run.node}: {run.outcome} {run.code or ''}".rstrip()))
                for told in self.told.get((each.proxy, run.node), ()):
                    lines.append((told.at, f"  {each.proxy} is told: {told.node} {told.status}"))
        span = (lines[0][0] - 1, max(at for at, _ in lines) + 1)
        for band in self.bands:
            if band.at <= span[1] and band.until >= span[0]:
                lines.append(
                    (band.at, f"fault {band.name} {band.target} until {band.until - self.origin:.3f}")
                )
        return [f"{at - self.origin:9.4f} {text}" for at, text in sorted(set(lines))]

    def _runs_story(self, runs: list[Run]) -> list[str]:
        return [
            f"{run.came - self.origin:9.4f} {run.node} {run.id}: {run.outcome} {run.code}" for run in runs
        ]


def judge_folder(folder: Path) -> Verdict:
    """The verdict on a run's folder, also written there as verdict.json."""
    scenario: Scenario = msgspec.json.decode((folder / "scenario.json").read_bytes(), type=Scenario)
    verdict = Judge(scenario, read_all(folder)).verdict()
    if scenario.store is not None:
        operations = read_operations(folder / RECORD)
        broken = tuple(
            Breach("store", 0.0, key, f"no order of {len(operations)} operations explains this key's")
            for key in violations(operations)
        )
        verdict = msgspec.structs.replace(verdict, breaches=verdict.breaches + broken)
    (folder / "verdict.json").write_bytes(msgspec.json.encode(verdict))
    return verdict
