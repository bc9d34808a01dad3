"""The test rig's store, used by third-party etcd clients, each in a process of its own."""

from __future__ import annotations

import asyncio
import subprocess
import sys

import pytest
from support.fleet import store
from support.loopback import run

AETCD_SCRIPT = """
import asyncio, sys, aetcd
async def main(port):
    async with aetcd.Client(host="127.0.0.1", port=port) as client:
        await client.put(b"/a", b"1")
        got = await client.get(b"/a")
        assert got.value == b"1", got
        watch = await client.watch(b"/w")
        lease = await client.lease(5)
        await client.put(b"/w", b"x", lease=lease)
        async for event in watch:
            break
        assert event.kv.key == b"/w" and event.kv.value == b"x"
        done, _ = await client.transaction(
            compare=[client.transactions.value(b"/a") == b"1"],
            success=[client.transactions.put(b"/a", b"2")], failure=[])
        assert done
        assert (await client.get(b"/a")).value == b"2"
        await lease.refresh()
        await lease.revoke()
        assert await client.get(b"/w") is None
        await client.compact(got.mod_revision)
        print("ok")
asyncio.run(main(int(sys.argv[1])))
"""

ETCD_SDK_SCRIPT = """
import sys, pyetcd
client = pyetcd.client(host="127.0.0.1", port=int(sys.argv[1]))
client.put("/a", "1")
value, meta = client.get("/a")
assert value == b"1", value
events, cancel = client.watch("/w")
lease = client.lease(5)
client.put("/w", "x", lease=lease)
event = next(events)
assert event.key == b"/w" and event.value == b"x"
cancel()
done, _ = client.transaction(
    compare=[client.transactions.value("/a") == "1"],
    success=[client.transactions.put("/a", "2")], failure=[])
assert done and client.get("/a")[0] == b"2"
list(lease.refresh())
lease.revoke()
assert client.get("/w")[0] is None
client.compact(meta.mod_revision)
print("ok")
"""


@pytest.mark.parametrize("code", [AETCD_SCRIPT, ETCD_SDK_SCRIPT], ids=["aetcd", "etcd-sdk-python"])
def test_third_party_clients_work_with_the_store_of_the_rig(code: str) -> None:
    async def test() -> None:
        async with store(1) as cluster:
            port = cluster.endpoints[0].rpartition(":")[2]
            completed = await asyncio.to_thread(
                subprocess.run, (sys.executable, "-c", code, port), capture_output=True, text=True, timeout=30
            )
            assert completed.stdout == "ok\n", completed.stderr

    run(test())
