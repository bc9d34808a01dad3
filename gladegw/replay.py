"""`gladegw replay`: repeats recorded decisions with the inputs stored in a capture.

Each decision is made again by the same functions of `gladegw.balancing`, on a Balancer that holds only what
was recorded, with the recorded random numbers. The result is compared with the recorded one.
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

UNQUOTED_PATTERN = re.compile(r"[\w.:-]+", re.ASCII)
DEFAULT_DRAW = 0.5  # random number where none was recorded but the replay needs one

Difference = tuple[str, str]
Tables = dict[int, tuple[Any, Any]]  # (epoch, table) by generation; table None: its text was not recorded


class CaptureError(Exception):
    """The input is not a capture that this program can replay; the message is one line."""


class RecordedServers(ServerSelector):
    """Server selection with the recorded random numbers."""

    def draw(self, server: Server) -> float:
        """Return the recorded random number of the server."""
        return server.tie_break


class RecordedAdmission(Admission):
    """Admission control with the recorded random number."""

    recorded: float | None = None

    def draw(self) -> float:
        """Return the recorded random number, or the default if there was none."""
        return DEFAULT_DRAW if self.recorded is None else self.recorded


def verdict_text(verdict: str) -> str:
    """Return the text printed for a verdict."""
    return verdict if verdict == QUEUED else f"refused-{verdict}"


def quote_if_needed(text: str) -> str:
    """Return text that came from a peer as one word, as a JSON string if necessary."""
    return text if UNQUOTED_PATTERN.fullmatch(text) else json.dumps(text)


class ReplayedRequest:
    """The decisions on one recorded request, made again."""

    def __init__(self, settings: Settings, lists: dict[int, dict[str, Any]], record: dict[str, Any]) -> None:
        self.settings, self.lists, self.record = settings, lists, record
        self.balancer = Balancer(settings, 0)
        self.admission = self.balancer.admission = RecordedAdmission(settings.stage, Random(0))
        self.servers = self.balancer.servers = RecordedServers(settings, Random(0), self.balancer.freshness)
        self.cls = self.balancer.classes.get(record["class"])
        self.call: Call | None = None
        self.sent: list[Server] = []  # in the order of attempts

    def difference(self) -> Difference | None:
        """Return the first difference as (recorded, replayed), or None.

        Steps after it are not compared: the replayed state differs from the recorded one there.
        """
        steps = self.record["steps"]
        last = max((index for index, step in enumerate(steps) if step["step"] == "pick"), default=-1)
        for index, step in enumerate(steps):
            if step["step"] == "pick":
                choice_record = self.record if index == last else step
                recorded, replayed = str(choice_record["server"]), self.pick(step, choice_record)
            else:
                recorded, replayed = verdict_text(step["said"]), verdict_text(self.replay_step(step))
            if recorded != replayed:
                return recorded, replayed
        return None

    def replay_step(self, step: dict[str, Any]) -> str:
        """Return the verdict of a step other than a pick."""
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
        """Make the admission decision again and return its verdict."""
        record, balancer = self.record, self.balancer
        budget = step.get("budget", record["budget_ms"] / 1000 - step["spent"])
        if self.cls is None or not 0 < budget < math.inf:
            return SHED
        quota = None
        if self.settings.stage == 0 and record["tenant"] in balancer.quota:
            quota = balancer.quota[record["tenant"]] if step.get("quota") is None else step["quota"]
        event = Arrival(1, record["class"], budget, record["tenant"], step.get("work", 0.0))
        event.route_timeout = step.get("limit", math.inf)
        event.waited = step.get("waited", 0.0)
        self.call = balancer.make_call(event, self.cls, quota, step.get("usual", 0.0))
        self.call.max_attempts = step.get("most", 0)
        threshold = step.get("cut")
        self.admission.threshold, self.admission.tie_reject_fraction = (
            -math.inf if threshold is None else threshold,
            step.get("tie", 0.0),
        )
        self.admission.recorded = step.get("draw")
        return QUEUED if balancer.is_admitted(self.call) else SHED

    def resume(self, step: dict[str, Any]) -> Call:
        """Return the call in the state that it had at this step."""
        call = self.call
        if call is None:
            raise CaptureError("the request has no admission step before this step")
        call.cls.mean.value = step["mean"]
        call.attempts = []
        for number, (status, sent_at) in enumerate(step["tries"]):
            attempt = Attempt(call, number, self.sent[number], sent_at, 0.0)
            attempt.status = status
            call.attempts.append(attempt)
        call.in_flight = sum(1 for attempt in call.attempts if attempt.status < 0)
        return call

    def pick(self, step: dict[str, Any], choice_record: dict[str, Any]) -> str:
        """Make a pick again and return the server's name, "none" or the text of a verdict.

        `choice_record` is the record that holds the chosen server and its inputs.
        """
        servers, balancer = self.servers, self.balancer
        balancer.now, balancer.window_in_use = step["at"], step["busy"]
        call = self.resume(step)
        listed = self.lists.get(choice_record["list"])
        if listed is None or listed["index"] != choice_record["index"]:
            raise CaptureError(
                f"endpoint list {choice_record['list']} with index {choice_record['index']} is missing"
            )
        names = {}
        entries = {endpoint["name"]: endpoint for endpoint in listed["endpoints"]}
        servers.pool = []
        for name, known in step["servers"].items():
            server = self.server(
                entries[name], known, choice_record["inflight"][name], choice_record["load"].get(name)
            )
            servers.pool.append(server)
            names[server.id] = name
        servers.mean_latency, servers.trusted_idle = step["unit"], step["idle_safe"]
        servers.mean_load.value = step["mean_load"]
        servers.new_connection_cost.value, servers.open_connection_cost.value = (
            step["on_new"],
            step["on_open"],
        )
        servers.zone_load = {zone: Mean(value) for zone, value in step["zones"].items()}
        if choice_record["server"] not in entries:
            return "none"  # the recorded server is not in this list
        self.sent.append(self.server(entries[choice_record["server"]], {}, 0, None))
        if balancer.is_too_late(call):
            return verdict_text(TOO_LATE)
        choice = servers.pick(call, balancer.lifecycle, balancer.now)
        return "none" if choice is None else names[choice[0].id]

    @staticmethod
    def server(endpoint: dict[str, Any], known: dict[str, Any], inflight: int, load: str | None) -> Server:
        """Return a server with its recorded statistics."""
        entry = ServerEntry(
            server=server_id(endpoint["name"]),
            zone=endpoint["zone"],
            cell=endpoint["group"],
            state=STATES[endpoint["status"]],
            weight=endpoint["weight"],
        )
        server = Server(entry, 0.0)
        for field, pick_input in PICK_INPUTS.items():
            setattr(server, pick_input.attribute, known.get(field, pick_input.unknown))
        server.in_flight = inflight
        if load is not None:
            server.last_report = (read_report(load.encode()) or {}).get("busy_reqs", 0.0)
        return server


def _table(record: dict[str, Any]) -> Any:
    """Return the recorded routing table, or None if no text was recorded."""
    if record["text"] is None:
        return None
    from gladegw.routing.findings import RoutingError
    from gladegw.routing.matcher import Table
    from gladegw.routing.read import read_text

    try:
        return Table(read_text(record["text"], record["file"], ("expect",)))
    except RoutingError as error:
        raise CaptureError(f"the recorded routes are invalid: {error}") from None


def _routing_difference(tables: Tables, record: dict[str, Any]) -> Difference | None:
    """Return the difference if the recorded routing table now routes the request differently, else None."""
    route = record.get("route")
    if route is None:
        return None
    if route["generation"] not in tables:
        raise CaptureError(f"routing table of generation {route['generation']} is missing")
    epoch, table = tables[route["generation"]]
    if epoch != route.get("epoch"):
        raise CaptureError(
            f"routing table of generation {route['generation']} has epoch {epoch}, not {route.get('epoch')}"
        )
    if table is None:
        return None
    from gladegw.routing.model import RequestView
    from gladegw.routing.split import first_pool

    headers = [(name.encode("latin-1"), value.encode("latin-1")) for name, value in route["headers"].items()]
    ask = RequestView(
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
    replayed = ("none", "none") if entry is None else (str(entry.route), first_pool(entry.route, ask))
    recorded = (str(route["name"]), str(route["first"]))
    return (
        None
        if replayed == recorded
        else (f"route:{recorded[0]}:{recorded[1]}", f"route:{replayed[0]}:{replayed[1]}")
    )


def differences(path: str) -> Iterator[tuple[str, Difference]]:
    """Yield the id and the difference of each request decided differently now.

    Raises CaptureError if the file cannot be read or replayed.
    """
    settings: Settings | None = None
    lists: dict[int, dict[str, Any]] = {}
    tables: Tables = {}  # of the routes
    number = 0
    try:
        with Path(path).open("rb") as file:
            for line in file:
                number += 1
                if not line.startswith(b"{"):
                    continue  # a log line before or after the records
                record = json.loads(line)
                if record.get("v") != VERSION:
                    raise CaptureError(f"version {record.get('v')!r} is not known, only {VERSION}")
                kind = record.get("kind")
                if kind == "start":
                    settings, lists, tables = read_settings(flatten(record["settings"])), {}, {}
                elif settings is None:
                    raise CaptureError("there is no start record before this record")
                elif kind == "list":
                    lists[record["list"]] = record
                elif kind == "routes":
                    tables[record["generation"]] = record.get("epoch"), _table(record)
                elif kind == "req":
                    difference = (
                        _routing_difference(tables, record)
                        or ReplayedRequest(settings, lists, record).difference()
                    )
                    if difference is not None:
                        yield str(record["id"]), difference
                else:
                    raise CaptureError(f"unknown kind {kind!r}")
    except CaptureError as error:
        raise CaptureError(f"{path}:{number}: {error}") from None
    except OSError as error:
        raise CaptureError(f"{path}: {error.strerror or error}") from None
    except (ValueError, KeyError, IndexError, TypeError, AttributeError) as error:
        text = " ".join(f"malformed record: {error!r}".split())
        raise CaptureError(f"{path}:{number}: {text}") from None
    if settings is None:
        raise CaptureError(f"{path}:{number}: no start record")


def replay(path: str) -> int:
    """Print the differences; return the exit code: 0 without differences, else 1."""
    code = 0
    for id, (recorded, replayed) in differences(path):
        print(
            f"{quote_if_needed(id)} recorded={quote_if_needed(recorded)} replayed={quote_if_needed(replayed)}"
        )
        code = 1
    return code
