"""One stand-in node on a socket: HTTP/1.1 by the platform's protocol before a NodeModel, and its bad
manners."""

from __future__ import annotations

import asyncio
import hashlib
import math
import socket
import struct
import time
import zlib
from random import Random
from statistics import NormalDist
from typing import TYPE_CHECKING, Any, cast

import httptools

from gladegw.rig.judging import ledger
from gladegw.rig.nodes.model import Kind, Life, NodeModel, Turn
from gladegw.rig.traffic.client import Exchange, Pool

if TYPE_CHECKING:
    from gladegw.rig.nodes.fleet import Fleet

SWEEP = 0.25  # s between looks for idle connections
DRIP_EVERY = 0.1  # s between two bytes of a dripped answer
REPORT_EVERY = (0.4, 0.93)  # s between two refreshes of a load report
REPORT_DELAY = (0.09, 0.47)  # s until a refreshed report can be read
REPORT_NOISE = 0.05  # of a figure (one standard deviation)
ANSWER_MARGIN = 0.01  # s of its budget that a node keeps for itself when it calls the next tier
RESET = struct.pack("ii", 1, 0)  # SO_LINGER: a close resets
UNIT = NormalDist()
BUDGETS = {b"m": 1e-3, b"u": 1e-6}


def drawn_work(id: str, seed: int, mean: float, spread: float) -> float:
    """The work of a request, the same wherever and whenever it is done (lognormal)."""
    token = hashlib.blake2b(id.encode(), digest_size=8, key=seed.to_bytes(8, "big")).digest()
    share = (int.from_bytes(token, "big") + 0.5) / 2**64
    sigma2 = math.log1p(spread * spread)
    return mean * math.exp(UNIT.inv_cdf(share) * math.sqrt(sigma2) - sigma2 / 2)


class Job:
    """A request that the node has taken."""

    __slots__ = ("budget", "calls", "connection", "headers", "owns_key", "phases", "run")

    def __init__(self, run: ledger.Run, connection: NodeConnection | None, budget: float) -> None:
        self.run, self.connection, self.budget = run, connection, budget
        self.phases: list[float] = []  # s of work still to be done here, between calls to the next tier
        self.calls = 0  # to the next tier so far
        self.owns_key = False
        self.headers: dict[bytes, bytes] = {}


