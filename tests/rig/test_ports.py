"""Two that draw ports at once never get the same, though nobody listens on them yet."""

from __future__ import annotations

import socket
import subprocess
import sys

import pytest
from support.loopback import ROOT

from gladegw.rig import ports
from gladegw.rig.errors import RigError

DRAWS = 500  # of two looks at 20,000 ports, so many each, none would coincide once in 270,000 times
DRAW = f"""
import sys
from gladegw.rig.ports import free_port, free_ports
print(*[free_port() for _ in range({DRAWS})], *[free_ports(3) for _ in range(20)], flush=True)
sys.stdin.read()
"""


def test_two_processes_never_draw_the_same_port() -> None:
    children = [
        subprocess.Popen(
            [sys.executable, "-c", DRAW], cwd=ROOT, text=True, stdin=subprocess.PIPE, stdout=subprocess.PIPE
        )
        for _ in range(2)
    ]
    drawn = []
    for child in children:
        assert child.stdout is not None
        drawn.append([int(word) for word in child.stdout.readline().split()])
    for child in children:
        child.communicate()
    assert all(len(set(one)) == DRAWS + 20 for one in drawn)
    assert not {port // ports.BLOCK for port in drawn[0]} & {port // ports.BLOCK for port in drawn[1]}


def test_a_row_is_free_and_one_that_cannot_be_had_is_said() -> None:
    own = ports.Ports()
    first = own.row(3)
    assert own.row(1) == first + 3
    with socket.socket() as other:
        other.bind((ports.HOST, first + 5))
        assert own.row(4) == first + 6  # not over the one that is taken
    assert own.row(ports.BLOCK) % ports.BLOCK == 0
    with pytest.raises(RigError):
        own.row(ports.BLOCK + 1)


def test_all_blocks_taken_is_one_line(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(ports, "FIRST", 31_000)  # which nobody else claims
    monkeypatch.setattr(ports, "BLOCKS", 2)
    own, other = ports.Ports(), ports.Ports()
    other.claim()
    other.claim()
    with pytest.raises(RigError, match="no ports are left"):
        own.row(1)
