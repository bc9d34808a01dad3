"""Lets callers in: listeners, the bound on descriptors, and what comes before HTTP."""

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
from gladegw.net.interfaces import Certificates, Door, Peer, TurnedAway, told_address
from gladegw.net.sockets import OUT_OF_RESOURCES
from gladegw.net.tls import reason

log = logging.getLogger(__name__)

BATCH = 32  # connections let in before the loop turns to others
LOOKS = 128  # connections looked at before that
ENTERING_SHARE = 0.1  # of the bound, that may be at their handshake
PAUSE = 0.02  # s until the next look for room, when no end of a connection makes it
SAID = 5.0  # s between two lines about connections that can't be let in
GOODBYE = 1.0  # s for the end of a TLS connection to be answered
LAST_LOOK = 0.3  # s for which what waits in a listener's queue is let in before it closes

Make = Callable[[Peer | None, float], asyncio.BaseProtocol]  # who, and when it came


class Entrance:
    """Accepts while fewer than `most` descriptors are `held`. Near that bound `evict` ends so many of them
    that give way, if there are such. `make` is what a connection becomes."""

    def __init__(self, make: Make, most: int, held: Callable[[], int], evict: Callable[[int], None]) -> None:
        self.loop = asyncio.get_running_loop()
        self.make, self.most, self.held, self.evict = make, most, held, evict
        self.served = max(1, int(most * SERVED_FRACTION))
        self.press = ConnectionFlood(self.served)
        self.door: Door | None = None
        self.listeners: dict[socket.socket, Certificates | None] = {}
        self.resting: set[socket.socket] = set()  # listeners that are not read now
        self.entering: set[asyncio.Task[None]] = set()
        self.meeting: dict[asyncio.Task[None], None] = {}  # those at a door or a handshake, the oldest first
        self.said = 0.0

    def listen(self, host: str, port: int, certificates: Certificates | None = None) -> None:
        """Raises OSError."""
        sock = listener.listen(host, port)
        self.listeners[sock] = certificates
        self.loop.add_reader(sock, self._accept, sock)

    @property
    def taken(self) -> int:
        """Descriptors that callers hold."""
        return self.held() + len(self.entering)

    def make_room(self) -> bool:
        """Whether one more descriptor may be taken. Near the bound it is the place of one that gives way,
        which leaves in the loop's next turn, or of a caller that will be refused."""
        taken = self.taken
        if taken >= self.served:
            self.evict(1)
        return taken < self.most

    def _accept(self, sock: socket.socket) -> None:
        """While places are wanted, who waited here without the bytes of a true caller is closed unread, so
        that the others don't wait for places behind it; who is let in takes the place of one that gives way.
        """
        taken = before = self.taken
        looked, full = 0, False
        while looked < LOOKS:
            if taken >= self.most or taken - before >= BATCH:
                full = taken >= self.most
                break
            try:
                caller, _ = sock.accept()
            except BlockingIOError:
                break
            except OSError as fault:
                if fault.errno in OUT_OF_RESOURCES:
                    self._say(fault)
                    self.evict(1)
                    return self._rest(sock)
                looked += 1  # it has failed before it was let in; others may wait behind it
                continue
            looked += 1
            came = time.monotonic()
            if taken >= self.served:
                age, received = listener.seen(caller)
                if is_lagging(received, age, self.press.silence_timeout):
                    caller.close()
                    continue
                if not received:
                    came -= age
            self._let_in(caller, self.listeners[sock], came)
            taken += 1
        self.press.on_accepted(looked, time.monotonic())
        if taken > self.served:
            self.evict(taken - self.served if full else min(taken - self.served, taken - before))
        if full:
            self._rest(sock)
        return None

    def _say(self, fault: OSError) -> None:
        if time.monotonic() > self.said + SAID:
            self.said = time.monotonic()
            log.warning("connections can't be accepted: %s", fault)

    def _rest(self, sock: socket.socket) -> None:
        if sock not in self.resting:
            self.resting.add(sock)
            self.loop.remove_reader(sock)
            self.loop.call_later(PAUSE, self.resume)

    def resume(self) -> None:
        """Some connection has ended, or it is time to look again."""
        resting, self.resting = self.resting, set()
        for sock in resting:
            if sock in self.listeners:
                self.loop.add_reader(sock, self._accept, sock)

    def _let_in(self, caller: socket.socket, certificates: Certificates | None, came: float) -> None:
        caller.setblocking(False)
        task = self.loop.create_task(self._enter(caller, certificates, came))
        self.entering.add(task)
        task.add_done_callback(self.entering.discard)
        if self.door is not None or certificates is not None:
            if len(self.meeting) >= max(1, int(self.most * ENTERING_SHARE)):
                next(iter(self.meeting)).cancel()  # it has said nothing for the longest
            self.meeting[task] = None
            task.add_done_callback(self.meeting.pop)

    async def _enter(self, sock: socket.socket, certificates: Certificates | None, came: float) -> None:
        """All that comes before HTTP, within the time of a first request."""
        handed_on = False
        told = "unknown"
        peer: Peer | None = None
        try:
            more: dict[str, Any] = {}
            if self.door is not None or certificates is not None:
                peer = Peer(told_address(sock.getpeername()))
                told = peer.client
            if self.door is not None:
                async with asyncio.timeout(HEAD_TIMEOUT_S):
                    peer = await self.door.meet(sock)
            if certificates is not None:
                more = {
                    "ssl": certificates.context,
                    "ssl_shutdown_timeout": GOODBYE,
                    "ssl_handshake_timeout": came + HEAD_TIMEOUT_S - time.monotonic(),
                }
            handed_on = True
            await self.loop.connect_accepted_socket(partial(self.make, peer, came), sock, **more)
        except TurnedAway as fault:
            if str(fault):
                log.warning("connection closed: client=%s reason=%s", told, fault)
        except OSError as fault:
            if handed_on and certificates is not None:
                log.warning("tls: handshake refused: client=%s reason=%s", told, reason(fault))
            elif isinstance(fault, TimeoutError):
                log.warning("connection closed: client=%s reason=nothing came in time", told)
        except Exception:
            log.exception("a connection could not be taken")
        finally:
            if not handed_on:
                sock.close()

    async def close(self) -> None:
        """What the kernel has let in already is served, as far as there is room: closing a listener resets
        what is in its queue."""
        end = time.monotonic() + LAST_LOOK
        for sock, certificates in self.listeners.items():
            if sock not in self.resting:
                self.loop.remove_reader(sock)
            while time.monotonic() < end:
                if not self.make_room():
                    await asyncio.sleep(PAUSE / 4)
                    continue
                try:
                    self._let_in(sock.accept()[0], certificates, time.monotonic())
                except BlockingIOError:  # the queue is empty
                    break
                except OSError:  # for a moment, or of one connection: what waits behind it is owed the same
                    await asyncio.sleep(PAUSE / 4)
            sock.close()
        self.listeners = {}
