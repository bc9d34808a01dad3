"""Days of faults before a real proxy, short and seeded; and the judge, tried on proxies that do harm."""

from __future__ import annotations

import asyncio
import json
import os
import subprocess
import sys
from pathlib import Path

import msgspec
import pytest
from support.loopback import run

from gladegw.rig import soak

SEEDS = (3, 5, 12, 21)  # failing calls, 200 servers, several SIGHUP, drains before, in and after refusals
LONG_REFUSED = 7.0  # s
ROOT = Path(__file__).parents[2]
BUILD_TIMEOUT_S = 120.0


def plain(seed: int) -> soak.Day:
    """A day before eight servers, without stops of the proxy; discovery rejects calls in its bad time."""
    return msgspec.structs.replace(
        soak.drawn(seed, servers=8), stops=(), fault=soak.REFUSES, probes=True, healthy=False
    )


def test_a_seed_is_a_day() -> None:
    assert [soak.drawn(seed) for seed in range(200)] == [soak.drawn(seed) for seed in range(200)]
    assert len({soak.drawn(seed) for seed in range(200)}) == 200
    assert soak.drawn(1, servers=3200).servers == 3200


def test_seeded_days_break_no_rule(tmp_path: Path) -> None:
    async def test() -> None:
        found = await asyncio.gather(*(soak.play(soak.drawn(seed), tmp_path / str(seed)) for seed in SEEDS))
        for verdict in found:
            assert not verdict.breaches, (verdict.day.seed, verdict.breaches)
            assert verdict.answered > 50

    run(test())


@pytest.mark.parametrize(("harm", "broken"), [("none", set()), ("trusts", {"drain"})])
def test_the_judge_finds_a_proxy_that_uses_an_old_list(harm: str, broken: set[str], tmp_path: Path) -> None:
    """The watch falls silent, a server drains and completes what it gets, each call is refused at once."""

    async def test() -> None:
        day = msgspec.structs.replace(
            plain(1),
            rejects=False,
            share=0.8,
            failing=0.0,
            clients=10,
            work=0.1,
            drains=(2.5,),
            silences=(2.0,),
            refused=(2.5, 6.0),
            refused_after=0.0,
            hangups=(),
        )
        found = await soak.play(day, tmp_path, harm)
        assert {breach.rule for breach in found.breaches} == broken, found.breaches

    run(test())


def test_the_judge_finds_a_proxy_that_accepts_nobody_any_more(tmp_path: Path) -> None:
    """So many calls fail that one of some fifty accepts surely does."""

    async def test() -> None:
        day = msgspec.structs.replace(plain(1), failing=0.3, hangups=())
        found = await soak.play(day, tmp_path, "deaf")
        assert "ready" in {breach.rule for breach in found.breaches}, found.breaches

    run(test())


@pytest.mark.parametrize(
    ("harm", "rule"),
    [("none", ""), ("drains", "drain"), ("exits", "ready"), ("never", "ready"), ("hangs", "lost ready")],
)
def test_the_judge_finds_a_proxy_that_does_harm(harm: str, rule: str, tmp_path: Path) -> None:
    async def test() -> None:
        # Servers that drain go on answering, and discovery tells it: only the proxy is at fault.
        day = msgspec.structs.replace(plain(1), rejects=False, refused=(0.0, 0.0), drains=(1.5,))
        found = await soak.play(day, tmp_path, harm)
        assert {breach.rule for breach in found.breaches} == set(rule.split()), found.breaches

    run(test())


def test_an_installed_package_plays_a_day(tmp_path: Path) -> None:
    """Guards against a wheel that lacks the source of the library of failing system calls."""
    target, environ = tmp_path / "site", {**os.environ, "PYTHONPATH": str(tmp_path / "site")}
    pip = (sys.executable, "-m", "pip", "--quiet", "--disable-pip-version-check")
    wheel = (*pip, "wheel", "--no-deps", "--wheel-dir", str(tmp_path), str(ROOT))
    subprocess.run(wheel, check=True, capture_output=True, timeout=BUILD_TIMEOUT_S)
    (built,) = tmp_path.glob("gladegw-*.whl")
    install = (*pip, "install", "--no-deps", "--target", str(target), str(built))
    subprocess.run(install, check=True, capture_output=True, timeout=BUILD_TIMEOUT_S)
    soaked = (sys.executable, "-m", "gladegw", "rig", "soak", "--seed", "1", "--servers", "8", "--json")
    day = subprocess.run(
        soaked,
        cwd=tmp_path,
        env=environ,
        capture_output=True,
        text=True,
        timeout=BUILD_TIMEOUT_S,
        check=False,
    )
    assert day.returncode == 0, day.stderr
    assert len(json.loads(day.stdout)["runs"]) == 1
