"""Duties of a fleet of proxy processes while holders stall, die or hand over, and while the store fails."""

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


def run_gladegw(*words: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        (sys.executable, "-m", "gladegw", *words),
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=30,
        check=False,
    )


def test_fleet_commands_report_members_and_duties(tmp_path: Path) -> None:
    async def test() -> None:
        async with store() as cluster:
            block = cluster.block()
            async with (
                proxy({"s-1": Backend()}, features=block, name="p1"),
                proxy({"s-1": Backend()}, features=block, name="p2") as second,
            ):
                await cluster.duties(all_held)
                await cluster.members(lambda found: [m["state"] for m in found] == ["ready", "ready"])
                file = config_file(tmp_path, block)
                completed = await asyncio.to_thread(run_gladegw, "fleet", "members", "-f", file, "--json")
                members = json.loads(completed.stdout)["members"]
                assert completed.returncode == 0 and [m["name"] for m in members] == ["p1", "p2"]
                assert members[0].keys() == {"name", "incarnation", "version", "zone", "state", "since_s"}
                completed = await asyncio.to_thread(run_gladegw, "fleet", "duties", "-f", file, "--json")
                duties = json.loads(completed.stdout)["duties"]
                assert [duty["name"] for duty in duties] == ["compare", "digest", "sweeper"]
                assert all(duty.keys() == {"name", "holder", "token", "since_s"} for duty in duties)
                assert await served(second, "1")
                completed = await asyncio.to_thread(run_gladegw, "fleet", "status", "-f", file)
                assert completed.returncode == 0 and "2 members, missing: none" in completed.stdout
                await second.operator("LAMEDUCK")
                await cluster.duties(held_by("p1"))
                await cluster.members(lambda found: [m["state"] for m in found] == ["ready", "lame"])
                second.process.kill()

                def second_missing(members: list[dict[str, Any]]) -> bool:
                    return bool(members[1]["state"] == "missing" and members[1]["since_s"] > 0)

                assert (await cluster.members(second_missing))[1]["name"] == "p2"

    run(test())


@pytest.mark.parametrize("how", ["kill", "term", "stop"])
def test_the_duties_of_a_lost_holder_are_taken_over(how: str) -> None:
    """The duties of a killed holder are claimed once its lease has expired; a terminated holder hands them
    over. A holder that is stopped for longer than its lease finds the lease expired when it continues, and
    the tokens in the store never decrease."""

    async def test() -> None:
        async with store() as cluster:
            block = cluster.block()
            async with proxy({"s-1": Backend()}, features=block, name="p1") as first:
                before = await cluster.duties(held_by("p1"))
                await cluster.wait_for_digest(before["digest"][1])
                async with proxy({"s-1": Backend()}, features=block, name="p2"):
                    await cluster.members(lambda found: len(found) == 2 and found[1]["state"] == "ready")
                    began = time.monotonic()
                    signum = {"kill": signal.SIGKILL, "term": signal.SIGTERM, "stop": signal.SIGSTOP}[how]
                    first.process.send_signal(signum)
                    after = await cluster.duties(held_by("p2"))
                    takeover_time = time.monotonic() - began
                    assert all(after[name][1] > before[name][1] for name in before)
                    if how == "stop":
                        first.process.send_signal(signal.SIGCONT)
                        await cluster.members(lambda found: len(found) == 2 and found[0]["state"] == "ready")
                        assert held_by("p2")(await cluster.duties(all_held))
                        assert await served(first, "7")
                    if how != "term":
                        assert takeover_time < 3 * TTL + 1.0
                    else:
                        assert await first.code() == 0
                    await cluster.wait_for_digest(after["digest"][1])
            tokens = await cluster.tokens()
            assert tokens == sorted(tokens) and len(set(tokens)) > 1

    run(test())


