"""How long to wait before the store is asked again."""

from __future__ import annotations

from random import Random

FIRST_BACKOFF, MOST_BACKOFF = 0.1, 5.0  # s


class Backoff:
    """Capped, doubled, and jittered by half, so that forty that lost the store don't return at once."""

    def __init__(self, draws: Random) -> None:
        self.draws, self.pause = draws, FIRST_BACKOFF

    def next(self) -> float:
        pause, self.pause = self.pause, min(MOST_BACKOFF, 2 * self.pause)
        return pause * self.draws.uniform(0.5, 1.0)

    def most(self) -> float:
        """For what no further try will mend soon."""
        return MOST_BACKOFF * self.draws.uniform(0.5, 1.0)

    def reset(self) -> None:
        self.pause = FIRST_BACKOFF
