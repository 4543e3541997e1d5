"""Parsing of requests: any input gives a request, a refusal or nothing yet."""

from hypothesis import given
from hypothesis import strategies as st
import pytest

from sycamorefall import errors, settings
from sycamorefall.transport import request_reader

LIMITS = settings.LimitSettings(max_body_bytes=64, max_header_bytes=512)
HEAD = b"POST /x?y=1 HTTP/1.1\r\nHost: a\r\n"
MALFORMED = errors.ErrorKind.MALFORMED_REQUEST


def read(data, limits=LIMITS):
    reader = request_reader.RequestReader(limits)
    reader.feed(data)
    return reader, reader.parse_request()


@pytest.mark.parametrize(
    ("data", "kind"),
    [
        (b"nonsense\r\n\r\n", MALFORMED),
        (b"GET / HTTP/1.1\r\n\r\n", MALFORMED),
        (b"GET /\xff HTTP/1.1\r\nHost: a\r\n\r\n", MALFORMED),
        (b"GET http://[ HTTP/1.1\r\nHost: a\r\n\r\n", MALFORMED),
        (HEAD + b"Content-Length: -1\r\n\r\n", MALFORMED),
        (HEAD + b"Content-Length: 1\r\nContent-Length: 2\r\n\r\n", MALFORMED),
        (
            HEAD + b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n",
            MALFORMED,
        ),
        (HEAD + b"Transfer-Encoding: chunked\r\n\r\nzz\r\n", MALFORMED),
        (HEAD + b"A: b\r\n" * 200, errors.ErrorKind.HEADERS_TOO_LARGE),
        (
            HEAD + b"Content-Length: 65\r\n\r\n",
            errors.ErrorKind.BODY_TOO_LARGE,
        ),
        (
            HEAD + b"Transfer-Encoding: chunked\r\n\r\n41\r\n" + b"a" * 65,
            errors.ErrorKind.BODY_TOO_LARGE,
        ),
    ],
)
def test_invalid_input_is_refused_by_kind(data, kind):
    _, parsed = read(data)
    assert parsed is kind


def test_escapes_in_headers_stay_as_sent():
    """Guards against forged headers by escape sequences in a header value.

    A caller sends `X-Request-Id: a\\r\\nCookie: b` with the escapes spelled
    out; a parser that decodes them would pass two headers to the upstream.
    """
    _, parsed = read(HEAD + b"X-Request-Id: a\\r\\nCookie: b\r\n\r\n")
    assert parsed.headers.get("x-request-id") == "a\\r\\nCookie: b"
    assert parsed.headers.get("cookie") is None


def test_pipelined_bytes_belong_to_the_next_request():
    """Guards against mixing up two requests in one packet.

    A client sends its second request directly after the first one's body. A
    parser that treats all bytes as the body would run the first request with
    bytes of the second and lose the second.
    """
    first = HEAD + b"Content-Length: 3\r\n\r\nabc"
    reader, parsed = read(first + b"GET /2 HTTP/1.1\r\nHost: a\r\n\r\n")
    assert (parsed.body, parsed.path, parsed.query) == (b"abc", "/x", "y=1")
    assert reader.start_next()
    assert reader.parse_request().path == "/2"


def test_pipelined_request_arrived_with_its_own_first_byte():
    """Guards against a time left that counts from the previous answer.

    A client sends several requests one after the other. Each waits for the
    answers before it, and its client's time runs meanwhile.
    """
    second, third = HEAD + b"\r\n", b"GET /3 HTTP/1.1\r\nHost: a\r\n\r\n"
    reader = request_reader.RequestReader(settings.LimitSettings())
    reader.feed(HEAD + b"\r\n" + second[:4], 1.0)
    reader.feed(second[4:], 2.0)
    reader.feed(third, 3.0)
    arrivals = [reader.parse_request().arrived_after]
    while reader.start_next():
        arrivals.append(reader.parse_request().arrived_after)
    assert arrivals == [1.0, 1.0, 3.0]


pieces = st.one_of(
    st.binary(max_size=12),
    st.sampled_from(
        [
            b"POST / HTTP/1.1\r\n",
            b"GET /a HTTP/1.0\r\n",
            b"Host: a\r\n",
            b"Content-Length: 3\r\n",
            b"Transfer-Encoding: chunked\r\n",
            b"Expect: 100-continue\r\n",
            b"Connection: close\r\n",
            b"\r\n",
            b"abc",
            b"3\r\nabc\r\n",
            b"0\r\n\r\n",
        ]
    ),
)


@given(st.lists(pieces, max_size=12))
def test_any_input_gives_a_request_a_kind_or_nothing(parts):
    reader = request_reader.RequestReader(LIMITS)
    for part in parts:
        if part:
            reader.feed(part)
        parsed = reader.parse_request()
        if isinstance(parsed, errors.ErrorKind):
            return
        if parsed is not None:
            reader.start_next()
