"""The feature `addresses`: client addresses from the PROXY protocol, and allow and deny lists."""

from __future__ import annotations

import asyncio
import ipaddress
import re
import socket
import struct
from dataclasses import dataclass

from gladegw.net.interfaces import ClientIdentity, ConnectionRejectedError, format_address

VERSIONS_BY_SETTING: dict[str, tuple[int, ...]] = {"off": (), "v1": (1,), "v2": (2,), "any": (1, 2)}
V1_SIGNATURE, V2_SIGNATURE = b"PROXY ", b"\r\n\r\n\x00\r\nQUIT\n"
MAX_V1_HEADER_BYTES = 107  # including its line end
MAX_HEADER_BYTES = 2048  # of a version 2 header, including its optional TLV fields
PEEK_INTERVAL_S = 0.02  # between looks at received bytes that stay in the socket's buffer
PORT = re.compile(r"0|[1-9]\d{0,4}", re.ASCII)

Ip = ipaddress.IPv4Address | ipaddress.IPv6Address
Network = ipaddress.IPv4Network | ipaddress.IPv6Network
Source = tuple[Ip, int]


def unmap_ipv4(ip: Ip) -> Ip:
    """Convert an IPv4-mapped IPv6 address to the IPv4 address; others stay as they are."""
    return getattr(ip, "ipv4_mapped", None) or ip


def parse_network(text: str) -> Network:
    """Parse a network; IPv4-mapped ones become IPv4 networks.

    Raises ValueError.
    """
    found = ipaddress.ip_network(text)
    if isinstance(found, ipaddress.IPv6Network) and found.prefixlen >= 96:
        mapped = found.network_address.ipv4_mapped
        if mapped is not None:
            return ipaddress.IPv4Network((mapped, found.prefixlen - 96))
    return found


@dataclass(frozen=True, slots=True)
class AddressSettings:
    """Settings of the block `addresses`."""

    allow: tuple[str, ...] = ()
    deny: tuple[str, ...] = ()
    trusted_fronts: tuple[str, ...] = ()
    proxy_protocol: str = "off"

    def __post_init__(self) -> None:
        for name in ("allow", "deny", "trusted_fronts"):
            for text in getattr(self, name):
                try:
                    parse_network(text)
                except ValueError as fault:
                    raise ValueError(f"{name}: {fault}") from None
        if self.proxy_protocol not in VERSIONS_BY_SETTING:
            raise ValueError(
                f"proxy_protocol must be one of {', '.join(VERSIONS_BY_SETTING)}, not {self.proxy_protocol!r}"
            )


def header_size(data: bytes, versions: tuple[int, ...]) -> int | None:
    """The size of the PROXY header at the start of `data`; None if more bytes are needed.

    Raises ValueError.
    """
    if data.startswith(V2_SIGNATURE) and 2 in versions:
        if len(data) < 16:
            return None
        size = 16 + int(struct.unpack_from("!H", data, 14)[0])
        if size > MAX_HEADER_BYTES:
            raise ValueError("the PROXY header is too long")
        return size if len(data) >= size else None
    if data.startswith(V1_SIGNATURE) and 1 in versions:
        end = data.find(b"\r\n", 0, MAX_V1_HEADER_BYTES)
        if end < 0 and len(data) >= MAX_V1_HEADER_BYTES:
            raise ValueError("the PROXY header is too long")
        return end + 2 if end >= 0 else None
    wanted = [start for version, start in ((1, V1_SIGNATURE), (2, V2_SIGNATURE)) if version in versions]
    if any(start.startswith(data) for start in wanted):
        return None
    raise ValueError("no PROXY header of an enabled version")


def read_header(data: bytes) -> Source | None:
    """The client that a complete PROXY header names; None if the sender itself counts as the client.

    Raises ValueError.
    """
    return _read_v2(data) if data.startswith(V2_SIGNATURE) else _read_v1(data)


def _read_v1(data: bytes) -> Source | None:
    parts = data[:-2].decode("ascii").split(" ")
    if parts[1] == "UNKNOWN":
        return None
    if len(parts) != 6 or parts[1] not in ("TCP4", "TCP6"):
        raise ValueError("malformed PROXY header")
    wanted = ipaddress.IPv4Address if parts[1] == "TCP4" else ipaddress.IPv6Address
    source, _ = wanted(parts[2]), wanted(parts[3])
    if not all(PORT.fullmatch(port) and int(port) < 1 << 16 for port in parts[4:]):
        raise ValueError("malformed port in a PROXY header")
    return source, int(parts[4])


