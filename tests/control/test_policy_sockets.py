"""Policy changes in a fleet of proxy processes, while processes and the store fail."""

from __future__ import annotations

import asyncio
import contextlib
import json
import signal
import subprocess
import sys
import time
from collections.abc import AsyncIterator
from pathlib import Path

import pytest
from support.fleet import PREFIX, TTL, store
from support.loopback import PATIENCE, ROOT, Discovery, Proxy, run
from support.policy_site import Site, routes

from gladegw.control import policy_bundle
from gladegw.control.keys import Keys
from gladegw.control.policy_proposals import PolicyOperator
from gladegw.coordination.records import BundleAttemptsRecord, PolicyRecord, decode
from gladegw.coordination.store import Get, Put, prefix_end
from gladegw.rig.faults.links import Link
from gladegw.rig.measures.changes import BOUND, Answer, judge


@contextlib.asynccontextmanager
async def site(folder: Path, cut_off: str = "serve", members: int = 3, ttl: int = TTL) -> AsyncIterator[Site]:
    async with store(members) as store_process, contextlib.AsyncExitStack() as stack:
        yield Site(store_process, folder, stack, cut_off, ttl)


async def send_request(node: Proxy) -> tuple[int, str]:
    caller = await node.caller()
    try:
        response = await caller.call("stock", "1".rjust(16, "0"))
        return response.code, response.body.decode().strip()
    finally:
        caller.writer.close()


async def wait_for_body(node: Proxy, body: str) -> None:
    end = time.monotonic() + PATIENCE
    while (response := await send_request(node))[1] != body:
        assert time.monotonic() < end, response
        await asyncio.sleep(0.01)


def test_a_change_is_activated_by_all_members_and_by_one_that_starts_later(tmp_path: Path) -> None:
    async def test() -> None:
        async with site(tmp_path) as fleet:
            nodes = [await fleet.proxy(f"p{number}") for number in range(3)]
            for node in nodes:
                assert await send_request(node) == (404, "first")
            code, result = await fleet.propose("second")
            assert code == 0 and result.keys() == {"outcome", "epoch", "digest", "reason", "votes"}
            assert result["outcome"] == "everywhere" and result["epoch"] == 1
            assert [(v["member"], v["vote"]) for v in result["votes"]] == [(f"p{n}", "yes") for n in range(3)]
            for node in nodes:
                await wait_for_body(node, "second")
            found = await fleet.status(lambda found: all(m["state"] == "in force" for m in found["members"]))
            digest = result["digest"]
            assert (found["epoch"], found["digest"], found["change"]) == (1, digest, None)
            assert [m["name"] for m in found["members"]] == ["p0", "p1", "p2"]
            late = await fleet.proxy("p3")  # its own route file differs
            assert await send_request(late) == (404, "second")
            code, result = await fleet.propose("third")
            assert (code, result["epoch"]) == (0, 2)
            await wait_for_body(late, "third")
            code, result = await fleet.tool("revert", "1", "--wait")
            assert (code, result["epoch"]) == (0, 3)
            for node in (*nodes, late):
                await wait_for_body(node, "second")
            code, found = await fleet.tool("diff", "1", "2")
            changed = [entry["file"] for entry in found["files"]]
            assert code == 1 and changed == ["second.routes.hcl", "third.routes.hcl"]
            assert (await fleet.tool("diff", "1", "3"))[0] == 0
            result = await late.operator("INFO")
            assert "policy.epoch=3\n" in result and f"policy.digest={digest}\n" in result
            _, found = await fleet.tool("history")
            assert [one["epoch"] for one in found["history"]] == [1, 2, 3]

    run(test())


