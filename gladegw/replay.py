"""`gladegw replay`: asks the decision module again with what a capture says that it used.

Each recorded decision is made by the module's own functions, on a Balancer that holds what was recorded and
nothing else; the draws are the recorded ones. What it says now is compared with what it said then.
"""

from __future__ import annotations

import json
import math
import re
from collections.abc import Iterator
from pathlib import Path
from random import Random
from typing import Any

from gladegw.balancing.admission import Admission, Mean
from gladegw.balancing.balancer import ATTEMPTS_EXHAUSTED, QUEUED, SHED, TOO_LATE, Balancer
from gladegw.balancing.events import Arrival, ServerEntry, Settings
from gladegw.balancing.requests import Attempt, Call
from gladegw.balancing.server_selection import PICK_INPUTS, Server, ServerSelector
from gladegw.net.capture import VERSION
from gladegw.net.config import flatten
from gladegw.net.endpoint_lists import STATES, server_id
from gladegw.net.load_reports import read_report
from gladegw.simulator_adapter import read_settings

PLAIN = re.compile(r"[\w.:-]+", re.ASCII)
DEFAULT_DRAW = 0.5  # for a draw that the changed inputs need and the recorded ones did not

Difference = tuple[str, str]
Tables = dict[int, tuple[Any, Any]]  # epoch and table, by generation; None: there was none, no text recorded


class CaptureError(Exception):
    """What was read is no capture that this program can replay; the message is one line."""


class RecordedServers(ServerSelector):
    def draw(self, server: Server) -> float:
        return server.tie_break


class RecordedAdmission(Admission):
    recorded: float | None = None

    def draw(self) -> float:
        return DEFAULT_DRAW if self.recorded is None else self.recorded


def verdict_text(verdict: str) -> str:
    return verdict if verdict == QUEUED else f"refused-{verdict}"


def plain(text: str) -> str:
    """A peer's text as one word."""
    return text if PLAIN.fullmatch(text) else json.dumps(text)


class ReplayedRequest:
    """One request's decisions, made again."""

    def __init__(self, settings: Settings, lists: dict[int, dict[str, Any]], record: dict[str, Any]) -> None:
        self.settings, self.lists, self.record = settings, lists, record
        self.balancer = Balancer(settings, 0)
        self.admission = self.balancer.admission = RecordedAdmission(settings.stage, Random(0))
        self.servers = self.balancer.servers = RecordedServers(settings, Random(0))
        self.cls = self.balancer.classes.get(record["class"])
        self.call: Call | None = None
        self.sent: list[Server] = []  # by attempt

    def difference(self) -> Difference | None:
        """The first; what comes after it was decided on another course."""
        steps = self.record["steps"]
        last = max((place for place, step in enumerate(steps) if step["step"] == "pick"), default=-1)
        for place, step in enumerate(steps):
            if step["step"] == "pick":
                told = self.record if place == last else step
                recorded, replayed = str(told["server"]), self.pick(step, told)
            else:
                recorded, replayed = verdict_text(step["said"]), verdict_text(self.replay_step(step))
            if recorded != replayed:
                return recorded, replayed
        return None

    def replay_step(self, step: dict[str, Any]) -> str:
        self.balancer.now = step["at"]
        if step["step"] == "admit":
            return self.admit(step)
        call = self.resume(step)
        if step["step"] == "hold":
            call.queue_position, call.probe_wait_until = step["before"], step["asked_until"]
            return self.balancer.queue_verdict(call, step["place"], step["wait"])
        if step["step"] == "start":
            self.balancer.window_in_use = step["busy"]
            return TOO_LATE if self.balancer.is_too_late(call) else QUEUED
        if step["step"] == "repeat":
            self.balancer.retry_tokens = step["tokens"]
            return QUEUED if self.balancer.may_retry(call) else ATTEMPTS_EXHAUSTED
        raise CaptureError(f"unknown step {step['step']!r}")

    def admit(self, step: dict[str, Any]) -> str:
        record, balancer = self.record, self.balancer
        budget = step.get("budget", record["budget_ms"] / 1000 - step["spent"])
        if self.cls is None or not 0 < budget < math.inf:
            return SHED
        quota = None
        if self.settings.stage == 0 and record["tenant"] in balancer.quota:
            quota = balancer.quota[record["tenant"]] if step.get("quota") is None else step["quota"]
        event = Arrival(1, record["class"], budget, record["tenant"], step.get("work", 0.0))
        event.route_timeout = step.get("limit", math.inf)
        self.call = balancer.make_call(event, self.cls, quota, step.get("usual", 0.0))
        self.call.max_attempts = step.get("most", 0)
        cut = step.get("cut")
        self.admission.threshold, self.admission.tie_reject_fraction = (
            -math.inf if cut is None else cut,
            step.get("tie", 0.0),
        )
        self.admission.recorded = step.get("draw")
        return QUEUED if balancer.is_admitted(self.call) else SHED

    def resume(self, step: dict[str, Any]) -> Call:
        """The call as it stood at this step."""
        call = self.call
        if call is None:
            raise CaptureError("the request was never admitted")
        call.cls.mean.value = step["mean"]
        call.attempts = []
        for number, (status, sent_at) in enumerate(step["tries"]):
            attempt = Attempt(call, number, self.sent[number], sent_at, 0.0)
            attempt.status = status
            call.attempts.append(attempt)
        call.in_flight = sum(1 for attempt in call.attempts if attempt.status < 0)
        return call

    def pick(self, step: dict[str, Any], told: dict[str, Any]) -> str:
        servers, balancer = self.servers, self.balancer
        balancer.now, balancer.window_in_use = step["at"], step["busy"]
        call = self.resume(step)
        listed = self.lists.get(told["list"])
        if listed is None or listed["index"] != told["index"]:
            raise CaptureError(f"list {told['list']} with index {told['index']} is missing")
        names = {}
        entries = {endpoint["name"]: endpoint for endpoint in listed["endpoints"]}
        servers.pool = []
        for name, known in step["servers"].items():
            server = self.server(entries[name], known, told["inflight"][name], told["load"].get(name))
            servers.pool.append(server)
            names[server.id] = name
        servers.mean_latency, servers.trusted_idle = step["unit"], step["idle_safe"]
        servers.mean_load.value = step["mean_load"]
        servers.new_connection_cost.value, servers.open_connection_cost.value = (
            step["on_new"],
            step["on_open"],
        )
        servers.zone_load = {zone: Mean(value) for zone, value in step["zones"].items()}
        if told["server"] not in entries:
            return "none"  # the recorded one is no server of this list
        self.sent.append(self.server(entries[told["server"]], {}, 0, None))
        if balancer.is_too_late(call):
            return verdict_text(TOO_LATE)
        choice = servers.pick(call, balancer.lifecycle, balancer.now)
        return "none" if choice is None else names[choice[0].id]

    @staticmethod
    def server(endpoint: dict[str, Any], known: dict[str, Any], inflight: int, load: str | None) -> Server:
        entry = ServerEntry(
            server=server_id(endpoint["name"]),
            zone=endpoint["zone"],
            cell=endpoint["group"],
            state=STATES[endpoint["status"]],
            weight=endpoint["weight"],
        )
        server = Server(entry, 0.0)
        for field, used in PICK_INPUTS.items():
            setattr(server, used.attribute, known.get(field, used.unknown))
        server.in_flight = inflight
        if load is not None:
            server.last_report = (read_report(load.encode()) or {}).get("busy_reqs", 0.0)
        return server


