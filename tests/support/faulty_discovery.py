"""A stand-in for discovery whose watches stall and whose further calls fail in a chosen way."""

from __future__ import annotations

import asyncio
import contextlib
import json
import math
import socket
import struct
import time
from enum import Enum

from support.loopback import listing, read_message, response
from support.proxies import WatchedDiscovery

QUEUE_TIME_S = 0.86  # that a call waits until it is rejected, as in report 58289b
BYTE_INTERVAL_S = 0.3  # between the bytes of an answer that comes byte by byte
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # option SO_LINGER: a close resets the connection
LATE_ANSWER_S = 5.0  # that a call waits for its list, where lists are late


class CallFault(Enum):
    """What becomes of each call."""

    NONE = "answered"
    REJECTED_AFTER_WAIT = "rejected after a wait"
    REJECTED_AT_ONCE = "rejected at once"
    SILENT = "never answered"
    NEVER_READ = "never read"
    RESET = "reset"
    BYTE_BY_BYTE = "answered byte by byte"
    LATE = "answered late"


class FaultyDiscovery(WatchedDiscovery):
    """Answers calls as discovery does until `fail_calls`; all watches that are open then stall."""

    def __init__(self) -> None:
        super().__init__()
        self.fault = CallFault.NONE
        self.generation = 0  # watches of an earlier one are stalled
        self.rejected_generation = -1  # watches of this one are rejected
        self.written_at: list[float] = []  # when the answers with a change were written
        self.called_at = 0.0  # when the latest call was read
        self.rest_released: asyncio.Event | None = None  # the second half of such an answer waits for it
        self.rejections_left = math.inf  # calls that REJECTED_AFTER_WAIT and REJECTED_AT_ONCE still reject
        self.writers: set[asyncio.StreamWriter] = set()  # open connections

    def fail_calls(self, fault: CallFault) -> None:
        """Stall all open watches, and let each further call end with `fault`."""
        self.generation += 1
        self.fault = fault

    async def go_down(self) -> None:
        """Reject all open watches, and each further call after a wait, as discovery does while it is down."""
        self.rejected_generation = self.generation
        self.fail_calls(CallFault.REJECTED_AFTER_WAIT)
        async with self.changed:
            self.changed.notify_all()

    def reject_calls(self, count: int) -> None:
        """Stall all open watches and reject the next calls after a wait, as an overloaded discovery does."""
        self.fail_calls(CallFault.REJECTED_AFTER_WAIT)
        self.rejections_left = count

    def die(self) -> None:
        """End the process: open connections are reset and new ones refused."""
        self.server.close()
        for writer in list(self.writers):
            connection = writer.get_extra_info("socket")
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            writer.transport.abort()

    async def revive(self) -> None:
        """Start the process again at the same address, with the list as it is by now."""
        host, _, port = self.address.rpartition(":")
        self.server = await asyncio.start_server(self.serve, host, int(port))

    async def next_call(self) -> None:
        """Wait until the next call was read; the watch then waits for its whole hold time."""
        before = self.called_at
        while self.called_at == before:
            await asyncio.sleep(0.005)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            if self.fault is CallFault.NEVER_READ:
                writer.transport.pause_reading()  # type: ignore[attr-defined]
                await asyncio.Event().wait()
            while True:
                line, _, _ = await read_message(reader)
                if not await self._serve_call(line.split(" ")[1], reader, writer):
                    break
        self.writers.discard(writer)
        writer.close()

    async def _serve_call(
        self, target: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Answer or fail a call; returns whether the connection goes on."""
        fault, generation = self.fault, self.generation
        self.called_at = time.monotonic()
        if fault is CallFault.RESET:
            writer.transport.abort()
            return False
        if fault is CallFault.SILENT:
            await reader.read()  # until the proxy gives up
            return False
        rejects = fault in (CallFault.REJECTED_AFTER_WAIT, CallFault.REJECTED_AT_ONCE)
        if rejects and self.rejections_left > 0:
            self.rejections_left -= 1
            await asyncio.sleep(QUEUE_TIME_S if fault is CallFault.REJECTED_AFTER_WAIT else 0.0)
            writer.write(response(503))
            return True
        if fault is CallFault.BYTE_BY_BYTE:
            version = int(target.partition("from=")[2].partition("&")[0])
            answer = response(200, json.dumps(listing(version, snapshot=False)).encode())
            for byte in answer:
                writer.write(bytes((byte,)))
                await asyncio.sleep(BYTE_INTERVAL_S)
            return True
        if fault is CallFault.LATE:
            await asyncio.sleep(LATE_ANSWER_S)
        if "from=" not in target:
            writer.write(response(200, self.change))
            return True
        answer = await self.watch(target, lambda: generation == self.rejected_generation)
        if generation == self.rejected_generation:
            writer.write(response(503))
            return True
        if generation != self.generation:
            await reader.read()  # this watch has stalled
            return False
        if not (self.change and self.change in answer):
            writer.write(answer)
            return True
        half = len(answer) // 2
        writer.write(answer[:half])
        if self.rest_released is not None:
            await self.rest_released.wait()
        writer.write(answer[half:])
        self.written_at.append(time.monotonic())
        return True
