"""Metrics (`figures`): both formats, the size limits, and the program with targets that cannot be written."""

from __future__ import annotations

import asyncio
import re
import shutil
import signal
import socket
import threading
import time
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import pytest
from support.balancing import settings as balancer_settings
from support.loopback import PATIENCE, Backend, Caller, proxy, run, start_program

from gladegw import Tenant
from gladegw.net import features
from gladegw.net.background_writer import BackgroundWriter
from gladegw.net.interfaces import RequestInfo
from gladegw.net.metrics import (
    MAX_DATAGRAM_BYTES,
    LineFormat,
    Metrics,
    MetricsSettings,
    StatsD,
    pack_datagrams,
)

TENANTS = [{"name": "coastal-cabs", "quota_rps": 100.0, "portion": 0.5}]


def make_metrics(tmp_path: Path, **changes: Any) -> Metrics:
    settings = MetricsSettings(sink="none", file=str(tmp_path / "figures"), **changes)
    return Metrics(settings, balancer_settings(tenants=[Tenant("coastal-cabs", 1.0)]))


def request_info(cls: str = "safe", tenant: str = "coastal-cabs", ago: float = 0.412) -> RequestInfo:
    return RequestInfo("9b1f03aa5c7e2d41", cls, tenant, time.monotonic() - ago)


def test_a_request_is_counted_once_and_its_gauge_returns_to_0(tmp_path: Path) -> None:
    metrics = make_metrics(tmp_path)
    request = request_info()
    metrics.on_start(request)
    metrics.flush()
    metrics.on_end(request, 200)
    metrics.flush()
    metrics.flush()
    metrics.close(PATIENCE)
    tags = "class:safe,tenant:coastal-cabs"
    lines = (tmp_path / "figures").read_text().splitlines()
    assert lines[0] == f"gladegw.inflight:1|g|#{tags}"
    assert re.fullmatch(rf"gladegw\.request\.ms:41\d\|ms\|#{tags},code:200", lines[1])
    assert lines[2:] == [
        f"gladegw.requests:1|c|#{tags},code:200",
        f"gladegw.answers:1|c|#{tags},code:200",
        f"gladegw.inflight:0|g|#{tags}",
    ]


def test_a_client_that_disconnects_counts_as_a_request_without_a_response(tmp_path: Path) -> None:
    metrics = make_metrics(tmp_path)
    request = request_info()
    metrics.on_start(request)
    metrics.on_end(request, None)
    metrics.close(PATIENCE)
    text = (tmp_path / "figures").read_text()
    assert "gladegw.requests:1|c|#class:safe,tenant:coastal-cabs,code:none" in text
    assert "answers" not in text


def test_unknown_classes_and_tenants_share_one_tag(tmp_path: Path) -> None:
    metrics = make_metrics(tmp_path)
    for number in range(1000):
        request = request_info(f"c{number}|x", f"t{number}\n#")
        metrics.on_start(request)
        metrics.on_end(request, 404)
    assert len(metrics.inflight) == len(metrics.request_counts) == len(metrics.encoded_tags) == 1
    metrics.close(PATIENCE)
    assert "class:other,tenant:other,code:404" in (tmp_path / "figures").read_text()


def test_both_formats_encode_as_documented() -> None:
    tags = (("class", "book-slot"), ("tenant", "own-app"), ("code", "200"))
    statsd, line = StatsD(), LineFormat()
    assert statsd.timer("request", 412, statsd.tags(tags)) == (
        b"gladegw.request.ms:412|ms|#class:book-slot,tenant:own-app,code:200\n"
    )
    first = line.timer("request", 3120, line.tags(tags)).decode()
    assert re.fullmatch(r"gladegw_request,class=book-slot,tenant=own-app,code=200 ms=3120i 1\d{18}\n", first)
    second = line.timer("request", 3120, line.tags(tags)).decode()
    assert int(second.split()[-1]) > int(first.split()[-1])  # InfluxDB would merge points with equal times
    assert line.count("figures.dropped", 3, "").startswith(b"gladegw_figures_dropped count=3i ")
    assert line.tags((("tenant", "a b,c=d\ne"),)) == "tenant=a\\ b\\,c\\=d_e"
    assert statsd.tags((("tenant", "a|b,c#d:e f"),)) == "tenant:a_b_c_d_e_f"


def test_datagrams_contain_complete_lines_within_the_size_limit() -> None:
    lines = [b"x" * (number % 90) + b"\n" for number in range(400)]
    packed = list(pack_datagrams(lines))
    assert [line for datagram in packed for line in datagram] == lines
    assert max(sum(map(len, datagram)) for datagram in packed) <= MAX_DATAGRAM_BYTES
    assert len(packed) < 20