def test_changes_while_processes_are_replaced_and_discovery_does_not_answer(tmp_path: Path) -> None:
    """Two processes of one member serve at the same time, and one of them terminates.

    Whether a change commits or not, all running members answer by the committed policy.
    """

    async def test() -> None:
        async with site(tmp_path) as fleet:
            silent = await Discovery().start()
            silent.silent = 10**6
            old, *others = [await fleet.proxy(name, discovery=silent) for name in ("p0", "p1", "p2")]
            code, _ = await fleet.propose("word0")
            assert code == 0
            for number, pause in enumerate((0.0, 0.3, 0.6), 1):
                host, port = old.address
                starting = asyncio.create_task(fleet.proxy("p0", listen=f"{host}:{port}", discovery=silent))
                await asyncio.sleep(pause)
                code, result = await fleet.propose(f"word{number}")
                new = await starting
                if code:  # not committed: the new process did not vote in time, or a member was lost
                    assert result["outcome"] == "nowhere" and result["reason"], result
                found = await fleet.status(lambda now: {m["state"] for m in now["members"]} == {"in force"})
                assert sorted(m["name"] for m in found["members"]) == ["p0", "p0", "p1", "p2"]
                proposed = asyncio.create_task(fleet.propose(f"then{number}"))
                old.process.send_signal(signal.SIGTERM)
                code, result = await proposed
                word = f"then{number}"
                if code:
                    code, result = await fleet.propose(word)
                assert code == 0, result
                await old.process.wait()
                for node in (new, *others):
                    await wait_for_body(node, word)
                old = new
            _, result = await fleet.tool("history")
            epochs = [one["epoch"] for one in result["history"]]
            assert epochs == list(range(1, len(epochs) + 1)) and silent.asked.qsize() >= 3

    run(test())


def test_a_member_that_cannot_prepare_a_policy_blocks_it_for_all(tmp_path: Path) -> None:
    """A route with a class that no proxy knows is valid to the operator's command but cannot be served."""
    bad = 'pool "a" {\n  names = ["s-*"]\n}\nroute "r" {\n  prefix = "/"\n  pool = "a"\n  class = "none"\n}\n'

    async def test() -> None:
        async with site(tmp_path) as fleet:
            nodes = [await fleet.proxy(f"p{number}") for number in range(2)]
            code, result = await fleet.propose("bad", bad)
            assert code == 1 and result["outcome"] == "nowhere" and "R202" in result["reason"]
            assert (await fleet.tool("status"))[1]["epoch"] == 0
            for node in nodes:
                assert await send_request(node) == (404, "first")
            node = await fleet.proxy("p9", memory_mb=24)
            code, result = await fleet.propose("second")
            assert code == 1 and "of 24 MiB are in use with both tables" in result["reason"]
            node.terminate()
            assert await node.code() == 0  # it signed off, so no change waits for it
            code, result = await fleet.tool("propose", fleet.bundle("dry"), "--dry-run")
            assert code == 1 and "dry run" in result["reason"] and len(result["votes"]) == 2
            assert (await fleet.propose("second"))[0] == 0

    run(test())


@pytest.mark.parametrize("how", ["kill", "stop"])
def test_a_lost_or_stopped_member_blocks_a_change(how: str, tmp_path: Path) -> None:
    """A stopped member is awaited until its lease expires; then it is lost, like a killed one.

    Under `serve` no change commits until the lost member is removed or back. A member that comes back serves
    the committed policy.
    """

    async def test() -> None:
        async with site(tmp_path) as fleet:
            first, second = await fleet.proxy("p0"), await fleet.proxy("p1")
            second.process.send_signal({"kill": signal.SIGKILL, "stop": signal.SIGSTOP}[how])
            code, result = await fleet.propose("second")
            assert code == 1 and result["outcome"] == "nowhere" and "p1" in result["reason"]
            assert await send_request(first) == (404, "first")
            code, result = await fleet.propose("second")
            assert code == 1 and result["reason"] == "not reached: p1"
            removed = await asyncio.to_thread(
                subprocess.run,
                (
                    sys.executable,
                    "-m",
                    "gladegw",
                    "policy",
                    "members",
                    "--remove",
                    "p1",
                    "-f",
                    str(fleet.settings),
                ),
                cwd=ROOT,
                timeout=60,
                check=False,
            )
            assert removed.returncode == 0
            code, result = await fleet.propose("second")
            assert code == 0, result
            await wait_for_body(first, "second")
            if how == "stop":
                caller = await second.caller()
                # The request waits in the socket buffer of the stopped process.
                waiting = asyncio.create_task(caller.call("stock", "2".rjust(16, "0")))
                await asyncio.sleep(0.1)
                second.process.send_signal(signal.SIGCONT)
                response = await waiting
                assert response.code == 503 or response.body == b"second\n"
                await wait_for_body(second, "second")

    run(test())


