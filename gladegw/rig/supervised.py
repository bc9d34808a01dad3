"""A proxy under its supervisor as a child of the rig, with versions that do this or that."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import shlex
import signal
import sys
import time
from collections.abc import Mapping
from pathlib import Path
from typing import Any

from gladegw.rig import process
from gladegw.rig.errors import RigError
from gladegw.rig.faulty_versions import HARMS
from gladegw.rig.judging import ledger
from gladegw.rig.proxy import LOOK, Proxy

PATIENCE = 30.0  # s


class Supervised(Proxy):
    """`versions`: what each does, one of HARMS. The process of the base class is the supervisor."""

    def __init__(
        self,
        name: str,
        config: dict[str, Any],
        folder: Path,
        book: ledger.Ledger,
        features: str,
        versions: Mapping[str, str],
        version: str,
        **bounds: float,
    ) -> None:
        super().__init__(name, config, folder, book, features)
        self.versions, self.version = dict(versions), version
        self.bounds = {"ready_s": 10.0, "prove_s": 1.0, "drain_s": 4.0, "hang_s": 3.0} | bounds
        self.file, self.state = self.folder / "supervise.hcl", self.folder / "state.json"

    def write_file(self) -> None:
        lines = [f'  version = "{self.version}"', f'  state = "{self.state}"']
        lines += [f"  {key} = {value}" for key, value in self.bounds.items()]
        blocks = ["supervise {", *lines, "}"]
        for version, harm in self.versions.items():
            if harm not in HARMS:
                raise RigError(f"no such harm: {harm}; there are {', '.join(HARMS)}")
            words = [sys.executable, "-m", "gladegw.rig.faulty_versions", harm]
            words += ["-f", str((self.root / self.features).resolve())] if self.features else []
            run = "exec " + " ".join(map(shlex.quote, words))
            blocks += [f'program "{version}" {{', f'  dir = "{self.root}"', f"  run = {json.dumps(run)}", "}"]
        self.folder.mkdir(parents=True, exist_ok=True)
        self.file.write_text("\n".join(blocks) + "\n", encoding="utf-8")

    async def start(self) -> None:
        self.write_file()
        path = self.write_config()
        environ = {key: value for key, value in os.environ.items() if not key.startswith("EDGE_")}
        environ |= {"EDGE_CONFIG": str(path), "TMPDIR": str(self.folder)}
        command = [*process.python("gladegw", "supervise"), str(self.file)]
        if self.features:
            command += ["-f", str((self.root / self.features).resolve())]
        self.wanted_end = False
        self.child = await process.start(
            *command,
            environ=environ,
            log=self.folder / "log",
            cwd=self.root,
            piped=False,
            descriptors=int(self.config["limits"]["sockets"]),
        )
        self.note("started")
        self.watching = asyncio.create_task(self._watch(self.child))

    def replace(self, version: str) -> None:
        """By hand: another version in its file, and SIGHUP."""
        self.version = version
        self.write_file()
        self.signal("hup")

    # what it has written
    def now(self) -> dict[str, Any]:
        with contextlib.suppress(OSError, ValueError):
            found: dict[str, Any] = json.loads(self.state.read_bytes())
            return found
        return {}

    def pids(self) -> dict[str, int]:
        return {slot: one["pid"] for slot, one in self.now().get("processes", {}).items()}

    async def until(self, phase: str, version: str) -> dict[str, Any]:
        """Its state once it is in this phase with this version serving; raises RigError."""
        end = time.monotonic() + PATIENCE
        while True:
            now = self.now()
            state: dict[str, Any] = now.get("supervision", {})
            mine = now.get("supervisor") == self.pid
            if mine and state.get("phase") == phase and state.get("current") == version:
                return state
            if time.monotonic() > end:
                raise RigError(f"{self.name} is not {phase} with {version} after {PATIENCE:g} s: {state}")
            await asyncio.sleep(LOOK)

    async def abandon(self) -> None:
        """The supervisor alone is killed."""
        await super().kill()

    async def kill(self) -> None:
        pids = self.pids()
        await super().kill()
        for pid in pids.values():
            with contextlib.suppress(ProcessLookupError):
                os.kill(pid, signal.SIGKILL)
