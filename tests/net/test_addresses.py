"""Identification of clients by the PROXY protocol, and the allow and deny lists."""

from __future__ import annotations

import asyncio
import ipaddress
import socket
import ssl
import struct
import time
from pathlib import Path
from typing import Any

import pytest
from support.certificates import Authority
from support.loopback import PATIENCE, Backend, Caller, Proxy, free_port, proxy, run

from gladegw.net.addresses import (
    MAX_HEADER_BYTES,
    MAX_V1_HEADER_BYTES,
    V2_SIGNATURE,
    Addresses,
    AddressSettings,
    header_size,
    read_header,
)

V1_HEADER = b"PROXY TCP4 203.0.113.7 127.0.0.1 51022 8081\r\n"
BOTH_VERSIONS = (1, 2)


def v2_header(source: str, port: int, command: int = 1, extra: bytes = b"") -> bytes:
    ip = ipaddress.ip_address(source)
    kind, other = (0x11, b"\x7f\0\0\1") if ip.version == 4 else (0x21, b"\0" * 15 + b"\1")
    body = ip.packed + other + struct.pack("!HH", port, 8081) + extra
    return V2_SIGNATURE + bytes([0x20 | command, kind]) + struct.pack("!H", len(body)) + body


def read(data: bytes, versions: tuple[int, ...] = BOTH_VERSIONS) -> tuple[str, int] | None:
    size = header_size(data, versions)
    assert size is not None
    found = read_header(data[:size])
    return None if found is None else (str(found[0]), found[1])


@pytest.mark.parametrize(
    ("data", "wanted"),
    [
        (V1_HEADER, ("203.0.113.7", 51022)),
        (b"PROXY TCP6 2001:db8::7 ::1 51022 8081\r\n", ("2001:db8::7", 51022)),
        (b"PROXY UNKNOWN\r\n", None),
        (b"PROXY UNKNOWN ffff:f::1 whatever 1 2\r\n", None),
        (v2_header("203.0.113.7", 51022), ("203.0.113.7", 51022)),
        (v2_header("2001:db8::7", 51022, extra=b"\x04\0\x01x"), ("2001:db8::7", 51022)),
        (v2_header("203.0.113.7", 51022, command=0), None),
        (V2_SIGNATURE + b"\x21\x00\0\0", None),
        (V2_SIGNATURE + b"\x21\x31\0\x03abc", None),
    ],
)
def test_a_header_gives_the_client_address(data: bytes, wanted: Any) -> None:
    assert read(data) == wanted
    assert read(data + b"GET / HTTP/1.1\r\n\r\n") == wanted
    assert all(header_size(data[:size], BOTH_VERSIONS) is None for size in range(1, len(data)))


@pytest.mark.parametrize(
    "data",
    [
        b"GET /stock HTTP/1.1\r\n",
        b"PROXX",
        b"PROXY TCP4 203.0.113.7 127.0.0.1 51022\r\n",
        b"PROXY TCP4 2001:db8::7 ::1 51022 8081\r\n",
        b"PROXY TCP4 203.0.113.7 127.0.0.1 051022 8081\r\n",
        b"PROXY TCP4 203.0.113.7 127.0.0.1 65536 8081\r\n",
        b"PROXY  TCP4 1.1.1.1 1.1.1.1 1 1\r\n",
        b"PROXY TCP4 203.0.113.7 127.0.0.1 5\xb2 8081\r\n",
        b"PROXY UDP4 1.1.1.1 1.1.1.1 1 1\r\n",
        b"PROXY \r\n",
        b"PROXY TCP4 " + b"1" * MAX_V1_HEADER_BYTES,
        V2_SIGNATURE + b"\x31\x11\0\x0c" + b"\0" * 12,
        V2_SIGNATURE + b"\x22\x11\0\x0c" + b"\0" * 12,
        V2_SIGNATURE + b"\x21\x11\0\x04" + b"\0" * 4,
        V2_SIGNATURE + b"\x21\x11" + struct.pack("!H", MAX_HEADER_BYTES),
    ],
)
def test_malformed_headers_are_rejected(data: bytes) -> None:
    with pytest.raises(ValueError):
        read(data)


def test_a_header_of_a_disabled_version_is_rejected() -> None:
    for data, versions in ((V1_HEADER, (2,)), (v2_header("203.0.113.7", 1), (1,))):
        with pytest.raises(ValueError):
            header_size(data, versions)


