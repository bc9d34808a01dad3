"""A duty's holder that is killed at a step of its begin or its hand-over, one told to end twice, and one that
has more to serve than it can."""

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

STEPS = ("claim on its way", "claim unanswered", "begun", "hand-over unsent", "hand-over unanswered")


@pytest.mark.parametrize("step", STEPS)
def test_a_holder_killed_at_a_step_leaves_its_duties_to_the_next(step: str) -> None:
    """A claim that the store carries out once its sender is dead stands under a lease that nobody renews; a
    hand-over that comes late is that of a key which is another's by then."""

    async def test() -> None:
        keys = Keys(PREFIX)
        async with contextlib.AsyncExitStack() as stack:
            at = await stack.enter_async_context(store(1))
            link = await stack.enter_async_context(Link(at.endpoints[0]))
            foreign, _ = await at.client.grant(60)  # somebody holds them all, so nobody claims yet
            record = encode(DutyHolderRecord(holder="p0", incarnation="0"))
            await at.client.do(*(Put(keys.duty(work.name), record, foreign) for work in ALL))
            first = await stack.enter_async_context(
                proxy({"s-1": Backend()}, features=at.block([link.address]), name="p1")
            )
            second = await stack.enter_async_context(
                proxy({"s-1": Backend()}, features=at.block(), name="p2")
            )
            await at.members(lambda found: [m["state"] for m in found] == ["ready", "ready"])
            assert (await second.operator("LAMEDUCK")).startswith("SUCCESS")
            await at.members(lambda found: [m["state"] for m in found] == ["ready", "lame"])
            before = await at.duties(held_by("p0"))
            if step == "claim on its way":  # taken by the store, and done once its sender is dead
                await at.order("slow", size=0.4)
            elif step == "claim unanswered":
                await at.order("unanswered", size=50)
            await at.client.revoke(foreign)
            if step == "claim on its way":
                calls = int((await at.order("calls")).split()[1])
                while int((await at.order("calls")).split()[1]) < calls + len(ALL):
                    pass
            elif step == "claim unanswered":  # the store has it, and nobody has been told that
                await at.duties(held_by("p1"))
            else:
                assert await first.line("coordination: holds duty digest, token")
            if step.startswith("hand-over"):
                held = await at.duties(held_by("p1"))
                (link.there if step == "hand-over unsent" else link.back).hold()
                first.process.send_signal(signal.SIGTERM)
                if step == "hand-over unsent":
                    assert await first.line("no longer holds duty digest")
                else:
                    await at.duties(lambda now: all(holder != "p1" for holder, _ in now.values()))
                assert first.process.returncode is None
                before = held
            first.process.kill()
            await first.code()
            await at.order("slow", size=0)
            await at.order("unanswered", size=0)
            link.heal()
            assert (await second.operator("REJOIN")).startswith("SUCCESS")
            after = await at.duties(held_by("p2"))
            assert all(after[name][1] > before[name][1] for name in before)
            await at.digested(after["digest"][1])
            tokens = await at.tokens()
            assert tokens == sorted(tokens)

    run(test())


@pytest.mark.parametrize("first_told", ["LAMEDUCK", "SIGTERM"])
def test_one_that_is_told_to_end_while_it_hands_over_ends_well(first_told: str) -> None:
    """What it gives back is on its way, held, when it is told again; the others get it all the same."""

    async def test() -> None:
        async with contextlib.AsyncExitStack() as stack:
            at = await stack.enter_async_context(store(1))
            link = await stack.enter_async_context(Link(at.endpoints[0]))
            first = await stack.enter_async_context(
                proxy({"s-1": Backend()}, features=at.block([link.address], ttl_s=10 * TTL), name="p1")
            )
            before = await at.duties(held_by("p1"))
            await stack.enter_async_context(proxy({"s-1": Backend()}, features=at.block(), name="p2"))
            await at.members(lambda found: [m["state"] for m in found] == ["ready", "ready"])
            link.there.hold()
            if first_told == "LAMEDUCK":
                assert (await first.operator("LAMEDUCK")).startswith("SUCCESS")
            else:
                first.process.send_signal(signal.SIGTERM)
            assert await first.line("no longer holds duty digest")
            first.process.send_signal(signal.SIGTERM)
            link.heal()
            assert await first.code() == 0
            began = time.monotonic()
            after = await at.duties(held_by("p2"))
            assert time.monotonic() - began < 5 * TTL  # its lease would be over later
            assert all(after[name][1] > before[name][1] for name in before)

    run(test())


def test_a_holder_with_more_to_serve_than_it_can_keeps_its_duties() -> None:
    """Its loop is busy all the time, and the agent's thread shares one interpreter with it."""

    async def test() -> None:
        async with (
            store() as at,
            proxy({"s-1": Backend()}, features=at.block(ttl_s=3 * TTL), name="p1") as node,
        ):
            before = await at.duties(held_by("p1"))

            async def ask() -> None:
                caller = await node.caller()
                while True:
                    for number in range(50):
                        caller.send("stock", f"{id(caller)}-{number}")
                    for _ in range(50):
                        await caller.answer()

            cpu, began = process.used(node.process.pid)[0], time.monotonic()
            asking = [asyncio.create_task(ask()) for _ in range(8)]
            while time.monotonic() < began + 6 * TTL:  # two leases
                assert await at.duties(lambda now: bool(now)) == before
            for task in asking:
                task.cancel()
            await asyncio.gather(*asking, return_exceptions=True)
            assert await at.duties(held_by("p1")) == before
            assert process.used(node.process.pid)[0] > cpu + 0.5 * TTL  # it was asked a lot, on any machine

    run(test())
