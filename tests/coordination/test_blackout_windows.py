"""Blackout windows, compared with a search through the minutes of each window."""

from __future__ import annotations

import calendar

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gladegw.coordination import blackout_windows
from gladegw.coordination.blackout_windows import DAYS, MINUTES_PER_DAY, MINUTES_PER_WEEK

minutes = st.integers(0, MINUTES_PER_WEEK - 1)


def format_time(minute: int, weekly: bool) -> str:
    day, rest = divmod(minute, MINUTES_PER_DAY)
    return (f"{DAYS[day]} " if weekly else "") + f"{rest // 60:02d}:{rest % 60:02d}"


@given(minutes, minutes, st.booleans(), minutes)
def test_window_includes_its_first_minute_and_excludes_its_end(
    first: int, end: int, weekly: bool, checked: int
) -> None:
    period = MINUTES_PER_WEEK if weekly else MINUTES_PER_DAY
    text = f"{format_time(first, weekly)} - {format_time(end, weekly)}"
    if first % period == end % period:
        with pytest.raises(ValueError, match="begins where it ends"):
            blackout_windows.parse_window(text)
        return
    expected, minute = False, first % period
    while minute != end % period:
        expected |= minute == checked % period
        minute = (minute + 1) % period
    assert blackout_windows.parse_window(text).contains(checked) is expected


def test_window_is_in_utc() -> None:
    friday = calendar.timegm((2026, 12, 4, 17, 30, 0))
    assert blackout_windows.in_blackout(("Fri 16:00 - Mon 06:00",), friday)
    assert not blackout_windows.in_blackout(("Fri 16:00 - Mon 06:00",), friday - 2 * 3600)
    assert blackout_windows.in_blackout(("22:00 - 06:00", "17:00 - 18:00"), friday)
    assert not blackout_windows.in_blackout((), friday)
    assert blackout_windows.in_blackout(("a syntax of a later version",), friday)


@pytest.mark.parametrize(
    "text",
    [
        "",
        "16:00",
        "16:00 - 24:01",
        "16:60 - 17:00",
        "Fri 16:00 - 18:00",
        "Fry 16:00 - Mon 06:00",
        "16:00 - 16:00",
        "16:00 - 18:00 UTC",
        "\u0661\u0666:00 - 18:00",
    ],
)
def test_invalid_window_is_rejected(text: str) -> None:
    with pytest.raises(ValueError, match=r"."):
        blackout_windows.parse_window(text)