def test_serving_continues_while_the_store_is_down() -> None:
    async def test() -> None:
        async with store() as cluster, proxy({"s-1": Backend()}, features=cluster.block(), name="p1") as node:
            before = await cluster.duties(all_held)
            for member in (0, 1):
                await cluster.order("down", member=member)
            end = time.monotonic() + 2.5 * TTL
            request_number = 0
            while time.monotonic() < end:
                request_number += 1
                assert await served(node, str(request_number))
            assert await node.line("no longer holds duty digest")
            for member in (0, 1):
                await cluster.order("up", member=member)
            after = await cluster.duties(lambda now: all_held(now) and now != before)
            assert all(after[name][1] > before[name][1] for name in before)

    run(test())


@pytest.mark.parametrize("fault", ["depose", "cut_watches", "unanswered", "compact", "slow", "cut"])
def test_a_store_fault_leaves_each_duty_with_one_holder(fault: str) -> None:
    async def test() -> None:
        async with store() as cluster:
            block = cluster.block()
            async with (
                proxy({"s-1": Backend()}, features=block, name="p1") as first,
                proxy({"s-1": Backend()}, features=block, name="p2"),
            ):
                await cluster.duties(all_held)
                if fault == "compact":
                    await cluster.order("cut_watches")
                size = {"unanswered": 3.0, "slow": 0.3}.get(fault, 0.0)
                await cluster.order(fault, size=size)
                first.process.kill()
                await first.code()
                await cluster.duties(held_by("p2"))
                if fault == "slow":
                    await cluster.order("slow", size=0)
                if fault == "cut":
                    await cluster.order("heal", member=0)
            if fault != "compact":
                tokens = await cluster.tokens()
                assert tokens == sorted(tokens)

    run(test())


@pytest.mark.parametrize("blocked", ["requests", "responses", "both", "reset"])
def test_a_holder_cut_off_from_the_store_keeps_serving_without_duties(blocked: str) -> None:
    """Its requests to the store, or the responses, are delayed until another member holds its duties: late
    claims, and renewals that are answered after the lease has expired. They must have no effect."""

    async def test() -> None:
        async with contextlib.AsyncExitStack() as stack:
            cluster = await stack.enter_async_context(store(1))
            link = await stack.enter_async_context(Link(cluster.endpoints[0]))
            first = await stack.enter_async_context(
                proxy({"s-1": Backend()}, features=cluster.block([link.address]), name="p1")
            )
            before = await cluster.duties(held_by("p1"))
            await stack.enter_async_context(proxy({"s-1": Backend()}, features=cluster.block(), name="p2"))
            await cluster.members(lambda found: len(found) == 2 and found[1]["state"] == "ready")
            if blocked == "reset":
                for _ in range(20):
                    link.reset()
                    await asyncio.sleep(0.01)
                assert all_held(await cluster.duties(all_held))
            else:
                for direction in (link.there, link.back):
                    if blocked != ("responses" if direction is link.there else "requests"):
                        direction.hold()
                after = await cluster.duties(held_by("p2"))
                assert all(after[name][1] > before[name][1] for name in before)
                assert await served(first, "1")
                link.heal()
                await cluster.members(lambda found: len(found) == 2)
                assert held_by("p2")(await cluster.duties(all_held))
            assert await served(first, "2")
            tokens = await cluster.tokens()
            assert tokens == sorted(tokens)

    run(test())


def test_the_descriptors_of_a_fleet_member_are_reserved() -> None:
    async def test() -> None:
        async with (
            store() as cluster,
            proxy({"s-1": Backend()}, features="figures {\n}\n", name="p0") as alone,
            proxy({"s-1": Backend()}, features=cluster.block(), name="p1") as node,
        ):
            await cluster.duties(held_by("p1"))
            open_count = [len(list(Path(f"/proc/{each.process.pid}/fd").iterdir())) for each in (alone, node)]
            assert 0 < open_count[1] - open_count[0] <= FLEET_MEMBER_DESCRIPTORS

    run(test())


