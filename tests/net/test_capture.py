"""Capture and replay: decisions are repeated from records alone; the ring and the files stay bounded."""

from __future__ import annotations

import asyncio
import json
import random
import signal
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest
from support.loopback import (
    GRADES,
    PATIENCE,
    ROOT,
    SETTINGS,
    Backend,
    Discovery,
    Proxy,
    endpoint,
    listing,
    proxy,
    response,
    run,
)

from gladegw import (
    Arrival,
    Balancer,
    ClientDisconnected,
    ListKind,
    Outcome,
    Probe,
    ProbeResult,
    Send,
    ServerList,
    Status,
)
from gladegw.balancing.events import Event
from gladegw.balancing.server_selection import ServerSelector
from gladegw.net.capture import Capture, CaptureSettings
from gladegw.net.config import Config, flatten
from gladegw.net.endpoint_lists import read_listing, server_id
from gladegw.net.request import Request
from gladegw.replay import CaptureError, differences, replay
from gladegw.simulator_adapter import read_settings

TENANTS = [{"name": "hill-routes", "quota_rps": 20.0, "portion": 0.5}]
NAMES = [f"s-{number:08x}" for number in range(1, 7)]


class SimulatedLoad:
    """An overloaded balancer with a simulated clock; passes its events to a capture as the driver does."""

    def __init__(self, capture: Capture | None, setup: Any, seed: int, observed: bool = True) -> None:
        self.capture, self.random = capture, random.Random(seed)
        self.balancer = Balancer(setup, seed)
        if observed and capture is not None:
            self.balancer.observer = capture.on_decision
        self.now = 1000.0
        self.actions: list[Any] = []
        self.attempts_sent: dict[int, int] = {}  # attempts sent, by open call
        self.pending_events: list[tuple[float, Event]] = []  # with the time at which each is due
        self.last_call = 0
        self.list_version = 1

    def server_list(self, *names: str, status: str = "Ready", snapshot: bool = True) -> Event:
        raw = listing(
            self.list_version,
            *(endpoint(name, "127.0.0.1:1", status=status, zone="ab"[n % 2]) for n, name in enumerate(names)),
            snapshot=snapshot,
        )
        self.list_version += 1
        read = read_listing(raw)
        if self.capture is not None:
            self.capture.on_list(read)
        kind = ListKind.FULL if snapshot else ListKind.INCREMENTAL
        return ServerList(kind, [listed.entry for listed in read.backends], read.version)

    def arrive(self) -> Event:
        self.last_call += 1
        cls, budget = self.random.choice([("stock", 1.2), ("stock", 0.3), ("reserva", 4.0), ("canje", 6.0)])
        arrival = Arrival(self.last_call, cls, budget - 0.04, self.random.choice(["hill-routes", "x"]))
        if self.capture is not None:
            id = b"%016x" % self.last_call
            request = Request(id, cls, budget, arrival.tenant, "", 0.0, False, b"", 0.0, True)
            self.capture.on_request(request, arrival)
        return arrival

    def end(self, call: int, code: int | None) -> None:
        if self.attempts_sent.pop(call, None) is not None and self.capture is not None:
            self.capture.on_end(call, code)

    def step(self, events: list[Event]) -> None:
        self.now += 0.01
        events += [event for due_at, event in self.pending_events if due_at <= self.now]
        self.pending_events = [(due_at, event) for due_at, event in self.pending_events if due_at > self.now]
        for event in events:
            if isinstance(event, Arrival):
                self.attempts_sent[event.call] = 0
            elif isinstance(event, Outcome) and event.final:
                self.end(event.call, 200)
            elif isinstance(event, ClientDisconnected):
                self.end(event.call, None)
            elif isinstance(event, ProbeResult) and event.report and self.capture is not None:
                load_report = ",".join(f"{k}={v:g}" for k, v in event.report.items())
                self.capture.on_load_report(
                    event.server, load_report.replace("busy_reqs", "inflight").encode()
                )
        for action in self.balancer.handle(self.now, events):
            self.actions.append(action)
            self.act(action)

    def act(self, action: Any) -> None:
        if isinstance(action, Send):
            attempt = self.attempts_sent[action.call]
            self.attempts_sent[action.call] += 1
            duration = self.random.expovariate(4.0)
            status = self.random.choices([0, 1, 2, 4, 5], [12, 2, 2, 1, 1])[0]
            if duration > action.timeout:
                duration, status = action.timeout, Status.TIMEOUT
            final = status == 0
            outcome = Outcome(action.call, attempt, action.server, status, duration, final)
            self.pending_events.append((self.now + duration, outcome))
        elif isinstance(action, Probe):
            load_report = {"busy_reqs": float(self.random.randrange(9))}
            self.pending_events.append((self.now + 0.02, ProbeResult(action.server, 0, 0.02, load_report)))
        elif hasattr(action, "call") and type(action).__name__ in ("Reject", "Fail"):
            self.end(action.call, 503 if type(action).__name__ == "Reject" else 502)

    def run_steps(self, steps: int = 900) -> None:
        self.step([self.server_list(*NAMES)])
        for turn in range(steps):
            rate = 3 if turn % 300 > 120 else 1
            events: list[Event] = [self.arrive() for _ in range(self.random.randint(0, rate))]
            if turn == 200:
                events.append(self.server_list(NAMES[0], status="Terminating", snapshot=False))
            if turn == 400:
                events.append(self.server_list(*NAMES[1:]))
            if turn % 97 == 0 and self.attempts_sent:
                events.append(ClientDisconnected(next(iter(self.attempts_sent))))
            self.step(events)


