"""Changes of policy over several processes of the program, while some of them and the store fail."""

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
    async with store(members) as at, contextlib.AsyncExitStack() as stack:
        yield Site(at, folder, stack, cut_off, ttl)


async def answer(node: Proxy) -> tuple[int, str]:
    caller = await node.caller()
    try:
        told = await caller.call("stock", "1".rjust(16, "0"))
        return told.code, told.body.decode().strip()
    finally:
        caller.writer.close()


async def answers(node: Proxy, word: str) -> None:
    end = time.monotonic() + PATIENCE
    while (found := await answer(node))[1] != word:
        assert time.monotonic() < end, found
        await asyncio.sleep(0.01)


def test_a_change_takes_hold_everywhere_and_after_a_start(tmp_path: Path) -> None:
    async def test() -> None:
        async with site(tmp_path) as here:
            nodes = [await here.proxy(f"p{number}") for number in range(3)]
            for node in nodes:
                assert await answer(node) == (404, "first")
            code, told = await here.propose("second")
            assert code == 0 and told.keys() == {"outcome", "epoch", "digest", "reason", "votes"}
            assert told["outcome"] == "everywhere" and told["epoch"] == 1
            assert [(v["member"], v["vote"]) for v in told["votes"]] == [(f"p{n}", "yes") for n in range(3)]
            for node in nodes:
                await answers(node, "second")
            found = await here.status(lambda found: all(m["state"] == "in force" for m in found["members"]))
            digest = told["digest"]
            assert (found["epoch"], found["digest"], found["change"]) == (1, digest, None)
            assert [m["name"] for m in found["members"]] == ["p0", "p1", "p2"]
            late = await here.proxy("p3")  # its file says otherwise
            assert await answer(late) == (404, "second")
            code, told = await here.propose("third")
            assert (code, told["epoch"]) == (0, 2)
            await answers(late, "third")
            code, told = await here.tool("revert", "1", "--wait")
            assert (code, told["epoch"]) == (0, 3)
            for node in (*nodes, late):
                await answers(node, "second")
            code, found = await here.tool("diff", "1", "2")
            changed = [one["file"] for one in found["files"]]
            assert code == 1 and changed == ["second.routes.hcl", "third.routes.hcl"]
            assert (await here.tool("diff", "1", "3"))[0] == 0
            told = await late.operator("INFO")
            assert "policy.epoch=3\n" in told and f"policy.digest={digest}\n" in told
            _, found = await here.tool("history")
            assert [one["epoch"] for one in found["history"]] == [1, 2, 3]

    run(test())


def test_processes_are_replaced_and_discovery_is_silent_in_the_midst_of_changes(tmp_path: Path) -> None:
    """Both processes of a name serve meanwhile, and one of them leaves; whatever comes of each change, all
    that are there answer by what is in force."""

    async def test() -> None:
        async with site(tmp_path) as here:
            silent = await Discovery().start()
            silent.silent = 10**6
            old, *others = [await here.proxy(name, discovery=silent) for name in ("p0", "p1", "p2")]
            code, _ = await here.propose("word0")
            assert code == 0
            for number, pause in enumerate((0.0, 0.3, 0.6), 1):
                host, port = old.address
                coming = asyncio.create_task(here.proxy("p0", listen=f"{host}:{port}", discovery=silent))
                await asyncio.sleep(pause)
                code, told = await here.propose(f"word{number}")
                new = await coming
                if code:  # who came did not vote in time, or another was lost: nowhere, and said why
                    assert told["outcome"] == "nowhere" and told["reason"], told
                found = await here.status(lambda now: {m["state"] for m in now["members"]} == {"in force"})
                assert sorted(m["name"] for m in found["members"]) == ["p0", "p0", "p1", "p2"]
                changing = asyncio.create_task(here.propose(f"then{number}"))
                old.process.send_signal(signal.SIGTERM)
                code, told = await changing
                word = f"then{number}"
                if code:
                    code, told = await here.propose(word)
                assert code == 0, told
                await old.process.wait()
                for node in (new, *others):
                    await answers(node, word)
                old = new
            _, told = await here.tool("history")
            epochs = [one["epoch"] for one in told["history"]]
            assert epochs == list(range(1, len(epochs) + 1)) and silent.asked.qsize() >= 3

    run(test())