def test_two_processes_of_one_name_are_two_members() -> None:
    async def test() -> None:
        async with store() as cluster:
            block = cluster.block()
            async with (
                proxy({"s-1": Backend()}, features=block, name="p1") as first,
                proxy({"s-1": Backend()}, features=block, name="p1"),
            ):
                found = await cluster.members(lambda found: len(found) == 2)
                assert found[0]["name"] == found[1]["name"] == "p1"
                assert found[0]["incarnation"] != found[1]["incarnation"]
                first.process.kill()
                await cluster.members(lambda found: len(found) == 1)
                await cluster.duties(held_by("p1"))

    run(test())


@pytest.mark.parametrize("kind", ["unreachable", "malformed", "unauthorised"])
def test_an_unusable_store_is_logged_and_serving_continues(kind: str, tmp_path: Path) -> None:
    async def test() -> None:
        async def answer_http(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            with contextlib.suppress(OSError):
                writer.write(b"HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n" * 20)
                await reader.read(100)
            writer.close()

        server = await asyncio.start_server(answer_http, "127.0.0.1", 0)
        http_address = "{}:{}".format(*server.sockets[0].getsockname()[:2])
        async with store(1) as cluster:
            block = cluster.block([free_address()])
            if kind == "malformed":
                block = cluster.block([http_address])
            elif kind == "unauthorised":
                await cluster.order("token", text="secret")
                (tmp_path / "token").write_text("wrong\n")
                block = cluster.block(token_file=f'"{tmp_path / "token"}"')
            async with proxy({"s-1": Backend()}, features=block, name="p1") as node:
                line = await node.line("WARNING", "coordination")
                assert "the store " in line
                assert await served(node, "1")
                if kind == "unauthorised":
                    assert "invalid auth token" in line
                    (tmp_path / "token").write_text("secret\n")
                    cluster.client.token_file = str(tmp_path / "token")
                    await cluster.duties(all_held)
                node.terminate()
                assert await node.code() == 0
        server.close()

    run(test())


def test_without_a_coordination_block_its_modules_are_not_imported() -> None:
    code = (
        "import sys; import gladegw.net.serve, gladegw.net.features; "
        "print(sorted(m for m in sys.modules if m.split('.')[0] in ('grpclib', 'google', 'h2')"
        " or m.startswith(('gladegw.control', 'gladegw.coordination', 'gladegw.rig'))))"
    )
    completed = subprocess.run(
        (sys.executable, "-c", code), cwd=ROOT, capture_output=True, text=True, check=True
    )
    assert completed.stdout == "[]\n"
    code = (
        "import sys; import gladegw.control.startup; "
        "print(sorted(m for m in sys.modules if 'policy' in m or 'gate' in m.split('.')[-1]))"
    )
    completed = subprocess.run(
        (sys.executable, "-c", code), cwd=ROOT, capture_output=True, text=True, check=True
    )
    assert "gladegw" not in completed.stdout


@pytest.mark.parametrize(
    ("block", "reason"),
    [
        ('endpoints = []\n prefix = "/a"', "endpoints must name"),
        ('endpoints = ["x"]\n prefix = "/a"', "not an address"),
        ('endpoints = ["127.0.0.1:1"]\n prefix = "a"', "prefix must begin"),
        ('endpoints = ["127.0.0.1:1"]\n prefix = "/a"\n ttl_s = 0', "ttl_s must be"),
        ('endpoints = ["127.0.0.1:1"]\n prefix = "/a"\n colour = 1', "unknown setting"),
    ],
)
def test_a_command_reports_bad_settings_or_an_unreachable_store_in_one_line(
    block: str, reason: str, tmp_path: Path
) -> None:
    file = config_file(tmp_path, "coordination {\n " + block + "\n}\n")
    completed = run_gladegw("fleet", "members", "-f", file)
    assert completed.returncode == 2 and completed.stderr.count("\n") == 1 and reason in completed.stderr
    file = config_file(tmp_path, f'coordination {{\n endpoints = ["{free_address()}"]\n prefix = "/a"\n}}\n')
    completed = run_gladegw("fleet", "duties", "-f", file)
    assert (
        completed.returncode == 2 and completed.stderr.count("\n") == 1 and "the store at" in completed.stderr
    )
