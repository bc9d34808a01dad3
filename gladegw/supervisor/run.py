"""`gladegw supervise`: looks at the processes, asks the table, does what it says, and keeps what the next
supervisor needs."""

from __future__ import annotations

import asyncio
import contextlib
import fcntl
import logging
import os
import signal
import tempfile
from collections.abc import Mapping
from dataclasses import replace
from pathlib import Path
from typing import TYPE_CHECKING, Any

import msgspec

from gladegw.control.clock import boot
from gladegw.coordination.records import SupervisorRecord
from gladegw.coordination.supervision import (
    NOT_RUNNING,
    ActionKind,
    Actions,
    Phase,
    ProcessStatus,
    Slot,
    Supervision,
    VersionOrder,
    request_version,
    revert_unconfirmed,
    step,
)
from gladegw.net.config import Config, ConfigError
from gladegw.supervisor import settings as file_of
from gladegw.supervisor.processes import SILENT, Kept, Process
from gladegw.supervisor.settings import Settings

if TYPE_CHECKING:
    from gladegw.control.member import Options
    from gladegw.control.supervisor_client import Companion

log = logging.getLogger(__name__)

TICK = 0.1  # s
CALLS = {ActionKind.DRAIN: b"LAMEDUCK\n", ActionKind.REJOIN: b"REJOIN\n"}
SERVES_OTHER = (
    Phase.VERIFYING,
    Phase.RETAINING_PREVIOUS,
    Phase.STOPPING_PREVIOUS,
)  # the newest has the clients' address
BY_FILE = -1  # the epoch of what the supervisor's own file asks for


class State(msgspec.Struct, frozen=True):
    """The state file."""

    supervision: Supervision
    order: VersionOrder
    processes: dict[str, Kept]
    supervisor: int = 0  # its process


