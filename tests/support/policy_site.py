"""A store, a folder and proxies whose policy changes."""

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
    return f'route "all" {{\n  prefix = "/"\n  answer {{\n    code = 404\n    body = "{word}"\n  }}\n}}\n'


class Site:
    """A store, a folder, and proxies that begin with the file `first`."""

    def __init__(
        self, at: Store, folder: Path, stack: contextlib.AsyncExitStack, cut_off: str, ttl: int
    ) -> None:
        self.at, self.folder, self.stack, self.cut_off, self.ttl = at, folder, stack, cut_off, ttl
        self.file = folder / "first.routes.hcl"
        self.file.write_text(routes("first"), encoding="utf-8")
        self.settings = folder / "site.hcl"
        self.settings.write_text(self.block(3), encoding="utf-8")

    def block(self, deadline: int, endpoints: list[str] | None = None) -> str:
        told = f'routes {{\n  file = "{self.file}"\n}}\npolicy {{\n  when_cut_off = "{self.cut_off}"\n'
        return f"{self.at.block(endpoints, ttl_s=self.ttl)}{told}  deadline_s = {deadline}\n}}\n"

    async def proxy(self, name: str, endpoints: list[str] | None = None, **changes: Any) -> Proxy:
        made = proxy({"s-1": Backend()}, features=self.block(3, endpoints), name=name, **changes)
        return await self.stack.enter_async_context(made)

    def bundle(self, word: str, text: str = "") -> str:
        file = self.folder / f"{word}.routes.hcl"
        file.write_text(text or routes(word), encoding="utf-8")
        return str(file)

    def gladegw(self, *words: str) -> tuple[int, Any]:
        told = subprocess.run(
            (sys.executable, "-m", "gladegw", "policy", *words, "-f", str(self.settings), "--json"),
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=60,
            check=False,
        )
        assert told.stdout, told.stderr
        return told.returncode, json.loads(told.stdout)

    async def tool(self, *words: str) -> tuple[int, Any]:
        return await asyncio.to_thread(self.gladegw, *words)

    async def propose(self, word: str, text: str = "") -> tuple[int, Any]:
        return await self.tool("propose", self.bundle(word, text), "--wait")

    async def status(self, wanted: Any) -> Any:
        end = time.monotonic() + PATIENCE
        while True:
            _, found = await self.tool("status")
            if wanted(found):
                return found
            assert time.monotonic() < end, found
