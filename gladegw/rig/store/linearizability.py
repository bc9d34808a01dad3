"""Whether a record of operations on a store could have come from one that does them one at a time, each at
some moment between its begin and its end: linearizability (M. Herlihy and J. Wing, ACM TOPLAS 12, 1990).

Each key is looked at by itself, since linearizability is local. The search is J. Wing and C. Gong's (Journal
of Parallel and Distributed Computing 17, 1993), with a memo of the states seen (G. Lowe, 2017): it takes
those operations next that none of the others ended before.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence
from typing import Literal

import msgspec


class Seen(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """One operation, with times by one clock. `end` infinite: it was not answered, so it may have taken place
    at any time since, or not at all. A value of None is a key that is not there.

    - read: `result` is what it found.
    - write: `value` is what it wrote, or None for a deletion.
    - swap: it wrote `value` if `expected` was there; `result` is "yes" or "no", None if it is not known.
    """

    key: str
    kind: Literal["read", "write", "swap"]
    begin: float
    end: float = math.inf
    value: str | None = None
    expected: str | None = None
    result: str | None = None

    @property
    def answered(self) -> bool:
        return self.end < math.inf


def _after(op: Seen, held: str | None) -> tuple[bool, str | None]:
    """Whether it can take place on what is held, and what is held then."""
    if op.kind == "read":
        return not op.answered or op.result == held, held
    if op.kind == "write":
        return True, op.value
    swapped = held == op.expected
    if op.answered and (op.result == "yes") != swapped:
        return False, held
    return True, op.value if swapped else held


def _key_is(ops: Sequence[Seen]) -> bool:
    """One key's operations, in the order of their begins. What was not answered is taken only where some
    answer can't be explained without it: until then, and after a write, nobody can tell whether it was."""
    answered = [op for op in ops if op.answered]
    maybe = [op for op in ops if not op.answered and op.kind != "read"]
    seen: set[tuple[int, int, int, str | None]] = set()
    stack: list[tuple[int, int, int, str | None]] = [(0, 0, 0, None)]  # see `key` below
    while stack:
        first, done, taken, held = stack.pop()
        while done & 1:
            first, done = first + 1, done >> 1
        if first == len(answered):
            return True
        # All before `first` are done, of those from there on the ones with a bit in `done`.
        key = (first, done, taken, held)
        if key in seen:
            continue
        seen.add(key)
        next_ones, first_end = [], math.inf
        for place in range(first, len(answered)):
            op = answered[place]
            if op.begin > first_end:
                break
            if not done >> (place - first) & 1:
                next_ones.append(place)
                first_end = min(first_end, op.end)
        explained = True
        for place in next_ones:
            if answered[place].begin > first_end:
                continue
            possible, after = _after(answered[place], held)
            explained = explained and possible
            if possible:
                stack.append((first, done | 1 << (place - first), taken, after))
        if not explained:
            for number, op in enumerate(maybe):
                possible, after = _after(op, held)
                if op.begin <= first_end and not taken >> number & 1 and possible and after != held:
                    stack.append((first, done, taken | 1 << number, after))
    return False


def violations(record: Iterable[Seen]) -> list[str]:
    """The keys whose operations no order explains."""
    keys: dict[str, list[Seen]] = {}
    for op in sorted(record, key=lambda op: (op.begin, op.end)):
        keys.setdefault(op.key, []).append(op)
    return [key for key, ops in sorted(keys.items()) if not _key_is(ops)]
