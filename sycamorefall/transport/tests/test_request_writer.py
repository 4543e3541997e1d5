"""Formatting of requests to upstreams."""

import h11
from hypothesis import given, strategies
import pytest

from sycamorefall.transport import request_writer

TOKENS = strategies.text("abcXYZ-09", min_size=1, max_size=12)
VALUES = strategies.text(
    strategies.characters(min_codepoint=33, max_codepoint=255).filter(
        lambda letter: letter != "\x7f" and not 128 <= ord(letter) < 160
    ),
    max_size=20,
)


@given(
    headers=strategies.lists(
        strategies.tuples(TOKENS.map(lambda name: f"X-{name}"), VALUES),
        max_size=5,
    ),
    body=strategies.binary(max_size=30),
)
def test_formatted_request_is_parsed_unchanged(headers, body):
    # Guards against an upstream that parses another request than was formatted,
    # and runs something that no caller requested.
    data = request_writer.format_request(
        "POST", "/a/b?c=d", "e:80", headers, body
    )
    reader = h11.Connection(h11.SERVER)
    reader.receive_data(data)
    head = reader.next_event()
    assert (head.method, head.target) == (b"POST", b"/a/b?c=d")
    sent = [
        (name.lower().encode(), value.encode("latin-1"))
        for name, value in headers
    ]
    length = (b"content-length", str(len(body)).encode())
    assert list(head.headers) == [(b"host", b"e:80"), length, *sent]
    found = b""
    while type(event := reader.next_event()) is h11.Data:
        found += event.data
    assert found == body and type(event) is h11.EndOfMessage
    assert reader.trailing_data == (b"", False)


@pytest.mark.parametrize("bad", ["a\r\nB: c", "a\nB: c", "a\rb", "a\0b"])
@pytest.mark.parametrize("place", ["method", "target", "host", "header"])
def test_line_break_in_a_part_is_refused(bad, place):
    # Guards against request forgery: a caller who can put a line break into a
    # part of a request could forge headers, such as the team that is charged,
    # or a whole request.
    parts = {
        "method": "GET",
        "target": "/",
        "host": "a",
        "header": "v",
    } | {place: bad}
    with pytest.raises(ValueError, match="malformed"):
        request_writer.format_request(
            parts["method"],
            parts["target"],
            parts["host"],
            [("X", parts["header"])],
            b"",
        )


def test_read_without_body_has_no_length():
    # Guards against services that wait for a body if a read has a length.
    assert b"Length" not in request_writer.format_request(
        "GET", "/", "a", [], b""
    )
    assert b"Length: 0" in request_writer.format_request(
        "POST", "/", "a", [], b""
    )
