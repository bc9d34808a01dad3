"""A fleet of many proxies, a full store, and a store without majority for several lease times."""

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

PROXY_COUNT = 40


def test_forty_proxies_restarted_at_once_hold_each_duty_once() -> None:
    """All proxies are killed and started again at once: incarnations are new, and tokens only increase."""

    async def test() -> None:
        async with store(1) as cluster, contextlib.AsyncExitStack() as stack:
            folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
            file = folder / "with.hcl"
            file.write_text(cluster.block(), encoding="utf-8")
            running = await stack.enter_async_context(scale.proxies(PROXY_COUNT, folder, str(file)))
            await cluster.members(lambda found: len(found) == PROXY_COUNT)
            before = await cluster.duties(all_held)
            await asyncio.gather(*(node.kill() for node in running))

            async def restart(node: Proxy) -> None:
                await node.start()
                await node.ready()

            await asyncio.gather(*(restart(node) for node in running))
            after = await cluster.duties(
                lambda now: all_held(now) and all(now[name][1] > before[name][1] for name in before)
            )
            found = await cluster.members(
                lambda found: len([m for m in found if m["state"] == "ready"]) == PROXY_COUNT == len(found)
            )
            assert len({member["incarnation"] for member in found}) == PROXY_COUNT
            assert len(after) == len(ALL)
            await cluster.wait_for_digest(after["digest"][1])
            tokens = await cluster.tokens()
            assert tokens == sorted(tokens)

    run(test())


def test_a_full_store_accepts_no_claim_and_serving_continues() -> None:
    async def test() -> None:
        async with store() as cluster:
            block = cluster.block()
            async with (
                proxy({"s-1": Backend()}, features=block, name="p1") as first,
                proxy({"s-1": Backend()}, features=block, name="p2") as second,
            ):
                before = await cluster.duties(all_held)
                await cluster.order("full", size=1)
                lost, remaining = (first, second) if before["digest"][0] == "p1" else (second, first)
                lost.process.kill()
                await lost.code()
                assert await remaining.line("WARNING", "database space exceeded")
                assert await served(remaining, "1")
                # a member whose lease expires meanwhile cannot write its record again: no member may be left
                await cluster.duties(lambda now: now.get("digest", (None, 0)) == (None, 0))
                await cluster.order("full", size=1 << 30)
                after = await cluster.duties(all_held)
                assert after["digest"][1] > before["digest"][1]

    run(test())


def test_a_rejected_member_record_is_written_once_the_store_has_space() -> None:
    async def test() -> None:
        async with store() as cluster, proxy({"s-1": Backend()}, features=cluster.block(), name="p1") as node:
            await cluster.members(lambda found: [m["state"] for m in found] == ["ready"])
            await cluster.order("full", size=1)
            assert (await node.operator("LAMEDUCK")).startswith("SUCCESS")
            assert await node.line("WARNING", "the store rejected the member's record")
            await cluster.order("full", size=1 << 30)
            await cluster.members(lambda found: [m["state"] for m in found] == ["lame"])

    run(test())


@pytest.mark.parametrize("stopped", ["kill", "stop"])
def test_a_store_without_majority_suspends_all_duties_but_not_serving(stopped: str) -> None:
    async def test() -> None:
        async with store() as cluster:
            block = cluster.block()
            async with (
                proxy({"s-1": Backend()}, features=block, name="p1") as first,
                proxy({"s-1": Backend()}, features=block, name="p2") as second,
            ):
                before = await cluster.duties(all_held)
                for member in (0, 1):
                    await cluster.order(stopped, member=member)
                holder = first if before["digest"][0] == "p1" else second
                assert await holder.line("no longer holds duty digest")
                for number in range(40):
                    assert await served(first, f"a{number}") and await served(second, f"b{number}")
                for member in (0, 1):
                    await cluster.order("start" if stopped == "kill" else "go", member=member)
                after = await cluster.duties(lambda now: all_held(now) and now != before)
                assert all(after[name][1] > before[name][1] for name in before)

    run(test())
