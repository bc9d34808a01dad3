"""Replacing a listening process: which connections are lost, and what is known of queued ones."""

from __future__ import annotations

import contextlib
import errno
import select
import socket
import time
from typing import Any

import pytest
from support.loopback import free_port

from gladegw.net import listener, sockets

CONNECTIONS = 60


def connect(port: int) -> list[socket.socket]:
    return [socket.create_connection(("127.0.0.1", port)) for _ in range(CONNECTIONS)]


def count_lost(callers: list[socket.socket]) -> int:
    """The number of connections that the kernel has reset or closed."""
    ended = select.select(callers, [], [], 0.2)[0]
    return len(ended)


@pytest.mark.parametrize("routed_to_newest", [False, True])
@pytest.mark.parametrize("emptied", [False, True])
def test_a_closed_listener_loses_the_connections_in_its_queue(
    routed_to_newest: bool, emptied: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    if not routed_to_newest:
        monkeypatch.setattr(listener, "route_to_newest", lambda sock: False)
    port = free_port()
    with contextlib.ExitStack() as stack:
        old = stack.enter_context(listener.listen("127.0.0.1", port))
        before = connect(port)
        new = stack.enter_context(listener.listen("127.0.0.1", port))
        after = connect(port)
        accepted = listener.accept_queued(old) if emptied else []
        old.close()
        lost_count = count_lost(before + after)
        for sock in (*before, *after, *accepted, *listener.accept_queued(new)):
            sock.close()
    if emptied:
        assert lost_count == 0  # no connection arrived between the two steps here
    elif routed_to_newest:
        assert lost_count == CONNECTIONS  # all connections from before the second socket, none from after it
    else:
        assert CONNECTIONS < lost_count < 2 * CONNECTIONS  # also about half of those from after it
    assert routed_to_newest or emptied or lost_count > CONNECTIONS


def test_connections_go_to_the_newest_open_listener_after_each_replacement() -> None:
    port = free_port()
    old = listener.listen("127.0.0.1", port)
    for _ in range(4):
        new = listener.listen("127.0.0.1", port)
        callers = connect(port)
        assert len(listener.accept_queued(old)) == 0 and len(listener.accept_queued(new)) == CONNECTIONS
        for caller in callers:
            caller.close()
        old.close()
        old = new
    dying = listener.listen("127.0.0.1", port)
    dying.close()
    callers = connect(port)
    assert len(listener.accept_queued(old)) == CONNECTIONS
    for caller in callers:
        caller.close()
    old.close()


def test_checking_whether_an_address_is_in_use_leaves_no_connection() -> None:
    port = free_port()
    assert not listener.is_in_use("127.0.0.1", port)
    with listener.listen("127.0.0.1", port) as sock:
        assert listener.is_in_use("127.0.0.1", port)
        assert listener.accept_queued(sock) == []
    assert not listener.is_in_use("127.0.0.1", port)


class RefusedSocket(socket.socket):
    """A socket that the system refuses to open for the first few times."""

    refusals = 0
    reason = errno.EMFILE

    def __init__(self, *how: Any, **named: Any) -> None:
        if RefusedSocket.refusals:
            RefusedSocket.refusals -= 1
            raise OSError(RefusedSocket.reason, "refused")
        super().__init__(*how, **named)


@pytest.mark.parametrize("reason", [errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM])
def test_a_start_succeeds_after_the_system_refused_sockets_briefly(
    reason: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against an exit with code 1 after a single socket(2) failed with EMFILE, as in a soak run."""
    port = free_port()
    monkeypatch.setattr(RefusedSocket, "reason", reason)
    monkeypatch.setattr(socket, "socket", RefusedSocket)
    RefusedSocket.refusals = 5
    assert not listener.is_in_use("127.0.0.1", port)
    RefusedSocket.refusals = 5
    listener.listen("127.0.0.1", port).close()


def test_a_start_fails_if_the_system_refuses_every_socket(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(sockets, "OPEN_RETRY_INTERVAL_S", 0.0)
    monkeypatch.setattr(RefusedSocket, "refusals", 10**6)
    monkeypatch.setattr(socket, "socket", RefusedSocket)
    with pytest.raises(OSError, match="refused"):
        listener.listen("127.0.0.1", 1)


@pytest.mark.parametrize(
    ("sent", "complete"),
    [(b"GET / HTTP/1.1\r\nX-", False), (b"GET / HTTP/1.1\r\n\r\n", True), (b"x" * 5000, True), (b"", True)],
)
def test_a_complete_request_in_the_accept_queue_is_told_from_a_partial_one(
    sent: bytes, complete: bool
) -> None:
    """Guards against the stall timeout during a flood closing complete requests from the accept queue."""
    with (
        listener.listen("127.0.0.1", free_port()) as sock,
        socket.create_connection(sock.getsockname()) as client,
    ):
        client.sendall(sent)
        time.sleep(0.1)
        accepted = sock.accept()[0]
        with accepted:
            queued = listener.received_before_accept(accepted)
            assert queued.received == len(sent) and queued.age >= 0.09
            assert not sent or queued.silence >= 0.09
            assert listener.has_complete_head(accepted) == complete
            accepted.setblocking(False)
            assert not sent or accepted.recv(8) == sent[:8]  # nothing was consumed
