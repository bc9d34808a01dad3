"""How the descriptors that a process may hold are shared among their purposes."""

from __future__ import annotations

from dataclasses import dataclass

OTHER_DESCRIPTORS = 8  # discovery's connections, listeners, files that are written now and then
MIN_STARTUP_DESCRIPTORS = 16  # descriptors that a process is taken to hold at its start at least
OPERATORS_FRACTION = 1 / 16  # of the limit, for operators' callers
MAX_OPERATOR_CONNECTIONS = 32
OPERATOR_PORT_DESCRIPTORS = 3  # the operators' listener and what wakes its thread
FLEET_MEMBER_DESCRIPTORS = (
    8  # of coordination: its loop, two connections to the store, two that are being changed, a file
)
CLIENTS_FRACTION = 5 / 9  # of what is left; an attempt to a backend goes with most requests, but not with all


@dataclass(frozen=True, slots=True)
class DescriptorBudget:
    """Most descriptors for each purpose."""

    clients: int
    upstreams: int
    operators: int  # 0: nobody calls


def split_descriptors(limit: int, in_use: int, operators: bool) -> DescriptorBudget:
    """`held`: those in use before anything is opened for a purpose. What is shared out, with these and the
    rest, stays within the limit, as long as the limit leaves one for clients and one for backends."""
    callers = max(4, min(MAX_OPERATOR_CONNECTIONS, int(limit * OPERATORS_FRACTION))) if operators else 0
    own = OPERATOR_PORT_DESCRIPTORS if operators else 0
    free = max(2, limit - max(in_use, MIN_STARTUP_DESCRIPTORS) - OTHER_DESCRIPTORS - callers - own)
    clients = max(1, int(free * CLIENTS_FRACTION))
    return DescriptorBudget(clients, free - clients, callers)
