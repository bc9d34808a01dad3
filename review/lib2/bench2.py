"""Stand-ins and helpers that the cases 6 to 10 share: platform, discovery, backends, records.

Standard library only. All addresses are loopback addresses with ports that were free.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, Self

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


def grade(name: str, worth: float, aim: float, deadline: float, **more: object) -> dict[str, Any]:
    """One class of requests; repeatable unless `more` says otherwise."""
    return {"name": name, "value": worth, "objective": aim, "deadline": deadline, "late_worth": 0.0} | (
        {"effect": "repeatable", "group": "all", "window": 5.0, "stream": False} | more
    )


def settings(**changes: object) -> dict[str, Any]:
    """Settings like those of kochi-finder, for one proxy of the first tier."""
    return {
        "balancers": 1,
        "me": 0,
        "stage": 0,
        "stages": ["gateway"],
        "zone": "kakkanad",
        "dcs": ["kakkanad", "technopark"],
        "discovery": "ask",
        "quantum": 0.005,
        "worth_by": "work",
        "over_share_worth": 0.2,
        "weights": "nominal",
        "kinds": ["gw-large", "gw-small"],
        "grades": [
            grade("nearby", 1.0, 0.6, 1.5),
            grade("status", 3.0, 0.6, 1.5),
            grade("book-slot", 5.0, 2.5, 6.0, effect="by_key", window=10.0),
        ],
        "tenants": [{"name": "own-app", "portion": 1.0, "quota_rps": 1000.0}],
        "report": {"names": ["busy_reqs", "pending"], "via": "on_probe"},
        "policy_limits": {
            "send_cap": 4,
            "may_duplicate": True,
            "may_cancel": True,
            "probes": True,
            "peers": False,
            "conn_idle": 5.0,
            "connect_timeout": 0.12,
            "most_held": 24369,
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
        "charges": {"probe": 0.01, "cross_zone": 0.0048, "waste": 0.13, "late_fail": 0.05},
    } | changes


class CouldNotRunError(Exception):
    """The case's own set-up failed, so that nothing can be said about the rule."""


class Record:
    """What was sent, answered and run, by the case's clock; written to record.txt."""

    def __init__(self, folder: Path) -> None:
        self.file = (folder / "record.txt").open("w", encoding="utf-8")
        self.began = time.monotonic()
        self.add(f"disruption: {'on' if TROUBLE else 'off (TROUBLE=0)'}")

    def now(self) -> float:
        """Seconds since the record began."""
        return time.monotonic() - self.began

    def add(self, text: str) -> None:
        """Write one line with its time."""
        print(f"{self.now():8.3f} {text}", file=self.file, flush=True)


def free_address(host: str = "127.0.0.1") -> str:
    """A loopback address with a port that is free now."""
    with socket.socket() as probe:
        probe.bind((host, 0))
        return f"{host}:{probe.getsockname()[1]}"


def split(address: str) -> tuple[str, int]:
    """Host and port of an address."""
    host, _, port = address.rpartition(":")
    return host, int(port)


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """The first line and the headers of a message, names in lower case."""
    lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines[1:] if line)
    return lines[0], {name.lower(): value.strip() for name, _, value in pairs}


def message(code: int, body: bytes = b"", *lines: str) -> bytes:
    """A whole answer with its length."""
    head = [f"HTTP/1.1 {code} X", f"Content-Length: {len(body)}", *lines]
    return "\r\n".join(head).encode() + b"\r\n\r\n" + body


def endpoint(name: str, address: str, status: str = "Ready", **more: object) -> dict[str, Any]:
    """An entry of discovery's list."""
    entry = {"name": name, "address": address, "zone": "kakkanad", "type": "gw-large", "group": 0}
    return entry | {"status": status, "weight": 1.0, "since_ms": 0} | more


