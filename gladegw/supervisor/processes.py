"""A proxy process as its supervisor sees it.

It is started in a session of its own, so that it outlives its supervisor, and is referred to by a pidfd,
which, unlike a process id, is never reused for another process.
"""

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

COMMAND_TIMEOUT_S = 1.0
MIN_ENDED_REQUESTS = 20  # with fewer, the fraction of failures is not significant
MAX_MEMORY_FRACTION = 0.95  # of the memory limit
RETRY_INTERVAL_S = 0.05  # between attempts of a command that has not succeeded
MAX_SILENCE_S = 3.0  # a new process without a response for this long has failed


class ProcessHandle(msgspec.Struct, frozen=True):
    """What the next supervisor needs to find a process again.

    `ticks` is its start time as of `start_ticks`, `admin` the address of its operators' listener. The field
    names are stored in the state file.
    """

    version: str
    pid: int
    ticks: int
    admin: str


def start_ticks(pid: int) -> int:
    """Return a process's start time in clock ticks; 0 if it does not exist or is a zombie."""
    try:
        fields = Path(f"/proc/{pid}/stat").read_text(errors="replace").rsplit(")", 1)[1].split()
    except (OSError, IndexError):
        return 0
    return 0 if fields[0] in ("Z", "X") else int(fields[19])


