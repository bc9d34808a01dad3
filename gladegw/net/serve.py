"""The serving process: starts, changes its configuration on SIGHUP, and shuts down on SIGTERM."""

from __future__ import annotations

import asyncio
import dataclasses
import gc
import logging
import os
import signal
import sys
from typing import TYPE_CHECKING

import uvloop

from gladegw.limits.connection_eviction import SERVED_FRACTION
from gladegw.limits.descriptor_budget import FLEET_MEMBER_DESCRIPTORS
from gladegw.limits.memory_account import ConnectionLimits, capacity_bytes, limit_connections
from gladegw.net import discovery, listener, memory_monitor, stall_monitor
from gladegw.net import driver as driver_module
from gladegw.net import features as settings_file
from gladegw.net.access_log import AccessLog
from gladegw.net.addresses import Addresses
from gladegw.net.admin import CommandServer
from gladegw.net.allocator import limit_fragmentation
from gladegw.net.background_writer import MAX_LOG_BYTES, BackgroundWriter, LogHandler, to_descriptor
from gladegw.net.capture import Capture
from gladegw.net.config import Config, ConfigError, discovery_now, load
from gladegw.net.downstream.server import DownstreamServer
from gladegw.net.drain import Drain
from gladegw.net.driver import Driver
from gladegw.net.features import Features, RoutesSettings
from gladegw.net.interfaces import RequestInfo
from gladegw.net.memory_monitor import MemoryMonitor
from gladegw.net.metrics import Metrics
from gladegw.net.process_memory import resident_bytes
from gladegw.net.request import Router
from gladegw.net.shared_resources import SharedResources
from gladegw.operators.commands import CommandHandler
from gladegw.operators.lifecycle import Event, Lifecycle, State
from gladegw.operators.request_counters import RequestObserver

if TYPE_CHECKING:
    from gladegw.control.member import FleetMember
    from gladegw.net.hcl import Blocks
    from gladegw.net.routes import PoolRouter
    from gladegw.net.timing import RequestTiming
    from gladegw.net.tls import TlsContext

REQUESTING_CLIENTS_FRACTION = 1 / 3  # of the descriptors, which clients use at most for requests
LOG_FLUSH_TIMEOUT_S = 0.5  # for each target of metrics or logs at shutdown
POLL_INTERVAL_S = 0.02  # between readiness checks when replacing a process
REREAD_INTERVAL_S = 0.1  # between attempts to read an invalid configuration
MAX_REREADS = 30  # ends within 4 s of the signal, when updates at a new discovery address count as known
FIRST_LIST_TIMEOUT_S = 3.0  # for the first list and the first response of a backend, when replacing a process

log = logging.getLogger(__name__)


async def reconfigure(driver: Driver | PoolRouter, signaled_at: float) -> None:
    """Apply a changed configuration.

    `signaled_at`: monotonic time of the signal at the earliest, which a stalled process handles late.
    A file that cannot be read is retried for a while, since it may be half written when the signal arrives.
    If it remains invalid, nothing changes.
    """
    driver.on_discovery_address_change(signaled_at)
    driver.discovery.address_changing = True
    try:
        for _ in range(MAX_REREADS):
            try:
                driver.move_discovery(discovery_now(os.environ))
                break
            except ConfigError as fault:
                log.error("%s", fault)
                await asyncio.sleep(REREAD_INTERVAL_S)
    finally:
        driver.discovery.address_changing = False
    if not isinstance(driver, Driver):
        await driver.reload()


def on_hangup(driver: Driver | PoolRouter, running: list[asyncio.Task[None]]) -> None:
    """Handle SIGHUP: apply a changed configuration."""
    signaled_at = driver.shared.stalls.unread_since()
    task = asyncio.get_running_loop().create_task(reconfigure(driver, signaled_at))
    running.append(task)
    task.add_done_callback(running.remove)


def create_pool_router(settings: RoutesSettings, config: Config, capture: Capture | None) -> PoolRouter:
    """Create the router of the feature `routes`, whose code is imported only if configured."""
    from gladegw.net.routes import PoolRouter

    return PoolRouter(settings, config, capture)


