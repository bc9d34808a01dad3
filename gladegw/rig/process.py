"""Children of the rig: started so that none outlives it, watched for what they use, ended for certain."""

from __future__ import annotations

import asyncio
import contextlib
import ctypes
import os
import resource
import signal
import sys
from collections.abc import Mapping, Sequence
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
PR_SET_PDEATHSIG = 1
TICK = os.sysconf("SC_CLK_TCK")
PAGE = os.sysconf("SC_PAGE_SIZE")
GRACE = 2.0  # s after the end of standard input, or SIGTERM, before SIGKILL
LINE = 64 << 20  # bytes of a child's line

_libc = ctypes.CDLL(None, use_errno=True)


def _with_parent(descriptors: int | None, cpus: Sequence[int]) -> None:
    """In the child, before it becomes another program: it dies with its parent, and has no more descriptors
    than the platform would give it."""
    _libc.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)
    if descriptors is not None:
        resource.setrlimit(resource.RLIMIT_NOFILE, (descriptors, descriptors))
    if cpus:
        os.sched_setaffinity(0, cpus)


async def start(
    *command: str,
    environ: Mapping[str, str] | None = None,
    log: Path | None = None,
    cwd: Path = ROOT,
    descriptors: int | None = None,
    cpus: Sequence[int] = (),
    piped: bool = True,
) -> asyncio.subprocess.Process:
    """A child in a process group of its own, so that Ctrl-C reaches the rig alone."""
    pipe = asyncio.subprocess.PIPE if piped else asyncio.subprocess.DEVNULL
    with contextlib.ExitStack() as stack:
        stderr = stack.enter_context(log.open("ab")) if log is not None else None
        return await asyncio.create_subprocess_exec(
            *command,
            cwd=cwd,
            env=dict(os.environ if environ is None else environ),
            stdin=pipe,
            stdout=pipe,
            stderr=stderr,
            limit=LINE,
            process_group=0,
            preexec_fn=lambda: _with_parent(descriptors, cpus),
        )


def python(module: str, *arguments: str) -> tuple[str, ...]:
    return (sys.executable, "-m", module, *arguments)


async def end(process: asyncio.subprocess.Process, patience: float = GRACE) -> int:
    """Ends its input, waits, and kills: whatever it does, it is gone afterwards."""
    if process.returncode is None:
        if process.stdin is not None:
            process.stdin.close()
        try:
            async with asyncio.timeout(patience):
                await process.wait()
        except TimeoutError:
            kill(process)
            await process.wait()
        except BaseException:
            kill(process)
            raise
    return process.returncode or 0


def kill(process: asyncio.subprocess.Process) -> None:
    with contextlib.suppress(ProcessLookupError):
        process.kill()


def used(pid: int) -> tuple[float, float, int]:
    """CPU seconds, resident megabytes and descriptors of a process; zeros once it is gone."""
    try:
        fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
        cpu = (int(fields[11]) + int(fields[12])) / TICK
        memory = int(fields[21]) * PAGE / 1e6
        return cpu, memory, len(os.listdir(f"/proc/{pid}/fd"))
    except (OSError, IndexError, ValueError):
        return 0.0, 0.0, 0
