"""Ports for the rig's children: never the same one for two processes that draw at the same time.

A port that was only looked at is free until the child listens, a second later; another process that draws it
meanwhile starts a proxy on the same address, and the kernel lets both listen, since one may replace the
other. So ports are drawn from blocks, and a block belongs to the process that holds its claim: the UDP port
of its first number, which ends with the process."""

from __future__ import annotations

import contextlib
import secrets
import socket

from gladegw.rig.errors import RigError

HOST = "127.0.0.1"
FIRST, BLOCK, BLOCKS = 10_000, 100, 200  # below 32768: the kernel gives these to nobody by itself on Linux


def unused(port: int) -> bool:
    with socket.socket() as look:
        try:
            look.bind((HOST, port))
        except OSError:
            return False
    return True


class Ports:
    """One process's blocks. Each port is given once."""

    def __init__(self) -> None:
        self.claims: list[socket.socket] = []
        self.next = self.end = 0

    def claim(self) -> None:
        start = secrets.randbelow(BLOCKS)
        for number in range(BLOCKS):
            first = FIRST + (start + number) % BLOCKS * BLOCK
            claim = socket.socket(type=socket.SOCK_DGRAM)
            with contextlib.suppress(OSError):
                claim.bind((HOST, first))
                self.claims.append(claim)
                self.next, self.end = first, first + BLOCK
                return
            claim.close()
        raise RigError(f"no ports are left: other processes hold all {BLOCKS} blocks of {BLOCK}")

    def row(self, count: int) -> int:
        """The first of so many in a row that nobody has, `BLOCK` at most. Raises RigError."""
        if not 1 <= count <= BLOCK:
            raise RigError(f"{count} ports in a row can't be had, at most {BLOCK}")
        while True:
            if self.next + count > self.end:
                self.claim()
            first = self.next
            taken = [port for port in range(first, first + count) if not unused(port)]
            self.next = taken[-1] + 1 if taken else first + count
            if not taken:
                return first


OWN = Ports()


def free_port() -> int:
    """Raises RigError."""
    return OWN.row(1)


def free_ports(count: int) -> int:
    """The first of so many in a row. Raises RigError."""
    return OWN.row(count)