def join_fleet(
    features: Features, config: Config, driver: Driver | PoolRouter, timing: RequestTiming | None
) -> tuple[FleetMember | None, Router | None]:
    """Join the fleet if the feature `coordination` is configured, and return the member and the router."""
    router = None if isinstance(driver, Driver) else driver.route
    settings = features.coordination
    if settings is None:
        return None, router
    from gladegw.control.startup import join_fleet, serving_host

    def routes() -> str:
        return "" if isinstance(driver, Driver) else driver.digest

    policy_host = None
    if features.policy is not None and not isinstance(driver, Driver):
        from gladegw.control.clock import boot_time
        from gladegw.coordination.serving_lease import ServingLease
        from gladegw.net.policy_router import PolicyRouter

        router = PolicyRouter(
            driver, ServingLease(boot_time), features.policy, config.settings.may_send_retry_after
        )
        policy_host = serving_host(router, asyncio.get_running_loop())
    shared = driver.shared
    return join_fleet(settings, config, shared.counters, shared.listed, routes, policy_host, timing), router


def create_tls(features: Features) -> TlsContext | None:
    """The context of the feature `tls`, whose code is imported only if configured."""
    if features.tls is None:
        return None
    from gladegw.net.tls import TlsContext

    return TlsContext(features.tls)


def request_timing(features: Features, config: Config) -> RequestTiming | None:
    """The request observer of the feature `rollout`; None if it is not configured."""
    if features.rollout is None:
        return None
    from gladegw.net.timing import RequestTiming

    return RequestTiming(config.settings.classes)


def apply_connection_limits(config: Config, shared: SharedResources, server: DownstreamServer) -> None:
    """Admit no more connections than the memory allows, but all that clients use for requests."""
    limits = limit_connections(
        ConnectionLimits(shared.budget.clients, shared.budget.upstreams),
        shared.memory.capacity,
        int(config.sockets * REQUESTING_CLIENTS_FRACTION / SERVED_FRACTION),
    )
    server.limit_connections(limits.clients)
    shared.upstreams.max_connections = limits.servers


def watch_memory(config: Config, shared: SharedResources, server: DownstreamServer) -> MemoryMonitor:
    """Report what is held for the peers."""
    monitor = MemoryMonitor(shared.memory, config.memory)
    shared.events.memory = monitor
    server.on_sweep = lambda: monitor.check(len(server.connections), len(shared.upstreams.connections))
    return monitor


async def wait_for_first_list(driver: Driver | PoolRouter, term: asyncio.Event) -> None:
    """Wait until discovery and a backend have responded, while the process to be replaced still serves.

    Returns after FIRST_LIST_TIMEOUT_S in any case, or when `term` is set.
    """

    async def both_responded() -> None:
        await driver.discovery.list_received.wait()
        while not driver.shared.upstreams.any_received:
            await asyncio.sleep(POLL_INTERVAL_S)

    driver.discovery.fetch()
    waits = [asyncio.ensure_future(both_responded()), asyncio.ensure_future(term.wait())]
    await asyncio.wait(waits, timeout=FIRST_LIST_TIMEOUT_S, return_when=asyncio.FIRST_COMPLETED)
    for wait in waits:
        wait.cancel()


