"""The stand-in store's listeners: the published services over gRPC, one for each member."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Callable, Sequence
from typing import Any

from grpclib.const import Status
from grpclib.exceptions import GRPCError
from grpclib.server import Server

from gladegw.control import store_messages
from gladegw.control.wire import store_grpc as services
from gladegw.control.wire import store_pb2 as pb
from gladegw.coordination.store import (
    MAX_REQUEST_BYTES,
    CompactedError,
    Delete,
    Get,
    KeyValue,
    LeaseNotFoundError,
    Put,
    QuotaExceededError,
    StoreError,
    StoreEvent,
    Txn,
    TxnResult,
)
from gladegw.rig.store.cluster import NO_LEADER, Cluster, NotNow
from gladegw.rig.store.record import of_get

VERSION = "3.5.0"  # of the API, as Status tells it
CLUSTER = 0x6C61


@contextlib.contextmanager
def answered() -> Any:
    """The store's faults as codes of gRPC, as the published server gives them."""
    try:
        yield
    except NotNow as fault:
        raise GRPCError(Status.UNAVAILABLE, str(fault)) from None
    except LeaseNotFoundError as fault:
        raise GRPCError(Status.NOT_FOUND, f"etcdserver: {fault}") from None
    except QuotaExceededError as fault:
        raise GRPCError(Status.RESOURCE_EXHAUSTED, f"etcdserver: {fault}") from None
    except CompactedError as fault:
        raise GRPCError(Status.OUT_OF_RANGE, f"etcdserver: {fault}") from None
    except StoreError as fault:
        raise GRPCError(Status.INVALID_ARGUMENT, str(fault)) from None


class Front:
    """What the services of one member share."""

    def __init__(self, cluster: Cluster, member: int) -> None:
        self.cluster, self.member = cluster, member

    def header(self, revision: int | None = None) -> Any:
        cluster = self.cluster
        told = cluster.seen(self.member) if revision is None else revision
        return pb.ResponseHeader(
            cluster_id=CLUSTER, member_id=self.member + 1, revision=told, raft_term=cluster.term
        )

    async def write(self, txn: Txn) -> TxnResult:
        """As the cluster does it, and recorded."""
        recorder = self.cluster.recorder
        if recorder is None:
            return await self.cluster.write(self.member, txn)
        with recorder.txn(txn) as tell:
            done = await self.cluster.write(self.member, txn)
            tell(done)
        return done

    async def taken(self, stream: Any) -> Any:
        """The one message of a call; raises GRPCError for those that are not served."""
        message = await stream.recv_message()
        self.cluster.calls += 1
        self.allowed(stream)
        if message is None:
            raise GRPCError(Status.INVALID_ARGUMENT, "no message")
        if message.ByteSize() > MAX_REQUEST_BYTES:
            raise GRPCError(Status.INVALID_ARGUMENT, "etcdserver: request is too large")
        if not getattr(message, "serializable", False) and not isinstance(message, pb.StatusRequest):
            await self.cluster.heard()
        return message

    def allowed(self, stream: Any) -> None:
        if not self.cluster.machines[self.member].up:
            raise GRPCError(Status.UNAVAILABLE, "down")
        if self.cluster.token and stream.metadata.get("token") != self.cluster.token:
            raise GRPCError(Status.UNAUTHENTICATED, "etcdserver: invalid auth token")

    def led(self) -> None:
        if not self.cluster.led(self.member):
            raise GRPCError(Status.UNAVAILABLE, NO_LEADER)


