"""Constants shared by several decision modules."""

from __future__ import annotations

CONTROL_STEP_S = 0.05  # interval of the periodic updates; the shortest relevant call spans a few of them
RATE_MEMORY_S = 2.0  # averaging time of rates: longer than a call, shorter than a fault
INITIAL_WINDOW = 4.0  # calls in flight; lower bound of the initial concurrency window
MIN_EJECTION_S = 0.5  # of the first ejection; each further one doubles it, up to MAX_EJECTION_S
MAX_EJECTION_S = 8.0
MAX_COUNTED_EJECTIONS = 6  # consecutive ejections counted; enough to reach MAX_EJECTION_S
MAX_FAILURE_LATENCIES = 8.0  # cap on the cost of a failed attempt, in mean latencies
