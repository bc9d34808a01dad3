"""Capture and replay: decisions made again from records alone; the ring and the files stay bounded."""

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


class World:
    """A module under too much work, on a clock of its own; told to a capture as the driver tells it."""

    def __init__(self, capture: Capture | None, setup: Any, seed: int, watched: bool = True) -> None:
        self.capture, self.random = capture, random.Random(seed)
        self.balancer = Balancer(setup, seed)
        if watched and capture is not None:
            self.balancer.observer = capture.on_decision
        self.now = 1000.0
        self.said: list[Any] = []
        self.calls: dict[int, int] = {}  # attempts made
        self.due: list[tuple[float, Event]] = []
        self.number = 0
        self.index = 1

    def told(self, *names: str, status: str = "Ready", whole: bool = True) -> Event:
        told = listing(
            self.index,
            *(endpoint(name, "127.0.0.1:1", status=status, zone="ab"[n % 2]) for n, name in enumerate(names)),
            snapshot=whole,
        )
        self.index += 1
        read = read_listing(told)
        if self.capture is not None:
            self.capture.on_list(read)
        kind = ListKind.FULL if whole else ListKind.INCREMENTAL
        return ServerList(kind, [listed.entry for listed in read.backends], read.version)

    def arrive(self) -> Event:
        self.number += 1
        cls, budget = self.random.choice([("stock", 1.2), ("stock", 0.3), ("reserva", 4.0), ("canje", 6.0)])
        arrival = Arrival(self.number, cls, budget - 0.04, self.random.choice(["hill-routes", "x"]))
        if self.capture is not None:
            id = b"%016x" % self.number
            request = Request(id, cls, budget, arrival.tenant, "", 0.0, False, b"", 0.0, True)
            self.capture.on_request(request, arrival)
        return arrival

    def end(self, call: int, code: int | None) -> None:
        if self.calls.pop(call, None) is not None and self.capture is not None:
            self.capture.on_end(call, code)

    def step(self, events: list[Event]) -> None:
        self.now += 0.01
        events += [event for at, event in self.due if at <= self.now]
        self.due = [(at, event) for at, event in self.due if at > self.now]
        for event in events:
            if isinstance(event, Arrival):
                self.calls[event.call] = 0
            elif isinstance(event, Outcome) and event.final:
                self.end(event.call, 200)
            elif isinstance(event, ClientDisconnected):
                self.end(event.call, None)
            elif isinstance(event, ProbeResult) and event.report and self.capture is not None:
                figures = ",".join(f"{k}={v:g}" for k, v in event.report.items())
                self.capture.on_load_report(event.server, figures.replace("busy_reqs", "inflight").encode())
        for action in self.balancer.handle(self.now, events):
            self.said.append(action)
            self.act(action)

    def act(self, action: Any) -> None:
        if isinstance(action, Send):
            attempt = self.calls[action.call]
            self.calls[action.call] += 1
            took = self.random.expovariate(4.0)
            status = self.random.choices([0, 1, 2, 4, 5], [12, 2, 2, 1, 1])[0]
            if took > action.timeout:
                took, status = action.timeout, Status.TIMEOUT
            final = status == 0
            ended = Outcome(action.call, attempt, action.server, status, took, final)
            self.due.append((self.now + took, ended))
        elif isinstance(action, Probe):
            figure = {"busy_reqs": float(self.random.randrange(9))}
            self.due.append((self.now + 0.02, ProbeResult(action.server, 0, 0.02, figure)))
        elif hasattr(action, "call") and type(action).__name__ in ("Reject", "Fail"):
            self.end(action.call, 503 if type(action).__name__ == "Reject" else 502)

    def play(self, steps: int = 900) -> None:
        self.step([self.told(*NAMES)])
        for turn in range(steps):
            rate = 3 if turn % 300 > 120 else 1
            events: list[Event] = [self.arrive() for _ in range(self.random.randint(0, rate))]
            if turn == 200:
                events.append(self.told(NAMES[0], status="Terminating", whole=False))
            if turn == 400:
                events.append(self.told(*NAMES[1:]))
            if turn % 97 == 0 and self.calls:
                events.append(ClientDisconnected(next(iter(self.calls))))
            self.step(events)


