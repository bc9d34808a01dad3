"""Store client over the etcd v3 API by gRPC (etcd.io/docs, "API reference").

Reads are linearizable unless `serializable` is set: they need a quorum of the store. Serializable reads may
return an older state, which is enough for status pages and reports.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import AsyncIterator, Awaitable, Callable, Iterable, Sequence
from pathlib import Path
from typing import Any, TypeVar

from grpclib.client import Channel
from grpclib.const import Status
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError

from gladegw.control import store_messages
from gladegw.control.errors import StoreClientError, StoreRejectedError, StoreUnreachableError, WatchLostError
from gladegw.control.wire import store_grpc as services
from gladegw.control.wire import store_pb2 as pb
from gladegw.coordination.store import Get, KeyValue, Operation, StoreEvent, Txn, TxnResult

log = logging.getLogger(__name__)

# Statuses caused by one endpoint or by its connection to the leader: another endpoint may answer, and the
# outcome of a write is unknown. Any other status is the store's decision on the request.
ENDPOINT_FAULTS = (
    Status.UNAVAILABLE,
    Status.DEADLINE_EXCEEDED,
    Status.CANCELLED,
    Status.UNKNOWN,
    Status.INTERNAL,
)

T = TypeVar("T")


def addresses(endpoints: Iterable[str]) -> tuple[tuple[str, int], ...]:
    """Split validated endpoints, each `host:port`, into hosts and ports."""
    parts = [endpoint.rpartition(":") for endpoint in endpoints]
    return tuple((host, int(port)) for host, _, port in parts)


class StoreClient:
    """Client that uses one endpoint at a time and the next one after a failure.

    Each call is tried once, for `timeout` seconds at most. Calls raise StoreUnreachableError if the outcome
    is unknown and StoreRejectedError if the store rejected the request.
    """

    def __init__(self, endpoints: Sequence[tuple[str, int]], timeout: float, token_file: str = "") -> None:
        """`timeout` is the limit of a call in seconds; the token file is read for each call."""
        self.endpoints, self.timeout, self.token_file = list(endpoints), timeout, token_file
        self.endpoint_index = 0
        self.channel: Channel | None = None
        self.calls = 0

    def _open(self) -> Channel:
        if self.channel is None:
            host, port = self.endpoints[self.endpoint_index % len(self.endpoints)]
            self.channel = Channel(host, port)
        return self.channel

    def _metadata(self) -> dict[str, str]:
        if not self.token_file:
            return {}
        try:
            return {"token": Path(self.token_file).read_text(encoding="utf-8").strip()}
        except (OSError, UnicodeDecodeError) as fault:
            raise StoreRejectedError(
                f"{self.token_file}: {getattr(fault, 'strerror', None) or fault}"
            ) from None

    def use_next_endpoint(self) -> None:
        """Close the connection and use the next endpoint for the next call."""
        self.endpoint_index += 1
        self.close()

    def at_next_endpoint(self) -> StoreClient:
        """Return a client of the same store that begins with the next endpoint."""
        other = StoreClient(self.endpoints, self.timeout, self.token_file)
        other.endpoint_index = self.endpoint_index + 1
        return other

    def _on_endpoint_failure(self, channel: Channel) -> None:
        """Use the next endpoint, unless another call has already replaced the failed channel."""
        if channel is self.channel:
            self.use_next_endpoint()

    def close(self) -> None:
        """Close the connection; the next call opens a new one."""
        if self.channel is not None:
            self.channel.close()
            self.channel = None

    async def _call(self, request: Callable[[Channel, dict[str, str]], Awaitable[T]]) -> T:
        """Send one request to one endpoint; raises StoreClientError."""
        self.calls += 1
        channel = self._open()
        try:
            async with asyncio.timeout(self.timeout):
                return await request(channel, self._metadata())
        except GRPCError as fault:
            if fault.status in ENDPOINT_FAULTS:
                self._on_endpoint_failure(channel)
                raise StoreUnreachableError(fault.message or fault.status.name.lower()) from None
            raise StoreRejectedError(fault.message or fault.status.name.lower()) from None
        except (OSError, ProtocolError, StreamTerminatedError, EOFError) as fault:
            self._on_endpoint_failure(channel)
            reason = " ".join(str(fault).split()) or type(fault).__name__
            raise StoreUnreachableError(
                "no answer in time" if isinstance(fault, TimeoutError) else reason
            ) from None
        except StoreClientError:
            raise
        except Exception as fault:  # the response does not follow the protocol
            self._on_endpoint_failure(channel)
            raise StoreUnreachableError(f"malformed response: {type(fault).__name__}") from None

    async def txn(self, txn: Txn) -> TxnResult:
        """Execute a transaction."""
        message = store_messages.txn_message(txn)
        reply = await self._call(
            lambda channel, metadata: services.KVStub(channel).Txn(message, metadata=metadata)
        )
        entries = tuple(store_messages.key_values_in(part) for part in reply.responses)
        return TxnResult(reply.header.revision, reply.succeeded, entries)

    async def do(self, *operations: Operation) -> TxnResult:
        """Execute operations unconditionally in one transaction."""
        return await self.txn(Txn((), operations))

    async def get(self, request: Get, serializable: bool = False) -> tuple[int, tuple[KeyValue, ...]]:
        """Return the store's revision and the entries of a key or range."""
        message = pb.RangeRequest(
            key=request.key, range_end=request.end, revision=request.revision, serializable=serializable
        )
        reply = await self._call(
            lambda channel, metadata: services.KVStub(channel).Range(message, metadata=metadata)
        )
        return reply.header.revision, tuple(store_messages.key_value(kv) for kv in reply.kvs)

    async def count(self, first: bytes, end: bytes) -> int:
        """Return the number of keys in a range."""
        message = pb.RangeRequest(key=first, range_end=end, count_only=True)
        reply = await self._call(
            lambda channel, metadata: services.KVStub(channel).Range(message, metadata=metadata)
        )
        return int(reply.count)

    async def names(self, first: bytes, end: bytes) -> list[bytes]:
        """Return the keys of a range without their values."""
        message = pb.RangeRequest(key=first, range_end=end, keys_only=True)
        reply = await self._call(
            lambda channel, metadata: services.KVStub(channel).Range(message, metadata=metadata)
        )
        return [kv.key for kv in reply.kvs]

    async def grant(self, ttl: int) -> tuple[int, int]:
        """Create a lease; return its id and the granted time to live in seconds.

        The store may grant a longer time than requested.
        """
        message = pb.LeaseGrantRequest(TTL=ttl)
        reply = await self._call(
            lambda channel, metadata: services.LeaseStub(channel).LeaseGrant(message, metadata=metadata)
        )
        return reply.ID, reply.TTL

    async def keep_alive(self, id: int) -> int:
        """Renew a lease; return its time to live in seconds, or 0 if the lease does not exist."""

        async def request(channel: Channel, metadata: dict[str, str]) -> int:
            method = services.LeaseStub(channel).LeaseKeepAlive
            async with method.open(metadata=metadata) as stream:
                await stream.send_message(pb.LeaseKeepAliveRequest(ID=id), end=True)
                reply = await stream.recv_message()
                if reply is None:
                    raise StoreUnreachableError("the lease renewal was not answered")
                return int(reply.TTL)

        return await self._call(request)

    async def revoke(self, id: int) -> None:
        """Revoke a lease, which deletes its keys."""
        message = pb.LeaseRevokeRequest(ID=id)
        await self._call(
            lambda channel, metadata: services.LeaseStub(channel).LeaseRevoke(message, metadata=metadata)
        )

    async def status(self) -> Any:
        """Return the status message of the endpoint."""
        return await self._call(
            lambda channel, metadata: services.MaintenanceStub(channel).Status(
                pb.StatusRequest(), metadata=metadata
            )
        )

    async def watch(
        self, key: bytes, end: bytes, revision: int, silence: float
    ) -> AsyncIterator[tuple[int, list[StoreEvent]]]:
        """Yield the changes of a range from a revision on.

        Each item is the store's revision and the events up to it. Raises WatchLostError when the watch ends,
        or when nothing arrives for `silence` seconds although progress was requested: a broken connection is
        otherwise indistinguishable from a range without changes. The next call then uses the next endpoint.
        """
        create = pb.WatchCreateRequest(
            key=key, range_end=end, start_revision=revision, progress_notify=True, prev_kv=True
        )
        channel = self._open()
        stub = services.WatchStub(channel)
        pending: list[StoreEvent] = []
        try:
            async with stub.Watch.open(metadata=self._metadata()) as stream:
                await stream.send_message(pb.WatchRequest(create_request=create))
                progress_requested = False
                while True:
                    try:
                        async with asyncio.timeout(silence / 2):
                            reply = await stream.recv_message()
                    except TimeoutError:
                        if progress_requested:
                            self._on_endpoint_failure(channel)
                            raise WatchLostError("no response, although progress was requested") from None
                        progress_requested = True
                        progress = pb.WatchProgressRequest()
                        await stream.send_message(pb.WatchRequest(progress_request=progress))
                        continue
                    progress_requested = False
                    if reply is None:
                        self._on_endpoint_failure(channel)
                        raise WatchLostError("the store closed the watch")
                    if reply.canceled:
                        reason = reply.cancel_reason or "the store cancelled the watch"
                        raise WatchLostError(reason, bool(reply.compact_revision))
                    pending += [store_messages.event(event) for event in reply.events]
                    if reply.fragment or reply.created:
                        continue
                    complete, pending = pending, []
                    yield reply.header.revision, complete
        except (GRPCError, OSError, ProtocolError, StreamTerminatedError) as fault:
            self._on_endpoint_failure(channel)
            reason = (fault.message or "") if isinstance(fault, GRPCError) else " ".join(str(fault).split())
            raise WatchLostError(reason or type(fault).__name__) from None