async def serve(config: Config, features: Features) -> None:
    """Serve until SIGTERM or SIGINT."""
    loop = asyncio.get_running_loop()
    if features.coordination is not None:  # reserve the descriptors of the fleet member
        config = dataclasses.replace(config, sockets=config.sockets - FLEET_MEMBER_DESCRIPTORS)
    term = asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, term.set)
    capture = Capture(features.capture, config) if features.capture is not None else None
    if capture is not None:
        loop.add_signal_handler(signal.SIGUSR2, capture.dump)
    running: list[asyncio.Task[None]] = []
    admin = CommandServer(config.admin) if config.admin is not None else None
    replaces_process = listener.is_in_use(*config.listen)
    driver: Driver | PoolRouter = (
        Driver(config, capture)
        if features.routes is None
        else create_pool_router(features.routes, config, capture)
    )
    loop.add_signal_handler(signal.SIGHUP, on_hangup, driver, running)
    lifecycle, counters = Lifecycle(), driver.shared.counters
    timing = request_timing(features, config)
    member, router = join_fleet(features, config, driver, timing)

    def can_serve() -> bool:
        return driver.ready() and (member is None or member.may_serve)

    server = DownstreamServer(
        driver.effects,
        driver,
        driver.shared.budget.clients,
        counters,
        lambda: lifecycle.state is State.READY and can_serve(),
        driver.shared.scratch,
        driver.shared.memory,
    )
    memory = watch_memory(config, driver.shared, server)
    driver.shared.upstreams.make_room = server.evict_slow_reader
    draining = Drain(server, lambda: len(driver.calls) if isinstance(driver, Driver) else driver.calls)

    def on_state_change(state: State) -> None:
        draining.on_state(state)
        if member is not None:
            member.set_lifecycle_state(state.value)

    lifecycle.on_change = on_state_change
    observers: list[RequestObserver[RequestInfo]] = []
    metrics = None
    if features.figures is not None:
        metrics = Metrics(features.figures, config.settings, driver.shared.events)
    if metrics is not None:
        observers.append(metrics)
    if timing is not None:
        observers.append(timing)
    tls = create_tls(features)
    if features.addresses is not None:
        server.acceptor.identifier = Addresses(features.addresses)
    if tls is not None or features.addresses is not None:
        observers.append(AccessLog())
    server.observers = tuple(observers)
    driver.start()
    if admin is not None:
        admin.start(
            CommandHandler(
                lifecycle,
                counters,
                can_serve,
                driver.listed_backends,
                member.info if member is not None else tuple,
            ),
            driver.shared.budget.operators,
        )
    if replaces_process:
        await wait_for_first_list(driver, term)
        while member is not None and not member.may_serve and not term.is_set():
            await asyncio.sleep(POLL_INTERVAL_S)  # once it listens, this process gets every new connection
    server.acceptor.listen(*config.listen)
    if metrics is not None:
        running.append(loop.create_task(metrics.run()))
    if not isinstance(driver, Driver):
        server.router = router
        running.append(loop.create_task(driver.run()))
    if tls is not None:
        server.acceptor.listen(config.listen[0], tls.settings.port or 0, tls)
        running.append(loop.create_task(tls.run()))
    # Objects alive now live as long as the process. Freezing them exempts them from later collections, whose
    # pauses delay requests.
    gc.collect()
    gc.freeze()
    gc.set_threshold(50_000, 20, 50)
    memory.account.capacity = capacity_bytes(config.memory, resident_bytes())
    apply_connection_limits(config, driver.shared, server)
    memory.log_ready()
    lifecycle.on(Event.ABLE)
    await term.wait()
    lifecycle.on(Event.TERMINATE)
    await draining.shut_down()
    if member is not None:
        await loop.run_in_executor(None, member.shut_down)
    driver.stop()
    if admin is not None:
        admin.close()
    for task in running:
        task.cancel()
    if metrics is not None:
        metrics.close(LOG_FLUSH_TIMEOUT_S)
    if capture is not None:
        capture.close(LOG_FLUSH_TIMEOUT_S)


def run(file: str | None, blocks: Blocks | None = None) -> int:
    """Serve with the configuration of EDGE_CONFIG and the features of the settings file.

    `blocks` are those of the file, if it has been read already. Returns the exit code.
    """
    limit_fragmentation()
    logs: BackgroundWriter | None = None
    log_format = "%(levelname)s %(name)s: %(message)s"
    try:
        features = settings_file.read(file, blocks) if file is not None else Features()
        config = load(os.environ)
        if features:
            logs = BackgroundWriter(to_descriptor(sys.stderr.fileno()), MAX_LOG_BYTES, "log")
            logging.basicConfig(handlers=[LogHandler(logs)], format=log_format)
            # Discovery calls, lists applied, servers withheld, memory, stalls of this process.
            for module in (discovery, driver_module, memory_monitor, stall_monitor):
                logging.getLogger(module.__name__).setLevel(logging.INFO)
        else:
            logging.basicConfig(stream=sys.stderr, format=log_format)
        asyncio.Runner(loop_factory=uvloop.new_event_loop).run(serve(config, features))
    except ConfigError as fault:
        print(f"gladegw: {fault}", file=sys.stderr)
        return 2
    except OSError as fault:
        print(f"gladegw: {fault}", file=sys.stderr)
        return 1
    finally:
        if logs is not None:
            logs.close(LOG_FLUSH_TIMEOUT_S)
    return 0
