"""When discovery is asked again, and whether what is known of the list may still be used. Pure; part of the
decisions.

Seconds throughout. A list is a lease on what it says: a change counts as known some seconds after discovery
had it, whatever became of the calls that would have told it.
"""

from __future__ import annotations

import math
from random import Random

from gladegw.balancing.events import DiscoveryFailure

WATCH_RETRY = 0.1  # s, doubled at each failure in a row: the pause before discovery is asked again
WATCH_RETRY_MOST = 1.0  # s; with a call that hangs, still twice within the 6 s that a change may take
MOST_DOUBLINGS = 8
# From the beginning of a refused call to the next one. Discovery answers calls in turn, and its time goes
# into those that it has refused too: proxies that ask again at once keep it from answering anybody. The
# longest still brings the news within the 6 s that a change may take and the grace of a drain.
REFUSED_RETRY = (3.5, 6.4)  # s
# The pause after a call that was refused at once, doubled at each failure in a row. Such a call has cost
# discovery no turn, and where all instances ask at once most of the time in which news count as known goes
# by until each has had its turn: a longer pause would leave turns unused. Once the list has lapsed there is
# less to win by haste.
CROWDED_RETRY = 0.25  # s
CROWDED_RETRY_MOST = 1.0  # s
LAPSED_RETRY_MOST = 2.0  # s
FIRST_SPREAD = 2.0  # s over which first calls are spread: all instances may start at once
TOLD_WITHIN = 6.0  # s after which a change counts as known, also where no call was answered
MOVED_TOLD_WITHIN = 4.0  # s after which what discovery has to tell at a new address counts as known
HELD_UP = 0.2  # s that may pass between a decision and its first byte, beside a connect: a pause, and a step
LONGEST_ASK = 2.5  # s that a call to discovery may take until it fails
LEAST_SURE = 0.05  # s


class Freshness:
    """The calls to discovery of one instance, and how old its list may be by now."""

    def __init__(self, random: Random, asks: bool, drain_grace: float, connect_timeout: float) -> None:
        """`asks`: whether the module opens the watch itself; the times are the settings', in seconds."""
        self.random = random
        self.watching = not asks
        self.crowds = (
            asks  # all instances call the one discovery; a pushed list comes from an agent of one's own
        )
        self.watch_at = -1.0
        self.fails = 0  # in a row
        self.last_failure = DiscoveryFailure.UNANSWERED
        self.news_at = 0.0  # until when no change can have been missed
        self.moved_at = math.inf  # when discovery got another address that has not answered yet
        self.asked_at = -math.inf  # since when the watch, or its present call, has been out
        # For which what was known of a server still holds: later a call might begin after the grace of a
        # drain.
        self.sure_for = max(LEAST_SURE, TOLD_WITHIN + drain_grace - connect_timeout - HELD_UP)

    def start(self, now: float, must_ask_within: float) -> None:
        self.watch_at = now + self.random.random() * min(FIRST_SPREAD, must_ask_within / 4)

    def told(self, now: float, by_discovery: bool) -> None:
        """A list came, or the word that nothing has changed; the list of the start is not discovery's."""
        if by_discovery:
            self.fails = 0
            self.asked_at = now
            self.moved_at = math.inf
        self.news_at = now

    def moved(self, now: float) -> None:
        """Discovery has another address; what the one before still tells is no news any more."""
        self.moved_at = now

    def failed(self, now: float, failure: DiscoveryFailure) -> None:
        """A call failed."""
        self.watching = False
        if not self.fails:  # until then a watch was open, which may have fallen silent as it began
            self.news_at = max(self.news_at, now - LONGEST_ASK)
        self.fails += 1
        self.last_failure = failure
        doublings = min(self.fails, MOST_DOUBLINGS)
        if failure is DiscoveryFailure.REJECTED_IMMEDIATELY and self.crowds:
            most = CROWDED_RETRY_MOST if now < self.lapses_at else LAPSED_RETRY_MOST
            self.watch_at = now + self._drawn(CROWDED_RETRY * 2**doublings, most)
            return
        self.watch_at = now + self._drawn(WATCH_RETRY * 2**doublings, WATCH_RETRY_MOST)
        if failure is DiscoveryFailure.REJECTED and self.crowds and self.fails > 1:
            self.watch_at = max(self.watch_at, self.asked_at + self.random.uniform(*REFUSED_RETRY))

    def _drawn(self, longest: float, most: float) -> float:
        """A pause of half the longest up to the longest, `most` at the most."""
        return min(longest, most) * (0.5 + 0.5 * self.random.random())

    def continues(self, other: Freshness) -> None:
        """Takes over how old the list is from an instance that has followed the same discovery so far."""
        self.fails, self.last_failure = other.fails, other.last_failure
        self.news_at, self.moved_at = other.news_at, other.moved_at

    def asks(self, now: float) -> bool:
        """Whether it is time for a watch; it is taken to be opened then."""
        if self.watching or now < self.watch_at:
            return False
        self.watching = True
        self.asked_at = now
        return True

    @property
    def lapses_at(self) -> float:
        """When a drain may count as known that was not told, if no news come until then."""
        moved_lapses_at = self.moved_at + MOVED_TOLD_WITHIN - TOLD_WITHIN + self.sure_for
        return min(self.news_at + self.sure_for, moved_lapses_at)

    @property
    def followed(self) -> bool:
        """Whether a watch is open, as far as is known; one that falls silent fails before the list lapses."""
        return not self.fails and math.isinf(self.moved_at)

    def doubtful(self, now: float) -> bool:
        """Whether the list may lapse before news come: it is not followed, and half of its time is over."""
        return not self.followed and now > self.lapses_at - self.sure_for / 2

    def overdue(self, now: float) -> bool:
        """Whether a drain may count as known that is not: nothing was heard for too long."""
        return not self.followed and now > self.lapses_at

    @property
    def reachable(self) -> bool:
        """Whether discovery is known to be up though it refuses calls, so that its changes count as known."""
        return self.fails > 0 and self.last_failure is DiscoveryFailure.REJECTED_IMMEDIATELY