def settings(**changes: Any) -> dict[str, Any]:
    limits = {**SETTINGS["policy_limits"], "send_cap": 4}
    return {**SETTINGS, "grades": GRADES, "tenants": TENANTS, "policy_limits": limits, **changes}


def make_capture(folder: Path | None = None, raw: dict[str, Any] | None = None, **changes: Any) -> Capture:
    raw = raw or settings()
    read = read_settings(flatten(raw))
    config = Config("n0", ("127.0.0.1", 1), ("127.0.0.1", 1), 7, 1024, {}, read, raw)
    capture_settings = {"ring_kb": 65_536, **changes}
    return Capture(CaptureSettings(dir=str(folder) if folder else None, **capture_settings), config)


def decode_records(capture: Capture) -> list[dict[str, Any]]:
    encoded = [capture.start_record, *capture.lists.values(), *capture.records]
    return [json.loads(text) for text in encoded]


def write(path: Path, records: list[dict[str, Any]]) -> str:
    path.write_text("".join(json.dumps(record) + "\n" for record in records))
    return str(path)


def record_load(seed: int = 3, **changes: Any) -> list[dict[str, Any]]:
    capture = make_capture(raw=settings(**changes))
    SimulatedLoad(capture, read_settings(flatten(settings(**changes))), seed).run_steps()
    return decode_records(capture)


def requests(records: list[dict[str, Any]]) -> list[dict[str, Any]]:
    return [record for record in records if record["kind"] == "req"]


def verdicts(records: list[dict[str, Any]]) -> set[str]:
    return {
        f"{step['step']} {step['said']}"
        for record in requests(records)
        for step in record["steps"]
        if "said" in step
    }


@pytest.mark.parametrize("seed", range(4))
def test_an_unchanged_capture_replays_without_differences(seed: int, tmp_path: Path) -> None:
    records = record_load(seed)
    assert len(requests(records)) > 500
    assert list(differences(write(tmp_path / "c.jsonl", records))) == []


def test_the_replayed_records_cover_every_rejection_and_retries() -> None:
    records = record_load() + record_load(5)
    expected = {
        "admit held",
        "admit cut",
        "hold held",
        "hold queue",
        "hold displaced",
        "hold late",
        "start late",
        "repeat held",
        "repeat tries",
    }
    assert expected <= verdicts(records)
    assert any(len([s for s in r["steps"] if s["step"] == "pick"]) > 2 for r in requests(records))


def test_a_request_record_has_the_documented_fields() -> None:
    served = next(r for r in requests(record_load()) if r["answer"] == 200)
    assert list(served)[:10] == [
        "v",
        "kind",
        "id",
        "class",
        "tenant",
        "budget_ms",
        "index",
        "list",
        "inflight",
        "load",
    ]
    assert served["v"] == 1 and served["server"] in served["inflight"] and served["index"] >= 1
    assert any(
        report.startswith("inflight=") for r in requests(record_load()) for report in r["load"].values()
    )


