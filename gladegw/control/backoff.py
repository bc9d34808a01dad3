"""Delays between retries of requests to the store."""

from __future__ import annotations

from random import Random

INITIAL_BACKOFF_S, MAX_BACKOFF_S = 0.1, 5.0


class Backoff:
    """Capped exponential backoff.

    Each delay is shortened by a random part of up to half, so that many processes do not retry at once.
    """

    def __init__(self, random: Random) -> None:
        self.random, self.delay = random, INITIAL_BACKOFF_S

    def next_delay(self) -> float:
        """Return the delay before the next retry, in seconds, and double the one after it."""
        delay, self.delay = self.delay, min(MAX_BACKOFF_S, 2 * self.delay)
        return delay * self.random.uniform(0.5, 1.0)

    def max_delay(self) -> float:
        """Return a delay for faults that a retry is unlikely to resolve soon, in seconds."""
        return MAX_BACKOFF_S * self.random.uniform(0.5, 1.0)

    def reset(self) -> None:
        """Return to the initial delay after a success."""
        self.delay = INITIAL_BACKOFF_S