def settings(**changes: Any) -> dict[str, Any]:
    limits = {**SETTINGS["policy_limits"], "send_cap": 4}
    return {**SETTINGS, "grades": GRADES, "tenants": TENANTS, "policy_limits": limits, **changes}


def capture_of(folder: Path | None = None, raw: dict[str, Any] | None = None, **changes: Any) -> Capture:
    raw = raw or settings()
    read = read_settings(flatten(raw))
    config = Config("n0", ("127.0.0.1", 1), ("127.0.0.1", 1), 7, 1024, {}, read, raw)
    given = {"ring_kb": 65_536, **changes}
    return Capture(CaptureSettings(dir=str(folder) if folder else None, **given), config)


def lines(capture: Capture) -> list[dict[str, Any]]:
    told = [capture.start, *capture.lists.values(), *capture.records]
    return [json.loads(text) for text in told]


def write(path: Path, records: list[dict[str, Any]]) -> str:
    path.write_text("".join(json.dumps(record) + "\n" for record in records))
    return str(path)


def played(seed: int = 3, **changes: Any) -> list[dict[str, Any]]:
    capture = capture_of(raw=settings(**changes))
    World(capture, read_settings(flatten(settings(**changes))), seed).play()
    return lines(capture)


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
def test_an_unchanged_capture_replays_without_a_word(seed: int, tmp_path: Path) -> None:
    records = played(seed)
    assert len(requests(records)) > 500
    assert list(differences(write(tmp_path / "c.jsonl", records))) == []