def test_a_full_buffer_drops_its_oldest_lines_and_the_writer_continues() -> None:
    may_write, writing = threading.Event(), threading.Event()
    written: list[bytes] = []

    def write(lines: Sequence[bytes]) -> int:
        writing.set()
        may_write.wait(PATIENCE)
        written.extend(lines)
        return 0

    writer = BackgroundWriter(write, max_bytes=40, name="test")
    writer.put([b"first....\n"])
    assert writing.wait(PATIENCE)
    writer.put([b"line %04d\n" % number for number in range(9)])  # returns while the write is blocked
    assert writer.take_dropped() == 6  # lines being written count towards the limit
    may_write.set()
    writer.close(PATIENCE)
    assert written == [b"first....\n", b"line 0006\n", b"line 0007\n", b"line 0008\n"]


def test_a_full_timer_buffer_counts_the_dropped_lines(tmp_path: Path) -> None:
    metrics = make_metrics(tmp_path, buffer_kb=4)
    for _ in range(200):
        request = request_info()
        metrics.on_start(request)
        metrics.on_end(request, 200)
    retained = len(metrics.timer_lines)
    assert 0 < retained < 200 and metrics.dropped == 200 - retained
    metrics.close(PATIENCE)


async def read_value(node: Any, *parts: str) -> int:
    return int((await node.line(*parts)).split("|")[0].rpartition(":")[2])


def test_requests_are_served_while_the_file_cannot_be_written(tmp_path: Path) -> None:
    """The operators' check: with the file's folder deleted, requests and standard error still work."""

    async def test() -> None:
        folder = tmp_path / "figures"
        folder.mkdir()
        text = f'figures {{\n  flush_ms = 50\n  file = "{folder}/out.statsd"\n}}\n'
        async with proxy({"s-1": Backend()}, features=text, tenants=TENANTS) as node:
            caller = await node.caller()
            for number in range(3):
                reply = await caller.call("stock", f"{number:016x}", X_Caller="coastal-cabs")
                assert reply.code == 200
            await node.line("gladegw.request.ms:", "|ms|#class:stock,tenant:coastal-cabs,code:200")
            async with asyncio.timeout(PATIENCE):
                out = folder / "out.statsd"
                while not out.exists() or "gladegw.answers" not in out.read_text():
                    await asyncio.sleep(0.01)
            shutil.rmtree(folder)
            for number in range(3, 6):
                assert (await caller.call("stock", f"{number:016x}", X_Caller="nobody")).code == 200
                await node.line("code:200", "tenant:other")
                assert await read_value(node, "gladegw.figures.dropped:") > 0
            folder.mkdir()
            assert (await caller.call("stock", "f" * 16)).code == 200
            await node.line("figures: target file accepts lines again")
            assert (folder / "out.statsd").exists()

    run(test())


def test_every_response_counts_once_and_the_gauge_ends_at_0() -> None:
    async def test() -> None:
        async with proxy({"s-1": Backend()}, features="figures {\n  flush_ms = 50\n}\n") as node:
            caller = await node.caller()
            assert (await caller.call("stock", "a" * 16)).code == 200
            assert (await caller.call("no-such-class", "b" * 16)).code == 404
            assert (await (await node.caller()).raw(b"\x00 not HTTP\r\n\r\n")).code == 400
            disconnected = await node.caller()
            disconnected.writer.write(b"GET /stock HTTP/1.1\r\nX-Call-Id: c\r\n")  # an incomplete head
            disconnected.writer.close()
            node.terminate()
            assert await node.code() == 0
            assert node.process.stderr is not None
            text = (await node.process.stderr.read()).decode()
        counts: dict[str, int] = {}
        gauges: dict[str, int] = {}
        for name, value, kind, tags in re.findall(r"gladegw\.(\w+):(\d+)\|(c|g)\|#(\S+)", text):
            if kind == "c":
                counts[f"{name} {tags}"] = counts.get(f"{name} {tags}", 0) + int(value)
            else:
                gauges[tags] = int(value)
        expected = {
            "class:stock,tenant:other,code:200": 1,
            "class:other,tenant:other,code:404": 1,
            "class:other,tenant:other,code:400": 1,
        }
        by_request = {f"{n} {tags}": c for tags, c in expected.items() for n in ("requests", "answers")}
        assert counts == {**by_request, "attempts status:ok": 1, "sends list:current": 1}
        assert gauges and set(gauges.values()) == {0}

    run(test())


def test_a_pipe_that_is_not_read_does_not_block_requests() -> None:
    async def test() -> None:
        text = "figures {\n  flush_ms = 10\n  buffer_kb = 4\n}\n"
        async with proxy({"s-1": Backend()}, features=text) as node:
            transport: Any = node.process._transport  # type: ignore[attr-defined]
            transport.get_pipe_transport(2).pause_reading()
            caller = await node.caller()
            for number in range(1200):  # fill the pipe more than three times
                reply = await caller.call("stock", f"{number:016x}", budget="5000m")
                assert reply.code == 200
            transport.get_pipe_transport(2).resume_reading()
            assert await read_value(node, "gladegw.figures.dropped:") > 0

    run(test())


