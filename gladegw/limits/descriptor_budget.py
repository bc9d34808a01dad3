"""Split of the process's file descriptor limit by purpose."""

from __future__ import annotations

from dataclasses import dataclass

OTHER_DESCRIPTORS = 8  # discovery, listeners, files that are written occasionally
MIN_STARTUP_DESCRIPTORS = 16  # assumed to be in use at startup, at least
OPERATORS_FRACTION = 1 / 16  # of the descriptor limit, for operators' connections
MAX_OPERATOR_CONNECTIONS = 32
OPERATOR_PORT_DESCRIPTORS = 3  # the listener and its thread's socket pair for wake-ups
FLEET_MEMBER_DESCRIPTORS = 8  # event loop, two store connections and their replacements, one file
CLIENTS_FRACTION = 5 / 9  # of the remainder: most requests, but not all, need an upstream connection


@dataclass(frozen=True, slots=True)
class DescriptorBudget:
    """The maximum number of descriptors for each purpose."""

    clients: int
    upstreams: int
    operators: int  # 0 without an operators' listener


def split_descriptors(limit: int, in_use: int, operators: bool) -> DescriptorBudget:
    """Split `limit` descriptors, of which `in_use` are open already, by purpose.

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