@pytest.mark.parametrize(
    ("allow", "deny", "ip", "denied"),
    [
        ([], [], "203.0.113.7", False),
        ([], ["198.51.100.0/24"], "198.51.100.9", True),
        ([], ["198.51.100.0/24"], "198.51.101.9", False),
        ([], ["2001:db8:bad::/48"], "2001:db8:bad::1", True),
        (["203.0.113.0/24"], [], "203.0.113.7", False),
        (["203.0.113.0/24"], [], "198.51.100.9", True),
        (["203.0.113.0/24"], ["203.0.113.0/24"], "203.0.113.7", True),
        (["0.0.0.0/0"], [], "::ffff:203.0.113.7", False),
        ([], ["203.0.113.7"], "::ffff:203.0.113.7", True),
        ([], ["::ffff:203.0.113.0/120"], "203.0.113.7", True),
        ([], ["::/0"], "203.0.113.7", False),
    ],
)
def test_allow_and_deny_lists(allow: list[str], deny: list[str], ip: str, denied: bool) -> None:
    lists = Addresses(AddressSettings(allow=tuple(allow), deny=tuple(deny)))
    assert lists.denied(ipaddress.ip_address(ip)) is denied


@pytest.mark.parametrize(
    "wrong",
    [
        {"allow": ("10.0.0.1/8",)},
        {"deny": ("x",)},
        {"trusted_fronts": ("1.2.3.4/33",)},
        {"proxy_protocol": "v3"},
    ],
)
def test_invalid_settings_are_rejected(wrong: dict[str, Any]) -> None:
    with pytest.raises(ValueError):
        AddressSettings(**wrong)


def features(version: str = "any", fronts: str = '"127.0.0.1/32"', deny: str = "") -> str:
    lists = f"  trusted_fronts = [{fronts}]\n  deny = [{deny}]\n"
    return f'addresses {{\n  proxy_protocol = "{version}"\n{lists}}}\n'


