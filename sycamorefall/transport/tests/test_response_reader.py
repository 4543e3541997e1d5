"""Answers read from a connection's bytes: whole, broken, or one too many."""

from hypothesis import given, strategies
import pytest

from sycamorefall.transport import response_reader

OK = b"HTTP/1.1 200 OK\r\n"


def read(*parts, **kinds):
    """Feeds some bytes; gives the reader and what they told."""
    reader = response_reader.AnswerReader(**kinds)
    events = [event for part in parts for event in reader.feed(part)]
    return reader, events


def list_bodies(events):
    """Joins the pieces between the heads."""
    bodies = []
    for event in events:
        if isinstance(event, response_reader.AnswerHead):
            bodies.append(b"")
        elif isinstance(event, bytes):
            bodies[-1] += event
    return bodies


def is_whole(events):
    return bool(events) and events[-1] is response_reader.END


CHUNKED = b"".join(
    (
        OK,
        b"Transfer-Encoding: chunked\r\n\r\n",
        b"3\r\nabc\r\n5;x=1\r\ndefgh\r\n0\r\n\r\n",
    )
)


@given(cuts=strategies.lists(strategies.integers(0, len(CHUNKED)), max_size=5))
def test_answer_is_the_same_however_it_is_cut(cuts):
    # The network cuts an answer anywhere; the caller's must be the same.
    edges = [0, *sorted(cuts), len(CHUNKED)]
    parts = [CHUNKED[a:b] for a, b in zip(edges, edges[1:], strict=False)]
    reader, events = read(*parts)
    assert list_bodies(events) == [b"abcdefgh"]
    assert is_whole(events)
    assert reader.keep_alive and reader.is_between


def test_bytes_beyond_an_answer_spoil_the_connection():
    # An upstream sends more than it announced. On a kept connection another
    # caller would get it as the answer to its request.
    reader, events = read(OK + b"Content-Length: 3\r\n\r\nabcXY")
    assert list_bodies(events) == [b"abc"]
    assert is_whole(events), "the answer itself is whole"
    assert not reader.is_between


def test_second_answer_is_told_apart():
    # An upstream answers an earlier request once more, just before the next
    # answer. Which of them is whose, only their headers say.
    first = OK + b"Id: a\r\nContent-Length: 1\r\n\r\n1"
    second = OK + b"Id: b\r\nContent-Length: 1\r\n\r\n2"
    reader, events = read(first + second)
    heads = [
        one for one in events if isinstance(one, response_reader.AnswerHead)
    ]
    assert [dict(head.headers)["id"] for head in heads] == ["a", "b"]
    assert list_bodies(events) == [b"1", b"2"]
    assert reader.is_between


def test_answer_without_a_length_ends_with_its_connection():
    # It is whole once the upstream closes; until then it is not.
    reader, events = read(OK + b"\r\nabc", b"def")
    assert list_bodies(events) == [b"abcdef"]
    assert not is_whole(events)
    assert reader.finish()


@pytest.mark.parametrize(
    "cut",
    [
        OK + b"Content-Length: 5\r\n\r\nabc",
        OK + b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
        OK + b"Content-Le",
        b"",
    ],
)
def test_answer_that_breaks_off_is_not_whole(cut):
    # An upstream crashes in the middle of an answer. A caller that takes it
    # for whole acts on half of it.
    reader, events = read(cut)
    assert not is_whole(events)
    assert not reader.finish()


@pytest.mark.parametrize(
    "head",
    [
        b"Content-Length: 3\r\nContent-Length: 4",
        b"Content-Length: 3\r\nTransfer-Encoding: chunked",
        b"Content-Length: -1",
        b"Transfer-Encoding: gzip",
        b"X : a",
        b"X: a\x00b",
    ],
)
def test_head_that_has_two_meanings_is_refused(head):
    # Two readers would see other ends of the answer, and bytes of one
    # caller's would become another's.
    reader, events = read(OK + head + b"\r\n\r\nabc")
    assert reader.is_broken
    assert not is_whole(events)


def test_head_without_end_is_refused():
    # An upstream sends a header that never ends; the process must not keep it
    # all in memory.
    reader, _ = read(OK + b"X: ", *[b"a" * 1000] * 70)
    assert reader.is_broken


def test_interim_answer_is_passed_over():
    # An upstream says that it goes on, then answers.
    interim = b"HTTP/1.1 100 Continue\r\n\r\n"
    reader, events = read(interim + OK + b"Content-Length: 1\r\n\r\n1")
    assert events[0].status == 200
    assert list_bodies(events) == [b"1"] and is_whole(events)


def test_answer_to_a_question_for_the_head_has_no_body():
    # It announces the length that the body would have.
    _, events = read(OK + b"Content-Length: 9\r\n\r\n", is_bodiless=True)
    assert is_whole(events) and list_bodies(events) == [b""]


@given(data=strategies.binary(max_size=200))
def test_nothing_that_comes_stops_the_reader(data):
    # Whatever an upstream sends, it is read or found broken.
    for start in (b"", OK, CHUNKED[:40]):
        read(start, data)
