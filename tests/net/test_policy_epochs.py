"""Tests that all proxies on a request's path route it by one policy, and of the retention of route tables."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st
from support.fleet import store
from support.loopback import PATIENCE, Answer, Backend, Proxy, Seen, response, run
from support.policy_site import Site

from gladegw import replay
from gladegw.coordination.policy_epochs import (
    MAX_RETAINED_TABLES,
    USABLE_STATES,
    PolicyEpoch,
    TableRetention,
    TableState,
    parse_epoch,
)
from gladegw.rig.faults.links import Link

HEADER_NAME = "X-Policy-Epoch"


@given(
    st.lists(
        st.tuples(st.sampled_from(["activate", "prepare", "withdraw", "wait", "expire"]), st.integers(1, 3))
    )
)
def test_only_tables_in_use_retained_or_prepared_are_usable(steps: list[tuple[str, int]]) -> None:
    tables, now, epoch = TableRetention(retention_s=3.0), 0.0, 0
    replaced_at: dict[PolicyEpoch, float] = {}  # when a table was last replaced
    prepared: PolicyEpoch | None = None
    for step, size in steps:
        if step == "activate":
            if tables.in_use is not None:
                replaced_at[tables.in_use] = now
            epoch += size
            activated = PolicyEpoch(epoch, f"{size}")
            tables.activate(activated, now)
            assert tables.state_of(activated, now) is TableState.IN_USE
            prepared = prepared if prepared is not None and prepared.epoch > epoch else None
        elif step == "prepare":
            prepared = PolicyEpoch(epoch + 1, f"{size}")
            tables.on_prepared(prepared)
        elif step == "withdraw":
            prepared = None
            tables.on_prepared(None)
        elif step == "wait":
            now += size
        else:
            expired = tables.expire(now)
            assert not any(tables.state_of(table, now) in USABLE_STATES for table in expired)
            assert len(tables.retained) <= MAX_RETAINED_TABLES
        for number in range(epoch + 3):
            for digest in "123":
                requested = PolicyEpoch(number, digest)
                state = tables.state_of(requested, now)
                if requested == tables.in_use:
                    assert state is TableState.IN_USE
                elif state is TableState.RETAINED:
                    assert now < replaced_at[requested] + tables.retention_s
                elif state is TableState.PREPARED:
                    assert requested == prepared
                else:
                    assert state is (TableState.RETIRED if number <= epoch and epoch else TableState.UNKNOWN)


@pytest.mark.parametrize(
    "text", [b"", b"7", b"-1-a", b"07-a", b"7-A", b"7-a b", b"7-" + b"a" * 65, b"1" * 13 + b"-"]
)
def test_a_malformed_policy_epoch_is_rejected(text: bytes) -> None:
    with pytest.raises(ValueError, match="malformed"):
        parse_epoch(text)
    assert str(parse_epoch(b"12-0a")) == "12-0a"


def front_routes(word: str) -> str:
    """Routes of the front proxy, which name their policy in the header `x-word`."""
    return (
        'pool "back" {\n  names = ["*"]\n}\nroute "all" {\n  prefix = "/"\n  pool = "back"\n'
        f'  edit_headers {{\n    put = {{ "x-word" = "{word}" }}\n  }}\n}}\n'
    )


def back_routes(word: str) -> str:
    """Routes of the back proxy, which add `x-mixed` to requests that the front routed by another policy."""
    end = '{\n  prefix = "/"\n  pool = "node"\n'
    same = f'route "same" {end}  header "x-word" {{\n    is = "{word}"\n  }}\n}}\n'
    other = f'route "other" {end}  edit_headers {{\n    put = {{ "x-mixed" = "1" }}\n  }}\n}}\n'
    return 'pool "node" {\n  names = ["*"]\n}\n' + same + other


class Tiers(Site):
    """A front proxy and a back proxy, with an application between them.

    The application is the one backend of the front proxy. It sends each request on through the back proxy,
    with the headers that it received, to the backend `node`.
    """

    node: Backend
    back: Proxy
    front: Proxy
    store_endpoints: dict[str, list[str]]  # by tier; without an entry, those of the store itself
    epochs: list[str]  # policy epoch headers of the requests that `received` returned last

    def settings_text(self, tier: str, more: str) -> str:
        file = self.folder / f"{tier}.routes.hcl"
        file.write_text({"front": front_routes, "back": back_routes}[tier]("0"), encoding="utf-8")
        block = self.at.block(self.store_endpoints.get(tier), ttl_s=self.ttl)
        return f'{block}routes {{\n  file = "{file}"\n}}\npolicy {{\n  deadline_s = 10\n{more}}}\n'

    async def start(self, pass_epochs: bool = True, more: str = "") -> None:
        """Start the proxies; the front proxy is the first, so that it coordinates policy changes."""
        self.node = await Backend().start()
        front_settings = '  stamp_pools = ["back"]\n' if pass_epochs else ""
        self.front = await self._start_tier("front", {"b-1": Backend(self._forward)}, front_settings)
        await self.at.duties(lambda now: now.get("policy", ("",))[0] == "front")
        back_settings = (
            '  stamp_from = ["127.0.0.1"]\n  stamp_pools = ["no*"]\n  hold_s = 1\n' if pass_epochs else ""
        )
        self.back = await self._start_tier("back", {"s-1": self.node}, back_settings + more)

    async def _forward(self, seen: Seen, writer: asyncio.StreamWriter) -> None:
        headers = {
            name: seen.headers[name] for name in ("x-word", HEADER_NAME.lower()) if name in seen.headers
        }
        reply = await self.send(self.back, int(seen.headers["x-call-id"]), **headers)
        more = {"X_Rejected": "1"} if "x-rejected" in reply.headers else {}
        writer.write(response(reply.code, reply.body, **more))

    async def _start_tier(self, tier: str, backends: dict[str, Backend], more: str) -> Proxy:
        from support.loopback import proxy

        context = proxy(backends, features=self.settings_text(tier, more), name=tier)
        return await self.stack.enter_async_context(context)

    async def change_policy(self, word: str) -> tuple[int, dict[str, str]]:
        """Propose a policy whose routes carry `word`, and wait for the outcome."""
        folder = self.folder / f"bundle-{word}"
        folder.mkdir()
        (folder / "front.routes.hcl").write_text(front_routes(word), encoding="utf-8")
        (folder / "back.routes.hcl").write_text(back_routes(word), encoding="utf-8")
        return await self.tool("propose", str(folder), "--wait")

    async def send(self, node: Proxy, id: int, **headers: str) -> Answer:
        caller = await node.caller()
        try:
            return await caller.call("stock", f"{id:016d}", "1000m", b"", **headers)
        finally:
            caller.writer.close()

    def received(self) -> list[tuple[str, bool]]:
        """Take the requests that `node` has received: the front's word, and whether policies were mixed."""
        requests = []
        self.epochs = []
        while not self.node.calls.empty():
            headers = self.node.calls.get_nowait().headers
            requests.append((headers.get("x-word", ""), "x-mixed" in headers))
            self.epochs.append(headers.get(HEADER_NAME.lower(), ""))
        return requests


