"""The model of a set of descriptions: the applications, and the settings that apply to all of them."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from functools import cached_property

from gladegw.routing.expect import Expectation
from gladegw.routing.findings import Place
from gladegw.routing.model import NO_PLACE, ClassRule, Endpoint, Pool, Route

DEFAULT_ATTEMPTS_OVER_TIERS = 16  # attempts that one request may cause over all tiers together


@dataclass(frozen=True, slots=True)
class App:
    """One application: the routes by which others reach it, and the applications that it calls."""

    name: str
    owner: str = ""
    calls: tuple[str, ...] = ()
    retries: tuple[tuple[str, int], ...] = ()  # class and the attempts its own calls may take
    classes: tuple[ClassRule, ...] = ()
    tenants: tuple[tuple[str, Place], ...] = ()
    pools: tuple[Pool, ...] = ()
    routes: tuple[Route, ...] = ()
    expects: tuple[Expectation, ...] = ()
    digest: str = ""  # of the file that describes it
    place: Place = field(default=NO_PLACE, compare=False)
    retries_place: Place = field(default=NO_PLACE, compare=False)
    calls_place: Place = field(default=NO_PLACE, compare=False)


@dataclass(frozen=True, slots=True)
class Platform:
    """Settings that apply to all applications."""

    attempts_over_tiers: int = DEFAULT_ATTEMPTS_OVER_TIERS
    unchanged: bool = True  # routes must pass method, path and query to the backends unmodified
    place: Place = field(default=NO_PLACE, compare=False)


@dataclass(frozen=True)
class Landscape:
    """A whole set of descriptions."""

    apps: tuple[App, ...] = ()
    platform: Platform = field(default_factory=Platform)
    endpoints: tuple[Endpoint, ...] | None = None  # None: selectors are not checked

    def app(self, name: str) -> App | None:
        return self.by_name.get(name)

    @cached_property
    def by_name(self) -> dict[str, App]:
        """Applications by name; the first one read wins where a name is used twice."""
        return {app.name: app for app in reversed(self.apps)}

    @cached_property
    def classes(self) -> dict[str, ClassRule]:
        return {rule.name: rule for app in reversed(self.apps) for rule in app.classes}

    @cached_property
    def known_pools(self) -> dict[str, Pool]:
        return {pool.name: pool for pool in self.pools()}

    def routes(self) -> Iterator[Route]:
        return (route for app in self.apps for route in app.routes)

    def pools(self) -> Iterator[Pool]:
        return (pool for app in self.apps for pool in app.pools)
