"""A fleet's members in one process, on a clock that jumps, with faults by a seed: docs/design/simulate.md."""
