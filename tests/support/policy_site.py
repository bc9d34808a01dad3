"""A set-up for tests of policies: a store, a folder with settings and bundles, and proxies."""

from __future__ import annotations

import asyncio
import contextlib
import json
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

from support.fleet import Store
from support.loopback import PATIENCE, ROOT, Backend, Proxy, proxy


def routes(word: str) -> str:
    """A route table that answers every request with 404 and `word`."""
    return f'route "all" {{\n  prefix = "/"\n  answer {{\n    code = 404\n    body = "{word}"\n  }}\n}}\n'


class Site:
    """A store, a folder, and proxies that start with the route file `first`.

    `at` is the store, `when_cut_off` that setting of the policy, `ttl` the time to live of leases in s.
    `stack` ends the proxies.
    """

    def __init__(
        self, at: Store, folder: Path, stack: contextlib.AsyncExitStack, when_cut_off: str, ttl: int
    ) -> None:
        self.at, self.folder, self.stack, self.when_cut_off, self.ttl = at, folder, stack, when_cut_off, ttl
        self.file = folder / "first.routes.hcl"
        self.file.write_text(routes("first"), encoding="utf-8")
        self.settings = folder / "site.hcl"
        self.settings.write_text(self.block(3), encoding="utf-8")

    def block(self, deadline: int, endpoints: list[str] | None = None) -> str:
        """The blocks `coordination`, `routes` and `policy` of a settings file."""
        blocks = f'routes {{\n  file = "{self.file}"\n}}\npolicy {{\n  when_cut_off = "{self.when_cut_off}"\n'
        return f"{self.at.block(endpoints, ttl_s=self.ttl)}{blocks}  deadline_s = {deadline}\n}}\n"

    async def proxy(self, name: str, endpoints: list[str] | None = None, **changes: Any) -> Proxy:
        """Start a proxy; `endpoints` replaces the addresses of the store."""
        context = proxy({"s-1": Backend()}, features=self.block(3, endpoints), name=name, **changes)
        return await self.stack.enter_async_context(context)

    def bundle(self, word: str, text: str = "") -> str:
        """Write a bundle of one route file, by default `routes(word)`, and return its path."""
        file = self.folder / f"{word}.routes.hcl"
        file.write_text(text or routes(word), encoding="utf-8")
        return str(file)

    def gladegw(self, *arguments: str) -> tuple[int, Any]:
        """Run `gladegw policy`; returns its exit code and its JSON output."""
        result = subprocess.run(
            (sys.executable, "-m", "gladegw", "policy", *arguments, "-f", str(self.settings), "--json"),
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=60,
            check=False,
        )
        assert result.stdout, result.stderr
        return result.returncode, json.loads(result.stdout)

    async def tool(self, *arguments: str) -> tuple[int, Any]:
        """Run `gladegw policy` in a thread."""
        return await asyncio.to_thread(self.gladegw, *arguments)

    async def propose(self, word: str, text: str = "") -> tuple[int, Any]:
        """Propose a bundle as the policy, and wait for the outcome."""
        return await self.tool("propose", self.bundle(word, text), "--wait")

    async def status(self, wanted: Any) -> Any:
        """Wait until the status fulfils `wanted`, and return it."""
        end = time.monotonic() + PATIENCE
        while True:
            _, status = await self.tool("status")
            if wanted(status):
                return status
            assert time.monotonic() < end, status
