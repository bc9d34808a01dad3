"""One policy a request over two tiers of real proxies, and the shelf of tables that this rests on."""

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

STAMP = "X-Policy-Epoch"


@given(st.lists(st.tuples(st.sampled_from(["take", "prepare", "drop", "wait", "end"]), st.integers(1, 3))))
def test_a_request_is_decided_by_what_was_decided_or_agreed_to_alone(course: list[tuple[str, int]]) -> None:
    shelf, now, epoch = TableRetention(retention_s=3.0), 0.0, 0
    taken: dict[PolicyEpoch, float] = {}  # since when it is not in use
    agreed: PolicyEpoch | None = None
    for what, size in course:
        if what == "take":
            if shelf.in_use is not None:
                taken[shelf.in_use] = now
            epoch += size
            stamp = PolicyEpoch(epoch, f"{size}")
            shelf.activate(stamp, now)
            assert shelf.state_of(stamp, now) is TableState.IN_USE
            agreed = agreed if agreed is not None and agreed.epoch > epoch else None
        elif what == "prepare":
            agreed = PolicyEpoch(epoch + 1, f"{size}")
            shelf.on_prepared(agreed)
        elif what == "drop":
            agreed = None
            shelf.on_prepared(None)
        elif what == "wait":
            now += size
        else:
            gone = shelf.expire(now)
            assert not any(shelf.state_of(one, now) in USABLE_STATES for one in gone)
            assert len(shelf.retained) <= MAX_RETAINED_TABLES
        for number in range(epoch + 3):
            for digest in "123":
                asked = PolicyEpoch(number, digest)
                standing = shelf.state_of(asked, now)
                if asked == shelf.in_use:
                    assert standing is TableState.IN_USE
                elif standing is TableState.RETAINED:
                    assert now < taken[asked] + shelf.retention_s
                elif standing is TableState.PREPARED:
                    assert asked == agreed
                else:
                    assert standing is (
                        TableState.RETIRED if number <= epoch and epoch else TableState.UNKNOWN
                    )


@pytest.mark.parametrize(
    "text", [b"", b"7", b"-1-a", b"07-a", b"7-A", b"7-a b", b"7-" + b"a" * 65, b"1" * 13 + b"-"]
)
def test_a_malformed_stamp_is_no_stamp(text: bytes) -> None:
    with pytest.raises(ValueError, match="malformed"):
        parse_epoch(text)
    assert str(parse_epoch(b"12-0a")) == "12-0a"


def front(word: str) -> str:
    """Says by a header which policy decided."""
    return (
        'pool "back" {\n  names = ["*"]\n}\nroute "all" {\n  prefix = "/"\n  pool = "back"\n'
        f'  edit_headers {{\n    put = {{ "x-word" = "{word}" }}\n  }}\n}}\n'
    )


def back(word: str) -> str:
    """Marks what came by another policy than its own."""
    end = '{\n  prefix = "/"\n  pool = "node"\n'
    same = f'route "same" {end}  header "x-word" {{\n    is = "{word}"\n  }}\n}}\n'
    other = f'route "other" {end}  edit_headers {{\n    put = {{ "x-mixed" = "1" }}\n  }}\n}}\n'
    return 'pool "node" {\n  names = ["*"]\n}\n' + same + other


