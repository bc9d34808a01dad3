"""Constants shared by several decision modules."""

from __future__ import annotations

CONTROL_STEP_S = 0.05  # a few steps fit into the shortest call that matters
RATE_MEMORY_S = 2.0  # averaging time of rates: long against one call, short against a fault
INITIAL_WINDOW = 4.0  # calls in flight allowed before anything is known
MIN_EJECTION_S = 0.5  # the first ejection; doubles up to MAX_EJECTION_S
MAX_EJECTION_S = 8.0
MAX_COUNTED_EJECTIONS = 6  # consecutive: enough to reach MAX_EJECTION_S
MAX_FAILURE_LATENCIES = 8.0  # cap on the cost of a failed attempt, in mean latencies
