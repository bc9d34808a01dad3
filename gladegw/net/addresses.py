"""The feature `addresses`: identification of clients, also behind a load balancer, and their admission."""

from __future__ import annotations

import asyncio
import ipaddress
import re
import socket
import struct
from dataclasses import dataclass

from gladegw.net.interfaces import ClientIdentity, ConnectionRejectedError, format_address

VERSIONS: dict[str, tuple[int, ...]] = {"off": (), "v1": (1,), "v2": (2,), "any": (1, 2)}
V1, V2 = b"PROXY ", b"\r\n\r\n\x00\r\nQUIT\n"  # how the two versions of the header begin
LONGEST_V1 = 107  # bytes, with its line end
LONGEST = 2048  # bytes of a version 2 header, with what it carries beside the addresses
PEEK_INTERVAL_S = 0.02  # s between looks at bytes that are not taken yet
PORT = re.compile(r"0|[1-9]\d{0,4}", re.ASCII)

Ip = ipaddress.IPv4Address | ipaddress.IPv6Address
Network = ipaddress.IPv4Network | ipaddress.IPv6Network
Source = tuple[Ip, int]


def plain(ip: Ip) -> Ip:
    """An IPv4-mapped IPv6 address as the IPv4 address."""
    return getattr(ip, "ipv4_mapped", None) or ip


def network(text: str) -> Network:
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
                    network(text)
                except ValueError as fault:
                    raise ValueError(f"{name}: {fault}") from None
        if self.proxy_protocol not in VERSIONS:
            raise ValueError(
                f"proxy_protocol must be one of {', '.join(VERSIONS)}, not {self.proxy_protocol!r}"
            )


def header_size(data: bytes, versions: tuple[int, ...]) -> int | None:
    """The size of the PROXY header at the start of `data`; None if more bytes are needed.

    Raises ValueError.
    """
    if data.startswith(V2) and 2 in versions:
        if len(data) < 16:
            return None
        size = 16 + int(struct.unpack_from("!H", data, 14)[0])
        if size > LONGEST:
            raise ValueError("the PROXY header is too long")
        return size if len(data) >= size else None
    if data.startswith(V1) and 1 in versions:
        end = data.find(b"\r\n", 0, LONGEST_V1)
        if end < 0 and len(data) >= LONGEST_V1:
            raise ValueError("the PROXY header is too long")
        return end + 2 if end >= 0 else None
    wanted = [start for version, start in ((1, V1), (2, V2)) if version in versions]
    if any(start.startswith(data) for start in wanted):
        return None
    raise ValueError("no PROXY header of a version that is taken here")


def read_header(data: bytes) -> Source | None:
    """The client that a complete PROXY header names; None if the connection is its sender's own.

    Raises ValueError.
    """
    return _read_v2(data) if data.startswith(V2) else _read_v1(data)


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
    if command == 0 or kind not in (0x11, 0x21):  # LOCAL, or no TCP over IP
        return None
    size = 4 if kind == 0x11 else 16
    if len(data) < 16 + 2 * size + 4:
        raise ValueError("a PROXY header without its addresses")
    (port,) = struct.unpack_from("!H", data, 16 + 2 * size)
    return ipaddress.ip_address(data[16 : 16 + size]), port


async def _readable(sock: socket.socket) -> None:
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
        self.allow = [network(text) for text in settings.allow]
        self.deny = [network(text) for text in settings.deny]
        self.fronts = [network(text) for text in settings.trusted_fronts]
        self.versions = VERSIONS[settings.proxy_protocol]

    def denied(self, ip: Ip) -> bool:
        """Whether the lists deny the address."""
        ip = plain(ip)
        if any(ip in found for found in self.deny):
            return True
        return bool(self.allow) and not any(ip in found for found in self.allow)

    def trusts(self, ip: Ip) -> bool:
        """Whether PROXY headers from the address are accepted."""
        return any(plain(ip) in found for found in self.fronts)

    async def identify(self, sock: socket.socket) -> ClientIdentity:
        """The client of a connection; consumes the PROXY header and nothing behind it.

        Raises ConnectionRejectedError.
        """
        host, port = sock.getpeername()[:2]
        sender = ipaddress.ip_address(host)
        source: Source | None = None
        if self.versions and self.trusts(sender):
            source = await self._header(sock)
        elif self.versions and await self._begins_with_header(sock):
            raise ConnectionRejectedError("a PROXY header from outside trusted_fronts")
        client, port = source or (sender, port)
        via = None if source is None else str(plain(sender))
        return ClientIdentity(format_address((str(plain(client)), port)), via, self.denied(client))

    async def _header(self, sock: socket.socket) -> Source | None:
        had = b""
        while True:
            await _readable(sock)
            seen = _peek(sock, LONGEST)
            if seen is None:
                continue
            if not seen:
                raise ConnectionRejectedError("it ended before its PROXY header" if had else "")
            try:
                size = header_size(had + seen, self.versions)
                if size is not None:
                    sock.recv(size - len(had))
                    return read_header((had + seen)[:size])
            except ValueError as fault:
                raise ConnectionRejectedError(str(fault)) from None
            had += sock.recv(len(seen))  # all of it is header

    @staticmethod
    async def _begins_with_header(sock: socket.socket) -> bool:
        while True:
            await _readable(sock)
            seen = _peek(sock, len(V2))
            if seen is not None:
                if seen.startswith((V1, V2)):
                    return True
                if not seen or not any(start.startswith(seen) for start in (V1, V2)):
                    return False
            await asyncio.sleep(PEEK_INTERVAL_S)  # these bytes may be HTTP's, so they stay where they are
