"""The TLS port: certificates that change, handshakes that are refused, and the limits of the port."""

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
from gladegw.net.tls import TlsContext, subject
from gladegw.net.tls_settings import TlsSettings


class TlsPort:
    """The settings of a TLS port with its own certificate authority, and clients of the port."""

    def __init__(self, folder: Path, **changes: str) -> None:
        self.authority = Authority(folder)
        self.cert, self.key, self.serial = self.authority.issue("server", "edge", "gladegw")
        self.port = free_port()
        settings = {"port": str(self.port), "cert": f'"{self.cert}"', "key": f'"{self.key}"', **changes}
        self.features = "tls {\n" + "".join(f"  {key} = {value}\n" for key, value in settings.items()) + "}\n"

    def client(self, certificate_and_key: tuple[Path, Path] | None = None) -> ssl.SSLContext:
        context = ssl.create_default_context(cafile=str(self.authority.file))
        if certificate_and_key is not None:
            context.load_cert_chain(*certificate_and_key)
        return context

    async def caller(self, node: Proxy, context: ssl.SSLContext | None = None) -> Caller:
        async with asyncio.timeout(PATIENCE):
            while True:  # the TLS port opens shortly after the plain one
                with contextlib.suppress(ConnectionRefusedError):
                    return await node.caller(self.port, ssl=context or self.client())
                await asyncio.sleep(0.01)


def certificate_serial(caller: Caller) -> int:
    certificate = caller.writer.get_extra_info("peercert")
    return int(certificate["serialNumber"], 16)


def test_replaced_files_serve_new_connections_and_open_ones_continue(tmp_path: Path) -> None:
    """A replaced certificate is not used until its key is replaced too."""

    async def test() -> None:
        port = TlsPort(tmp_path, reload_s="1")
        async with proxy({"s-1": Backend()}, features=port.features) as node:
            old = await port.caller(node)
            assert certificate_serial(old) == port.serial
            assert (await old.call("stock", "a" * 16)).code == 200
            cert, key, new_serial = port.authority.issue("next", "edge", "gladegw")
            port.cert.write_bytes(cert.read_bytes())
            line = await node.line("tls:")
            assert "keeping the previous one" in line and "KEY_VALUES_MISMATCH" in line
            assert certificate_serial(await port.caller(node)) == port.serial
            port.key.write_bytes(key.read_bytes())
            assert "loaded the changed certificate for new connections" in await node.line("tls:")
            new = await port.caller(node)
            assert certificate_serial(new) == new_serial != port.serial
            for caller in (old, new):
                assert (await caller.call("stock", "b" * 16)).code == 200
            port.cert.write_text("no certificate")
            assert "keeping the previous one" in await node.line("tls:")
            assert certificate_serial(await port.caller(node)) == new_serial

    run(test())


def test_a_change_that_fails_is_logged_once(tmp_path: Path, caplog: pytest.LogCaptureFixture) -> None:
    port = TlsPort(tmp_path)
    tls = TlsContext(TlsSettings(port=port.port, cert=str(port.cert), key=str(port.key)))
    first = tls.context
    with caplog.at_level(logging.WARNING):
        for text in ("invalid", "invalid", "invalid in another way"):
            port.cert.write_text(text)
            tls.reload_if_changed()
            tls.reload_if_changed()
        port.key.unlink()
        tls.reload_if_changed()
        tls.reload_if_changed()
    assert len(caplog.records) == 3 and tls.context is first


def test_the_subject_is_logged_or_a_dash_for_a_client_without_certificate(tmp_path: Path) -> None:
    async def test() -> None:
        root = Authority(tmp_path, "dash root")
        port = TlsPort(tmp_path, client_ca=f'"{root.file}"', client_cert='"optional"')
        car = root.issue("car", "dash-0412", "dash-link")[:2]
        async with proxy({"s-1": Backend()}, features=port.features) as node:
            with_certificate = await port.caller(node, port.client(car))
            assert (await with_certificate.call("stock", "a" * 16, X_Caller='dash"link')).code == 200
            line = await node.line("gladegw.net.access_log", '"aaaaaaaaaaaaaaaa"')
            assert 'client_subject="CN=dash-0412,O=dash-link"' in line and "code=200" in line
            assert 'tenant="dash\\"link' in line
            without_certificate = await port.caller(node)
            assert (await without_certificate.call("stock", "b" * 16)).code == 200
            assert 'client_subject="-"' in await node.line('"bbbbbbbbbbbbbbbb"')

    run(test())


def test_the_common_name_comes_first_and_values_are_escaped() -> None:
    parts = ((("commonName", "dash-0412"),), (("organizationName", 'Dash, "Link"'),))
    expected = 'CN=dash-0412,O=Dash\\, \\"Link\\"'
    assert subject({"subject": parts}) == subject({"subject": parts[::-1]}) == expected
    assert subject({}) == subject(None) == "-"


