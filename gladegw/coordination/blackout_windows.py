"""Blackout windows: times of the week in which a rollout does not advance.

Operators write them in UTC: `16:00 - 18:30` applies to each day, `Fri 16:00 - Mon 06:00` to each week. This
module does no I/O and reads no clock: the time is an argument.
"""

from __future__ import annotations

import re
from collections.abc import Iterable
from dataclasses import dataclass

DAYS = ("Mon", "Tue", "Wed", "Thu", "Fri", "Sat", "Sun")
MINUTES_PER_DAY, MINUTES_PER_WEEK = 24 * 60, 7 * 24 * 60
_BOUNDARY = r"(?:(\w+) +)?(\d\d?):(\d\d)"
_WINDOW = re.compile(rf"{_BOUNDARY} *- *{_BOUNDARY}", re.ASCII)


class BlackoutWindowError(ValueError):
    """The text is not a valid blackout window; the message names the text and the reason."""


@dataclass(frozen=True, slots=True)
class BlackoutWindow:
    """One recurring window, in minutes: from `first` up to but not including `end`.

    `end` is smaller than `first` if the window extends past midnight or past the end of the week. `period` is
    the time after which the window recurs: a day or a week.
    """

    first: int
    end: int
    period: int

    def contains(self, minute: int) -> bool:
        """Whether the window includes this minute, counted from Monday 00:00 UTC."""
        return (minute - self.first) % self.period < (self.end - self.first) % self.period


def parse_window(text: str) -> BlackoutWindow:
    """Parse a window as an operator writes it; raises BlackoutWindowError."""
    match = _WINDOW.fullmatch(text.strip())
    if match is None:
        raise BlackoutWindowError(f"{text!r} is not like '16:00 - 18:30' or 'Fri 16:00 - Mon 06:00'")
    first_day, *first, end_day, end_hour, end_minute = match.groups()
    if (first_day is None) != (end_day is None):
        raise BlackoutWindowError(f"{text!r} names a day on one side only")
    first_at, end_at = _minute(text, first_day, *first), _minute(text, end_day, end_hour, end_minute)
    period = MINUTES_PER_DAY if first_day is None else MINUTES_PER_WEEK
    if first_at % period == end_at % period:
        raise BlackoutWindowError(f"{text!r} begins where it ends")
    return BlackoutWindow(first_at % period, end_at % period, period)


def _minute(text: str, day: str | None, hour: str, minute: str) -> int:
    if day is not None and day.capitalize() not in DAYS:
        raise BlackoutWindowError(f"{text!r}: no such day: {day}; there are {', '.join(DAYS)}")
    if int(minute) > 59 or int(hour) * 60 + int(minute) > MINUTES_PER_DAY:
        raise BlackoutWindowError(f"{text!r}: no such time: {hour}:{minute}")
    return (DAYS.index(day.capitalize()) * MINUTES_PER_DAY if day else 0) + int(hour) * 60 + int(minute)


def in_blackout(windows: Iterable[str], seconds: float) -> bool:
    """Whether one of the windows includes this time, given in s since the Unix epoch.

    A window that cannot be parsed counts as active, so that no rollout advances by mistake.
    """
    # the Unix epoch began on a Thursday
    minute = int(seconds // 60 + 3 * MINUTES_PER_DAY) % MINUTES_PER_WEEK
    for text in windows:
        try:
            if parse_window(text).contains(minute):
                return True
        except BlackoutWindowError:
            return True
    return False
