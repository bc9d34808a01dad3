"""Stand-ins for the clients, the servers and the platform of one deployment, on loopback addresses.

They use the standard library alone. A script of this folder starts the project's proxy as a process of its
own, with the command `run` of the deploy file, and judges only what clients, servers and the platform see.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[1]
HELD, BROKEN, NOT_RUN = 0, 1, 2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SOCKET_SLACK_S = 0.05  # by which every time limit is longer on sockets
LATE_ANSWER_S = 0.5  # after its time, a request's answer only earns nothing; later it is lost

# The settings of a small deployment: three classes, one of each effect.
SETTINGS: dict[str, Any] = {
    "balancers": 1,
    "me": 0,
    "stage": 0,
    "stages": ["front"],
    "zone": "east",
    "dcs": ["east"],
    "kinds": ["small"],
    "discovery": "ask",
    "quantum": 0.005,
    "weights": "nominal",
    "worth_by": "request",
    "tenants": [],
    "grades": [
        {
            "name": "find",
            "value": 1.0,
            "objective": 0.6,
            "deadline": 1.5,
            "effect": "repeatable",
            "group": "all",
            "window": 5.0,
        },
        {
            "name": "reserve",
            "value": 5.0,
            "objective": 2.5,
            "deadline": 6.0,
            "effect": "by_key",
            "group": "all",
            "window": 10.0,
        },
        {
            "name": "pay",
            "value": 5.0,
            "objective": 2.5,
            "deadline": 6.0,
            "effect": "once",
            "group": "all",
            "window": 10.0,
        },
    ],
    "report": {"names": ["busy_reqs", "pending"], "via": "on_probe"},
    "policy_limits": {
        "send_cap": 4,
        "may_duplicate": False,
        "may_cancel": True,
        "probes": True,
        "peers": False,
        "conn_idle": 5.0,
        "connect_timeout": 0.12,
        "most_held": 20000,
        "retry_after": True,
        "max_retry_after": 2.0,
        "streams_per_conn": 1,
    },
    "contract": {
        "must_ask_in": 10.0,
        "grace_to_answer": 0.02,
        "drain_grace": 0.5,
        "cold_from": 0.14,
        "cold": 23.0,
        "fall_multiple": 3.0,
        "overload_for": 1.5,
    },
}


class CannotRunError(Exception):
    """The case could not run, which says nothing about the rule."""


class Record:
    """The file `record.txt` of a case: what was sent, answered and run, with the time of each."""

    def __init__(self, folder: Path) -> None:
        self.began = time.monotonic()
        self.file = (folder / "record.txt").open("w", encoding="utf-8")

    def write(self, text: str) -> None:
        """Append one line."""
        self.file.write(f"{time.monotonic() - self.began:8.3f} {text}\n")

    def close(self) -> None:
        """Close the file."""
        self.file.close()


@dataclass
class Message:
    """A request or an answer as it was read."""

    line: str
    headers: dict[str, str]
    body: bytes


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read one message; raises IncompleteReadError or ConnectionError if it does not end."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {}
    for line in head[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.lower()] = value.strip()
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if not size:
                return Message(head[0], headers, body)
            body += chunk[:size]
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return Message(head[0], headers, body)


def answer_bytes(code: int, body: bytes, *lines: str) -> bytes:
    """A whole answer whose length is declared."""
    head = [f"HTTP/1.1 {code} X", f"Content-Length: {len(body)}", *lines]
    return "\r\n".join(head).encode() + b"\r\n\r\n" + body


class Backend:
    """A server as the protocol page describes it; a case may replace `reply` for single requests."""

    def __init__(self, name: str, record: Record, work_s: float = 0.1, max_connections: int = 0) -> None:
        self.name, self.record, self.work_s = name, record, work_s
        self.max_connections = max_connections  # 0: no limit
        self.reply: Callable[[Message, asyncio.StreamWriter], Awaitable[bool]] | None = None
        self.status, self.since_ms = "Ready", 0
        self.open: set[asyncio.StreamWriter] = set()
        self.begun: list[tuple[float, str]] = []  # time and id of each request received
        self.holding = 0
        self.address: tuple[str, int] = ("", 0)
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen, at the same address as before if it has listened already."""
        host, port = self.address if self.address[1] else ("127.0.0.1", 0)
        self.server = await asyncio.start_server(self._serve, host, port)
        self.address = self.server.sockets[0].getsockname()[:2]

    async def _limit_connections(self) -> None:
        """Refuse connections while the server holds as many as it can, by not listening."""
        if not self.max_connections:
            return
        if len(self.open) >= self.max_connections and self.server is not None:
            self.server.close()
            self.server = None
        elif len(self.open) < self.max_connections and self.server is None:
            with contextlib.suppress(OSError):
                await self.start()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.open.add(writer)
        await self._limit_connections()
        try:
            while True:
                message = await read_message(reader)
                method, target, _ = message.line.split(" ")
                if target in ("/healthz", "/load"):
                    writer.write(answer_bytes(200, b"inflight=%d,queue=0" % self.holding))
                    continue
                id = message.headers.get("x-call-id", "")
                self.begun.append((time.monotonic(), id))
                self.record.write(f"{self.name} received {method} {target} id={id}")
                if not id:
                    writer.write(answer_bytes(404, b"no id"))
                    continue
                self.holding += 1
                try:
                    if self.reply is not None and await self.reply(message, writer):
                        continue
                    await asyncio.sleep(self.work_s)
                finally:
                    self.holding -= 1
                writer.write(answer_bytes(200, body_for(id, self.name)))
                self.record.write(f"{self.name} answered 200 id={id}")
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.open.discard(writer)
            writer.close()
            await self._limit_connections()

    async def stop(self) -> None:
        """Close everything."""
        self.max_connections = 0
        if self.server is not None:
            self.server.close()
        for writer in list(self.open):
            writer.transport.abort()


