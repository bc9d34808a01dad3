"""The test rig's store as a process, and helpers that read the state of a fleet from it."""

from __future__ import annotations

import asyncio
import contextlib
import json
import subprocess
import sys
import time
from collections.abc import AsyncIterator, Callable
from pathlib import Path
from typing import Any

import msgspec

from gladegw.control import fleet_status
from gladegw.control.errors import StoreClientError
from gladegw.control.store_client import StoreClient
from gladegw.coordination.records import FleetSummaryRecord, RecordError, decode
from gladegw.coordination.store import Get
from gladegw.rig import process
from gladegw.rig.store.launch import launch
from support.loopback import PATIENCE, ROOT, Proxy

PREFIX = "/malabar"
TTL = 1  # s
STATUS_INTERVAL_S = 0.2  # between two runs of `gladegw rollout status`, each of which starts a process


class Store:
    """The rig's store process and a client of it; `child` reads commands from its standard input."""

    def __init__(self, child: asyncio.subprocess.Process, endpoints: list[str]) -> None:
        self.child, self.endpoints = child, endpoints
        self.client = StoreClient(
            [("127.0.0.1", int(endpoint.rpartition(":")[2])) for endpoint in endpoints], 1.0
        )

    def block(self, endpoints: list[str] | None = None, **more: Any) -> str:
        """Return the coordination block of a settings file."""
        quoted = ", ".join(f'"{endpoint}"' for endpoint in endpoints or self.endpoints)
        settings = {"ttl_s": TTL, "timeout_ms": 500, **more}
        lines = [f"  {key} = {value}" for key, value in settings.items()]
        header = ["coordination {", f"  endpoints = [{quoted}]", f'  prefix = "{PREFIX}"']
        return "\n".join([*header, *lines, "}\n"])

    async def order(self, do: str, **more: Any) -> str:
        """Send a command to the store process and return its answer."""
        assert self.child.stdin is not None and self.child.stdout is not None
        self.child.stdin.write(msgspec.json.encode({"do": do, **more}) + b"\n")
        async with asyncio.timeout(PATIENCE):
            answer = (await self.child.stdout.readline()).decode()
        assert answer.startswith("ok"), answer
        return answer

    async def view(self) -> Any:
        """Read the fleet's records; a failed read is repeated."""
        async with asyncio.timeout(PATIENCE):
            while True:
                with contextlib.suppress(StoreClientError):
                    return await fleet_status.read(self.client, PREFIX)
                await asyncio.sleep(0.02)

    async def members(self, wanted: Callable[[list[dict[str, Any]]], bool]) -> list[dict[str, Any]]:
        """Return the members once they are as wanted."""
        members: list[dict[str, Any]] = await self._wait_for(fleet_status.members, wanted)
        return members

    async def duties(self, wanted: Callable[[dict[str, Any]], bool]) -> dict[str, Any]:
        """Return the holder and token of each duty once they are as wanted."""

        def holders(view: Any) -> dict[str, Any]:
            return {duty["name"]: (duty["holder"], duty["token"]) for duty in fleet_status.duties(view)}

        duties: dict[str, Any] = await self._wait_for(holders, wanted)
        return duties

    async def wait_for_digest(self, token: int) -> None:
        """Wait until the holder of the duty `digest` has written with this token or a later one."""

        def summary_token(view: Any) -> int:
            summary = view.read(view.keys.fleet_record("digest"), FleetSummaryRecord)
            return summary.token if summary is not None else 0

        await self._wait_for(summary_token, lambda newest: bool(newest >= token))

    async def _wait_for(self, extract: Callable[[Any], Any], wanted: Callable[[Any], bool]) -> Any:
        deadline = time.monotonic() + PATIENCE
        while True:
            state = extract(await self.view())
            if wanted(state):
                return state
            assert time.monotonic() < deadline, state
            await asyncio.sleep(0.01)

    async def tokens(self) -> list[int]:
        """Return the tokens of all writes of the duty `digest` that the store accepted, in their order."""
        revision, _ = await self.client.get(Get(b"x"))
        writes: list[tuple[int, int]] = []
        for read_revision in range(2, revision + 1):
            _, kvs = await self.client.get(Get(f"{PREFIX}/told/fleet/digest".encode(), b"", read_revision))
            for kv in kvs:
                with contextlib.suppress(RecordError):
                    writes.append((kv.mod_revision, decode(kv.value, FleetSummaryRecord).token))
        return [token for _, token in sorted(set(writes))]


@contextlib.asynccontextmanager
async def store(members: int = 3, *more: str) -> AsyncIterator[Store]:
    """Run the rig's store with this number of members; `more` are further command-line words."""
    child, endpoints = await launch(members, *more)
    try:
        running = Store(child, endpoints)
        yield running
        running.client.close()
    finally:
        await process.end(child)


class RolloutCommands:
    """Runs `gladegw rollout` with the settings file of a folder."""

    folder: Path
    settings: Path

    def plan_file(self, name: str, values: dict[str, Any]) -> str:
        file = self.folder / f"{name}.plan.hcl"
        lines = [f"  {key} = {json.dumps(value)}" for key, value in values.items()]
        file.write_text("rollout {\n" + "\n".join(lines) + "\n}\n", encoding="utf-8")
        return str(file)

    def _rollout(self, *words: str) -> tuple[int, Any]:
        completed = subprocess.run(
            (sys.executable, "-m", "gladegw", "rollout", *words, "-f", str(self.settings), "--json"),
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=150,
            check=False,
        )
        assert completed.stdout, completed.stderr
        return completed.returncode, json.loads(completed.stdout)

    async def rollout(self, *words: str) -> tuple[int, Any]:
        """Run a subcommand of `gladegw rollout`; return its exit code and its JSON output."""
        return await asyncio.to_thread(self._rollout, *words)

    async def until(self, wanted: Any, patience: float = 3 * PATIENCE) -> Any:
        """Return the rollout's status once it is as wanted."""
        deadline = time.monotonic() + patience
        while True:
            _, status = await self.rollout("status")
            if wanted(status):
                return status
            assert time.monotonic() < deadline, status
            await asyncio.sleep(STATUS_INTERVAL_S)


def held_by(name: str) -> Callable[[dict[str, Any]], bool]:
    """Return a predicate: whether the member holds all duties."""
    return lambda duties: bool(duties) and all(holder == name for holder, _ in duties.values())


def all_held(duties: dict[str, Any]) -> bool:
    """Whether each of the three duties has a holder."""
    return len(duties) == 3 and all(holder for holder, _ in duties.values())


def config_file(folder: Path, text: str) -> str:
    file = folder / "fleet.hcl"
    file.write_text(text, encoding="utf-8")
    return str(file)


async def served(node: Proxy, id: str) -> bool:
    """Whether the proxy answers a request with status 200."""
    caller = await node.caller()
    try:
        return (await caller.call("stock", id.rjust(16, "0"))).code == 200
    finally:
        caller.writer.close()