class Supervisor:
    def __init__(
        self, path: str, config: Config, environ: Mapping[str, str], options: Options | None
    ) -> None:
        self.path, self.config, self.environ = path, config, environ
        self.settings = file_of.read(path)
        self.file = state_file(self.settings, config.name)
        self.processes: dict[Slot, Process] = {}
        self.state = Supervision(wanted=self.settings.version, current=self.settings.version, epoch=BY_FILE)
        self.kept: State | None = None
        order = self._resumed()
        self.companion: Companion | None = None
        if options is not None:
            from gladegw.control.supervisor_client import Companion

            self.companion = Companion(options, config.name, order, self.record)
        self.ending = asyncio.Event()
        self.calls: dict[int, asyncio.Task[None]] = {}  # the last one to each process, by its number

    # from one supervisor to the next
    def _resumed(self) -> VersionOrder:
        """Processes that another supervisor has left are taken over as they are."""
        now = boot()
        try:
            kept: State = msgspec.json.decode(self.file.read_bytes(), type=State)
        except FileNotFoundError:
            return VersionOrder()
        except (OSError, msgspec.MsgspecError) as fault:
            raise ConfigError(f"{self.file}:1: not a state file: {' '.join(str(fault).split())}") from None
        for slot, one in kept.processes.items():
            process = Process.found(one, now)
            if process is not None:
                self.processes[Slot(slot)] = process
        self.state = replace(kept.supervision, since=now, killed=False)
        if Slot.CURRENT not in self.processes and self.state.phase is Phase.STARTING:
            self.state = replace(self.state, begun=False)
        for process in self.processes.values():
            log.warning("supervise: takes over %s, process %d", process.kept.version, process.kept.pid)
        return replace(kept.order, heard=now)

    def _keep(self) -> None:
        order = self.companion.without_clock() if self.companion is not None else VersionOrder()
        processes = {slot.value: process.kept for slot, process in self.processes.items()}
        now = State(replace(self.state, since=0.0), order, processes, os.getpid())
        if now != self.kept:
            part = self.file.with_suffix(".part")
            part.write_bytes(msgspec.json.encode(now))
            part.replace(self.file)
            self.kept = now

    def record(self) -> SupervisorRecord:
        state = self.state
        kept = state.phase is Phase.RETAINING_PREVIOUS
        order = self.companion.order if self.companion is not None else VersionOrder()
        return SupervisorRecord(
            name=self.config.name,
            version=state.coming if kept else state.current,
            state=state.phase.value,
            coming=state.coming,
            wanted=state.wanted,
            refused=tuple(sorted(state.refused)),
            reason=state.reason,
            restarts=state.restarts,
            epoch=order.epoch,
            alone=order.alone,
        )

    # the loop
    async def run(self) -> None:
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.ending.set)
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        tasks = [asyncio.create_task(self._watch())]
        if self.companion is not None:
            linked = self.companion.follow(), self.companion.tell()
            tasks += [asyncio.create_task(work) for work in linked]
        try:
            while not self.ending.is_set():
                self.turn()
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(TICK):
                        await self.ending.wait()
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            if self.companion is not None:
                self.companion.close()
        await self._end()

    def reload(self) -> None:
        """A file that can't be used changes nothing."""
        try:
            self.settings = file_of.read(self.path)
        except ConfigError as fault:
            log.error("supervise: %s", fault)

    def turn(self) -> None:
        now = boot()
        wanted, epoch, keep = self.settings.version, BY_FILE, False
        if self.companion is not None:
            order = self.companion.order = revert_unconfirmed(self.companion.order, now)
            if order.epoch >= 0:
                wanted, epoch = order.wanted, 2 * order.epoch + order.alone
                keep = bool(order.base) and not order.alone
        before = self.state
        self.state = request_version(self.state, wanted, epoch, keep)
        if wanted not in self.settings.programs and wanted not in self.state.refused:
            reason = f"{wanted}: no program of that version in {self.path}"
            self.state = replace(self.state, refused=self.state.refused | {wanted}, reason=reason)
        current, other = (self._seen(slot, now) for slot in Slot)
        self.state, actions = step(self.state, current, other, now, self.settings.bounds)
        for slot, seen in ((Slot.CURRENT, current), (Slot.OTHER, other)):
            if not seen.alive and slot in self.processes:
                self.processes.pop(slot).close()
        self._act(actions, now)
        if (before.phase, before.reason) != (self.state.phase, self.state.reason):
            self._say()
        self._keep()

    def _say(self) -> None:
        state = self.state
        coming = f", {state.coming} comes" if state.coming else ""
        because = f": {state.reason}" if state.reason else ""
        log.warning("supervise: %s, %s%s%s", state.phase.value, state.current, coming, because)

    def _seen(self, slot: Slot, now: float) -> ProcessStatus:
        process = self.processes.get(slot)
        if process is None:
            return NOT_RUNNING
        before = self.processes.get(Slot.CURRENT) if slot is Slot.OTHER else None
        silent = self.settings.hang_s if slot is Slot.CURRENT else SILENT
        starting = self.state.phase in (Phase.STARTING, Phase.STARTING_REPLACEMENT)
        bad = (
            ""
            if starting
            else process.bad(before, self.settings.most_failed, silent, self.config.memory, now)
        )
        return process.seen(bad, process.thin(before))

    def _act(self, actions: Actions, now: float) -> None:
        for do, slot in actions:
            if do is ActionKind.START:
                self._start(slot, now)
            elif do is ActionKind.PROMOTE:
                self.processes[Slot.CURRENT] = self.processes.pop(Slot.OTHER)
            elif slot in self.processes and do in (ActionKind.DRAIN, ActionKind.REJOIN):
                process = self.processes[slot]
                before = self.calls.pop(process.kept.pid, None)
                if before is not None:  # one that is still made again must not undo this
                    before.cancel()
                self.calls[process.kept.pid] = asyncio.create_task(process.told(CALLS[do]))
            elif slot in self.processes:
                self.processes[slot].signal(signal.SIGTERM if do is ActionKind.TERMINATE else signal.SIGKILL)

    def _start(self, slot: Slot, now: float) -> None:
        version = self.state.current if slot is Slot.CURRENT else self.state.coming
        program = self.settings.programs.get(version)
        try:
            if program is None:
                raise OSError(f"no program of that version in {self.path}")
            made = Process.start(version, program.dir, program.run, self.environ, now)
        except OSError as fault:  # it counts as one that ended at its start
            log.error("supervise: %s can't be started: %s", version, fault)
            return
        self.processes[slot] = made
        log.warning("supervise: started %s, process %d", version, made.kept.pid)

    async def _watch(self) -> None:
        """Who has the clients' address: the newest process that is ready."""
        while True:
            newest = Slot.OTHER if self.state.phase in SERVES_OTHER else Slot.CURRENT
            alone = self.state.phase in (*SERVES_OTHER, Phase.STEADY, Phase.STARTING)
            await asyncio.gather(
                *(
                    process.look(self.config.listen if alone and slot is newest else None, boot())
                    for slot, process in list(self.processes.items())
                )
            )
            await asyncio.sleep(TICK)

    async def _end(self) -> None:
        """What it began ends with it when it is told to end; a supervisor that dies leaves all as it is."""
        for process in self.processes.values():
            process.signal(signal.SIGTERM)
        until = boot() + self.settings.drain_s
        while any(process.alive for process in self.processes.values()) and boot() < until:
            await asyncio.sleep(TICK / 2)
        for process in self.processes.values():
            if process.alive:
                process.signal(signal.SIGKILL)
            process.close()
        self.file.unlink(missing_ok=True)


@contextlib.contextmanager
def alone(path: Path) -> Any:
    """One supervisor for a state file; raises ConfigError where there is another."""
    with contextlib.ExitStack() as stack:
        try:
            lock = stack.enter_context(open(f"{path}.lock", "a", encoding="ascii"))
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            raise ConfigError(f"{path}: another supervisor has it") from None
        except OSError as fault:
            raise ConfigError(f"{path}: {fault.strerror or fault}") from None
        yield


def state_file(settings: Settings, name: str) -> Path:
    return Path(settings.state or f"{tempfile.gettempdir()}/gladegw-supervise-{name}.json")


def supervise(path: str, config: Config, options: Options | None) -> None:
    """Until SIGTERM. Raises ConfigError."""
    environ = {key: value for key, value in os.environ.items() if key != "EDGE_ADMIN_ADDR"}

    async def run() -> None:
        await Supervisor(path, config, environ, options).run()

    with alone(state_file(file_of.read(path), config.name)):
        asyncio.run(run())
