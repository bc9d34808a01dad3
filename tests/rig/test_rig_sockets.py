"""The rig at work, as processes on loopback: it causes what it is meant to, and nothing stays behind."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import statistics
import subprocess
import sys
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from gladegw.rig.errors import RigError
from gladegw.rig.judging import ledger
from gladegw.rig.judging.judge import judge_folder
from gladegw.rig.judging.ledger import PeerSeen, ProxyEvent, Run, Told, Try
from gladegw.rig.play import play
from gladegw.rig.scenario import read

ROOT = Path(__file__).parents[2]
PATIENCE = 60.0  # s

SERVER = """
import asyncio, sys, time
pause_at, seen = int(sys.argv[1]), 0
class Server(asyncio.Protocol):
    def connection_made(self, transport): self.transport = transport
    def data_received(self, data):
        global seen
        for _ in range(data.count(b"\\r\\n\\r\\n")):
            seen += 1
            if seen == pause_at: time.sleep(2)
            self.transport.write(b"HTTP/1.1 200 OK\\r\\ncontent-length: 2\\r\\n\\r\\nok")
async def main():
    server = await asyncio.get_running_loop().create_server(Server, "127.0.0.1", 0, backlog=1024)
    print(server.sockets[0].getsockname()[1], flush=True)
    await asyncio.get_running_loop().run_in_executor(None, sys.stdin.read)
asyncio.run(main())
"""


@contextlib.contextmanager
def server(pause_at: int = 0) -> Iterator[int]:
    """A server that answers at once, but for one pause of 2 s; its port."""
    child = subprocess.Popen(
        [sys.executable, "-c", SERVER, str(pause_at)],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    )
    try:
        assert child.stdout is not None
        yield int(child.stdout.readline())
    finally:
        child.kill()
        child.communicate()


def gladegw(*arguments: str, code: int = 0) -> str:
    done = subprocess.run(
        [sys.executable, "-m", "gladegw", *arguments],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=240,
    )
    assert done.returncode == code, done.stderr or done.stdout
    return done.stdout if code != 2 else done.stderr


def children_of(folder: Path) -> list[str]:
    """Command lines of processes that have to do with a run's folder."""
    found = []
    for path in Path("/proc").glob("[0-9]*"):
        with contextlib.suppress(OSError):
            environ = (path / "environ").read_bytes()
            command = (path / "cmdline").read_bytes().replace(b"\0", b" ").decode(errors="replace")
            if str(folder).encode() in environ or str(folder) in command:
                found.append(command)
    return found


def until_alone(folder: Path) -> None:
    due = time.monotonic() + PATIENCE
    while children_of(folder) and time.monotonic() < due:
        time.sleep(0.05)
    assert children_of(folder) == []


# -- load ----------------------------------------------------------------------------------------------


