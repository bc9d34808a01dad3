"""The feature `routes`: a route table and its pools, each with a balancer of its own.

The package `routing` makes the decisions. This module routes requests by the table, updates the members of
the pools from endpoint lists, and builds new tables from changed files.
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
from gladegw.net.config import Address, Config, ConfigError
from gladegw.net.discovery import Discovery
from gladegw.net.driver import Driver
from gladegw.net.endpoint_lists import EndpointInventory, ListedBackend, Listing
from gladegw.net.features import RoutesSettings
from gladegw.net.interfaces import FlowControl, ResponseSink
from gladegw.net.request import BadRequestError, Headers, Request, RoutedRequest
from gladegw.net.route_actions import edit_headers, fixed_response, redirect_response, rewrite_target
from gladegw.net.route_tables import build_table, read_file
from gladegw.net.shared_resources import PendingRequest, SharedResources
from gladegw.operators.commands import BackendCounts
from gladegw.routing.findings import RoutingError
from gladegw.routing.matcher import Table
from gladegw.routing.model import (
    TENANT_HEADER,
    Description,
    Endpoint,
    Pool,
    RequestView,
)
from gladegw.routing.pools import Members, Membership, first_usable_pool
from gladegw.routing.quotas import QuotaDivision
from gladegw.routing.reload import change
from gladegw.routing.source import digest_of
from gladegw.routing.split import first_pool, unit_hash

log = logging.getLogger(__name__)

CHECK_INTERVAL_S = 0.25  # between checks of quotas, spill-over and ejected members
MAX_MIGRATIONS = 4  # moves of one request to a fallback pool
NO_MEMBER_RETRY_AFTER_S = 1.0  # Retry-After of responses for a pool without members
ENDPOINT_STATUS = {
    api.ServerState.SERVING: "Ready",
    api.ServerState.DRAINING: "Terminating",
    api.ServerState.REMOVED: "Gone",
}
UNRECORDED_HEADERS = frozenset({"x-call-id", "idempotency-key", "x-budget"})  # left out of captures


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

    def has_queued(self) -> bool:
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

    If its pool loses its last member before any attempt was sent, the client does not get the rejection: the
    request moves to a fallback pool, within its original deadline.
    """

    __slots__ = ("call", "migrations", "pool_name", "pool_router", "reply", "request", "served")

    def __init__(
        self, pool_router: PoolRouter, request: Request, reply: ResponseSink, served: dict[str, ServedPool]
    ) -> None:
        self.pool_router, self.request, self.reply, self.served = pool_router, request, reply, served
        self.call: PendingRequest | None = None
        self.pool_name = ""
        self.migrations = 0

    def forward_to(self, pool_name: str) -> None:
        """Pass the request to a pool."""
        self.pool_name, self.call = pool_name, None
        self.call = self.pool_router.forward(self.served[pool_name], self.request, self)

    def hung_up(self) -> bool:
        """Whether the client has closed its connection."""
        return self.reply.hung_up()

    def has_queued(self) -> bool:
        """Whether further requests of the client wait behind the response."""
        return self.reply.has_queued()

    def answer(self, code: int, headers: Any, body: bytes) -> None:
        """Pass on the response, unless it is a rejection after which a fallback pool can take the request."""
        unsent = self.call is None or not self.call.attempts
        if (
            code == 503
            and unsent
            and self.migrations < MAX_MIGRATIONS
            and not self.served[self.pool_name].members.usable
        ):
            assert self.request.routed is not None
            name = available_pool(self.request.routed, self.served)
            if name is not None and name != self.pool_name:
                self.migrations += 1
                self.forward_to(name)
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
        """Abort the streamed response."""
        self.reply.abort()


def available_pool(routed: RoutedRequest, served: Mapping[str, ServedPool]) -> str | None:
    """The first pool of the route and its fallbacks that has a usable member; None if there is none."""
    pools = {name: served_pool.pool for name, served_pool in served.items()}
    return first_usable_pool(
        routed.pool, routed.route.fallback, pools, lambda pool: served[pool].members.usable > 0
    )


