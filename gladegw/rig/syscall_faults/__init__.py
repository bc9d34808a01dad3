"""System calls that fail and a wall clock that is stepped, for one process alone.

A small C library is compiled from `faults.c` and loaded into the process by LD_PRELOAD. Python alone
could not do it: the event loop makes its calls from compiled code.
"""

from __future__ import annotations

import subprocess
from collections.abc import Sequence
from pathlib import Path

from gladegw.rig.errors import RigError

SOURCE = Path(__file__).with_name("faults.c")
COMPILER = "cc"
FLAGS = ("-shared", "-fPIC", "-O1", "-Wall", "-Werror")


def build(folder: Path) -> Path:
    """The library, compiled into a folder; raises RigError with the compiler's first line."""
    library = folder / "faults.so"
    command = [
        COMPILER,
        "-shared",
        "-fPIC",
        "-O1",
        "-Wall",
        "-Werror",
        "-o",
        str(library),
        str(SOURCE),
        "-ldl",
    ]
    try:
        done = subprocess.run(command, capture_output=True, text=True, check=False)
    except OSError as fault:
        raise RigError(f"no C compiler: {fault}") from None
    if done.returncode:
        raise RigError(f"{SOURCE.name}: {(done.stderr.splitlines() or ['not compiled'])[0]}")
    return library


def environ(
    library: Path, seed: int, share: float, after: float = 0.0, steps: Sequence[tuple[float, float]] = ()
) -> dict[str, str]:
    """What a process is started with. `share`: of the calls that fail or come short, from `after` seconds of
    its life on; `steps`: at how many seconds of it the wall clock is how many seconds off."""
    return {
        "LD_PRELOAD": str(library),
        "GLADEGW_FAULTS": f"{seed}:{share:g}:{after:g}",
        "GLADEGW_CLOCK": ",".join(f"{at:g}={by:g}" for at, by in steps),
    }