def test_what_is_replayed_covers_every_refusal_and_later_attempts() -> None:
    records = played() + played(5)
    wanted = {
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
    assert wanted <= verdicts(records)
    assert any(len([s for s in r["steps"] if s["step"] == "pick"]) > 2 for r in requests(records))


def test_a_request_record_reads_as_the_operators_wrote_it() -> None:
    served = next(r for r in requests(played()) if r["answer"] == 200)
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
    assert any(report.startswith("inflight=") for r in requests(played()) for report in r["load"].values())


def changed_where(records: list[dict[str, Any]], change: Any) -> list[dict[str, Any]]:
    """A copy in which `change` altered some requests; it says whether it did."""
    copy: list[dict[str, Any]] = json.loads(json.dumps(records))
    assert any([change(record) for record in requests(copy)])
    return copy


def crowd(record: dict[str, Any]) -> bool:
    if record["server"]:
        record["inflight"][record["server"]] = 500
    return bool(record["server"])


def report(record: dict[str, Any]) -> bool:
    for server in record["load"]:
        if server == record["server"]:
            record["load"][server] = "inflight=900,queue=0"
    return record["server"] in record["load"]


def other_server(record: dict[str, Any]) -> bool:
    others = [name for name in record["inflight"] if name != record["server"]]
    if others:
        record["server"] = others[0]
    return bool(others)


def no_budget(record: dict[str, Any]) -> bool:
    record["budget_ms"] = 1
    return True


def step_of(name: str, verdict: str, **changes: Any) -> Any:
    def change(record: dict[str, Any]) -> bool:
        found = [s for s in record["steps"] if s["step"] == name and s.get("said") == verdict]
        for step in found:
            step.update(changes)
        return bool(found)

    return change


CHANGES = {
    "crowd": (crowd, "recorded=s-"),
    "report": (report, "recorded=s-"),
    "server": (other_server, "replayed=s-"),
    "budget": (no_budget, "replayed=refused-cut"),
    "cut": (step_of("admit", "held", cut=1e9), "recorded=held replayed=refused-cut"),
    "open": (step_of("admit", "cut", cut=None), "recorded=refused-cut replayed=held"),
    "queue": (step_of("hold", "queue", wait=0.0, mean=1e-4), "recorded=refused-queue replayed=held"),
    "displaced": (step_of("hold", "displaced", place=0), "recorded=refused-displaced replayed=held"),
    "held": (step_of("hold", "held", wait=1e9, place=9), "recorded=held replayed=refused-queue"),
    "late": (step_of("start", "late", busy=0), "recorded=refused-late replayed=held"),
    "tries": (step_of("repeat", "held", tokens=0.0), "recorded=held replayed=refused-tries"),
}


@pytest.mark.parametrize("name", CHANGES)
def test_changed_inputs_print_differences(
    name: str, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    change, wanted = CHANGES[name]
    seed = 5 if name == "displaced" else 0  # whose course has such a verdict
    path = write(tmp_path / "c.jsonl", changed_where(played(seed), change))
    assert replay(path) == 1
    out = capsys.readouterr().out.splitlines()
    assert out and any(wanted in line for line in out)
    assert all(len(line.split(" ")) == 3 for line in out)


def test_a_changed_list_or_policy_prints_differences(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    records = played()
    path = write(tmp_path / "c.jsonl", records)
    drained = json.loads(json.dumps(records))
    for record in drained:
        if record["kind"] == "list":
            record["endpoints"][1]["status"] = "Terminating"
    assert list(differences(write(tmp_path / "d.jsonl", drained)))
    monkeypatch.setattr(
        ServerSelector, "load", lambda self, server, now: -float(server.in_flight)
    )  # the busiest first
    assert list(differences(path))


def test_the_module_does_the_same_whether_it_is_watched_or_not() -> None:
    read = read_settings(flatten(settings()))
    watched, alone = World(capture_of(), read, 3), World(None, read, 3)
    watched.play()
    alone.play()
    assert watched.said == alone.said
    assert watched.balancer.random.getstate() == alone.balancer.random.getstate()


def test_a_caller_that_leaves_in_the_batch_that_it_came_in_leaves_nothing_behind() -> None:
    world = World(capture_of(), read_settings(flatten(settings())), 3)
    for _ in range(20):
        came = world.arrive()
        assert isinstance(came, Arrival)
        world.step([came, ClientDisconnected(came.call)])
    assert not world.balancer.arrival_inputs
    assert world.capture is not None and not world.capture.open and len(world.capture.records) == 20


def test_a_full_ring_keeps_the_latest_start_and_lists_and_what_is_left_replays(tmp_path: Path) -> None:
    capture = capture_of(ring_kb=64)
    World(capture, read_settings(flatten(settings())), 3).play()
    assert capture.size <= 64 * 1024
    assert capture.size == (
        len(capture.start)
        + sum(map(len, capture.lists.values()))
        + sum(map(len, capture.records))
        + sum(opened.size for opened in capture.open.values())
    )
    kept = lines(capture)
    assert [record["kind"] for record in kept[:2]] == ["start", "list"]
    assert capture.serial in capture.lists
    assert 5 < len(requests(kept)) < 400
    needed = {step.get("list", record["list"]) for record in requests(kept) for step in record["steps"]}
    assert set(capture.lists) - needed <= {capture.serial} | {
        serial for opened in capture.open.values() for serial in opened.lists
    }
    assert list(differences(write(tmp_path / "c.jsonl", kept))) == []


def test_lists_are_whole_and_a_held_request_keeps_its_own() -> None:
    capture = capture_of()
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
    told = [json.loads(text) for text in capture.lists.values()]
    assert [record["index"] for record in told] == [41, 45]
    assert [len(record["endpoints"]) for record in told] == [6, 6]
    assert told[1]["endpoints"][1] == {
        "name": NAMES[1],
        "zone": "a",
        "group": 0,
        "status": "Terminating",
        "weight": 45.0,
    }
    assert requests(lines(capture))[0]["index"] == 41


def test_each_rotated_file_replays_alone_and_old_ones_go(tmp_path: Path) -> None:
    capture = capture_of(tmp_path, file_kb=128, files=3)
    World(capture, read_settings(flatten(settings())), 3).play()
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
    capture = capture_of(tmp_path / "none")
    World(capture, read_settings(flatten(settings())), 3).play(200)
    capture.close(PATIENCE)
    assert len(capture.records) > 50
    assert sum("can't be written" in record.getMessage() for record in caplog.records) == 1


BAD = {
    "1: version 2 is not known, only 1": ['{"v":2,"kind":"start"}'],
    "1: there is no start record": ['{"v":1,"kind":"list"}'],
    "3: malformed record": ["WARNING log", "START", '{"v":1,"kind":"req"'],
    "2: malformed record: KeyError": ["START", '{"v":1,"kind":"req","id":"x"}'],
    "2: unknown kind": ["START", '{"v":1,"kind":"note"}'],
    "1: no start record": ["only a log line"],
    "No such file": [],
}


@pytest.mark.parametrize("fault", BAD)
def test_an_unusable_capture_is_one_line_with_its_number_and_exit_2(fault: str, tmp_path: Path) -> None:
    start = json.dumps(json.loads(capture_of().start))
    path = tmp_path / "c.jsonl"
    if BAD[fault]:
        path.write_text("".join(line.replace("START", start) + "\n" for line in BAD[fault]))
    done = subprocess.run(
        [sys.executable, "-m", "gladegw", "replay", str(path)], capture_output=True, text=True, cwd=ROOT
    )
    assert (done.returncode, done.stdout) == (2, "")
    assert done.stderr.count("\n") == 1 and fault in done.stderr
    if path.exists():
        with pytest.raises(CaptureError):
            list(differences(str(path)))


async def dumped(node: Proxy, count: int) -> list[str]:
    """What SIGUSR2 brings to standard error, log lines and all, until it holds so many requests."""
    assert node.process.stderr is not None
    node.process.send_signal(signal.SIGUSR2)
    told: list[str] = []
    async with asyncio.timeout(PATIENCE):
        while sum('"kind":"req"' in line for line in told) < count:
            told.append((await node.process.stderr.readline()).decode())
    return told


def test_the_program_dumps_on_sigusr2_and_the_dump_replays_silent(tmp_path: Path) -> None:
    """The operators' check, and what a changed line prints."""

    async def test() -> None:
        async def failing(seen: Any, writer: asyncio.StreamWriter) -> None:
            writer.write(response(503, X_Rejected="1"))

        discovery = await Discovery().start()
        backends = {"s-5be2a07c": Backend(), "s-71c0d9e2": Backend(), "s-0badcafe": Backend(failing)}
        features = "capture {}\nfigures {}\n"
        async with proxy(backends, discovery, features=features, tenants=TENANTS) as node:
            discovery.put(2, endpoint("s-5be2a07c", backends["s-5be2a07c"].address, weight=2.0))
            async with asyncio.timeout(PATIENCE):
                while len(await dumped(node, 0)) == 0 and discovery.asked.qsize() < 2:
                    await asyncio.sleep(0.02)
            callers = [await node.caller() for _ in range(4)]
            for turn in range(10):
                for number, caller in enumerate(callers):
                    caller.send("stock", f"{turn:08x}{number:08x}", X_Caller="hill-routes")
                for caller in callers:
                    assert (await caller.answer()).code in (200, 503)
            told = await dumped(node, 40)
        path = tmp_path / "dump.txt"
        path.write_text("".join(told))
        settings_file = tmp_path / "malabar.hcl"
        settings_file.write_text(features)
        command = [sys.executable, "-m", "gladegw", "replay", "-f", str(settings_file), str(path)]
        done = subprocess.run(command, capture_output=True, text=True, cwd=ROOT)
        assert (done.returncode, done.stdout, done.stderr) == (0, "", "")
        spoilt = [json.loads(line) for line in told if line.startswith("{")]
        one = next(record for record in requests(spoilt) if record["server"] == "s-5be2a07c")
        one["inflight"]["s-5be2a07c"] = 500
        write(path, spoilt)
        done = subprocess.run(command, capture_output=True, text=True, cwd=ROOT)
        assert done.returncode == 1
        assert done.stdout.startswith(f"{one['id']} recorded=s-5be2a07c replayed=s-")

    run(test())


def test_peers_text_stays_on_one_line(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    records = changed_where(played(), crowd)
    for record in requests(records):
        record["id"] = "x\n\x1b[2J y"
    assert replay(write(tmp_path / "c.jsonl", records)) == 1
    out = capsys.readouterr().out
    assert "\x1b" not in out and all("recorded=" in line for line in out.splitlines())


@pytest.mark.parametrize("wrong", [{"ring_kb": 1}, {"file_kb": 0}, {"files": 0}, {"dir": ""}])
def test_settings_out_of_range_are_refused(wrong: dict[str, Any]) -> None:
    with pytest.raises(ValueError):
        CaptureSettings(**wrong)
