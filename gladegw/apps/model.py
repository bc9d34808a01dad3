"""What a set of descriptions says: applications with what they claim and call, and what holds for all."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from functools import cached_property

from gladegw.routing.expect import Expectation
from gladegw.routing.findings import Place
from gladegw.routing.model import NO_PLACE, ClassRule, Endpoint, Pool, Route

MOST_ATTEMPTS = 16  # of one request over all tiers, where the platform says nothing


@dataclass(frozen=True, slots=True)
class App:
    """One application: the routes by which others reach it, and whom it calls itself."""

    name: str
    owner: str = ""
    calls: tuple[str, ...] = ()
    retries: tuple[tuple[str, int], ...] = ()  # attempts that it allows itself, by class
    classes: tuple[ClassRule, ...] = ()
    tenants: tuple[tuple[str, Place], ...] = ()
    pools: tuple[Pool, ...] = ()
    routes: tuple[Route, ...] = ()
    expects: tuple[Expectation, ...] = ()
    digest: str = ""  # of its file
    place: Place = field(default=NO_PLACE, compare=False)
    retries_place: Place = field(default=NO_PLACE, compare=False)
    calls_place: Place = field(default=NO_PLACE, compare=False)


@dataclass(frozen=True, slots=True)
class Platform:
    """What holds for all applications."""

    attempts_over_tiers: int = MOST_ATTEMPTS
    unchanged: bool = True  # method, path and query reach the backends as they came
    place: Place = field(default=NO_PLACE, compare=False)


@dataclass(frozen=True)
class Landscape:
    """A whole set of descriptions."""

    apps: tuple[App, ...] = ()
    platform: Platform = field(default_factory=Platform)
    endpoints: tuple[Endpoint, ...] | None = None  # a list to check selectors against

    def app(self, name: str) -> App | None:
        return self.by_name.get(name)

    @cached_property
    def by_name(self) -> dict[str, App]:
        """The first of each name."""
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
