"""Days of faults before a real proxy, short and seeded; and the judge, tried on proxies that do harm."""

from __future__ import annotations

import asyncio
from pathlib import Path

import msgspec
import pytest
from netkit import run

from granitepoint.rig import soak

SEEDS = (3, 5, 12, 21)  # failing calls, 200 servers, several SIGHUP, drains before, in and after refusals
LONG_REFUSED = 7.0  # s


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


@pytest.mark.parametrize(
    ("harm", "rule"),
    [("none", ""), ("drains", "drain"), ("exits", "ready"), ("never", "ready"), ("hangs", "lost")],
)
def test_the_judge_finds_a_proxy_that_does_harm(harm: str, rule: str, tmp_path: Path) -> None:
    async def test() -> None:
        # Servers that drain go on answering, and discovery tells it: only the proxy is at fault.
        drawn = soak.drawn(1, servers=8)
        day = msgspec.structs.replace(drawn, rejects=False, refused=(0.0, 0.0), drains=(1.5,))
        found = await soak.play(day, tmp_path, harm)
        assert {breach.rule for breach in found.breaches} == ({rule} if rule else set()), found.breaches

    run(test())
