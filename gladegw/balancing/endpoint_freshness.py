"""Endpoint freshness: when discovery is polled again, and whether the endpoint list is still valid.

All times are in seconds. An endpoint list is a lease: a change counts as known to the instance some seconds
after discovery had it and could be reached, even if every call that would have reported it failed. Two
things renew it: an update from discovery, and proof that discovery could not be reached, so that no change
can count. The only such proof is a refused connection (`CONNECTION_REFUSED`). A failed call proves nothing,
since an outage can't be told from overload; nor do answers of servers, because a draining server may answer
requests and probes as before.
Pure: no I/O, no clock.
"""

from __future__ import annotations

import math
from random import Random

from gladegw.balancing.events import DiscoveryFailure

RETRY_INTERVAL_S = 0.1  # after a failed poll; doubled at each consecutive failure
MAX_RETRY_INTERVAL_S = 1.0  # two polls fit into CHANGE_KNOWN_AFTER_S even if one hangs
MAX_DOUBLINGS = 8
# While the list is valid, a rejected call is repeated within this fraction of the time in which it can still
# be renewed, so that several calls fit in.
RENEWAL_FRACTION = 0.25
POLL_TIME_S = 0.9  # reserved for a call that renews the list just in time
# Time from the start of a rejected call to the start of the next one once the list has expired. Discovery
# spends time on rejected calls too, so immediate retries would keep it overloaded.
REJECTED_RETRY_RANGE_S = (3.5, 6.4)
# After an immediate rejection, which costs discovery nothing; doubled at each consecutive failure.
OVERLOADED_RETRY_S = 0.25
MAX_OVERLOADED_RETRY_S = 1.0
MAX_EXPIRED_RETRY_S = 2.0  # instead of MAX_OVERLOADED_RETRY_S once the list has expired
INITIAL_POLL_SPREAD_S = 2.0  # all instances may start at once
REFUSED_RETRY_S = 0.25  # after a refused connection, which costs discovery nothing
MAX_OBSERVATION_GAP_S = 1.0  # between two signs by which discovery's state is known without interruption
# A simulated instance without a subscription whose last poll failed counts as told after this multiple of the
# maximum poll gap.
FAILED_POLL_GAP_FACTOR = 4.0
CHANGE_KNOWN_AFTER_S = 6.0  # a change counts as known this long after discovery had it
CHANGE_KNOWN_AFTER_MOVE_S = 4.0  # the same, counted from a change of discovery's address
# All instances poll a new address of discovery; their first calls are spread over a time that grows with the
# fleet.
MOVE_SPREAD_PER_INSTANCE_S = 0.1
MAX_MOVE_SPREAD_S = 3.0  # leaves a second of CHANGE_KNOWN_AFTER_MOVE_S for the answer
MAX_PROCESSING_DELAY_S = 0.2  # from the last look at the clock to the first byte sent
MIN_VALIDITY_S = 0.05


# A rejected call that may have cost discovery time.
LATE_REJECTIONS = (DiscoveryFailure.REJECTED, DiscoveryFailure.WATCH_REJECTED)


