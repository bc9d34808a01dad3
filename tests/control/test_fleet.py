"""Duties among several processes of the program, while holders stall, die, hand over, and the store fails."""

from __future__ import annotations

import asyncio
import contextlib
import json
import signal
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

import pytest
from support.fleet import TTL, all_held, config_file, held_by, served, store
from support.loopback import ROOT, Backend, free_address, proxy, run

from gladegw.limits.descriptor_budget import FLEET_MEMBER_DESCRIPTORS
from gladegw.rig.faults.links import Link


def gladegw(*words: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        (sys.executable, "-m", "gladegw", *words),
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=30,
        check=False,
    )


def test_members_and_duties_are_told_as_objects(tmp_path: Path) -> None:
    async def test() -> None:
        async with store() as at:
            block = at.block()
            async with (
                proxy({"s-1": Backend()}, features=block, name="p1"),
                proxy({"s-1": Backend()}, features=block, name="p2") as second,
            ):
                await at.duties(all_held)
                await at.members(lambda found: [m["state"] for m in found] == ["ready", "ready"])
                file = config_file(tmp_path, block)
                told = await asyncio.to_thread(gladegw, "fleet", "members", "-f", file, "--json")
                found = json.loads(told.stdout)["members"]
                assert told.returncode == 0 and [m["name"] for m in found] == ["p1", "p2"]
                assert found[0].keys() == {"name", "incarnation", "version", "zone", "state", "since_s"}
                told = await asyncio.to_thread(gladegw, "fleet", "duties", "-f", file, "--json")
                duties = json.loads(told.stdout)["duties"]
                assert [duty["name"] for duty in duties] == ["compare", "digest", "sweeper"]
                assert all(duty.keys() == {"name", "holder", "token", "since_s"} for duty in duties)
                assert await served(second, "1")
                told = await asyncio.to_thread(gladegw, "fleet", "status", "-f", file)
                assert told.returncode == 0 and "2 members, missing: none" in told.stdout
                await second.operator("LAMEDUCK")
                await at.duties(held_by("p1"))
                await at.members(lambda found: [m["state"] for m in found] == ["ready", "lame"])
                second.process.kill()

                def missed(found: list[dict[str, Any]]) -> bool:
                    return bool(found[1]["state"] == "missing" and found[1]["since_s"] > 0)

                assert (await at.members(missed))[1]["name"] == "p2"

    run(test())


@pytest.mark.parametrize("how", ["kill", "term", "stop"])
def test_a_lost_holders_duties_are_taken_over(how: str) -> None:
    """Killed: once its lease is over. Told to end: handed on. Stopped for longer than its lease: it finds
    itself expired when it wakes, and the store never saw tokens go back."""

    async def test() -> None:
        async with store() as at:
            block = at.block()
            async with proxy({"s-1": Backend()}, features=block, name="p1") as first:
                before = await at.duties(held_by("p1"))
                await at.digested(before["digest"][1])
                async with proxy({"s-1": Backend()}, features=block, name="p2"):
                    await at.members(lambda found: len(found) == 2 and found[1]["state"] == "ready")
                    began = time.monotonic()
                    number = {"kill": signal.SIGKILL, "term": signal.SIGTERM, "stop": signal.SIGSTOP}[how]
                    first.process.send_signal(number)
                    after = await at.duties(held_by("p2"))
                    took = time.monotonic() - began
                    assert all(after[name][1] > before[name][1] for name in before)
                    if how == "stop":
                        first.process.send_signal(signal.SIGCONT)
                        await at.members(lambda found: len(found) == 2 and found[0]["state"] == "ready")
                        assert held_by("p2")(await at.duties(all_held))
                        assert await served(first, "7")
                    if how != "term":
                        assert took < 3 * TTL + 1.0
                    else:
                        assert await first.code() == 0
                    await at.digested(after["digest"][1])
            tokens = await at.tokens()
            assert tokens == sorted(tokens) and len(set(tokens)) > 1

    run(test())