@dataclass(slots=True)
class Generation:
    """A route table with its pools; a request stays with the generation that routed it."""

    number: int
    table: Table
    served: dict[str, ServedPool]  # by name
    recorded_headers: tuple[str, ...]  # headers that routing depends on, written to captures
    epoch: int | None = None  # of the policy that contains the table; None without a policy


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
        self.retired: list[ServedPool] = []  # of former tables, until their requests and exchanges end
        self.mirrored: set[PendingRequest] = set()
        self.invalid_digest = ""  # of the last invalid route text, so that it is logged once
        self.policy_active = False  # a policy supplies the table for all proxies; the file is ignored
        self.retained: list[Generation] = []  # not current, but usable by requests with their policy epoch
        inventory = EndpointInventory()
        known_listing = Driver.known_list(config, inventory)
        version, max_poll_gap = known_listing.version if config.known else None, config.settings.max_poll_gap
        self.discovery = Discovery(
            config.discovery,
            version,
            max_poll_gap,
            self._on_list,
            self._on_failed,
            inventory,
            self.shared.events.on_discovery_call,
            self.shared.stalls.is_settling,
        )
        self._apply_listing(known_listing)
        self.list_as_of = (
            time.monotonic()
        )  # when discovery last confirmed the list; at first that of the start
        text = read_file(settings.file)
        try:
            table = build_table(text, settings.file, config.settings.classes)
        except RoutingError as fault:
            raise ConfigError(f"bad settings: {fault}") from None
        self.digest = digest_of(text)
        self.current = Generation(0, Table(Description()), {}, ())
        self.last_number = 0
        self._make_current(self.create_generation(table, text))

    # route tables
    def create_generation(self, table: Table, text: str, epoch: int | None = None) -> Generation:
        """Create a generation; unchanged pools retain their drivers."""
        old, description = self.current, table.description
        changes = change(old.table.description, description)
        served: dict[str, ServedPool] = {}
        new_pools: list[ServedPool] = []
        for pool in description.pools:
            if pool.name in changes.kept and pool.name in old.served:
                served[pool.name] = old.served[pool.name]
                continue
            driver = Driver(self.config, self.capture, self.shared, self, pool.name)
            instance = f"{self.config.name}#{self.config.settings.instance}"
            served[pool.name] = ServedPool(
                pool, driver, Membership(pool, self.config.settings.zone, instance)
            )
            new_pools.append(served[pool.name])
        matches = [match for route in description.routes for match in route.matches]
        headers = {condition.name for match in matches for condition in match.headers}
        splits = {route.split.by.partition(":")[2] for route in description.routes if route.split}
        recorded_headers = tuple(sorted((headers | splits | {TENANT_HEADER}) - UNRECORDED_HEADERS - {""}))
        self.last_number += 1
        if self.capture is not None:
            self.capture.on_routes(self.last_number, digest_of(text), self.settings.file, text, epoch)
        for served_pool in new_pools:
            self._notify(served_pool, api.ListKind.CACHED)
            served_pool.driver.start()
            for other in old.served.values():
                served_pool.driver.inherit_freshness(other.driver)
        return Generation(self.last_number, table, served, recorded_headers, epoch)

    def _make_current(self, new: Generation, retained: Sequence[Generation] = ()) -> None:
        """Make a generation the current one.

        Those in `retained` still serve the requests that carry their policy epoch.
        """
        old, served = self.current, new.served
        changes = change(old.table.description, new.table.description)
        for pool in new.table.description.pools:
            served[pool.name].pool = served[pool.name].membership.pool = pool
        self.current = new
        self.division = QuotaDivision(
            tuple(served),
            {
                tenant.name: tenant.quota_per_s / self.config.settings.balancers
                for tenant in self.config.settings.tenants
            },
        )
        self.retain(retained, old, new)
        self._update_quotas()
        for served_pool in served.values():
            self._notify(served_pool, api.ListKind.FULL)
        log.warning("routes: generation %d (%s) in use: %s", new.number, self.digest, changes)

    def retain(self, retained: Sequence[Generation], *others: Generation) -> None:
        """Retain the generations `retained` and the current one, and no others.

        The pools of the generations retained before, and of `others`, are retired if they are not used any
        more.
        """
        candidates = [*self.retained, *others]
        self.retained = list(retained)
        live = [self.current, *retained]
        used = {id(served_pool) for generation in live for served_pool in generation.served.values()}
        unused = {
            id(served_pool): served_pool
            for generation in candidates
            for served_pool in generation.served.values()
            if id(served_pool) not in used
        }
        for served_pool in unused.values():
            served_pool.driver.retired = True
        self._retire(list(unused.values()))
        if self.capture is not None:
            self.capture.retain_generations({generation.number for generation in live})

    def prepare(self, name: str, text: str) -> tuple[Table, str]:
        """Check a route text and build its table for `activate`; may be called from any thread.

        Raises RoutingError.
        """
        return build_table(text, name, self.config.settings.classes), text

    def activate(
        self, ready: tuple[Table, str], epoch: int, created: Generation | None, retained: Sequence[Generation]
    ) -> None:
        """Use the route table of a policy; the proxy's own file is not read any more.

        `created` is the table's generation if requests have already used it, else None.
        """
        table, text = ready
        self.digest, self.policy_active = digest_of(text), True
        self._make_current(created or self.create_generation(table, text, epoch), retained)

    async def reload(self) -> None:
        """Read the route file again and use its table.

        An invalid file changes nothing, and its error is logged once.
        """
        if self.policy_active:
            return
        digest = ""
        try:
            text = await asyncio.to_thread(read_file, self.settings.file)
            digest = digest_of(text)
            if digest in (self.digest, self.invalid_digest):
                return
            table = await asyncio.to_thread(
                build_table, text, self.settings.file, self.config.settings.classes
            )
        except (ConfigError, RoutingError) as fault:
            if not digest or digest != self.invalid_digest:
                log.error("routes: generation %d remains active: %s", self.current.number, fault)
            self.invalid_digest = digest
            return
        self.digest, self.invalid_digest = digest, ""
        self._make_current(self.create_generation(table, text))

    async def run(self) -> None:
        """Reload the file when it changes, if watching is configured."""
        last_signature = self._file_signature()
        while self.settings.watch_ms:
            await asyncio.sleep(self.settings.watch_ms / 1000)
            signature = self._file_signature()
            if signature != last_signature:
                last_signature = signature
                await self.reload()

    def _file_signature(self) -> tuple[int, int, int]:
        """Inode, modification time and size, which change with the file; zeros if it cannot be read."""
        try:
            status = Path(self.settings.file).stat()
        except OSError:
            return (0, 0, 0)
        return (status.st_ino, status.st_mtime_ns, status.st_size)

    # endpoint lists
    def watch(self, on: bool) -> None:
        """Start the watch that serves all pools."""
        if on and not self.watching:
            self.watching = True
            self.discovery.watch(True)

    def fetch(self) -> None:
        """Request a full snapshot from discovery."""
        self.discovery.fetch()

    def _apply_listing(self, listing: Listing) -> None:
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
                ENDPOINT_STATUS[listed.entry.state],
                listed.entry.weight,
            )
            for name, listed in self.backends.items()
        ]

    def _on_list(self, listing: Listing) -> None:
        self._apply_listing(listing)
        if listing.current:
            self.list_as_of = listing.as_of
        for served_pool in self._all_pools():
            self._notify(served_pool, api.ListKind.FULL, listing)

    def _on_failed(self, failure: api.DiscoveryFailure, begun_at: float) -> None:
        self.watching = False
        for served_pool in self._all_pools():
            served_pool.driver.list_failed(failure, begun_at)

    def on_discovery_address_change(self, as_of: float) -> None:
        """Tell the pools that the configuration, and with it the discovery address, may change.

        `as_of`: monotonic time of the signal at the earliest.
        """
        for served_pool in self._all_pools():
            served_pool.driver.on_discovery_address_change(as_of)

    def move_discovery(self, address: Address) -> None:
        """Poll discovery at a new address from now on."""
        pools = self._all_pools()
        delay = pools[0].driver.balancer.discovery_move_delay() if pools else 0.0
        self.discovery.move(address, delay)

    def _all_pools(self) -> list[ServedPool]:
        """All pools of the current and the retained generations, and those being retired."""
        by_id = {
            id(served_pool): served_pool for served_pool in (*self.current.served.values(), *self.retired)
        }
        for generation in self.retained:
            by_id |= {id(served_pool): served_pool for served_pool in generation.served.values()}
        return list(by_id.values())

    def _retire(self, added: list[ServedPool]) -> None:
        """Track `added` as retired, and forget the retired pools that have nothing open."""
        self.retired = [
            served_pool
            for served_pool in self.retired + added
            if served_pool.driver.calls or served_pool.driver.in_flight
        ]

    def _notify(self, served_pool: ServedPool, kind: api.ListKind, listing: Listing | None = None) -> None:
        """Update the members of a pool.

        `listing` is the list just received from discovery. Without it, the update does not count as fresh
        information about the endpoints.
        """
        served_pool.members = served_pool.membership.update(
            self.endpoints, time.monotonic(), self._ejected(served_pool.driver)
        )
        entries = [self.backends[name].entry for name in sorted(served_pool.members.names)]
        if listing is not None or entries != served_pool.notified_members:
            served_pool.notified_members = entries
            if listing is not None:
                current, as_of = listing.current, listing.as_of
            else:  # a new pool starts with the proxy's list; a change of members is no news
                current, as_of = kind is api.ListKind.CACHED, self.list_as_of
            served_pool.driver.on_pool_members(entries, self.version, kind, current, as_of)

    def _ejected(self, driver: Driver) -> frozenset[str]:
        """Backends that the pool's balancer has ejected."""
        avoided = {server.id for server in driver.balancer.servers.ejected_servers()}
        if not avoided:
            return frozenset()
        return frozenset(name for name, listed in self.backends.items() if listed.entry.server in avoided)

    def _check_pools(self) -> None:
        for served_pool in self.current.served.values():
            before = served_pool.members
            self._notify(served_pool, api.ListKind.FULL)
            if before.spilled != served_pool.members.spilled:
                change_text = (
                    "now uses all zones" if served_pool.members.spilled else "now uses its own zone only"
                )
                log.warning(
                    "routes: pool %s %s: %s", served_pool.pool.name, change_text, served_pool.members.reason
                )
        self._update_quotas()
        self._retire([])
        self.loop.call_later(CHECK_INTERVAL_S, self._check_pools)

    def _update_quotas(self) -> None:
        """Divide the tenants' quotas among the pools, by the requests that each one gets."""
        for pool, parts in self.division.parts_by_pool(time.monotonic()).items():
            self.current.served[pool].driver.balancer.quota.update(parts)

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
        open_requests = sum(len(served_pool.driver.calls) for served_pool in self._all_pools())
        return open_requests - sum(call.open for call in self.mirrored)

    def listed_backends(self) -> BackendCounts:
        """Counts of backends for operators; a backend that any pool avoids counts as skipped."""
        drivers = [served_pool.driver for served_pool in list(self.current.served.values())]
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
        return self.route_by(self.current, method, target, headers, budget, source)

    def route_by(
        self,
        generation: Generation,
        method: bytes,
        target: bytes,
        headers: Headers,
        budget: float,
        source: Callable[[], str],
    ) -> RoutedRequest:
        """Route a request by a given generation; raises BadRequestError as `route` does."""
        header_values = dict(headers)
        ask = RequestView(
            method.decode("latin-1"),
            target.decode("latin-1"),
            header_values.get(b"host", b"").decode("latin-1"),
            headers,
            budget * 1000,
            header_values.get(b"x-caller", b"").decode("latin-1"),
            source(),
            header_values.get(b"x-call-id", b"").decode("latin-1"),
        )
        entry = generation.table.find(ask)
        if entry is None:
            raise BadRequestError(404, "no route")
        route = entry.route
        if route.answer is not None:
            raise fixed_response(route.answer)
        if route.redirect is not None:
            raise redirect_response(route.redirect, ask)
        edited = edit_headers(headers, route) if route.edits else headers
        if route.rewrite is not None:
            target = rewrite_target(route.rewrite, entry.match.path.value, ask).encode("latin-1")
        return RoutedRequest(
            route.cls,
            target,
            edited,
            route.timeout_ms / 1000,
            route.attempts,
            route,
            first_pool(route, ask),
            ask,
            generation.number,
            generation.recorded_headers,
            generation.served,
            generation.epoch,
        )

    def on_request(self, request: Request, reply: ResponseSink) -> PendingRequest | MigratingRequest | None:
        """Pass a request to its pool; None if it was answered immediately."""
        routed = request.routed
        assert routed is not None
        served: dict[str, ServedPool] = routed.table
        name = available_pool(routed, served)
        self.division.record_arrival(request.tenant, name or routed.pool)
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
            call.forward_to(name)
        else:
            call = self.forward(served[name], request, reply)
        if routed.route.mirror is not None and call is not None:
            self._mirror(request, routed, served)
        return call

    def forward(
        self, served_pool: ServedPool, request: Request, reply: ResponseSink
    ) -> PendingRequest | None:
        """Pass a request to the driver of a pool."""
        # The table may have changed since the request was routed, and its pool may have been forgotten.
        if served_pool.driver.retired and served_pool not in self.retired:
            self.retired.append(served_pool)
            self._notify(served_pool, api.ListKind.FULL)
        return served_pool.driver.on_request(request, reply)

    def on_body_complete(self, call: PendingRequest | MigratingRequest) -> None:
        """The streamed body of the request has been received completely."""
        pending = call.call if isinstance(call, MigratingRequest) else call
        if pending is not None:
            pending.driver.on_body_complete(pending)

    def on_disconnect(self, call: PendingRequest | MigratingRequest) -> None:
        """Cancel the request of a client that disconnected."""
        pending = call.call if isinstance(call, MigratingRequest) else call
        if pending is not None:
            pending.driver.on_disconnect(pending)

    def _mirror(self, request: Request, routed: RoutedRequest, served: Mapping[str, ServedPool]) -> None:
        """Send a copy of the request to the mirror pool, whose response is discarded.

        Only idempotent requests are copied, and none while the maximum of open copies is reached.
        """
        mirror = routed.route.mirror
        assert mirror is not None
        target = served.get(mirror.pool)
        self.mirrored = {call for call in self.mirrored if call.open}
        idempotent = self.effects.get(request.cls) is api.Effect.IDEMPOTENT
        if target is None or not idempotent or len(self.mirrored) >= self.settings.mirrors:
            return
        if mirror.share < 1 and unit_hash(routed.ask.call_id, "mirror") >= mirror.share:
            return
        copy = dataclasses.replace(request, id=b"")
        call = target.driver.on_request(copy, DiscardedResponse())
        if call is not None:
            self.mirrored.add(call)
