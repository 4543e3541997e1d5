"""Ends of streams: every cut, every way of ending and of reading in pieces."""

import itertools
import math
import types

from hypothesis import HealthCheck, given, settings, strategies
import pytest
from returns import result

from sycamorefall import transport
from sycamorefall.direct import dialects, relay, streams
from sycamorefall.direct.tests import fakes

BYTE_ORDER_MARK = b"\xef\xbb\xbf"

HEADERS = [("content-type", "text/event-stream")]


@pytest.fixture(autouse=True)
def stopped_clock(monkeypatch):
    monkeypatch.setattr(transport, "read_clock", lambda: 0.0)


def format_event(number, line_end):
    lines = (b"id: %d" % number, b"data: " + b"x" * number, b": note")
    return line_end.join(lines) + 2 * line_end


@strategies.composite
def draw_streams(draw):
    """Draws a stream; returns its bytes and the places between its events."""
    line_end = draw(strategies.sampled_from((b"\n", b"\r\n", b"\r")))
    has_comment = draw(strategies.lists(strategies.booleans(), min_size=1))
    text = draw(strategies.sampled_from((b"", BYTE_ORDER_MARK)))
    between = set()
    for number, comments in enumerate(has_comment, 1):
        text += format_event(number, line_end)
        between.add(len(text))
        if comments:
            text += b": alive" + line_end
            between.add(len(text))
    return text, between


def split(text, cuts):
    edges = sorted({0, len(text), *(cut for cut in cuts if cut < len(text))})
    return [text[a:b] for a, b in itertools.pairwise(edges)]


CUTS = strategies.lists(strategies.integers(0, 120), max_size=8)


@settings(suppress_health_check=[HealthCheck.function_scoped_fixture])
@given(draw_streams(), CUTS, strategies.data())
def test_end_is_between_events_only_after_an_event(stream, pieces, data):
    # Guards against a broken stream that looks whole, and against a whole one
    # that looks broken, depending on line ends, comments and packets.
    text, between = stream
    cut = data.draw(strategies.integers(0, len(text)))
    splitter = streams.EventSplitter()
    passed = b"".join(
        streams.split_events(splitter, piece)
        for piece in split(text[:cut], pieces)
    )
    is_between = streams.classify_end(splitter) is (
        streams.StreamEnd.BETWEEN_EVENTS
    )
    assert is_between == (cut in between)
    assert not passed or len(passed) in between
    assert passed + streams.flush_rest(splitter) == text[:cut]


class Caller:
    """A call that records what its caller receives."""

    def __init__(self):
        self.method, self.target, self.body = "GET", "/draft/x", b""
        self.headers = {}
        self.response_started = self.ended = self.aborted = False
        self.received = b""
        self.error = None
        self.unsent_bytes = 0
        self.arrived_after = math.inf

    def begin(self, status, headers):
        self.response_started = True

    def write(self, data):
        self.received += data

    def end(self):
        self.ended = True

    def abort(self):
        self.aborted = True

    def fail(self, kind, **details):
        self.error = kind


class Router:
    """A router with one request in progress at a fake upstream."""

    def __init__(self, route):
        self.caller = Caller()
        self.exchange = types.SimpleNamespace(ended_at_close=False)
        self.listeners = []
        dialect = dialects.Dialect(
            read_request=lambda _: result.Success(fakes.create_request(route)),
            read_request_id=lambda _: "1",
            write_headers=lambda _, send, last: (),
            is_matching_response=lambda _, headers: True,
            read_response_head=lambda status, headers: dialects.ResponseHead(
                dialects.ResponseOutcome.SUCCESS, status, ()
            ),
        )
        self.aborted = []
        client = types.SimpleNamespace(
            send=self.send,
            check_reachable=lambda *_: None,
            abort=self.aborted.append,
        )
        self.proxy = relay.Proxy(fakes.create_state(), client, dialect)
        relay.handle_call(self.proxy, self.caller)

    def send(self, _, listener):
        self.listeners.append(listener)
        return self.exchange

    def respond(self, pieces, is_reset, at_close, headers=HEADERS):
        """Sends a response over the last attempt's connection and ends it."""
        listener = self.listeners[-1]
        listener.on_head(200, headers)
        for piece in pieces:
            listener.on_data(piece)
        if is_reset:
            listener.on_failure(transport.SendStage.SENT)
        else:
            self.exchange.ended_at_close = at_close
            listener.on_end()


