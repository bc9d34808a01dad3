"""How the descriptors that a process may hold are shared among their purposes."""

from __future__ import annotations

from dataclasses import dataclass

REST = 8  # discovery's connections, listeners, files that are written now and then
LEAST_START = 16  # descriptors that a process is taken to hold at its start at least
OPERATORS_SHARE = 1 / 16  # of the limit, for operators' callers
OPERATORS_MOST = 32
OPERATORS_OWN = 3  # the operators' listener and what wakes its thread
AGENT_OWN = 8  # of coordination: its loop, two connections to the store, two that are being changed, a file
CLIENTS_SHARE = 5 / 9  # of what is left; an attempt to a backend goes with most requests, but not with all


@dataclass(frozen=True, slots=True)
class Shares:
    """Most descriptors for each purpose."""

    clients: int
    upstreams: int
    operators: int  # 0: nobody calls


def shares(limit: int, held: int, operators: bool) -> Shares:
    """`held`: those in use before anything is opened for a purpose. What is shared out, with these and the
    rest, stays within the limit, as long as the limit leaves one for clients and one for backends."""
    callers = max(4, min(OPERATORS_MOST, int(limit * OPERATORS_SHARE))) if operators else 0
    own = OPERATORS_OWN if operators else 0
    free = max(2, limit - max(held, LEAST_START) - REST - callers - own)
    clients = max(1, int(free * CLIENTS_SHARE))
    return Shares(clients, free - clients, callers)
