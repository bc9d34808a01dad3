"""Limits on the decision modules (the policy files), which keep each of them easy to review."""

from __future__ import annotations

import ast
import tomllib
from pathlib import Path

ROOT = Path(__file__).parents[2]


def test_policy_files_are_limited_in_length() -> None:
    """Each policy file stays short enough to be read as a whole."""
    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))
    for name in deploy["policy"]:
        lines = (ROOT / name).read_text("utf-8").splitlines()
        assert 0 < sum(1 for line in lines if line.strip()) <= 1200, name
        assert max(map(len, lines)) <= 110, name


def test_policy_files_import_only_policy_files_and_events() -> None:
    """Of this package a policy file imports only other policy files, and the events and actions.

    So all code that makes decisions is listed in the deploy file.
    """
    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))
    policy_modules = {name.removesuffix(".py").replace("/", ".") for name in deploy["policy"]}
    for name in deploy["policy"]:
        tree = ast.parse((ROOT / name).read_text("utf-8"))
        for node in ast.walk(tree):
            if isinstance(node, ast.ImportFrom) and (node.module or "").startswith("gladegw"):
                assert node.module in policy_modules | {"gladegw.balancing.events"}, name


def test_balancer_module_names_its_interface_in_the_first_line() -> None:
    balancer = ROOT / "gladegw" / "balancing" / "balancer.py"
    assert "gladegw/balancing/events.py" in balancer.read_text("utf-8").split("\n")[0]