def change_requests(records: list[dict[str, Any]], change: Any) -> list[dict[str, Any]]:
    """Copy the records and apply `change` to each request; it returns whether it changed the request."""
    copy: list[dict[str, Any]] = json.loads(json.dumps(records))
    assert any([change(record) for record in requests(copy)])
    return copy


def raise_inflight(record: dict[str, Any]) -> bool:
    if record["server"]:
        record["inflight"][record["server"]] = 500
    return bool(record["server"])


def raise_reported_load(record: dict[str, Any]) -> bool:
    for server in record["load"]:
        if server == record["server"]:
            record["load"][server] = "inflight=900,queue=0"
    return record["server"] in record["load"]


def change_server(record: dict[str, Any]) -> bool:
    others = [name for name in record["inflight"] if name != record["server"]]
    if others:
        record["server"] = others[0]
    return bool(others)


def shrink_budget(record: dict[str, Any]) -> bool:
    record["budget_ms"] = 1
    return True


def change_step(name: str, verdict: str, **changes: Any) -> Any:
    def change(record: dict[str, Any]) -> bool:
        steps = [s for s in record["steps"] if s["step"] == name and s.get("said") == verdict]
        for step in steps:
            step.update(changes)
        return bool(steps)

    return change


CHANGES = {
    "inflight": (raise_inflight, "recorded=s-"),
    "report": (raise_reported_load, "recorded=s-"),
    "server": (change_server, "replayed=s-"),
    "budget": (shrink_budget, "replayed=refused-cut"),
    "cut": (change_step("admit", "held", cut=1e9), "recorded=held replayed=refused-cut"),
    "open": (change_step("admit", "cut", cut=None), "recorded=refused-cut replayed=held"),
    "queue": (change_step("hold", "queue", wait=0.0, mean=1e-4), "recorded=refused-queue replayed=held"),
    "displaced": (change_step("hold", "displaced", place=0), "recorded=refused-displaced replayed=held"),
    "held": (change_step("hold", "held", wait=1e9, place=9), "recorded=held replayed=refused-queue"),
    "late": (change_step("start", "late", busy=0), "recorded=refused-late replayed=held"),
    "tries": (change_step("repeat", "held", tokens=0.0), "recorded=held replayed=refused-tries"),
}