@contextlib.asynccontextmanager
async def tiers(folder: Path) -> AsyncIterator[Tiers]:
    async with store(1) as policy_store, contextlib.AsyncExitStack() as stack:
        here = Tiers(policy_store, folder, stack, "serve", 2)
        here.settings.write_text(here.block(10), encoding="utf-8")
        here.store_endpoints = {}
        yield here


async def changes_under_load(here: Tiers, changes: int) -> list[tuple[str, bool]]:
    """Change the policy `changes` times while requests are sent; returns what the node received."""
    number, stop = 0, asyncio.Event()

    async def load(first: int) -> None:
        nonlocal number
        caller = await here.front.caller()
        while not stop.is_set():
            number += 1
            reply = await caller.call("stock", f"{first + number:016d}")
            # 503: the request may be shed, if the only backend is slow
            assert reply.code in (200, 503), (reply.code, reply.body)
        caller.writer.close()

    loads = [asyncio.create_task(load(1_000_000 * (n + 1))) for n in range(4)]
    for word in range(1, changes + 1):
        code, result = await here.change_policy(f"{word}")
        assert code == 0, result
    await asyncio.sleep(0.2)
    stop.set()
    await asyncio.gather(*loads)
    return here.received()


def test_no_request_is_routed_by_two_policies(tmp_path: Path) -> None:
    """Under load, whether the front or the back proxy is the first to activate a policy."""

    async def test() -> None:
        async with tiers(tmp_path) as here:
            await here.start()
            received = await changes_under_load(here, 8)
            assert {word for word, _ in received} == {f"{n}" for n in range(9)}
            assert not any(mixed for _, mixed in received), sum(mixed for _, mixed in received)

    run(test())


def test_without_policy_epoch_headers_some_requests_are_routed_by_two_policies(tmp_path: Path) -> None:
    """Shows that the test above can fail: policies change likewise, but no policy epoch is passed on."""

    async def test() -> None:
        async with tiers(tmp_path) as here:
            await here.start(pass_epochs=False)
            for word in range(1, 7):  # the two proxies activate a policy some milliseconds apart
                changing = asyncio.create_task(here.change_policy(f"{word}"))
                number = 0
                while not changing.done():
                    number += 1
                    await here.send(here.front, 10_000 * word + number)
                assert changing.result()[0] == 0
                if any(mixed for _, mixed in here.received()):
                    return
            mixed_reply = await here.send(here.back, 9_999, X_Word="other")
            assert mixed_reply.code == 200 and here.received() == [("other", True)]

    run(test())


