"""Streamed responses arrive complete and in order, also at slow callers."""

import contextlib
import socket

import h11
import pytest

from sycamorefall import settings, transport

LIMITS = settings.LimitSettings()
PIECES = [b"data: %d\n\n" % index * 500 for index in range(1000)]


@pytest.fixture
def served():
    """A loop, its server, and the list of calls that the server received."""
    calls = []
    loop = transport.create_loop(lambda _: None)
    address = settings.Address("127.0.0.1", 0)
    server = transport.HttpServer(address, LIMITS, calls.append).register(loop)
    loop.flush()
    yield loop, server, calls
    server.server._sock.close()


def open_call(loop, server, calls):
    """Sends a request; returns its caller's socket and the call."""
    caller = socket.create_connection((server.host, server.port))
    caller.sendall(b"GET /x HTTP/1.1\r\nHost: here\r\n\r\n")
    call_count = len(calls)
    run_until(loop, lambda: len(calls) > call_count)
    caller.setblocking(False)
    return caller, calls[-1]


def run_until(loop, check):
    """Runs passes of the loop until a check holds."""
    loop._running = True
    for _ in range(100_000):
        if check():
            return
        loop.tick(0.01)
    pytest.fail("the condition was never met")


def read_response(loop, caller):
    """Reads a response to its end; returns its body and the last event."""
    parser = h11.Connection(h11.CLIENT)
    parser.send(h11.Request(method="GET", target="/x", headers=[("host", "h")]))
    parser.send(h11.EndOfMessage())
    body, ends = [], []

    def read() -> bool:
        try:
            parser.receive_data(caller.recv(1 << 16))
        except BlockingIOError:
            return False
        try:
            while (event := parser.next_event()) is not h11.NEED_DATA:
                if isinstance(event, h11.Data):
                    body.append(bytes(event.data))
                elif not isinstance(event, h11.Response):
                    ends.append(type(event))
                    return True
        except h11.RemoteProtocolError:
            ends.append(None)
            return True
        return False

    run_until(loop, read)
    return b"".join(body), ends[0]


def test_slow_caller_gets_all_pieces_in_order(served):
    """Guards against losing or reordering bytes that a full socket refuses.

    A caller stops reading while its response streams; the socket buffer fills
    up and a piece is sent in part. Later pieces must wait for its rest.
    """
    loop, server, calls = served
    caller, call = open_call(loop, server, calls)
    drained = []
    call.on_drained = lambda: drained.append(True)
    call.begin(200)
    for piece in PIECES:
        call.write(piece)
    assert call.unsent_bytes > 0
    call.end()
    body, end = read_response(loop, caller)
    assert body == b"".join(PIECES)
    assert end is h11.EndOfMessage


def test_drained_connection_is_reported(served):
    """Guards against a source that stays paused when the caller caught up."""
    loop, server, calls = served
    caller, call = open_call(loop, server, calls)
    drained = []
    call.on_drained = lambda: drained.append(call.unsent_bytes)
    call.begin(200)
    for piece in PIECES:
        call.write(piece)

    def read() -> bool:
        with contextlib.suppress(BlockingIOError):
            caller.recv(1 << 16)
        return bool(drained)

    run_until(loop, read)
    assert drained[0] == 0


def test_connection_is_reused_after_a_streamed_response(served):
    """Guards against reusing the last response's head for the next request."""
    loop, server, calls = served
    caller, call = open_call(loop, server, calls)
    call.begin(200)
    call.end()
    read_response(loop, caller)
    caller.setblocking(True)
    caller.sendall(b"GET /y HTTP/1.1\r\nHost: here\r\n\r\n")
    run_until(loop, lambda: len(calls) == 2)
    assert calls[1].path == "/y"
    calls[1].begin(201)
    calls[1].end()
    caller.setblocking(False)
    assert read_response(loop, caller) == (b"", h11.EndOfMessage)


def test_aborted_response_is_incomplete(served):
    """Guards against an aborted response that the caller sees as complete.

    The upstream fails while pieces for a slow caller are unsent: they are sent,
    then the connection closes without the last chunk.
    """
    loop, server, calls = served
    caller, call = open_call(loop, server, calls)
    call.begin(200)
    for piece in PIECES:
        call.write(piece)
    call.abort()
    body, end = read_response(loop, caller)
    assert body == b"".join(PIECES)
    assert end is None
