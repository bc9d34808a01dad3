"""A member of a fleet that serves nothing: the agent alone in a process, which writes down what it holds.

Each line it prints is one moment by the machine's boot clock, so that lines of several processes can be laid
beside each other: `begin` and `end` of a duty with its token, and the bound that held at that moment. An
effect is told once it is answered, with the moment before it was asked whether it may begin.
"""

from __future__ import annotations

import signal
import sys
import threading
from collections.abc import Callable

import msgspec

from gladegw.control import leader_election as keepers
from gladegw.control import member as agents
from gladegw.control.clock import boot_time
from gladegw.control.duties.base import DutyContext, DutyWork, NotHolderError
from gladegw.control.member import FleetMember, StoreOptions
from gladegw.control.store_cache import StoreCache
from gladegw.control.store_client import addresses
from gladegw.coordination import duty as duties
from gladegw.coordination.records import VERSION, MemberRecord, Record, encode
from gladegw.coordination.store import Compare, Get, Operation, Put, Txn


class Plan(msgspec.Struct, frozen=True, kw_only=True):
    """`rate`: of this member's clock against the machine's. `period`: s between two effects of a duty."""

    name: str
    endpoints: tuple[str, ...]
    prefix: str
    duties: tuple[str, ...]
    ttl: int = 1
    rate: float = 1.0
    records: int = 0  # -1: as the version before writes them, 1: as the next one may
    period: float = 0.02
    unfenced: bool = False  # a planted defect: effects go out without their token


class Line(msgspec.Struct, frozen=True, omit_defaults=True):
    """`what`: ready, begin, effect (begun), end. `until`: the own bound, by the machine's clock."""

    what: str  # also refused: begun, and not taken by the store
    at: float
    member: str = ""
    duty: str = ""
    token: int = 0
    until: float = 0.0


def speak(version: int) -> None:
    """From here on this process writes records of a version before or after this program's: without the
    fields that may be missing, or with one that is not known here."""

    def encoded(record: Record, over: bytes = b"") -> bytes:
        made = msgspec.json.decode(encode(record, over))
        made["v"] = VERSION + version
        if version > 0:
            return msgspec.json.encode(made | {"of_next_version": [version]})
        needed = {field.encode_name for field in msgspec.structs.fields(record) if field.required}
        needed |= {"v", "can", "state"}
        return msgspec.json.encode({name: value for name, value in made.items() if name in needed})

    for module in (agents, keepers):
        setattr(module, "encode", encoded)  # noqa: B010


def unfenced(key: bytes, token: int, *effects: Operation, compares: tuple[Compare, ...] = ()) -> Txn:
    return Txn(compares, effects, (Get(key),))


def _work(duty: str, plan: Plan, note: Callable[[Line], None], bound: Callable[[], float]) -> type[DutyWork]:
    class Counted(DutyWork):
        """Writes its token again and again, so that the store's history tells who acted when."""

        name = duty
        period = plan.period

        async def step(self, holding: DutyContext) -> None:
            view: StoreCache = holding.cache
            line = Line("effect", boot_time(), plan.name, duty, holding.token, bound())
            try:
                await holding.effect(Put(view.keys.fleet_record(duty), str(line.token).encode()))
            except NotHolderError as fault:
                if fault.started:
                    note(msgspec.structs.replace(line, what="refused"))
                raise
            note(line)

    return Counted


def main() -> int:
    plan: Plan = msgspec.json.decode(sys.stdin.buffer.readline(), type=Plan)
    if plan.records:
        speak(plan.records)
    if plan.unfenced:
        duties.fenced = unfenced
    lock = threading.Lock()

    def note(line: Line) -> None:
        with lock:
            sys.stdout.buffer.write(msgspec.json.encode(line) + b"\n")
            sys.stdout.flush()

    def bound() -> float:
        return agent.lease.until / plan.rate if agent.lease.id else 0.0  # no lease: long ago

    def told(duty: str, token: int, begun: bool) -> None:
        note(Line("begin" if begun else "end", boot_time(), plan.name, duty, token, bound()))

    options = StoreOptions(addresses(plan.endpoints), plan.prefix, plan.ttl, timeout=0.5)
    works = [_work(duty, plan, note, bound) for duty in plan.duties]
    member = MemberRecord(name=plan.name, incarnation="", state="ready")
    agent = FleetMember(options, member, works, clock=lambda: boot_time() * plan.rate, on_duty_change=told)
    agent.start()
    stop = threading.Event()
    signal.signal(signal.SIGTERM, lambda *_: stop.set())
    while not stop.wait(0.01):
        if agent.may_claim:
            note(Line("ready", boot_time(), plan.name))
            break
    stop.wait()
    agent.shut_down()
    return 0


if __name__ == "__main__":
    sys.exit(main())
