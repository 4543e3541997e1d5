"""Memory that a parser holds for a request that arrives in small pieces."""

import tracemalloc

import pytest

from sycamorefall import settings
from sycamorefall.transport import request_reader, server

LIMITS = settings.LimitSettings(max_body_bytes=100_000, max_header_bytes=4096)

MAX_HELD = 100_000 + 4096 + server.READ_SIZE
"""Bytes that a request inside the limits and one read may take."""


def measure_held(data, piece_size):
    """Feeds a request in pieces; returns the bytes that its reader holds."""
    tracemalloc.start()
    reader = request_reader.RequestReader(LIMITS)
    before, _ = tracemalloc.get_traced_memory()
    for start in range(0, len(data), piece_size):
        reader.feed(data[start : start + piece_size], float(start))
        assert reader.parse_request() is None
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return after - before


@pytest.mark.parametrize("piece_size", [1, 700])
@pytest.mark.parametrize("chunk_size", [1, 2, 7, 100])
def test_request_in_small_pieces_takes_no_more_than_its_limits(
    piece_size, chunk_size
):
    # Guards against an object kept for each chunk or for each read.
    chunk = b"%x\r\n" % chunk_size + b"x" * chunk_size + b"\r\n"
    data = b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
    data += chunk * (30_000 // chunk_size)
    assert measure_held(data, piece_size) <= MAX_HELD


def test_body_that_arrives_byte_by_byte_takes_no_more_than_its_limits():
    # The same for a body with a length.
    data = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 90000\r\n\r\n"
    assert measure_held(data + b"x" * 80_000, 1) <= MAX_HELD


@pytest.mark.parametrize(
    "lines",
    [
        [f"{number:04x}:{number:04x}" for number in range(5000)],
        [f"{number % 16:x}:" for number in range(9000)],
        [f"{number:02x}:{'v' * 1000}" for number in range(60)],
        [f"long:{'v' * 60_000}"],
    ],
    ids=["small", "tiny", "long", "one"],
)
@pytest.mark.parametrize("is_complete", [False, True])
def test_counted_memory_covers_what_a_head_takes(lines, is_complete):
    # Guards against heads that take more than the account of memory counts,
    # by the number of their headers or by their text.
    limits = settings.LimitSettings(max_header_bytes=1 << 16)
    head = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n"
    text = head + "".join(f"{line}\r\n" for line in lines) + "\r\n"
    data = text.encode() + b"x" * is_complete
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    reader = request_reader.RequestReader(limits)
    reader.feed(data)
    request = reader.parse_request()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert (request is not None) == is_complete
    # What any connection takes is part of its caller's memory.
    assert after - before <= reader.held_memory + 8192