def test_the_store_is_away_and_serving_goes_on() -> None:
    async def test() -> None:
        async with store() as at, proxy({"s-1": Backend()}, features=at.block(), name="p1") as node:
            before = await at.duties(all_held)
            for member in (0, 1):
                await at.order("down", member=member)
            end = time.monotonic() + 2.5 * TTL
            number = 0
            while time.monotonic() < end:
                number += 1
                assert await served(node, str(number))
            assert await node.line("no longer holds duty digest")
            for member in (0, 1):
                await at.order("up", member=member)
            after = await at.duties(lambda now: all_held(now) and now != before)
            assert all(after[name][1] > before[name][1] for name in before)

    run(test())


@pytest.mark.parametrize("fault", ["depose", "cut_watches", "unanswered", "compact", "slow", "cut"])
def test_a_fault_of_the_store_leaves_one_holder(fault: str) -> None:
    async def test() -> None:
        async with store() as at:
            block = at.block()
            async with (
                proxy({"s-1": Backend()}, features=block, name="p1") as first,
                proxy({"s-1": Backend()}, features=block, name="p2"),
            ):
                await at.duties(all_held)
                if fault == "compact":
                    await at.order("cut_watches")
                size = {"unanswered": 3.0, "slow": 0.3}.get(fault, 0.0)
                await at.order(fault, size=size)
                first.process.kill()
                await first.code()
                await at.duties(held_by("p2"))
                if fault == "slow":
                    await at.order("slow", size=0)
                if fault == "cut":
                    await at.order("heal", member=0)
            if fault != "compact":
                tokens = await at.tokens()
                assert tokens == sorted(tokens)

    run(test())


@pytest.mark.parametrize("way", ["there", "back", "both", "reset"])
def test_a_holder_that_is_cut_off_serves_on_and_holds_nothing(way: str) -> None:
    """What it sent, or what it was answered, comes through only once another holds its duties: a renewal
    whose answer comes after its lease ran out, claims of long ago. None of it counts."""

    async def test() -> None:
        async with contextlib.AsyncExitStack() as stack:
            at = await stack.enter_async_context(store(1))
            link = await stack.enter_async_context(Link(at.endpoints[0]))
            first = await stack.enter_async_context(
                proxy({"s-1": Backend()}, features=at.block([link.address]), name="p1")
            )
            before = await at.duties(held_by("p1"))
            await stack.enter_async_context(proxy({"s-1": Backend()}, features=at.block(), name="p2"))
            await at.members(lambda found: len(found) == 2 and found[1]["state"] == "ready")
            if way == "reset":
                for _ in range(20):
                    link.reset()
                    await asyncio.sleep(0.01)
                assert all_held(await at.duties(all_held))
            else:
                for one in (link.there, link.back):
                    if way != ("back" if one is link.there else "there"):
                        one.hold()
                after = await at.duties(held_by("p2"))
                assert all(after[name][1] > before[name][1] for name in before)
                assert await served(first, "1")
                link.heal()
                await at.members(lambda found: len(found) == 2)
                assert held_by("p2")(await at.duties(all_held))
            assert await served(first, "2")
            tokens = await at.tokens()
            assert tokens == sorted(tokens)

    run(test())


def test_the_agents_descriptors_are_reserved() -> None:
    async def test() -> None:
        async with (
            store() as at,
            proxy({"s-1": Backend()}, features="figures {\n}\n", name="p0") as alone,
            proxy({"s-1": Backend()}, features=at.block(), name="p1") as node,
        ):
            await at.duties(held_by("p1"))
            held = [len(list(Path(f"/proc/{one.process.pid}/fd").iterdir())) for one in (alone, node)]
            assert 0 < held[1] - held[0] <= FLEET_MEMBER_DESCRIPTORS

    run(test())


