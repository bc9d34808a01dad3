"""Times in which a rollout does not move, against a look at each minute."""

from __future__ import annotations

import calendar

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gladegw.coordination import blackout_windows
from gladegw.coordination.blackout_windows import DAYS, MINUTES_PER_DAY, MINUTES_PER_WEEK

minutes = st.integers(0, MINUTES_PER_WEEK - 1)


def written(minute: int, weekly: bool) -> str:
    day, rest = divmod(minute, MINUTES_PER_DAY)
    return (f"{DAYS[day]} " if weekly else "") + f"{rest // 60:02d}:{rest % 60:02d}"


@given(minutes, minutes, st.booleans(), minutes)
def test_a_span_holds_from_its_first_minute_up_to_its_last(
    first: int, end: int, weekly: bool, asked: int
) -> None:
    every = MINUTES_PER_WEEK if weekly else MINUTES_PER_DAY
    text = f"{written(first, weekly)} - {written(end, weekly)}"
    if first % every == end % every:
        with pytest.raises(ValueError, match="begins where it ends"):
            blackout_windows.parse_window(text)
        return
    held, minute = False, first % every
    while minute != end % every:
        held |= minute == asked % every
        minute = (minute + 1) % every
    assert blackout_windows.parse_window(text).contains(asked) is held


def test_the_time_of_the_day_is_that_of_utc() -> None:
    friday = calendar.timegm((2026, 12, 4, 17, 30, 0))
    assert blackout_windows.in_blackout(("Fri 16:00 - Mon 06:00",), friday)
    assert not blackout_windows.in_blackout(("Fri 16:00 - Mon 06:00",), friday - 2 * 3600)
    assert blackout_windows.in_blackout(("22:00 - 06:00", "17:00 - 18:00"), friday)
    assert not blackout_windows.in_blackout((), friday)
    assert blackout_windows.in_blackout(("what a later program may write",), friday)


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
def test_what_is_no_span_is_refused(text: str) -> None:
    with pytest.raises(ValueError, match=r"."):
        blackout_windows.parse_window(text)
