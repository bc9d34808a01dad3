"""A share of a core for one process, without rights: it is stopped while it is ahead of its share.

The platform gives a proxy a part of a core. SIGSTOP and SIGCONT give the same on any machine: what the
process does takes `1 / share` times as long, in pieces of a few milliseconds.
"""

from __future__ import annotations

import os
import signal
import threading
import time
from pathlib import Path
from types import TracebackType

LOOK = 0.002  # s between two looks at what the process has used
CREDIT = 0.01  # s of processor time that an idle process saves up at most


def processor_time(pid: int) -> float:
    """Seconds that all threads of a process have run; 0 once it is gone."""
    total = 0
    try:
        for task in Path(f"/proc/{pid}/task").iterdir():
            total += int((task / "schedstat").read_text().split()[0])
    except (OSError, ValueError, IndexError):
        return 0.0
    return total / 1e9


class CpuShare:
    """Holds a process to a share of a core while the `with` block lasts."""

    def __init__(self, pid: int, share: float) -> None:
        """`share`: of one core, above 0 and below 1; raises ValueError."""
        if not 0 < share < 1:
            raise ValueError(f"a share of a core is between 0 and 1, not {share:g}")
        self.pid, self.share = pid, share
        self._ending = threading.Event()
        self._held = False  # stopped from outside, whatever its share
        self._thread = threading.Thread(target=self._run, name="cpu-share", daemon=True)

    def __enter__(self) -> CpuShare:
        self._thread.start()
        return self

    def __exit__(
        self, kind: type[BaseException] | None, fault: BaseException | None, trace: TracebackType | None
    ) -> None:
        self._ending.set()
        self._thread.join()
        self._signal(signal.SIGCONT)

    def hold(self) -> None:
        """Stop the process until `release`."""
        self._held = True
        self._signal(signal.SIGSTOP)

    def release(self) -> None:
        """Let the process run on by its share."""
        self._held = False
        self._signal(signal.SIGCONT)

    def _signal(self, number: signal.Signals) -> bool:
        try:
            os.kill(self.pid, number)
        except ProcessLookupError:
            return False
        return True

    def _run(self) -> None:
        used_before, at_before = processor_time(self.pid), time.monotonic()
        credit, stopped = CREDIT, False
        while not self._ending.wait(LOOK):
            used, at = processor_time(self.pid), time.monotonic()
            credit = min(CREDIT, credit + self.share * (at - at_before) - (used - used_before))
            used_before, at_before = used, at
            ahead = credit < 0 or self._held
            if ahead != stopped:
                stopped = ahead
                if not self._signal(signal.SIGSTOP if ahead else signal.SIGCONT):
                    return