@pytest.mark.parametrize("case", ["too old", "no certificate", "unknown issuer", "not TLS"])
def test_a_handshake_that_is_refused_is_logged_with_its_reason(case: str, tmp_path: Path) -> None:
    async def test() -> None:
        root = Authority(tmp_path, "dash root")
        port = TlsPort(
            tmp_path,
            client_ca=f'"{root.file}"',
            client_cert='"required"',
            min_version='"1.3"' if case == "too old" else '"1.2"',
        )
        client = port.client(root.issue("car", "dash-0412", "dash-link")[:2])
        expected = "UNSUPPORTED_PROTOCOL"
        if case == "too old":
            client.maximum_version = ssl.TLSVersion.TLSv1_2
        elif case == "no certificate":
            client, expected = port.client(), "PEER_DID_NOT_RETURN_A_CERTIFICATE"
        elif case == "unknown issuer":
            unknown_pair = Authority(tmp_path, "another root").issue("stranger", "x", "y")[:2]
            client, expected = port.client(unknown_pair), "CERTIFICATE_VERIFY_FAILED"
        backend = Backend()
        async with proxy({"s-1": backend}, features=port.features) as node:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                if case == "not TLS":
                    expected = "HTTP_REQUEST"
                    await (await node.caller(port.port)).call("stock", "a" * 16)
                else:
                    await (await port.caller(node, client)).call("stock", "a" * 16)
            line = await node.line("tls: handshake refused: client=127.0.0.1:")
            assert expected in line
            assert backend.count == 0
            assert (await (await node.caller()).call("stock", "b" * 16)).code == 200

    run(test())


def test_a_peer_that_is_silent_at_the_handshake_or_after_it_is_closed(tmp_path: Path) -> None:
    async def test() -> None:
        port = TlsPort(tmp_path)
        async with proxy({"s-1": Backend()}, features=port.features) as node:
            after_handshake = await port.caller(node)
            started = time.monotonic()
            before_handshake = await node.caller(port.port)
            assert await before_handshake.ended() and await after_handshake.ended()
            assert time.monotonic() - started < PATIENCE / 2  # the limit is 3 s; a slow machine takes longer
            assert "reason=" in await node.line("tls: handshake refused")

    run(test())


def test_many_silent_peers_do_not_prevent_a_client_from_connecting(tmp_path: Path) -> None:
    async def test() -> None:
        port = TlsPort(tmp_path)
        async with proxy({"s-1": Backend()}, features=port.features, sockets=256) as node:
            await port.caller(node)
            silent_peers = [await node.caller(port.port) for _ in range(60)]
            assert (await (await port.caller(node)).call("stock", "a" * 16)).code == 200
            for peer in silent_peers:
                assert await peer.ended()

    run(test())


def test_a_drain_finishes_requests_received_on_the_tls_port(tmp_path: Path) -> None:
    async def test() -> None:
        may_respond = asyncio.Event()

        async def behave(seen: Any, writer: asyncio.StreamWriter) -> None:
            await may_respond.wait()
            writer.write(response(200, b"late"))

        backend, port = Backend(behave), TlsPort(tmp_path)
        async with proxy({"s-1": backend}, features=port.features) as node:
            caller = await port.caller(node)
            caller.send("canje", "a" * 16, budget="6000m")
            await backend.calls.get()
            node.terminate()
            async with asyncio.timeout(PATIENCE):
                while True:  # until the port is closed
                    try:
                        (await node.caller(port.port)).writer.close()
                    except ConnectionRefusedError:
                        break
                    await asyncio.sleep(0.02)
            may_respond.set()
            reply = await caller.answer()
            assert (reply.code, reply.body) == (200, b"late")
            assert reply.headers["connection"] == "close"
            assert await node.code() == 0

    run(test())


def test_invalid_http_over_tls_gets_a_400_response(tmp_path: Path) -> None:
    async def test() -> None:
        port = TlsPort(tmp_path)
        async with proxy({"s-1": Backend()}, features=port.features) as node:
            caller = await port.caller(node)
            assert (await caller.raw(b"\x00\x01 not HTTP\r\n\r\n")).code == 400
            assert await caller.ended()

    run(test())


def test_an_unreadable_certificate_at_startup_prints_one_line_and_exits_with_2(tmp_path: Path) -> None:
    async def test() -> None:
        file = tmp_path / "malabar.hcl"
        file.write_text('tls {\n  port = 1\n  cert = "/none"\n  key = "/none"\n}\n')
        from support.loopback import config, listing

        raw = config("127.0.0.1:1", listing(1), f"127.0.0.1:{free_port()}")
        process = await start_program(raw, str(tmp_path), "-f", str(file))
        _, stderr = await process.communicate()
        assert process.returncode == 2
        assert stderr.count(b"\n") == 1 and b"No such file" in stderr

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
def test_settings_out_of_range_are_rejected(wrong: dict[str, Any]) -> None:
    with pytest.raises(ValueError):
        TlsSettings(**{"port": 8443, "cert": "c", "key": "k", **wrong})


def test_an_invalid_key_at_startup_is_a_config_error(tmp_path: Path) -> None:
    port = TlsPort(tmp_path)
    port.key.write_text("no key")
    with pytest.raises(ConfigError):
        TlsContext(TlsSettings(port=port.port, cert=str(port.cert), key=str(port.key)))
