"""The feature `routes`: a route table and its pools, each with a balancer of its own.

Decisions are in the package `routing`. This module passes requests to the table, lists to the pools, and
files to new tables.
"""

from __future__ import annotations

import asyncio
import dataclasses
import logging
import time
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from gladegw.balancing import events as api
from gladegw.net.capture import Capture
from gladegw.net.config import Config, ConfigError
from gladegw.net.discovery import Discovery
from gladegw.net.driver import Driver
from gladegw.net.endpoint_lists import EndpointInventory, ListedBackend, Listing
from gladegw.net.features import RoutesSettings
from gladegw.net.interfaces import FlowControl, ResponseSink
from gladegw.net.request import BadRequestError, Headers, Request, RoutedRequest
from gladegw.net.route_actions import edit, fixed, redirected, rewritten
from gladegw.net.route_tables import prepared, read_file
from gladegw.net.shared_resources import PendingRequest, SharedResources
from gladegw.operators.commands import BackendCounts
from gladegw.routing.findings import RoutingError
from gladegw.routing.matcher import Table
from gladegw.routing.model import (
    TENANT_HEADER,
    Ask,
    Description,
    Endpoint,
    Pool,
)
from gladegw.routing.pools import Members, Membership, standing_in
from gladegw.routing.quotas import Division
from gladegw.routing.reload import change
from gladegw.routing.source import digest_of
from gladegw.routing.split import first_pool, unit

log = logging.getLogger(__name__)

CHECK_INTERVAL_S = 0.25  # between checks of quotas, spill-over and ejected members
MAX_MIGRATIONS = 4  # between pools, of one request
NO_MEMBER_RETRY_AFTER_S = 1.0  # for clients of a pool without members
STATUS = {
    api.ServerState.SERVING: "Ready",
    api.ServerState.DRAINING: "Terminating",
    api.ServerState.REMOVED: "Gone",
}
UNRECORDED_HEADERS = frozenset({"x-call-id", "idempotency-key", "x-budget"})  # never recorded


class ServedPool:
    """A pool in use: its members, and the driver whose balancer selects among them."""

    def __init__(self, pool: Pool, driver: Driver, membership: Membership) -> None:
        self.pool, self.driver, self.membership = pool, driver, membership
        self.members = Members(frozenset(), 0)
        self.notified_members: list[api.ServerEntry] | None = None


class DiscardedResponse:
    """Sink for the response to a mirrored request."""

    def hung_up(self) -> bool:
        """Always False."""
        return False

    def answer(self, code: int, headers: Any, body: bytes) -> None:
        """Discard the response."""
        pass

    def begin(self, headers: Any, length: int | None, source: FlowControl) -> None:
        """Discard the response."""
        pass

    def send(self, chunk: bytes) -> None:
        """Discard the bytes."""
        pass

    def finish(self) -> None:
        """Do nothing."""
        pass

    def abort(self) -> None:
        """Do nothing."""
        pass


class MigratingRequest:
    """A request of a route with fallbacks.

    If its pool loses its last member before anything was sent, the rejection is not passed on: the request
    moves to the fallback pool, within its own deadline.
    """

    __slots__ = ("call", "migrations", "name", "pools", "reply", "request", "served")

    def __init__(
        self, pools: PoolRouter, request: Request, reply: ResponseSink, served: dict[str, ServedPool]
    ) -> None:
        self.pools, self.request, self.reply, self.served = pools, request, reply, served
        self.call: PendingRequest | None = None
        self.name = ""
        self.migrations = 0

    def open(self, name: str) -> None:
        """Pass the request to a pool."""
        self.name, self.call = name, None
        self.call = self.pools.forward(self.served[name], self.request, self)

    def hung_up(self) -> bool:
        """Whether the client has closed its connection."""
        return self.reply.hung_up()

    def answer(self, code: int, headers: Any, body: bytes) -> None:
        """Pass on the response, unless it is a rejection after which a fallback pool can take the request."""
        unsent = self.call is None or not self.call.attempts
        if (
            code == 503
            and unsent
            and self.migrations < MAX_MIGRATIONS
            and not self.served[self.name].members.usable
        ):
            assert self.request.routed is not None
            name = available_pool(self.request.routed, self.served)
            if name is not None and name != self.name:
                self.migrations += 1
                self.open(name)
                return
        self.reply.answer(code, headers, body)

    def begin(self, headers: Any, length: int | None, source: FlowControl) -> None:
        """Start a streamed response."""
        self.reply.begin(headers, length, source)

    def send(self, chunk: bytes) -> None:
        """Send the next part of a streamed body."""
        self.reply.send(chunk)

    def finish(self) -> None:
        """End the streamed response."""
        self.reply.finish()

    def abort(self) -> None:
        """Break off the streamed response."""
        self.reply.abort()


