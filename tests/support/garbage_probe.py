"""Runs the program with a thread that prints how many objects only the garbage collector could free."""

from __future__ import annotations

import gc
import sys
import threading
import time

from gladegw.__main__ import main

INTERVAL_S = 0.3


def collect_garbage() -> None:
    while True:
        time.sleep(INTERVAL_S)
        print(f"garbage={gc.collect()}", file=sys.stderr, flush=True)


if __name__ == "__main__":
    threading.Thread(target=collect_garbage, daemon=True).start()
    sys.exit(main())
