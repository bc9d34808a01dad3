"""Distribution of tests among workers, and the handling of tests that are known to fail.

Tests are distributed by file, except that files in which each test starts a fleet are distributed by test.
`KNOWN-RED.txt` lists the tests that are known to fail.
"""

from __future__ import annotations

import os
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
from support import known_red

FLEET_TEST_FILES = tuple(
    f"test_{name}.py"
    for name in (
        "program_rollouts",
        "supervise",
        "rollout_sockets",
        "policy_sockets",
        "fleet_steps",
        "simulate",
        "expired_lists",
    )
)


@pytest.hookimpl(optionalhook=True)
def pytest_xdist_make_scheduler(config: Any, log: Any) -> Any:
    """Distribute the fleet tests one by one.

    xdist starts files with few tests last, so that one worker would spend minutes on the last of these files.
    """
    from xdist.scheduler import LoadFileScheduling

    class Scheduling(LoadFileScheduling):  # type: ignore[misc]
        def _split_scope(self, nodeid: str) -> str:
            file: str = super()._split_scope(nodeid)
            return nodeid if file.endswith(FLEET_TEST_FILES) else file

    return Scheduling(config, log)


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Reverse the order if TESTS_REVERSED is set, which reveals tests that depend on an earlier one."""
    if os.environ.get("TESTS_REVERSED"):
        items.reverse()


class KnownRedTests:
    """Runs the listed tests without letting a failure fail CI, and prints the outcome of each."""

    def __init__(self, known: list[known_red.KnownRed], whole: bool) -> None:
        self.known = known
        self.whole = whole  # all tests are collected, so a line that names none of them is an error
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
        except known_red.KnownRedError as error:
            terminalreporter.line(str(error), red=True)


def pytest_configure(config: pytest.Config) -> None:
    try:
        known = known_red.load(Path(str(config.rootpath)))
    except known_red.KnownRedError as error:
        raise pytest.UsageError(str(error)) from None
    whole = config.args_source is pytest.Config.ArgsSource.TESTPATHS and not config.option.keyword
    whole = whole and not hasattr(config, "workerinput")  # an xdist worker runs only some of the tests
    config.pluginmanager.register(KnownRedTests(known, whole), "known-red")
