"""The stand-in store's members as processes of their own, and what the model makes of their ends.

| a member's process | is to the others |
| --- | --- |
| killed | down, at once |
| silent for OVERDUE s | there; if it leads, what needs a leader waits |
| silent for SILENCE s | cut off; a leader is replaced |
| speaks again | back, as a follower |
| started again | back, with the data kept |
"""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Sequence

from gladegw.rig import process
from gladegw.rig.errors import RigError
from gladegw.rig.store.cluster import Cluster

OVERDUE = 0.2  # s, four beats
SILENCE = 0.5  # s
UP_WITHIN = 10.0  # s


class Machines:
    """`async with` starts a process for each member, at `ports`; the model serves it at its target."""

    def __init__(self, cluster: Cluster, ports: Sequence[int], targets: Sequence[str]) -> None:
        self.cluster, self.ports, self.targets = cluster, tuple(ports), tuple(targets)
        self.children: dict[int, asyncio.subprocess.Process] = {}
        self.hearing: dict[int, asyncio.Task[None]] = {}

    async def __aenter__(self) -> Machines:
        await asyncio.gather(*(self._launch(member) for member in range(len(self.ports))))
        return self

    async def __aexit__(self, *exc: object) -> None:
        for member, child in self.children.items():
            self.hearing[member].cancel()
            process.kill(child)
            await child.wait()

    async def _launch(self, member: int) -> None:
        words = process.python(
            "gladegw.rig.store.member_process", str(self.ports[member]), self.targets[member]
        )
        child = self.children[member] = await process.start(*words)
        assert child.stdout is not None
        async with asyncio.timeout(UP_WITHIN):
            if not await child.stdout.readline():
                raise RigError(f"port {self.ports[member]}: a member of the stand-in store did not start")
        self.hearing[member] = asyncio.create_task(self._hear(member, child.stdout))

    async def _hear(self, member: int, beats: asyncio.StreamReader) -> None:
        machine, cluster = self.cluster.machines[member], self.cluster
        silent = 0.0
        missed = False
        while True:
            try:
                async with asyncio.timeout(OVERDUE):
                    beat = await beats.readline()
            except TimeoutError:
                silent += OVERDUE
                machine.speaks.clear()
                if silent >= SILENCE and not missed:
                    missed = True
                    cluster.cut(member)
                continue
            machine.speaks.set()
            if not beat:
                cluster.down(member)
                if missed:
                    cluster.heal(member)  # it is down now, and comes back whole
                return
            if missed:
                cluster.heal(member)
            silent, missed = 0.0, False

    async def order(self, do: str, member: int) -> None:
        """Raises ValueError."""
        child = self.children.get(member)
        if child is None:
            raise ValueError(f"no such member: {member}")
        if do == "start":
            if child.returncode is None:
                raise ValueError(f"member {member} runs")
            await self._launch(member)
            self.cluster.up(member)
            return
        if child.returncode is not None:
            raise ValueError(f"member {member} does not run")
        child.send_signal({"kill": signal.SIGKILL, "stop": signal.SIGSTOP, "go": signal.SIGCONT}[do])
        if do == "kill":
            await child.wait()
            await self.hearing[member]