@pytest.mark.parametrize("cut_off", ["refuse", "serve"])
def test_serving_while_the_store_is_unreachable(cut_off: str, tmp_path: Path) -> None:
    async def test() -> None:
        async with site(tmp_path, cut_off) as fleet:
            node = await fleet.proxy("p0")
            assert (await fleet.propose("second"))[0] == 0
            await wait_for_body(node, "second")
            for member in (0, 1):
                await fleet.at.order("down", member=member)
            end = time.monotonic() + 2.5
            codes = []
            while time.monotonic() < end:
                code, body = await send_request(node)
                codes.append(code)
                assert code == 503 or body == "second"
                await asyncio.sleep(0.02)
            assert codes[-1] == (503 if cut_off == "refuse" else 404)
            assert cut_off == "refuse" or set(codes) == {404}
            for member in (0, 1):
                await fleet.at.order("up", member=member)
            await wait_for_body(node, "second")
            assert (await fleet.propose("third"))[0] == 0
            await wait_for_body(node, "third")

    run(test())


def test_a_member_cut_off_from_the_store_refuses_before_others_change_policy(tmp_path: Path) -> None:
    """Under `refuse`, a member does not serve while a change can be decided without its vote."""

    async def test() -> None:
        async with site(tmp_path, "refuse", members=1) as fleet:
            link = await fleet.stack.enter_async_context(Link(fleet.at.endpoints[0]))
            first = await fleet.proxy("p0")
            second = await fleet.proxy("p1", [link.address])
            assert await send_request(second) == (404, "first")
            link.cut()
            code, result = await fleet.propose("second")
            while code == 1:
                assert "p1" in result["reason"]
                code, result = await fleet.propose("second")
            assert (await send_request(second))[0] == 503
            await wait_for_body(first, "second")
            assert (await send_request(second))[0] == 503
            link.heal()
            await wait_for_body(second, "second")

    run(test())


def test_a_hanging_store_endpoint_does_not_end_the_permission_to_serve(tmp_path: Path) -> None:
    """Guards against `no policy in force here` while only the store endpoint in use is down."""

    async def test() -> None:
        async with site(tmp_path, "refuse") as fleet:
            links = [await fleet.stack.enter_async_context(Link(endpoint)) for endpoint in fleet.at.endpoints]
            node = await fleet.proxy("p0", [link.address for link in links])
            assert await send_request(node) == (404, "first")
            for link in links:  # cut one after another, while the two others answer
                link.cut()
                end = time.monotonic() + 2 * TTL
                while time.monotonic() < end:
                    assert await send_request(node) == (404, "first")
                    await asyncio.sleep(0.02)
                link.heal()
                await asyncio.sleep(TTL / 2)

    run(test())


def test_a_change_is_cancelled_or_expires_at_its_deadline(tmp_path: Path) -> None:
    async def test() -> None:
        async with site(tmp_path, ttl=60) as fleet:
            first, second = await fleet.proxy("p0"), await fleet.proxy("p1")
            second.process.send_signal(signal.SIGSTOP)
            code, result = await fleet.propose("zeroth")
            assert code == 1 and result["reason"] == "its deadline passed, awaiting p1"
            votes = {vote["member"]: vote["vote"] for vote in result["votes"]}
            assert votes == {"p0": "yes", "p1": "awaited"}
            fleet.settings.write_text(fleet.block(60), encoding="utf-8")
            proposed = asyncio.create_task(fleet.propose("second"))
            await fleet.status(lambda found: found["change"] is not None)
            code, result = await fleet.propose("third")
            assert code == 1 and "is open" in result["reason"]
            code, _ = await fleet.tool("call-off")
            assert code == 0
            code, result = await proposed
            assert code == 1 and "called off by" in result["reason"]
            second.process.send_signal(signal.SIGCONT)
            assert await send_request(first) == (404, "first")
            await wait_for_body(second, "first")
            assert (await fleet.tool("call-off"))[0] == 1

    run(test())


