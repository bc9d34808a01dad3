"""How tests are shared out among workers, and what becomes of those that are known to fail.

Tests are shared out by file, but for those whose every test starts a fleet. `KNOWN-RED.txt` names the others.
"""

from __future__ import annotations

import os
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
from support import known_red

FLEETS = tuple(
    f"test_{what}.py"
    for what in (
        "program_rollouts",
        "supervise",
        "rollout_sockets",
        "policy_sockets",
        "fleet_steps",
        "simulate",
    )
)


@pytest.hookimpl(optionalhook=True)
def pytest_xdist_make_scheduler(config: Any, log: Any) -> Any:
    """Files with few tests come last, so that one worker would be left with minutes of one file."""
    from xdist.scheduler import LoadFileScheduling

    class Scheduling(LoadFileScheduling):  # type: ignore[misc]
        def _split_scope(self, nodeid: str) -> str:
            file: str = super()._split_scope(nodeid)
            return nodeid if file.endswith(FLEETS) else file

    return Scheduling(config, log)


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """With TESTS_REVERSED the tests run in the opposite order: none may need another one before it."""
    if os.environ.get("TESTS_REVERSED"):
        items.reverse()


class KnownRedTests:
    """Lets CI pass over the listed tests, which run all the same, and prints how each ended."""

    def __init__(self, known: list[known_red.KnownRed], whole: bool) -> None:
        self.known = known
        self.whole = whole  # all tests are run, so a line that names none is a fault
        self.outcomes: dict[str, str] = {}

    def pytest_collection_modifyitems(self, items: list[pytest.Item]) -> None:
        listed = {red.test: red for red in self.known}
        for item in items:
            if item.nodeid in listed:
                red = listed[item.nodeid]
                item.add_marker(pytest.mark.xfail(reason=f"{red.seen} ({red.issue})", strict=False))

    def pytest_runtest_logreport(self, report: pytest.TestReport) -> None:
        if report.when == "call" or report.outcome != "passed":
            expected = hasattr(report, "wasxfail") and report.outcome == "skipped"
            self.outcomes[report.nodeid] = "failed" if expected else report.outcome

    @pytest.hookimpl(wrapper=True)
    def pytest_sessionfinish(self, session: pytest.Session) -> Iterator[None]:
        yield
        try:
            if self.whole:
                known_red.check_collected(self.known, self.outcomes)
        except known_red.KnownRedError:
            session.exitstatus = pytest.ExitCode.TESTS_FAILED

    def pytest_terminal_summary(self, terminalreporter: Any) -> None:
        if not self.known:
            return
        terminalreporter.section(known_red.FILE)
        for line in known_red.outcome_lines(self.known, self.outcomes):
            terminalreporter.line(line)
        try:
            if self.whole:
                known_red.check_collected(self.known, self.outcomes)
        except known_red.KnownRedError as fault:
            terminalreporter.line(str(fault), red=True)


def pytest_configure(config: pytest.Config) -> None:
    try:
        known = known_red.load(Path(str(config.rootpath)))
    except known_red.KnownRedError as fault:
        raise pytest.UsageError(str(fault)) from None
    whole = config.args_source is pytest.Config.ArgsSource.TESTPATHS and not config.option.keyword
    whole = whole and not hasattr(config, "workerinput")  # a worker of many runs a part
    config.pluginmanager.register(KnownRedTests(known, whole), "known-red")