@pytest.mark.parametrize("line_end", [b"\n", b"\r\n", b"\r"])
@pytest.mark.parametrize("is_reset", [False, True])
@pytest.mark.parametrize("size", [1, 7, 1000])
def test_every_cut_of_a_stream_is_told_from_its_end(line_end, is_reset, size):
    # Guards against a broken stream that its router ends as complete, and
    # against part of an event that leaves, at any byte.
    events = [format_event(number, line_end) for number in (1, 2, 3)]
    text = b"".join(events)
    between = set(itertools.accumulate(map(len, events)))
    for cut in range(len(text) + 1):
        router = Router("draft")
        pieces = [text[a : a + size] for a in range(0, cut, size)]
        pieces[-1:] = [piece[: cut % size or size] for piece in pieces[-1:]]
        router.respond(pieces, is_reset, at_close=True)
        caller = router.caller
        assert caller.ended == (cut in between and not is_reset), cut
        assert (caller.aborted or caller.error is not None) != caller.ended
        assert caller.aborted == (caller.response_started and not caller.ended)
        known = [end for end in between if end <= cut]
        assert caller.received == text[: max(known, default=0)]


def test_framed_stream_without_events_is_complete():
    # Guards against breaking off the answer to a request for the rest of a
    # stream of which nothing is left.
    router = Router("draft")
    router.respond([], is_reset=False, at_close=False)
    assert router.caller.ended


def test_response_of_another_media_type_is_no_stream():
    # Guards against breaking off an answer on a streaming route that isn't an
    # event stream.
    router = Router("draft")
    headers = [("content-type", "application/json")]
    router.respond([b'{"a": 1}'], False, at_close=True, headers=headers)
    assert router.caller.ended
    assert router.caller.received == b'{"a": 1}'


def test_crash_is_suspected_after_an_end_inside_an_event(monkeypatch):
    # Guards against crashes that leave no evidence, as the kernel closes the
    # connections of a crashed process in order.
    router = Router("draft")
    checked = []
    monkeypatch.setattr(
        router.proxy.client,
        "check_reachable",
        lambda address, on_result: checked.append(address),
    )
    router.respond([b"id: 1\n"], is_reset=False, at_close=True)
    assert len(checked) == 1


@pytest.mark.parametrize("piece", [b"x" * 65536, b"x\n" * 1000, b"\0" * 500])
@pytest.mark.parametrize("events", [b"", b"id: 1\ndata: a\n\n"])
def test_bytes_without_end_that_are_no_event_are_given_up(piece, events):
    # Guards against a router that holds what an upstream sends until its VM has
    # no memory left, as no event is ever complete.
    router = Router("draft")
    listener = router.listeners[-1]
    listener.on_head(200, HEADERS)
    listener.on_data(events)
    held = 0
    while not router.aborted:
        assert held <= relay.MAX_EVENT_BYTES
        listener.on_data(piece)
        held += len(piece)
    assert router.aborted == [router.exchange]
    assert router.caller.received == events
    assert router.caller.aborted == bool(events)
    assert (router.caller.error is None) == bool(events)
    assert not router.caller.ended


def test_plain_response_without_end_is_given_up():
    # Guards against the same by a response that is forwarded only when it is
    # complete.
    router = Router("look")
    listener = router.listeners[-1]
    listener.on_head(200, [])
    sent = 0
    while not router.aborted:
        assert sent <= relay.MAX_BUFFERED_BYTES
        listener.on_data(b"x" * 65536)
        sent += 65536
    assert not router.caller.ended
    recorder = router.proxy.recorder
    assert recorder.events["response_too_large", ""] == 1
