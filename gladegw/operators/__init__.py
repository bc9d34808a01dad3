"""Operators' commands, request counters and the life cycle of a proxy process, without I/O."""