async def connect_as_front(node: Proxy, header: bytes, pieces: int = 1) -> Caller:
    """Open a connection as a front and send the PROXY header in the given number of pieces."""
    caller = await node.caller()
    caller.writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    step = -(-len(header) // pieces)
    for place in range(0, len(header), step):
        caller.writer.write(header[place : place + step])
        if pieces > 1:
            await asyncio.sleep(0.02)
    return caller


def behind_front(backend: Backend, text: str) -> Any:
    """A proxy that trusts the test as a front; its readiness check has to send a PROXY header too."""
    return proxy({"s-1": backend}, features=text, greeting=b"PROXY UNKNOWN\r\n")


def test_the_client_named_by_a_trusted_front_is_logged() -> None:
    """This is what operators check after enabling the PROXY protocol."""

    async def test() -> None:
        async with behind_front(Backend(), features("v1")) as node:
            caller = await connect_as_front(node, V1_HEADER)
            assert (await caller.call("stock", "a" * 16)).code == 200
            line = await node.line("client=203.0.113.7:51022")
            assert "via=127.0.0.1 " in line and 'id="aaaaaaaaaaaaaaaa"' in line and "code=200" in line
            # The header applies to the whole connection.
            assert (await caller.call("stock", "b" * 16)).code == 200
            await node.line("client=203.0.113.7:51022", '"bbbbbbbbbbbbbbbb"')

    run(test())


@pytest.mark.parametrize("pieces", [1, 3, 50])
@pytest.mark.parametrize("header", [V1_HEADER, v2_header("2001:db8::7", 51022), b"PROXY UNKNOWN\r\n"])
def test_a_header_is_read_in_pieces_and_together_with_a_request(header: bytes, pieces: int) -> None:
    async def test() -> None:
        async with behind_front(Backend(), features()) as node:
            caller = await connect_as_front(node, header, pieces)
            assert (await caller.call("stock", "b" * 16)).code == 200
            line = await node.line('"bbbbbbbbbbbbbbbb"')
            if header.startswith(b"PROXY UNKNOWN"):
                assert "client=127.0.0.1:" in line and "via=" not in line
            elif header == V1_HEADER:
                assert "client=203.0.113.7:51022 via=127.0.0.1" in line
            else:
                assert "client=[2001:db8::7]:51022 via=127.0.0.1" in line
            once = await node.caller()
            sent = b"GET /stock HTTP/1.1\r\nX-Call-Id: c\r\nX-Budget: 900m\r\n\r\n"
            assert (await once.raw(header + sent)).code == 200

    run(test())


@pytest.mark.parametrize(
    "data", [b"GET /stock HTTP/1.1\r\n\r\n", b"PROXY TCP4 x\r\n", V2_SIGNATURE + b"\x21\x11\xff\xff"]
)
def test_a_trusted_front_without_a_valid_header_is_closed_and_logged(data: bytes) -> None:
    async def test() -> None:
        backend = Backend()
        async with behind_front(backend, features()) as node:
            caller = await connect_as_front(node, data)
            assert await caller.ended()
            assert "reason=" in await node.line("connection closed: client=127.0.0.1:")
            assert backend.count == 0

    run(test())


def test_a_header_from_an_untrusted_sender_closes_only_its_connection() -> None:
    async def test() -> None:
        backend = Backend()
        async with proxy({"s-1": backend}, features=features(fronts='"10.0.0.0/8"')) as node:
            for header in (V1_HEADER, v2_header("203.0.113.7", 1)):
                caller = await connect_as_front(node, header, pieces=4)
                assert await caller.ended()
                line = await node.line("connection closed: client=127.0.0.1:")
                assert "a PROXY header from outside trusted_fronts" in line
            assert backend.count == 0
            own = await node.caller()
            assert (await own.call("stock", "a" * 16)).code == 200
            assert "client=127.0.0.1:" in await node.line('"aaaaaaaaaaaaaaaa"')
            # Not a header, though it begins with the same byte.
            slow = await connect_as_front(node, b"POS", pieces=3)
            slow.writer.write(b"T /canje HTTP/1.1\r\nX-Call-Id: b\r\nX-Budget: 900m\r\n")
            slow.writer.write(b"Content-Length: 0\r\n\r\n")
            assert (await slow.answer()).code == 200

    run(test())


def test_a_front_that_sends_no_complete_header_is_closed_in_time() -> None:
    async def test() -> None:
        async with behind_front(Backend(), features()) as node:
            begun = time.monotonic()
            silent, half = await node.caller(), await connect_as_front(node, b"PROXY TCP4 203.")
            assert await silent.ended() and await half.ended()
            assert time.monotonic() - begun < PATIENCE / 2  # the limit is 3 s; a slow machine takes longer
            await node.line("connection closed", "reason=timed out before identification")

    run(test())


def test_a_denied_client_gets_403_and_is_counted() -> None:
    async def test() -> None:
        text = features(deny='"203.0.113.0/24", "2001:db8:bad::/48"') + "figures {\n  flush_ms = 50\n}\n"
        backend = Backend()
        async with behind_front(backend, text) as node:
            for header in (V1_HEADER, v2_header("2001:db8:bad::1", 7), v2_header("::ffff:203.0.113.9", 7)):
                caller = await connect_as_front(node, header)
                assert (await caller.call("stock", "a" * 16)).code == 403
                assert await caller.ended()
                assert "via=127.0.0.1" in await node.line("gladegw.net.access_log", "code=403")
            await node.line("gladegw.answers:", "class:stock,tenant:other,code:403")
            admitted = await connect_as_front(node, v2_header("203.0.114.1", 7))
            assert (await admitted.call("stock", "b" * 16)).code == 200
            assert backend.count == 1

    run(test())


def test_the_header_comes_before_tls(tmp_path: Path) -> None:
    async def test() -> None:
        authority, port = Authority(tmp_path), free_port()
        cert, key, _ = authority.issue("server", "edge", "gladegw")
        text = features() + f'tls {{\n  port = {port}\n  cert = "{cert}"\n  key = "{key}"\n}}\n'
        client = ssl.create_default_context(cafile=str(authority.file))
        async with behind_front(Backend(), text) as node:
            async with asyncio.timeout(PATIENCE):
                caller = await node.caller(port)
                caller.writer.write(V1_HEADER)
                await caller.writer.start_tls(client, server_hostname="127.0.0.1")
            assert (await caller.call("stock", "a" * 16)).code == 200
            line = await node.line('"aaaaaaaaaaaaaaaa"')
            assert 'client=203.0.113.7:51022 via=127.0.0.1 client_subject="-"' in line

    run(test())
