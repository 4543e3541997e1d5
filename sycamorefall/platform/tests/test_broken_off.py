"""Responses that break off, as HTTP libraries of callers see them."""

import concurrent.futures
import contextlib
import http.client
import itertools
import re
import time

import pytest

from standins import site as site_module
from standins import wire_upstream
from sycamorefall.observation import request_explanation
from sycamorefall.platform.tests.router_client import (
    LONG_STARTED,
    PROMPT,
    read_metric,
)

EVENT_COUNT = 5

_numbers = itertools.count(1)


@pytest.fixture
def engine(site):
    made = site.add_upstream("e1", "engine")
    made.event_interval = 0.001
    return made


@pytest.fixture
def router(site, engine):
    return site.add_router(extra_settings=LONG_STARTED)


def read_response(router, path="/draft/x", version=11, prompt=PROMPT):
    """Reads a response as a caller of HTTP/1.0 or 1.1.

    Returns:
        Status, received body, and whether the HTTP library takes the response
        for complete.
    """
    connection = http.client.HTTPConnection("127.0.0.1", router.data, timeout=9)
    connection._http_vsn = version
    connection._http_vsn_str = f"HTTP/1.{version % 10}"
    headers = {
        "Host": "site.example",
        "Attempt-Id": f"{next(_numbers):016x}",
        "Request-Deadline-Ms": "4000",
        "Credential": "k-mill",
    }
    headers |= prompt
    body = b""
    with contextlib.closing(connection):
        connection.request("GET", path, None, headers)
        response = connection.getresponse()
        try:
            while piece := response.read1():
                body += piece
        except (http.client.HTTPException, OSError):
            return response.status, body, False
        return response.status, body, True


def list_cuts(engine):
    """Lists sizes of a body that ends inside one of its first three events."""
    events = [
        len(engine._format_event(f"{0:016x}", number)) for number in range(1, 4)
    ]
    ends = list(itertools.accumulate(events))
    inside = (1, 7, events[0] - 2, events[0] - 1)
    return [start + size for start in (0, *ends[:-1]) for size in inside]


def list_faulty_cuts(router, engine, version=11):
    """Lists cuts after which a stream looks whole or has part of an event."""
    faulty = []
    for cut in list_cuts(engine):
        engine.break_at = cut
        status, body, whole = read_response(router, version=version)
        if status == 200 and (whole or not body.endswith(b"\n\n")):
            faulty.append(cut)
    return faulty


def test_stream_that_ends_inside_an_event_does_not_look_whole(router, engine):
    # Guards against a short answer that looks complete: its upstream sends
    # neither a length nor chunks, and closes the connection inside an event.
    engine.framing = wire_upstream.Framing.CLOSE
    assert list_faulty_cuts(router, engine) == []


def test_caller_of_http_1_0_sees_that_a_stream_broke_off(router, engine):
    # Guards against a short answer that looks complete to callers that get no
    # chunks, so that only the end of their connection tells them of a break.
    for framing, reset in itertools.product(
        wire_upstream.Framing, (False, True)
    ):
        engine.framing, engine.reset = framing, reset
        assert list_faulty_cuts(router, engine, version=10) == []


def test_caller_of_http_1_0_sees_that_its_router_was_killed(router, engine):
    # Guards against a short answer that looks complete because the kernel
    # closes the connections of a process that ends in order.
    engine.event_interval = 0.4
    with concurrent.futures.ThreadPoolExecutor(1) as pool:
        reading = pool.submit(read_response, router, version=10)
        site_module.wait_until(lambda: engine.runs)
        time.sleep(0.6)
        router.process.kill()
        status, body, whole = reading.result()
    assert (status, whole) == (200, False)
    assert body.endswith(b"\n\n")


@pytest.mark.parametrize("number", [0, 3, 4, 11])
def test_stream_that_ends_inside_an_event_goes_on_elsewhere(
    site, engine, number
):
    # Guards against a broken stream that isn't resumed, as its upstream seems
    # to have answered.
    site.add_upstream("e2", "engine")
    router = site.add_router(extra_settings=LONG_STARTED)
    engine.framing = wire_upstream.Framing.CLOSE
    engine.break_at = list_cuts(engine)[number]
    for part in itertools.count(1):
        # Prompts of their own, as the home of a prompt may be the other engine.
        prompt = PROMPT | {"Prompt-Prefix": f"{part:x}:800,b{part:x}:300"}
        status, body, whole = read_response(router, "/answer/x", prompt=prompt)
        assert (status, whole) == (200, True)
        ids = re.findall(rb"^id: (\d+)$", body, re.MULTILINE)
        assert ids == [b"%d" % n for n in range(1, EVENT_COUNT + 1)]
        if engine.runs:
            break
        assert part < 40


@pytest.mark.parametrize("framing", list(wire_upstream.Framing))
@pytest.mark.parametrize("line_end", ["\n", "\r\n", "\r"])
def test_whole_stream_looks_whole(router, engine, framing, line_end):
    # Guards against whole answers that are taken for broken ones because of
    # how their end is marked.
    engine.framing, engine.line_end = framing, line_end
    for version in (10, 11):
        status, body, whole = read_response(router, version=version)
        assert (status, whole) == (200, True)
        assert body.count(b"data: ") == EVENT_COUNT
        assert body.endswith((2 * line_end).encode())


def test_whole_plain_response_without_length_looks_whole(site):
    engine = site.add_upstream("p1", "ledger")
    engine.framing = wire_upstream.Framing.CLOSE
    router = site.add_router(extra_settings=LONG_STARTED)
    for version in (10, 11):
        status, body, whole = read_response(
            router, "/look/x", version, prompt={}
        )
        assert (status, whole) == (200, True)
        assert body.startswith(b"/look/x ")
    engine.break_at, engine.reset = 5, True
    assert read_response(router, "/look/x", prompt={})[0] == 502


def test_break_is_counted_and_explained(site, router, engine):
    # Guards against a break that operators can't tell from a lost connection.
    engine.framing = wire_upstream.Framing.CLOSE
    engine.break_at = 7
    assert read_response(router)[0] == 502
    engine.break_at = None
    assert read_response(router)[0] == 200
    metric = 'events_total{detail="inside_event",event="stream_broken_off"}'
    assert read_metric(router, metric) == 1
    router.process.terminate()
    router.process.wait()
    log = str(site.folder / "front-a-1.log")
    ids = [request for request, _ in engine.runs]
    texts = [
        request_explanation.format_explanation(
            request_explanation.explain_request(request, [log])
        )
        for request in ids
    ]
    assert "response ended inside an event" in texts[0]
    assert "ended_at_close=true" in texts[1].lower()
