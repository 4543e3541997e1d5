"""The HTTP server with input that takes long to parse, or answers unread."""

from sycamorefall.transport import request_reader
from sycamorefall.transport import server as server_module
from sycamorefall.transport.tests import test_server

CHUNKED = b"POST /%s HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
TINY_CHUNK = b"1\r\nx\r\n"
READ_CHUNKS = 8000
"""Tiny chunks that fit into one read."""


def test_request_between_tiny_chunks_is_served_before_they_are_parsed(
    monkeypatch,
):
    # Guards against callers that wait while the bodies of others are parsed:
    # one read of such a body took a tenth of a second.
    site = test_server.Site()
    parsed = []
    parse_request = request_reader.RequestReader.parse_request

    def parse(reader, *limits):
        before = reader.received
        result = parse_request(reader, *limits)
        parsed.append(reader.received - before)
        # As many microseconds as a part takes.
        site.now += 1e-5 * parsed[-1]
        return result

    monkeypatch.setattr(request_reader.RequestReader, "parse_request", parse)
    slow = [site.connect() for _ in range(10)]
    ordinary = site.connect()
    site.run_until(lambda: len(site.server._connections) == 11)
    for caller in slow:
        caller.sendall(CHUNKED % b"slow" + TINY_CHUNK * READ_CHUNKS)
    ordinary.sendall(test_server.GET % b"now")
    assert b"now" in site.read(ordinary, b"now")
    assert sum(parsed) < READ_CHUNKS, "fewer than one read of ten holds"
    assert max(parsed) < 100
    for caller in slow:
        caller.sendall(b"0\r\n\r\n")
    site.run_until(lambda: len(site.calls) == 11)
    bodies = {call.body for call in site.calls if call.path == "/slow"}
    assert bodies == {b"x" * READ_CHUNKS}
    for caller in (*slow, ordinary):
        caller.close()


def test_largest_body_in_small_chunks_with_trailers_is_unchanged():
    # Guards against a bound that a sound request meets: the largest allowed
    # body, in small chunks with extensions, with trailers, in small segments.
    size = 30_000
    site = test_server.Site(max_body_bytes=size, max_header_bytes=4096)
    site.server.memory.max_memory = 1.0
    site.server.memory.caller_memory = 1.0
    body = bytes(number % 251 for number in range(size))
    chunks = b"".join(
        b"3;note=a\r\n%b\r\n" % body[start : start + 3]
        for start in range(0, size, 3)
    )
    caller = site.connect()
    sent = CHUNKED % b"sound" + chunks + b"0\r\nTrailer: t\r\n\r\n"
    for start in range(0, len(sent), 977):
        caller.sendall(sent[start : start + 977])
        site.loop.tick(0.0)
    (call,) = site.run_until(lambda: site.calls)
    assert call.body == body
    caller.close()


def test_next_request_waits_until_the_answers_before_it_are_sent():
    # Guards against a caller that sends many short requests and reads nothing:
    # the answers to all of them were held.
    site = test_server.Site()
    page = b"p" * 100_000
    caller = site.connect()
    caller.sendall((test_server.GET % b"page") * 900)
    answered = 0

    def answer():
        nonlocal answered
        for call in site.calls[answered:]:
            call.respond(200, page)
            answered += 1

    for _ in range(test_server.MAX_PASSES):
        site.loop.tick(0.0)
        answer()
    (sock,) = site.server._connections
    held = site.server.count_unsent(sock)
    assert held <= len(page) + 1000 + server_module.MAX_UNSENT
    received = 0

    def read():
        nonlocal received
        answer()
        try:
            received += len(caller.recv(1 << 20))
        except BlockingIOError:
            return False
        return received >= 900 * len(page)

    for _ in range(100):
        for _ in range(test_server.MAX_PASSES):
            site.loop.tick(0.0)
            if read():
                break
    assert answered == 900
    caller.close()


def test_ordinary_request_finds_room_when_others_hold_all_memory():
    # Guards against an ordinary caller that is refused for what others hold,
    # and against stalled bodies that keep all room until their time limit.
    site = test_server.Site(max_body_bytes=1 << 20)
    site.server.memory.max_memory = 900_000
    head = b"POST /%b HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n"
    stalled = site.connect()
    stalled.sendall(head % (b"stalled", 400_000) + b"x" * 100)
    site.run_until(lambda: site.server.memory.held)
    ordinary = site.connect()
    ordinary.sendall(head % (b"now", 600) + b"y" * 600)
    assert b" 200 " in site.read(ordinary, b"now")
    early = site.connect()
    early.sendall(head % (b"early", 300_000) + b"x")
    assert b" 503 " in site.read(early, b"}}")
    site.now += 1.5
    late = site.connect()
    late.sendall(head % (b"late", 300_000) + b"y" * 300_000)
    site.run_until(lambda: len(site.calls) == 2)
    assert b" 503 " in site.read(stalled, b"}}")
    for caller in (stalled, ordinary, early, late):
        caller.close()


def test_answers_that_nobody_takes_are_cut_though_nothing_else_happens():
    # Guards against answers that were too new to be cut as memory ran short,
    # and that were held until their idle time as no one wrote any more.
    site = test_server.Site()
    site.server.memory.max_memory = 9_000_000
    callers = [site.connect() for _ in range(4)]
    for caller in callers:
        caller.sendall(test_server.GET % b"page")
    site.run_until(lambda: len(site.calls) == 4)
    for call in site.calls:
        call.respond(200, b"p" * 10_000_000)
    for _ in range(20):
        site.loop.tick(0.0)
    assert len(site.server._connections) == 4
    assert site.server.memory.is_exceeded()
    due = site.server.find_next_due()
    assert due <= 1.0
    site.now = due
    site.server.expire(site.now)
    for _ in range(20):
        site.loop.tick(0.0)
    assert not site.server.memory.is_exceeded()
    for caller in callers:
        caller.close()
    site.run_until(lambda: not site.server._connections)
    assert site.server.memory.held == 0
    assert site.server.memory.callers == 0