@pytest.mark.parametrize("name", CHANGES)
def test_changed_inputs_print_differences(
    name: str, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    change, expected = CHANGES[name]
    seed = 5 if name == "displaced" else 0  # of a load that leads to this verdict
    path = write(tmp_path / "c.jsonl", change_requests(record_load(seed), change))
    assert replay(path) == 1
    out = capsys.readouterr().out.splitlines()
    assert out and any(expected in line for line in out)
    assert all(len(line.split(" ")) == 3 for line in out)


def test_a_changed_list_or_policy_prints_differences(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    records = record_load()
    path = write(tmp_path / "c.jsonl", records)
    drained = json.loads(json.dumps(records))
    for record in drained:
        if record["kind"] == "list":
            record["endpoints"][1]["status"] = "Terminating"
    assert list(differences(write(tmp_path / "d.jsonl", drained)))
    monkeypatch.setattr(
        ServerSelector, "load", lambda self, server, now: -float(server.in_flight)
    )  # prefers the busiest server
    assert list(differences(path))


def test_observing_the_balancer_does_not_change_its_actions() -> None:
    read = read_settings(flatten(settings()))
    observed, unobserved = SimulatedLoad(make_capture(), read, 3), SimulatedLoad(None, read, 3)
    observed.run_steps()
    unobserved.run_steps()
    assert observed.actions == unobserved.actions
    assert observed.balancer.random.getstate() == unobserved.balancer.random.getstate()


def test_a_client_that_disconnects_in_the_batch_of_its_arrival_leaves_no_state_behind() -> None:
    load = SimulatedLoad(make_capture(), read_settings(flatten(settings())), 3)
    for _ in range(20):
        arrival = load.arrive()
        assert isinstance(arrival, Arrival)
        load.step([arrival, ClientDisconnected(arrival.call)])
    assert not load.balancer.arrival_inputs
    assert load.capture is not None and not load.capture.open_requests and len(load.capture.records) == 20


def test_a_full_ring_keeps_the_start_and_needed_lists_and_still_replays(tmp_path: Path) -> None:
    capture = make_capture(ring_kb=64)
    SimulatedLoad(capture, read_settings(flatten(settings())), 3).run_steps()
    assert capture.size <= 64 * 1024
    assert capture.size == (
        len(capture.start_record)
        + sum(map(len, capture.lists.values()))
        + sum(map(len, capture.records))
        + sum(opened.size for opened in capture.open_requests.values())
    )
    retained = decode_records(capture)
    assert [record["kind"] for record in retained[:2]] == ["start", "list"]
    assert capture.list_serial in capture.lists
    assert 5 < len(requests(retained)) < 400
    needed = {step.get("list", record["list"]) for record in requests(retained) for step in record["steps"]}
    assert set(capture.lists) - needed <= {capture.list_serial} | {
        serial for opened in capture.open_requests.values() for serial in opened.lists
    }
    assert list(differences(write(tmp_path / "c.jsonl", retained))) == []


def test_lists_are_full_snapshots_and_an_open_request_keeps_its_own() -> None:
    capture = make_capture()
    capture.on_list(read_listing(listing(41, *(endpoint(name, "127.0.0.1:1") for name in NAMES))))
    request = Request(b"a" * 16, "stock", 1.2, "", "", 0.0, False, b"", 0.0, True)
    capture.on_request(request, Arrival(1, "stock", 1.1))
    server = server_id(NAMES[0])
    used = {"servers": {server: {"out": 2}}, "at": 1.0}
    capture.on_decision(1, "pick", used, server)
    for index in range(42, 46):
        changed = endpoint(NAMES[1], "127.0.0.1:1", "Terminating", weight=float(index))
        capture.on_list(read_listing(listing(index, changed, snapshot=False)))
    capture.on_end(1, 200)
    lists = [json.loads(text) for text in capture.lists.values()]
    assert [record["index"] for record in lists] == [41, 45]
    assert [len(record["endpoints"]) for record in lists] == [6, 6]
    assert lists[1]["endpoints"][1] == {
        "name": NAMES[1],
        "zone": "a",
        "group": 0,
        "status": "Terminating",
        "weight": 45.0,
    }
    assert requests(decode_records(capture))[0]["index"] == 41


def test_each_rotated_file_replays_alone_and_old_files_are_deleted(tmp_path: Path) -> None:
    capture = make_capture(tmp_path, file_kb=128, files=3)
    SimulatedLoad(capture, read_settings(flatten(settings())), 3).run_steps()
    capture.close(PATIENCE)
    files = sorted(tmp_path.glob("capture-n0-*.jsonl"))
    assert len(files) == 3 and files[0].name > "capture-n0-000001.jsonl"
    for file in files:
        assert file.stat().st_size < 140 * 1024
        assert list(differences(str(file))) == []
        assert len(file.read_text().splitlines()) > 20


def test_a_folder_that_cannot_be_written_falls_back_to_memory_logged_once(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    capture = make_capture(tmp_path / "none")
    SimulatedLoad(capture, read_settings(flatten(settings())), 3).run_steps(200)
    capture.close(PATIENCE)
    assert len(capture.records) > 50
    assert sum("can't be written" in record.getMessage() for record in caplog.records) == 1


UNUSABLE = {
    "1: version 2 is not known, only 1": ['{"v":2,"kind":"start"}'],
    "1: there is no start record": ['{"v":1,"kind":"list"}'],
    "3: malformed record": ["WARNING log", "START", '{"v":1,"kind":"req"'],
    "2: malformed record: KeyError": ["START", '{"v":1,"kind":"req","id":"x"}'],
    "2: unknown kind": ["START", '{"v":1,"kind":"note"}'],
    "1: no start record": ["only a log line"],
    "No such file": [],
}


@pytest.mark.parametrize("fault", UNUSABLE)
def test_an_unusable_capture_prints_one_line_with_the_line_number_and_exits_with_2(
    fault: str, tmp_path: Path
) -> None:
    start = json.dumps(json.loads(make_capture().start_record))
    path = tmp_path / "c.jsonl"
    if UNUSABLE[fault]:
        path.write_text("".join(line.replace("START", start) + "\n" for line in UNUSABLE[fault]))
    result = subprocess.run(
        [sys.executable, "-m", "gladegw", "replay", str(path)], capture_output=True, text=True, cwd=ROOT
    )
    assert (result.returncode, result.stdout) == (2, "")
    assert result.stderr.count("\n") == 1 and fault in result.stderr
    if path.exists():
        with pytest.raises(CaptureError):
            list(differences(str(path)))


async def dump_lines(node: Proxy, count: int) -> list[str]:
    """Send SIGUSR2 and return standard error, with log lines, up to the record of `count` requests."""
    assert node.process.stderr is not None
    node.process.send_signal(signal.SIGUSR2)
    output: list[str] = []
    async with asyncio.timeout(PATIENCE):
        while sum('"kind":"req"' in line for line in output) < count:
            output.append((await node.process.stderr.readline()).decode())
    return output


def test_the_program_dumps_on_sigusr2_and_the_dump_replays_without_differences(tmp_path: Path) -> None:
    """The check in the operators' instructions, then a changed record that replays differently."""

    async def test() -> None:
        async def failing(seen: Any, writer: asyncio.StreamWriter) -> None:
            writer.write(response(503, X_Rejected="1"))

        discovery = await Discovery().start()
        backends = {"s-5be2a07c": Backend(), "s-71c0d9e2": Backend(), "s-0badcafe": Backend(failing)}
        features = "capture {}\nfigures {}\n"
        async with proxy(backends, discovery, features=features, tenants=TENANTS) as node:
            discovery.put(2, endpoint("s-5be2a07c", backends["s-5be2a07c"].address, weight=2.0))
            async with asyncio.timeout(PATIENCE):
                while len(await dump_lines(node, 0)) == 0 and discovery.asked.qsize() < 2:
                    await asyncio.sleep(0.02)
            callers = [await node.caller() for _ in range(4)]
            for turn in range(10):
                for number, caller in enumerate(callers):
                    caller.send("stock", f"{turn:08x}{number:08x}", X_Caller="hill-routes")
                for caller in callers:
                    assert (await caller.answer()).code in (200, 503)
            output = await dump_lines(node, 40)
        path = tmp_path / "dump.txt"
        path.write_text("".join(output))
        settings_file = tmp_path / "malabar.hcl"
        settings_file.write_text(features)
        command = [sys.executable, "-m", "gladegw", "replay", "-f", str(settings_file), str(path)]
        result = subprocess.run(command, capture_output=True, text=True, cwd=ROOT)
        assert (result.returncode, result.stdout, result.stderr) == (0, "", "")
        changed = [json.loads(line) for line in output if line.startswith("{")]
        changed_record = next(record for record in requests(changed) if record["server"] == "s-5be2a07c")
        changed_record["inflight"]["s-5be2a07c"] = 500
        write(path, changed)
        result = subprocess.run(command, capture_output=True, text=True, cwd=ROOT)
        assert result.returncode == 1
        assert result.stdout.startswith(f"{changed_record['id']} recorded=s-5be2a07c replayed=s-")

    run(test())


def test_text_from_peers_is_printed_on_one_line(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    records = change_requests(record_load(), raise_inflight)
    for record in requests(records):
        record["id"] = "x\n\x1b[2J y"
    assert replay(write(tmp_path / "c.jsonl", records)) == 1
    out = capsys.readouterr().out
    assert "\x1b" not in out and all("recorded=" in line for line in out.splitlines())


@pytest.mark.parametrize("wrong", [{"ring_kb": 1}, {"file_kb": 0}, {"files": 0}, {"dir": ""}])
def test_settings_out_of_range_are_rejected(wrong: dict[str, Any]) -> None:
    with pytest.raises(ValueError):
        CaptureSettings(**wrong)