def sorted_pairs(asked: Any, found: tuple[KeyValue, ...]) -> list[KeyValue]:
    """By what a RangeRequest wants, and filtered by its bounds."""
    pairs = [
        kv
        for kv in found
        if kv.mod_revision >= asked.min_mod_revision
        and kv.create_revision >= asked.min_create_revision
        and kv.mod_revision <= (asked.max_mod_revision or kv.mod_revision)
        and kv.create_revision <= (asked.max_create_revision or kv.create_revision)
    ]
    by: list[Callable[[KeyValue], Any]] = [
        lambda kv: kv.key,
        lambda kv: kv.version,
        lambda kv: kv.create_revision,
        lambda kv: kv.mod_revision,
        lambda kv: kv.value,
    ]
    if asked.sort_order:
        pairs.sort(key=by[asked.sort_target], reverse=asked.sort_order == pb.RangeRequest.DESCEND)
    return pairs


def range_answer(asked: Any, header: Any, found: tuple[KeyValue, ...]) -> Any:
    pairs = sorted_pairs(asked, found)
    count, shown = len(pairs), pairs[: asked.limit] if asked.limit else pairs
    told = [] if asked.count_only else [store_messages.key_value_message(kv, asked.keys_only) for kv in shown]
    return pb.RangeResponse(header=header, kvs=told, more=len(shown) < count, count=count)


class Kv(services.KVBase):
    def __init__(self, front: Front) -> None:
        self.front = front

    async def Range(self, stream: Any) -> None:
        asked = await self.front.taken(stream)
        with answered():
            get = Get(asked.key, asked.range_end, asked.revision)
            begin = self.front.cluster.clock()
            revision, found = self.front.cluster.read(self.front.member, get, asked.serializable)
            recorder = self.front.cluster.recorder
            if recorder is not None and not asked.serializable:
                recorder.add(of_get(get, found, begin, self.front.cluster.clock()))
        await stream.send_message(range_answer(asked, self.front.header(revision), found))

    async def Put(self, stream: Any) -> None:
        asked = await self.front.taken(stream)
        with answered():
            if asked.ignore_value or asked.ignore_lease:
                raise StoreError("etcdserver: ignore_value and ignore_lease are not served here")
            before = self.front.cluster.model.keys.get(asked.key)
            put = Put(asked.key, asked.value, asked.lease)
            done = await self.front.write(Txn((), (put,)))
        prev = store_messages.key_value_message(before) if asked.prev_kv and before is not None else None
        await stream.send_message(pb.PutResponse(header=self.front.header(done.revision), prev_kv=prev))

    async def DeleteRange(self, stream: Any) -> None:
        asked = await self.front.taken(stream)
        with answered():
            delete = Delete(asked.key, asked.range_end)
            done = await self.front.write(Txn((), (delete,)))
        prev = [store_messages.key_value_message(kv) for kv in done.found[0]] if asked.prev_kv else []
        header = self.front.header(done.revision)
        answer = pb.DeleteRangeResponse(header=header, deleted=len(done.found[0]), prev_kvs=prev)
        await stream.send_message(answer)

    async def Txn(self, stream: Any) -> None:
        asked = await self.front.taken(stream)
        with answered():
            txn = store_messages.txn(asked)
            done = await self.front.write(txn)
        header = self.front.header(done.revision)
        chosen = asked.success if done.succeeded else asked.failure
        parts = [self._part(op, header, found) for op, found in zip(chosen, done.found, strict=True)]
        await stream.send_message(pb.TxnResponse(header=header, succeeded=done.succeeded, responses=parts))

    @staticmethod
    def _part(operation: Any, header: Any, found: tuple[KeyValue, ...]) -> Any:
        kind = operation.WhichOneof("request")
        if kind == "request_range":
            return pb.ResponseOp(response_range=range_answer(operation.request_range, header, found))
        if kind == "request_put":
            return pb.ResponseOp(response_put=pb.PutResponse(header=header))
        prev = operation.request_delete_range.prev_kv
        told = [store_messages.key_value_message(kv) for kv in found] if prev else []
        answer = pb.DeleteRangeResponse(header=header, deleted=len(found), prev_kvs=told)
        return pb.ResponseOp(response_delete_range=answer)

    async def Compact(self, stream: Any) -> None:
        asked = await self.front.taken(stream)
        self.front.led()
        with answered():
            self.front.cluster.model.compact(asked.revision)
        await stream.send_message(pb.CompactionResponse(header=self.front.header()))


