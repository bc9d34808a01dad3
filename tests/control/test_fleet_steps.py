"""Holders of duties that are killed during a claim or a hand-over, asked to stop twice, or overloaded."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import time

import pytest
from support.fleet import PREFIX, TTL, held_by, store
from support.loopback import Backend, proxy, run

from gladegw.control.duties import ALL
from gladegw.control.keys import Keys
from gladegw.coordination.records import DutyHolderRecord, encode
from gladegw.coordination.store import Put
from gladegw.rig import process
from gladegw.rig.faults.links import Link

STEPS = ("claim in flight", "claim unanswered", "started", "hand-over unsent", "hand-over unanswered")


@pytest.mark.parametrize("step", STEPS)
def test_the_duties_of_a_holder_killed_at_a_step_are_taken_over(step: str) -> None:
    """A claim that the store executes after its sender has died is under a lease that nobody renews. A late
    hand-over refers to a key that another member has claimed by then."""

    async def test() -> None:
        keys = Keys(PREFIX)
        async with contextlib.AsyncExitStack() as stack:
            cluster = await stack.enter_async_context(store(1))
            link = await stack.enter_async_context(Link(cluster.endpoints[0]))
            foreign, _ = await cluster.client.grant(60)  # holds all duties, so that no proxy claims one yet
            record = encode(DutyHolderRecord(holder="p0", incarnation="0"))
            await cluster.client.do(*(Put(keys.duty(work.name), record, foreign) for work in ALL))
            first = await stack.enter_async_context(
                proxy({"s-1": Backend()}, features=cluster.block([link.address]), name="p1")
            )
            second = await stack.enter_async_context(
                proxy({"s-1": Backend()}, features=cluster.block(), name="p2")
            )
            await cluster.members(lambda found: [m["state"] for m in found] == ["ready", "ready"])
            assert (await second.operator("LAMEDUCK")).startswith("SUCCESS")
            await cluster.members(lambda found: [m["state"] for m in found] == ["ready", "lame"])
            before = await cluster.duties(held_by("p0"))
            if step == "claim in flight":  # received by the store, and executed after its sender has died
                await cluster.order("slow", size=0.4)
            elif step == "claim unanswered":
                await cluster.order("unanswered", size=50)
            await cluster.client.revoke(foreign)
            if step == "claim in flight":
                calls = int((await cluster.order("calls")).split()[1])
                while int((await cluster.order("calls")).split()[1]) < calls + len(ALL):
                    pass
            elif step == "claim unanswered":  # executed by the store, but not answered
                await cluster.duties(held_by("p1"))
            else:
                assert await first.line("coordination: holds duty digest, token")
            if step.startswith("hand-over"):
                held = await cluster.duties(held_by("p1"))
                (link.there if step == "hand-over unsent" else link.back).hold()
                first.process.send_signal(signal.SIGTERM)
                if step == "hand-over unsent":
                    assert await first.line("no longer holds duty digest")
                else:
                    await cluster.duties(lambda now: all(holder != "p1" for holder, _ in now.values()))
                assert first.process.returncode is None
                before = held
            first.process.kill()
            await first.code()
            await cluster.order("slow", size=0)
            await cluster.order("unanswered", size=0)
            link.heal()
            assert (await second.operator("REJOIN")).startswith("SUCCESS")
            after = await cluster.duties(held_by("p2"))
            assert all(after[name][1] > before[name][1] for name in before)
            await cluster.wait_for_digest(after["digest"][1])
            tokens = await cluster.tokens()
            assert tokens == sorted(tokens)

    run(test())


@pytest.mark.parametrize("first_request", ["LAMEDUCK", "SIGTERM"])
def test_a_holder_asked_to_stop_again_during_its_hand_over_exits_cleanly(first_request: str) -> None:
    """Its hand-over is held back on the link when the second request arrives; the duties still go over."""

    async def test() -> None:
        async with contextlib.AsyncExitStack() as stack:
            cluster = await stack.enter_async_context(store(1))
            link = await stack.enter_async_context(Link(cluster.endpoints[0]))
            first = await stack.enter_async_context(
                proxy({"s-1": Backend()}, features=cluster.block([link.address], ttl_s=10 * TTL), name="p1")
            )
            before = await cluster.duties(held_by("p1"))
            await stack.enter_async_context(proxy({"s-1": Backend()}, features=cluster.block(), name="p2"))
            await cluster.members(lambda found: [m["state"] for m in found] == ["ready", "ready"])
            link.there.hold()
            if first_request == "LAMEDUCK":
                assert (await first.operator("LAMEDUCK")).startswith("SUCCESS")
            else:
                first.process.send_signal(signal.SIGTERM)
            assert await first.line("no longer holds duty digest")
            first.process.send_signal(signal.SIGTERM)
            link.heal()
            assert await first.code() == 0
            began = time.monotonic()
            after = await cluster.duties(held_by("p2"))
            assert time.monotonic() - began < 5 * TTL  # before its lease would expire
            assert all(after[name][1] > before[name][1] for name in before)

    run(test())


def test_an_overloaded_holder_keeps_its_duties() -> None:
    """The serving loop is always busy, and the member's thread shares the interpreter with it."""

    async def test() -> None:
        async with (
            store() as cluster,
            proxy({"s-1": Backend()}, features=cluster.block(ttl_s=3 * TTL), name="p1") as node,
        ):
            before = await cluster.duties(held_by("p1"))

            async def send_requests() -> None:
                caller = await node.caller()
                while True:
                    for number in range(50):
                        caller.send("stock", f"{id(caller)}-{number}")
                    for _ in range(50):
                        await caller.answer()

            cpu_before, began = process.used(node.process.pid)[0], time.monotonic()
            clients = [asyncio.create_task(send_requests()) for _ in range(8)]
            while time.monotonic() < began + 6 * TTL:  # two lease times
                assert await cluster.duties(lambda now: bool(now)) == before
            for task in clients:
                task.cancel()
            await asyncio.gather(*clients, return_exceptions=True)
            assert await cluster.duties(held_by("p1")) == before
            # the proxy was under load, on any machine
            assert process.used(node.process.pid)[0] > cpu_before + 0.5 * TTL

    run(test())