def test_one_that_cannot_take_it_keeps_all_from_it(tmp_path: Path) -> None:
    """A class that no proxy knows: it can be read, so the tool lets it pass, and not served."""
    bad = 'pool "a" {\n  names = ["s-*"]\n}\nroute "r" {\n  prefix = "/"\n  pool = "a"\n  class = "none"\n}\n'

    async def test() -> None:
        async with site(tmp_path) as here:
            nodes = [await here.proxy(f"p{number}") for number in range(2)]
            code, told = await here.propose("bad", bad)
            assert code == 1 and told["outcome"] == "nowhere" and "R202" in told["reason"]
            assert (await here.tool("status"))[1]["epoch"] == 0
            for node in nodes:
                assert await answer(node) == (404, "first")
            node = await here.proxy("p9", memory_mb=24)
            code, told = await here.propose("second")
            assert code == 1 and "of 24 MiB are in use with both tables" in told["reason"]
            node.terminate()
            assert await node.code() == 0  # it signed off, so nothing waits for it
            code, told = await here.tool("propose", here.bundle("dry"), "--dry-run")
            assert code == 1 and "dry run" in told["reason"] and len(told["votes"]) == 2
            assert (await here.propose("second"))[0] == 0

    run(test())


@pytest.mark.parametrize("how", ["kill", "stop"])
def test_one_that_is_lost_or_stands_still_keeps_all_from_it(how: str, tmp_path: Path) -> None:
    """Stopped: awaited until its lease ends, then lost. Under `serve` its name is missed until it is removed
    or back; one that comes back has what is in force."""

    async def test() -> None:
        async with site(tmp_path) as here:
            first, second = await here.proxy("p0"), await here.proxy("p1")
            second.process.send_signal({"kill": signal.SIGKILL, "stop": signal.SIGSTOP}[how])
            code, told = await here.propose("second")
            assert code == 1 and told["outcome"] == "nowhere" and "p1" in told["reason"]
            assert await answer(first) == (404, "first")
            code, told = await here.propose("second")
            assert code == 1 and told["reason"] == "not reached: p1"
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
                    str(here.settings),
                ),
                cwd=ROOT,
                timeout=60,
                check=False,
            )
            assert removed.returncode == 0
            code, told = await here.propose("second")
            assert code == 0, told
            await answers(first, "second")
            if how == "stop":
                caller = await second.caller()
                waiting = asyncio.create_task(caller.call("stock", "2".rjust(16, "0")))  # in its sockets
                await asyncio.sleep(0.1)
                second.process.send_signal(signal.SIGCONT)
                told = await waiting
                assert told.code == 503 or told.body == b"second\n"
                await answers(second, "second")

    run(test())


@pytest.mark.parametrize("cut_off", ["refuse", "serve"])
def test_a_store_that_is_away(cut_off: str, tmp_path: Path) -> None:
    async def test() -> None:
        async with site(tmp_path, cut_off) as here:
            node = await here.proxy("p0")
            assert (await here.propose("second"))[0] == 0
            await answers(node, "second")
            for member in (0, 1):
                await here.at.order("down", member=member)
            end = time.monotonic() + 2.5
            codes = []
            while time.monotonic() < end:
                code, body = await answer(node)
                codes.append(code)
                assert code == 503 or body == "second"
                await asyncio.sleep(0.02)
            assert codes[-1] == (503 if cut_off == "refuse" else 404)
            assert cut_off == "refuse" or set(codes) == {404}
            for member in (0, 1):
                await here.at.order("up", member=member)
            await answers(node, "second")
            assert (await here.propose("third"))[0] == 0
            await answers(node, "third")

    run(test())


def test_one_that_is_cut_off_refuses_before_others_go_over(tmp_path: Path) -> None:
    """Under `refuse`: while a change can be decided without it, it does not serve."""

    async def test() -> None:
        async with site(tmp_path, "refuse", members=1) as here:
            link = await here.stack.enter_async_context(Link(here.at.endpoints[0]))
            first = await here.proxy("p0")
            second = await here.proxy("p1", [link.address])
            assert await answer(second) == (404, "first")
            link.cut()
            code, told = await here.propose("second")
            while code == 1:
                assert "p1" in told["reason"]
                code, told = await here.propose("second")
            assert (await answer(second))[0] == 503
            await answers(first, "second")
            assert (await answer(second))[0] == 503
            link.heal()
            await answers(second, "second")

    run(test())


