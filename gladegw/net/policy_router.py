"""Routing under a policy.

Requests are served only while the serving lease is open. A request with a policy epoch from a trusted source
is routed by the table of that epoch, any other request by the current table.
"""

from __future__ import annotations

import ipaddress
import time
from collections.abc import Callable
from fnmatch import fnmatchcase
from functools import lru_cache

from gladegw.coordination.policy_epochs import (
    HEADER,
    USABLE_STATES,
    PolicyEpoch,
    TableRetention,
    TableState,
    parse_epoch,
)
from gladegw.coordination.serving_lease import ServingLease
from gladegw.net.addresses import parse_network, unmap_ipv4
from gladegw.net.features import PolicySettings
from gladegw.net.request import BadRequestError, Headers, RoutedRequest
from gladegw.net.routes import Generation, PoolRouter
from gladegw.routing.matcher import Table

RETRY_AFTER_S = b"1"
NOT_EXECUTED_HEADER = (b"x-rejected", b"1")  # tells a proxy that it may retry at another instance
PreparedTable = tuple[Table, str]  # and its text


class PolicyRouter:
    """The router of a proxy under a policy; used only on the serving event loop."""

    def __init__(
        self, pools: PoolRouter, serving_lease: ServingLease, settings: PolicySettings, may_advise: bool
    ) -> None:
        self.pools, self.serving_lease, self.settings = pools, serving_lease, settings
        self.retry_after_headers = ((b"retry-after", RETRY_AFTER_S),) if may_advise else ()
        self.retention = TableRetention(float(settings.hold_s))
        self.tables: dict[PolicyEpoch, Generation] = {}  # usable tables, without the current one
        self.prepared_table: PreparedTable | None = None  # its generation is created on the first request
        self.trusted_networks = tuple(parse_network(text) for text in settings.stamp_from)
        self.is_trusted = lru_cache(maxsize=1024)(self._is_trusted)

    # policy changes
    def on_prepared(self, epoch: int, digest: str, ready: PreparedTable | None) -> None:
        """Record the table of a policy that is prepared but not active yet.

        `ready` is None if the policy was withdrawn.
        """
        self._drop_prepared()
        if ready is not None and self.settings.stamp_from:
            self.retention.on_prepared(PolicyEpoch(epoch, digest))
            self.prepared_table = ready

    def activate(self, epoch: int, digest: str, ready: PreparedTable | None) -> None:
        """Activate a policy; `ready` is None if the proxy's own file is in use."""
        policy_epoch, previous = PolicyEpoch(epoch, digest), self.retention.in_use
        created = self.tables.pop(policy_epoch, None)
        self._drop_prepared()
        self.retention.activate(policy_epoch, time.monotonic())
        if ready is None:
            return
        # The former table is retained only if the epoch has changed.
        if previous is not None and previous != policy_epoch and self.settings.stamp_from:
            self.tables[previous] = self.pools.current
            self.pools.loop.call_later(self.retention.retention_s, self._expire_tables)
        self.pools.activate(ready, epoch, created, list(self.tables.values()))
        self._expire_tables()

    def _drop_prepared(self) -> None:
        """Discard the prepared policy."""
        if self.retention.prepared is not None:
            self.tables.pop(self.retention.prepared, None)
            self.retention.on_prepared(None)
            self._expire_tables()
        self.prepared_table = None

    def _expire_tables(self) -> None:
        """Discard tables whose retention has ended."""
        for epoch in self.retention.expire(time.monotonic()):
            self.tables.pop(epoch, None)
        self.pools.retain(list(self.tables.values()))

    # requests
    def _is_trusted(self, source: str) -> bool:
        """Whether policy epoch headers from this address are accepted."""
        try:
            address = unmap_ipv4(ipaddress.ip_address(source))
        except ValueError:
            return False
        return any(address in trusted for trusted in self.trusted_networks)

    def _requested_epoch(self, values: list[bytes], source: Callable[[], str]) -> PolicyEpoch | None:
        """The policy epoch of a request, from its header's `values`; None if its source is not trusted.

        Raises BadRequestError if the header is repeated or malformed.
        """
        if not self.is_trusted(source()):
            return None
        if len(values) > 1:
            raise BadRequestError(400, "more than one stamp of a policy")
        try:
            return parse_epoch(values[0])
        except ValueError as fault:
            raise BadRequestError(400, str(fault)) from None

    def _generation(self, epoch: PolicyEpoch) -> Generation:
        """The generation of a policy epoch; raises BadRequestError if it is not usable."""
        state = self.retention.state_of(epoch, time.monotonic())
        if state not in USABLE_STATES:
            raise BadRequestError(
                503, f"policy {epoch} is {state.value} here", (*self.retry_after_headers, NOT_EXECUTED_HEADER)
            )
        if state is TableState.IN_USE:
            return self.pools.current
        if epoch not in self.tables:  # prepared, and requested for the first time
            assert self.prepared_table is not None
            self.tables[epoch] = self.pools.create_generation(*self.prepared_table, epoch.epoch)
            self.pools.retain(list(self.tables.values()))
        return self.tables[epoch]

    def __call__(
        self, method: bytes, target: bytes, headers: Headers, budget: float, source: Callable[[], str]
    ) -> RoutedRequest:
        """Route a request.

        Raises BadRequestError while the serving lease is closed, and for a policy epoch that is not usable.
        If the request has a trusted policy epoch, the response carries `NOT_EXECUTED_HEADER`.
        """
        forwarded = [pair for pair in headers if pair[0] != HEADER]
        epoch = None
        if len(forwarded) != len(headers):
            epoch = self._requested_epoch([value for name, value in headers if name == HEADER], source)
        if not self.serving_lease.open:
            not_executed = () if epoch is None else (NOT_EXECUTED_HEADER,)
            raise BadRequestError(503, "no policy in force here", (*self.retry_after_headers, *not_executed))
        generation = self.pools.current if epoch is None else self._generation(epoch)
        routed = self.pools.route_by(generation, method, target, forwarded, budget, source)
        if any(fnmatchcase(routed.pool, pattern) for pattern in self.settings.stamp_pools):
            value = str(epoch or self.retention.in_use).encode()
            routed.headers.append((HEADER, value))
        return routed
