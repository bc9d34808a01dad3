"""Conversion between the store's operations and messages of the etcd v3 API.

Both the client and the test rig's store server use it.
"""

from __future__ import annotations

from typing import Any

from gladegw.control.wire import store_pb2 as pb
from gladegw.coordination import store
from gladegw.coordination.store import Compare, Delete, Get, KeyValue, Operation, Put, Target, Txn

TARGETS = [
    Target.VERSION,
    Target.CREATE,
    Target.MOD,
    Target.VALUE,
    Target.LEASE,
]  # indexed by the number of the target in the protocol
RELATIONS = ["=", ">", "<", "!="]  # indexed by the number of the result in the protocol


def key_value(kv: Any) -> KeyValue:
    """Convert an entry message."""
    return KeyValue(kv.key, kv.value, kv.create_revision, kv.mod_revision, kv.version, kv.lease)


def key_value_message(kv: KeyValue, keys_only: bool = False) -> Any:
    """Build an entry message; without its value if `keys_only`."""
    return pb.KeyValue(
        key=kv.key,
        value=b"" if keys_only else kv.value,
        create_revision=kv.create_revision,
        mod_revision=kv.mod_revision,
        version=kv.version,
        lease=kv.lease,
    )


def operation_message(operation: Operation) -> Any:
    """Build the message of an operation."""
    if isinstance(operation, Get):
        range_request = pb.RangeRequest(
            key=operation.key, range_end=operation.end, revision=operation.revision
        )
        return pb.RequestOp(request_range=range_request)
    if isinstance(operation, Put):
        put = pb.PutRequest(key=operation.key, value=operation.value, lease=operation.lease)
        return pb.RequestOp(request_put=put)
    return pb.RequestOp(
        request_delete_range=pb.DeleteRangeRequest(key=operation.key, range_end=operation.end, prev_kv=True)
    )


def txn_message(txn: Txn) -> Any:
    """Build the message of a transaction."""
    return pb.TxnRequest(
        compare=[_compare_message(compare) for compare in txn.compare],
        success=[operation_message(operation) for operation in txn.success],
        failure=[operation_message(operation) for operation in txn.failure],
    )


def _compare_message(compare: Compare) -> Any:
    parts: dict[str, Any] = {
        "result": RELATIONS.index(compare.relation),
        "target": TARGETS.index(compare.target),
        "key": compare.key,
        compare.target.value: compare.operand,
    }
    return pb.Compare(**parts)


def compare(message: Any) -> Compare:
    """Convert a comparison message.

    Raises StoreError for a comparison over a range, which is not supported.
    """
    if message.range_end:
        raise store.StoreError("etcdserver: a compare over a range is not served here")
    target = TARGETS[message.target]
    relation: Any = RELATIONS[message.result]
    return Compare(message.key, target, relation, getattr(message, target.value))


def operation(message: Any) -> Operation:
    """Convert an operation message.

    Raises StoreError for operations and options that are not supported.
    """
    kind = message.WhichOneof("request")
    if kind == "request_range":
        range_request = message.request_range
        return Get(range_request.key, range_request.range_end, range_request.revision)
    if kind == "request_put":
        put = message.request_put
        if put.ignore_value or put.ignore_lease:
            raise store.StoreError("etcdserver: ignore_value and ignore_lease are not served here")
        return Put(put.key, put.value, put.lease)
    if kind == "request_delete_range":
        return Delete(message.request_delete_range.key, message.request_delete_range.range_end)
    raise store.StoreError("etcdserver: transactions in transactions are not served here")


def txn(message: Any) -> Txn:
    """Convert a transaction message; raises StoreError as `compare` and `operation` do."""
    return Txn(
        tuple(compare(item) for item in message.compare),
        tuple(operation(item) for item in message.success),
        tuple(operation(item) for item in message.failure),
    )


def key_values_in(message: Any) -> tuple[KeyValue, ...]:
    """Return the entries in one response of a transaction."""
    kind = message.WhichOneof("response")
    if kind == "response_range":
        return tuple(key_value(kv) for kv in message.response_range.kvs)
    if kind == "response_delete_range":
        return tuple(key_value(kv) for kv in message.response_delete_range.prev_kvs)
    return ()


def event(message: Any) -> store.StoreEvent:
    """Convert a watch event message."""
    before = key_value(message.prev_kv) if message.HasField("prev_kv") else None
    return store.StoreEvent(key_value(message.kv), message.type == pb.Event.DELETE, before)