class Tiers(Site):
    """A front proxy whose one backend calls on through another proxy, as an application does: with the
    headers that it got."""

    node: Backend
    back: Proxy
    front: Proxy
    ways: dict[str, list[str]]  # to the store, by tier
    stamps: list[str]  # of what was seen last

    def settings_of(self, tier: str, more: str) -> str:
        file = self.folder / f"{tier}.routes.hcl"
        file.write_text({"front": front, "back": back}[tier]("0"), encoding="utf-8")
        block = self.at.block(self.ways.get(tier), ttl_s=self.ttl)
        return f'{block}routes {{\n  file = "{file}"\n}}\npolicy {{\n  deadline_s = 10\n{more}}}\n'

    async def begin(self, stamps: bool = True, more: str = "") -> None:
        """The front is there first, so it is the one that decides."""
        self.node = await Backend().start()
        passes = '  stamp_pools = ["back"]\n' if stamps else ""
        self.front = await self._tier("front", {"b-1": Backend(self._call_on)}, passes)
        await self.at.duties(lambda now: now.get("policy", ("",))[0] == "front")
        trusts = '  stamp_from = ["127.0.0.1"]\n  stamp_pools = ["no*"]\n  hold_s = 1\n' if stamps else ""
        self.back = await self._tier("back", {"s-1": self.node}, trusts + more)

    async def _call_on(self, seen: Seen, writer: asyncio.StreamWriter) -> None:
        headers = {name: seen.headers[name] for name in ("x-word", STAMP.lower()) if name in seen.headers}
        told = await self.ask(self.back, int(seen.headers["x-call-id"]), **headers)
        more = {"X_Rejected": "1"} if "x-rejected" in told.headers else {}
        writer.write(response(told.code, told.body, **more))

    async def _tier(self, tier: str, backends: dict[str, Backend], more: str) -> Proxy:
        from support.loopback import proxy

        made = proxy(backends, features=self.settings_of(tier, more), name=tier)
        return await self.stack.enter_async_context(made)

    async def change(self, word: str) -> tuple[int, dict[str, str]]:
        folder = self.folder / f"bundle-{word}"
        folder.mkdir()
        (folder / "front.routes.hcl").write_text(front(word), encoding="utf-8")
        (folder / "back.routes.hcl").write_text(back(word), encoding="utf-8")
        return await self.tool("propose", str(folder), "--wait")

    async def ask(self, node: Proxy, id: int, **headers: str) -> Answer:
        caller = await node.caller()
        try:
            return await caller.call("stock", f"{id:016d}", "1000m", b"", **headers)
        finally:
            caller.writer.close()

    def seen(self) -> list[tuple[str, bool]]:
        found = []
        self.stamps = []
        while not self.node.calls.empty():
            headers = self.node.calls.get_nowait().headers
            found.append((headers.get("x-word", ""), "x-mixed" in headers))
            self.stamps.append(headers.get(STAMP.lower(), ""))
        return found


@contextlib.asynccontextmanager
async def tiers(folder: Path) -> AsyncIterator[Tiers]:
    async with store(1) as at, contextlib.AsyncExitStack() as stack:
        here = Tiers(at, folder, stack, "serve", 2)
        here.settings.write_text(here.block(10), encoding="utf-8")
        here.ways = {}
        yield here


async def changes_under_load(here: Tiers, changes: int) -> list[tuple[str, bool]]:
    """Requests flow all the while; what the node saw, with the words of the answers that were refused."""
    number, over = 0, asyncio.Event()

    async def load(first: int) -> None:
        nonlocal number
        caller = await here.front.caller()
        while not over.is_set():
            number += 1
            told = await caller.call("stock", f"{first + number:016d}")
            assert told.code in (200, 503), (told.code, told.body)  # the one backend may seem slow
        caller.writer.close()

    loads = [asyncio.create_task(load(1_000_000 * (n + 1))) for n in range(4)]
    for word in range(1, changes + 1):
        code, told = await here.change(f"{word}")
        assert code == 0, told
    await asyncio.sleep(0.2)
    over.set()
    await asyncio.gather(*loads)
    return here.seen()


def test_no_request_is_decided_by_two_policies(tmp_path: Path) -> None:
    """Under load, while the front goes over before the back and after it."""

    async def test() -> None:
        async with tiers(tmp_path) as here:
            await here.begin()
            seen = await changes_under_load(here, 8)
            assert {word for word, _ in seen} == {f"{n}" for n in range(9)}
            assert not any(mixed for _, mixed in seen), sum(mixed for _, mixed in seen)

    run(test())


def test_without_stamps_some_are(tmp_path: Path) -> None:
    """What the test above would see: the same course, and nothing is passed on."""

    async def test() -> None:
        async with tiers(tmp_path) as here:
            await here.begin(stamps=False)
            for word in range(1, 7):  # the moment between both is some milliseconds
                changing = asyncio.create_task(here.change(f"{word}"))
                number = 0
                while not changing.done():
                    number += 1
                    await here.ask(here.front, 10_000 * word + number)
                assert changing.result()[0] == 0
                if any(mixed for _, mixed in here.seen()):
                    return
            wrong = await here.ask(here.back, 9_999, X_Word="other")
            assert wrong.code == 200 and here.seen() == [("other", True)]

    run(test())


