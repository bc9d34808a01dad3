"""Operators' commands, request counters and the life cycle, without sockets."""

from __future__ import annotations

from itertools import pairwise

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gladegw.operators.commands import MAX_COMMAND_BYTES, BackendCounts, CommandHandler, LineReader
from gladegw.operators.lifecycle import TRANSITIONS, Event, InvalidTransitionError, Lifecycle, State
from gladegw.operators.request_counters import RequestCounters


def operators(lifecycle: Lifecycle | None = None, able: bool = True) -> CommandHandler:
    return CommandHandler(
        lifecycle or Lifecycle(), RequestCounters(["a", "b"]), lambda: able, lambda: BackendCounts(5, 2)
    )


def ready() -> Lifecycle:
    lifecycle = Lifecycle()
    lifecycle.on(Event.ABLE)
    return lifecycle


def test_the_table_knows_every_event_in_every_state() -> None:
    assert all(set(TRANSITIONS[state]) == set(Event) for state in State)


@given(st.lists(st.sampled_from(Event)))
def test_any_course_of_events_keeps_the_promises(events: list[Event]) -> None:
    changes: list[State] = []
    lifecycle = Lifecycle(changes.append)
    able = lame = leaving = False
    for event in events:
        try:
            after = lifecycle.on(event)
        except InvalidTransitionError as error:
            assert event is Event.REJOIN and event.value in str(error)
            assert leaving or not (able or lame)
            continue
        able |= event is Event.ABLE
        leaving |= event is Event.TERMINATE
        lame = event is Event.LAMEDUCK or (lame and event is not Event.REJOIN)
        calm = State.READY if able else State.STARTING
        assert (
            after is lifecycle.state is (State.TERMINATING if leaving else State.DRAINING if lame else calm)
        )
    assert all(one is not other for one, other in pairwise(changes))
    assert not changes or changes[-1] is lifecycle.state


@pytest.mark.parametrize(
    ("calls", "answers"),
    [
        (["PING"], ["SUCCESS"]),
        (["LAMEDUCK", "PING", "LAMEDUCK"], ["SUCCESS", "FAILURE", "SUCCESS"]),
        (["LAMEDUCK", "REJOIN", "PING"], ["SUCCESS", "SUCCESS", "SUCCESS"]),
        (["REJOIN", "PING"], ["SUCCESS", "SUCCESS"]),
        (["ping", "", "PING now", "\x00\xff"], ["FAILURE"] * 4),
    ],
)
def test_calls_out_of_turn_get_a_true_answer(calls: list[str], answers: list[str]) -> None:
    handler = operators(ready())
    assert [handler.answer(call.encode("latin-1")).split()[0].decode() for call in calls] == answers


def test_nobody_rejoins_while_the_process_leaves_or_starts() -> None:
    lifecycle = Lifecycle()
    assert operators(lifecycle).answer(b"REJOIN").startswith(b"FAILURE")
    lifecycle.on(Event.ABLE)
    lifecycle.on(Event.LAMEDUCK)
    lifecycle.on(Event.TERMINATE)
    reply = operators(lifecycle).answer(b"REJOIN")
    assert reply.startswith(b"FAILURE") and b"leaving" in reply and reply.endswith(b"\n")
    assert operators(lifecycle).answer(b"PING").startswith(b"FAILURE leaving")


def test_ready_without_a_backend_is_no_readiness() -> None:
    assert operators(ready(), able=False).answer(b"PING").startswith(b"FAILURE")


def test_info_shows_every_class_from_the_start() -> None:
    handler = operators(ready())
    handler.counters.on_received()
    handler.counters.on_received()
    handler.counters.on_ended("b", 200)
    handler.counters.on_attempt()
    assert handler.answer(b"INFO").decode().splitlines() == [
        "SUCCESS",
        "app.handled.a.passed=0",
        "app.handled.a.dropped=0",
        "app.handled.a.bad_gateway=0",
        "app.handled.b.passed=1",
        "app.handled.b.dropped=0",
        "app.handled.b.bad_gateway=0",
        "app.upstream_tries=1",
        "app.in_progress=1",
        "app.known_backends=5",
        "app.skipped_backends=2",
        "EOT",
    ]


@given(st.lists(st.tuples(st.sampled_from("ab"), st.sampled_from([200, 429, 503, 502, 504, 409, None]))))
def test_every_request_taken_ends_in_one_count(ends: list[tuple[str, int | None]]) -> None:
    counters = RequestCounters("ab")
    for _ in ends:
        counters.on_received()
    for done, (cls, code) in enumerate(ends, 1):
        counters.on_ended(cls, code)
        assert counters.in_progress == len(ends) - done
        assert sum(handled.total for handled in counters.handled.values()) == done
    for cls, handled in counters.handled.items():
        codes = [code for name, code in ends if name == cls]
        assert handled.passed == codes.count(200) and handled.disconnected == codes.count(None)
        assert handled.dropped == codes.count(429) + codes.count(503)


@given(st.binary(max_size=40).filter(lambda text: b"\n" not in text), st.binary(max_size=20), st.data())
def test_a_line_in_any_pieces_is_the_same_line(text: bytes, more: bytes, data: st.DataObject) -> None:
    whole = text + b"\n" + more
    cuts = sorted(data.draw(st.lists(st.integers(0, len(whole)), max_size=6)))
    line = LineReader()
    for start, end in zip([0, *cuts], [*cuts, len(whole)], strict=True):
        found = line.feed(whole[start:end])
        if found is not None:
            break
    assert found == text.removesuffix(b"\r") and not line.too_long


def test_a_line_without_an_end_is_cut_off() -> None:
    line = LineReader()
    assert line.feed(b"x" * MAX_COMMAND_BYTES) is None
    assert line.feed(b"x") is not None and line.too_long
    half = LineReader()
    half.feed(b"PIN")
    assert half.finish() == b"PIN" and LineReader().finish() is None
