"""Times of the week in which a rollout does not move, as operators write them, in UTC: `16:00 - 18:30` of
each day, or `Fri 16:00 - Mon 06:00`. Pure: the time is told."""

from __future__ import annotations

import re
from collections.abc import Iterable
from dataclasses import dataclass

DAYS = ("Mon", "Tue", "Wed", "Thu", "Fri", "Sat", "Sun")
MINUTES_PER_DAY, MINUTES_PER_WEEK = 24 * 60, 7 * 24 * 60  # minutes
_END = r"(?:(\w+) +)?(\d\d?):(\d\d)"
_WINDOW = re.compile(rf"{_END} *- *{_END}", re.ASCII)


@dataclass(frozen=True, slots=True)
class BlackoutWindow:
    """From `first` on, and not `end` any more; `end` may be the smaller one, over a midnight or a Sunday.
    `every`: minutes after which it comes again."""

    first: int
    end: int
    period: int

    def contains(self, minute: int) -> bool:
        return (minute - self.first) % self.period < (self.end - self.first) % self.period


def parse_window(text: str) -> BlackoutWindow:
    """Raises ValueError."""
    found = _WINDOW.fullmatch(text.strip())
    if found is None:
        raise ValueError(f"{text!r} is not like '16:00 - 18:30' or 'Fri 16:00 - Mon 06:00'")
    first_day, *first, end_day, end_hour, end_minute = found.groups()
    if (first_day is None) != (end_day is None):
        raise ValueError(f"{text!r} names a day on one side only")
    first_at, end_at = _minute(text, first_day, *first), _minute(text, end_day, end_hour, end_minute)
    every = MINUTES_PER_DAY if first_day is None else MINUTES_PER_WEEK
    if first_at % every == end_at % every:
        raise ValueError(f"{text!r} begins where it ends")
    return BlackoutWindow(first_at % every, end_at % every, every)


def _minute(text: str, day: str | None, hour: str, minute: str) -> int:
    if day is not None and day.capitalize() not in DAYS:
        raise ValueError(f"{text!r}: no such day: {day}; there are {', '.join(DAYS)}")
    if int(minute) > 59 or int(hour) * 60 + int(minute) > MINUTES_PER_DAY:
        raise ValueError(f"{text!r}: no such time: {hour}:{minute}")
    return (DAYS.index(day.capitalize()) * MINUTES_PER_DAY if day else 0) + int(hour) * 60 + int(minute)


def in_blackout(windows: Iterable[str], seconds: float) -> bool:
    """Whether it is quiet at this time, in s of the Unix epoch, which began on a Thursday. What can't be read
    counts as quiet: nothing moves by mistake."""
    minute = int(seconds // 60 + 3 * MINUTES_PER_DAY) % MINUTES_PER_WEEK
    for text in windows:
        try:
            if parse_window(text).contains(minute):
                return True
        except ValueError:
            return True
    return False