def test_a_pause_of_the_server_is_in_the_figures_for_all_that_was_due_in_it() -> None:
    rate, duration, pause_at = 100, 5, 150
    with server(pause_at) as port:
        told = gladegw(
            "load",
            "--target",
            f"http://127.0.0.1:{port}",
            "--rate",
            str(rate),
            "--duration",
            str(duration),
            "--connections",
            "400",
            "--valid-p99",
            "500",
            "--json",
        )
    figures = json.loads(told)
    begins = (pause_at - 1) / rate
    expected = sorted(
        max(0.0, begins + 2 - n / rate) if n / rate >= begins else 0.0 for n in range(rate * duration)
    )
    p90, p99 = expected[int(0.9 * len(expected))], expected[int(0.99 * len(expected))]
    assert figures["sent"] == figures["answered"] == rate * duration
    assert figures["codes"] == {"200": rate * duration}
    latency = figures["latency_ms"]
    assert latency["max"] >= 1990 and latency["p99"] >= p99 * 1000 - 20 and latency["p90"] >= p90 * 1000 - 20
    assert latency["max"] < 4000

    async def closed_loop(port: int) -> list[float]:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        found = []
        for _ in range(300):
            began = time.monotonic()
            writer.write(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
            await reader.readuntil(b"ok")
            found.append(time.monotonic() - began)
        writer.close()
        return found

    with server(pause_at) as port:
        missed = asyncio.run(closed_loop(port))
    assert max(missed) >= 1.99  # it saw the pause once, and counts it once
    assert statistics.quantiles(missed, n=100)[97] < 1.0


def test_a_schedule_that_cannot_be_kept_makes_the_run_invalid() -> None:
    with server() as port:
        told = gladegw(
            "load",
            "--target",
            f"http://127.0.0.1:{port}/x?y=1",
            "--rate",
            "200",
            "--duration",
            "1",
            "--valid-p99",
            "0.0001",
            "--json",
            code=1,
        )
    figures = json.loads(told)
    assert figures["valid"] is False and "schedule" in figures["invalid_because"][0]
    for kind in ("lateness_ms", "latency_ms", "service_ms"):
        assert set(figures[kind]) == {"p50", "p90", "p99", "p999", "max"}


def test_several_workers_send_one_schedule_and_write_one_histogram_log(tmp_path: Path) -> None:
    log = tmp_path / "h.hlog"
    with server() as port:
        told = gladegw(
            "load",
            "--target",
            f"http://localhost:{port}",
            "--rate",
            "300",
            "--duration",
            "2",
            "--workers",
            "3",
            "--arrivals",
            "poisson",
            "--valid-p99",
            "500",
            "--log",
            str(log),
            "--json",
        )
    figures = json.loads(told)
    from hdrh.histogram import HdrHistogram
    from hdrh.log import HistogramLogReader

    reader = HistogramLogReader(str(log), HdrHistogram(1, 600_000_000, 3))
    total = 0
    while (found := reader.get_next_interval_histogram()) is not None:
        if not found.get_tag():
            total += found.get_total_count()
    assert total == figures["sent"] > 500


@pytest.mark.parametrize(
    ("arguments", "told"),
    [
        (("--target", "http://10.0.0.1/"), "not a loopback address"),
        (("--target", "ftp://127.0.0.1/"), "must be http://"),
        (("--target", "http://127.0.0.1:1", "--surge", "x"), "AT:LASTS:TIMES"),
        (("--target", "http://127.0.0.1:1", "--trace", "/no/such"), "no such file"),
        (("--target", "http://127.0.0.1:1", "--rate", "0"), "--rate"),
    ],
)
def test_bad_input_is_one_line_and_exit_2(arguments: tuple[str, ...], told: str) -> None:
    assert told in gladegw("load", *arguments, code=2).strip().splitlines()[-1]


# -- plays ---------------------------------------------------------------------------------------------

BASE = """
scenario "test" {
  duration = %g
  seed     = 9
}
tier "front" {
  nodes = 6
  zones = ["a", "b"]
}
tenant "t" { share = 1 }
load {
  rate         = 60
  connections  = 200
  valid_p99_ms = 500
}
discovery {
  notice_s = [0.2, 0.5]
  silent_s = [1, 1.5]
}
"""


def fault(kind: str, **settings: Any) -> str:
    lines = [f"  {name} = {json.dumps(value)}" for name, value in settings.items()]
    return f'fault "{kind}" {{\n' + "\n".join(lines) + "\n}\n"


def played(folder: Path, duration: float, *faults: str, base: str = BASE) -> tuple[dict[str, Any], list[Any]]:
    """Plays it; the load's figures and all records. No rule may be broken, and nothing may stay behind."""
    file = folder / "s.hcl"
    file.write_text(base % duration + "".join(faults), encoding="utf-8")
    loaded = asyncio.run(play(read(file), folder / "run"))
    verdict = judge_folder(folder / "run")
    assert verdict.breaches == ()
    until_alone(folder / "run")
    figures = loaded.figures()
    assert figures["sent"] == sum(figures["codes"].values()) == verdict.requests
    return figures, ledger.read_all(folder / "run")


def of(kind: type[Any], records: list[Any]) -> list[Any]:
    return [record for record in records if isinstance(record, kind)]


def test_nodes_that_misbehave_in_every_way(tmp_path: Path) -> None:
    figures, records = played(
        tmp_path,
        9,
        fault("fast_errors", at=0.5, lasts=2, share=0.17, fails=1.0),
        fault("reset", at=1, lasts=2, manner="before"),
        fault("reset", at=2, lasts=2, manner="in"),
        fault("reset", at=3, lasts=2, manner="after"),
        fault("reset", at=4, lasts=2, manner="accepted"),
        fault("garbage", at=5, lasts=1),
        fault("drip", at=6, lasts=1),
        fault("slow", at=1, lasts=4, size=1.5),
        fault("freeze", at=6, lasts=1.5),
        fault("vanish", at=4, lasts=1.5),
    )
    outcomes = {run.outcome for run in of(Run, records)}
    assert {"ok", "error"} <= outcomes
    assert figures["codes"]["200"] > 0.8 * figures["sent"]


def test_a_deploy_a_kill_and_a_restart_are_told_late_and_kept(tmp_path: Path) -> None:
    _, records = played(
        tmp_path,
        9,
        fault("deploy", at=0.5, lasts=5, share=0.7, at_once=0.34, drain=1),
        fault("kill", at=6.2, count=1, back=0.5),
    )
    told = of(Told, records)
    assert {t.status for t in told} == {"Ready", "Terminating", "Gone"}
    born = {life.node for life in of(ledger.Life, records) if life.state == "up"}
    assert len(born) > 6  # successors
    served = {run.node for run in of(Run, records) if run.outcome == "ok"}
    assert any(node in served for node in born if int(node.rsplit("-", 1)[1]) > 6)


def test_proxies_killed_stopped_terminated_and_short_of_descriptors(tmp_path: Path) -> None:
    figures, records = played(
        tmp_path,
        11,
        fault("proxy_kill", at=1, back=0.5),
        fault("proxy_stop", at=3, lasts=3),
        fault("proxy_term", at=8.5, back=2),
        fault("descriptors", at=7, lasts=1, size=3),
    )
    events = {event.event for event in of(ProxyEvent, records)}
    assert {"started", "ready", "kill", "stop", "cont", "term", "ended", "limit"} <= events
    assert "crashed" not in events
    tries = of(Try, records)
    assert figures["sent"] >= 0.8 * 60 * 11  # the schedule went on while the proxy stood still
    assert len({one.first for one in tries}) == figures["sent"]
    assert max(sample.descriptors for sample in of(ledger.Sample, records)) < 1024


def test_links_to_nodes_and_from_operators_that_break(tmp_path: Path) -> None:
    figures, records = played(
        tmp_path,
        9,
        fault("node_cut", at=0.5, lasts=2, manner="there"),
        fault("node_cut", at=3, lasts=2, manner="back"),
        fault("node_late", at=5.5, lasts=2, size=0.05, count=3),
        fault("node_reset", at=6, count=3),
        fault("operators_cut", at=1, lasts=2.5, manner="both", count=1),
        fault("kill", at=7.5, back=0.5),
        base=BASE + "operators {\n  every_s = 0.1\n}\n",
    )
    bands = {band.name for band in of(ledger.FaultBand, records)}
    assert {"node_cut", "node_late", "node_reset", "operators_cut"} <= bands
    called = of(ledger.Called, records)
    assert any(one.ended - one.at > 1.0 for one in called) and {one.how for one in called} >= {"SUCCESS"}
    assert figures["codes"]["200"] > 0.8 * figures["sent"]


def test_what_a_proxy_is_to_do_must_be_known(tmp_path: Path) -> None:
    with pytest.raises(RigError, match="no such thing: nothing; there are none,"):
        played(tmp_path, 3, base=BASE + 'proxies {\n  does = ["nothing"]\n}\n')


def test_discovery_that_fails_in_every_way_and_rude_peers(tmp_path: Path) -> None:
    _, records = played(
        tmp_path,
        9,
        fault("discovery_outage", at=0.5, lasts=1.5),
        fault("discovery_stale", at=2.5, lasts=1),
        fault("discovery_partial", at=3.5, lasts=1, share=0.2),
        fault("discovery_silence", at=5, lasts=1.5),
        fault("discovery_move", at=7),
        *(
            fault("peers", at=1, lasts=3, manner=manner, rate=2)
            for manner in ("silent", "drip", "garbage", "half")
        ),
    )
    peers = of(PeerSeen, records)
    assert len(peers) == 24 and {peer.how for peer in peers} <= {"answer", "closed"}
    assert "hup" in {event.event for event in of(ProxyEvent, records)}


TIERS = (
    BASE.replace('tier "front" {\n  nodes = 6', 'tier "front" {\n  nodes = 2\n  work = 0.4')
    + """
tier "middle" {
  nodes = 2
  work  = 0.3
}
tier "store" {
  nodes = 3
  work  = 0.2
  calls = 1.5
}
"""
)


def test_three_tiers_each_through_a_proxy_of_the_caller(tmp_path: Path) -> None:
    _, records = played(tmp_path, 4, base=TIERS)
    tiers = {run.tier for run in of(Run, records) if run.outcome == "ok"}
    assert tiers == {"front", "middle", "store"}
    parents = {run.parent for run in of(Run, records) if run.tier == "store"}
    assert parents <= {run.id for run in of(Run, records) if run.tier == "middle"}


def with_default_interrupt() -> None:
    """In the child: a shell without job control starts what ends in `&` with SIGINT ignored."""
    signal.signal(signal.SIGINT, signal.SIG_DFL)


def await_load(folder: Path) -> None:
    """Until a run has sent requests for a while."""
    due = time.monotonic() + PATIENCE
    while time.monotonic() < due:
        path = folder / "clients-0.jsonl"
        if path.exists() and path.stat().st_size > 20_000:
            break
        time.sleep(0.05)


def test_a_run_that_was_started_with_interrupts_ignored_ends_in_order_at_sigterm(tmp_path: Path) -> None:
    """Guards against a run in the background that nothing but SIGKILL ends."""
    file, folder = tmp_path / "s.hcl", tmp_path / "run"
    file.write_text(BASE % 120, encoding="utf-8")
    child = subprocess.Popen(
        [sys.executable, "-m", "gladegw", "rig", "run", str(file), "--dir", str(folder)],
        cwd=ROOT,
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
        preexec_fn=lambda: signal.signal(signal.SIGINT, signal.SIG_IGN),
    )
    await_load(folder)
    os.kill(child.pid, signal.SIGINT)
    time.sleep(1.0)
    assert child.poll() is None and len(children_of(folder)) >= 3
    child.terminate()
    child.wait(PATIENCE)
    until_alone(folder)


def test_an_interrupt_leaves_no_process_and_whole_ledgers(tmp_path: Path) -> None:
    file = tmp_path / "s.hcl"
    file.write_text(BASE % 120, encoding="utf-8")
    folder = tmp_path / "run"
    for number in (signal.SIGINT, signal.SIGKILL):
        child = subprocess.Popen(
            [sys.executable, "-m", "gladegw", "rig", "run", str(file), "--dir", str(folder)],
            cwd=ROOT,
            stdout=subprocess.DEVNULL,
            stderr=subprocess.DEVNULL,
            preexec_fn=with_default_interrupt,
        )
        await_load(folder)
        assert len(children_of(folder)) >= 3
        os.kill(child.pid, number)
        child.wait(PATIENCE)
        until_alone(folder)
        records = ledger.read_all(folder)
        assert len(of(Try, records)) > 50 and len(of(Run, records)) > 20
        for old in folder.glob("*.jsonl"):
            old.unlink()


def test_the_demo_tells_its_verdict_as_one_object(tmp_path: Path) -> None:
    page = tmp_path / "page.html"
    told = json.loads(gladegw("demo", "--duration", "4", "--json", "--report", str(page)))
    assert told["broken_rules"] == [] and 0.5 < told["served_worth"] <= 1.0
    text = page.read_text()
    assert "<svg" in text and "http://" not in text.replace("http://www.w3.org", "").replace(
        "http://purl.org", ""
    ).replace("http://creativecommons.org", "")


# -- experiments ---------------------------------------------------------------------------------------

MATRIX = """
experiment "small" {
  scenarios = ["s.hcl"]
  seeds     = [1, 2]
}
variant "two" { proxies = 2 }
variant "one" { proxies = 1 }
"""


def test_an_experiment_goes_on_where_a_kill_left_it(tmp_path: Path) -> None:
    (tmp_path / "s.hcl").write_text(BASE % 2, encoding="utf-8")
    file, folder = tmp_path / "e.hcl", tmp_path / "results"
    file.write_text(MATRIX, encoding="utf-8")
    command = [sys.executable, "-m", "gladegw", "experiment", str(file), "--dir", str(folder)]
    child = subprocess.Popen(command, cwd=ROOT, stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL)
    results = folder / "results.jsonl"
    due = time.monotonic() + PATIENCE
    while not (results.exists() and results.stat().st_size) and time.monotonic() < due:
        time.sleep(0.05)
    child.kill()
    child.wait()
    until_alone(folder)
    before = results.read_bytes().splitlines()
    results.write_bytes(b"\n".join(before) + b'\n{"key":"torn')
    told = json.loads(gladegw("experiment", str(file), "--dir", str(folder), "--json"))
    after = results.read_bytes().splitlines()
    assert after[: len(before)] == before  # what was played was not played again
    assert sorted(result["key"] for result in told) == ["s-one-1", "s-one-2", "s-two-1", "s-two-2"]
    assert [result["variant"] for result in told] == ["two", "one", "one", "two"]  # paired, by turns
    text = gladegw("experiment", "report", str(folder), "--text")
    assert "one less two" in text and "served_worth" in text
    page = gladegw("experiment", "report", str(folder)).strip()
    assert Path(page).read_text().count("<svg") == 1
    (tmp_path / "s.hcl").write_text(BASE % 3, encoding="utf-8")
    assert "another experiment" in gladegw("experiment", str(file), "--dir", str(folder), code=2)
