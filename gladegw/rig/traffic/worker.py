"""One worker of a load: sends its share of the arrivals at their times, whatever becomes of them.

Run as `python -m gladegw.rig.traffic.worker`: the plan comes as one line of JSON on standard input,
then a line with the moment to start at. Lines of progress and at last the tally go to standard output. It
ends by itself when the run and its patience are over, and at once when standard input ends.
"""

from __future__ import annotations

import asyncio
import gc
import itertools
import os
import resource
import sys
import time
from collections.abc import Iterator
from pathlib import Path
from urllib.parse import urlsplit

import msgspec
import uvloop

from gladegw.rig.clock import Alarm
from gladegw.rig.judging import ledger
from gladegw.rig.traffic.arrivals import Shape
from gladegw.rig.traffic.client import Exchange, Pool
from gladegw.rig.traffic.peers import Peers, Rude
from gladegw.rig.traffic.recorder import Recorder, Tally
from gladegw.rig.traffic.traces import Count, Options, read
from gladegw.rig.traffic.workload import Call, Mix, calls, recorded_calls, retry_wait, try_budget

REPORT = 1.0  # s between lines of progress
SETTLE = 0.05  # s beyond a try's budget in which its answer still counts as an answer, if a late one


class Plan(msgspec.Struct, frozen=True, kw_only=True):
    """All that a worker is told."""

    target: tuple[str, ...]  # host:port of each proxy, or one URL
    names: tuple[str, ...]  # of the proxies
    mix: Mix
    shape: Shape
    process: str = "poisson"
    seed: int = 1
    worker: int = 0
    workers: int = 1
    connections: int = 256  # to each target
    plain: bool = False  # any HTTP server: the target's own path, and no headers of the platform
    trace: str = ""
    trace_options: Options = Options()
    ledger: str = ""
    host: str = ""  # that requests name; the proxy's address, if none
    prefix: str = ""  # of call ids
    rude: tuple[Rude, ...] = ()


class Request:
    """An arrival that is under way, over all its tries."""

    __slots__ = ("call", "due", "turn")

    def __init__(self, call: Call, due: float) -> None:
        self.call, self.due, self.turn = call, due, 0