def test_requests_of_an_unavailable_policy_epoch_are_rejected_as_not_executed(tmp_path: Path) -> None:
    async def test() -> None:
        async with tiers(tmp_path) as here:
            await here.start()
            _, first = await here.change_policy("1")
            _, second = await here.change_policy("2")
            old, new = f"1-{first['digest']}", f"2-{second['digest']}"
            reply = await here.send(here.back, 1, X_Policy_Epoch=old, X_Word="1")  # retained for hold_s = 1 s
            assert reply.code == 200 and here.received() == [("1", False)] and here.epochs == [old]
            for number, epoch in enumerate(("3-abc", f"2-{first['digest']}", "1-abc")):
                reply = await here.send(here.back, 10 + number, X_Policy_Epoch=epoch, X_Word="2")
                assert (reply.code, reply.headers.get("x-rejected")) == (503, "1"), epoch
                assert reply.headers["retry-after"] == "1"
            await asyncio.sleep(1.1)  # longer than hold_s, so that the old table is retired
            reply = await here.send(here.back, 20, X_Policy_Epoch=old, X_Word="1")
            assert (reply.code, reply.headers.get("x-rejected")) == (503, "1")
            assert b"retired" in reply.body
            assert (await here.send(here.back, 21, X_Policy_Epoch="rubbish")).code == 400
            caller = await here.back.caller()
            twice = f"{HEADER_NAME}: {new}\r\n" * 2
            head = f"GET /stock HTTP/1.1\r\nHost: x\r\nX-Call-Id: {30:016d}\r\nX-Budget: 900m\r\n{twice}\r\n"
            assert (await caller.raw(head.encode())).code == 400
            assert here.received() == []
            # The front proxy trusts no source: it replaces a policy epoch that a client sends by its own.
            reply = await here.send(here.front, 40, X_Policy_Epoch=old)
            assert reply.code == 200 and here.received() == [("2", False)] and here.epochs == [new]

    run(test())


def test_a_proxy_that_misses_the_commit_routes_by_the_policy_that_it_voted_for(tmp_path: Path) -> None:
    """The back proxy has voted for a policy, but the commit does not reach it.

    It routes requests that carry the new policy epoch by the new policy, and others by the old one.
    """

    async def test() -> None:
        async with tiers(tmp_path) as here:
            here.ttl = 30
            front, back = [await here.stack.enter_async_context(Link(here.at.endpoints[0])) for _ in range(2)]
            here.store_endpoints = {"front": [front.address], "back": [back.address]}
            await here.start()
            front.there.hold()  # delays the front proxy's vote, and so the decision
            changing = asyncio.create_task(here.change_policy("1"))
            await here.status(
                lambda status: status["change"]
                and any(
                    vote["member"] == "back" and vote["vote"] == "yes" for vote in status["change"]["votes"]
                )
            )
            back.back.hold()
            front.heal()
            code, result = await changing
            assert code == 0, result
            end = asyncio.get_running_loop().time() + PATIENCE
            number = 0
            while ("1", False) not in (received := here.received()):
                assert not any(mixed for _, mixed in received)
                assert asyncio.get_running_loop().time() < end, received
                number += 1
                await here.send(here.front, number)
            reply = await here.send(here.back, 90, X_Word="0")
            assert reply.code == 200 and here.received() == [("0", False)]
            back.heal()

    run(test())


def test_a_capture_records_the_policy_epoch_of_each_request_and_replays(tmp_path: Path) -> None:
    async def test() -> None:
        async with tiers(tmp_path) as here:
            captures = tmp_path / "captures"
            captures.mkdir()
            block = f'}}\ncapture {{\n  dir = "{captures}"\n'  # ends the block `policy` and starts `capture`
            await here.start(more=block)
            _, first = await here.change_policy("1")
            await here.change_policy("2")
            for number in range(6):
                epoch = f"1-{first['digest']}" if number % 2 else ""
                headers = {"X_Policy_Epoch": epoch} if epoch else {}
                await here.send(here.back, number, X_Word="1" if epoch else "2", **headers)
            assert here.received() == [("2", False), ("1", False)] * 3
            here.back.terminate()
            assert await here.back.code() == 0
            (file,) = captures.iterdir()
            text = file.read_text(encoding="utf-8")
            epochs = [line.split('"epoch":')[1][0] for line in text.splitlines() if '"kind":"req"' in line]
            assert epochs == ["2", "1"] * 3
            assert replay.replay(str(file)) == 0
            file.write_text(text.replace('"route":{"epoch":1', '"route":{"epoch":2'), encoding="utf-8")
            with pytest.raises(replay.CaptureError, match="has epoch 1, not 2"):
                replay.replay(str(file))

    run(test())
