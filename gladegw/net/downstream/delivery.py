"""Delivery of the responses that were written to a client's connection."""

from __future__ import annotations

import asyncio
import math
import time

from gladegw.limits.delivery_progress import DeliveryProgress
from gladegw.net.sockets import all_acknowledged, has_unread, peer_has_closed, unacknowledged_bytes

MIN_RATE_TIME_S = 0.5  # over which a client's read rate is measured at least
CLIENT_STALL_S = 20.0  # a client whose system acknowledges nothing for this long has stopped reading


class ResponseDelivery:
    """Writes responses to a client's connection, and knows whether the client has received them."""

    __slots__ = ("_has_written", "_written_bytes", "_written_since", "progress", "transport")

    def __init__(self, now: float) -> None:
        self.transport: asyncio.Transport | None = None  # set while the connection is open
        self.progress = DeliveryProgress(CLIENT_STALL_S, now)
        self._has_written = False  # since all written bytes were last seen to be delivered
        self._written_bytes = 0  # since then
        self._written_since = now  # since when some written bytes have not been delivered

    @property
    def _fileno(self) -> int:
        assert self.transport is not None
        return int(self.transport.get_extra_info("socket").fileno())

    def write(self, data: bytes) -> None:
        """Write bytes of a response, unless the connection has been closed."""
        if self.transport is None:
            return
        if not (self._has_written and self.undelivered_bytes):
            self._written_bytes, self._written_since = 0, time.monotonic()
        self._has_written = True
        self._written_bytes += len(data)
        self.transport.write(data)

    @property
    def unsent_bytes(self) -> int:
        """Bytes that the kernel has not accepted yet; aborting the connection discards them."""
        return 0 if self.transport is None else self.transport.get_write_buffer_size()

    @property
    def undelivered_bytes(self) -> int:
        """Bytes that the client's system has not acknowledged, as far as this is known."""
        if self.transport is None:
            return 0
        return self.unsent_bytes + (unacknowledged_bytes(self._fileno) or 0)

    @property
    def in_progress(self) -> bool:
        """Whether written bytes are not delivered yet and the client still takes them.

        A client that has closed its side has gone, and one that has stalled has stopped reading.
        """
        if not self._has_written or self.transport is None:
            return False
        undelivered = self.undelivered_bytes
        if not undelivered:
            self._has_written = False
            return False
        if peer_has_closed(self._fileno):
            return False
        return not self.progress.has_stalled(time.monotonic(), undelivered)

    def read_rate(self, now: float) -> float:
        """Bytes per second that the client takes, infinite if it takes all or the time is too short to tell.

        Counted since its system last had everything that was written, so that a slow backend does not count.
        """
        duration = now - self._written_since
        if not self._has_written or duration < MIN_RATE_TIME_S:
            return math.inf
        undelivered = self.undelivered_bytes
        return (self._written_bytes - undelivered) / duration if undelivered else math.inf

    @property
    def close_loses_nothing(self) -> bool:
        """Whether all written bytes were acknowledged and no received byte is unread."""
        if self.transport is None or self.transport.is_closing() or peer_has_closed(self._fileno):
            return True
        return not self.unsent_bytes and all_acknowledged(self._fileno) and not has_unread(self._fileno)
