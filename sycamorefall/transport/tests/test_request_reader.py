"""Reading of requests: any bytes give a request, a refusal or nothing yet."""

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
    return reader, reader.take()


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
def test_unusable_input_is_refused_by_kind(data, kind):
    _, taken = read(data)
    assert taken is kind


def test_escapes_in_headers_stay_as_sent():
    """A header value with a written-out line break forges no header.

    A caller sends `X-Request-Id: a\\r\\nCookie: b` with the escapes spelled
    out; a parser that decodes them hands two headers to the upstream.
    """
    _, taken = read(HEAD + b"X-Request-Id: a\\r\\nCookie: b\r\n\r\n")
    assert taken.headers.get("x-request-id") == "a\\r\\nCookie: b"
    assert taken.headers.get("cookie") is None


def test_pipelined_bytes_belong_to_the_next_request():
    """Two requests in one packet stay two.

    A client sends its second request right behind the first one's body; a
    parser that takes all it has for the body runs the first with bytes of
    the second and loses that one.
    """
    first = HEAD + b"Content-Length: 3\r\n\r\nabc"
    reader, taken = read(first + b"GET /2 HTTP/1.1\r\nHost: a\r\n\r\n")
    assert (taken.body, taken.path, taken.query) == (b"abc", "/x", "y=1")
    assert reader.start_next()
    assert reader.take().path == "/2"


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
        taken = reader.take()
        if isinstance(taken, errors.ErrorKind):
            return
        if taken is not None:
            reader.start_next()