def test_concurrent_proposals_each_get_an_outcome_and_history_is_linear(tmp_path: Path) -> None:
    async def test() -> None:
        async with site(tmp_path) as fleet:
            node = await fleet.proxy("p0")
            results = await asyncio.gather(*(fleet.propose(word) for word in ("a", "b", "c", "d")))
            for code, result in results:
                assert code == (0 if result["outcome"] == "everywhere" else 1)
                assert (
                    code == 0 or "is open" in result["reason"] or "changed meanwhile" in result["reason"]
                ), result
            epochs = sorted(result["epoch"] for code, result in results if code == 0)
            assert epochs == list(range(1, len(epochs) + 1)) and epochs
            _, found = await fleet.tool("history")
            assert [one["epoch"] for one in found["history"]] == epochs
            committed = {result["epoch"]: result["digest"] for code, result in results if code == 0}
            assert found["history"][-1]["digest"] == committed[epochs[-1]]
            assert (await send_request(node))[1] in "abcd"

    run(test())


def test_a_killed_coordinator_is_succeeded_by_another_member(tmp_path: Path) -> None:
    """The holder of the duty is killed while a change is open.

    It was a registered member, so its loss blocks this change unless the change was decided before. The next
    change is decided by its successor.
    """

    async def test() -> None:
        async with site(tmp_path, "refuse") as fleet:
            nodes = {name: await fleet.proxy(name) for name in ("p0", "p1", "p2")}
            held = await fleet.at.duties(lambda now: bool(now.get("policy", (None,))[0]))
            holder = held["policy"][0]
            proposed = asyncio.create_task(fleet.propose("second"))
            nodes[holder].process.kill()
            code, result = await proposed
            assert code == (0 if result["outcome"] == "everywhere" else 1)
            remaining = [node for name, node in nodes.items() if name != holder]
            await fleet.at.members(lambda found: sum(m["state"] == "ready" for m in found) == 2)
            code, result = await fleet.propose("third")
            assert code == 0, result
            for node in remaining:
                await wait_for_body(node, "third")

    run(test())


def test_a_bundle_is_rejected_after_two_processes_ended_during_an_attempt(tmp_path: Path) -> None:
    """A member whose processes ended twice during an attempt votes no the third time.

    The attempts are counted in the store for a minute. The witness, whose lease is longer, is stopped
    meanwhile, so that the change stays open until the victim is lost.
    """

    async def test() -> None:
        async with site(tmp_path) as fleet:
            fleet.settings.write_text(fleet.block(60), encoding="utf-8")
            fleet.ttl = 15
            witness = await fleet.proxy("p0")
            fleet.ttl = TTL
            keys = Keys(PREFIX)
            attempts_prefix = keys.bundle_attempts("", "").rstrip(b"/")
            for number in range(2):
                victim = await fleet.proxy("p1")
                witness.process.send_signal(signal.SIGSTOP)
                proposed = asyncio.create_task(fleet.propose("poison"))
                end = time.monotonic() + PATIENCE
                while True:
                    _, found = await fleet.at.client.get(Get(attempts_prefix, prefix_end(attempts_prefix)))
                    counts = [
                        decode(kv.value, BundleAttemptsRecord).count
                        for kv in found
                        if kv.key.endswith(b"/p1")
                    ]
                    if counts == [number + 1]:
                        break
                    assert time.monotonic() < end, found
                    await asyncio.sleep(0.001)
                victim.process.kill()
                await fleet.at.members(lambda found: any(m["state"] == "missing" for m in found))
                witness.process.send_signal(signal.SIGCONT)
                code, result = await proposed
                assert code == 1 and "lost while it was open: p1" in result["reason"], result
            await fleet.proxy("p1")
            code, result = await fleet.propose("poison")
            assert code == 1 and "ended 2 times with bundle" in result["reason"]
            assert (await fleet.propose("sound"))[0] == 0

    run(test())