def body_for(id: str, server: str) -> bytes:
    """The body of a server's answer to a request."""
    return f"result of {id} by {server}".encode()


class Discovery:
    """The list of servers, with watches; `refuses` may make it refuse a call."""

    def __init__(self, backends: list[Backend], record: Record) -> None:
        self.backends, self.record = backends, record
        self.index = 1
        self.changes: list[tuple[int, dict[str, Any]]] = []
        self.changed = asyncio.Condition()
        self.told: dict[str, float] = {}  # when a change of a server was written to the proxy
        self.refuses: Callable[[], float | None] = lambda: None  # s until the refusal; None: serve the call
        self.address = ""

    async def start(self) -> None:
        """Listen."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    @staticmethod
    def entry(backend: Backend) -> dict[str, Any]:
        """The entry of a server."""
        return {
            "name": backend.name,
            "address": f"{backend.address[0]}:{backend.address[1]}",
            "zone": "east",
            "type": "small",
            "group": 0,
            "status": backend.status,
            "weight": 1.0,
            "since_ms": backend.since_ms,
        }

    def listing(self) -> dict[str, Any]:
        """The whole list."""
        listed = [self.entry(b) for b in self.backends if b.status != "Gone"]
        return {"index": self.index, "snapshot": True, "endpoints": listed}

    async def change(self, backend: Backend, status: str) -> None:
        """Change the status of a server."""
        async with self.changed:
            backend.status = status
            self.index += 1
            self.changes.append((self.index, self.entry(backend)))
            self.record.write(f"discovery has {backend.name} as {status} index={self.index}")
            self.changed.notify_all()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            while True:
                message = await read_message(reader)
                target = message.line.split(" ")[1]
                refusal = self.refuses()
                if refusal is not None:
                    await asyncio.sleep(refusal)
                    self.record.write(f"discovery refused {target}")
                    writer.write(answer_bytes(503, b""))
                    continue
                listing = await self._answer(target)
                writer.write(answer_bytes(200, json.dumps(listing).encode()))
                for entry in listing["endpoints"]:
                    if entry["status"] != "Ready":
                        self.told.setdefault(entry["name"], time.monotonic())
                        self.record.write(f"discovery told {entry['name']} {entry['status']}")
        writer.close()

    async def _answer(self, target: str) -> dict[str, Any]:
        query = dict(part.split("=", 1) for part in target.partition("?")[2].split("&") if part)
        if "from" not in query:
            return self.listing()
        known = int(query["from"])
        async with self.changed:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(min(60.0, int(query.get("hold_ms", "0")) / 1000)):
                    await self.changed.wait_for(lambda: self.index > known)
            newer = [entry for index, entry in self.changes if index > known]
        return {"index": self.index, "snapshot": False, "endpoints": newer}


def free_address() -> str:
    """A loopback address with a port that is free now."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        host, port = probe.getsockname()
    return f"{host}:{port}"


@dataclass
class Proxy:
    """A running proxy process."""

    process: asyncio.subprocess.Process
    host: str
    port: int
    config: Path
    memory_mb: int
    log: list[str] = field(default_factory=list)

    def kill(self) -> None:
        """Kill the process if it still runs.

        `process.kill` could take its exit status before the event loop does.
        """
        if self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                os.kill(self.process.pid, signal.SIGKILL)

    def memory_in_use_mb(self) -> float:
        """The memory that the process holds now, as the platform counts it; 0 once it has ended."""
        with contextlib.suppress(OSError):
            for line in Path(f"/proc/{self.process.pid}/status").read_text(encoding="ascii").splitlines():
                if line.startswith("VmRSS:"):
                    return int(line.split()[1]) / 1024
        return 0.0


async def _read_log(proxy: Proxy) -> None:
    assert proxy.process.stderr is not None
    while line := await proxy.process.stderr.readline():
        proxy.log.append(line.decode("utf-8", "replace"))