class Worker:
    def __init__(self, plan: Plan, start: float, loop: asyncio.AbstractEventLoop) -> None:
        self.plan, self.start, self.loop = plan, start, loop
        self.recorder = Recorder()
        self.book = ledger.Ledger(Path(plan.ledger)) if plan.ledger else None
        self.pools: list[Pool] = []
        self.path = "/"
        for target in plan.target:
            parts = urlsplit(target if "//" in target else "//" + target)
            self.path = (parts.path or "/") + (f"?{parts.query}" if parts.query else "")
            self.pools.append(Pool(parts.hostname or "", parts.port or 80, plan.connections))
        self.addresses = [f"{pool.host}:{pool.port}" for pool in self.pools]
        self.hosts = [plan.host or address for address in self.addresses]
        self.count = Count()
        self.stream = self._stream()
        self.next: Call | None = None
        self.open = 0
        self.over = asyncio.Event()
        self.alarm = Alarm(loop, self._fire)
        self.turn = plan.worker  # of the proxies

    def _stream(self) -> Iterator[Call]:
        plan = self.plan
        if plan.trace:
            requests = read(Path(plan.trace), plan.trace_options, self.count)
            found = recorded_calls(plan.mix, requests, plan.seed)
        else:
            found = calls(plan.mix, plan.shape, plan.process, plan.seed)
        return itertools.islice(found, plan.worker, None, plan.workers)

    # the schedule
    def begin(self) -> None:
        self._advance()
        self._report()

    def _advance(self) -> None:
        self.next = next(self.stream, None)
        if self.next is None:
            self._perhaps_over()
        else:
            self.recorder.tally.due += 1
            self.alarm.set(self.start + self.next.at)

    def _fire(self) -> None:
        while self.next is not None:
            due = self.start + self.next.at
            late = time.monotonic() - due
            if late < 0:
                self.alarm.set(due)
                return
            call = self.next
            self.recorder.fired(late)
            self.open += 1
            self._try(Request(call, due))
            self.next = next(self.stream, None)
            self.recorder.tally.due += self.next is not None
        self._perhaps_over()

    def _perhaps_over(self) -> None:
        if self.next is None and not self.open:
            self.over.set()

    # one try
    def _try(self, request: Request) -> None:
        call, plan = request.call, self.plan
        now = time.monotonic()
        due = request.due if not request.turn else now
        budget = try_budget(plan.mix, call, request.due + call.deadline - due)
        place = self.turn % len(self.pools)
        self.turn += 1
        self.recorder.tally.tries += 1
        id = f"{plan.prefix}{call.number:x}-{request.turn}"
        text = self._text(call, place, id, budget - (now - due), request.turn)

        def done(exchange: Exchange) -> None:
            self._ended(request, place, id, due, budget, exchange)

        self.pools[place].send(Exchange(text, due + budget + SETTLE, done))

    def _text(self, call: Call, place: int, id: str, budget: float, turn: int) -> bytes:
        plan = self.plan
        if plan.plain:
            return f"GET {self.path} HTTP/1.1\r\nHost: {self.hosts[place]}\r\n\r\n".encode()
        cls = plan.mix.classes[call.cls]
        target = cls.target or f"/{cls.name}/{call.number}"
        lines = [
            f"{'POST' if cls.keyed else 'GET'} {target} HTTP/1.1",
            f"Host: {self.hosts[place]}",
            f"X-Call-Id: {id}",
            f"X-Budget: {max(1, int(budget * 1e6))}u",
        ]
        if call.tenant:
            lines.append(f"X-Caller: {call.tenant}")
        if turn and plan.mix.marks:
            lines.append("X-Again: 1")
        body = b""
        if cls.keyed:
            body = b"x" * cls.body
            lines += [f"Idempotency-Key: {call.key}", f"Content-Length: {cls.body}"]
        return "\r\n".join(lines).encode() + b"\r\n\r\n" + body

    def _ended(
        self, request: Request, place: int, id: str, due: float, budget: float, exchange: Exchange
    ) -> None:
        call, mix = request.call, self.plan.mix
        code = exchange.code if exchange.how == "answer" else 0
        advice = 0.0
        text = exchange.header(b"retry-after") if code in (429, 503) else b""
        if text.replace(b".", b"", 1).isdigit():
            advice = float(text)
        cls = mix.classes[call.cls]
        if self.book is not None:
            self.book.put(
                ledger.Try(
                    id,
                    call.number,
                    request.turn,
                    cls.name,
                    call.tenant,
                    self.plan.names[place],
                    due,
                    budget,
                    call.key,
                    exchange.sent,
                    exchange.ended,
                    exchange.how,
                    code,
                    exchange.crc,
                    advice,
                )
            )
        left = request.due + call.deadline - exchange.ended
        wait = retry_wait(mix, call, request.turn, left, code, advice)
        if wait is not None:
            request.turn += 1
            self.loop.call_later(wait, self._try, request)
            return
        latency = exchange.ended - request.due
        service = exchange.ended - exchange.sent if code else None
        self.recorder.ended(
            call.at, f"{cls.name}|{call.tenant or '-'}", str(code) if code else exchange.how, latency, service
        )
        tally = self.recorder.tally
        tally.asked_worth += cls.worth
        if code == 200 and latency <= cls.aim:
            tally.worth += cls.worth
        self.open -= 1
        self._perhaps_over()

    # progress
    def _report(self) -> None:
        tally = self.recorder.tally
        told = {
            "sent": tally.sent,
            "answered": tally.answered,
            "codes": dict(self.recorder.codes),
            "open": self.open,
            "worth": tally.worth,
            "asked": tally.asked_worth,
        }
        print(msgspec.json.encode(told).decode(), flush=True)
        if self.book is not None:
            self.book.flush()
        self.loop.call_later(REPORT, self._report)

    def close(self) -> Tally:
        self.alarm.close()
        for pool in self.pools:
            pool.close()
        if self.book is not None:
            self.book.close()
        tally = self.recorder.result()
        used = resource.getrusage(resource.RUSAGE_SELF)
        tally.cpu = used.ru_utime + used.ru_stime
        tally.memory = used.ru_maxrss / 1024
        if self.plan.trace:
            tally.trace = {name: getattr(self.count, name) for name in Count.__slots__}
        return tally


async def run(plan: Plan, start: float) -> Tally:
    loop = asyncio.get_running_loop()
    worker = Worker(plan, start, loop)
    told_to_stop = asyncio.Event()

    def heard() -> None:
        if not os.read(0, 4096):
            loop.remove_reader(0)
            told_to_stop.set()

    loop.add_reader(0, heard)
    rude = Peers(plan.rude, worker.addresses, plan.names, start, worker.book)
    manners = loop.create_task(rude.run())
    gc.collect()
    gc.freeze()
    worker.begin()
    waits = [loop.create_task(worker.over.wait()), loop.create_task(told_to_stop.wait())]
    await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
    if not told_to_stop.is_set():
        await manners
    return worker.close()


def _line() -> bytes:
    """A line of standard input, read without a buffer: what follows belongs to the loop."""
    line = b""
    while not line.endswith(b"\n"):
        part = os.read(0, 1)
        if not part:
            raise SystemExit(1)
        line += part
    return line


def main() -> int:
    plan: Plan = msgspec.json.decode(_line(), type=Plan)
    print("{}", flush=True)  # it is up
    start = float(_line())
    tally = asyncio.Runner(loop_factory=uvloop.new_event_loop).run(run(plan, start))
    sys.stdout.buffer.write(b"tally " + msgspec.json.encode(tally) + b"\n")
    sys.stdout.buffer.flush()
    return 0


if __name__ == "__main__":
    sys.exit(main())