class NodeConnection(asyncio.Protocol):
    """A proxy's connection; one request at a time."""

    def __init__(self, node: Node) -> None:
        self.node = node
        self.transport: asyncio.Transport | None = None
        self.parser: Any = httptools.HttpRequestParser(self)
        self.target = b""
        self.headers: dict[bytes, bytes] = {}
        self.first_at = 0.0
        self.busy = False
        self.fresh = True
        self.idle_since = time.monotonic()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.node.connections.add(self)
        if self.node.mute:
            self.transport.pause_reading()

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self.node.connections.discard(self)

    def data_received(self, data: bytes) -> None:
        if not self.first_at:
            self.first_at = time.monotonic()
        try:
            self.parser.feed_data(data)
        except Exception:  # no request
            self.reset()

    def on_message_begin(self) -> None:
        self.target, self.headers = b"", {}

    def on_url(self, part: bytes) -> None:
        self.target += part

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers[name.lower()] = value

    def on_message_complete(self) -> None:
        if self.busy:
            self.reset()  # one request at a time
            return
        self.busy = True
        first_at, self.first_at = self.first_at or time.monotonic(), 0.0
        fresh, self.fresh = self.fresh, False
        self.node.request(self, self.target, self.headers, first_at, fresh)

    def reply(self, code: int, body: bytes, more: bytes = b"") -> None:
        """The answer, by the node's manners."""
        self.busy = False
        self.idle_since = time.monotonic()
        transport = self.transport
        if transport is None:
            return
        whole = b"HTTP/1.1 %d X\r\ncontent-length: %d\r\n%s\r\n" % (code, len(body), more) + body
        manner = self.node.manner_now()
        if manner == "before":
            self.reset()
        elif manner == "in":
            transport.write(whole[: len(whole) - max(1, len(body) // 2)])
            self.node.loop.call_later(0.005, self.reset)
        elif manner == "after":
            transport.write(whole)
            self.node.loop.call_later(0.005, self.reset)
        elif manner == "garbage":
            transport.write(b"\x00\x7f\xfe rubbish " + whole)
        elif manner == "drip":
            self.busy = True
            self._drip(whole, 0)
        else:
            transport.write(whole)

    def _drip(self, whole: bytes, place: int) -> None:
        if self.transport is not None and place < len(whole):
            self.transport.write(whole[place : place + 1])
            self.node.loop.call_later(DRIP_EVERY, self._drip, whole, place + 1)
        else:
            self.busy = False

    def reset(self) -> None:
        if self.transport is not None:
            sock = self.transport.get_extra_info("socket")
            if sock is not None:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            self.transport.abort()


class Node:
    def __init__(
        self, fleet: Fleet, name: str, tier: int, kind: Kind, zone: str, seed: int, cold: bool
    ) -> None:
        self.fleet, self.name, self.tier, self.kind, self.zone = fleet, name, tier, kind, zone
        self.loop: asyncio.AbstractEventLoop = fleet.loop
        self.draws = Random(seed)
        self.model = NodeModel(kind, time.monotonic(), cold)
        self.connections: set[NodeConnection] = set()
        self.server: asyncio.Server | None = None
        self.port = 0
        self.jobs: dict[int, Job] = {}
        self.numbers = 0
        self.frozen = self.vanished = False
        self.stuffing: list[socket.socket] = []  # connections that fill the backlog of a vanished machine
        self.manner, self.manner_share = "", 0.0
        self.errors = 0.0  # share of requests that fail at once
        self.probes = 0
        self.next: Pool | None = None  # to its own proxy before the next tier
        self.since_ms = int(time.time() * 1000) if cold else 0
        self.started = False
        self._due: asyncio.TimerHandle | None = None
        self._report = b"inflight=0,queue=0"
        self._reports = self.loop.call_later(0.0, self._refresh)
        self._sweeper = self.loop.call_later(SWEEP, self._sweep)

    @property
    def mute(self) -> bool:
        return self.frozen or self.vanished

    async def listen(self) -> None:
        self.server = await self.loop.create_server(
            lambda: NodeConnection(self), "127.0.0.1", self.port, backlog=512
        )
        self.port = self.server.sockets[0].getsockname()[1]
        self.started = True
        self.life("up")

    def life(self, state: str, cause: str = "") -> None:
        tier = self.fleet.tiers[self.tier].name
        self.fleet.book.put(ledger.Life(self.name, tier, time.monotonic(), state, cause))

    # requests
    def request(
        self,
        connection: NodeConnection,
        target: bytes,
        headers: dict[bytes, bytes],
        first: float,
        fresh: bool,
    ) -> None:
        now = time.monotonic()
        self._advance(now)
        if fresh:
            self.model.burden(now, self.kind.handshake)
        if target in (b"/healthz", b"/load"):
            self.model.burden(now, self.kind.probe_work)
            self.probes += 1
            connection.reply(200 if self.model.life is Life.UP else 503, self._report)
            return
        id = headers.get(b"x-call-id", b"").decode("latin-1")
        if not id:
            connection.reply(404, b"no call id\n")
            return
        cls = target[1:].split(b"?", 1)[0].split(b"/", 1)[0].decode("latin-1")
        work = self.fleet.work_of(self.tier, cls, id)
        key = headers.get(b"idempotency-key", b"").decode("latin-1")
        parent = headers.get(b"x-parent", b"").decode("latin-1")
        tier = self.fleet.tiers[self.tier].name
        run = ledger.Run(id, self.name, tier, cls, first, now, key, work=work, parent=parent)
        job = Job(run, connection, _budget(headers))
        if work <= 0:
            self._end(job, 404, b"no such class\n", "error")
        elif self.model.life is not Life.UP or len(self.connections) > self.kind.connections:
            self._end(job, 503, b"draining or too many connections\n", "full")
        elif self.errors and self.draws.random() < self.errors:
            self._end(job, 500, b"failed\n", "error")
        else:
            self._take(job, now)
        self._schedule()

    def _take(self, job: Job, now: float) -> None:
        run = job.run
        keys = self.fleet.keys[self.tier].get(run.cls)
        if keys is not None and run.key:
            earlier = keys.seen(now, run.key)
            if earlier is not None:
                # The same booking: what it came to, or a wait that its caller ends.
                if earlier.body is not None:
                    self._end(job, 200, earlier.body, "repeat")
                else:
                    self.fleet.waiters.setdefault((self.tier, run.key), []).append((self, job))
                return
        calls = self.fleet.calls_below(self.tier, self.draws.random())
        job.phases = [run.work / 2] + [0.0] * (calls - 1) + [run.work / 2] if calls else [run.work]
        self.numbers += 1
        turn = self.model.arrive(now, self.numbers, job.phases.pop(0))
        if self.model.fell:
            self.end("fell")
            return
        if turn is Turn.FULL:
            self._end(job, 503, b"full\n", "full")
            return
        if keys is not None and run.key:
            keys.begin(now, run.key)
            job.owns_key = True
        self.jobs[self.numbers] = job
        if turn is Turn.RUNS:
            run.began = now
        if self.manner == "accepted" and self.draws.random() < self.manner_share:
            if job.connection is not None:
                job.connection.reset()  # what runs goes on
            job.connection = None

    def _advance(self, now: float) -> None:
        if self.mute:
            return
        for number in self.model.advance(now):
            self._through(number, now)

    def _through(self, number: int, now: float) -> None:
        """The present work of a request is done: the next call, or the answer."""
        job = self.jobs.get(number)
        if job is None:
            return
        if job.phases and self.next is not None:
            self._call_below(number, job)
            return
        del self.jobs[number]
        self._release(now)
        self._end(job, 200, f"{self.name} {job.run.id} {number}\n".encode(), "ok")

    def _call_below(self, number: int, job: Job) -> None:
        """The slot is kept meanwhile. Each call is a request of its own, with the time that is left."""
        assert self.next is not None
        run = job.run
        job.calls += 1
        left = run.whole + job.budget - ANSWER_MARGIN - time.monotonic()
        id = f"{run.id}.{self.tier + 1}{job.calls}-{self.name}-{number}"
        host = self.fleet.tiers[self.tier + 1].host or self.next.host
        lines = [
            f"{'POST' if run.key else 'GET'} /{run.cls}/{job.calls} HTTP/1.1",
            f"Host: {host}",
            f"X-Call-Id: {id}",
            f"X-Budget: {max(1, int(left * 1e6))}u",
            f"X-Parent: {run.id}",
        ]
        if run.key:
            lines += [f"Idempotency-Key: {run.key}.{job.calls}", "Content-Length: 0"]
        text = "\r\n".join(lines).encode() + b"\r\n\r\n"
        sent = time.monotonic()

        def done(exchange: Exchange) -> None:
            code = exchange.code if exchange.how == "answer" else 0
            self.fleet.book.put(
                ledger.Try(
                    id,
                    -1,
                    0,
                    run.cls,
                    "",
                    self.fleet.sidecar(self),
                    sent,
                    max(0.0, left),
                    run.key,
                    exchange.sent,
                    exchange.ended,
                    exchange.how,
                    code,
                    exchange.crc,
                )
            )
            self._answered_below(number, job, code)

        if left <= 0:
            self._answered_below(number, job, 0)
        else:
            self.next.send(Exchange(text, sent + left, done))

    def _answered_below(self, number: int, job: Job, code: int) -> None:
        if number not in self.jobs:
            return  # the node has ended
        now = time.monotonic()
        self._advance(now)
        if code == 200:
            self.model.resume(number, job.phases.pop(0))
        else:
            del self.jobs[number]
            self._release(now)
            self._end(job, 500, b"the next tier failed\n", "error")
        self._schedule()

    def _release(self, now: float) -> None:
        for number in self.model.release(now):
            self.jobs[number].run.began = now

    def _end(self, job: Job, code: int, body: bytes, outcome: str) -> None:
        run = job.run
        run.ended, run.outcome, run.code = time.monotonic(), outcome, code
        run.crc = zlib.crc32(body)
        self.fleet.book.put(run)
        if job.owns_key:
            self.fleet.key_ended(self.tier, run.cls, run.key, body if code == 200 else None)
        if job.connection is not None:
            more = b"x-rejected: 1\r\n" if code == 503 and outcome == "full" else b""
            job.connection.reply(code, body, more)

    def answer_repeat(self, job: Job, body: bytes | None) -> None:
        """The execution that a repeat waited on has ended."""
        if self.model.life is not Life.DOWN:
            code = 200 if body is not None else 500
            self._end(job, code, body if body is not None else b"the first try failed\n", "repeat")

    # time
    def _schedule(self) -> None:
        if self._due is not None:
            self._due.cancel()
            self._due = None
        due = self.model.next_due() if not self.mute and self.model.life is not Life.DOWN else None
        if due is not None:
            self._due = self.loop.call_later(max(0.001, due - time.monotonic()), self._wake)

    def _wake(self) -> None:
        self._due = None
        self._advance(time.monotonic())
        self._schedule()

    def _refresh(self) -> None:
        """A load report is taken now and read later, a little noisy."""
        figures = [
            max(0, round(figure * self.draws.gauss(1.0, REPORT_NOISE)))
            for figure in (self.model.inflight, len(self.model.waiting))
        ]
        text = b"inflight=%d,queue=%d" % (figures[0], figures[1])
        self.loop.call_later(self.draws.uniform(*REPORT_DELAY), self._show, text)
        self._reports = self.loop.call_later(self.draws.uniform(*REPORT_EVERY), self._refresh)

    def _show(self, text: bytes) -> None:
        self._report = text

    def _sweep(self) -> None:
        oldest = time.monotonic() - self.kind.idle
        if not self.mute:
            for connection in list(self.connections):
                if not connection.busy and connection.idle_since < oldest and connection.transport:
                    connection.transport.close()
        self._sweeper = self.loop.call_later(SWEEP, self._sweep)

    # faults
    def manner_now(self) -> str:
        if not self.manner or self.draws.random() >= self.manner_share:
            return ""
        return self.manner

    def misbehave(self, manner: str, share: float) -> None:
        self.manner, self.manner_share = manner, share

    def slow(self, factor: float) -> None:
        self._advance(time.monotonic())
        self.model.slower = factor
        self._schedule()

    def freeze(self, on: bool) -> None:
        """The process stands still: connections come up, and nothing is said."""
        now = time.monotonic()
        self._advance(now)
        self.frozen = on
        for connection in self.connections:
            if connection.transport is not None:
                (connection.transport.pause_reading if on else connection.transport.resume_reading)()
        if not on:
            self.model.skip(now)
        self._schedule()

    def vanish(self) -> None:
        """The machine is cut off: what is open stays silent, and new connections never come up."""
        self._advance(time.monotonic())
        self.vanished = True
        for connection in self.connections:
            if connection.transport is not None:
                connection.transport.pause_reading()
        if self.server is not None:
            self.server.close()
        full = socket.socket()
        full.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        full.bind(("127.0.0.1", self.port))
        full.listen(0)
        self.stuffing.append(full)
        for _ in range(4):  # the kernel answers no more once its queue is full
            caller = socket.socket()
            caller.setblocking(False)
            caller.connect_ex(("127.0.0.1", self.port))
            self.stuffing.append(caller)
        self._schedule()

    async def come_back(self) -> None:
        """The machine is back; its old connections are reset."""
        for sock in self.stuffing:
            sock.close()
        self.stuffing.clear()
        self.model.skip(time.monotonic())
        self.vanished = False
        for connection in list(self.connections):
            connection.reset()
        await self.listen()
        self._schedule()

    def drain(self) -> None:
        self.model.life = Life.DRAINING
        self.life("draining")

    def end(self, cause: str) -> None:
        """The process ends: its connections are reset, and new ones refused."""
        if self.model.life is Life.DOWN:
            return
        self.life("fell" if cause == "fell" else "down", cause)
        self.model.down()
        now = time.monotonic()
        for job in self.jobs.values():
            job.run.ended, job.run.outcome = now, "killed"
            self.fleet.book.put(job.run)
            if job.owns_key:
                self.fleet.key_ended(self.tier, job.run.cls, job.run.key, None)
        self.jobs.clear()
        self.close()
        self.fleet.ended(self, cause)

    def close(self) -> None:
        if self.server is not None:
            self.server.close()
        for sock in self.stuffing:
            sock.close()
        for connection in list(self.connections):
            connection.reset()
        for handle in (self._due, self._reports, self._sweeper):
            if handle is not None:
                handle.cancel()
        if self.next is not None:
            self.next.close()


def _budget(headers: dict[bytes, bytes]) -> float:
    """Seconds, from X-Budget; 0 where there is none."""
    text = headers.get(b"x-budget", b"")
    try:
        return float(text[:-1]) * BUDGETS.get(text[-1:], 0.0)
    except ValueError:
        return 0.0