def test_two_processes_of_one_name_are_two_members() -> None:
    async def test() -> None:
        async with store() as at:
            block = at.block()
            async with (
                proxy({"s-1": Backend()}, features=block, name="p1") as first,
                proxy({"s-1": Backend()}, features=block, name="p1"),
            ):
                found = await at.members(lambda found: len(found) == 2)
                assert found[0]["name"] == found[1]["name"] == "p1"
                assert found[0]["incarnation"] != found[1]["incarnation"]
                first.process.kill()
                await at.members(lambda found: len(found) == 1)
                await at.duties(held_by("p1"))

    run(test())


@pytest.mark.parametrize("kind", ["nobody there", "rubbish", "unauthorised"])
def test_a_store_that_does_not_serve_is_a_line_of_the_log(kind: str, tmp_path: Path) -> None:
    async def test() -> None:
        async def talk(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            with contextlib.suppress(OSError):
                writer.write(b"HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n" * 20)
                await reader.read(100)
            writer.close()

        server = await asyncio.start_server(talk, "127.0.0.1", 0)
        rubbish = "{}:{}".format(*server.sockets[0].getsockname()[:2])
        async with store(1) as at:
            block = at.block([free_address()])
            if kind == "rubbish":
                block = at.block([rubbish])
            elif kind == "unauthorised":
                await at.order("token", text="secret")
                (tmp_path / "token").write_text("wrong\n")
                block = at.block(token_file=f'"{tmp_path / "token"}"')
            async with proxy({"s-1": Backend()}, features=block, name="p1") as node:
                line = await node.line("WARNING", "coordination")
                assert "the store " in line
                assert await served(node, "1")
                if kind == "unauthorised":
                    assert "invalid auth token" in line
                    (tmp_path / "token").write_text("secret\n")
                    at.client.token_file = str(tmp_path / "token")
                    await at.duties(all_held)
                node.terminate()
                assert await node.code() == 0
        server.close()

    run(test())


def test_without_the_block_nothing_of_it_is_imported() -> None:
    code = (
        "import sys; import gladegw.net.serve, gladegw.net.features; "
        "print(sorted(m for m in sys.modules if m.split('.')[0] in ('grpclib', 'google', 'h2')"
        " or m.startswith(('gladegw.control', 'gladegw.coordination', 'gladegw.rig'))))"
    )
    found = subprocess.run((sys.executable, "-c", code), cwd=ROOT, capture_output=True, text=True, check=True)
    assert found.stdout == "[]\n"
    code = (
        "import sys; import gladegw.control.startup; "
        "print(sorted(m for m in sys.modules if 'policy' in m or 'gate' in m.split('.')[-1]))"
    )
    found = subprocess.run((sys.executable, "-c", code), cwd=ROOT, capture_output=True, text=True, check=True)
    assert "gladegw" not in found.stdout


@pytest.mark.parametrize(
    ("block", "why"),
    [
        ('endpoints = []\n prefix = "/a"', "endpoints must name"),
        ('endpoints = ["x"]\n prefix = "/a"', "not an address"),
        ('endpoints = ["127.0.0.1:1"]\n prefix = "a"', "prefix must begin"),
        ('endpoints = ["127.0.0.1:1"]\n prefix = "/a"\n ttl_s = 0', "ttl_s must be"),
        ('endpoints = ["127.0.0.1:1"]\n prefix = "/a"\n colour = 1', "unknown setting"),
    ],
)
def test_bad_settings_and_stores_end_a_command_in_one_line(block: str, why: str, tmp_path: Path) -> None:
    file = config_file(tmp_path, "coordination {\n " + block + "\n}\n")
    told = gladegw("fleet", "members", "-f", file)
    assert told.returncode == 2 and told.stderr.count("\n") == 1 and why in told.stderr
    file = config_file(tmp_path, f'coordination {{\n endpoints = ["{free_address()}"]\n prefix = "/a"\n}}\n')
    told = gladegw("fleet", "duties", "-f", file)
    assert told.returncode == 2 and told.stderr.count("\n") == 1 and "the store at" in told.stderr
