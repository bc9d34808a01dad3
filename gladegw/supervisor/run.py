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

from gladegw.control.clock import boot_time
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
from gladegw.supervisor.processes import MAX_SILENCE_S, Process, ProcessHandle
from gladegw.supervisor.settings import Settings

if TYPE_CHECKING:
    from gladegw.control.member import StoreOptions
    from gladegw.control.supervisor_client import SupervisorClient

log = logging.getLogger(__name__)

POLL_INTERVAL_S = 0.1  # s
COMMANDS = {ActionKind.DRAIN: b"LAMEDUCK\n", ActionKind.REJOIN: b"REJOIN\n"}
REPLACEMENT_SERVES = (
    Phase.VERIFYING,
    Phase.RETAINING_PREVIOUS,
    Phase.STOPPING_PREVIOUS,
)  # the newest has the clients' address
EPOCH_OF_FILE = -1  # the epoch of what the supervisor's own file asks for


class State(msgspec.Struct, frozen=True):
    """The state file."""

    supervision: Supervision
    order: VersionOrder
    processes: dict[str, ProcessHandle]
    supervisor: int = 0  # its process


class Supervisor:
    def __init__(
        self, path: str, config: Config, environ: Mapping[str, str], options: StoreOptions | None
    ) -> None:
        self.path, self.config, self.environ = path, config, environ
        self.settings = file_of.read(path)
        self.file = state_file(self.settings, config.name)
        self.processes: dict[Slot, Process] = {}
        self.state = Supervision(
            wanted=self.settings.version, current=self.settings.version, epoch=EPOCH_OF_FILE
        )
        self.saved_state: State | None = None
        order = self._resume()
        self.client: SupervisorClient | None = None
        if options is not None:
            from gladegw.control.supervisor_client import SupervisorClient

            self.client = SupervisorClient(options, config.name, order, self.record)
        self.stopping = asyncio.Event()
        self.calls: dict[int, asyncio.Task[None]] = {}  # the last one to each process, by its number

    # from one supervisor to the next
    def _resume(self) -> VersionOrder:
        """Processes that another supervisor has left are taken over as they are."""
        now = boot_time()
        try:
            kept: State = msgspec.json.decode(self.file.read_bytes(), type=State)
        except FileNotFoundError:
            return VersionOrder()
        except (OSError, msgspec.MsgspecError) as fault:
            raise ConfigError(f"{self.file}:1: not a state file: {' '.join(str(fault).split())}") from None
        for slot, one in kept.processes.items():
            process = Process.attach(one, now)
            if process is not None:
                self.processes[Slot(slot)] = process
        self.state = replace(kept.supervision, since=now, killed=False)
        if Slot.CURRENT not in self.processes and self.state.phase is Phase.STARTING:
            self.state = replace(self.state, begun=False)
        for process in self.processes.values():
            log.warning("supervise: takes over %s, process %d", process.handle.version, process.handle.pid)
        return replace(kept.order, heard=now)

    def _save_state(self) -> None:
        order = self.client.without_clock() if self.client is not None else VersionOrder()
        processes = {slot.value: process.handle for slot, process in self.processes.items()}
        now = State(replace(self.state, since=0.0), order, processes, os.getpid())
        if now != self.saved_state:
            part = self.file.with_suffix(".part")
            part.write_bytes(msgspec.json.encode(now))
            part.replace(self.file)
            self.saved_state = now

    def record(self) -> SupervisorRecord:
        state = self.state
        kept = state.phase is Phase.RETAINING_PREVIOUS
        order = self.client.order if self.client is not None else VersionOrder()
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
            loop.add_signal_handler(number, self.stopping.set)
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        tasks = [asyncio.create_task(self._watch())]
        if self.client is not None:
            linked = self.client.watch(), self.client.publish()
            tasks += [asyncio.create_task(work) for work in linked]
        try:
            while not self.stopping.is_set():
                self.step()
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(POLL_INTERVAL_S):
                        await self.stopping.wait()
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            if self.client is not None:
                self.client.close()
        await self._end()

    def reload(self) -> None:
        """A file that can't be used changes nothing."""
        try:
            self.settings = file_of.read(self.path)
        except ConfigError as fault:
            log.error("supervise: %s", fault)

    def step(self) -> None:
        now = boot_time()
        wanted, epoch, keep = self.settings.version, EPOCH_OF_FILE, False
        if self.client is not None:
            order = self.client.order = revert_unconfirmed(self.client.order, now)
            if order.epoch >= 0:
                wanted, epoch = order.wanted, 2 * order.epoch + order.alone
                keep = bool(order.base) and not order.alone
        before = self.state
        self.state = request_version(self.state, wanted, epoch, keep)
        if wanted not in self.settings.programs and wanted not in self.state.refused:
            reason = f"{wanted}: no program of that version in {self.path}"
            self.state = replace(self.state, refused=self.state.refused | {wanted}, reason=reason)
        current, other = (self._status(slot, now) for slot in Slot)
        self.state, actions = step(self.state, current, other, now, self.settings.timeouts)
        for slot, seen in ((Slot.CURRENT, current), (Slot.OTHER, other)):
            if not seen.alive and slot in self.processes:
                self.processes.pop(slot).close()
        self._act(actions, now)
        if (before.phase, before.reason) != (self.state.phase, self.state.reason):
            self._log_state()
        self._save_state()

    def _log_state(self) -> None:
        state = self.state
        coming = f", {state.coming} comes" if state.coming else ""
        because = f": {state.reason}" if state.reason else ""
        log.warning("supervise: %s, %s%s%s", state.phase.value, state.current, coming, because)

    def _status(self, slot: Slot, now: float) -> ProcessStatus:
        process = self.processes.get(slot)
        if process is None:
            return NOT_RUNNING
        before = self.processes.get(Slot.CURRENT) if slot is Slot.OTHER else None
        silent = self.settings.hang_s if slot is Slot.CURRENT else MAX_SILENCE_S
        starting = self.state.phase in (Phase.STARTING, Phase.STARTING_REPLACEMENT)
        bad = (
            ""
            if starting
            else process.failure(before, self.settings.most_failed, silent, self.config.memory, now)
        )
        return process.status(bad, process.has_too_few_requests(before))

    def _act(self, actions: Actions, now: float) -> None:
        for do, slot in actions:
            if do is ActionKind.START:
                self._start(slot, now)
            elif do is ActionKind.PROMOTE:
                self.processes[Slot.CURRENT] = self.processes.pop(Slot.OTHER)
            elif slot in self.processes and do in (ActionKind.DRAIN, ActionKind.REJOIN):
                process = self.processes[slot]
                before = self.calls.pop(process.handle.pid, None)
                if before is not None:  # one that is still made again must not undo this
                    before.cancel()
                self.calls[process.handle.pid] = asyncio.create_task(process.send_command(COMMANDS[do]))
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
        log.warning("supervise: started %s, process %d", version, made.handle.pid)

    async def _watch(self) -> None:
        """Who has the clients' address: the newest process that is ready."""
        while True:
            newest = Slot.OTHER if self.state.phase in REPLACEMENT_SERVES else Slot.CURRENT
            alone = self.state.phase in (*REPLACEMENT_SERVES, Phase.STEADY, Phase.STARTING)
            await asyncio.gather(
                *(
                    process.poll(self.config.listen if alone and slot is newest else None, boot_time())
                    for slot, process in list(self.processes.items())
                )
            )
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _end(self) -> None:
        """What it began ends with it when it is told to end; a supervisor that dies leaves all as it is."""
        for process in self.processes.values():
            process.signal(signal.SIGTERM)
        until = boot_time() + self.settings.drain_s
        while any(process.alive for process in self.processes.values()) and boot_time() < until:
            await asyncio.sleep(POLL_INTERVAL_S / 2)
        for process in self.processes.values():
            if process.alive:
                process.signal(signal.SIGKILL)
            process.close()
        self.file.unlink(missing_ok=True)


@contextlib.contextmanager
def exclusive_lock(path: Path) -> Any:
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


def supervise(path: str, config: Config, options: StoreOptions | None) -> None:
    """Until SIGTERM. Raises ConfigError."""
    environ = {key: value for key, value in os.environ.items() if key != "EDGE_ADMIN_ADDR"}

    async def run() -> None:
        await Supervisor(path, config, environ, options).run()

    with exclusive_lock(state_file(file_of.read(path), config.name)):
        asyncio.run(run())
