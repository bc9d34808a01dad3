"""Rollout plans: HCL files with one block `rollout`, validated before the rollout starts."""

from __future__ import annotations

from pathlib import Path

import msgspec

from gladegw.control.errors import PlanError
from gladegw.coordination import blackout_windows
from gladegw.coordination.records import RolloutLimitsRecord
from gladegw.coordination.rollout import plan_stages
from gladegw.net.hcl import MAX_FILE_BYTES, Block, blocks_of

ON_WORSE_VALUES, ON_THIN_VALUES = ("back", "stop"), ("stop", "go on")


class Plan(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of a rollout; the field names are the keys of the HCL block.

    `bundle` is a folder or file of routes relative to the plan's folder. Alternatively, `program` is a
    version that each supervisor's file names, and `move_s` the time limit for a stage's members to run it.
    `stages` are counts, percentages or zones, each including all before it; the last is 100%. Times are in
    seconds. A stage bakes for `bake_s`; if the evidence is still insufficient after `most_s`, `on_thin` says
    whether to stop or to go on. `on_worse` says whether to roll back or to stop at a regression.
    `least_requests` is how many requests a stage needs to pass, `most_of_zone` the largest fraction of a zone
    in a stage, and `alpha` the probability of a false alarm. `failed`, `refused` and `late` (later than
    the class's latency objective) are the increases of the rates per class that are tolerated; `level` is the
    tolerated relative increase of times, attempts, CPU and memory. `quiet` lists blackout windows, in which a
    rollout does not advance but can roll back.
    """

    bundle: str = ""
    program: str = ""
    move_s: float = 120.0
    stages: tuple[str, ...] = ("1", "25%", "100%")
    bake_s: float = 60.0
    most_s: float = 600.0
    least_requests: int = 200
    on_worse: str = "back"
    on_thin: str = "stop"
    quiet: tuple[str, ...] = ()
    most_of_zone: float = 0.5
    failed: float = 0.002
    refused: float = 0.02
    late: float = 0.02
    level: float = 0.1
    alpha: float = 0.01

    @property
    def limits(self) -> RolloutLimitsRecord:
        """The tolerances and test parameters, as the rollout's record stores them."""
        return RolloutLimitsRecord(
            failed=self.failed,
            refused=self.refused,
            late=self.late,
            level=self.level,
            alpha=self.alpha,
            least_requests=self.least_requests,
        )


RANGES = {  # smallest and largest value by setting
    "move_s": (5, 86_400),
    "bake_s": (1, 86_400),
    "most_s": (1, 7 * 86_400),
    "least_requests": (1, 10**9),
    "most_of_zone": (0.01, 1),
    "failed": (0, 1),
    "refused": (0, 1),
    "late": (0, 1),
    "level": (0, 100),
    "alpha": (1e-6, 0.5),
}


def _checked(path: str, text: str, block: Block) -> Plan:
    """Return the plan in a validated block; raises PlanError."""

    def plan_error(key: str, why: str) -> PlanError:
        return PlanError(f"{path}:{block.line_of(text, key)}: {why}")

    for key in block.values:
        if key not in Plan.__struct_fields__:
            raise plan_error(key, f"unknown setting {key}")
    if ("bundle" in block.values) == ("program" in block.values):
        what = "bundle must name a folder or a file of routes, or program a version"
        raise PlanError(f"{path}:{block.line}: {what}, but not both")
    for key, value in block.values.items():
        try:
            msgspec.convert({key: value}, Plan)
        except msgspec.ValidationError as fault:
            raise plan_error(key, f"{key}: {fault}") from None
    plan = msgspec.convert(block.values, Plan)
    for key, (low, high) in RANGES.items():
        if not low <= getattr(plan, key) <= high:
            raise plan_error(key, f"{key} must be {low:g} to {high:g}, not {getattr(plan, key):g}")
    for key, allowed in (("on_worse", ON_WORSE_VALUES), ("on_thin", ON_THIN_VALUES)):
        if getattr(plan, key) not in allowed:
            raise plan_error(key, f"{key} must be {' or '.join(allowed)}, not {getattr(plan, key)}")
    for span in plan.quiet:
        try:
            blackout_windows.parse_window(span)
        except ValueError as fault:
            raise plan_error("quiet", f"quiet: {fault}") from None
    if plan.most_s < plan.bake_s:
        raise plan_error("most_s", "most_s must not be less than bake_s")
    try:
        plan_stages({"any": ""}, [size for size in plan.stages if size.strip() == "100%"])
    except ValueError as fault:
        raise plan_error("stages", f"stages: {fault}") from None
    return plan


def read(path: str) -> Plan:
    """Read and validate a plan; raises PlanError with file, line and reason."""
    try:
        raw = Path(path).read_bytes()
        if len(raw) > MAX_FILE_BYTES:
            raise PlanError(f"{path}:1: the plan is too large")
        text = raw.decode("utf-8")
        blocks = blocks_of(text)
    except OSError as fault:
        raise PlanError(f"{path}: {fault.strerror or fault}") from None
    except ValueError as fault:
        raise PlanError(" ".join(f"{path}: {fault}".split())) from None
    if len(blocks) != 1 or blocks[0].name != "rollout":
        raise PlanError(f"{path}:{blocks[-1].line if blocks else 1}: a plan must be one block `rollout`")
    plan = _checked(path, text, blocks[0])
    if plan.program:
        return plan
    folder = Path(path).parent / plan.bundle
    return msgspec.structs.replace(plan, bundle=str(folder))
