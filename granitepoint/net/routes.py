"""The feature `routes`: a table of routes, and the pools it leads to, each with a decision module of its own.
 What decides lies in `routing`; this carries it: requests to the table, lists to the pools, files to new
tables.
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

from granitepoint import interface as api
from granitepoint.net.capture import Capture
from granitepoint.net.config import Config, ConfigError
from granitepoint.net.discovery import Discovery, Listed, Listing
from granitepoint.net.driver import Desk, Driver, OpenCall
from granitepoint.net.features import RoutesSettings
from granitepoint.net.peer import Reply, Source
from granitepoint.net.request import BadRequest, Headers, Request, Routed
from granitepoint.operators.calls import Backends
from granitepoint.routing.checks import check_classes, tied
from granitepoint.routing.findings import Finding, RoutingError
from granitepoint.routing.matcher import Table
from granitepoint.routing.model import (
    TENANT_HEADER,
    Answer,
    Ask,
    ClassRule,
    Description,
    Endpoint,
    Pool,
    Redirect,
    Route,
)
from granitepoint.routing.pools import Members, Membership, standing_in
from granitepoint.routing.quotas import Division
from granitepoint.routing.read import read_text
from granitepoint.routing.reload import change
from granitepoint.routing.source import digest_of
from granitepoint.routing.split import first_pool, hasher, unit

log = logging.getLogger(__name__)

LOOK = 0.25  # s between looks at what time changes: quotas, spill-over, members that were ejected
MOST_MOVES = 4  # from pool to pool, of one request
NO_MEMBER = 1.0  # s that a client is told to stay away from a pool without members
STATUS = {api.ServerState.SERVING: "Ready", api.ServerState.DRAINING: "Terminating",
          api.ServerState.GONE: "Gone"}  # fmt: skip
RULES = frozenset({"x-call-id", "idempotency-key", "x-budget"})  # headers that are never told of


class Served:
    """One pool at work: who belongs to it, and the module that decides over these."""

    def __init__(self, pool: Pool, driver: Driver, membership: Membership) -> None:
        self.pool, self.driver, self.membership = pool, driver, membership
        self.members = Members(frozenset(), 0)
        self.told: list[api.ServerEntry] | None = None


class Unheard:
    """Where a mirrored copy's answer goes."""

    def answer(self, code: int, headers: Any, body: bytes) -> None:
        pass

    def begin(self, headers: Any, length: int | None, source: Source) -> None:
        pass

    def send(self, chunk: bytes) -> None:
        pass

    def finish(self) -> None:
        pass

    def abort(self) -> None:
        pass


class Moving:
    """A request of a route with fallbacks. If its pool loses its last member before anything was sent, the
    refusal is not passed on: the request moves to the pool that stands in, within its own time."""

    __slots__ = ("call", "moves", "name", "pools", "reply", "request", "served")

    def __init__(self, pools: Pools, request: Request, reply: Reply, served: dict[str, Served]) -> None:
        self.pools, self.request, self.reply, self.served = pools, request, reply, served
        self.call: OpenCall | None = None
        self.name = ""
        self.moves = 0

    def open(self, name: str) -> None:
        self.name, self.call = name, None
        self.call = self.pools.hand_on(self.served[name], self.request, self)

    def answer(self, code: int, headers: Any, body: bytes) -> None:
        unsent = self.call is None or not self.call.attempts
        if code == 503 and unsent and self.moves < MOST_MOVES and not self.served[self.name].members.usable:
            assert self.request.routed is not None
            name = stand_in(self.request.routed, self.served)
            if name is not None and name != self.name:
                self.moves += 1
                self.open(name)
                return
        self.reply.answer(code, headers, body)

    def begin(self, headers: Any, length: int | None, source: Source) -> None:
        self.reply.begin(headers, length, source)

    def send(self, chunk: bytes) -> None:
        self.reply.send(chunk)

    def finish(self) -> None:
        self.reply.finish()

    def abort(self) -> None:
        self.reply.abort()


def stand_in(routed: Routed, served: Mapping[str, Served]) -> str | None:
    pools = {name: one.pool for name, one in served.items()}
    return standing_in(
        routed.pool, routed.route.fallback, pools, lambda pool: served[pool].members.usable > 0
    )


@dataclass(slots=True)
class Generation:
    """One table with its pools; requests that it took stay with it."""

    number: int
    table: Table
    served: dict[str, Served]
    looked_at: tuple[str, ...]  # headers


