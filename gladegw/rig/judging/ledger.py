"""Ledgers: what each party saw, as JSON lines. All times are seconds of the machine's monotonic clock.

A ledger is appended to as things end and flushed several times a second, so that a killed process loses at
most its last moments; a torn last line is passed over by readers, and counted.
"""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path

import msgspec

FLUSH = 0.2  # s between two writes of what has gathered


class Try(msgspec.Struct, tag="try", tag_field="kind", omit_defaults=True):
    """One request of a client: a first try or a retry. `how`: answer, closed, refused, timeout, unsent."""

    id: str
    first: int  # number of the arrival that it belongs to
    turn: int  # 0: the first try
    cls: str
    tenant: str
    proxy: str
    due: float  # when it was meant to be sent
    budget: float  # s
    key: str = ""
    sent: float = 0.0
    ended: float = 0.0
    how: str = "answer"
    code: int = 0
    crc: int = 0  # of the answer's body
    advice: float = 0.0  # s, from Retry-After


class Run(msgspec.Struct, tag="run", tag_field="kind", omit_defaults=True):
    """One request as a node saw it. `outcome`: ok, error, full, repeat, killed, reset, open, ended."""

    id: str
    node: str
    tier: str
    cls: str
    came: float  # first byte
    whole: float  # last byte
    key: str = ""
    began: float = 0.0  # 0: it never ran
    ended: float = 0.0
    outcome: str = "ok"
    code: int = 0
    crc: int = 0
    work: float = 0.0  # s of a yardstick core
    parent: str = ""  # the call of the tier above that it serves


class Life(msgspec.Struct, tag="life", tag_field="kind", omit_defaults=True):
    """A node's life: up, draining, down, fell, warm."""

    node: str
    tier: str
    at: float
    state: str
    cause: str = ""


class Told(msgspec.Struct, tag="told", tag_field="kind", omit_defaults=True):
    """Discovery has written to a proxy that a node has this status."""

    proxy: str
    node: str
    at: float
    status: str  # Ready, Terminating, Gone
    since_ms: int = 0


class ProxyEvent(msgspec.Struct, tag="proxy", tag_field="kind", omit_defaults=True):
    """A proxy's life: started, ready, kill, term, stop, cont, hup, limit, ended."""

    proxy: str
    at: float
    event: str
    code: int = 0


class FaultBand(msgspec.Struct, tag="fault", tag_field="kind", omit_defaults=True):
    """A fault of the script, as it was carried out."""

    name: str
    at: float
    until: float
    target: str = ""


class PeerSeen(msgspec.Struct, tag="peer", tag_field="kind", omit_defaults=True):
    """A peer that sends no proper request; owed an error or a close. `how`: answer, closed, silence."""

    manner: str
    proxy: str
    at: float
    ended: float
    how: str
    code: int = 0


class Called(msgspec.Struct, tag="called", tag_field="kind", omit_defaults=True):
    """An operators' call. `how`: the answer's first word; late, closed, refused."""

    proxy: str
    at: float
    ended: float
    how: str


class Sample(msgspec.Struct, tag="sample", tag_field="kind", omit_defaults=True):
    """What a process or node held at a moment."""

    who: str
    at: float
    inflight: int = 0
    cpu: float = 0.0  # s since the process began
    memory: float = 0.0  # MB
    descriptors: int = 0
    probes: int = 0  # that a node was asked in all


class Origin(msgspec.Struct, tag="origin", tag_field="kind", omit_defaults=True):
    """The moment from which the scenario's times count."""

    at: float
    wall: float  # Unix time of the same moment


Record = Try | Run | Life | Told | ProxyEvent | FaultBand | PeerSeen | Called | Sample | Origin

_decoder: msgspec.json.Decoder[Record] = msgspec.json.Decoder(Record)


class Ledger:
    """Appends records to one file; `flush` is called often, and at the end."""

    def __init__(self, path: Path) -> None:
        path.parent.mkdir(parents=True, exist_ok=True)
        self._file = path.open("ab", buffering=0)
        self._held: list[bytes] = []
        self._encode = msgspec.json.Encoder().encode

    def put(self, record: Record) -> None:
        self._held.append(self._encode(record))

    def flush(self) -> None:
        if self._held:
            held, self._held = self._held, []
            left = memoryview(b"\n".join(held) + b"\n")
            while left:
                left = left[self._file.write(left) or 0 :]

    def close(self) -> None:
        self.flush()
        self._file.close()


def read(path: Path) -> Iterator[Record]:
    """Raises ValueError for a line that is none, but for a torn last one."""
    with path.open("rb") as file:
        for number, line in enumerate(file, 1):
            if not line.endswith(b"\n"):
                return  # torn: its writer was killed while it wrote
            try:
                yield _decoder.decode(line)
            except msgspec.MsgspecError as fault:
                raise ValueError(f"{path}:{number}: {fault}") from None


def read_all(folder: Path) -> list[Record]:
    return [record for path in sorted(folder.glob("*.jsonl")) for record in read(path)]