def free_admin_address() -> str:
    """Return a loopback address with a free port."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


class Process:
    """A running process, its last known health and its request counts."""

    def __init__(self, handle: ProcessHandle, pidfd: int, child: subprocess.Popen[bytes] | None) -> None:
        self.handle = handle
        self.pidfd = pidfd
        self.child = child
        self.ready = False
        self.answered_at = 0.0  # time of the last response
        self.ready_counts: dict[str, int] | None = None  # request counts at the time when it was first ready
        self.counts: dict[str, int] = {}
        self.exit_code: int | None = None

    @classmethod
    def start(cls, version: str, folder: str, run: str, environ: Mapping[str, str], now: float) -> Process:
        """Start version `version` with the shell command `run` in directory `folder`; raises OSError."""
        admin = free_admin_address()
        child_environ = {**environ, "EDGE_ADMIN_ADDR": admin, "GLADEGW_VERSION": version}
        child = subprocess.Popen(
            ["/bin/sh", "-c", run],
            cwd=folder,
            env=child_environ,
            stdin=subprocess.DEVNULL,
            start_new_session=True,
        )
        process = cls(
            ProcessHandle(version, child.pid, start_ticks(child.pid), admin), os.pidfd_open(child.pid), child
        )
        process.answered_at = now
        return process

    @classmethod
    def attach(cls, handle: ProcessHandle, now: float) -> Process | None:
        """Return the process that another supervisor has started, None if it no longer exists."""
        with contextlib.suppress(OSError):
            pidfd = os.pidfd_open(handle.pid)
            if handle.ticks and start_ticks(handle.pid) == handle.ticks:
                process = cls(handle, pidfd, None)
                process.answered_at = now
                return process
            os.close(pidfd)
        return None

    @property
    def alive(self) -> bool:
        """Whether the process has not exited."""
        if self.child is not None:
            self.exit_code = self.child.poll()
            return self.exit_code is None
        poll = select.poll()
        poll.register(self.pidfd, select.POLLIN)
        return not poll.poll(0)

    def signal(self, number: signal.Signals) -> None:
        """Send a signal; no effect on a process that has exited."""
        with contextlib.suppress(ProcessLookupError):
            signal.pidfd_send_signal(self.pidfd, number)

    def close(self) -> None:
        """Close the pidfd."""
        os.close(self.pidfd)

    @property
    def exit_reason(self) -> str:
        """How the process exited, as far as it is known."""
        if self.exit_code is None:
            return "the process exited"
        if self.exit_code < 0:
            return f"the process was killed by signal {-self.exit_code}"
        return f"the process exited with exit code {self.exit_code}"

    async def send_command(self, command: bytes) -> None:
        """Repeat an operators' command until it succeeds or the process has exited."""
        while self.alive and not (await send_and_read(self.handle.admin, command)).startswith(b"SUCCESS"):
            await asyncio.sleep(RETRY_INTERVAL_S)

    async def poll(self, listen: tuple[str, int] | None, now: float) -> None:
        """Update the process's readiness and request counts.

        `listen` is the clients' address if this process is the one that serves it, else None.
        """
        self.ready = await self._poll_ready(listen, now)
        await self._poll_counts()

    async def _poll_ready(self, listen: tuple[str, int] | None, now: float) -> bool:
        """Return whether the process responds as ready to operators and, on `listen`, to clients."""
        response = await send_and_read(self.handle.admin, b"PING\n")
        ready = response.startswith(b"SUCCESS")
        if response:
            self.answered_at = now
        if listen is not None and ready:
            health = await send_and_read(
                "{}:{}".format(*listen), b"GET /healthz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
            )
            ready = b" 200 " in health.partition(b"\r\n")[0]
        return ready

    async def _poll_counts(self) -> None:
        """Update the request counts by outcome, summed over all classes."""
        info = (await send_and_read(self.handle.admin, b"INFO\n")).decode("ascii", "replace")
        counts: dict[str, int] = {}
        for line in info.splitlines():
            name, _, value = line.partition("=")
            if name.startswith("app.handled.") and value.isdigit():
                outcome = name.rpartition(".")[2]
                counts[outcome] = counts.get(outcome, 0) + int(value)
        if counts:
            self.counts = counts
            if self.ready_counts is None and self.ready:
                self.ready_counts = counts

    def failed_and_total(self, since_ready: bool) -> tuple[int, int]:
        """Return the numbers of failed and of all ended requests, in total or since it was first ready."""
        base = self.ready_counts or {} if since_ready else {}
        increase = {outcome: count - base.get(outcome, 0) for outcome, count in self.counts.items()}
        return increase.get("bad_gateway", 0), sum(increase.values())

    def forwarded_requests(self, since_ready: bool) -> int:
        """Return the number of requests not rejected, in total or since it was first ready."""
        base = self.ready_counts or {} if since_ready else {}
        return sum(
            self.counts.get(outcome, 0) - base.get(outcome, 0) for outcome in ("passed", "bad_gateway")
        )

    def failure(
        self,
        previous: Process | None,
        max_failure_increase: float,
        silence_timeout: float,
        memory: int,
        now: float,
    ) -> str:
        """Return why the process must be stopped, empty if it is healthy.

        `previous` is the process that it replaces; without one, only its silence is checked.
        `silence_timeout` is in seconds, `memory` the limit in bytes, 0 for none.
        """
        if now > self.answered_at + silence_timeout:
            return f"no response to operators' commands for {silence_timeout:g} s"
        used = resident_bytes(self.handle.pid)
        if previous is None:
            return ""
        if used > MAX_MEMORY_FRACTION * memory > 0:
            return f"{used >> 20} of {memory >> 20} MiB of memory are in use"
        failed, ended = self.failed_and_total(True)
        previous_failed, previous_ended = previous.failed_and_total(False)
        baseline = previous_failed / previous_ended if previous_ended else 0.0
        if ended >= MIN_ENDED_REQUESTS and failed / ended > baseline + max_failure_increase:
            return f"{failed} of {ended} requests failed, {100 * baseline:.1f}% in the previous process"
        return ""

    def has_too_few_requests(self, previous: Process | None) -> bool:
        """Whether the process had too few requests to judge its failures although `previous` had enough.

        Rejected requests don't count.
        """
        comparable = previous is not None and previous.forwarded_requests(False) >= MIN_ENDED_REQUESTS
        return comparable and self.forwarded_requests(True) < MIN_ENDED_REQUESTS

    def status(self, failure: str = "", insufficient_traffic: bool = False) -> ProcessStatus:
        """Return the status for the supervision; `failure` is the reason to stop a live process."""
        if self.alive:
            return ProcessStatus(True, self.ready, failure, insufficient_traffic=insufficient_traffic)
        return ProcessStatus(exit_reason=self.exit_reason)


def resident_bytes(pid: int) -> int:
    """Return a process's resident memory in bytes; 0 if it is unknown."""
    try:
        pages = int(Path(f"/proc/{pid}/statm").read_text(encoding="ascii").split()[1])
        return pages * os.sysconf("SC_PAGE_SIZE")
    except (OSError, IndexError, ValueError):
        return 0


async def send_and_read(address: str, request: bytes) -> bytes:
    """Send `request` to `address` and return all bytes received until the peer closes.

    Empty if the connection fails or takes longer than `COMMAND_TIMEOUT_S`.
    """
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(COMMAND_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(request)
            return await reader.read()
    except (OSError, TimeoutError):
        return b""
    finally:
        if writer is not None:
            writer.close()
