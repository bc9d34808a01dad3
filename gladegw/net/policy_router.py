"""Routing under a policy: requests are served only while a policy is usable, by the policy of their epoch."""

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

RETRY_AFTER_S = b"1"  # s
NEVER_RAN = (b"x-rejected", b"1")  # to a proxy, which may try it elsewhere
PreparedTable = tuple[Table, str]


class PolicyRouter:
    """The router of a proxy under a policy; used only on the serving event loop."""

    def __init__(
        self, pools: PoolRouter, serving_lease: ServingLease, settings: PolicySettings, may_advise: bool
    ) -> None:
        self.pools, self.serving_lease, self.settings = pools, serving_lease, settings
        self.advice = ((b"retry-after", RETRY_AFTER_S),) if may_advise else ()
        self.retention = TableRetention(float(settings.hold_s))
        self.tables: dict[PolicyEpoch, Generation] = {}  # retained beside the one in use
        self.prepared_table: PreparedTable | None = None  # prepared table, until first requested
        self.trusted = tuple(parse_network(text) for text in settings.stamp_from)
        self.trusts = lru_cache(maxsize=1024)(self._trusts)

    # policy changes
    def on_prepared(self, epoch: int, digest: str, ready: PreparedTable | None) -> None:
        """A policy was prepared but is not active yet; `ready` is None if it was withdrawn."""
        self._drop_prepared()
        if ready is not None and self.settings.stamp_from:
            self.retention.on_prepared(PolicyEpoch(epoch, digest))
            self.prepared_table = ready

    def activate(self, epoch: int, digest: str, ready: PreparedTable | None) -> None:
        """Activate a policy; `ready` is None if the proxy's own file is in use."""
        stamp, last = PolicyEpoch(epoch, digest), self.retention.in_use
        made = self.tables.pop(stamp, None)
        self._drop_prepared()
        self.retention.activate(stamp, time.monotonic())
        if ready is None:  # by the own file
            return
        if last is not None and last != stamp and self.settings.stamp_from:  # not within an epoch
            self.tables[last] = self.pools.now
            self.pools.loop.call_later(self.retention.retention_s, self._expire_tables)
        self.pools.take(ready, epoch, made, list(self.tables.values()))
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
        self.pools.keep(list(self.tables.values()))

    # requests
    def _trusts(self, source: str) -> bool:
        """Whether policy epoch headers from this address are accepted."""
        try:
            address = unmap_ipv4(ipaddress.ip_address(source))
        except ValueError:
            return False
        return any(address in known for known in self.trusted)

    def _requested_epoch(self, found: list[bytes], source: Callable[[], str]) -> PolicyEpoch | None:
        """The policy epoch that the request carries; None if it comes from an untrusted address.

        Raises BadRequestError if the header is malformed.
        """
        if not self.trusts(source()):
            return None
        if len(found) > 1:
            raise BadRequestError(400, "more than one stamp of a policy")
        try:
            return parse_epoch(found[0])
        except ValueError as fault:
            raise BadRequestError(400, str(fault)) from None

    def _generation(self, epoch: PolicyEpoch) -> Generation:
        """The tables of a policy epoch; raises BadRequestError if they are not usable."""
        state = self.retention.state_of(epoch, time.monotonic())
        if state not in USABLE_STATES:
            raise BadRequestError(503, f"policy {epoch} is {state.value} here", (*self.advice, NEVER_RAN))
        if state is TableState.IN_USE:
            return self.pools.now
        if epoch not in self.tables:  # prepared, requested for the first time
            assert self.prepared_table is not None
            self.tables[epoch] = self.pools.make(*self.prepared_table, epoch.epoch)
            self.pools.keep(list(self.tables.values()))
        return self.tables[epoch]

    def __call__(
        self, method: bytes, target: bytes, headers: Headers, budget: float, source: Callable[[], str]
    ) -> RoutedRequest:
        """Route a request.

        Raises BadRequestError, marked as never run, while the serving lease is closed, and for a policy epoch
        that is not available.
        """
        forwarded = [pair for pair in headers if pair[0] != HEADER]
        epoch = None
        if len(forwarded) != len(headers):
            epoch = self._requested_epoch([value for name, value in headers if name == HEADER], source)
        if not self.serving_lease.open:
            marks = () if epoch is None else (NEVER_RAN,)
            raise BadRequestError(503, "no policy in force here", (*self.advice, *marks))
        generation = self.pools.now if epoch is None else self._generation(epoch)
        routed = self.pools.route_by(generation, method, target, forwarded, budget, source)
        if any(fnmatchcase(routed.pool, pattern) for pattern in self.settings.stamp_pools):
            told = str(epoch or self.retention.in_use).encode()
            routed.headers.append((HEADER, told))
        return routed
