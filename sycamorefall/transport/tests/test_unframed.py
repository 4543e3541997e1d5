"""Ends of responses that have neither a length nor chunks, for HTTP/1.0."""

import contextlib
import socket

import pytest

from sycamorefall.transport.tests import test_server

GET = b"GET /stream HTTP/1.0\r\nHost: a\r\n\r\n"

LARGE = b"x" * (1 << 22)
"""More bytes than the kernel buffers for a caller that doesn't read."""


def open_stream(site):
    """Begins a response to a new caller; returns its connection and call."""
    caller = site.connect()
    caller.sendall(GET)
    known = len(site.calls)
    site.run_until(lambda: len(site.calls) > known)
    call = site.calls[-1]
    call.begin(200)
    return caller, call


def read_to_end(site, caller):
    """Reads to the end; returns the body and whether the end was in order."""
    parts = []

    def check():
        with contextlib.suppress(BlockingIOError):
            parts.append(caller.recv(1 << 20))
            return not parts[-1]
        return False

    try:
        site.run_until(check)
    except ConnectionResetError:
        return b"".join(parts).partition(b"\r\n\r\n")[2], False
    return b"".join(parts).partition(b"\r\n\r\n")[2], True


@pytest.mark.parametrize("size", [0, 10, len(LARGE)])
@pytest.mark.parametrize("half_closes", [False, True])
def test_complete_response_ends_in_order(size, half_closes):
    # Guards against a reset that cuts a whole response, also to a caller that
    # reads late, or has closed its side of the connection.
    site = test_server.Site()
    caller, call = open_stream(site)
    call.write(LARGE[:size])
    call.end()
    if half_closes and size == len(LARGE):
        caller.shutdown(socket.SHUT_WR)
    for _ in range(20):
        site.loop.tick(0.001)
    assert read_to_end(site, caller) == (LARGE[:size], True)
    assert site.exceptions == []


@pytest.mark.parametrize("size", [0, 10, len(LARGE)])
def test_aborted_response_ends_with_a_reset(size):
    # Guards against a broken response that looks complete to a caller that gets
    # no chunks.
    site = test_server.Site()
    caller, call = open_stream(site)
    call.write(LARGE[:size])
    call.abort()
    assert not read_to_end(site, caller)[1]
    assert site.exceptions == []


def test_response_that_is_not_received_in_time_ends_with_a_reset():
    # Guards against the rest of a response that is dropped with its connection
    # when its caller reads too slowly.
    site = test_server.Site(header_timeout=20.0)
    caller, call = open_stream(site)
    call.write(LARGE)
    call.end()
    site.run_until(lambda: site.server.find_next_due() == 20.0)
    site.advance(20.0)
    body, in_order = read_to_end(site, caller)
    assert len(body) < len(LARGE)
    assert not in_order
    assert site.exceptions == []