class Leases(services.LeaseBase):
    def __init__(self, front: Front) -> None:
        self.front = front

    async def LeaseGrant(self, stream: Any) -> None:
        asked = await self.front.taken(stream)
        self.front.led()
        with answered():
            lease = self.front.cluster.model.grant(asked.TTL, self.front.cluster.now, asked.ID)
        answer = pb.LeaseGrantResponse(header=self.front.header(), ID=lease.id, TTL=lease.ttl)
        await stream.send_message(answer)

    async def LeaseRevoke(self, stream: Any) -> None:
        asked = await self.front.taken(stream)
        self.front.led()
        cluster = self.front.cluster
        before, begin = cluster.model.revision, cluster.clock()
        with answered():
            cluster.model.revoke(asked.ID)
        cluster.ended_leases(before, begin)
        await stream.send_message(pb.LeaseRevokeResponse(header=self.front.header()))

    async def LeaseKeepAlive(self, stream: Any) -> None:
        async for asked in stream:
            self.front.cluster.calls += 1
            self.front.allowed(stream)
            await self.front.cluster.heard()
            self.front.led()
            if self.front.cluster.slow:
                await asyncio.sleep(self.front.cluster.slow)
            ttl = self.front.cluster.model.keep_alive(asked.ID, self.front.cluster.now)
            answer = pb.LeaseKeepAliveResponse(header=self.front.header(), ID=asked.ID, TTL=ttl)
            await stream.send_message(answer)

    async def LeaseTimeToLive(self, stream: Any) -> None:
        asked = await self.front.taken(stream)
        self.front.led()
        cluster = self.front.cluster
        lease = cluster.model.leases.get(asked.ID)
        answer = pb.LeaseTimeToLiveResponse(header=self.front.header(), ID=asked.ID, TTL=-1)
        if lease is not None:
            answer.TTL, answer.grantedTTL = int(lease.expires_at - cluster.now), lease.ttl
            answer.keys.extend(cluster.model.attached(lease.id) if asked.keys else [])
        await stream.send_message(answer)

    async def LeaseLeases(self, stream: Any) -> None:
        await self.front.taken(stream)
        self.front.led()
        leases = [pb.LeaseStatus(ID=id) for id in self.front.cluster.model.leases]
        await stream.send_message(pb.LeaseLeasesResponse(header=self.front.header(), leases=leases))


class Maintenance(services.MaintenanceBase):
    def __init__(self, front: Front) -> None:
        self.front = front

    async def Status(self, stream: Any) -> None:
        await self.front.taken(stream)
        cluster = self.front.cluster
        leader = 0 if cluster.leader is None or not cluster.quorum() else cluster.leader + 1
        answer = pb.StatusResponse(
            header=self.front.header(),
            version=VERSION,
            dbSize=cluster.model.size,
            leader=leader,
            raftIndex=cluster.model.revision,
            raftTerm=cluster.term,
            raftAppliedIndex=cluster.model.revision,
        )
        await stream.send_message(answer)


class Watching:
    """One watch on a stream: from where it has still to be told."""

    def __init__(self, id: int, create: Any, revision: int) -> None:
        self.id, self.create = id, create
        self.next = create.start_revision or revision + 1
        self.key, self.end = create.key, create.range_end

    def wants(self, event: StoreEvent) -> bool:
        filters = list(self.create.filters)
        return not (event.deleted and 1 in filters) and not (not event.deleted and 0 in filters)

    def message(self, event: StoreEvent) -> Any:
        before = event.before if self.create.prev_kv else None
        return pb.Event(
            type=pb.Event.DELETE if event.deleted else pb.Event.PUT,
            kv=store_messages.key_value_message(event.kv),
            prev_kv=store_messages.key_value_message(before) if before is not None else None,
        )


