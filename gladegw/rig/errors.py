"""The one exception family of the rig."""

from __future__ import annotations


class RigError(Exception):
    """Something the user can mend; the message is one line, and the exit code 2."""


class ScenarioError(RigError):
    """A scenario or experiment file can't be used: `file:line: reason`."""


class TraceError(RigError):
    """A recorded trace can't be used: `file:line: reason`."""
