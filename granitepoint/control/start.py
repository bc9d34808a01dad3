"""Makes a serving process a member: what the settings, the configuration and the counts give for it."""

from __future__ import annotations

import hashlib
import importlib.metadata
from collections.abc import Callable, Iterable

from granitepoint.control.agent import Agent, Options
from granitepoint.control.duties import ALL
from granitepoint.coordination.records import Figures, Member
from granitepoint.net.config import Config
from granitepoint.net.features import CoordinationSettings
from granitepoint.operators.ledger import Ledger


def version() -> str:
    try:
        return importlib.metadata.version("granitepoint")
    except importlib.metadata.PackageNotFoundError:  # run from a checkout
        return ""


def figures(
    name: str, ledger: Ledger, backends: Callable[[], Iterable[int]], routes: Callable[[], str]
) -> Figures:
    """Read from the agent's thread: figures that may be one step apart."""
    told = {"upstream_tries": ledger.upstream_tries, "in_progress": ledger.in_progress}
    for cls, handled in list(ledger.handled.items()):
        told |= {f"handled.{cls}.passed": handled.passed, f"handled.{cls}.dropped": handled.dropped,
                 f"handled.{cls}.bad_gateway": handled.bad_gateway}  # fmt: skip
    listed = ",".join(str(number) for number in sorted(backends()))
    digest = hashlib.blake2b(listed.encode(), digest_size=6).hexdigest()
    return Figures(name=name, figures=told, discovery=digest, routes=routes())


def joined(
    settings: CoordinationSettings, config: Config, ledger: Ledger, backends: Callable[[], Iterable[int]],
    routes: Callable[[], str],
) -> Agent:  # fmt: skip
    """An agent that is under way. A store that can't be reached is a line of the log, and is tried again."""
    options = Options(
        settings.addresses, settings.prefix, settings.ttl_s, settings.timeout_ms / 1000, settings.token_file
    )
    member = Member(
        name=config.name, incarnation="", address="{}:{}".format(*config.listen), zone=config.settings.zone,
        version=version(), state="starting",
    )  # fmt: skip
    agent = Agent(options, member, ALL, lambda: figures(config.name, ledger, backends, routes))
    agent.start()
    return agent
