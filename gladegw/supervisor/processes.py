"""A process of the program as its supervisor has it: begun in a session of its own, so that it outlives who
began it, and held by a descriptor that can't come to mean another process."""

from __future__ import annotations

import asyncio
import contextlib
import os
import select
import signal
import socket
import subprocess
from collections.abc import Mapping
from pathlib import Path

import msgspec

from gladegw.coordination.supervision import ProcessStatus

COMMAND_TIMEOUT_S = 1.0  # s for an answer
MIN_ENDED_REQUESTS = 20  # requests, below which the share that failed says nothing
MAX_MEMORY_FRACTION = 0.95  # of the memory that the proxy may use
RETRY_INTERVAL_S = 0.05  # s until a call that was not answered is made again
MAX_SILENCE_S = 3.0  # s without any answer, after which a new process does badly


class ProcessHandle(msgspec.Struct, frozen=True):
    """What the next supervisor needs to find a process again; `ticks`: its start, as the system tells it."""

    version: str
    pid: int
    ticks: int
    admin: str


def start_ticks(pid: int) -> int:
    """The time of a process's start, in the system's ticks; 0: there is none, or it is a zombie."""
    try:
        fields = Path(f"/proc/{pid}/stat").read_text(errors="replace").rsplit(")", 1)[1].split()
    except (OSError, IndexError):
        return 0
    return 0 if fields[0] in ("Z", "X") else int(fields[19])


def free_admin() -> str:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


class Process:
    def __init__(self, handle: ProcessHandle, pidfd: int, child: subprocess.Popen[bytes] | None) -> None:
        self.handle, self.pidfd, self.child = handle, pidfd, child
        self.ready = False
        self.answered = 0.0  # when it last said anything, s
        self.first: dict[str, int] | None = None  # its counts when it was ready first
        self.last: dict[str, int] = {}
        self.code: int | None = None

    @classmethod
    def start(cls, version: str, folder: str, run: str, environ: Mapping[str, str], now: float) -> Process:
        """Raises OSError."""
        admin = free_admin()
        told = {**environ, "EDGE_ADMIN_ADDR": admin, "GLADEGW_VERSION": version}
        child = subprocess.Popen(
            ["/bin/sh", "-c", run], cwd=folder, env=told, stdin=subprocess.DEVNULL, start_new_session=True
        )
        made = cls(
            ProcessHandle(version, child.pid, start_ticks(child.pid), admin), os.pidfd_open(child.pid), child
        )
        made.answered = now
        return made

    @classmethod
    def attach(cls, handle: ProcessHandle, now: float) -> Process | None:
        """One that another supervisor has begun, if it is still there."""
        with contextlib.suppress(OSError):
            pidfd = os.pidfd_open(handle.pid)
            if handle.ticks and start_ticks(handle.pid) == handle.ticks:
                made = cls(handle, pidfd, None)
                made.answered = now
                return made
            os.close(pidfd)
        return None

    @property
    def alive(self) -> bool:
        if self.child is not None:
            self.code = self.child.poll()
            return self.code is None
        poll = select.poll()
        poll.register(self.pidfd, select.POLLIN)
        return not poll.poll(0)

    def signal(self, number: signal.Signals) -> None:
        with contextlib.suppress(ProcessLookupError):
            signal.pidfd_send_signal(self.pidfd, number)

    def close(self) -> None:
        os.close(self.pidfd)

    @property
    def death(self) -> str:
        if self.code is None:
            return "it ended"
        if self.code < 0:
            return f"it was ended by signal {-self.code}"
        return f"it ended with exit code {self.code}"

    async def send_command(self, call: bytes) -> None:
        """An operators' call, until it is answered or the process is gone."""
        while self.alive and not (await send_commands(self.handle.admin, call)).startswith(b"SUCCESS"):
            await asyncio.sleep(RETRY_INTERVAL_S)

    # what it says
    async def poll(self, listen: tuple[str, int] | None, now: float) -> None:
        """`listen`: the clients' address, where it is this one that answers there."""
        said = await send_commands(self.handle.admin, b"PING\n")
        ready = said.startswith(b"SUCCESS")
        if said:
            self.answered = now
        if listen is not None and ready:
            answer = await send_commands(
                "{}:{}".format(*listen), b"GET /healthz HTTP/1.1\r\nHost: x\r\n" b"Connection: close\r\n\r\n"
            )
            ready = b" 200 " in answer.partition(b"\r\n")[0]
        self.ready = ready
        told = (await send_commands(self.handle.admin, b"INFO\n")).decode("ascii", "replace")
        counts: dict[str, int] = {}
        for line in told.splitlines():
            name, _, value = line.partition("=")
            if name.startswith("app.handled.") and value.isdigit():
                end = name.rpartition(".")[2]
                counts[end] = counts.get(end, 0) + int(value)
        if counts:
            self.last = counts
            if self.first is None and ready:
                self.first = counts

    def failed(self, since_ready: bool) -> tuple[int, int]:
        """Requests that failed, and all that ended."""
        first = self.first or {} if since_ready else {}
        grown = {end: count - first.get(end, 0) for end, count in self.last.items()}
        return grown.get("bad_gateway", 0), sum(grown.values())

    def answered_by(self, since_ready: bool) -> int:
        first = self.first or {} if since_ready else {}
        return sum(self.last.get(end, 0) - first.get(end, 0) for end in ("passed", "bad_gateway"))

    def failure(
        self, before: Process | None, most_failed: float, silent: float, memory: int, now: float
    ) -> str:
        """Why it must not go on; `before`: who serves beside it, `silent`: s without an answer."""
        if now > self.answered + silent:
            return f"no answer to operators for {silent:g} s"
        used = resident_bytes(self.handle.pid)
        if before is None:
            return ""
        if used > MAX_MEMORY_FRACTION * memory > 0:
            return f"{used >> 20} of {memory >> 20} MiB are in use"
        failed, ended = self.failed(True)
        usual = before.failed(False)
        share = usual[0] / usual[1] if usual[1] else 0.0
        if ended >= MIN_ENDED_REQUESTS and failed / ended > share + most_failed:
            return f"{failed} of {ended} requests failed, {100 * share:.1f}% before it"
        return ""

    def has_too_few_requests(self, before: Process | None) -> bool:
        """Whether too few requests came to an answer here to tell how many fail, where the one before had
        enough. Those that were refused tell nothing of that."""
        asked = before is not None and before.answered_by(False) >= MIN_ENDED_REQUESTS
        return asked and self.answered_by(True) < MIN_ENDED_REQUESTS

    def status(self, bad: str = "", thin: bool = False) -> ProcessStatus:
        return (
            ProcessStatus(True, self.ready, bad, insufficient_traffic=thin)
            if self.alive
            else ProcessStatus(exit_reason=self.death)
        )


def resident_bytes(pid: int) -> int:
    """Bytes in memory; 0 where the system does not tell."""
    try:
        pages = int(Path(f"/proc/{pid}/statm").read_text(encoding="ascii").split()[1])
        return pages * os.sysconf("SC_PAGE_SIZE")
    except (OSError, IndexError, ValueError):
        return 0


async def send_commands(address: str, words: bytes) -> bytes:
    """Whatever comes until the other side closes, in PATIENCE s; empty where nothing does."""
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(COMMAND_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(words)
            return await reader.read()
    except (OSError, TimeoutError):
        return b""
    finally:
        if writer is not None:
            writer.close()
