"""Kernel state of a connection that the event loop does not report."""

from __future__ import annotations

import contextlib
import errno
import fcntl
import select
import socket
import struct
import termios
import time

LAST_RECEIVED, LAST_RECEIVED_OFFSET = struct.Struct("I"), 52  # tcpi_last_data_recv in struct tcp_info, ms
LAST_RECEIVED_END = LAST_RECEIVED_OFFSET + LAST_RECEIVED.size
UNSENT = struct.Struct("i")  # result of TIOCOUTQ: number of bytes not sent or not acknowledged
RECEIVE_WINDOW_FACTOR = 4  # bytes of the window for each byte that is awaited unread
NO_LINGER = struct.pack("ii", 1, 0)  # struct linger: on, for no time
OUT_OF_RESOURCES = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
OPEN_RETRY_INTERVAL_S = 0.01  # between attempts to open a socket
MAX_OPEN_ATTEMPTS = 100
HUNG_UP = select.POLLRDHUP | select.POLLHUP | select.POLLERR | select.POLLNVAL


def open_socket(family: socket.AddressFamily, kind: int) -> socket.socket:
    """Open a socket at the start of the process, waiting while system resources are exhausted.

    Blocks for up to MAX_OPEN_ATTEMPTS times OPEN_RETRY_INTERVAL_S seconds. Raises OSError.
    """
    for _ in range(MAX_OPEN_ATTEMPTS - 1):
        try:
            return socket.socket(family, kind)
        except OSError as fault:
            if fault.errno not in OUT_OF_RESOURCES:
                raise
        time.sleep(OPEN_RETRY_INTERVAL_S)
    return socket.socket(family, kind)


def _poll_events(fileno: int) -> int:
    poller = select.poll()
    poller.register(fileno, select.POLLIN | select.POLLRDHUP)
    return next((events for _, events in poller.poll(0)), 0)


def peer_has_closed(fileno: int) -> bool:
    """Whether the peer has closed its side, also if unread bytes precede the close."""
    events = _poll_events(fileno)
    if events & HUNG_UP:
        return True
    return bool(events & select.POLLIN) and _is_at_end(fileno)


def has_unread(fileno: int) -> bool:
    """Whether bytes, or the peer's close, can be read."""
    return bool(_poll_events(fileno))


def unacknowledged_bytes(fileno: int) -> int | None:
    """Number of written bytes that the peer has not acknowledged; None if this cannot be determined."""
    try:
        result = fcntl.ioctl(fileno, termios.TIOCOUTQ, bytes(UNSENT.size))
    except OSError:
        return None
    (unsent,) = UNSENT.unpack(result)
    return int(unsent)


def all_acknowledged(fileno: int) -> bool:
    """Whether the peer's system acknowledged all written bytes; False if this cannot be determined."""
    return unacknowledged_bytes(fileno) == 0


def reset_on_close(fileno: int) -> None:
    """Let the close of the connection reset it, so that the peer does not take it for a regular end."""
    borrowed = socket.socket(socket.AF_INET, socket.SOCK_STREAM, fileno=fileno)
    try:
        borrowed.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
    finally:
        borrowed.detach()


def unread_bytes(fileno: int) -> int:
    """Number of received bytes that wait to be read; 0 if this cannot be determined."""
    try:
        (size,) = UNSENT.unpack(fcntl.ioctl(fileno, termios.FIONREAD, bytes(UNSENT.size)))
    except OSError:
        return 0
    return int(size)


def read_when_received(connection: socket.socket, size: int) -> None:
    """Let the socket become readable once `size` bytes wait, or at its end.

    A socket whose receive window is used up is readable before. A larger size, which is set first, makes the
    kernel enlarge the window.
    """
    with contextlib.suppress(OSError):
        if size > 1:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVLOWAT, RECEIVE_WINDOW_FACTOR * size)
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVLOWAT, size)


def time_since_data(connection: socket.socket) -> float:
    """Seconds since data was last received on the connection (Linux); 0 if this cannot be determined."""
    try:
        info = connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, LAST_RECEIVED_END)
    except OSError:
        return 0.0
    if len(info) < LAST_RECEIVED_END:
        return 0.0
    (since,) = LAST_RECEIVED.unpack_from(info, LAST_RECEIVED_OFFSET)
    return float(since) / 1000


def _is_at_end(fileno: int) -> bool:
    """Whether the next read returns the end of the stream."""
    borrowed = socket.socket(socket.AF_INET, socket.SOCK_STREAM, fileno=fileno)
    try:
        return borrowed.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) == b""
    except BlockingIOError:
        return False
    except OSError:
        return True
    finally:
        borrowed.detach()
