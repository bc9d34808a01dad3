"""The address of one member of the stand-in store, as a process that can be killed and stopped like any: it
passes on what its callers send, and says on standard output that it is alive."""

from __future__ import annotations

import asyncio
import contextlib
import sys

from gladegw.rig.faults.links import Link

BEAT = 0.05  # s


async def face(port: int, target: str) -> None:
    async with Link(target, port):
        while True:
            sys.stdout.write("alive\n")
            sys.stdout.flush()
            await asyncio.sleep(BEAT)


def main() -> int:
    port, target = sys.argv[1:]
    with contextlib.suppress(KeyboardInterrupt, BrokenPipeError):
        asyncio.run(face(int(port), target))
    return 0


if __name__ == "__main__":
    sys.exit(main())
