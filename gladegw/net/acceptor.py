"""Accepting of downstream connections: listeners, the descriptor limit, address headers, TLS handshakes."""

from __future__ import annotations

import asyncio
import logging
import socket
import time
from collections.abc import Callable
from functools import partial
from typing import Any

from gladegw.limits.connection_eviction import SERVED_FRACTION, ConnectionFlood, is_lagging
from gladegw.limits.request_timeouts import HEAD_TIMEOUT_S
from gladegw.net import listener
from gladegw.net.interfaces import (
    Certificates,
    ClientIdentifier,
    ClientIdentity,
    ConnectionRejectedError,
    format_address,
)
from gladegw.net.sockets import OUT_OF_RESOURCES

log = logging.getLogger(__name__)

MAX_ACCEPTED_PER_TURN = 32  # bounds how long other callbacks of the event loop wait
MAX_EXAMINED_PER_TURN = 128  # the same, counting also the connections that are closed unread
HANDSHAKE_FRACTION = 0.1  # of the descriptor limit, for address headers and TLS handshakes
RESUME_INTERVAL_S = 0.02  # until a paused listener resumes, if no connection ends before
LOG_INTERVAL_S = 5.0  # between log lines about failures to accept
TLS_CLOSE_TIMEOUT_S = 1.0  # for the peer's close_notify alert
FINAL_ACCEPT_S = 0.3  # to accept queued connections before closing

MakeProtocol = Callable[[ClientIdentity | None, float], asyncio.BaseProtocol]  # client, time of connecting


