"""How long to wait before the store is asked again."""

from __future__ import annotations

from random import Random

INITIAL_BACKOFF_S, MAX_BACKOFF_S = 0.1, 5.0  # s


class Backoff:
    """Capped, doubled, and jittered by half, so that forty that lost the store don't return at once."""

    def __init__(self, random: Random) -> None:
        self.random, self.delay = random, INITIAL_BACKOFF_S

    def next_delay(self) -> float:
        pause, self.delay = self.delay, min(MAX_BACKOFF_S, 2 * self.delay)
        return pause * self.random.uniform(0.5, 1.0)

    def max_delay(self) -> float:
        """For what no further try will mend soon."""
        return MAX_BACKOFF_S * self.random.uniform(0.5, 1.0)

    def reset(self) -> None:
        self.delay = INITIAL_BACKOFF_S
