"""Listener for operator commands, on its own thread so that it responds while the event loop is busy."""

from __future__ import annotations

import contextlib
import logging
import os
import select
import socket
import threading
import time

from gladegw.net.config import Address, ConfigError
from gladegw.net.listener import family_of
from gladegw.net.sockets import open_socket
from gladegw.operators.commands import CommandHandler, LineReader

log = logging.getLogger(__name__)

CONNECTION_TIMEOUT_S = 5.0  # from accepting a connection to the end of its response
SWEEP_INTERVAL_S = 0.5  # between checks for overdue connections
READ_BYTES = 4096  # per recv call
ACCEPT_RETRY_INTERVAL_S = 0.05  # pause after accept() failed


class CommandConnection:
    """One operator connection, which carries one command."""

    __slots__ = ("accepted_at", "reader", "reply", "sock")

    def __init__(self, sock: socket.socket, accepted_at: float) -> None:
        self.sock, self.accepted_at = sock, accepted_at
        self.reader = LineReader()
        self.reply: bytes | None = None


class CommandServer:
    """Listener for operator commands. It binds its address when created and responds once started.

    Raises ConfigError if it cannot bind.
    """

    def __init__(self, address: Address) -> None:
        try:
            self.listener = open_socket(family_of(address[0]), socket.SOCK_STREAM | socket.SOCK_CLOEXEC)
        except OSError as error:
            raise ConfigError(
                f"cannot create a socket for admin_addr {address[0]}:{address[1]}: {error.strerror}"
            ) from None
        try:
            self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            self.listener.bind(address)
            self.listener.listen(64)
        except OSError as error:
            self.listener.close()
            reason = error.strerror or error
            raise ConfigError(f"bad configuration: admin_addr {address[0]}:{address[1]}: {reason}") from None
        self.listener.setblocking(False)
        self.connections: dict[int, CommandConnection] = {}  # by file descriptor, oldest first
        self.poll = select.poll()
        self.stop_reader, self.stop_writer = os.pipe()
        self.accepting = True
        self.thread: threading.Thread | None = None

    def start(self, handler: CommandHandler, max_connections: int) -> None:
        """Start the thread.

        At most `max_connections` connections are open; the oldest is closed to make room for another.
        """
        self.handler, self.max_connections = handler, max_connections
        self.thread = threading.Thread(target=self._run, name="admin", daemon=True)
        self.thread.start()

    def close(self) -> None:
        """Stop the thread."""
        os.close(self.stop_writer)
        if self.thread is not None:
            self.thread.join(1.0)

    def _run(self) -> None:
        self.poll.register(self.listener, select.POLLIN)
        self.poll.register(self.stop_reader, select.POLLIN | select.POLLHUP)
        accept_again_at = next_sweep_at = 0.0
        while True:
            ready = self.poll.poll(
                SWEEP_INTERVAL_S * 1000 if self.accepting else ACCEPT_RETRY_INTERVAL_S * 1000
            )
            now = time.monotonic()
            if not self.accepting and now >= accept_again_at:
                self.accepting = True
                self.poll.register(self.listener, select.POLLIN)
            for descriptor, _ in ready:
                if descriptor == self.stop_reader:
                    self.listener.close()
                    return
                if descriptor == self.listener.fileno():
                    if not self._accept(now):
                        self.accepting, accept_again_at = False, now + ACCEPT_RETRY_INTERVAL_S
                        self.poll.unregister(self.listener)
                elif descriptor in self.connections:
                    try:
                        self._serve(self.connections[descriptor])
                    except OSError:
                        self._drop(descriptor)
                    except Exception:
                        log.exception("an operator command failed")
                        self._drop(descriptor)
            if now >= next_sweep_at:
                next_sweep_at = now + SWEEP_INTERVAL_S
                for descriptor, connection in list(self.connections.items()):
                    if connection.accepted_at < now - CONNECTION_TIMEOUT_S:
                        self._drop(descriptor)

    def _accept(self, now: float) -> bool:
        """Accept all pending connections.

        Return False if accept() fails even after closing every open connection.
        """
        while True:
            if len(self.connections) >= self.max_connections:
                self._drop(next(iter(self.connections)))
            try:
                sock, _ = self.listener.accept()
            except BlockingIOError:
                return True
            except OSError as error:
                if self.connections:
                    self._drop(next(iter(self.connections)))
                    continue
                log.warning("could not accept an operator connection: %s", error)
                return False
            sock.setblocking(False)
            self.connections[sock.fileno()] = CommandConnection(sock, now)
            self.poll.register(sock, select.POLLIN)

    def _drop(self, descriptor: int) -> None:
        connection = self.connections.pop(descriptor)
        self.poll.unregister(descriptor)
        connection.sock.close()

    def _serve(self, connection: CommandConnection) -> None:
        descriptor = connection.sock.fileno()
        if connection.reply is None or connection.reply == b"":
            data = connection.sock.recv(READ_BYTES)
            if connection.reply is not None:
                # The response is sent, but closing with unread bytes could reset the connection and lose it.
                if not data:
                    self._drop(descriptor)
                return
            line = connection.reader.feed(data) if data else connection.reader.finish()
            if line is None:
                if not data:
                    self._drop(descriptor)
                return
            connection.reply = self.handler.answer(line, connection.reader.too_long)
            self.poll.modify(descriptor, select.POLLOUT)
        with contextlib.suppress(BlockingIOError):
            connection.reply = connection.reply[connection.sock.send(connection.reply) :]
        if not connection.reply:
            connection.sock.shutdown(socket.SHUT_WR)
            self.poll.modify(descriptor, select.POLLIN)
