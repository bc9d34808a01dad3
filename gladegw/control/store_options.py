"""Settings of a process's connection to the store."""

from __future__ import annotations

from dataclasses import dataclass

LOG_INTERVAL_S = 10.0  # shortest time between two log lines about the same kind of fault


@dataclass(frozen=True, slots=True)
class StoreOptions:
    """How a process reaches the store.

    `prefix` is the prefix of all keys of the installation, `ttl` the requested time to live of the member's
    lease in seconds, and `timeout` the limit of a call to one endpoint in seconds. Without `token_file` no
    token is sent.
    """

    endpoints: tuple[tuple[str, int], ...]
    prefix: str
    ttl: int
    timeout: float
    token_file: str = ""