class Acceptor:
    """Accepts connections while fewer than `max_descriptors` descriptors are in use.

    Near that limit, `evict` is called with the number of connections to evict. `make_protocol` creates the
    protocol of an accepted connection, and `count_connections` returns the number of open connections.
    """

    def __init__(
        self,
        make_protocol: MakeProtocol,
        max_descriptors: int,
        count_connections: Callable[[], int],
        evict: Callable[[int], None],
    ) -> None:
        self.loop = asyncio.get_running_loop()
        self.make_protocol, self.count_connections, self.evict = make_protocol, count_connections, evict
        self.limit_descriptors(max_descriptors)
        self.identifier: ClientIdentifier | None = None
        self.listeners: dict[socket.socket, Certificates | None] = {}
        self.paused: set[socket.socket] = set()  # listeners from which connections are not accepted
        self.handshakes: set[asyncio.Task[None]] = set()
        # Those of the handshakes that wait for the client's address header or TLS messages, oldest first:
        self.identifying: dict[asyncio.Task[None], None] = {}
        self.last_logged = 0.0

    def limit_descriptors(self, max_descriptors: int) -> None:
        """Use at most so many descriptors from now on."""
        self.max_descriptors = max_descriptors
        self.max_served = max(1, int(max_descriptors * SERVED_FRACTION))
        self.flood = ConnectionFlood(self.max_served)

    def listen(self, host: str, port: int, certificates: Certificates | None = None) -> None:
        """Listen at an address, with TLS if `certificates` are given.

        Raises OSError.
        """
        sock = listener.listen(host, port)
        self.listeners[sock] = certificates
        self.loop.add_reader(sock, self._accept, sock)

    @property
    def descriptors_in_use(self) -> int:
        """The number of descriptors of downstream connections."""
        return self.count_connections() + len(self.handshakes)

    def reserve_descriptor(self) -> bool:
        """Evict a connection if necessary, and return whether one more descriptor may be used.

        Near the limit the new descriptor replaces that of an evicted connection, which closes in the next
        iteration of the event loop, or it serves a client whose request will be shed.
        """
        in_use = self.descriptors_in_use
        if in_use >= self.max_served:
            self.evict(1)
        return in_use < self.max_descriptors

    def _accept(self, sock: socket.socket) -> None:
        """Accept queued connections.

        Near the limit, queued connections that send as slowly as those of a connection flood are closed
        unread, so that other clients do not wait behind them. Each connection accepted there replaces an
        evicted one.
        """
        in_use = before = self.descriptors_in_use
        examined, full = 0, False
        while examined < MAX_EXAMINED_PER_TURN:
            if in_use >= self.max_descriptors or in_use - before >= MAX_ACCEPTED_PER_TURN:
                full = in_use >= self.max_descriptors
                break
            try:
                client, _ = sock.accept()
            except BlockingIOError:
                break
            except OSError as fault:
                if fault.errno in OUT_OF_RESOURCES:
                    self._log_fault(fault)
                    self.evict(1)
                    return self._pause_listener(sock)
                examined += 1  # the connection failed in the queue; others may be queued behind it
                continue
            examined += 1
            accepted_at = time.monotonic()
            if in_use >= self.max_served:
                queued = listener.received_before_accept(client)
                if self._is_lagging(client, queued, self.listeners[sock] is not None):
                    client.close()
                    continue
                accepted_at -= queued.age
            self._admit(client, self.listeners[sock], accepted_at)
            in_use += 1
        self.flood.on_accepted(examined, time.monotonic())
        if in_use > self.max_served:
            self.evict(in_use - self.max_served if full else min(in_use - self.max_served, in_use - before))
        if full:
            self._pause_listener(sock)
        return None

    def _is_lagging(self, client: socket.socket, queued: listener.QueuedConnection, tls: bool) -> bool:
        """Whether a queued connection has sent too little, or a part of a head and then nothing.

        TLS clients are exempt from the second rule: after its first message, a client waits for the server.
        """
        if is_lagging(queued.received, queued.age, self.flood.silence_timeout):
            return True
        is_stalled = queued.received > 0 and queued.silence > self.flood.stall_timeout and not tls
        return is_stalled and not listener.has_complete_head(client)

    def _log_fault(self, fault: OSError) -> None:
        """Log a failure to accept, at most once in LOG_INTERVAL_S."""
        if time.monotonic() > self.last_logged + LOG_INTERVAL_S:
            self.last_logged = time.monotonic()
            log.warning("cannot accept connections: %s", fault)

    def _pause_listener(self, sock: socket.socket) -> None:
        """Stop accepting from a listener for RESUME_INTERVAL_S, or until a connection ends."""
        if sock not in self.paused:
            self.paused.add(sock)
            self.loop.remove_reader(sock)
            self.loop.call_later(RESUME_INTERVAL_S, self.resume)

    def resume(self) -> None:
        """Accept from the paused listeners again."""
        paused, self.paused = self.paused, set()
        for sock in paused:
            if sock in self.listeners:
                self.loop.add_reader(sock, self._accept, sock)

    def _admit(self, client: socket.socket, certificates: Certificates | None, accepted_at: float) -> None:
        """Start the handshake of an accepted socket.

        If too many clients are being identified, the oldest handshake is cancelled.
        """
        client.setblocking(False)
        task = self.loop.create_task(self._handshake(client, certificates, accepted_at))
        self.handshakes.add(task)
        task.add_done_callback(self.handshakes.discard)
        if self.identifier is not None or certificates is not None:
            if len(self.identifying) >= max(1, int(self.max_descriptors * HANDSHAKE_FRACTION)):
                next(iter(self.identifying)).cancel()
            self.identifying[task] = None
            task.add_done_callback(self.identifying.pop)

    async def _handshake(
        self, sock: socket.socket, certificates: Certificates | None, accepted_at: float
    ) -> None:
        """Read the address header and do the TLS handshake, within the timeout of a request's head."""
        socket_handed_over = False
        client = "unknown"
        peer: ClientIdentity | None = None
        try:
            options: dict[str, Any] = {}
            if self.identifier is not None or certificates is not None:
                peer = ClientIdentity(format_address(sock.getpeername()))
                client = peer.client
            if self.identifier is not None:
                async with asyncio.timeout(HEAD_TIMEOUT_S):
                    peer = await self.identifier.identify(sock)
            if certificates is not None:
                options = {
                    "ssl": certificates.context,
                    "ssl_shutdown_timeout": TLS_CLOSE_TIMEOUT_S,
                    "ssl_handshake_timeout": accepted_at + HEAD_TIMEOUT_S - time.monotonic(),
                }
            socket_handed_over = True
            await self.loop.connect_accepted_socket(
                partial(self.make_protocol, peer, accepted_at), sock, **options
            )
        except ConnectionRejectedError as fault:
            if str(fault):
                log.warning("connection closed: client=%s reason=%s", client, fault)
        except OSError as fault:
            if socket_handed_over and certificates is not None:
                log.warning(
                    "tls: handshake refused: client=%s reason=%s", client, certificates.describe_fault(fault)
                )
            elif isinstance(fault, TimeoutError):
                log.warning("connection closed: client=%s reason=timed out before identification", client)
        except Exception:
            log.exception("unexpected error while accepting a connection")
        finally:
            if not socket_handed_over:
                sock.close()

    async def close(self) -> None:
        """Close the listeners after accepting queued connections as far as capacity allows.

        Closing a listener resets the connections in its queue.
        """
        end = time.monotonic() + FINAL_ACCEPT_S
        for sock, certificates in self.listeners.items():
            if sock not in self.paused:
                self.loop.remove_reader(sock)
            while time.monotonic() < end:
                if not self.reserve_descriptor():
                    await asyncio.sleep(RESUME_INTERVAL_S / 4)
                    continue
                try:
                    self._admit(sock.accept()[0], certificates, time.monotonic())
                except BlockingIOError:  # the queue is empty
                    break
                except OSError:  # temporary, or it concerns one connection only
                    await asyncio.sleep(RESUME_INTERVAL_S / 4)
            sock.close()
        self.listeners = {}
