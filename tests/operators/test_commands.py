"""Operators' commands, request counters and the life cycle, without sockets."""

from __future__ import annotations

from itertools import pairwise

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gladegw.operators.commands import MAX_COMMAND_BYTES, BackendCounts, CommandHandler, LineReader
from gladegw.operators.lifecycle import TRANSITIONS, Event, InvalidTransitionError, Lifecycle, State
from gladegw.operators.request_counters import RequestCounters


def command_handler(lifecycle: Lifecycle | None = None, has_backend: bool = True) -> CommandHandler:
    return CommandHandler(
        lifecycle or Lifecycle(),
        RequestCounters(["a", "b"]),
        lambda: has_backend,
        lambda: BackendCounts(5, 2),
    )


def ready_lifecycle() -> Lifecycle:
    lifecycle = Lifecycle()
    lifecycle.on(Event.ABLE)
    return lifecycle


def test_the_transition_table_has_every_event_in_every_state() -> None:
    assert all(set(TRANSITIONS[state]) == set(Event) for state in State)


@given(st.lists(st.sampled_from(Event)))
def test_any_sequence_of_events_leads_to_the_specified_states(events: list[Event]) -> None:
    changes: list[State] = []
    lifecycle = Lifecycle(changes.append)
    able = draining = terminating = False
    for event in events:
        try:
            after = lifecycle.on(event)
        except InvalidTransitionError as error:
            assert event is Event.REJOIN and event.value in str(error)
            assert terminating or not (able or draining)
            continue
        able |= event is Event.ABLE
        terminating |= event is Event.TERMINATE
        draining = event is Event.LAMEDUCK or (draining and event is not Event.REJOIN)
        otherwise = State.READY if able else State.STARTING
        assert (
            after
            is lifecycle.state
            is (State.TERMINATING if terminating else State.DRAINING if draining else otherwise)
        )
    assert all(earlier is not later for earlier, later in pairwise(changes))
    assert not changes or changes[-1] is lifecycle.state


@pytest.mark.parametrize(
    ("commands", "responses"),
    [
        (["PING"], ["SUCCESS"]),
        (["LAMEDUCK", "PING", "LAMEDUCK"], ["SUCCESS", "FAILURE", "SUCCESS"]),
        (["LAMEDUCK", "REJOIN", "PING"], ["SUCCESS", "SUCCESS", "SUCCESS"]),
        (["REJOIN", "PING"], ["SUCCESS", "SUCCESS"]),
        (["ping", "", "PING now", "\x00\xff"], ["FAILURE"] * 4),
    ],
)
def test_command_sequences_get_the_expected_responses(commands: list[str], responses: list[str]) -> None:
    handler = command_handler(ready_lifecycle())
    assert [
        handler.answer(command.encode("latin-1")).split()[0].decode() for command in commands
    ] == responses


def test_rejoin_fails_while_starting_or_terminating() -> None:
    lifecycle = Lifecycle()
    assert command_handler(lifecycle).answer(b"REJOIN").startswith(b"FAILURE")
    lifecycle.on(Event.ABLE)
    lifecycle.on(Event.LAMEDUCK)
    lifecycle.on(Event.TERMINATE)
    reply = command_handler(lifecycle).answer(b"REJOIN")
    assert reply.startswith(b"FAILURE") and b"leaving" in reply and reply.endswith(b"\n")
    assert command_handler(lifecycle).answer(b"PING").startswith(b"FAILURE leaving")


def test_ping_fails_in_the_ready_state_without_a_backend() -> None:
    assert command_handler(ready_lifecycle(), has_backend=False).answer(b"PING").startswith(b"FAILURE")


def test_info_lists_every_class_even_without_requests() -> None:
    handler = command_handler(ready_lifecycle())
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
def test_every_received_request_is_counted_as_exactly_one_outcome(ends: list[tuple[str, int | None]]) -> None:
    counters = RequestCounters("ab")
    for _ in ends:
        counters.on_received()
    for ended, (cls, code) in enumerate(ends, 1):
        counters.on_ended(cls, code)
        assert counters.in_progress == len(ends) - ended
        assert sum(handled.total for handled in counters.handled.values()) == ended
    for cls, handled in counters.handled.items():
        codes = [code for name, code in ends if name == cls]
        assert handled.passed == codes.count(200) and handled.disconnected == codes.count(None)
        assert handled.dropped == codes.count(429) + codes.count(503)


@given(st.binary(max_size=40).filter(lambda text: b"\n" not in text), st.binary(max_size=20), st.data())
def test_a_line_is_the_same_in_chunks_of_any_size(text: bytes, more: bytes, data: st.DataObject) -> None:
    whole = text + b"\n" + more
    cuts = sorted(data.draw(st.lists(st.integers(0, len(whole)), max_size=6)))
    line = LineReader()
    for start, end in zip([0, *cuts], [*cuts, len(whole)], strict=True):
        result = line.feed(whole[start:end])
        if result is not None:
            break
    assert result == text.removesuffix(b"\r") and not line.too_long


def test_a_line_that_is_too_long_is_truncated_and_an_unterminated_one_returned() -> None:
    line = LineReader()
    assert line.feed(b"x" * MAX_COMMAND_BYTES) is None
    assert line.feed(b"x") is not None and line.too_long
    unterminated = LineReader()
    unterminated.feed(b"PIN")
    assert unterminated.finish() == b"PIN" and LineReader().finish() is None