@pytest.mark.parametrize("form", ["statsd", "line"])
def test_a_udp_target_receives_the_metrics(form: str) -> None:
    async def test() -> None:
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as target:
            target.bind(("127.0.0.1", 0))
            target.settimeout(PATIENCE)
            port = target.getsockname()[1]
            text = f'figures {{\n  udp = "127.0.0.1:{port}"\n  flush_ms = 20\n  format = "{form}"\n}}\n'
            async with proxy({"s-1": Backend()}, features=text) as node:
                assert (await (await node.caller()).call("stock", "a" * 16)).code == 200
                datagram = await asyncio.to_thread(target.recv, 65536)
                await node.line("inflight", "class")
        assert (
            datagram.startswith(b"gladegw")
            and datagram.endswith(b"\n")
            and len(datagram) <= MAX_DATAGRAM_BYTES
        )

    run(test())


@pytest.mark.parametrize(
    "text",
    [
        'figures { format = "line", flush_ms = 500, file = "a,{b}" }\ncapture {}  # none, yet\n',
        'figures {\n  format = "line"\n  flush_ms = 500\n  file = "a,{b}"\n}\ncapture {\n}\n',
    ],
)
def test_settings_are_separated_by_newlines_or_commas(text: str, tmp_path: Path) -> None:
    file = tmp_path / "malabar.hcl"
    file.write_text(text)
    settings = features.read(str(file))
    assert settings.figures == MetricsSettings(format="line", flush_ms=500, file="a,{b}")
    assert settings.capture is not None and settings.tls is None and settings.addresses is None


def test_commas_within_a_list_do_not_separate_settings(tmp_path: Path) -> None:
    file = tmp_path / "malabar.hcl"
    file.write_text('addresses { deny = ["198.51.100.0/24", "2001:db8::/32"], proxy_protocol = "any" }')
    settings = features.read(str(file)).addresses
    assert settings is not None and settings.deny == ("198.51.100.0/24", "2001:db8::/32")
    assert settings.proxy_protocol == "any"


INVALID_SETTINGS = {
    "unknown block figure": "figure {\n}\n",
    "unknown setting speed": "figures {\n  speed = 1\n}\n",
    "flush_ms must be a whole number": 'figures {\n  flush_ms = "soon"\n}\n',
    "buffer_kb must be a whole number": "figures {\n  buffer_kb = true\n}\n",
    "sink must be a text": "figures {\n  sink = 2\n}\n",
    "format must be statsd or line": 'figures {\n  format = "xml"\n}\n',
    "flush_ms must be 10 to 600000": "figures {\n  flush_ms = 0\n}\n",
    "not an address": 'figures {\n  udp = "localhost"\n}\n',
    "more than one block figures": "figures {\n}\nfigures {\n}\n",
    "figures is no block": 'figures "x" {\n}\n',
    "not HCL": "figures {\n",
    "must be a text": 'figures {\n  file = "${x}"\n}\n',
}


@pytest.mark.parametrize("fault", INVALID_SETTINGS)
def test_an_invalid_settings_file_prints_one_line_and_exits_with_2(fault: str, tmp_path: Path) -> None:
    async def test() -> None:
        file = tmp_path / "malabar.hcl"
        file.write_text(INVALID_SETTINGS[fault])
        process = await start_program({}, str(tmp_path), "-f", str(file))
        _, stderr = await process.communicate()
        assert process.returncode == 2
        assert stderr.count(b"\n") == 1 and fault in stderr.decode()

    run(test())


def test_a_missing_settings_file_prints_one_line_and_exits_with_2(tmp_path: Path) -> None:
    async def test() -> None:
        process = await start_program({}, str(tmp_path), "-f", str(tmp_path / "none.hcl"))
        _, stderr = await process.communicate()
        assert process.returncode == 2
        assert stderr.count(b"\n") == 1 and b"No such file" in stderr

    run(test())


def test_without_a_settings_file_standard_error_is_empty() -> None:
    async def test() -> None:
        async with proxy({"s-1": Backend()}) as node:
            caller: Caller = await node.caller()
            assert (await caller.call("stock", "a" * 16)).code == 200
            node.process.send_signal(signal.SIGTERM)
            assert await node.code() == 0
            assert node.process.stderr is not None
            assert await node.process.stderr.read() == b""

    run(test())


def test_the_memory_of_the_process_and_what_it_holds_are_told() -> None:
    """Guards against a process killed for memory whose log tells nothing of it (report 9346bc)."""

    async def test() -> None:
        async with proxy({"s-1": Backend()}, features="figures { flush_ms = 50 }\n", memory_mb=64) as node:
            caller = await node.caller()
            caller.writer.write(b"POST /canje HTTP/1.1\r\nHost: x\r\nX-Call-Id: 1\r\nX-Budget: 4000m\r\n")
            caller.writer.write(b"Content-Length: 60000\r\n\r\n" + b"y" * 50_000)
            await node.line("memory: ready to serve", f"limit_bytes={64 << 20}")
            held = 0
            while held < 50_000:
                line = await node.line("gladegw.memory.held_bytes", "kind:incomplete_requests")
                held = int(line.split("|")[0].rpartition(":")[2])
            assert held < 100_000
            resident = int(
                (await node.line("gladegw.memory.resident_bytes")).split("|")[0].rpartition(":")[2]
            )
            assert abs(resident - node.memory_bytes()) < 2_000_000

    run(test())
