"""The command `gladegw supervise`.

It polls the processes, executes the actions that `coordination.supervision` decides on, and stores the state
that the next supervisor needs.
"""

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
from gladegw.supervisor import settings as settings_file
from gladegw.supervisor.processes import MAX_SILENCE_S, Process, ProcessHandle
from gladegw.supervisor.settings import Settings

if TYPE_CHECKING:
    from gladegw.control.member import StoreOptions
    from gladegw.control.supervisor_client import SupervisorClient

log = logging.getLogger(__name__)

POLL_INTERVAL_S = 0.1
COMMANDS = {ActionKind.DRAIN: b"LAMEDUCK\n", ActionKind.REJOIN: b"REJOIN\n"}
# In these phases the replacement is the process that listens on the clients' address.
REPLACEMENT_LISTENING_PHASES = (Phase.VERIFYING, Phase.RETAINING_PREVIOUS, Phase.STOPPING_PREVIOUS)
SETTINGS_FILE_EPOCH = -1  # stands for the settings file; the store's epochs are not negative


class State(msgspec.Struct, frozen=True):
    """The contents of the state file; field names are stored."""

    supervision: Supervision
    order: VersionOrder
    processes: dict[str, ProcessHandle]
    supervisor: int = 0  # process id


class Supervisor:
    """Runs one proxy's processes: the current one and, during a replacement, a second one."""

    def __init__(
        self, path: str, config: Config, environ: Mapping[str, str], options: StoreOptions | None
    ) -> None:
        """Read the settings file at `path` and take over the previous supervisor's processes.

        `options` are those of the store, None without one. Raises ConfigError.
        """
        self.path = path
        self.config = config
        self.environ = environ
        self.settings = settings_file.read(path)
        self.state_path = state_file(self.settings, config.name)
        self.processes: dict[Slot, Process] = {}
        self.state = Supervision(
            wanted=self.settings.version, current=self.settings.version, epoch=SETTINGS_FILE_EPOCH
        )
        self.saved_state: State | None = None
        order = self._resume()
        self.client: SupervisorClient | None = None
        if options is not None:
            from gladegw.control.supervisor_client import SupervisorClient

            self.client = SupervisorClient(options, config.name, order, self.record)
        self.stopping = asyncio.Event()
        self.command_tasks: dict[int, asyncio.Task[None]] = {}  # of the latest command, by process id

    def _resume(self) -> VersionOrder:
        """Take over the state and processes of the previous supervisor and return its version order.

        Raises ConfigError for an unreadable state file.
        """
        now = boot_time()
        try:
            stored: State = msgspec.json.decode(self.state_path.read_bytes(), type=State)
        except FileNotFoundError:
            return VersionOrder()
        except (OSError, msgspec.MsgspecError) as error:
            reason = " ".join(str(error).split())
            raise ConfigError(f"{self.state_path}:1: not a valid state file: {reason}") from None
        for slot, handle in stored.processes.items():
            process = Process.attach(handle, now)
            if process is not None:
                self.processes[Slot(slot)] = process
        self.state = replace(stored.supervision, since=now, killed=False)
        if Slot.CURRENT not in self.processes and self.state.phase is Phase.STARTING:
            self.state = replace(self.state, begun=False)
        for process in self.processes.values():
            log.warning(
                "supervise: took over version %s, process %d", process.handle.version, process.handle.pid
            )
        return replace(stored.order, heard=now)

    def _save_state(self) -> None:
        """Write the state file if the state has changed, atomically; raises OSError."""
        order = self.client.without_clock() if self.client is not None else VersionOrder()
        processes = {slot.value: process.handle for slot, process in self.processes.items()}
        state = State(replace(self.state, since=0.0), order, processes, os.getpid())
        if state != self.saved_state:
            part = self.state_path.with_suffix(".part")
            part.write_bytes(msgspec.json.encode(state))
            part.replace(self.state_path)
            self.saved_state = state

    def record(self) -> SupervisorRecord:
        """Return the supervisor's record for the store."""
        state = self.state
        replaced = state.phase is Phase.RETAINING_PREVIOUS
        order = self.client.order if self.client is not None else VersionOrder()
        return SupervisorRecord(
            name=self.config.name,
            version=state.coming if replaced else state.current,
            state=state.phase.value,
            coming=state.coming,
            wanted=state.wanted,
            refused=tuple(sorted(state.refused)),
            reason=state.reason,
            restarts=state.restarts,
            epoch=order.epoch,
            alone=order.alone,
        )

    async def run(self) -> None:
        """Supervise until SIGTERM or SIGINT, then stop all processes; SIGHUP reloads the settings."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.stopping.set)
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        tasks = [asyncio.create_task(self._poll_processes())]
        if self.client is not None:
            coroutines = self.client.watch(), self.client.publish()
            tasks += [asyncio.create_task(coroutine) for coroutine in coroutines]
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
        await self._stop_processes()

    def reload(self) -> None:
        """Read the settings file again; an invalid file is logged and changes nothing."""
        try:
            self.settings = settings_file.read(self.path)
        except ConfigError as error:
            log.error("supervise: %s", error)

    def step(self) -> None:
        """Advance the supervision by one step, execute its actions and store the state."""
        now = boot_time()
        before = self.state
        self._request_version(now)
        current, other = (self._status(slot, now) for slot in Slot)
        self.state, actions = step(self.state, current, other, now, self.settings.timeouts)
        for slot, status in ((Slot.CURRENT, current), (Slot.OTHER, other)):
            if not status.alive and slot in self.processes:
                self.processes.pop(slot).close()
        self._execute(actions, now)
        if (before.phase, before.reason) != (self.state.phase, self.state.reason):
            self._log_state()
        self._save_state()

    def _request_version(self, now: float) -> None:
        """Request the version that the store orders, or without an order the one in the settings file."""
        wanted, epoch, retain_previous = self.settings.version, SETTINGS_FILE_EPOCH, False
        if self.client is not None:
            order = self.client.order = revert_unconfirmed(self.client.order, now)
            if order.epoch >= 0:
                wanted, epoch = order.wanted, 2 * order.epoch + order.alone
                retain_previous = bool(order.base) and not order.alone
        self.state = request_version(self.state, wanted, epoch, retain_previous)
        if wanted not in self.settings.programs and wanted not in self.state.refused:
            reason = f"{wanted}: no program block for that version in {self.path}"
            self.state = replace(self.state, refused=self.state.refused | {wanted}, reason=reason)

    def _log_state(self) -> None:
        """Log the phase, the versions and the reason."""
        state = self.state
        coming = f", replacement version {state.coming}" if state.coming else ""
        reason = f": {state.reason}" if state.reason else ""
        log.warning("supervise: %s, version %s%s%s", state.phase.value, state.current, coming, reason)

    def _status(self, slot: Slot, now: float) -> ProcessStatus:
        """Return the status of the process in a slot."""
        process = self.processes.get(slot)
        if process is None:
            return NOT_RUNNING
        previous = self.processes.get(Slot.CURRENT) if slot is Slot.OTHER else None
        silence_timeout = self.settings.hang_s if slot is Slot.CURRENT else MAX_SILENCE_S
        starting = self.state.phase in (Phase.STARTING, Phase.STARTING_REPLACEMENT)
        failure = ""
        if not starting:
            failure = process.failure(
                previous, self.settings.most_failed, silence_timeout, self.config.memory, now
            )
        return process.status(failure, process.has_too_few_requests(previous))

    def _execute(self, actions: Actions, now: float) -> None:
        """Execute the actions of a step."""
        for kind, slot in actions:
            if kind is ActionKind.START:
                self._start(slot, now)
            elif kind is ActionKind.PROMOTE:
                self.processes[Slot.CURRENT] = self.processes.pop(Slot.OTHER)
            elif slot in self.processes and kind in (ActionKind.DRAIN, ActionKind.REJOIN):
                self._send_command(self.processes[slot], COMMANDS[kind])
            elif slot in self.processes:
                self.processes[slot].signal(
                    signal.SIGTERM if kind is ActionKind.TERMINATE else signal.SIGKILL
                )

    def _send_command(self, process: Process, command: bytes) -> None:
        """Send a command in the background and cancel an earlier one that is still being retried."""
        earlier = self.command_tasks.pop(process.handle.pid, None)
        if earlier is not None:  # its retries could undo this command
            earlier.cancel()
        self.command_tasks[process.handle.pid] = asyncio.create_task(process.send_command(command))

    def _start(self, slot: Slot, now: float) -> None:
        """Start the process of a slot; a failure is logged and leaves the slot empty."""
        version = self.state.current if slot is Slot.CURRENT else self.state.coming
        program = self.settings.programs.get(version)
        try:
            if program is None:
                raise OSError(f"no program block for that version in {self.path}")
            process = Process.start(version, program.dir, program.run, self.environ, now)
        except OSError as error:  # the empty slot counts as a process that exited at startup
            log.error("supervise: cannot start version %s: %s", version, error)
            return
        self.processes[slot] = process
        log.warning("supervise: started version %s, process %d", version, process.handle.pid)

    async def _poll_processes(self) -> None:
        """Poll all processes, and the newest one on the clients' address too if only it listens there."""
        while True:
            newest = Slot.OTHER if self.state.phase in REPLACEMENT_LISTENING_PHASES else Slot.CURRENT
            exclusive = self.state.phase in (*REPLACEMENT_LISTENING_PHASES, Phase.STEADY, Phase.STARTING)
            await asyncio.gather(
                *(
                    process.poll(self.config.listen if exclusive and slot is newest else None, boot_time())
                    for slot, process in list(self.processes.items())
                )
            )
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _stop_processes(self) -> None:
        """Stop all processes and remove the state file.

        This happens at an orderly stop only: a supervisor that crashes leaves its processes to the next one.
        """
        for process in self.processes.values():
            process.signal(signal.SIGTERM)
        deadline = boot_time() + self.settings.drain_s
        while any(process.alive for process in self.processes.values()) and boot_time() < deadline:
            await asyncio.sleep(POLL_INTERVAL_S / 2)
        for process in self.processes.values():
            if process.alive:
                process.signal(signal.SIGKILL)
            process.close()
        self.state_path.unlink(missing_ok=True)


@contextlib.contextmanager
def exclusive_lock(path: Path) -> Any:
    """Hold the lock of a state file; raises ConfigError if another supervisor holds it."""
    with contextlib.ExitStack() as stack:
        try:
            lock = stack.enter_context(open(f"{path}.lock", "a", encoding="ascii"))
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            raise ConfigError(f"{path}: in use by another supervisor") from None
        except OSError as error:
            raise ConfigError(f"{path}: {error.strerror or error}") from None
        yield


def state_file(settings: Settings, name: str) -> Path:
    """Return the path of the state file of the proxy called `name`."""
    return Path(settings.state or f"{tempfile.gettempdir()}/gladegw-supervise-{name}.json")


def supervise(path: str, config: Config, options: StoreOptions | None) -> None:
    """Run a supervisor with the settings file `path` until SIGTERM; raises ConfigError."""
    environ = {key: value for key, value in os.environ.items() if key != "EDGE_ADMIN_ADDR"}

    async def run() -> None:
        await Supervisor(path, config, environ, options).run()

    with exclusive_lock(state_file(settings_file.read(path), config.name)):
        asyncio.run(run())