class EndpointFreshness:
    """Poll schedule of one instance and the age of its endpoint list."""

    def __init__(
        self,
        random: Random,
        polls: bool,
        drain_grace: float,
        watch_is_confirmed: bool = False,
    ) -> None:
        """Set up the schedule.

        `polls`: whether the instance opens the watch itself. `drain_grace`, in seconds, and
        `watch_is_confirmed` come from the settings.
        """
        self.watch_is_confirmed = watch_is_confirmed
        self.random = random
        self.watching = not polls
        # All instances poll the same discovery; a pushed list comes from the instance's own agent.
        self.shares_discovery = polls
        self.next_poll_at = -1.0
        self.consecutive_failures = 0
        self.last_failure = DiscoveryFailure.UNANSWERED
        self.current_as_of = 0.0  # no change before this time can have been missed
        self.address_changed_at = math.inf  # first change of discovery's address that has not answered since
        # Start of a process whose lists are pushed; finite until an update. All that its agent has counts as
        # known from then on, also while the agent is silent.
        self.unconfirmed_since = math.inf
        # Until when discovery was watched, or refused connections, without a gap; minus infinity: not known.
        self.observed_until = -math.inf
        self.polled_at = -math.inf  # start of the watch or of its current call
        # How long attempts may begin after a drain counts as known, so that the grace covers a delay.
        self.send_margin = drain_grace - MAX_PROCESSING_DELAY_S
        self.max_poll_gap = math.inf
        self.valid_for = max(MIN_VALIDITY_S, CHANGE_KNOWN_AFTER_S + self.send_margin)

    def start(self, now: float, max_poll_gap: float) -> None:
        """Schedule the first poll at a random time, because all instances may start at once.

        `max_poll_gap`: seconds for which an instance may go without polling, from the settings.
        """
        self.max_poll_gap = max_poll_gap
        self.next_poll_at = now + self.random.random() * min(INITIAL_POLL_SPREAD_S, max_poll_gap / 4)

    def on_update(self, now: float, by_discovery: bool, as_of: float = math.inf) -> None:
        """Process a list or a confirmation without changes.

        `by_discovery` is false for a cached list. `as_of`: no change before this time is missing.
        """
        if by_discovery:
            self.consecutive_failures = 0
            self.polled_at = now
            self.address_changed_at = math.inf
            self.unconfirmed_since = math.inf
        elif self.watch_is_confirmed and not self.shares_discovery and not self.current_as_of:
            self.unconfirmed_since = now
        self.current_as_of = max(self.current_as_of, min(now, as_of))
        if by_discovery:
            self.observed_until = self.current_as_of

    def move_delay(self, instances: int) -> float:
        """Return a random number of seconds until a new address of discovery is polled.

        `instances`: size of the fleet.
        """
        return self.random.random() * min(MAX_MOVE_SPREAD_S, MOVE_SPREAD_PER_INSTANCE_S * instances)

    def on_address_change(self, changed_at: float) -> None:
        """Record that discovery has a new address; updates from the old one no longer count."""
        self.address_changed_at = min(self.address_changed_at, changed_at)

    def on_failure(
        self,
        now: float,
        failure: DiscoveryFailure,
        missed_for: float = math.inf,
        begun_at: float = math.inf,
    ) -> None:
        """Process a failed call to discovery and schedule the next poll with backoff.

        `missed_for`: seconds for which a watch may have missed changes before it failed; infinite if unknown,
        so that only the time of the last update counts. `begun_at`: when the call began, if that is known.
        """
        self.watching = False
        if not self.consecutive_failures:
            self.current_as_of = max(self.current_as_of, now - missed_for)
        self.consecutive_failures += 1
        self.last_failure = failure
        self._observe_failure(failure, min(now, begun_at), now)
        self.next_poll_at = self._retry_at(now, failure)

    def _observe_failure(self, failure: DiscoveryFailure, begun_at: float, now: float) -> None:
        """Extend the list's validity if discovery was first watched and then refused connections.

        Changes that it had before are known from the watch, and it could not be reached since. A longer gap
        between two signs, or another failure, may hide a time at which it could be reached.
        """
        refused = failure is DiscoveryFailure.CONNECTION_REFUSED
        sign_at = begun_at if refused else now
        is_sign = refused or failure is DiscoveryFailure.WATCH_ENDED
        if not (is_sign and self.shares_discovery and sign_at <= self.observed_until + MAX_OBSERVATION_GAP_S):
            self.observed_until = -math.inf
            return
        self.observed_until = max(self.observed_until, sign_at)
        if refused:
            self.current_as_of = max(self.current_as_of, sign_at)

    def _retry_at(self, now: float, failure: DiscoveryFailure) -> float:
        """Return when discovery is polled again after a failure."""
        doublings = min(self.consecutive_failures, MAX_DOUBLINGS)
        if failure is DiscoveryFailure.CONNECTION_REFUSED:
            return now + self._jittered(REFUSED_RETRY_S, REFUSED_RETRY_S)
        if failure is DiscoveryFailure.REJECTED_IMMEDIATELY and self.shares_discovery:
            limit = MAX_OVERLOADED_RETRY_S if now < self.expires_at else MAX_EXPIRED_RETRY_S
            return now + self._jittered(OVERLOADED_RETRY_S * 2**doublings, limit)
        retry_at = now + self._jittered(RETRY_INTERVAL_S * 2**doublings, MAX_RETRY_INTERVAL_S)
        if failure in LATE_REJECTIONS and self.shares_discovery and self.consecutive_failures > 1:
            latest = self.expires_at - POLL_TIME_S
            if self.watch_is_confirmed and retry_at < latest:
                return self.random.uniform(retry_at, retry_at + RENEWAL_FRACTION * (latest - retry_at))
            return max(retry_at, self.polled_at + self.random.uniform(*REJECTED_RETRY_RANGE_S))
        return retry_at

    def _jittered(self, longest: float, limit: float) -> float:
        """Return a random delay between 50 % and 100 % of `longest`, which is capped at `limit`."""
        return min(longest, limit) * (0.5 + 0.5 * self.random.random())

    def inherit(self, other: EndpointFreshness) -> None:
        """Copy the age of the list from an instance that has followed the same discovery."""
        self.consecutive_failures, self.last_failure = other.consecutive_failures, other.last_failure
        self.current_as_of, self.address_changed_at = other.current_as_of, other.address_changed_at
        self.unconfirmed_since, self.observed_until = other.unconfirmed_since, other.observed_until

    def should_poll(self, now: float) -> bool:
        """Return whether a watch is due; if so, it is recorded as open."""
        if self.watching or now < self.next_poll_at:
            return False
        self.watching = True
        self.polled_at = now
        return True

    @property
    def expires_at(self) -> float:
        """When the list expires without an update: from then on it may lack a drain that counts as known."""
        if not self.watch_is_confirmed:
            return self._expires_without_confirmation
        expires_after_move = self.address_changed_at + CHANGE_KNOWN_AFTER_MOVE_S + self.send_margin
        valid_for = self.valid_for
        if not self.consecutive_failures:
            # A process that stalls polls no more; discovery waits four times as long after a failed call.
            valid_for = min(valid_for, self.max_poll_gap + self.send_margin)
        expires_after_start = self.unconfirmed_since + max(MIN_VALIDITY_S, self.send_margin)
        return min(self.current_as_of + valid_for, expires_after_move, expires_after_start)

    @property
    def _expires_without_confirmation(self) -> float:
        """When the list of a simulated instance expires: it counts as told some time after its last poll."""
        factor = FAILED_POLL_GAP_FACTOR if self.consecutive_failures else 1.0
        last_poll_at = max(self.current_as_of, self.polled_at)
        return last_poll_at + factor * self.max_poll_gap + self.send_margin

    @property
    def is_watched_silently(self) -> bool:
        """Whether a watch is open, as far as is known, that reports nothing while nothing changes."""
        if self.watch_is_confirmed:
            return False
        return not self.consecutive_failures and math.isinf(self.address_changed_at)

    def is_going_stale(self, now: float) -> bool:
        """Return whether less than half of the list's validity is left."""
        return not self.is_watched_silently and now > self.expires_at - self.valid_for / 2

    def is_expired(self, now: float) -> bool:
        """Return whether the list's validity has passed.

        A watch that is confirmed in short intervals needs no failed call for that: a process that stalls
        notices no failure.
        """
        return not self.is_watched_silently and now > self.expires_at

    def next_answer_in(self, now: float) -> float:
        """Return the seconds until the next call to discovery begins; 0 if one is pending."""
        return 0.0 if self.watching else max(0.0, self.next_poll_at - now)
