"""Breadth first through all states of a world, so that the first broken invariant has a shortest trace."""

from __future__ import annotations

import time
from collections import deque
from collections.abc import Hashable, Iterable
from dataclasses import dataclass, field
from random import Random
from typing import Generic, Protocol, TypeVar

W = TypeVar("W", bound=Hashable)


class World(Protocol[W]):
    def first(self) -> W: ...

    def steps(self, state: W) -> Iterable[tuple[str, W]]:
        """Each step that is possible, by name."""

    def normal(self, state: W) -> W:
        """The one that stands for all states that are alike but for names."""

    def weight(self, name: str) -> float:
        """How likely this step is in a long run."""

    def broken(self, state: W) -> str:
        """The invariant that this state breaks; empty: none."""

    def settles(self, state: W) -> str:
        """What does not come about from here although nothing fails any more; empty: all does."""


@dataclass(slots=True)
class Found:
    """What a search saw. `trace` leads to the state in which `broken` holds."""

    states: int = 0
    steps: int = 0
    merged: int = 0  # steps that led to a state seen before
    depth: int = 0
    whole: bool = False  # no state was left out, whatever the depth
    seconds: float = 0.0
    broken: str = ""
    trace: list[str] = field(default_factory=list)


class Search(Generic[W]):
    def __init__(self, world: World[W], liveness: int = 1) -> None:
        """`liveness`: each so many-th state is asked whether it settles; 0: none is."""
        self.world, self.liveness = world, liveness
        self.came: dict[W, tuple[W | None, str]] = {}

    def run(self, depth: int, most: int = 10_000_000) -> Found:
        """All states within so many steps, or until `most` of them are known."""
        began, found = time.monotonic(), Found()
        first = self.world.first()
        self.came = {first: (None, "")}
        level = deque([first])
        while level and found.depth < depth and not found.broken and len(self.came) < most:
            found.depth += 1
            further: deque[W] = deque()
            for state in level:
                for name, raw in self.world.steps(state):
                    found.steps += 1
                    after = self.world.normal(raw)
                    if after in self.came:
                        found.merged += 1
                        continue
                    self.came[after] = (state, name)
                    further.append(after)
                    if self._wrong(after, found):
                        break
                if found.broken or len(self.came) >= most:
                    break
            level = further
        found.states = len(self.came)
        found.whole = not level and not found.broken
        found.seconds = time.monotonic() - began
        return found

    def _wrong(self, state: W, found: Found) -> bool:
        found.broken = self.world.broken(state)
        if not found.broken and self.liveness and len(self.came) % self.liveness == 0:
            found.broken = self.world.settles(state)
        if found.broken:
            found.trace = self.trace(state)
        return bool(found.broken)

    def trace(self, state: W) -> list[str]:
        steps: list[str] = []
        at: W | None = state
        while at is not None:
            at, name = self.came[at]
            if name:
                steps.append(name)
        return steps[::-1]


def walk(world: World[W], seed: int, steps: int) -> Found:
    """One long random run; the same seed gives the same."""
    began, found, draws = time.monotonic(), Found(), Random(seed)
    state = world.first()
    for _ in range(steps):
        choices = list(world.steps(state))
        if not choices:
            break
        ((name, state),) = draws.choices(choices, [world.weight(name) for name, _ in choices])
        state = world.normal(state)
        found.trace.append(name)
        found.steps += 1
        found.broken = world.broken(state) or (world.settles(state) if found.steps % 40 == 0 else "")
        if found.broken:
            break
    found.states, found.depth = found.steps, found.steps
    found.seconds = time.monotonic() - began
    return found