def test_stamps_that_name_what_is_not_here_are_refused_as_never_run(tmp_path: Path) -> None:
    async def test() -> None:
        async with tiers(tmp_path) as here:
            await here.begin()
            _, first = await here.change("1")
            _, second = await here.change("2")
            old, new = f"1-{first['digest']}", f"2-{second['digest']}"
            told = await here.ask(here.back, 1, X_Policy_Epoch=old, X_Word="1")  # held for a second
            assert told.code == 200 and here.seen() == [("1", False)] and here.stamps == [old]
            for number, stamp in enumerate(("3-abc", f"2-{first['digest']}", "1-abc")):
                told = await here.ask(here.back, 10 + number, X_Policy_Epoch=stamp, X_Word="2")
                assert (told.code, told.headers.get("x-rejected")) == (503, "1"), stamp
                assert told.headers["retry-after"] == "1"
            await asyncio.sleep(1.1)  # hold_s is over: that is the condition
            told = await here.ask(here.back, 20, X_Policy_Epoch=old, X_Word="1")
            assert (told.code, told.headers.get("x-rejected")) == (503, "1")
            assert b"retired" in told.body
            assert (await here.ask(here.back, 21, X_Policy_Epoch="rubbish")).code == 400
            caller = await here.back.caller()
            twice = f"{STAMP}: {new}\r\n" * 2
            head = f"GET /stock HTTP/1.1\r\nHost: x\r\nX-Call-Id: {30:016d}\r\nX-Budget: 900m\r\n{twice}\r\n"
            assert (await caller.raw(head.encode())).code == 400
            assert here.seen() == []
            # the front trusts nobody: what callers forge is dropped, and its own is put in its place
            told = await here.ask(here.front, 40, X_Policy_Epoch=old)
            assert told.code == 200 and here.seen() == [("2", False)] and here.stamps == [new]

    run(test())


def test_one_that_has_not_heard_decides_by_what_it_agreed_to(tmp_path: Path) -> None:
    """The back's vote is there, and what became of the change does not reach it: it answers what others begin
    by the new policy by the new, and what it begins itself by the old."""

    async def test() -> None:
        async with tiers(tmp_path) as here:
            here.ttl = 30
            front, back = [await here.stack.enter_async_context(Link(here.at.endpoints[0])) for _ in range(2)]
            here.ways = {"front": [front.address], "back": [back.address]}
            await here.begin()
            front.there.hold()  # its vote, so that nothing is decided
            changing = asyncio.create_task(here.change("1"))
            await here.status(
                lambda found: found["change"]
                and any(
                    vote["member"] == "back" and vote["vote"] == "yes" for vote in found["change"]["votes"]
                )
            )
            back.back.hold()
            front.heal()
            code, told = await changing
            assert code == 0, told
            end = asyncio.get_running_loop().time() + PATIENCE
            number = 0
            while ("1", False) not in (seen := here.seen()):
                assert not any(mixed for _, mixed in seen)
                assert asyncio.get_running_loop().time() < end, seen
                number += 1
                await here.ask(here.front, number)
            own = await here.ask(here.back, 90, X_Word="0")
            assert own.code == 200 and here.seen() == [("0", False)]
            back.heal()

    run(test())


def test_a_capture_says_which_epoch_decided_and_replays(tmp_path: Path) -> None:
    async def test() -> None:
        async with tiers(tmp_path) as here:
            kept = tmp_path / "captures"
            kept.mkdir()
            block = f'}}\ncapture {{\n  dir = "{kept}"\n'  # behind the block policy
            await here.begin(more=block)
            _, first = await here.change("1")
            await here.change("2")
            for number in range(6):
                stamp = f"1-{first['digest']}" if number % 2 else ""
                headers = {"X_Policy_Epoch": stamp} if stamp else {}
                await here.ask(here.back, number, X_Word="1" if stamp else "2", **headers)
            assert here.seen() == [("2", False), ("1", False)] * 3
            here.back.terminate()
            assert await here.back.code() == 0
            (file,) = kept.iterdir()
            text = file.read_text(encoding="utf-8")
            epochs = [line.split('"epoch":')[1][0] for line in text.splitlines() if '"kind":"req"' in line]
            assert epochs == ["2", "1"] * 3
            assert replay.replay(str(file)) == 0
            file.write_text(text.replace('"route":{"epoch":1', '"route":{"epoch":2'), encoding="utf-8")
            with pytest.raises(replay.CaptureError, match="of epoch 1, not 2"):
                replay.replay(str(file))

    run(test())