def available_pool(routed: RoutedRequest, served: Mapping[str, ServedPool]) -> str | None:
    """The first pool of the route and its fallbacks that has a usable member; None if there is none."""
    pools = {name: one.pool for name, one in served.items()}
    return standing_in(
        routed.pool, routed.route.fallback, pools, lambda pool: served[pool].members.usable > 0
    )


@dataclass(slots=True)
class Generation:
    """One route table with its pools; requests that it routed stay with it."""

    number: int
    table: Table
    served: dict[str, ServedPool]
    looked_at: tuple[str, ...]  # headers
    epoch: int | None = None  # of the policy that it is, where there are policies


class PoolRouter:
    """Serves requests by the route table in use.

    It is the RequestHandler of the downstream connections and the EndpointSource of the pools.
    """

    def __init__(self, settings: RoutesSettings, config: Config, capture: Capture | None = None) -> None:
        self.settings, self.config, self.capture = settings, config, capture
        self.loop = asyncio.get_running_loop()
        self.shared = SharedResources(config)
        self.effects = {cls.name: cls.effect for cls in config.settings.classes}
        self.backends: dict[str, ListedBackend] = {}
        self.endpoints: list[Endpoint] = []
        self.version = 0
        self.watching = False
        self.retired: list[ServedPool] = []  # of older tables, as long as something of them is open
        self.mirrored: set[PendingRequest] = set()
        self.refused_digest = ""  # of the text that was last found invalid
        self.table_rules = False  # by a policy that all proxies have, whatever the file says
        self.beside: list[Generation] = []  # not in use, retained for requests with their policy epoch
        inventory = EndpointInventory()
        known = Driver.known_list(config, inventory)
        version, within = known.version if config.known else None, config.settings.max_poll_gap
        self.discovery = Discovery(
            config.discovery, version, within, self._on_list, self._on_failed, inventory
        )
        self._take(known)
        text = read_file(settings.file)
        try:
            table = prepared(text, settings.file, config.settings.classes)
        except RoutingError as fault:
            raise ConfigError(f"bad settings: {fault}") from None
        self.digest = digest_of(text)
        self.now = Generation(0, Table(Description()), {}, ())
        self.made = 0
        self._use(self.make(table, text))

    # tables
    def make(self, table: Table, text: str, epoch: int | None = None) -> Generation:
        """Create a generation; unchanged pools retain their drivers."""
        old, description = self.now, table.description
        changes = change(old.table.description, description)
        served: dict[str, ServedPool] = {}
        begun: list[ServedPool] = []
        for pool in description.pools:
            if pool.name in changes.kept and pool.name in old.served:
                served[pool.name] = old.served[pool.name]
                continue
            driver = Driver(self.config, self.capture, self.shared, self, pool.name)
            me = f"{self.config.name}#{self.config.settings.instance}"
            served[pool.name] = ServedPool(pool, driver, Membership(pool, self.config.settings.zone, me))
            begun.append(served[pool.name])
        matches = [match for route in description.routes for match in route.matches]
        headers = {text.name for match in matches for text in match.headers}
        splits = {route.split.by.partition(":")[2] for route in description.routes if route.split}
        looked_at = tuple(sorted((headers | splits | {TENANT_HEADER}) - UNRECORDED_HEADERS - {""}))
        self.made += 1
        if self.capture is not None:
            self.capture.on_routes(self.made, digest_of(text), self.settings.file, text, epoch)
        for one in begun:
            self._notify(one, api.ListKind.CACHED)
            one.driver.start()
            for other in old.served.values():
                one.driver.inherit_freshness(other.driver)
        return Generation(self.made, table, served, looked_at, epoch)

    def _use(self, new: Generation, beside: Sequence[Generation] = ()) -> None:
        """Make a generation the one in use.

        Requests with the policy epoch of one of `beside` still use that one.
        """
        old, served = self.now, new.served
        changes = change(old.table.description, new.table.description)
        for pool in new.table.description.pools:
            served[pool.name].pool = served[pool.name].membership.pool = pool
        self.now = new
        self.division = Division(
            tuple(served),
            {
                tenant.name: tenant.quota_per_s / self.config.settings.balancers
                for tenant in self.config.settings.tenants
            },
        )
        self.keep(beside, old, new)
        self._divide()
        for one in served.values():
            self._notify(one, api.ListKind.FULL)
        log.warning("routes: generation %d (%s) in use: %s", new.number, self.digest, changes)

    def keep(self, beside: Sequence[Generation], *known: Generation) -> None:
        """Retain the generations `beside` the one in use, and retire the pools that belong to none."""
        before = [*self.beside, *known]
        self.beside = list(beside)
        retained = [self.now, *beside]
        used = {id(one) for generation in retained for one in generation.served.values()}
        ended = {
            id(one): one for generation in before for one in generation.served.values() if id(one) not in used
        }
        for one in ended.values():
            one.driver.retired = True
        self._retire(list(ended.values()))
        if self.capture is not None:
            self.capture.retain_generations({generation.number for generation in retained})

    def prepare(self, name: str, text: str) -> tuple[Table, str]:
        """Check a route text for `take`; may be called in any thread.

        Raises RoutingError.
        """
        return prepared(text, name, self.config.settings.classes), text

    def take(
        self, ready: tuple[Table, str], epoch: int, made: Generation | None, beside: Sequence[Generation]
    ) -> None:
        """Use the route table of a policy; the proxy's own file is not read any more.

        `made` is its generation, if that was created before.
        """
        table, text = ready
        self.digest, self.table_rules = digest_of(text), True
        self._use(made or self.make(table, text, epoch), beside)

    async def reload(self) -> None:
        """Read the file again.

        A file that is invalid changes nothing and is logged once.
        """
        if self.table_rules:
            return
        digest = ""
        try:
            text = await asyncio.to_thread(read_file, self.settings.file)
            digest = digest_of(text)
            if digest in (self.digest, self.refused_digest):
                return
            table = await asyncio.to_thread(prepared, text, self.settings.file, self.config.settings.classes)
        except (ConfigError, RoutingError) as fault:
            if not digest or digest != self.refused_digest:
                log.error("routes: generation %d goes on: %s", self.now.number, fault)
            self.refused_digest = digest
            return
        self.digest, self.refused_digest = digest, ""
        self._use(self.make(table, text))

    async def run(self) -> None:
        """Reload the file when it changes, if watching is configured."""
        seen = self._stamp()
        while self.settings.watch_ms:
            await asyncio.sleep(self.settings.watch_ms / 1000)
            stamp = self._stamp()
            if stamp != seen:
                seen = stamp
                await self.reload()

    def _stamp(self) -> tuple[int, int, int]:
        try:
            found = Path(self.settings.file).stat()
        except OSError:
            return (0, 0, 0)
        return (found.st_ino, found.st_mtime_ns, found.st_size)

    # lists
    def watch(self, on: bool) -> None:
        """Start the watch that serves all pools."""
        if on and not self.watching:
            self.watching = True
            self.discovery.watch(True)

    def fetch(self) -> None:
        """Request a full snapshot from discovery."""
        self.discovery.fetch()

    def _take(self, listing: Listing) -> None:
        if listing.complete:
            self.backends = {}
        for listed in listing.backends:
            self.backends[listed.name] = listed
        self.shared.upstreams.apply(listing)
        if self.capture is not None:
            self.capture.on_list(listing)
        removed = [n for n, listed in self.backends.items() if listed.entry.state is api.ServerState.REMOVED]
        for name in removed:
            del self.backends[name]
        self.version = listing.version
        self.endpoints = [
            Endpoint(
                name,
                listed.entry.zone,
                listed.entry.kind,
                listed.entry.cell,
                STATUS[listed.entry.state],
                listed.entry.weight,
            )
            for name, listed in self.backends.items()
        ]

    def _on_list(self, listing: Listing) -> None:
        self._take(listing)
        for one in self._every():
            self._notify(one, api.ListKind.FULL, listing)

    def _on_failed(self, failure: api.DiscoveryFailure) -> None:
        self.watching = False
        for one in self._every():
            one.driver.list_failed(failure)

    def on_discovery_address_change(self) -> None:
        """A new configuration may contain another address of discovery."""
        for one in self._every():
            one.driver.on_discovery_address_change()

    def _every(self) -> list[ServedPool]:
        found = {id(one): one for one in (*self.now.served.values(), *self.retired)}
        for generation in self.beside:
            found |= {id(one): one for one in generation.served.values()}
        return list(found.values())

    def _retire(self, more: list[ServedPool]) -> None:
        self.retired = [one for one in self.retired + more if one.driver.calls or one.driver.in_flight]

    def _notify(self, one: ServedPool, kind: api.ListKind, listing: Listing | None = None) -> None:
        """Update the members of a pool.

        `listing` is the list just received from discovery; without it the update does not count as fresh.
        """
        one.members = one.membership.look(self.endpoints, time.monotonic(), self._ejected(one.driver))
        entries = [self.backends[name].entry for name in sorted(one.members.names)]
        if listing is not None or entries != one.notified_members:
            one.notified_members = entries
            current, age = (listing.current, listing.age) if listing is not None else (False, 0.0)
            one.driver.on_pool_members(entries, self.version, kind, current, age)

    def _ejected(self, driver: Driver) -> frozenset[str]:
        """Backends that the pool's balancer has ejected."""
        out = {server.id for server in driver.balancer.servers.ejected_servers()}
        if not out:
            return frozenset()
        return frozenset(name for name, listed in self.backends.items() if listed.entry.server in out)

    def _check_pools(self) -> None:
        for one in self.now.served.values():
            before = one.members
            self._notify(one, api.ListKind.FULL)
            if before.spilled != one.members.spilled:
                change_text = "all zones serve" if one.members.spilled else "the zone serves alone"
                log.warning("routes: pool %s: %s: %s", one.pool.name, change_text, one.members.reason)
        self._divide()
        self._retire([])
        self.loop.call_later(CHECK_INTERVAL_S, self._check_pools)

    def _divide(self) -> None:
        for pool, parts in self.division.parts(time.monotonic()).items():
            self.now.served[pool].driver.balancer.quota.update(parts)

    # requests
    def start(self) -> None:
        """Start the periodic check of the pools."""
        self.loop.call_later(CHECK_INTERVAL_S, self._check_pools)

    def stop(self) -> None:
        """Stop discovery."""
        self.discovery.stop()

    @property
    def calls(self) -> int:
        """The number of requests whose response is pending, without mirrored ones."""
        open_ones = sum(len(one.driver.calls) for one in self._every())
        return open_ones - sum(call.open for call in self.mirrored)

    def listed_backends(self) -> BackendCounts:
        """Counts of backends for operators; one that any pool avoids counts as skipped."""
        drivers = [one.driver for one in list(self.now.served.values())]
        avoided = {server.id for driver in drivers for server in driver.balancer.servers.ejected_servers()}
        return self.shared.backends(avoided)

    def ready(self) -> bool:
        """Whether any backend receives requests."""
        return self.shared.upstreams.ready

    def route(
        self, method: bytes, target: bytes, headers: Headers, budget: float, source: Callable[[], str]
    ) -> RoutedRequest:
        """Route a request by the table in use.

        Raises BadRequestError for a response that the route gives itself, and if no route matches.
        """
        return self.route_by(self.now, method, target, headers, budget, source)

    def route_by(
        self,
        by: Generation,
        method: bytes,
        target: bytes,
        headers: Headers,
        budget: float,
        source: Callable[[], str],
    ) -> RoutedRequest:
        """Route a request by a given generation; raises BadRequestError as `route` does."""
        found = dict(headers)
        ask = Ask(
            method.decode("latin-1"),
            target.decode("latin-1"),
            found.get(b"host", b"").decode("latin-1"),
            headers,
            budget * 1000,
            found.get(b"x-caller", b"").decode("latin-1"),
            source(),
            found.get(b"x-call-id", b"").decode("latin-1"),
        )
        entry = by.table.find(ask)
        if entry is None:
            raise BadRequestError(404, "no route")
        route = entry.route
        if route.answer is not None:
            raise fixed(route.answer)
        if route.redirect is not None:
            raise redirected(route.redirect, ask)
        edited = edit(headers, route) if route.edits else headers
        if route.rewrite is not None:
            target = rewritten(route.rewrite, entry.match.path.value, ask).encode("latin-1")
        return RoutedRequest(
            route.cls,
            target,
            edited,
            route.timeout_ms / 1000,
            route.attempts,
            route,
            first_pool(route, ask),
            ask,
            by.number,
            by.looked_at,
            by.served,
            by.epoch,
        )

    def on_request(self, request: Request, reply: ResponseSink) -> PendingRequest | MigratingRequest | None:
        """Pass a request to its pool; None if it was answered immediately."""
        routed = request.routed
        assert routed is not None
        served: dict[str, ServedPool] = routed.table
        name = available_pool(routed, served)
        self.division.arrived(request.tenant, name or routed.pool)
        if name is None:
            advice = (
                ((b"retry-after", b"%.3f" % NO_MEMBER_RETRY_AFTER_S),)
                if self.config.settings.may_send_retry_after
                else ()
            )
            reply.answer(503, advice, b"the pool has no member\n")
            return None
        max_open = self.config.settings.max_open_requests
        if max_open and self.calls >= max_open:
            reply.answer(503, ((b"retry-after", b"1"),), b"too many calls\n")
            return None
        call: PendingRequest | MigratingRequest | None
        if routed.route.fallback or served[routed.pool].pool.fallback:
            call = MigratingRequest(self, request, reply, served)
            call.open(name)
        else:
            call = self.forward(served[name], request, reply)
        if routed.route.mirror is not None and call is not None:
            self._mirror(request, routed, served)
        return call

    def forward(self, one: ServedPool, request: Request, reply: ResponseSink) -> PendingRequest | None:
        """Pass a request to the driver of a pool."""
        if one.driver.retired and one not in self.retired:  # read before the table changed
            self.retired.append(one)
            self._notify(one, api.ListKind.FULL)
        return one.driver.on_request(request, reply)

    def on_body_complete(self, call: PendingRequest | MigratingRequest) -> None:
        """The streamed body of the request has been received completely."""
        now = call.call if isinstance(call, MigratingRequest) else call
        if now is not None:
            now.driver.on_body_complete(now)

    def on_disconnect(self, call: PendingRequest | MigratingRequest) -> None:
        """Cancel the request of a client that disconnected."""
        now = call.call if isinstance(call, MigratingRequest) else call
        if now is not None:
            now.driver.on_disconnect(now)

    def _mirror(self, request: Request, routed: RoutedRequest, served: Mapping[str, ServedPool]) -> None:
        """Send a copy whose response is discarded; skipped if too many are open."""
        mirror = routed.route.mirror
        assert mirror is not None
        target = served.get(mirror.pool)
        self.mirrored = {call for call in self.mirrored if call.open}
        safe = self.effects.get(request.cls) is api.Effect.IDEMPOTENT
        if target is None or not safe or len(self.mirrored) >= self.settings.mirrors:
            return
        if mirror.share < 1 and unit(routed.ask.call_id, "mirror") >= mirror.share:
            return
        copy = dataclasses.replace(request, id=b"")
        call = target.driver.on_request(copy, DiscardedResponse())
        if call is not None:
            self.mirrored.add(call)