@contextlib.asynccontextmanager
async def running_proxy(
    discovery: Discovery, record: Record, memory_mb: int = 80, sockets: int = 384
) -> AsyncIterator[Proxy]:
    """Start a proxy with the command of the deploy file, wait until it is ready, and end it at last."""
    run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))["run"]
    listen = free_address()
    host, _, port = listen.rpartition(":")
    raw = {
        "name": "n0",
        "listen": listen,
        "discovery": discovery.address,
        "seed": f"{random.SystemRandom().getrandbits(64):016x}",
        "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
        "known": discovery.listing(),
        "settings": SETTINGS,
    }
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "config.json"
        path.write_text(json.dumps(raw), encoding="utf-8")
        environ = {name: value for name, value in os.environ.items() if not name.startswith("EDGE_")}
        environ |= {"EDGE_CONFIG": str(path), "TMPDIR": folder, "PYTHONDONTWRITEBYTECODE": "1"}
        process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", run, cwd=ROOT, env=environ, stderr=asyncio.subprocess.PIPE
        )
        proxy = Proxy(process, host, int(port), path, memory_mb)
        reading = asyncio.create_task(_read_log(proxy))
        try:
            await _until_ready(proxy)
            record.write(f"proxy is ready memory_mb={proxy.memory_in_use_mb():.0f}")
            yield proxy
        finally:
            proxy.kill()
            await process.wait()
            await reading


async def _until_ready(proxy: Proxy) -> None:
    for _ in range(500):
        if proxy.process.returncode is not None:
            raise CannotRunError(f"the proxy exited at its start: {''.join(proxy.log)[-300:]}")
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            reader, writer = await asyncio.open_connection(proxy.host, proxy.port)
            writer.write(b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
            message = await read_message(reader)
            writer.close()
            if message.line.split(" ")[1] == "200":
                return
        await asyncio.sleep(0.02)
    raise CannotRunError("the proxy did not become ready within 10 s")


@dataclass
class Result:
    """What a client saw of its request."""

    id: str
    code: int  # 0: the connection ended without a whole answer; -1: nothing had ended when it gave up
    body: bytes
    took_s: float


class Clients:
    """Clients that keep their connections and send one request at a time on each."""

    def __init__(self, proxy: Proxy, record: Record) -> None:
        self.proxy, self.record = proxy, record
        self.idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []
        self.results: list[Result] = []
        self.number = 0
        self.prefix = f"{random.SystemRandom().getrandbits(40):010x}"

    async def ask(
        self, cls: str, budget_s: float, wait_s: float, key: bool = False, body: bytes = b""
    ) -> Result:
        """Send a request and wait `wait_s` for its answer, or for the end of the connection."""
        self.number += 1
        id = f"{self.prefix}{self.number:06x}"
        method = "POST" if key or cls == "pay" else "GET"
        head = f"{method} /{cls} HTTP/1.1\r\nHost: service.internal\r\nX-Call-Id: {id}\r\n"
        head += f"X-Caller: acme\r\nX-Budget: {int(budget_s * 1000)}m\r\n"
        if key:
            head += f"Idempotency-Key: {id}{id}\r\n"
        if method == "POST":
            head += f"Content-Length: {len(body)}\r\n"
        connection = self.idle.pop() if self.idle else None
        while connection is not None and connection[0].at_eof():
            connection[1].close()
            connection = self.idle.pop() if self.idle else None
        if connection is None:
            connection = await asyncio.open_connection(self.proxy.host, self.proxy.port)
        reader, writer = connection
        began = time.monotonic()
        self.record.write(f"client sent {method} /{cls} id={id} budget_s={budget_s:g}")
        result = Result(id, -1, b"", wait_s)
        try:
            writer.write(head.encode() + b"\r\n" + body)
            async with asyncio.timeout(wait_s):
                message = await read_message(reader)
            result = Result(id, int(message.line.split(" ")[1]), message.body, time.monotonic() - began)
            if message.headers.get("connection", "").lower() == "close":
                writer.close()
            else:
                self.idle.append(connection)
        except TimeoutError:
            writer.close()
        except (asyncio.IncompleteReadError, ConnectionError) as end:
            partial = end.partial if isinstance(end, asyncio.IncompleteReadError) else b""
            result = Result(id, 0, partial, time.monotonic() - began)
            writer.close()
        text = result.body[:60].decode("latin-1")
        self.record.write(f"client got {result.code} id={id} after_s={result.took_s:.3f} body={text!r}")
        self.results.append(result)
        return result


async def run_case(folder: Path, case: Callable[[Record], Awaitable[int]], limit_s: float) -> int:
    """Run a case within a time limit and return the exit code of its script."""
    record = Record(folder)
    record.write(f"trouble={'on' if TROUBLE else 'off'}")
    task = asyncio.current_task()
    assert task is not None
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)  # which ends the proxy too
    try:
        async with asyncio.timeout(limit_s):
            code = await case(record)
    except (CannotRunError, OSError, TimeoutError, asyncio.CancelledError) as fault:
        record.write(f"the case could not run: {fault!r}")
        print(f"could not run: {fault!r}", file=sys.stderr)
        code = NOT_RUN
    words = {HELD: "the rule held", BROKEN: "the rule was broken", NOT_RUN: "the case could not run"}
    record.write(words[code])
    record.close()
    print(words[code])
    return code


def main(file: str, case: Callable[[Record], Awaitable[int]], limit_s: float = 90.0) -> None:
    """Run a case and exit with its code."""
    sys.exit(asyncio.run(run_case(Path(file).resolve().parent, case, limit_s)))