@pytest.mark.parametrize("damage", ["missing", "truncated"])
def test_a_damaged_bundle_in_the_store_gets_a_no_vote(damage: str, tmp_path: Path) -> None:
    async def test() -> None:
        async with site(tmp_path) as fleet:
            node = await fleet.proxy("p0")
            raw = policy_bundle.pack({"second.routes.hcl": routes("second")})
            key = Keys(PREFIX).bundle_chunk(policy_bundle.digest_of(raw), 0)
            operator = PolicyOperator(fleet.at.client, PREFIX)
            await fleet.at.client.do(Put(key, b"" if damage == "missing" else raw[:-4]))
            code, result = await fleet.propose("second")
            assert code == 1 and policy_bundle.digest_of(raw) in result["reason"]
            assert await send_request(node) == (404, "first")
            assert (await operator.view()).read(Keys(PREFIX).committed_policy, PolicyRecord) is None

    run(test())


def answered(proxy: str, word: int, sent: float, life: int = 0) -> Answer:
    return Answer(proxy, life, sent, sent + 0.01, word)


@pytest.mark.parametrize(
    ("answers", "rule"),
    [
        ([answered("a", 0, 1.0), answered("a", 1, 2.0), answered("b", 0, 2.5), answered("b", -1, 9.0)], ""),
        ([answered("a", 2, 1.0)], "decided"),
        ([answered("a", 1, 2.0), answered("a", 0, 2.1)], "forward"),
        ([answered("a", 1, 2.0), answered("a", 0, 2.1, life=1)], ""),
        ([answered("b", 0, 2.0 + BOUND + 0.1)], "bound"),
    ],
)
def test_the_judge_reports_the_planted_violation(answers: list[Answer], rule: str) -> None:
    violations = judge(answers, {1: 2.0}, {0, 1})
    assert [violation.partition(":")[0] for violation in violations] == ([rule] if rule else [])


def test_changes_with_faults_at_every_step_violate_no_rule() -> None:
    words = ("rig", "changes", "--proxies", "3", "--changes", "12", "--faults", "--ttl", "2", "--seed", "3")
    result = subprocess.run(
        (sys.executable, "-m", "gladegw", *words, "--json"),
        cwd=ROOT,
        text=True,
        capture_output=True,
        timeout=200,
        check=False,
    )
    found = json.loads(result.stdout)
    assert result.returncode == 0 and found["breaches"] == [], result.stderr
    assert found["outcomes"]["everywhere"] >= 3 and found["answers"] > 500


def test_changes_refuse_no_request() -> None:
    words = ("rig", "changes", "--proxies", "3", "--changes", "4")
    result = subprocess.run(
        (sys.executable, "-m", "gladegw", *words, "--json"),
        cwd=ROOT,
        text=True,
        capture_output=True,
        timeout=200,
        check=False,
    )
    found = json.loads(result.stdout)
    assert result.returncode == 0 and found["outcomes"] == {"everywhere": 4}, result.stderr
    assert found["refused"] == 0 and found["answers"] > 100


def test_a_compile_that_hangs_is_a_no_by_the_deadline_and_serving_goes_on(tmp_path: Path) -> None:
    async def test() -> None:
        async with site(tmp_path) as fleet:
            first = await fleet.proxy("p1")
            slow = await fleet.proxy("p2", program=("gladegw.rig.faulty_versions", "compiles 30 s"))
            await fleet.at.members(lambda found: [one["state"] for one in found] == ["ready"] * 2)
            proposed = asyncio.create_task(fleet.propose("second"))
            served = 0
            while not proposed.done():  # both proxies keep serving
                for node in (first, slow):
                    began = time.monotonic()
                    assert (await send_request(node))[1] == "first"
                    assert time.monotonic() - began < 1.0
                served += 1
            code, result = proposed.result()
            assert (code, result["outcome"]) == (1, "nowhere") and "awaiting p2" in result["reason"], result
            assert served > 20

    run(test())