def _read_v2(data: bytes) -> Source | None:
    version, command, kind = data[12] >> 4, data[12] & 15, data[13]
    if version != 2 or command > 1:
        raise ValueError("malformed PROXY header")
    if command == 0 or kind not in (0x11, 0x21):  # command LOCAL, or a protocol other than TCP over IP
        return None
    size = 4 if kind == 0x11 else 16
    if len(data) < 16 + 2 * size + 4:
        raise ValueError("the PROXY header does not contain its addresses")
    (port,) = struct.unpack_from("!H", data, 16 + 2 * size)
    return ipaddress.ip_address(data[16 : 16 + size]), port


async def _wait_readable(sock: socket.socket) -> None:
    loop = asyncio.get_running_loop()
    ready = asyncio.Event()
    loop.add_reader(sock, ready.set)
    try:
        await ready.wait()
    finally:
        loop.remove_reader(sock)


def _peek(sock: socket.socket, size: int) -> bytes | None:
    """Received bytes, without consuming them; None if there are none yet."""
    try:
        return sock.recv(size, socket.MSG_PEEK)
    except BlockingIOError:
        return None


class Addresses:
    """Identifies clients by their address or PROXY header, and applies the allow and deny lists."""

    def __init__(self, settings: AddressSettings) -> None:
        self.allow = [parse_network(text) for text in settings.allow]
        self.deny = [parse_network(text) for text in settings.deny]
        self.trusted_fronts = [parse_network(text) for text in settings.trusted_fronts]
        self.versions = VERSIONS_BY_SETTING[settings.proxy_protocol]

    def denied(self, ip: Ip) -> bool:
        """Whether the lists deny the address."""
        ip = unmap_ipv4(ip)
        if any(ip in found for found in self.deny):
            return True
        return bool(self.allow) and not any(ip in found for found in self.allow)

    def trusts(self, ip: Ip) -> bool:
        """Whether PROXY headers from the address are accepted."""
        return any(unmap_ipv4(ip) in found for found in self.trusted_fronts)

    async def identify(self, sock: socket.socket) -> ClientIdentity:
        """Determine the client of a connection; consumes the PROXY header and nothing after it.

        Raises ConnectionRejectedError.
        """
        host, port = sock.getpeername()[:2]
        sender = ipaddress.ip_address(host)
        source: Source | None = None
        if self.versions and self.trusts(sender):
            source = await self._receive_header(sock)
        elif self.versions and await self._begins_with_header(sock):
            raise ConnectionRejectedError("a PROXY header from outside trusted_fronts")
        client, port = source or (sender, port)
        via = None if source is None else str(unmap_ipv4(sender))
        return ClientIdentity(format_address((str(unmap_ipv4(client)), port)), via, self.denied(client))

    async def _receive_header(self, sock: socket.socket) -> Source | None:
        consumed = b""
        while True:
            await _wait_readable(sock)
            peeked = _peek(sock, MAX_HEADER_BYTES)
            if peeked is None:
                continue
            if not peeked:
                raise ConnectionRejectedError(
                    "the connection ended before its PROXY header was complete" if consumed else ""
                )
            try:
                size = header_size(consumed + peeked, self.versions)
                if size is not None:
                    sock.recv(size - len(consumed))
                    return read_header((consumed + peeked)[:size])
            except ValueError as fault:
                raise ConnectionRejectedError(str(fault)) from None
            consumed += sock.recv(len(peeked))  # all of these bytes belong to the header

    @staticmethod
    async def _begins_with_header(sock: socket.socket) -> bool:
        while True:
            await _wait_readable(sock)
            peeked = _peek(sock, len(V2_SIGNATURE))
            if peeked is not None:
                if peeked.startswith((V1_SIGNATURE, V2_SIGNATURE)):
                    return True
                if not peeked or not any(start.startswith(peeked) for start in (V1_SIGNATURE, V2_SIGNATURE)):
                    return False
            await asyncio.sleep(PEEK_INTERVAL_S)  # the bytes may belong to HTTP, so they are not consumed
