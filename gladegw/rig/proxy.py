"""The real program as a child of the rig: its configuration, its start, and what a fault does to it."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import resource
import signal
import sys
import time
from collections.abc import Sequence
from pathlib import Path
from typing import Any

from gladegw.rig import process
from gladegw.rig.errors import RigError
from gladegw.rig.judging import ledger

PATIENCE = 20.0  # s for a proxy to be ready
LOOK = 0.02  # s between two looks
SIGNALS = {"term": signal.SIGTERM, "stop": signal.SIGSTOP, "cont": signal.SIGCONT, "hup": signal.SIGHUP}


class Proxy:
    def __init__(
        self,
        name: str,
        config: dict[str, Any],
        folder: Path,
        book: ledger.Ledger,
        features: str = "",
        checkout: str = "",
        cpus: Sequence[int] = (),
        admin: str = "",
    ) -> None:
        self.harm = ""  # one of rig.bad.HARMS, in place of the program as it is
        self.admin = admin  # where operators call; none: nowhere
        self.name, self.config, self.book, self.cpus = name, config, book, cpus
        self.folder = folder / "proxies" / name
        self.features = features
        self.root = Path(checkout).resolve() if checkout else process.ROOT
        self.port = int(str(config["listen"]).rpartition(":")[2])
        self.child: asyncio.subprocess.Process | None = None
        self.wanted_end = False
        self.watching: asyncio.Task[None] | None = None

    @property
    def pid(self) -> int:
        return self.child.pid if self.child is not None and self.child.returncode is None else 0

    def note(self, event: str, code: int = 0) -> None:
        self.book.put(ledger.ProxyEvent(self.name, time.monotonic(), event, code))

    def write_config(self) -> Path:
        self.folder.mkdir(parents=True, exist_ok=True)
        path = self.folder / "config.json"
        part = path.with_suffix(".part")
        part.write_text(json.dumps(self.config), encoding="utf-8")
        part.replace(path)
        return path

    async def start(self) -> None:
        path = self.write_config()
        environ = {key: value for key, value in os.environ.items() if not key.startswith("EDGE_")}
        environ["EDGE_CONFIG"] = str(path)
        environ["TMPDIR"] = str(self.folder)
        if self.admin:
            environ["EDGE_ADMIN_ADDR"] = self.admin
        command = [sys.executable, "-m", "gladegw"]
        if self.harm:
            command = [sys.executable, "-m", "gladegw.rig.faulty_versions", self.harm]
        if self.features:
            command += ["-f", str((self.root / self.features).resolve())]
        self.wanted_end = False
        self.child = await process.start(
            *command,
            environ=environ,
            log=self.folder / "log",
            cwd=self.root,
            descriptors=int(self.config["limits"]["sockets"]),
            cpus=self.cpus,
            piped=False,
        )
        self.note("started")
        self.watching = asyncio.create_task(self._watch(self.child))

    async def _watch(self, child: asyncio.subprocess.Process) -> None:
        code = await child.wait()
        self.note("ended" if self.wanted_end else "crashed", code)

    async def ready(self) -> None:
        """Raises RigError with the program's own last line where it ends instead."""
        due = time.monotonic() + PATIENCE
        while time.monotonic() < due:
            if self.child is None or self.child.returncode is not None:
                raise RigError(f"proxy {self.name} ended at its start: {self.last_line()}")
            if await self._healthy():
                self.note("ready")
                return
            await asyncio.sleep(LOOK)
        raise RigError(f"proxy {self.name} is not ready after {PATIENCE:g} s: {self.last_line()}")

    async def _healthy(self) -> bool:
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                writer.write(b"GET /healthz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                line = await reader.readline()
                writer.close()
                return b" 200 " in line
        return False

    def last_line(self) -> str:
        try:
            return (self.folder / "log").read_text(errors="replace").strip().splitlines()[-1]
        except (OSError, IndexError):
            return "no log"

    # faults
    def signal(self, event: str) -> None:
        if self.pid:
            self.wanted_end |= event == "term"
            self.note(event)
            with contextlib.suppress(ProcessLookupError):
                os.kill(self.pid, SIGNALS[event])

    async def kill(self) -> None:
        child = self.child
        if child is not None and child.returncode is None:
            self.wanted_end = True
            self.note("kill")
            process.kill(child)
            await child.wait()

    def descriptors(self, left: int) -> None:
        """Leaves it this many descriptors more than it has open now."""
        if self.pid:
            limit = process.used(self.pid)[2] + left
            hard = resource.prlimit(self.pid, resource.RLIMIT_NOFILE)[1]
            self.note("limit", limit)
            resource.prlimit(self.pid, resource.RLIMIT_NOFILE, (min(limit, hard), hard))

    def all_descriptors(self) -> None:
        if self.pid:
            hard = resource.prlimit(self.pid, resource.RLIMIT_NOFILE)[1]
            resource.prlimit(self.pid, resource.RLIMIT_NOFILE, (hard, hard))

    async def end(self, patience: float) -> None:
        """SIGTERM, and SIGKILL where that is not enough in time; it is gone afterwards."""
        child = self.child
        if child is None:
            return
        if child.returncode is None:
            self.signal("cont")
            self.signal("term")
            try:
                async with asyncio.timeout(patience):
                    await child.wait()
            except TimeoutError:
                await self.kill()
        if self.watching is not None:
            await self.watching
