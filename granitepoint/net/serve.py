"""One real proxy: starts, moves to another discovery on SIGHUP, ends on SIGTERM."""

from __future__ import annotations

import asyncio
import gc
import logging
import os
import signal
import sys
from typing import TYPE_CHECKING

import uvloop

from granitepoint.net import features as settings_file
from granitepoint.net.access import AccessLog
from granitepoint.net.addresses import Addresses
from granitepoint.net.capture import Capture
from granitepoint.net.config import Config, ConfigError, discovery_now, load
from granitepoint.net.driver import Driver
from granitepoint.net.features import Features, RoutesSettings
from granitepoint.net.figures import Figures
from granitepoint.net.server import Server, Watcher
from granitepoint.net.tls import Tls
from granitepoint.net.writer import LOG_BYTES, LogHandler, Writer, to_descriptor

if TYPE_CHECKING:
    from granitepoint.net.routes import Pools

STILL_COMING = 0.45  # s after SIGTERM in which all is served as before, while the front takes notice
LAST_ACCEPT = 0.6  # s after SIGTERM at which the listener and the idle connections close
DRAIN_STEP = 0.01  # s between looks whether all is answered
LAST_BYTES = 1.0  # s for the last answers to be taken
LAST_LINES = 0.5  # s for each target of figures or logs to take what is held at the end
CLIENT_SHARE = 0.5  # of the descriptors, for callers' connections; the upstreams' bound is in the driver

log = logging.getLogger(__name__)


def reconfigure(driver: Driver | Pools, running: list[asyncio.Task[None]]) -> None:
    """A file that can't be used changes nothing: the proxy goes on as it is."""
    try:
        driver.discovery.move(discovery_now(os.environ))
    except ConfigError as fault:
        log.error("%s", fault)
    if not isinstance(driver, Driver):
        task = asyncio.get_running_loop().create_task(driver.reload())
        running.append(task)
        task.add_done_callback(running.remove)


def pools(settings: RoutesSettings, config: Config, capture: Capture | None) -> Pools:
    from granitepoint.net.routes import Pools

    return Pools(settings, config, capture)


async def drain(server: Server, driver: Driver | Pools) -> None:
    """Callers go on using a connection that stays open, and lose what is unanswered at the end: so each
    answer closes its own, then the rest close, and the process ends when nothing is owed any more."""
    await asyncio.sleep(STILL_COMING)
    server.draining = True
    server.close_idle()
    await asyncio.sleep(LAST_ACCEPT - STILL_COMING)
    server.stop_listening()
    while driver.calls:
        server.close_idle(partial=True)
        await asyncio.sleep(DRAIN_STEP)
    # All is answered; the last bytes may still be on their way to a slow peer.
    server.close_idle(partial=True)
    for _ in range(int(LAST_BYTES / DRAIN_STEP)):
        if not server.connections:
            return
        await asyncio.sleep(DRAIN_STEP)
    server.abort()


async def serve(config: Config, features: Features) -> None:
    loop = asyncio.get_running_loop()
    term = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, term.set)
    capture = Capture(features.capture, config) if features.capture is not None else None
    if capture is not None:
        loop.add_signal_handler(signal.SIGUSR2, capture.dump)
    running: list[asyncio.Task[None]] = []
    driver: Driver | Pools = Driver(config, capture) if features.routes is None else pools(
        features.routes, config, capture
    )
    loop.add_signal_handler(signal.SIGHUP, reconfigure, driver, running)
    server = Server(driver.effects, driver, int(config.sockets * CLIENT_SHARE))
    watchers: list[Watcher] = []
    figures = Figures(features.figures, config.settings) if features.figures is not None else None
    if figures is not None:
        watchers.append(figures)
    tls = Tls(features.tls) if features.tls is not None else None
    if features.addresses is not None:
        server.door = Addresses(features.addresses)
    if tls is not None or features.addresses is not None:
        watchers.append(AccessLog())
    server.watchers = tuple(watchers)
    driver.start()
    await server.listen(*config.listen)
    if figures is not None:
        running.append(loop.create_task(figures.run()))
    if not isinstance(driver, Driver):
        server.router = driver.route
        running.append(loop.create_task(driver.run()))
    if tls is not None:
        server.listen_tls(config.listen[0], tls.settings.port or 0, tls)
        running.append(loop.create_task(tls.run()))
    # What is alive now stays alive: it need not be looked at again and again in pauses that calls wait for.
    gc.collect()
    gc.freeze()
    gc.set_threshold(50_000, 20, 50)
    await term.wait()
    await drain(server, driver)
    driver.stop()
    for task in running:
        task.cancel()
    if figures is not None:
        figures.close(LAST_LINES)
    if capture is not None:
        capture.close(LAST_LINES)


def run(file: str | None) -> int:
    """Serves as EDGE_CONFIG says, with the features of this file; returns the exit code."""
    logs: Writer | None = None
    log_format = "%(levelname)s %(name)s: %(message)s"
    try:
        features = settings_file.read(file) if file is not None else Features()
        config = load(os.environ)
        if features:
            logs = Writer(to_descriptor(sys.stderr.fileno()), LOG_BYTES, "log")
            logging.basicConfig(handlers=[LogHandler(logs)], format=log_format)
        else:
            logging.basicConfig(stream=sys.stderr, format=log_format)
        asyncio.Runner(loop_factory=uvloop.new_event_loop).run(serve(config, features))
    except ConfigError as fault:
        print(f"granitepoint: {fault}", file=sys.stderr)
        return 2
    except OSError as fault:
        print(f"granitepoint: {fault}", file=sys.stderr)
        return 1
    finally:
        if logs is not None:
            logs.close(LAST_LINES)
    return 0
