"""Start of a serving process's membership from its settings, configuration and metrics."""

from __future__ import annotations

import asyncio
import hashlib
import importlib.metadata
import os
import resource
import time
from collections.abc import Callable, Iterable, Mapping
from pathlib import Path
from typing import TYPE_CHECKING, Any

from gladegw.control.duties import ALL
from gladegw.control.member import FleetMember
from gladegw.control.store_options import StoreOptions
from gladegw.coordination.records import MemberMetricsRecord, MemberRecord
from gladegw.net.config import Config
from gladegw.net.features import CoordinationSettings
from gladegw.operators.request_counters import RequestCounters

if TYPE_CHECKING:
    from gladegw.control.policy_participant import ServingHost
    from gladegw.net.policy_router import PolicyRouter
    from gladegw.net.timing import RequestTiming

ListBackends = Callable[[], Iterable[tuple[int, bool]]]  # backend number, and whether it receives requests

MAX_MEMORY_FRACTION = 0.95  # fraction of the memory limit above which a prepared policy is rejected


def version() -> str:
    """Return the version that the supervisor has set, else the installed one, else an empty string."""
    configured = os.environ.get("GLADEGW_VERSION")
    if configured:
        return configured
    try:
        return importlib.metadata.version("gladegw")
    except importlib.metadata.PackageNotFoundError:  # the program runs from a source checkout
        return ""


def member_metrics(
    name: str,
    ledger: RequestCounters,
    backends: ListBackends,
    routes: Callable[[], str],
    timing: RequestTiming | None = None,
) -> MemberMetricsRecord:
    """Return the current metrics.

    Called on the member's thread while the serving thread updates the counters: they may differ from each
    other by one step.
    """
    counters = {"upstream_tries": ledger.upstream_attempts, "in_progress": ledger.in_progress}
    for cls, handled in list(ledger.handled.items()):
        counters |= {
            f"handled.{cls}.passed": handled.passed,
            f"handled.{cls}.dropped": handled.dropped,
            f"handled.{cls}.bad_gateway": handled.bad_gateway,
        }
    if timing is not None:
        counters |= timing.counters()
        counters |= {
            "at_ms": round(1000 * time.monotonic()),
            "cpu_us": round(1e6 * time.process_time()),
            "rss_kb": resident_bytes() >> 10,
        }
    listed = sorted(backends())
    serving = [number for number, active in listed if active]
    return MemberMetricsRecord(
        name=name,
        figures=counters,
        discovery=digest(number for number, _ in listed),
        serving=digest(serving),
        routes=routes(),
    )


def digest(numbers: Iterable[int]) -> str:
    """Return the digest of a list of backend numbers."""
    joined = ",".join(map(str, numbers))
    return hashlib.blake2b(joined.encode(), digest_size=6).hexdigest()


def resident_bytes() -> int:
    """Return the resident memory of this process in bytes; 0 if it cannot be read."""
    try:
        return int(Path("/proc/self/statm").read_text(encoding="ascii").split()[1]) * resource.getpagesize()
    except (OSError, IndexError, ValueError):
        return 0


def serving_host(router: PolicyRouter, serving: asyncio.AbstractEventLoop) -> ServingHost:
    """Return the callbacks through which the policy participant prepares and activates policies.

    The router is changed on the serving loop only.
    """
    from gladegw.control.policy_bundle import BundleError, select_file
    from gladegw.control.policy_participant import ServingHost

    pools = router.pools

    def prepare(files: Mapping[str, str]) -> Any:
        ready = pools.prepare(*select_file(files, pools.settings.file))
        used, limit = resident_bytes(), pools.config.memory
        if used > MAX_MEMORY_FRACTION * limit:
            mib = f"{used / (1 << 20):.0f} of {limit / (1 << 20):.0f} MiB"
            raise BundleError(f"{mib} are in use with both tables")
        return ready

    def activate(epoch: int, digest: str, ready: Any, done: Callable[[], None]) -> None:
        def swap() -> None:
            router.activate(epoch, digest, ready)
            done()

        serving.call_soon_threadsafe(swap)

    def on_prepared(epoch: int, digest: str, ready: Any) -> None:
        serving.call_soon_threadsafe(router.on_prepared, epoch, digest, ready)

    return ServingHost(prepare, activate, router.serving_lease, router.settings.when_cut_off, on_prepared)


def join_fleet(
    settings: CoordinationSettings,
    config: Config,
    ledger: RequestCounters,
    backends: ListBackends,
    routes: Callable[[], str],
    host: ServingHost | None = None,
    timing: RequestTiming | None = None,
) -> FleetMember:
    """Start and return the fleet member. If the store is unreachable, this is logged and retried."""
    options = StoreOptions(
        settings.addresses, settings.prefix, settings.ttl_s, settings.timeout_ms / 1000, settings.token_file
    )
    member = MemberRecord(
        name=config.name,
        incarnation="",
        address="{}:{}".format(*config.listen),
        zone=config.settings.zone,
        version=version(),
        state="starting",
    )
    works = ALL
    if host is not None:
        from gladegw.control.duties.bundle_collection import BundleCollection
        from gladegw.control.duties.policy_coordinator import PolicyCoordinator

        works = (*ALL, PolicyCoordinator, BundleCollection)
        if timing is not None:
            from gladegw.control.duties.rollout_controller import RolloutController

            works = (*works, RolloutController)
    fleet_member = FleetMember(
        options,
        member,
        works,
        lambda: member_metrics(config.name, ledger, backends, routes, timing),
        host=host,
    )
    fleet_member.start()
    return fleet_member
