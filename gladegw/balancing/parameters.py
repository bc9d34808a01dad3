"""Figures that several parts of the decisions share: name, unit, reason. Part of the decisions."""

from __future__ import annotations

CONTROL_STEP_S = 0.05  # s, the control step: a few steps fit into the shortest call worth steering
RATE_MEMORY_S = 2.0  # s, memory of the arrival rate and procQ: long against one call, short against a trouble
INITIAL_WINDOW = 4.0  # calls, where W starts before anything is known
MIN_EJECTION_S = 0.5  # s of the first ejection; doubles up to EJECT_LONGEST
MAX_EJECTION_S = 8.0  # s
MAX_COUNTED_EJECTIONS = 6  # ejections in a row that are counted: enough to reach EJECT_LONGEST
MAX_FAILURE_LATENCIES = 8.0  # mean latencies that a failed attempt counts as at most
