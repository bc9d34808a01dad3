"""Split of the process's descriptor limit among its purposes."""

from __future__ import annotations

from dataclasses import dataclass

OTHER_DESCRIPTORS = 8  # discovery, listeners, files written occasionally
MIN_STARTUP_DESCRIPTORS = 16  # floor for those in use at start
OPERATORS_FRACTION = 1 / 16  # of the limit
MAX_OPERATOR_CONNECTIONS = 32
OPERATOR_PORT_DESCRIPTORS = 3  # listener and the wake-up pair of its thread
FLEET_MEMBER_DESCRIPTORS = 8  # event loop, two store connections, two being replaced, a file
CLIENTS_FRACTION = 5 / 9  # of the rest: most requests, but not all, need an upstream connection


@dataclass(frozen=True, slots=True)
class DescriptorBudget:
    """The maximum number of descriptors for each purpose."""

    clients: int
    upstreams: int
    operators: int  # 0: no operators' listener


def split_descriptors(limit: int, in_use: int, operators: bool) -> DescriptorBudget:
    """Split `limit` descriptors, of which `in_use` are open already, among the purposes.

    The sum of all parts stays within `limit` unless the limit is too low for one client and one upstream
    connection; each of these gets at least one descriptor.
    """
    operator_connections = (
        max(4, min(MAX_OPERATOR_CONNECTIONS, int(limit * OPERATORS_FRACTION))) if operators else 0
    )
    operator_port = OPERATOR_PORT_DESCRIPTORS if operators else 0
    free = max(
        2,
        limit
        - max(in_use, MIN_STARTUP_DESCRIPTORS)
        - OTHER_DESCRIPTORS
        - operator_connections
        - operator_port,
    )
    clients = max(1, int(free * CLIENTS_FRACTION))
    return DescriptorBudget(clients, free - clients, operator_connections)
