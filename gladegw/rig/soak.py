"""A short day of faults before one real proxy, drawn from a seed, and judged by its clients' and servers'
own records.

System calls fail and come short, the wall clock is stepped, the process has a share of a core, discovery
goes down and is crowded, servers drain, signals come in series, and clients go on using open connections
until the process is killed.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import math
import os
import signal
import socket
import sys
import time
from pathlib import Path
from random import Random
from typing import Any

import msgspec

from gladegw.rig import process, syscall_faults
from gladegw.rig.cpu_limit import CpuShare
from gladegw.rig.errors import RigError
from gladegw.rig.nodes.many import ManyServers
from gladegw.rig.nodes.settings import settings
from gladegw.rig.ports import free_port
from gladegw.rig.scenario import of_blocks

LIFE = 14.0  # s of a day
CLASS = "status"  # of all requests: safe to repeat
DEADLINE = 1.5  # s that a client waits
FEATURES = "figures {}\n\ncapture {}\n"  # as in service
BUDGET = f"{DEADLINE * 1000:.0f}m"
SLACK = 0.3  # s by which an answer may be late here, where everything shares one machine
KILL_AFTER = 3.7  # s from SIGTERM: the longest deadline (3 s at most) and 0.7 s
OWED_UNTIL = 0.7  # s from SIGTERM up to which a request on an open connection is owed its answer
TOLD_WITHIN = 6.0  # s after which a change counts as told
GRACE = 0.55  # s of a drain, with the slack of sockets
HELD_UP = 0.15  # s for which a process may stand still between its clock and a write
PATIENCE = 2.0  # s that a call to discovery waits until it is refused
FELL_SILENT = 1.0  # s before a drain at which watches fall silent, where they do
READY_WITHIN = 10.0  # s
LOOK_EVERY = 0.25  # s between looks whether a new connection is answered
DEAF_FOR = 2.0  # s without one that is, from which on nobody listens
REFUSES, SILENT, UNREAD, RESETS, DRIPS = "refuses", "is silent", "does not read", "resets", "drips"
FAULTS = (REFUSES, SILENT, UNREAD, RESETS, DRIPS)
DRIP_EVERY = 0.3  # s between the bytes of an answer that drips
MOST_STOPPED = 2.8  # s
SLOW_READERS = (0, 0, 100)  # drawn from
CROWDS = (0, 0, 300)
READ_BYTES = 2000  # that a slow reader takes at a time
READ_INTERVAL = 0.1  # s between two of them
RECONNECT_AFTER = 0.2  # s
RULES = ("ready", "crash", "lost", "late", "drain")


class Day(msgspec.Struct, frozen=True, kw_only=True):
    """What is drawn from a seed. Times are seconds of the day; a share of 1 is a whole core."""

    seed: int
    servers: int
    share: float
    failing: float  # share of system calls
    steps: tuple[tuple[float, float], ...]  # of the wall clock
    clients: int
    work: float  # s of a call
    refused: tuple[float, float]  # from when until when discovery refuses every call
    drains: tuple[float, ...]  # when a tenth of the servers begins to drain
    hangups: tuple[float, ...]  # SIGHUP
    term: float
    rejects: bool = True  # whether servers that drain turn calls away
    refused_after: float = PATIENCE  # s that a call to discovery waits until it is refused
    silences: tuple[float, ...] = ()  # when the watches that are open fall silent
    probes: bool = True  # whether the settings allow probes
    healthy: bool = False  # whether servers that drain answer probes as before
    fault: str = REFUSES  # what becomes of calls to discovery in the time of `refused`; one of FAULTS
    stops: tuple[tuple[float, float], ...] = ()  # when the proxy is stopped, and for how long
    slow_readers: int = 0  # clients that read large answers slowly
    crowd: int = 0  # idle clients, which connect again when they are closed


class Breach(msgspec.Struct, frozen=True):
    """A rule that was broken, when, and how."""

    rule: str
    at: float
    what: str


class Verdict(msgspec.Struct, kw_only=True):
    """How a day ended."""

    day: Day
    answered: int = 0
    refused: int = 0
    failed: int = 0
    closed: int = 0  # connections that ended before their request was read, as they may
    breaches: list[Breach] = []


def _drawn_stops(draws: Random) -> tuple[tuple[float, float], ...]:
    """Up to two stops that do not overlap and end before SIGTERM."""
    first, second = (draws.uniform(0.2, MOST_STOPPED) for _ in range(2))
    begin = draws.uniform(1.5, 2.5)
    stops = ((begin, first), (begin + first + 1.0, second))
    return stops[: draws.randint(0, 2)]


def drawn(seed: int, servers: int = 0) -> Day:
    """The same seed gives the same day; `servers` above 0 is taken in place of the drawn number."""
    draws = Random(seed)
    begin = draws.uniform(1.0, 3.0)
    day = Day(
        seed=seed,
        servers=draws.choice((8, 40, 200, 3200)),
        share=draws.choice((0.3, 0.5, 0.8)),
        failing=draws.choice((0.0, 0.001, 0.01)),
        steps=tuple((draws.uniform(1, LIFE), draws.choice((-3600.0, -5.0, 5.0, 3600.0))) for _ in range(2)),
        clients=draws.randint(2, 10),
        work=draws.choice((0.0, 0.02, 0.1)),
        refused=(begin, begin + draws.uniform(0.0, 8.0)),
        drains=tuple(sorted(draws.uniform(1.0, LIFE - 5) for _ in range(draws.randint(0, 3)))),
        hangups=tuple(sorted(draws.uniform(2.0, LIFE - 4) for _ in range(draws.randint(0, 3)))),
        term=LIFE - KILL_AFTER,
    )
    # Drawn last, so that what a seed gave before stays as it was.
    silent = draws.random() < 0.5
    day = msgspec.structs.replace(
        day,
        rejects=draws.random() < 0.5,
        refused_after=draws.choice((PATIENCE, 1.0, 0.0)),
        silences=tuple(max(0.5, at - FELL_SILENT * draws.random()) for at in day.drains if silent),
    )
    day = msgspec.structs.replace(
        day,
        probes=draws.random() < 0.7,
        healthy=not day.rejects and draws.random() < 0.5,
        fault=draws.choice(FAULTS),
        stops=_drawn_stops(draws),
    )
    day = msgspec.structs.replace(day, slow_readers=draws.choice(SLOW_READERS), crowd=draws.choice(CROWDS))
    return msgspec.structs.replace(day, servers=servers) if servers else day


class Discovery:
    """One address of discovery: a registry of changes, watches, and times in which every call is refused."""

    def __init__(self, servers: ManyServers, day: Day, begun: float) -> None:
        self.servers, self.day, self.begun = servers, day, begun
        self.version = 1
        self.changes: list[tuple[int, dict[str, Any]]] = []
        self.written: dict[int, float] = {}  # when each change was first written to the proxy
        self.news = asyncio.Event()
        self.silent = 0  # connections up to this one get no answer any more
        self.connections = 0
        self.address = ""
        self._listeners: list[asyncio.Server] = []

    async def open(self) -> str:
        """A further address; those before go on."""
        listener = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self._listeners.append(listener)
        host, port = listener.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"
        return self.address

    def close(self) -> None:
        for listener in self._listeners:
            listener.close()

    def change(self, told: dict[str, Any]) -> None:
        self.version = told["index"]
        self.changes.append((self.version, told))
        news, self.news = self.news, asyncio.Event()
        news.set()

    def fall_silent(self) -> None:
        """The connections that there are get no answer any more, and stay open."""
        self.silent = self.connections

    @property
    def refuses(self) -> bool:
        begin, end = self.day.refused
        return begin <= time.monotonic() - self.begun < end

    @property
    def fault(self) -> str:
        """What becomes of calls now; empty where they are answered."""
        return self.day.fault if self.refuses else ""

    async def _fails(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        """Whether a call that has come fails, and what then happens on its connection."""
        if self.fault == SILENT:
            await reader.read()  # until the proxy gives it up
            return True
        if self.fault == RESETS:
            writer.transport.abort()
            return True
        if self.fault == DRIPS:
            for byte in b"HTTP/1.1 200 X\r\nContent-Length: 1000\r\n\r\n":
                writer.write(bytes((byte,)))
                await asyncio.sleep(DRIP_EVERY)
            return True
        return False

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        number = self.connections
        if self.fault == UNREAD:
            await asyncio.sleep(LIFE)
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                if await self._fails(reader, writer):
                    break
                target = head.split(b" ")[1].decode()
                code, body = await self._answer(target)
                if number <= self.silent:
                    await reader.read()  # until the proxy gives it up
                    break
                length = len(body)
                writer.write(b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n" % (code, length) + body)
                if code == 200:
                    self._note_written(target)
                await writer.drain()
        writer.close()

    def _note_written(self, target: str) -> None:
        """The changes since the version that a call asked for have just been written."""
        asked = int(target.partition("from=")[2].partition("&")[0] or 0)
        for index, _ in self.changes:
            if index > asked:
                self.written.setdefault(index, time.monotonic())

    async def _answer(self, target: str) -> tuple[int, bytes]:
        if self.refuses:
            await asyncio.sleep(self.day.refused_after)
            return 503, b""
        query = dict(part.split("=") for part in target.partition("?")[2].split("&") if part)
        if "from" not in query:
            return 200, json.dumps(self.servers.listing(self.version)).encode()
        version, until = int(query["from"]), time.monotonic() + int(query["hold_ms"]) / 1000
        while self.version <= version and time.monotonic() < until:
            if self.fault == REFUSES:
                return 503, b""
            if self.fault:
                await asyncio.sleep(LIFE)  # this watch is told nothing more
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.news.wait(), min(0.1, max(0.0, until - time.monotonic())))
        found = [entry for index, told in self.changes if index > version for entry in told["endpoints"]]
        told = {"index": max(self.version, version), "snapshot": False, "endpoints": found}
        return 200, json.dumps(told).encode()


class Soak:
    """One day at play."""

    def __init__(self, day: Day, folder: Path, preload: Path, harm: str) -> None:
        self.day, self.folder, self.preload, self.harm = day, folder, preload, harm
        self.verdict = Verdict(day=day)
        self.servers = ManyServers(day.servers, day.work)
        self.servers.rejects = day.rejects
        # A harm alone is to be found.
        self.servers.healthy_draining = day.healthy or (bool(harm) and not day.rejects)
        self.drained: list[tuple[float, frozenset[int], int]] = []
        self.port = free_port()
        self.begun = self.term_at = 0.0

    def _broke(self, rule: str, what: str) -> None:
        assert rule in RULES
        self.verdict.breaches.append(Breach(rule, round(time.monotonic() - self.begun, 3), what))

    async def play(self) -> Verdict:
        """Raises RigError where the rig itself fails."""
        await self.servers.start()
        self.begun = time.monotonic()
        discovery = Discovery(self.servers, self.day, self.begun)
        limits = settings(of_blocks("", [], "soak"), 0, 0, "a")
        config = {
            "name": "n0",
            "listen": f"127.0.0.1:{self.port}",
            "discovery": await discovery.open(),
            "seed": f"{self.day.seed:x}",
            "limits": {"cores": self.day.share, "memory_mb": 192, "sockets": 512},
            "known": self.servers.listing(1),
            "settings": limits | {"policy_limits": limits["policy_limits"] | {"probes": self.day.probes}},
        }
        child = await self._start(config)
        tasks: list[asyncio.Task[None]] = []
        try:
            if not await self._ready(child):
                return self.verdict
            with CpuShare(child.pid, self.day.share) as share:
                tasks = [asyncio.create_task(self._client(number)) for number in range(self.day.clients)]
                tasks += [asyncio.create_task(self._slow_reader(n)) for n in range(self.day.slow_readers)]
                tasks += [asyncio.create_task(self._idle_client()) for _ in range(self.day.crowd)]
                tasks.append(asyncio.create_task(self._drains(discovery)))
                tasks.append(asyncio.create_task(self._hangups(child, discovery, config)))
                tasks.append(asyncio.create_task(self._silences(discovery)))
                tasks.append(asyncio.create_task(self._listens()))
                tasks.append(asyncio.create_task(self._stops(share)))
                await self._sleep_until(self.day.term)
                if child.returncode is not None:
                    self._broke("crash", f"exit code {child.returncode}")
                    return self.verdict
                self.term_at = time.monotonic()
                child.send_signal(signal.SIGTERM)
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(child.wait(), KILL_AFTER)
            process.kill(child)
            code = await child.wait()
            if code not in (0, -signal.SIGKILL):
                self._broke("crash", f"exit code {code} after SIGTERM")
            await asyncio.sleep(0.1)
            self._judge_drains(discovery)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            process.kill(child)
            await child.wait()
            discovery.close()
            self.servers.stop()
        return self.verdict

    async def _start(self, config: dict[str, Any]) -> asyncio.subprocess.Process:
        (self.folder / "config.json").write_text(json.dumps(config), encoding="utf-8")
        (self.folder / "features.hcl").write_text(FEATURES, encoding="utf-8")
        environ = {key: value for key, value in os.environ.items() if not key.startswith("EDGE_")}
        environ |= syscall_faults.environ(self.preload, self.day.seed, self.day.failing, 0.0, self.day.steps)
        environ["EDGE_CONFIG"] = str(self.folder / "config.json")
        program = ("gladegw.rig.faulty_versions", self.harm) if self.harm else ("gladegw",)
        command = (sys.executable, "-m", *program, "-f", str(self.folder / "features.hcl"))
        log = self.folder / "log"
        return await process.start(*command, environ=environ, log=log, descriptors=512, piped=False)

    async def _healthy(self) -> bool:
        """Whether a new connection is answered that the proxy is ready."""
        with contextlib.suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                writer.write(b"GET /healthz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                line = await reader.readuntil(b"\r\n")
                writer.close()
                return b" 200 " in line
        return False

    async def _listens(self) -> None:
        """Looks through the whole life, up to SIGTERM, whether new connections are answered."""
        answered_at = time.monotonic()
        while not self.term_at:
            if await self._healthy() or self._stopped_since(answered_at):
                answered_at = time.monotonic()
            elif time.monotonic() > answered_at + DEAF_FOR and not self.term_at:
                self._broke("ready", f"no new connection was answered for {DEAF_FOR:g} s")
                return
            await asyncio.sleep(LOOK_EVERY)

    async def _ready(self, child: asyncio.subprocess.Process) -> bool:
        due = time.monotonic() + READY_WITHIN
        while time.monotonic() < due and child.returncode is None:
            if await self._healthy():
                return True
            await asyncio.sleep(0.02)
        self._broke("ready", f"not ready in {READY_WITHIN:g} s, exit code {child.returncode}")
        return False

    async def _sleep_until(self, at: float) -> None:
        await asyncio.sleep(max(0.0, self.begun + at - time.monotonic()))

    async def _drains(self, discovery: Discovery) -> None:
        draws = Random(self.day.seed + 1)
        for at in self.day.drains:
            await self._sleep_until(at)
            ready = sorted(set(range(self.day.servers)) - self.servers.draining)
            chosen = frozenset(draws.sample(ready, max(1, len(ready) // 10)))
            self.drained.append((time.monotonic(), chosen, discovery.version + 1))
            discovery.change(self.servers.drain(set(chosen), discovery.version + 1))

    async def _silences(self, discovery: Discovery) -> None:
        for at in self.day.silences:
            await self._sleep_until(at)
            discovery.fall_silent()

    async def _stops(self, share: CpuShare) -> None:
        for at, length in self.day.stops:
            await self._sleep_until(at)
            share.hold()
            await asyncio.sleep(length)
            share.release()

    def _stopped_since(self, at: float) -> bool:
        """Whether the proxy was stopped at some time since: no answer is due then."""
        now = time.monotonic() - self.begun
        return any(begin < now and begin + length > at - self.begun for begin, length in self.day.stops)

    async def _hangups(
        self, child: asyncio.subprocess.Process, discovery: Discovery, config: dict[str, Any]
    ) -> None:
        for at in self.day.hangups:
            await self._sleep_until(at)
            config["discovery"] = await discovery.open()
            (self.folder / "config.json").write_text(json.dumps(config), encoding="utf-8")
            with contextlib.suppress(ProcessLookupError):
                child.send_signal(signal.SIGHUP)

    async def _slow_reader(self, number: int) -> None:
        """Asks for large answers and reads them slowly; it is not judged."""
        loop = asyncio.get_running_loop()
        calls = 0
        while True:
            calls += 1
            head = f"GET /{CLASS}/large HTTP/1.1\r\nHost: x\r\nX-Call-Id: e{number:07x}{calls:08x}\r\n"
            with contextlib.suppress(OSError), socket.socket() as client:
                client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4 * READ_BYTES)
                client.setblocking(False)
                await loop.sock_connect(client, ("127.0.0.1", self.port))
                await loop.sock_sendall(client, head.encode() + f"X-Budget: {BUDGET}\r\n\r\n".encode())
                while await loop.sock_recv(client, READ_BYTES):
                    await asyncio.sleep(READ_INTERVAL)
            await asyncio.sleep(RECONNECT_AFTER)

    async def _idle_client(self) -> None:
        """Connects, sends nothing, and connects again when it is closed; it is not judged."""
        while True:
            with contextlib.suppress(OSError):
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                await reader.read()
                writer.close()
            await asyncio.sleep(RECONNECT_AFTER)

    async def _client(self, number: int) -> None:
        """Asks again and again on one connection, and opens another where that has ended."""
        calls = 0
        while True:
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
            except OSError:
                await asyncio.sleep(0.02)
                continue
            fresh = True
            while True:
                calls += 1
                if not await self._ask(reader, writer, f"{number:08x}{calls:08x}", fresh):
                    break
                fresh = False
                await asyncio.sleep(0.05)
            writer.close()

    async def _ask(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, name: str, fresh: bool
    ) -> bool:
        """Whether the connection can be used further."""
        sent_at = time.monotonic()
        head = f"GET /{CLASS} HTTP/1.1\r\nHost: x\r\nX-Call-Id: {name}\r\nX-Budget: {BUDGET}\r\n\r\n"
        try:
            async with asyncio.timeout(DEADLINE + SLACK + 1.0):
                writer.write(head.encode())
                answer = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
                length = int(answer.partition("content-length:")[2].partition("\r\n")[0])
                await reader.readexactly(length)
        except TimeoutError:
            owed = not self.term_at or sent_at < self.term_at + OWED_UNTIL
            if owed and not self._stopped_since(sent_at):
                self._broke("lost", f"{name}: no answer")
            return False
        except (ConnectionError, asyncio.IncompleteReadError) as fault:
            # A connection may end between requests; a client then sends its request once more on another one.
            begun = isinstance(fault, asyncio.IncompleteReadError) and fault.partial
            ending = self.term_at and time.monotonic() > self.term_at
            # Beside a crowd new connections may be shut unread.
            may_be_shut = ending or self.day.crowd or self.day.slow_readers
            if begun or (fresh and not may_be_shut and not isinstance(fault, ConnectionResetError)):
                self._broke("lost", f"{name}: closed without a whole answer")
            self.verdict.closed += 1
            return False
        if time.monotonic() - sent_at > DEADLINE + SLACK and not self._stopped_since(sent_at):
            self._broke("late", f"{name}: after {time.monotonic() - sent_at:.2f} s")
        code = int(answer.split(" ")[1])
        self.verdict.answered += code == 200
        self.verdict.refused += code in (429, 503)
        self.verdict.failed += code not in (200, 429, 503)
        return "connection: close" not in answer

    def _judge_drains(self, discovery: Discovery) -> None:
        """A change counts as told once it is written to the proxy, or 6 s after it was made."""
        for at, servers, index in self.drained:
            told_at = min(at + TOLD_WITHIN, discovery.written.get(index, math.inf))
            late = self.servers.calls_to(set(servers), told_at + GRACE + HELD_UP)
            if late:
                self._broke("drain", f"{len(late)} calls, the first {late[0].at - at:.2f} s after the drain")


async def play(day: Day, folder: Path, harm: str = "") -> Verdict:
    """Plays a day in a folder of its own; raises RigError where the rig itself fails. `harm`: of rig/bad.py,
    that the proxy does."""
    folder.mkdir(parents=True, exist_ok=True)
    try:
        return await Soak(day, folder, syscall_faults.build(folder), harm).play()
    except OSError as fault:
        raise RigError(f"soak: {fault}") from None