class Watches(services.WatchBase):
    def __init__(self, front: Front) -> None:
        self.front = front

    async def Watch(self, stream: Any) -> None:
        cluster, machine = self.front.cluster, self.front.cluster.machines[self.front.member]
        self.front.allowed(stream)
        wake = asyncio.Event()
        watching: dict[int, Watching] = {}
        machine.watches[wake] = watching  # type: ignore[assignment]  # dicts are invariant
        asked: asyncio.Queue[Any] = asyncio.Queue()

        async def hear() -> None:
            async for message in stream:
                asked.put_nowait(message)
                wake.set()
            asked.put_nowait(None)
            wake.set()

        hearing = asyncio.create_task(hear())
        try:
            while wake in machine.watches and machine.up:
                while not asked.empty():
                    message = asked.get_nowait()
                    if message is None:
                        return
                    await self._asked(stream, message, watching)
                for watch in list(watching.values()):
                    await self._tell(stream, watch, watching)
                wake.clear()
                if asked.empty() and all(w.next > cluster.seen(self.front.member) for w in watching.values()):
                    await wake.wait()
            raise GRPCError(Status.UNAVAILABLE, "the stream was cut")
        finally:
            machine.watches.pop(wake, None)
            hearing.cancel()

    async def _asked(self, stream: Any, message: Any, watching: dict[int, Watching]) -> None:
        kind = message.WhichOneof("request_union")
        header = self.front.header()
        if kind == "create_request":
            create = message.create_request
            id = create.watch_id or max(watching, default=-1) + 1
            watching[id] = Watching(id, create, self.front.cluster.seen(self.front.member))
            await stream.send_message(pb.WatchResponse(header=header, watch_id=id, created=True))
        elif kind == "cancel_request":
            id = message.cancel_request.watch_id
            if watching.pop(id, None) is not None:
                await stream.send_message(pb.WatchResponse(header=header, watch_id=id, canceled=True))
        elif not self.front.cluster.machines[self.front.member].cut:
            await stream.send_message(pb.WatchResponse(header=header, watch_id=-1))

    async def _tell(self, stream: Any, watch: Watching, watching: dict[int, Watching]) -> None:
        model, until = self.front.cluster.model, self.front.cluster.seen(self.front.member)
        if watch.next > until:
            return
        try:
            events = model.since(watch.next, watch.key, watch.end)
        except CompactedError as fault:
            del watching[watch.id]
            await stream.send_message(
                pb.WatchResponse(
                    header=self.front.header(),
                    watch_id=watch.id,
                    canceled=True,
                    compact_revision=fault.compact_revision,
                    cancel_reason=str(fault),
                )
            )
            return
        told = [event for event in events if event.kv.mod_revision <= until and watch.wants(event)]
        watch.next = until + 1
        if told:
            events_told = [watch.message(event) for event in told]
            header = self.front.header(until)
            await stream.send_message(pb.WatchResponse(header=header, watch_id=watch.id, events=events_told))


class Store:
    """The model's listeners, one for each member; `async with` starts and ends them."""

    def __init__(self, cluster: Cluster, listeners: Sequence[socket.socket]) -> None:
        self.cluster, self.listeners = cluster, listeners
        self.servers: list[Server] = []

    async def __aenter__(self) -> Store:
        for number, listener in enumerate(self.listeners):
            front = Front(self.cluster, number)
            server = Server([Kv(front), Leases(front), Watches(front), Maintenance(front)])
            await server.start(sock=listener)
            self.servers.append(server)
        self.expiring = asyncio.create_task(self.cluster.expire())
        return self

    async def __aexit__(self, *exc: object) -> None:
        self.expiring.cancel()
        self.cluster.cut_watches()
        for server in self.servers:
            server.close()
        for server in self.servers:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(1.0):
                    await server.wait_closed()
