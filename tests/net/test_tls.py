"""TLS on the further port: certificates that change, clients that are refused, and the limits of the port."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import ssl
import time
from pathlib import Path
from typing import Any

import pytest
from support.certificates import Authority
from support.loopback import PATIENCE, Backend, Caller, Proxy, free_port, proxy, response, run, start_program

from gladegw.net.config import ConfigError
from gladegw.net.tls import TlsContext, TlsSettings, subject


class Port:
    """A TLS port's settings and its clients."""

    def __init__(self, folder: Path, **more: str) -> None:
        self.authority = Authority(folder)
        self.cert, self.key, self.serial = self.authority.issue("server", "edge", "gladegw")
        self.number = free_port()
        given = {"port": str(self.number), "cert": f'"{self.cert}"', "key": f'"{self.key}"', **more}
        self.features = "tls {\n" + "".join(f"  {key} = {value}\n" for key, value in given.items()) + "}\n"

    def client(self, pair: tuple[Path, Path] | None = None) -> ssl.SSLContext:
        context = ssl.create_default_context(cafile=str(self.authority.file))
        if pair is not None:
            context.load_cert_chain(*pair)
        return context

    async def caller(self, node: Proxy, context: ssl.SSLContext | None = None) -> Caller:
        async with asyncio.timeout(PATIENCE):
            while True:  # the port opens right after the plain one
                with contextlib.suppress(ConnectionRefusedError):
                    return await node.caller(self.number, ssl=context or self.client())
                await asyncio.sleep(0.01)


def serial(caller: Caller) -> int:
    told = caller.writer.get_extra_info("peercert")
    return int(told["serialNumber"], 16)


def test_replaced_files_serve_new_connections_and_old_ones_go_on(tmp_path: Path) -> None:
    """The operators' check. Half a replacement is no certificate."""

    async def test() -> None:
        port = Port(tmp_path, reload_s="1")
        async with proxy({"s-1": Backend()}, features=port.features) as node:
            old = await port.caller(node)
            assert serial(old) == port.serial
            assert (await old.call("stock", "a" * 16)).code == 200
            cert, key, new_serial = port.authority.issue("next", "edge", "gladegw")
            port.cert.write_bytes(cert.read_bytes())
            said = await node.line("tls:")
            assert "the old one stays" in said and "KEY_VALUES_MISMATCH" in said
            assert serial(await port.caller(node)) == port.serial
            port.key.write_bytes(key.read_bytes())
            assert "new connections get the changed certificate" in await node.line("tls:")
            new = await port.caller(node)
            assert serial(new) == new_serial != port.serial
            for caller in (old, new):
                assert (await caller.call("stock", "b" * 16)).code == 200
            port.cert.write_text("no certificate")
            assert "the old one stays" in await node.line("tls:")
            assert serial(await port.caller(node)) == new_serial

    run(test())


def test_a_change_that_fails_is_logged_once(tmp_path: Path, caplog: pytest.LogCaptureFixture) -> None:
    port = Port(tmp_path)
    tls = TlsContext(TlsSettings(port=port.number, cert=str(port.cert), key=str(port.key)))
    first = tls.context
    with caplog.at_level(logging.WARNING):
        for text in ("spoilt", "spoilt", "spoilt otherwise"):
            port.cert.write_text(text)
            tls.reload_if_changed()
            tls.reload_if_changed()
        port.key.unlink()
        tls.reload_if_changed()
        tls.reload_if_changed()
    assert len(caplog.records) == 3 and tls.context is first


def test_the_subject_is_logged_and_a_client_without_one_is_a_dash(tmp_path: Path) -> None:
    async def test() -> None:
        root = Authority(tmp_path, "dash root")
        port = Port(tmp_path, client_ca=f'"{root.file}"', client_cert='"optional"')
        car = root.issue("car", "dash-0412", "dash-link")[:2]
        async with proxy({"s-1": Backend()}, features=port.features) as node:
            known = await port.caller(node, port.client(car))
            assert (await known.call("stock", "a" * 16, X_Caller='dash"link')).code == 200
            line = await node.line("gladegw.net.access_log", '"aaaaaaaaaaaaaaaa"')
            assert 'client_subject="CN=dash-0412,O=dash-link"' in line and "code=200" in line
            assert 'tenant="dash\\"link' in line
            unknown = await port.caller(node)
            assert (await unknown.call("stock", "b" * 16)).code == 200
            assert 'client_subject="-"' in await node.line('"bbbbbbbbbbbbbbbb"')

    run(test())


def test_the_common_name_comes_first_and_values_are_escaped() -> None:
    parts = ((("commonName", "dash-0412"),), (("organizationName", 'Dash, "Link"'),))
    wanted = 'CN=dash-0412,O=Dash\\, \\"Link\\"'
    assert subject({"subject": parts}) == subject({"subject": parts[::-1]}) == wanted
    assert subject({}) == subject(None) == "-"


