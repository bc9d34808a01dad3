"""Health checks: load and health probes of servers, and the recovery of ejected ones.

All times are in seconds. Pure: no I/O, no clock.
"""

from __future__ import annotations

from random import Random

from gladegw.balancing.admission import Admission
from gladegw.balancing.endpoint_freshness import EndpointFreshness
from gladegw.balancing.events import Action, Probe, ServerState, SetTimer, Settings
from gladegw.balancing.requests import Call
from gladegw.balancing.server_selection import Server, ServerSelector

PROBES_PER_CALL = 0.15
MIN_PROBES_PER_S = 0.3  # keeps load reports recent in an idle instance
INITIAL_PROBES = 8.0  # probe tokens at startup: without load reports all instances pick the same servers
MAX_CANDIDATE_PROBE_PRICE = 0.006  # points per call, for probes of its candidate servers
CANDIDATES = 3  # servers probed before one call is sent
CANDIDATE_PROBE_WAIT_S = 0.01
CANDIDATE_PROBE_TOKEN = 2


class HealthChecker:
    """Decides which servers of one instance are probed and when; appends the actions to `actions`."""

    def __init__(
        self,
        settings: Settings,
        random: Random,
        servers: ServerSelector,
        admission: Admission,
        freshness: EndpointFreshness,
        actions: list[Action],
    ) -> None:
        self.settings = settings
        self.random = random
        self.servers = servers
        self.admission = admission
        self.freshness = freshness
        self.actions = actions
        self.probe_tokens = INITIAL_PROBES
        self.probes_candidates = (
            settings.may_probe and CANDIDATES * settings.price_probe <= MAX_CANDIDATE_PROBE_PRICE
        )

    def recover_ejected(self, now: float) -> None:
        """Probe servers whose ejection is over; where probes are not allowed, put them on trial."""
        servers = self.servers
        due = [s for s in servers.servers.values() if s.ejected_until and now >= s.ejected_until]
        for server in due:
            if server.state is not ServerState.SERVING:
                continue
            if not self.settings.may_probe:
                servers.readmit(server, now)
            elif not server.probe_pending:
                self.send_probe(server, now)
        if due and not self.settings.may_probe:
            servers.fill_pool()

    def probe(self, now: float, span: float) -> None:
        """Send the regular health probes that the probe rate allows for the last `span` seconds."""
        if not self.settings.may_probe or not self.servers.pool:
            return
        rate = max(MIN_PROBES_PER_S, PROBES_PER_CALL * self.admission.rate)
        self.probe_tokens = max(self.probe_tokens, min(2.0, self.probe_tokens + rate * span))
        if self.probes_candidates:
            return  # calls have their candidates probed
        while self.probe_tokens >= 1:
            probeable = [s for s in self.servers.pool if not s.probe_pending and not s.ejected_until]
            if not probeable:
                break
            self.probe_tokens -= 1
            oldest = min(s.probed_at for s in probeable)
            self.send_probe(self.random.choice([s for s in probeable if s.probed_at == oldest]), now)

    def awaits_candidate_probes(self, call: Call, now: float) -> bool:
        """Return whether a call waits for probes of its candidate servers, sending them first if due.

        Used where probes are cheap and calls are so few that the load reports of regular probes are older
        than a call's latency. Prevents picks based on outdated reports when many instances share few calls.
        """
        if not self.probes_candidates:
            return False
        if call.probed_candidates is None:
            call.probed_candidates = []
            servers = self.servers
            probe_rate = max(MIN_PROBES_PER_S, PROBES_PER_CALL * self.admission.rate)
            if call.attempts or call.deadline - now < 3 * CANDIDATE_PROBE_WAIT_S:
                return False
            if (
                len(servers.pool) < probe_rate * servers.mean_latency
                or servers.mean_latency < 2 * CANDIDATE_PROBE_WAIT_S
            ):
                return False
            usable = [s for s in servers.pool if servers.is_usable(s, now)]
            warm = [s for s in usable if servers.has_warm_connection(s, now)]
            call.probed_candidates = self.random.sample(warm, min(CANDIDATES - 1, len(warm)))
            others = [s for s in usable if s not in call.probed_candidates]
            call.probed_candidates += self.random.sample(
                others, min(CANDIDATES - len(call.probed_candidates), len(others))
            )
            for server in call.probed_candidates:
                if not server.probe_pending:
                    self.send_probe(server, now)
            call.probe_wait_until = now + CANDIDATE_PROBE_WAIT_S
            self.actions.append(SetTimer(CANDIDATE_PROBE_WAIT_S, CANDIDATE_PROBE_TOKEN))
        return now < call.probe_wait_until - 1e-9 and any(
            server.probe_pending for server in call.probed_candidates
        )

    def send_probe(self, server: Server, now: float) -> None:
        """Append a Probe action for a server."""
        server.probe_pending = True
        server.probed_at = now + self.random.random() * 1e-3
        self.actions.append(Probe(server.id))
