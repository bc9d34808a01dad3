"""Listening sockets whose address an old and a new process of a proxy share while one replaces the other."""

from __future__ import annotations

import array
import contextlib
import errno
import logging
import socket
import struct
import sys
from dataclasses import dataclass

from gladegw.net.sockets import open_socket

log = logging.getLogger(__name__)

BACKLOG = 4096
ATTACH_FILTER = getattr(socket, "SO_ATTACH_REUSEPORT_CBPF", 51)  # asm-generic/socket.h
BPF_RETURN = 0x06  # BPF_RET | BPF_K
# The kernel numbers the sockets of an address in the order in which they began to listen. An older
# socket that closes leaves number 0 to the remaining one, so that the next one is number 1 again.
NEWEST = 1
LAST_SENT, LAST_SENT_OFFSET = struct.Struct("I"), 44  # linux/tcp.h, struct tcp_info: tcpi_last_data_sent, ms
LAST_RECEIVED, LAST_RECEIVED_OFFSET = struct.Struct("I"), 52  # tcpi_last_data_recv, ms
RECEIVED, RECEIVED_OFFSET = struct.Struct("Q"), 128  # tcpi_bytes_received
TCP_INFO_BYTES = RECEIVED_OFFSET + RECEIVED.size
HEAD_END = b"\r\n\r\n"
PEEKED_BYTES = 4096


def family_of(host: str) -> socket.AddressFamily:
    """The address family of a numeric host."""
    return socket.AF_INET6 if ":" in host else socket.AF_INET


def is_in_use(host: str, port: int) -> bool:
    """Whether a process listens at the address, such as an older one of this proxy.

    The check does not disturb that process.
    """
    if not port:
        return False
    with open_socket(family_of(host), socket.SOCK_STREAM) as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((host, port))
        except OSError as fault:
            return fault.errno == errno.EADDRINUSE
    return False


def listen(host: str, port: int) -> socket.socket:
    """Open a listening socket that later processes of this proxy can share.

    Raises OSError, also if a process of another kind uses the address.
    """
    sock = open_socket(family_of(host), socket.SOCK_STREAM | socket.SOCK_CLOEXEC)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        with contextlib.suppress(OSError):  # without SO_REUSEPORT this process can't be replaced
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        sock.bind((host, port))
        sock.listen(BACKLOG)
        sock.setblocking(False)
    except OSError:
        sock.close()
        raise
    route_to_newest(sock)
    return sock


def route_to_newest(sock: socket.socket) -> bool:
    """Make the kernel assign new connections to the newest socket of the address.

    The older socket's queue receives no more connections, so that it can be emptied and closed without a
    reset. If only one socket listens, the kernel falls back to its hash. False if the system does not support
    this.
    """
    if sys.platform != "linux":
        return False
    code = array.array("B", struct.pack("HBBI", BPF_RETURN, 0, 0, NEWEST))
    address, _ = code.buffer_info()
    program = struct.pack("HP", 1, address)
    try:
        sock.setsockopt(socket.SOL_SOCKET, ATTACH_FILTER, program)
    except OSError as fault:
        log.info("listener: cannot route new connections to the newest process: %s", fault)
        return False
    return True


@dataclass(frozen=True, slots=True)
class QueuedConnection:
    """The kernel's statistics of a connection on which the proxy has sent nothing; times in seconds."""

    age: float = 0.0
    received: int = 0  # bytes
    silence: float = 0.0  # since bytes were last received


def received_before_accept(sock: socket.socket) -> QueuedConnection:
    """The statistics of a connection, which cover the time in which it waited to be accepted.

    Source: `struct tcp_info` of Linux, where the time of the last transmission starts with the connection.
    Zeros if this cannot be determined.
    """
    with contextlib.suppress(OSError, AttributeError):
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
        if len(info) == TCP_INFO_BYTES:
            (age,) = LAST_SENT.unpack_from(info, LAST_SENT_OFFSET)
            (silence,) = LAST_RECEIVED.unpack_from(info, LAST_RECEIVED_OFFSET)
            (received,) = RECEIVED.unpack_from(info, RECEIVED_OFFSET)
            return QueuedConnection(age / 1000, received, silence / 1000)
    return QueuedConnection()


def has_complete_head(sock: socket.socket) -> bool:
    """Whether the bytes that wait to be read contain the end of a request's head.

    Also true where this cannot be determined, and for a head of more than PEEKED_BYTES.
    """
    try:
        waiting_bytes = sock.recv(PEEKED_BYTES, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except OSError:
        return True
    return HEAD_END in waiting_bytes or len(waiting_bytes) == PEEKED_BYTES


def accept_queued(sock: socket.socket) -> list[socket.socket]:
    """Accept all queued connections, so that the listener can be closed without resetting them."""
    accepted = []
    with contextlib.suppress(OSError):
        while True:
            accepted.append(sock.accept()[0])
    return accepted