@pytest.mark.parametrize("case", ["too old", "no certificate", "unknown issuer", "not TLS"])
def test_a_handshake_that_is_refused_is_logged_with_its_reason(case: str, tmp_path: Path) -> None:
    async def test() -> None:
        root = Authority(tmp_path, "dash root")
        port = Port(
            tmp_path,
            client_ca=f'"{root.file}"',
            client_cert='"required"',
            min_version='"1.3"' if case == "too old" else '"1.2"',
        )
        client = port.client(root.issue("car", "dash-0412", "dash-link")[:2])
        wanted = "UNSUPPORTED_PROTOCOL"
        if case == "too old":
            client.maximum_version = ssl.TLSVersion.TLSv1_2
        elif case == "no certificate":
            client, wanted = port.client(), "PEER_DID_NOT_RETURN_A_CERTIFICATE"
        elif case == "unknown issuer":
            stranger = Authority(tmp_path, "another root").issue("stranger", "x", "y")[:2]
            client, wanted = port.client(stranger), "CERTIFICATE_VERIFY_FAILED"
        backend = Backend()
        async with proxy({"s-1": backend}, features=port.features) as node:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                if case == "not TLS":
                    wanted = "HTTP_REQUEST"
                    await (await node.caller(port.number)).call("stock", "a" * 16)
                else:
                    await (await port.caller(node, client)).call("stock", "a" * 16)
            line = await node.line("tls: handshake refused: client=127.0.0.1:")
            assert wanted in line
            assert backend.count == 0
            assert (await (await node.caller()).call("stock", "b" * 16)).code == 200

    run(test())


def test_a_peer_that_is_silent_at_the_handshake_or_after_it_is_closed(tmp_path: Path) -> None:
    async def test() -> None:
        port = Port(tmp_path)
        async with proxy({"s-1": Backend()}, features=port.features) as node:
            after = await port.caller(node)
            begun = time.monotonic()
            before = await node.caller(port.number)
            assert await before.ended() and await after.ended()
            assert time.monotonic() - begun < PATIENCE / 2  # 3 s are owed; a slow machine takes longer
            assert "reason=" in await node.line("tls: handshake refused")

    run(test())


def test_a_crowd_of_silent_peers_keeps_no_client_out(tmp_path: Path) -> None:
    async def test() -> None:
        port = Port(tmp_path)
        async with proxy({"s-1": Backend()}, features=port.features, sockets=256) as node:
            await port.caller(node)
            crowd = [await node.caller(port.number) for _ in range(60)]
            assert (await (await port.caller(node)).call("stock", "a" * 16)).code == 200
            for peer in crowd:
                assert await peer.ended()

    run(test())


def test_a_drain_finishes_what_the_tls_port_has_taken(tmp_path: Path) -> None:
    async def test() -> None:
        go = asyncio.Event()

        async def behave(seen: Any, writer: asyncio.StreamWriter) -> None:
            await go.wait()
            writer.write(response(200, b"late"))

        backend, port = Backend(behave), Port(tmp_path)
        async with proxy({"s-1": backend}, features=port.features) as node:
            caller = await port.caller(node)
            caller.send("canje", "a" * 16, budget="6000m")
            await backend.calls.get()
            node.terminate()
            async with asyncio.timeout(PATIENCE):
                while True:  # until the port is closed
                    try:
                        (await node.caller(port.number)).writer.close()
                    except ConnectionRefusedError:
                        break
                    await asyncio.sleep(0.02)
            go.set()
            reply = await caller.answer()
            assert (reply.code, reply.body) == (200, b"late")
            assert reply.headers["connection"] == "close"
            assert await node.code() == 0

    run(test())


def test_bad_input_over_tls_gets_its_answer(tmp_path: Path) -> None:
    async def test() -> None:
        port = Port(tmp_path)
        async with proxy({"s-1": Backend()}, features=port.features) as node:
            caller = await port.caller(node)
            assert (await caller.raw(b"\x00\x01 not HTTP\r\n\r\n")).code == 400
            assert await caller.ended()

    run(test())


def test_a_certificate_that_cannot_be_read_at_the_start_is_one_line_and_exit_2(tmp_path: Path) -> None:
    async def test() -> None:
        file = tmp_path / "malabar.hcl"
        file.write_text('tls {\n  port = 1\n  cert = "/none"\n  key = "/none"\n}\n')
        from support.loopback import config, listing

        raw = config("127.0.0.1:1", listing(1), f"127.0.0.1:{free_port()}")
        process = await start_program(raw, str(tmp_path), "-f", str(file))
        _, said = await process.communicate()
        assert process.returncode == 2
        assert said.count(b"\n") == 1 and b"No such file" in said

    run(test())


@pytest.mark.parametrize(
    "wrong",
    [
        {"port": 0},
        {"port": 70_000},
        {"cert": None},
        {"min_version": "1.1"},
        {"reload_s": 0},
        {"client_cert": "required"},
        {"client_cert": "maybe"},
    ],
)
def test_settings_out_of_range_are_refused(wrong: dict[str, Any]) -> None:
    with pytest.raises(ValueError):
        TlsSettings(**{"port": 8443, "cert": "c", "key": "k", **wrong})


def test_a_spoilt_certificate_at_the_start_is_a_config_error(tmp_path: Path) -> None:
    port = Port(tmp_path)
    port.key.write_text("no key")
    with pytest.raises(ConfigError):
        TlsContext(TlsSettings(port=port.number, cert=str(port.cert), key=str(port.key)))
