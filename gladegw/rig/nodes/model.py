"""A model of one backend: what it does with work, given the time. No sockets, no clock, no draws of its own.

Cores are shared evenly by all requests that run (processor sharing). A request holds a slot from its start to
its end, also while it waits for the next tier; beyond the slots a waiting room holds some, and beyond that
requests are turned away unseen. Times are seconds of one monotonic clock; work is seconds of one core at the
yardstick's speed.
"""

from __future__ import annotations

import heapq
from collections import deque
from dataclasses import dataclass
from enum import Enum

import msgspec

DONE = 1e-9  # s of work under which a request is through: what sums of floats leave over


class Life(Enum):
    """A node's states; TRANSITIONS lists what may follow."""

    UP = "up"
    DRAINING = "draining"
    DOWN = "down"


class Turn(Enum):
    """What becomes of a request that has arrived whole."""

    RUNS = "runs"
    WAITS = "waits"
    FULL = "full"  # never ran


TRANSITIONS = {
    Life.UP: (Life.DRAINING, Life.DOWN),
    Life.DRAINING: (Life.DOWN,),
    Life.DOWN: (Life.UP,),
}


class Kind(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """What a node is built of."""

    name: str = "node"
    share: float = 1.0  # of a tier's nodes
    cores: int = 2
    speed: float = 1.0  # of a core, against the yardstick
    slots: int = 32
    room: int = 32  # requests that wait beyond the slots
    connections: int = 1024
    idle: float = 5.0  # s after which an idle connection is closed
    handshake: float = 0.001  # s of work that a new connection costs
    cold_from: float = 0.2  # share of the capacity with which it starts
    cold_for: float = 12.0  # s until it is warm, however little it does
    warm_work: float = 20.0  # s of work after which it is warm, where that is sooner
    choke_at: float = 6.0  # requests waiting for each core, beyond which it is overdriven
    choke_after: float = 2.0  # s of that
    choke_factor: float = 2.5  # times slower then
    choke_below: float = 0.4  # requests running for each core, under which it rests
    choke_rest: float = 3.0  # s of rest that end it
    choke_most: float = 25.0  # s that end it in any case
    fall_multiple: float = 3.0  # of what it can do, offered for `fall_for` while cold: it falls over
    fall_for: float = 1.5  # s
    probe_work: float = 0.001  # s of work that a probe costs

    def __post_init__(self) -> None:
        for name in ("cores", "speed", "slots", "connections", "idle", "fall_multiple", "fall_for"):
            if not getattr(self, name) > 0:
                raise ValueError(f"{name} must be above 0, not {getattr(self, name):g}")
        if not 0 < self.cold_from <= 1:
            raise ValueError(f"cold_from must be above 0 and at most 1, not {self.cold_from:g}")
        for name in ("room", "handshake", "cold_for", "choke_after", "choke_rest", "probe_work", "share"):
            if not getattr(self, name) >= 0:
                raise ValueError(f"{name} must not be negative")
        if self.choke_factor < 1:
            raise ValueError(f"choke_factor must be at least 1, not {self.choke_factor:g}")


class Job:
    """A request in the node; `finish` is the node's attained service at which its present work is through."""

    __slots__ = ("finish", "number", "work")

    def __init__(self, number: int, work: float) -> None:
        self.number, self.work, self.finish = number, work, 0.0


class NodeModel:
    """Told of arrivals, calls to the next tier and time; says what has finished. All methods take `now`."""

    def __init__(self, kind: Kind, now: float, cold: bool) -> None:
        self.kind = kind
        self.life = Life.UP
        self.slower = 1.0  # what a fault adds: times slower
        self.held = 0  # slots in use
        self.waiting: deque[Job] = deque()
        self.choked_at: float | None = None
        self.fell = False
        self._now = now
        self._started = now
        self._cold = cold
        self._worked = 0.0  # s of work done since the start
        self._attained = 0.0  # s of core time that each running request has had since the start
        self._running: list[tuple[float, int, Job]] = []
        self._overdriven_at: float | None = None
        self._rested_at: float | None = None
        self._offered: deque[tuple[float, float]] = deque()  # (time, work) within `fall_for`
        self._offered_work = 0.0

    # what can be asked
    @property
    def inflight(self) -> int:
        """Requests held: running, waiting for the next tier, or waiting for a slot."""
        return self.held + len(self.waiting)

    def warmth(self, now: float) -> float:
        """From 0 to 1: with time evenly, or with work done where that is ahead."""
        if not self._cold:
            return 1.0
        kind = self.kind
        by_time = (now - self._started) / kind.cold_for if kind.cold_for > 0 else 1.0
        by_work = self._worked / kind.warm_work if kind.warm_work > 0 else 0.0
        return min(1.0, max(by_time, by_work))

    def capacity(self, now: float) -> float:
        """Seconds of work that it can do each second at this moment."""
        kind = self.kind
        cold = kind.cold_from + (1 - kind.cold_from) * self.warmth(now)
        choke = kind.choke_factor if self.choked_at is not None else 1.0
        return kind.cores * kind.speed * cold / (choke * self.slower)

    def next_due(self) -> float | None:
        """When it must be advanced next, if nothing else happens."""
        due = None
        if self._running:
            left = self._running[0][0] - self._attained
            due = self._now + max(0.0, left) / self._rate(self._now)
        for since, after in (
            (self._overdriven_at, self.kind.choke_after),
            (self._rested_at, self.kind.choke_rest),
            (self.choked_at, self.kind.choke_most),
        ):
            if since is not None and (due is None or since + after < due):
                due = since + after
        return due

    # what happens
    def arrive(self, now: float, number: int, work: float) -> Turn:
        """A request has come whole. Call advance() first, so that what is through has left."""
        self._offer(now, work)
        if self.life is not Life.UP:
            return Turn.FULL
        job = Job(number, work)
        if self.held < self.kind.slots:
            self._run(job)
            turn = Turn.RUNS
        elif len(self.waiting) < self.kind.room:
            self.waiting.append(job)
            turn = Turn.WAITS
        else:
            turn = Turn.FULL
        self._watch(now)
        return turn

    def resume(self, number: int, work: float) -> None:
        """A request that kept its slot is back from the next tier, with more work."""
        self._begin(Job(number, work))

    def release(self, now: float) -> list[int]:
        """A request has ended and gives up its slot; the numbers that start in its place."""
        self.held -= 1
        started = []
        while self.waiting and self.held < self.kind.slots:
            job = self.waiting.popleft()
            self._run(job)
            started.append(job.number)
        self._watch(now)
        return started

    def burden(self, now: float, work: float) -> None:
        """Work beside requests (handshakes, probes): it warms nobody, and slows what runs."""
        if self._running:
            self._attained -= work / len(self._running)

    def advance(self, now: float) -> list[int]:
        """Moves to `now`; the numbers whose present work is through, in order."""
        finished: list[int] = []
        while self._running:
            rate = self._rate(self._now)
            head = self._running[0][0]
            at = self._now + max(0.0, head - self._attained) / rate
            if at > now:
                break
            self._progress(at, rate)
            self._attained = max(self._attained, head)
            while self._running and self._running[0][0] <= self._attained + DONE:
                finished.append(heapq.heappop(self._running)[2].number)
        if now > self._now:
            self._progress(now, self._rate(self._now) if self._running else 0.0)
        self._watch(now)
        return finished

    def skip(self, now: float) -> None:
        """It stood still until now: nothing has progressed."""
        self._now = now

    def down(self) -> None:
        """Everything in it is lost."""
        self.life = Life.DOWN
        self._running.clear()
        self.waiting.clear()
        self.held = 0

    # inside
    def _rate(self, now: float) -> float:
        """Core seconds a second that each running request gets; no request uses more than one core."""
        cores = self.kind.cores
        return self.capacity(now) / cores * min(1.0, cores / len(self._running))

    def _progress(self, at: float, rate: float) -> None:
        self._attained += (at - self._now) * rate
        self._worked += (at - self._now) * rate * len(self._running)
        self._now = at

    def _run(self, job: Job) -> None:
        self.held += 1
        self._begin(job)

    def _begin(self, job: Job) -> None:
        job.finish = self._attained + job.work
        heapq.heappush(self._running, (job.finish, job.number, job))

    def _offer(self, now: float, work: float) -> None:
        kind = self.kind
        self._offered.append((now, work))
        self._offered_work += work
        while self._offered and self._offered[0][0] <= now - kind.fall_for:
            self._offered_work -= self._offered.popleft()[1]
        if self.warmth(now) < 1 and now - self._started >= kind.fall_for:
            self.fell |= self._offered_work > kind.fall_multiple * kind.fall_for * self.capacity(now)

    def _watch(self, now: float) -> None:
        """The overdriven state: begins after a stretch of too much waiting, ends by rest or by time."""
        kind = self.kind
        if self.choked_at is None:
            beyond = max(0, len(self._running) - kind.cores) + len(self.waiting)
            if beyond <= kind.choke_at * kind.cores:
                self._overdriven_at = None
            elif self._overdriven_at is None:
                self._overdriven_at = now
            elif now - self._overdriven_at >= kind.choke_after:
                self.choked_at, self._overdriven_at, self._rested_at = now, None, None
            return
        if len(self._running) >= kind.choke_below * kind.cores:
            self._rested_at = None
        elif self._rested_at is None:
            self._rested_at = now
        rested = self._rested_at is not None and now - self._rested_at >= kind.choke_rest
        if rested or now - self.choked_at >= kind.choke_most:
            self.choked_at = self._rested_at = None


@dataclass(slots=True)
class Repeat:
    """A key as all nodes of a group hold it."""

    begun_at: float
    body: bytes | None = None  # of the execution's answer, once it has ended


class KeyWindow:
    """Repeats of a key within `window` s of its execution's start are dropped, by all nodes of a group."""

    def __init__(self, window: float) -> None:
        self.window = window
        self.held: dict[str, Repeat] = {}  # the oldest first

    def seen(self, now: float, key: str) -> Repeat | None:
        """The execution whose repeat this is; None: it runs, and begin() is owed."""
        while self.held:
            oldest = next(iter(self.held))
            if self.held[oldest].begun_at > now - self.window:
                break
            del self.held[oldest]
        return self.held.get(key)

    def begin(self, now: float, key: str) -> None:
        self.held.pop(key, None)
        self.held[key] = Repeat(now)

    def end(self, key: str, body: bytes) -> None:
        repeat = self.held.get(key)
        if repeat is not None:
            repeat.body = body
