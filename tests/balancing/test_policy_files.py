"""The limits that the decision modules keep, so that a reader can take each of them in."""

from __future__ import annotations

import ast
import tomllib
from pathlib import Path

ROOT = Path(__file__).parents[2]


def test_policy_files_are_short() -> None:
    """Each by itself: decisions stay in modules that a reader can take in."""
    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))
    for name in deploy["policy"]:
        lines = (ROOT / name).read_text("utf-8").splitlines()
        assert 0 < sum(1 for line in lines if line.strip()) <= 1200, name
        assert max(map(len, lines)) <= 110, name


def test_policy_files_are_all_that_the_decisions_import_of_the_program() -> None:
    """What decides is named in the deploy file, or holds no decision: the events and actions."""
    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))
    named = {name.removesuffix(".py").replace("/", ".") for name in deploy["policy"]}
    for name in deploy["policy"]:
        tree = ast.parse((ROOT / name).read_text("utf-8"))
        for node in ast.walk(tree):
            if isinstance(node, ast.ImportFrom) and (node.module or "").startswith("gladegw"):
                assert node.module in named | {"gladegw.balancing.events"}, name


def test_module_names_its_interface_at_the_top() -> None:
    balancer = ROOT / "gladegw" / "balancing" / "balancer.py"
    assert "gladegw/balancing/events.py" in balancer.read_text("utf-8").split("\n")[0]