def test_one_endpoint_of_the_store_that_hangs_ends_no_right_to_serve(tmp_path: Path) -> None:
    """Guards against `no policy in force here` while the store is up but for the endpoint that was in use."""

    async def test() -> None:
        async with site(tmp_path, "refuse") as here:
            links = [await here.stack.enter_async_context(Link(at)) for at in here.at.endpoints]
            node = await here.proxy("p0", [link.address for link in links])
            assert await answer(node) == (404, "first")
            for link in links:  # one after another, each while the two others answer
                link.cut()
                end = time.monotonic() + 2 * TTL
                while time.monotonic() < end:
                    assert await answer(node) == (404, "first")
                    await asyncio.sleep(0.02)
                link.heal()
                await asyncio.sleep(TTL / 2)

    run(test())


def test_a_change_is_called_off_or_ends_by_its_deadline(tmp_path: Path) -> None:
    async def test() -> None:
        async with site(tmp_path, ttl=60) as here:
            first, second = await here.proxy("p0"), await here.proxy("p1")
            second.process.send_signal(signal.SIGSTOP)
            code, told = await here.propose("zeroth")
            assert code == 1 and told["reason"] == "its deadline passed, awaiting p1"
            votes = {vote["member"]: vote["vote"] for vote in told["votes"]}
            assert votes == {"p0": "yes", "p1": "awaited"}
            here.settings.write_text(here.block(60), encoding="utf-8")
            proposed = asyncio.create_task(here.propose("second"))
            await here.status(lambda found: found["change"] is not None)
            code, told = await here.propose("third")
            assert code == 1 and "is open" in told["reason"]
            code, _ = await here.tool("call-off")
            assert code == 0
            code, told = await proposed
            assert code == 1 and "called off by" in told["reason"]
            second.process.send_signal(signal.SIGCONT)
            assert await answer(first) == (404, "first")
            await answers(second, "first")
            assert (await here.tool("call-off"))[0] == 1

    run(test())


def test_of_operators_at_once_each_gets_an_answer_and_history_is_one_line(tmp_path: Path) -> None:
    async def test() -> None:
        async with site(tmp_path) as here:
            node = await here.proxy("p0")
            told = await asyncio.gather(*(here.propose(word) for word in ("a", "b", "c", "d")))
            for code, one in told:
                assert code == (0 if one["outcome"] == "everywhere" else 1)
                assert code == 0 or "is open" in one["reason"] or "changed meanwhile" in one["reason"], one
            epochs = sorted(one["epoch"] for code, one in told if code == 0)
            assert epochs == list(range(1, len(epochs) + 1)) and epochs
            _, found = await here.tool("history")
            assert [one["epoch"] for one in found["history"]] == epochs
            won = {one["epoch"]: one["digest"] for code, one in told if code == 0}
            assert found["history"][-1]["digest"] == won[epochs[-1]]
            assert (await answer(node))[1] in "abcd"

    run(test())


def test_a_decider_that_dies_is_followed_by_another(tmp_path: Path) -> None:
    """Whoever holds the duty is killed while a change is open: it was registered, so that is a no; the next
    change is decided by its successor."""

    async def test() -> None:
        async with site(tmp_path, "refuse") as here:
            nodes = {name: await here.proxy(name) for name in ("p0", "p1", "p2")}
            held = await here.at.duties(lambda now: bool(now.get("policy", (None,))[0]))
            holder = held["policy"][0]
            proposed = asyncio.create_task(here.propose("second"))
            nodes[holder].process.kill()
            code, told = await proposed
            assert code == (0 if told["outcome"] == "everywhere" else 1)
            left = [node for name, node in nodes.items() if name != holder]
            await here.at.members(lambda found: sum(m["state"] == "ready" for m in found) == 2)
            code, told = await here.propose("third")
            assert code == 0, told
            for node in left:
                await answers(node, "third")

    run(test())