def prepared(text: str, file: str, classes: Sequence[api.RequestClass]) -> Table:
    """Text to a table that can be served; raises RoutingError."""
    description = read_text(text, file, ("expect",))
    table = Table(description)
    rules = {
        cls.name: ClassRule(cls.name, cls.worth, cls.aim * 1000, cls.deadline * 1000, cls.effect.value)
        for cls in classes
    }
    # A route's time and attempts are bounded when they are used; what they should be is the tool's to say.
    found = [one for one in check_classes(description.routes, rules) if one.code in ("R202", "R402")]
    findings = [*tied(table), *found, *unhashed(description)]
    if findings:
        raise RoutingError(findings)
    return table


def unhashed(description: Description) -> list[Finding]:
    """What needs a hash whose library is missing: told when the table is read, not at the first request."""
    mirrors = [route.place for route in description.routes if route.mirror and route.mirror.share < 1]
    places = mirrors + [route.place for route in description.routes if route.split is not None]
    places += [pool.place for pool in description.pools if pool.subset]
    try:
        if places:
            hasher()
    except ModuleNotFoundError:
        what = "splits, subsets and shares of mirrors need xxhash: pip install 'granitepoint[routes]'"
        return [Finding("R008", place, what) for place in places]
    return []


def read_file(path: str) -> str:
    try:
        return Path(path).read_bytes().decode("utf-8")
    except (OSError, UnicodeDecodeError) as fault:
        why = fault.strerror if isinstance(fault, OSError) else "not UTF-8"
        raise ConfigError(f"bad settings: {path}: {why}") from None


