"""Each extra alone lets the commands run that need no other one.

An interpreter that can import only the packages which an extra declares, with what these require, loads each
command. Nothing is installed for that.
"""

from __future__ import annotations

import re
import subprocess
import sys
import tomllib
from importlib.metadata import PackageNotFoundError, packages_distributions, requires
from pathlib import Path

import pytest

from gladegw.cli import COMMANDS

ROOT = Path(__file__).parent.parent
TIMEOUT_S = 30.0
# Loads a command; every top-level package of the comma-separated first argument cannot be imported.
LOAD = """
import sys
missing = set(sys.argv[1].split(","))
class Missing:
    def find_spec(self, name, path=None, target=None):
        if name.partition(".")[0] in missing:
            raise ModuleNotFoundError(f"No module named {name!r}", name=name)
sys.meta_path.insert(0, Missing())
sys.argv = ["gladegw", sys.argv[2], "--help"]
from gladegw.__main__ import main
sys.exit(main())
"""


def normalized(name: str) -> str:
    return re.sub(r"[-_.]+", "-", name).lower()


def distribution_of(requirement: str) -> str:
    found = re.match(r"[\w.-]+", requirement)
    assert found is not None
    return normalized(found[0])


def with_requirements(requirements: list[str]) -> set[str]:
    """The distributions of these requirements and of all that they require."""
    found: set[str] = set()
    left = [distribution_of(requirement) for requirement in requirements]
    while left:
        name = left.pop()
        if name in found:
            continue
        found.add(name)
        try:
            needed = requires(name) or []
        except PackageNotFoundError:  # for another platform or version of Python
            continue
        left += [distribution_of(each) for each in needed if "extra ==" not in each]
    return found


def packages_beside(extra: str | None) -> set[str]:
    """Top-level packages of the environment that neither the program nor the extra declares."""
    project = tomllib.loads((ROOT / "pyproject.toml").read_text(encoding="utf-8"))["project"]
    declared = project["dependencies"] + (project["optional-dependencies"][extra] if extra else [])
    allowed = with_requirements(declared) | {"gladegw"}
    return {
        package
        for package, names in packages_distributions().items()
        if not allowed & {normalized(name) for name in names}
    }


def load(command: str, extra: str | None) -> subprocess.CompletedProcess[str]:
    arguments = (sys.executable, "-c", LOAD, ",".join(packages_beside(extra)), command)
    return subprocess.run(arguments, capture_output=True, text=True, timeout=TIMEOUT_S, check=False)


@pytest.mark.parametrize("command", COMMANDS)
def test_the_extra_of_the_tools_alone_loads_each_command(command: str) -> None:
    """Guards against a command that needs an extra which `demo.sh` and the README do not install for it."""
    loaded = load(command, "rig")
    assert (loaded.returncode, loaded.stderr) == (0, "")
    assert loaded.stdout.startswith("Usage: gladegw ")


@pytest.mark.parametrize("extra", [None, "routes", "coordination"])
def test_without_the_extra_of_the_tools_a_command_names_it_in_one_line(extra: str | None) -> None:
    loaded = load("demo", extra)
    assert loaded.returncode == 2 and loaded.stdout == ""
    assert len(loaded.stderr.splitlines()) == 1 and "gladegw[rig]" in loaded.stderr