def test_a_bundle_that_kills_twice_is_not_tried_again(tmp_path: Path) -> None:
    """Whoever died with it twice says no the third time; its count stands in the store, for a minute. Another
    stands still meanwhile with a lease that outlasts it, so that the change is open until the victim is gone.
    """

    async def test() -> None:
        async with site(tmp_path) as here:
            here.settings.write_text(here.block(60), encoding="utf-8")
            here.ttl = 15
            witness = await here.proxy("p0")
            here.ttl = TTL
            keys = Keys(PREFIX)
            tries = keys.bundle_attempts("", "").rstrip(b"/")
            for number in range(2):
                victim = await here.proxy("p1")
                witness.process.send_signal(signal.SIGSTOP)
                proposed = asyncio.create_task(here.propose("poison"))
                end = time.monotonic() + PATIENCE
                while True:
                    _, found = await here.at.client.get(Get(tries, prefix_end(tries)))
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
                await here.at.members(lambda found: any(m["state"] == "missing" for m in found))
                witness.process.send_signal(signal.SIGCONT)
                code, told = await proposed
                assert code == 1 and "lost while it was open: p1" in told["reason"], told
            await here.proxy("p1")
            code, told = await here.propose("poison")
            assert code == 1 and "ended 2 times with bundle" in told["reason"]
            assert (await here.propose("sound"))[0] == 0

    run(test())


@pytest.mark.parametrize("what", ["a piece is missing", "a piece is another"])
def test_a_bundle_that_is_cut_in_the_store_is_a_no(what: str, tmp_path: Path) -> None:
    async def test() -> None:
        async with site(tmp_path) as here:
            node = await here.proxy("p0")
            raw = policy_bundle.pack({"second.routes.hcl": routes("second")})
            key = Keys(PREFIX).bundle_chunk(policy_bundle.digest_of(raw), 0)
            operator = PolicyOperator(here.at.client, PREFIX)
            await here.at.client.do(Put(key, b"" if what == "a piece is missing" else raw[:-4]))
            code, told = await here.propose("second")
            assert code == 1 and policy_bundle.digest_of(raw) in told["reason"]
            assert await answer(node) == (404, "first")
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
def test_the_judge_finds_what_is_planted(answers: list[Answer], rule: str) -> None:
    found = judge(answers, {1: 2.0}, {0, 1})
    assert [one.partition(":")[0] for one in found] == ([rule] if rule else [])


def test_changes_at_every_step_with_faults_break_no_rule() -> None:
    words = ("rig", "changes", "--proxies", "3", "--changes", "12", "--faults", "--ttl", "2", "--seed", "3")
    told = subprocess.run(
        (sys.executable, "-m", "gladegw", *words, "--json"),
        cwd=ROOT,
        text=True,
        capture_output=True,
        timeout=200,
        check=False,
    )
    found = json.loads(told.stdout)
    assert told.returncode == 0 and found["breaches"] == [], told.stderr
    assert found["outcomes"]["everywhere"] >= 3 and found["answers"] > 500


def test_changes_cost_no_request() -> None:
    words = ("rig", "changes", "--proxies", "3", "--changes", "4")
    told = subprocess.run(
        (sys.executable, "-m", "gladegw", *words, "--json"),
        cwd=ROOT,
        text=True,
        capture_output=True,
        timeout=200,
        check=False,
    )
    found = json.loads(told.stdout)
    assert told.returncode == 0 and found["outcomes"] == {"everywhere": 4}, told.stderr
    assert found["refused"] == 0 and found["answers"] > 100


def test_a_compile_that_hangs_is_a_no_by_the_deadline_and_serving_goes_on(tmp_path: Path) -> None:
    async def test() -> None:
        async with site(tmp_path) as here:
            first = await here.proxy("p1")
            slow = await here.proxy("p2", program=("gladegw.rig.faulty_versions", "compiles 30 s"))
            await here.at.members(lambda found: [one["state"] for one in found] == ["ready"] * 2)
            proposed = asyncio.create_task(here.propose("second"))
            served = 0
            while not proposed.done():  # by both, all the while
                for node in (first, slow):
                    began = time.monotonic()
                    assert (await answer(node))[1] == "first"
                    assert time.monotonic() - began < 1.0
                served += 1
            code, told = proposed.result()
            assert (code, told["outcome"]) == (1, "nowhere") and "awaiting p2" in told["reason"], told
            assert served > 20

    run(test())
