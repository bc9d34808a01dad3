"""Many proxies at once, a store that takes no more, and one that has no majority for several leases."""

from __future__ import annotations

import asyncio
import contextlib
import tempfile
from pathlib import Path

import pytest
from support.fleet import all_held, served, store
from support.loopback import Backend, proxy, run

from gladegw.control.duties import ALL
from gladegw.rig.measures import scale
from gladegw.rig.proxy import Proxy

MANY = 40


def test_forty_proxies_restarted_at_once_hold_each_duty_once() -> None:
    """Killed and started again all at once: other incarnations, later tokens, and one history of effects."""

    async def test() -> None:
        async with store(1) as at, contextlib.AsyncExitStack() as stack:
            folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
            file = folder / "with.hcl"
            file.write_text(at.block(), encoding="utf-8")
            running = await stack.enter_async_context(scale.proxies(MANY, folder, str(file)))
            await at.members(lambda found: len(found) == MANY)
            before = await at.duties(all_held)
            await asyncio.gather(*(node.kill() for node in running))

            async def again(node: Proxy) -> None:
                await node.start()
                await node.ready()

            await asyncio.gather(*(again(node) for node in running))
            after = await at.duties(
                lambda now: all_held(now) and all(now[name][1] > before[name][1] for name in before)
            )
            found = await at.members(
                lambda found: len([m for m in found if m["state"] == "ready"]) == MANY == len(found)
            )
            assert len({member["incarnation"] for member in found}) == MANY
            assert len(after) == len(ALL)
            await at.digested(after["digest"][1])
            tokens = await at.tokens()
            assert tokens == sorted(tokens)

    run(test())


def test_a_full_store_takes_no_claim_and_serving_goes_on() -> None:
    async def test() -> None:
        async with store() as at:
            block = at.block()
            async with (
                proxy({"s-1": Backend()}, features=block, name="p1") as first,
                proxy({"s-1": Backend()}, features=block, name="p2") as second,
            ):
                before = await at.duties(all_held)
                await at.order("full", size=1)
                lost, left = (first, second) if before["digest"][0] == "p1" else (second, first)
                lost.process.kill()
                await lost.code()
                assert await left.line("WARNING", "database space exceeded")
                assert await served(left, "1")
                # one whose lease ran out meanwhile can't be written down again: then nobody is known at all
                await at.duties(lambda now: now.get("digest", (None, 0)) == (None, 0))
                await at.order("full", size=1 << 30)
                after = await at.duties(all_held)
                assert after["digest"][1] > before["digest"][1]

    run(test())


def test_what_could_not_be_told_is_told_once_the_store_takes_it() -> None:
    async def test() -> None:
        async with store() as at, proxy({"s-1": Backend()}, features=at.block(), name="p1") as node:
            await at.members(lambda found: [one["state"] for one in found] == ["ready"])
            await at.order("full", size=1)
            assert (await node.operator("LAMEDUCK")).startswith("SUCCESS")
            assert await node.line("WARNING", "the store rejected the member's record")
            await at.order("full", size=1 << 30)
            await at.members(lambda found: [one["state"] for one in found] == ["lame"])

    run(test())


@pytest.mark.parametrize("stopped", ["kill", "stop"])
def test_a_store_without_majority_rests_duties_in_all_and_none_of_serving(stopped: str) -> None:
    async def test() -> None:
        async with store() as at:
            block = at.block()
            async with (
                proxy({"s-1": Backend()}, features=block, name="p1") as first,
                proxy({"s-1": Backend()}, features=block, name="p2") as second,
            ):
                before = await at.duties(all_held)
                for member in (0, 1):
                    await at.order(stopped, member=member)
                holder = first if before["digest"][0] == "p1" else second
                assert await holder.line("no longer holds duty digest")
                for number in range(40):
                    assert await served(first, f"a{number}") and await served(second, f"b{number}")
                for member in (0, 1):
                    await at.order("start" if stopped == "kill" else "go", member=member)
                after = await at.duties(lambda now: all_held(now) and now != before)
                assert all(after[name][1] > before[name][1] for name in before)

    run(test())
