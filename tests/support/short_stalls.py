"""Runs the program with other stall limits: `python -m tests.support.short_stalls BACKEND_S CLIENT_S`."""

from __future__ import annotations

import sys

from gladegw.__main__ import main
from gladegw.net.downstream import delivery
from gladegw.net.upstream import exchange

if __name__ == "__main__":
    exchange.STREAM_STALL_S, delivery.CLIENT_STALL_S = float(sys.argv.pop(1)), float(sys.argv.pop(1))
    sys.exit(main())
