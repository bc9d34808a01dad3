"""A client of the store over the etcd v3 API (etcd.io/docs, "API reference"), by gRPC.

All reads are linearizable: each is asked of a quorum, and a store that has none answers nobody. Where a read
may be old, as for a page that a person looks at, `serializable` says so at its use.
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

# What a member says of itself, or of the way to the leader: another member may do better, and whether a write
# was done is not known. Any other code is the store's own word on the request.
ELSEWHERE = (Status.UNAVAILABLE, Status.DEADLINE_EXCEEDED, Status.CANCELLED, Status.UNKNOWN, Status.INTERNAL)

T = TypeVar("T")


def addresses(endpoints: Iterable[str]) -> tuple[tuple[str, int], ...]:
    """Of checked endpoints, each `host:port`."""
    parts = [endpoint.rpartition(":") for endpoint in endpoints]
    return tuple((host, int(port)) for host, _, port in parts)


class StoreClient:
    """Asks one member at a time and turns to the next when it fails."""

    def __init__(self, endpoints: Sequence[tuple[str, int]], timeout: float, token_file: str = "") -> None:
        """`timeout`: s for each call of one member. The token's file is read for each connection."""
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
        """The next call goes to another member."""
        self.endpoint_index += 1
        self.close()

    def _failed(self, channel: Channel) -> None:
        """A call that began before another turned elsewhere says nothing of where that one turned to."""
        if channel is self.channel:
            self.use_next_endpoint()

    def close(self) -> None:
        if self.channel is not None:
            self.channel.close()
            self.channel = None

    async def _call(self, ask: Callable[[Channel, dict[str, str]], Awaitable[T]]) -> T:
        """One try of one member; raises StoreFault."""
        self.calls += 1
        channel = self._open()
        try:
            async with asyncio.timeout(self.timeout):
                return await ask(channel, self._metadata())
        except GRPCError as fault:
            if fault.status in ELSEWHERE:
                self._failed(channel)
                raise StoreUnreachableError(fault.message or fault.status.name.lower()) from None
            raise StoreRejectedError(fault.message or fault.status.name.lower()) from None
        except (OSError, ProtocolError, StreamTerminatedError, EOFError) as fault:
            self._failed(channel)
            why = " ".join(str(fault).split()) or type(fault).__name__
            raise StoreUnreachableError(
                "no answer in time" if isinstance(fault, TimeoutError) else why
            ) from None
        except StoreClientError:
            raise
        except Exception as fault:  # what came was no answer of the protocol
            self._failed(channel)
            raise StoreUnreachableError(f"rubbish: {type(fault).__name__}") from None

    async def txn(self, txn: Txn) -> TxnResult:
        asked = store_messages.txn_message(txn)
        reply = await self._call(lambda channel, told: services.KVStub(channel).Txn(asked, metadata=told))
        found = tuple(store_messages.key_values_in(part) for part in reply.responses)
        return TxnResult(reply.header.revision, reply.succeeded, found)

    async def do(self, *operations: Operation) -> TxnResult:
        return await self.txn(Txn((), operations))

    async def get(self, request: Get, serializable: bool = False) -> tuple[int, tuple[KeyValue, ...]]:
        """The store's revision and what it has."""
        message = pb.RangeRequest(
            key=request.key, range_end=request.end, revision=request.revision, serializable=serializable
        )
        reply = await self._call(lambda channel, told: services.KVStub(channel).Range(message, metadata=told))
        return reply.header.revision, tuple(store_messages.key_value(kv) for kv in reply.kvs)

    async def count(self, first: bytes, end: bytes) -> int:
        """How many keys there are."""
        message = pb.RangeRequest(key=first, range_end=end, count_only=True)
        reply = await self._call(lambda channel, told: services.KVStub(channel).Range(message, metadata=told))
        return int(reply.count)

    async def names(self, first: bytes, end: bytes) -> list[bytes]:
        """The keys alone."""
        message = pb.RangeRequest(key=first, range_end=end, keys_only=True)
        reply = await self._call(lambda channel, told: services.KVStub(channel).Range(message, metadata=told))
        return [kv.key for kv in reply.kvs]

    async def grant(self, ttl: int) -> tuple[int, int]:
        """A lease's id, and the time to live that the store gives: no less than it likes to."""
        message = pb.LeaseGrantRequest(TTL=ttl)
        reply = await self._call(
            lambda channel, told: services.LeaseStub(channel).LeaseGrant(message, metadata=told)
        )
        return reply.ID, reply.TTL

    async def keep_alive(self, id: int) -> int:
        """The time to live from now on; 0: there is no such lease."""

        async def ask(channel: Channel, told: dict[str, str]) -> int:
            method = services.LeaseStub(channel).LeaseKeepAlive
            async with method.open(metadata=told) as stream:
                await stream.send_message(pb.LeaseKeepAliveRequest(ID=id), end=True)
                reply = await stream.recv_message()
                if reply is None:
                    raise StoreUnreachableError("a renewal was not answered")
                return int(reply.TTL)

        return await self._call(ask)

    async def revoke(self, id: int) -> None:
        message = pb.LeaseRevokeRequest(ID=id)
        await self._call(
            lambda channel, told: services.LeaseStub(channel).LeaseRevoke(message, metadata=told)
        )

    async def status(self) -> Any:
        return await self._call(
            lambda channel, told: services.MaintenanceStub(channel).Status(pb.StatusRequest(), metadata=told)
        )

    async def watch(
        self, key: bytes, end: bytes, revision: int, silence: float
    ) -> AsyncIterator[tuple[int, list[StoreEvent]]]:
        """What changes from this revision on: the store's revision and the events that lead up to it. Raises
        WatchLost when it ends, or when nothing came for `silence` s although the store was asked: a watch
        that is cut off looks like one with nothing to tell; then the next call goes to another member."""
        create = pb.WatchCreateRequest(
            key=key, range_end=end, start_revision=revision, progress_notify=True, prev_kv=True
        )
        channel = self._open()
        stub = services.WatchStub(channel)
        held: list[StoreEvent] = []
        try:
            async with stub.Watch.open(metadata=self._metadata()) as stream:
                await stream.send_message(pb.WatchRequest(create_request=create))
                asked = False
                while True:
                    try:
                        async with asyncio.timeout(silence / 2):
                            reply = await stream.recv_message()
                    except TimeoutError:
                        if asked:
                            self._failed(channel)
                            raise WatchLostError("it fell silent") from None
                        asked = True
                        progress = pb.WatchProgressRequest()
                        await stream.send_message(pb.WatchRequest(progress_request=progress))
                        continue
                    asked = False
                    if reply is None:
                        self._failed(channel)
                        raise WatchLostError("it ended")
                    if reply.canceled:
                        why = reply.cancel_reason or "it was cancelled"
                        raise WatchLostError(why, bool(reply.compact_revision))
                    held += [store_messages.event(event) for event in reply.events]
                    if reply.fragment or reply.created:
                        continue
                    told, held = held, []
                    yield reply.header.revision, told
        except (GRPCError, OSError, ProtocolError, StreamTerminatedError) as fault:
            self._failed(channel)
            why = (fault.message or "") if isinstance(fault, GRPCError) else " ".join(str(fault).split())
            raise WatchLostError(why or type(fault).__name__) from None
