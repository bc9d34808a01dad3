"""Exhaustive search of pure machines: every order of steps, messages and faults up to a depth."""