def _table(record: dict[str, Any]) -> Any:
    """The recorded table of routes."""
    if record["text"] is None:
        return None
    from gladegw.routing.findings import RoutingError
    from gladegw.routing.matcher import Table
    from gladegw.routing.read import read_text

    try:
        return Table(read_text(record["text"], record["file"], ("expect",)))
    except RoutingError as fault:
        raise CaptureError(f"the recorded routes can't be used: {fault}") from None


def _rerouted(tables: Tables, record: dict[str, Any]) -> Difference | None:
    """Where the recorded table sends the request now, if not where it went then."""
    route = record.get("route")
    if route is None:
        return None
    if route["generation"] not in tables:
        raise CaptureError(f"generation {route['generation']} of the routes is missing")
    epoch, table = tables[route["generation"]]
    if epoch != route.get("epoch"):
        raise CaptureError(f"generation {route['generation']} is of epoch {epoch}, not {route.get('epoch')}")
    if table is None:
        return None
    from gladegw.routing.model import Ask
    from gladegw.routing.split import first_pool

    headers = [(name.encode("latin-1"), value.encode("latin-1")) for name, value in route["headers"].items()]
    ask = Ask(
        route["method"],
        route["target"],
        route["host"],
        headers,
        route["budget_ms"],
        record["tenant"],
        route["source"],
        record["id"],
    )
    entry = table.find(ask)
    now = ("none", "none") if entry is None else (str(entry.route), first_pool(entry.route, ask))
    then = (str(route["name"]), str(route["first"]))
    return None if now == then else (f"route:{then[0]}:{then[1]}", f"route:{now[0]}:{now[1]}")


def differences(path: str) -> Iterator[tuple[str, Difference]]:
    """The requests on which the module says something else now; raises Unusable."""
    settings: Settings | None = None
    lists: dict[int, dict[str, Any]] = {}
    tables: Tables = {}  # of routes
    number = 0
    try:
        with Path(path).open("rb") as file:
            for line in file:
                number += 1
                if not line.startswith(b"{"):
                    continue  # of the log that a dump stands in
                record = json.loads(line)
                if record.get("v") != VERSION:
                    raise CaptureError(f"version {record.get('v')!r} is not known, only {VERSION}")
                kind = record.get("kind")
                if kind == "start":
                    settings, lists, tables = read_settings(flatten(record["settings"])), {}, {}
                elif settings is None:
                    raise CaptureError("there is no start record before it")
                elif kind == "list":
                    lists[record["list"]] = record
                elif kind == "routes":
                    tables[record["generation"]] = record.get("epoch"), _table(record)
                elif kind == "req":
                    found = _rerouted(tables, record) or ReplayedRequest(settings, lists, record).difference()
                    if found is not None:
                        yield str(record["id"]), found
                else:
                    raise CaptureError(f"unknown kind {kind!r}")
    except CaptureError as fault:
        raise CaptureError(f"{path}:{number}: {fault}") from None
    except OSError as fault:
        raise CaptureError(f"{path}: {fault.strerror or fault}") from None
    except (ValueError, KeyError, IndexError, TypeError, AttributeError) as fault:
        text = " ".join(f"malformed record: {fault!r}".split())
        raise CaptureError(f"{path}:{number}: {text}") from None
    if settings is None:
        raise CaptureError(f"{path}:{number}: no start record")


def replay(path: str) -> int:
    """Prints the differences; 0 without any, else 1."""
    code = 0
    for id, (recorded, replayed) in differences(path):
        print(f"{plain(id)} recorded={plain(recorded)} replayed={plain(replayed)}")
        code = 1
    return code
