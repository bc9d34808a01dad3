"""A server in its own threads, which keeps responding while the process under test is busy or stopped."""

from __future__ import annotations

import contextlib
import socket
import threading
from collections.abc import Callable

MAX_HEAD_BYTES = 65536


class ThreadedServer:
    """Passes the connection and each request, read by a single `recv`, to `respond`."""

    def __init__(self, respond: Callable[[socket.socket, bytes], None]) -> None:
        self.respond = respond
        self.listener = socket.create_server(("127.0.0.1", 0))
        host, port = self.listener.getsockname()[:2]
        self.address = str(host), int(port)
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                threading.Thread(target=self._serve, args=(self.listener.accept()[0],), daemon=True).start()

    def _serve(self, connection: socket.socket) -> None:
        with contextlib.suppress(OSError), connection:
            while head := connection.recv(MAX_HEAD_BYTES):
                self.respond(connection, head)
