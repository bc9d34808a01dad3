"""A listening address that an older and a newer process of one proxy share during replacement."""

from __future__ import annotations

import contextlib
import ctypes
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
NEWEST = 1  # the kernel numbers the sockets of an address as they began to listen; an older one leaves 0 free
LAST_SENT, LAST_SENT_AT = struct.Struct("I"), 44  # linux/tcp.h, struct tcp_info: tcpi_last_data_sent, ms
LAST_RECEIVED, LAST_RECEIVED_AT = struct.Struct("I"), 52  # tcpi_last_data_recv, ms
RECEIVED, RECEIVED_AT = struct.Struct("Q"), 128  # tcpi_bytes_received
TCP_INFO_BYTES = RECEIVED_AT + RECEIVED.size
HEAD_END = b"\r\n\r\n"
PEEKED_BYTES = 4096


def family_of(host: str) -> socket.AddressFamily:
    """The address family of a numeric host."""
    return socket.AF_INET6 if ":" in host else socket.AF_INET


def is_taken(host: str, port: int) -> bool:
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
        with contextlib.suppress(OSError):  # where there is no such thing, the process can't be replaced
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

    The older socket's queue receives nothing more, so that it can be emptied and closed without a reset. If
    only one socket listens, the kernel falls back to its hash. False if the system does not support this.
    """
    if sys.platform != "linux":
        return False
    code = ctypes.create_string_buffer(struct.pack("HBBI", BPF_RETURN, 0, 0, NEWEST))
    program = struct.pack("HP", 1, ctypes.addressof(code))
    try:
        sock.setsockopt(socket.SOL_SOCKET, ATTACH_FILTER, program)
    except OSError as fault:
        log.info("connections are not led to the newest process: %s", fault)
        return False
    return True


@dataclass(frozen=True, slots=True)
class QueuedConnection:
    """What the kernel knows of a connection to which nothing was sent; times in seconds."""

    age: float = 0.0
    received: int = 0  # bytes
    silence: float = 0.0  # since bytes were last received


def received_before_accept(sock: socket.socket) -> QueuedConnection:
    """What became of a connection while it waited to be accepted.

    Source: `struct tcp_info` of Linux, where the time of the last transmission starts with the connection.
    Zeros if this cannot be determined.
    """
    with contextlib.suppress(OSError, AttributeError):
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
        if len(info) == TCP_INFO_BYTES:
            (age,) = LAST_SENT.unpack_from(info, LAST_SENT_AT)
            (silence,) = LAST_RECEIVED.unpack_from(info, LAST_RECEIVED_AT)
            (received,) = RECEIVED.unpack_from(info, RECEIVED_AT)
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


def waiting(sock: socket.socket) -> list[socket.socket]:
    """Accept all queued connections; the listener may be closed afterwards."""
    found = []
    with contextlib.suppress(OSError):
        while True:
            found.append(sock.accept()[0])
    return found
