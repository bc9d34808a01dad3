"""When discovery is asked again, and whether what is known of the list may still be used. Pure; part of the
decisions.

Seconds throughout. A list is a lease on what it says: a change counts as known some seconds after discovery
had it, whatever became of the calls that would have told it.
"""

from __future__ import annotations

import math
from random import Random

from gladegw.balancing.events import DiscoveryFailure

RETRY_INTERVAL_S = 0.1  # s, doubled at each failure in a row: the pause before discovery is asked again
MAX_RETRY_INTERVAL_S = 1.0  # s; with a call that hangs, still twice within the 6 s that a change may take
MAX_DOUBLINGS = 8
# From the beginning of a refused call to the next one. Discovery answers calls in turn, and its time goes
# into those that it has refused too: proxies that ask again at once keep it from answering anybody. The
# longest still brings the news within the 6 s that a change may take and the grace of a drain.
REJECTED_RETRY_RANGE_S = (3.5, 6.4)  # s
# The pause after a call that was refused at once, doubled at each failure in a row. Such a call has cost
# discovery no turn, and where all instances ask at once most of the time in which news count as known goes
# by until each has had its turn: a longer pause would leave turns unused. Once the list has lapsed there is
# less to win by haste.
OVERLOADED_RETRY_S = 0.25  # s
MAX_OVERLOADED_RETRY_S = 1.0  # s
MAX_EXPIRED_RETRY_S = 2.0  # s
INITIAL_POLL_SPREAD_S = 2.0  # s over which first calls are spread: all instances may start at once
CHANGE_KNOWN_AFTER_S = 6.0  # s after which a change counts as known, also where no call was answered
CHANGE_KNOWN_AFTER_MOVE_S = 4.0  # s after which what discovery has to tell at a new address counts as known
MAX_PROCESSING_DELAY_S = (
    0.2  # s that may pass between a decision and its first byte, beside a connect: a pause, and a step
)
MAX_POLL_DURATION_S = 2.5  # s that a call to discovery may take until it fails
MIN_VALIDITY_S = 0.05  # s


class EndpointFreshness:
    """The calls to discovery of one instance, and how old its list may be by now."""

    def __init__(self, random: Random, polls: bool, drain_grace: float, connect_timeout: float) -> None:
        """`asks`: whether the module opens the watch itself; the times are the settings', in seconds."""
        self.random = random
        self.watching = not polls
        self.shares_discovery = (
            polls  # all instances call the one discovery; a pushed list comes from an agent of one's own
        )
        self.next_poll_at = -1.0
        self.consecutive_failures = 0  # in a row
        self.last_failure = DiscoveryFailure.UNANSWERED
        self.current_as_of = 0.0  # until when no change can have been missed
        self.address_changed_at = math.inf  # when discovery got another address that has not answered yet
        self.polled_at = -math.inf  # since when the watch, or its present call, has been out
        # For which what was known of a server still holds: later a call might begin after the grace of a
        # drain.
        self.valid_for = max(
            MIN_VALIDITY_S, CHANGE_KNOWN_AFTER_S + drain_grace - connect_timeout - MAX_PROCESSING_DELAY_S
        )

    def start(self, now: float, max_poll_gap: float) -> None:
        self.next_poll_at = now + self.random.random() * min(INITIAL_POLL_SPREAD_S, max_poll_gap / 4)

    def on_update(self, now: float, by_discovery: bool) -> None:
        """A list came, or the word that nothing has changed; the list of the start is not discovery's."""
        if by_discovery:
            self.consecutive_failures = 0
            self.polled_at = now
            self.address_changed_at = math.inf
        self.current_as_of = now

    def on_address_change(self, now: float) -> None:
        """Discovery has another address; what the one before still tells is no news any more."""
        self.address_changed_at = now

    def on_failure(self, now: float, failure: DiscoveryFailure) -> None:
        """A call failed."""
        self.watching = False
        if (
            not self.consecutive_failures
        ):  # until then a watch was open, which may have fallen silent as it began
            self.current_as_of = max(self.current_as_of, now - MAX_POLL_DURATION_S)
        self.consecutive_failures += 1
        self.last_failure = failure
        doublings = min(self.consecutive_failures, MAX_DOUBLINGS)
        if failure is DiscoveryFailure.REJECTED_IMMEDIATELY and self.shares_discovery:
            limit = MAX_OVERLOADED_RETRY_S if now < self.expires_at else MAX_EXPIRED_RETRY_S
            self.next_poll_at = now + self._jittered(OVERLOADED_RETRY_S * 2**doublings, limit)
            return
        self.next_poll_at = now + self._jittered(RETRY_INTERVAL_S * 2**doublings, MAX_RETRY_INTERVAL_S)
        if failure is DiscoveryFailure.REJECTED and self.shares_discovery and self.consecutive_failures > 1:
            self.next_poll_at = max(
                self.next_poll_at, self.polled_at + self.random.uniform(*REJECTED_RETRY_RANGE_S)
            )

    def _jittered(self, longest: float, limit: float) -> float:
        """A pause of half the longest up to the longest, `most` at the most."""
        return min(longest, limit) * (0.5 + 0.5 * self.random.random())

    def inherit(self, other: EndpointFreshness) -> None:
        """Takes over how old the list is from an instance that has followed the same discovery so far."""
        self.consecutive_failures, self.last_failure = other.consecutive_failures, other.last_failure
        self.current_as_of, self.address_changed_at = other.current_as_of, other.address_changed_at

    def should_poll(self, now: float) -> bool:
        """Whether it is time for a watch; it is taken to be opened then."""
        if self.watching or now < self.next_poll_at:
            return False
        self.watching = True
        self.polled_at = now
        return True

    @property
    def expires_at(self) -> float:
        """When a drain may count as known that was not told, if no news come until then."""
        moved_lapses_at = (
            self.address_changed_at + CHANGE_KNOWN_AFTER_MOVE_S - CHANGE_KNOWN_AFTER_S + self.valid_for
        )
        return min(self.current_as_of + self.valid_for, moved_lapses_at)

    @property
    def is_watched(self) -> bool:
        """Whether a watch is open, as far as is known; one that falls silent fails before the list lapses."""
        return not self.consecutive_failures and math.isinf(self.address_changed_at)

    def is_going_stale(self, now: float) -> bool:
        """Whether the list may lapse before news come: it is not followed, and half of its time is over."""
        return not self.is_watched and now > self.expires_at - self.valid_for / 2

    def is_expired(self, now: float) -> bool:
        """Whether a drain may count as known that is not: nothing was heard for too long."""
        return not self.is_watched and now > self.expires_at

    @property
    def is_discovery_reachable(self) -> bool:
        """Whether discovery is known to be up though it refuses calls, so that its changes count as known."""
        return self.consecutive_failures > 0 and self.last_failure is DiscoveryFailure.REJECTED_IMMEDIATELY