class Pools:
    """Serves requests by the table in use; a Handler for the callers' side and a Feed for the pools."""

    def __init__(self, settings: RoutesSettings, config: Config, capture: Capture | None = None) -> None:
        self.settings, self.config, self.capture = settings, config, capture
        self.loop = asyncio.get_running_loop()
        self.desk = Desk(config)
        self.effects = {cls.name: cls.effect for cls in config.settings.classes}
        self.backends: dict[str, Listed] = {}
        self.endpoints: list[Endpoint] = []
        self.version = 0
        self.watching = False
        self.retired: list[Served] = []  # of older tables, as long as something of them is open
        self.mirrored: set[OpenCall] = set()
        self.refused_digest = ""  # of the text that was found bad last
        known = Driver.known(config)
        version, within = known.version if config.known else None, config.settings.must_ask_within
        self.discovery = Discovery(config.discovery, version, within, self._on_list, self._on_failed)
        self._take(known)
        text = read_file(settings.file)
        try:
            table = prepared(text, settings.file, config.settings.classes)
        except RoutingError as fault:
            raise ConfigError(f"bad settings: {fault}") from None
        self.digest = digest_of(text)
        self.now = Generation(0, Table(Description()), {}, ())
        self._use(table, text)

    # tables
    def _use(self, table: Table, text: str) -> None:
        """From here on requests go by this table; pools that are unchanged keep their modules."""
        old, description = self.now, table.description
        what = change(old.table.description, description)
        served: dict[str, Served] = {}
        for pool in description.pools:
            if pool.name in what.kept and pool.name in old.served:
                kept = old.served[pool.name]
                kept.pool = kept.membership.pool = pool
                served[pool.name] = kept
                continue
            driver = Driver(self.config, self.capture, self.desk, self, pool.name)
            me = f"{self.config.name}#{self.config.settings.me}"
            served[pool.name] = Served(pool, driver, Membership(pool, self.config.settings.zone, me))
        begun = [one for name, one in served.items() if old.served.get(name) is not one]
        ended = [one for name, one in old.served.items() if served.get(name) is not one]
        matches = [match for route in description.routes for match in route.matches]
        headers = {text.name for match in matches for text in match.headers}
        splits = {route.split.by.partition(":")[2] for route in description.routes if route.split}
        looked_at = tuple(sorted((headers | splits | {TENANT_HEADER}) - RULES - {""}))
        self.now = Generation(old.number + 1, table, served, looked_at)
        for one in ended:
            one.driver.retired = True
        self._retire(ended)
        quotas = {tenant.name: tenant.quota_per_s / self.config.settings.balancers
                  for tenant in self.config.settings.tenants}  # fmt: skip
        self.division = Division(tuple(served), quotas)
        self._divide()
        if self.capture is not None:
            self.capture.routes(self.now.number, self.digest, self.settings.file, text)
        for one in begun:
            self._tell(one, api.ListKind.SAVED)
            one.driver.start()
        for one in served.values():
            self._tell(one, api.ListKind.FULL)
        log.warning("routes: generation %d (%s) in use: %s", self.now.number, self.digest, what)

    async def reload(self) -> None:
        """Reads the file again; one that can't be used changes nothing, and is named once."""
        digest = ""
        try:
            text = await asyncio.to_thread(read_file, self.settings.file)
            digest = digest_of(text)
            if digest in (self.digest, self.refused_digest):
                return
            table = await asyncio.to_thread(
                prepared, text, self.settings.file, self.config.settings.classes
            )
        except (ConfigError, RoutingError) as fault:
            if not digest or digest != self.refused_digest:
                log.error("routes: generation %d goes on: %s", self.now.number, fault)
            self.refused_digest = digest
            return
        self.digest, self.refused_digest = digest, ""
        self._use(table, text)

    async def run(self) -> None:
        """Watches the file, where it is to be watched."""
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
        """One watch serves all pools."""
        if on and not self.watching:
            self.watching = True
            self.discovery.watch(True)

    def fetch(self) -> None:
        self.discovery.fetch()

    def _take(self, listing: Listing) -> None:
        if listing.whole:
            self.backends = {}
        for listed in listing.backends:
            self.backends[listed.name] = listed
        self.desk.upstreams.apply(listing)
        if self.capture is not None:
            self.capture.listed(listing)
        gone = [n for n, listed in self.backends.items() if listed.entry.state is api.ServerState.GONE]
        for name in gone:
            del self.backends[name]
        self.version = listing.version
        self.endpoints = [
            Endpoint(name, listed.entry.zone, listed.entry.kind, listed.entry.cell,
                     STATUS[listed.entry.state], listed.entry.weight)
            for name, listed in self.backends.items()
        ]  # fmt: skip

    def _on_list(self, listing: Listing) -> None:
        self._take(listing)
        for one in self._every():
            self._tell(one, api.ListKind.FULL, always=True)

    def _on_failed(self) -> None:
        self.watching = False
        for one in self._every():
            one.driver.list_failed()

    def _every(self) -> list[Served]:
        return [*self.now.served.values(), *self.retired]

    def _retire(self, more: list[Served]) -> None:
        self.retired = [one for one in self.retired + more if one.driver.calls or one.driver.out]

    def _tell(self, one: Served, kind: api.ListKind, always: bool = False) -> None:
        one.members = one.membership.look(self.endpoints, time.monotonic(), self._ejected(one.driver))
        entries = [self.backends[name].entry for name in sorted(one.members.names)]
        if always or entries != one.told:
            one.told = entries
            one.driver.listed(entries, self.version, kind)

    def _ejected(self, driver: Driver) -> frozenset[str]:
        """Backends that the pool's module has taken out of use."""
        out = {server.id for server in driver.balancer.servers.avoided()}
        if not out:
            return frozenset()
        return frozenset(name for name, listed in self.backends.items() if listed.entry.server in out)

    def _look(self) -> None:
        for one in self.now.served.values():
            before = one.members
            self._tell(one, api.ListKind.FULL)
            if before.spilled != one.members.spilled:
                word = "all zones serve" if one.members.spilled else "the zone serves alone"
                log.warning("routes: pool %s: %s: %s", one.pool.name, word, one.members.reason)
        self._divide()
        self._retire([])
        self.loop.call_later(LOOK, self._look)

    def _divide(self) -> None:
        for pool, parts in self.division.parts(time.monotonic()).items():
            self.now.served[pool].driver.balancer.quota.update(parts)

    # requests
    def start(self) -> None:
        self.loop.call_later(LOOK, self._look)

    def stop(self) -> None:
        self.discovery.stop()

    @property
    def calls(self) -> int:
        """Requests that are owed an answer."""
        open_ones = sum(len(one.driver.calls) for one in self._every())
        return open_ones - sum(call.open for call in self.mirrored)

    def listed_backends(self) -> Backends:
        """A backend that any pool avoids counts as skipped."""
        drivers = [one.driver for one in list(self.now.served.values())]
        avoided = {server.id for driver in drivers for server in driver.balancer.servers.avoided()}
        return self.desk.backends(avoided)

    def ready(self) -> bool:
        return self.desk.upstreams.ready

    def route(
        self, method: bytes, target: bytes, headers: Headers, budget: float, source: Callable[[], str]
    ) -> Routed:
        """Raises BadRequest with the answer that a route gives by itself."""
        found = dict(headers)
        ask = Ask(
            method.decode("latin-1"), target.decode("latin-1"), found.get(b"host", b"").decode("latin-1"),
            headers, budget * 1000, found.get(b"x-caller", b"").decode("latin-1"), source(),
            found.get(b"x-call-id", b"").decode("latin-1"),
        )  # fmt: skip
        now = self.now
        entry = now.table.find(ask)
        if entry is None:
            raise BadRequest(404, "no route")
        route = entry.route
        if route.answer is not None:
            raise fixed(route.answer)
        if route.redirect is not None:
            raise redirected(route.redirect, ask)
        edited = edit(headers, route) if route.edits else headers
        if route.rewrite is not None:
            target = rewritten(route.rewrite, entry.match.path.value, ask).encode("latin-1")
        return Routed(
            route.cls, target, edited, route.timeout_ms / 1000, route.attempts, route, first_pool(route, ask),
            ask, now.number, now.looked_at, now.served,
        )  # fmt: skip

    def opened(self, request: Request, reply: Reply) -> OpenCall | Moving | None:
        routed = request.routed
        assert routed is not None
        served: dict[str, Served] = routed.table
        name = stand_in(routed, served)
        self.division.arrived(request.tenant, name or routed.pool)
        if name is None:
            advice = ((b"retry-after", b"%.3f" % NO_MEMBER),) if self.config.settings.may_advise_wait else ()
            reply.answer(503, advice, b"the pool has no member\n")
            return None
        most = self.config.settings.most_held
        if most and self.calls >= most:
            reply.answer(503, ((b"retry-after", b"1"),), b"too many calls\n")
            return None
        call: OpenCall | Moving | None
        if routed.route.fallback or served[routed.pool].pool.fallback:
            call = Moving(self, request, reply, served)
            call.open(name)
        else:
            call = self.hand_on(served[name], request, reply)
        if routed.route.mirror is not None and call is not None:
            self._mirror(request, routed, served)
        return call

    def hand_on(self, one: Served, request: Request, reply: Reply) -> OpenCall | None:
        if one.driver.retired and one not in self.retired:  # it was read before the table was changed
            self.retired.append(one)
            self._tell(one, api.ListKind.FULL)
        return one.driver.opened(request, reply)

    def uploaded(self, call: OpenCall | Moving) -> None:
        now = call.call if isinstance(call, Moving) else call
        if now is not None:
            now.driver.uploaded(now)

    def left(self, call: OpenCall | Moving) -> None:
        now = call.call if isinstance(call, Moving) else call
        if now is not None:
            now.driver.left(now)

    def _mirror(self, request: Request, routed: Routed, served: Mapping[str, Served]) -> None:
        """A copy that nobody waits for; dropped, not queued, where too many are open."""
        mirror = routed.route.mirror
        assert mirror is not None
        target = served.get(mirror.pool)
        self.mirrored = {call for call in self.mirrored if call.open}
        safe = self.effects.get(request.cls) is api.Effect.REPEATABLE
        if target is None or not safe or len(self.mirrored) >= self.settings.mirrors:
            return
        if mirror.share < 1 and unit(routed.ask.call_id, "mirror") >= mirror.share:
            return
        copy = dataclasses.replace(request, id=b"")
        call = target.driver.opened(copy, Unheard())
        if call is not None:
            self.mirrored.add(call)


def fixed(answer: Answer) -> BadRequest:
    headers = ((b"retry-after", b"%.3f" % answer.retry_after),) if answer.retry_after else ()
    return BadRequest(answer.code, answer.body or "answered by a route", headers)


def redirected(redirect: Redirect, ask: Ask) -> BadRequest:
    query = f"?{ask.query_text}" if ask.query_text else ""
    location = redirect.location.replace("{path}", ask.path).replace("{query}", query)
    headers = ((b"location", location.encode("latin-1", "replace")),)
    return BadRequest(redirect.code, f"see {location}", headers)


def edit(headers: Headers, route: Route) -> Headers:
    edits = route.edits
    gone = {name.encode() for name, _ in edits.put} | {name.encode() for name in edits.drop}
    more = [(name.encode(), value.encode("latin-1")) for name, value in (*edits.put, *edits.add)]
    return [pair for pair in headers if pair[0] not in gone] + more


def rewritten(rewrite: str, matched: str, ask: Ask) -> str:
    """The matched prefix, or the whole of an exact path, gives way."""
    rest = ask.path[len(matched) :]
    path = (rewrite.rstrip("/") + rest if rest else rewrite) or "/"
    return path + (f"?{ask.query_text}" if ask.query_text else "")
