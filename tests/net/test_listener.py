"""What each way of replacing a listening process loses, on the sockets alone."""

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

COUNT = 60


def connect(port: int) -> list[socket.socket]:
    return [socket.create_connection(("127.0.0.1", port)) for _ in range(COUNT)]


def lost(callers: list[socket.socket]) -> int:
    """Those whose connection the kernel has reset or closed."""
    ended = select.select(callers, [], [], 0.2)[0]
    return len(ended)


@pytest.mark.parametrize("led", [False, True])
@pytest.mark.parametrize("emptied", [False, True])
def test_a_closed_listener_loses_what_is_in_its_queue(
    led: bool, emptied: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    if not led:
        monkeypatch.setattr(listener, "route_to_newest", lambda sock: False)
    port = free_port()
    with contextlib.ExitStack() as stack:
        old = stack.enter_context(listener.listen("127.0.0.1", port))
        before = connect(port)
        new = stack.enter_context(listener.listen("127.0.0.1", port))
        after = connect(port)
        taken = listener.accept_queued(old) if emptied else []
        old.close()
        gone = lost(before + after)
        for sock in (*before, *after, *taken, *listener.accept_queued(new)):
            sock.close()
    if emptied:
        assert gone == 0  # nothing came between the two steps here
    elif led:
        assert gone == COUNT  # all that came before, and nothing that came after
    else:
        assert COUNT < gone < 2 * COUNT  # about half of what came after, too
    assert led or emptied or gone > COUNT


def test_the_newest_is_led_to_again_and_again_and_a_dead_one_is_not() -> None:
    port = free_port()
    old = listener.listen("127.0.0.1", port)
    for _ in range(4):
        new = listener.listen("127.0.0.1", port)
        callers = connect(port)
        assert len(listener.accept_queued(old)) == 0 and len(listener.accept_queued(new)) == COUNT
        for caller in callers:
            caller.close()
        old.close()
        old = new
    dying = listener.listen("127.0.0.1", port)
    dying.close()
    callers = connect(port)
    assert len(listener.accept_queued(old)) == COUNT
    for caller in callers:
        caller.close()
    old.close()


def test_whether_another_listens_is_seen_without_a_trace() -> None:
    port = free_port()
    assert not listener.is_in_use("127.0.0.1", port)
    with listener.listen("127.0.0.1", port) as sock:
        assert listener.is_in_use("127.0.0.1", port)
        assert listener.accept_queued(sock) == []
    assert not listener.is_in_use("127.0.0.1", port)


class Scarce(socket.socket):
    """A socket that the system refuses to open for the first few times."""

    refusals = 0
    reason = errno.EMFILE

    def __init__(self, *how: Any, **named: Any) -> None:
        if Scarce.refusals:
            Scarce.refusals -= 1
            raise OSError(Scarce.reason, "refused")
        super().__init__(*how, **named)


@pytest.mark.parametrize("reason", [errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM])
def test_a_start_goes_on_when_the_system_refuses_a_socket_for_a_moment(
    reason: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Seen on a day of the soak: one socket(2) failed with EMFILE, and the process ended with code 1."""
    port = free_port()
    monkeypatch.setattr(Scarce, "reason", reason)
    monkeypatch.setattr(socket, "socket", Scarce)
    Scarce.refusals = 5
    assert not listener.is_in_use("127.0.0.1", port)
    Scarce.refusals = 5
    listener.listen("127.0.0.1", port).close()


def test_a_start_that_gets_no_socket_at_all_ends(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(sockets, "OPEN_RETRY_INTERVAL_S", 0.0)
    monkeypatch.setattr(Scarce, "refusals", 10**6)
    monkeypatch.setattr(socket, "socket", Scarce)
    with pytest.raises(OSError, match="refused"):
        listener.listen("127.0.0.1", 1)


@pytest.mark.parametrize(
    ("sent", "complete"),
    [(b"GET / HTTP/1.1\r\nX-", False), (b"GET / HTTP/1.1\r\n\r\n", True), (b"x" * 5000, True), (b"", True)],
)
def test_a_whole_request_that_waits_to_be_accepted_is_told_from_a_half_written_one(
    sent: bytes, complete: bool
) -> None:
    """Guards against a flood's stall timeout that closes whole requests which waited in the accept queue."""
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
            assert not sent or accepted.recv(8) == sent[:8]  # nothing was taken