class Listener:
    """A TCP server that serves each connection with `serve`."""

    def __init__(self) -> None:
        self.address = ""
        self.tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> Self:
        """Listen at a free port."""
        self.server = await asyncio.start_server(self._connection, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"
        return self

    async def _connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            await self.serve(reader, writer)
        writer.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        raise NotImplementedError


class Discovery(Listener):
    """Discovery: the whole list, and watches that wait for a newer version."""

    def __init__(self, record: Record) -> None:
        super().__init__()
        self.record = record
        self.version = 1
        self.entries: dict[str, dict[str, Any]] = {}
        self.changed_in: dict[str, int] = {}  # version of each entry's latest change
        self.changed = asyncio.Condition()
        self.told_at: dict[str, float] = {}  # when an answer with this entry's latest state was written

    async def put(self, *entries: dict[str, Any]) -> None:
        """Change entries, which wakes the watches."""
        async with self.changed:
            self.version += 1
            for entry in entries:
                self.entries[entry["name"]] = entry
                self.changed_in[entry["name"]] = self.version
                self.told_at.pop(entry["name"], None)
                self.record.add(f"discovery has: {entry['name']} {entry['status']} version={self.version}")
            self.changed.notify_all()

    def listing(self, since: int | None = None) -> dict[str, Any]:
        """The whole list, or the entries that are newer than `since`."""
        listed = [e for e in self.entries.values() if since is not None or e["status"] != "Gone"]
        if since is not None:
            listed = [entry for entry in listed if self.changed_in[entry["name"]] > since]
        return {"index": self.version, "snapshot": since is None, "endpoints": listed}

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the calls of one connection."""
        while True:
            line, _ = await read_head(reader)
            await self.answer(line.split(" ")[1], writer)

    async def answer(self, target: str, writer: asyncio.StreamWriter) -> None:
        """Answer one call."""
        query = dict(part.split("=") for part in target.partition("?")[2].split("&") if part)
        since = int(query["from"]) if "from" in query else None
        if since is not None:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(int(query.get("hold_ms", "0")) / 1000), self.changed:
                    await self.changed.wait_for(lambda: self.version > since)
        told = self.listing(since)
        if writer.is_closing():
            return
        writer.write(message(200, json.dumps(told).encode()))
        for entry in told["endpoints"]:
            if self.told_at.setdefault(entry["name"], time.monotonic()) and since is not None:
                self.record.add(f"discovery told: {entry['name']} {entry['status']}")


Behave = Callable[[str, dict[str, str], asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


class Backend(Listener):
    """A backend: answers probes itself and hands each request, before its body is read, to `behave`."""

    def __init__(self, name: str, behave: Behave) -> None:
        super().__init__()
        self.name, self.behave = name, behave

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        while True:
            line, headers = await read_head(reader)
            if line.split(" ")[1] in ("/load", "/healthz"):
                writer.write(message(200, b"inflight=0,queue=0"))
                continue
            await self.behave(line, headers, reader, writer)


class Proxy:
    """The project's proxy as the deploy file starts it, and its configuration as the platform writes it."""

    def __init__(self, record: Record, folder: Path, raw: dict[str, Any], admin: str = "") -> None:
        self.record, self.folder, self.raw, self.admin = record, folder, raw, admin
        self.address = split(raw["listen"])
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> Self:
        """Start `run` of the deploy file and wait until the proxy is ready."""
        deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))
        config = self.folder / "config.json"
        config.write_text(json.dumps(self.raw), encoding="utf-8")
        environ = {key: value for key, value in os.environ.items() if not key.startswith("EDGE_")}
        environ |= {"EDGE_CONFIG": str(config), "EDGE_NAME": self.raw["name"], "TMPDIR": str(self.folder)}
        environ |= {"EDGE_LISTEN": self.raw["listen"], "EDGE_DISCOVERY": self.raw["discovery"]}
        if self.admin:
            environ["EDGE_ADMIN_ADDR"] = self.admin
        with (self.folder / "proxy.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", deploy["run"], cwd=ROOT, env=environ, stdout=log, stderr=log
            )
        self.record.add("proxy started by the deploy file's run")
        until = time.monotonic() + 30
        while not await self.says_ready():
            if self.process.returncode is not None or time.monotonic() > until:
                raise CouldNotRunError("the proxy did not become ready")
            await asyncio.sleep(0.05)
        self.record.add("proxy ready")
        return self

    async def says_ready(self) -> bool:
        """Whether `GET /healthz` answers 200."""
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            reader, writer = await asyncio.open_connection(*self.address)
            writer.write(b"GET /healthz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            line, _ = await read_head(reader)
            writer.close()
            return " 200 " in line
        return False

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        if self.process.returncode is None:
            self.process.send_signal(number)
            self.record.add(f"sent {number.name} to the proxy")

    async def end(self) -> None:
        """Kill the process if it still runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


def configuration(
    discovery: Discovery, changes: dict[str, Any] | None = None, **limits: int
) -> dict[str, Any]:
    """What the platform writes for one proxy."""
    known = discovery.listing()
    return {
        "name": "n0",
        "listen": free_address(),
        "discovery": discovery.address,
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024} | limits,
        "known": known,
        "settings": settings(**(changes or {})),
    }


def request(method: str, cls: str, number: str, budget_ms: int, *lines: str) -> bytes:
    """The head of a client's request."""
    head = [f"{method} /{cls}?at=9.9 HTTP/1.1", "Host: service.internal", f"X-Call-Id: {number}"]
    head += ["X-Caller: own-app", f"X-Budget: {budget_ms}m", *lines]
    return "\r\n".join(head).encode() + b"\r\n\r\n"


def play(case: Callable[[Record, Path], Awaitable[bool]], folder: Path, limit_s: float = 110.0) -> None:
    """Play a case, which returns whether the rule held, and exit with its result."""
    record = Record(folder)
    result = COULD_NOT_RUN

    async def bounded(temporary: Path) -> bool:
        async with asyncio.timeout(limit_s):
            return await case(record, temporary)

    try:
        with tempfile.TemporaryDirectory() as temporary:
            try:
                result = HELD if asyncio.run(bounded(Path(temporary))) else BROKEN
            finally:
                log = Path(temporary) / "proxy.log"
                if log.exists():
                    for line in log.read_text(errors="replace").splitlines():
                        if line.startswith(("WARNING", "ERROR", "Traceback")):
                            record.add(f"proxy's log: {line}")
    except Exception as fault:  # a fault of the case itself says nothing about the rule
        record.add(f"could not run: {type(fault).__name__}: {fault}")
    record.add({HELD: "the rule held", BROKEN: "the rule was broken"}.get(result, "the case could not run"))
    sys.exit(result)
