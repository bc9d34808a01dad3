"""A scenario with a store: its faults as blocks, and its record under the judge."""

from __future__ import annotations

from pathlib import Path

import msgspec
import pytest
from support.loopback import run

from gladegw.rig import scenario as scenarios
from gladegw.rig.errors import ScenarioError
from gladegw.rig.faults.schedule import bands, script
from gladegw.rig.judging.judge import judge_folder
from gladegw.rig.judging.ledger import FaultBand
from gladegw.rig.judging.ledger import read as ledgers
from gladegw.rig.play import play
from gladegw.rig.store.linearizability import Seen
from gladegw.rig.store.record import RECORD, read

TEXT = """scenario "s" { duration = 7 }
load { rate = 40 }
proxies { count = 2 }
store { members = 3 }
fault "cut" { at = 1 lasts = 2 manner = "back" count = 2 }
fault "store_kill" { at = 3.5 back = 1 manner = "leader" }
fault "store_full" { at = 5 lasts = 1 }
"""


def written(folder: Path, text: str) -> scenarios.Scenario:
    file = folder / "s.hcl"
    file.write_text(text, encoding="utf-8")
    return scenarios.read(file)


@pytest.mark.parametrize(
    ("old", "new", "why"),
    [
        ("store { members = 3 }\n", "", "cut needs a block store"),
        ('manner = "back"', 'manner = "up"', "manner must be one of there, back, both"),
        ('manner = "leader"', 'manner = "king"', "manner must be one of leader, follower"),
        ("members = 3", "members = 0", "members must be 1 to 9"),
        ("members = 3", "members = 3 changes_every_s = 1", "changes_every_s needs policy"),
        ("members = 3", 'policy = "perhaps"', "policy must be serve or refuse, not perhaps"),
    ],
)
def test_what_does_not_go_together_is_one_line(old: str, new: str, why: str, tmp_path: Path) -> None:
    with pytest.raises(ScenarioError, match=why) as fault:
        written(tmp_path, TEXT.replace(old, new))
    assert "s.hcl:" in str(fault.value) and "\n" not in str(fault.value)


def test_a_policy_changes_under_load(tmp_path: Path) -> None:
    text = TEXT.partition("fault")[0].replace("members = 3", 'policy = "serve" changes_every_s = 1 ttl_s = 2')
    folder = tmp_path / "run"

    async def test() -> None:
        await play(written(tmp_path, text), folder)

    run(test())
    verdict = judge_folder(folder)
    assert verdict.breaches == () and verdict.requests > 100
    bands_told = [one for one in ledgers(folder / "rig.jsonl") if isinstance(one, FaultBand)]
    changes = [band for band in bands_told if band.name == "policy"]
    assert [band.target for band in changes].count("everywhere") >= 2
    for log in folder.glob("proxies/*/log"):
        assert "policy: activating epoch 2 (" in log.read_text()


def test_a_run_is_judged_by_its_record_too(tmp_path: Path) -> None:
    asked = written(tmp_path, TEXT)
    steps = {(step.party, step.action, step.target, step.until) for step in script(asked)}
    assert ("proxies", "cut", "p1", 3.0) in steps and ("store", "store_kill", "store", 4.5) in steps
    assert ("store_full", 5.0, 6.0) in bands(asked)
    folder = tmp_path / "run"

    async def test() -> None:
        await play(asked, folder)

    run(test())
    verdict = judge_folder(folder)
    assert verdict.breaches == () and verdict.requests > 100
    log = "".join(file.read_text() for file in folder.glob("proxies/*/log"))
    # the cut ended it
    assert "coordination: holds duty digest," in log and "no longer holds duty digest" in log
    record = read(folder / RECORD)
    put = next(op for op in record if op.kind == "write" and op.answered and op.value)
    after = max(op.end for op in record if op.answered) + 1
    record.append(Seen(key=put.key, kind="read", begin=after, end=after + 1, result="planted"))
    (folder / RECORD).write_bytes(b"".join(msgspec.json.encode(op) + b"\n" for op in record))
    assert [breach.rule for breach in judge_folder(folder).breaches] == ["store"]
