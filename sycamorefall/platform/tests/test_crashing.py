"""Requests that crash every upstream, tested with router processes."""

import concurrent.futures
import http.client
import itertools
import pathlib
import re
import time

import pytest

from standins import site as site_module
from sycamorefall import command
from sycamorefall.direct import quarantine
from sycamorefall.platform.tests import test_whole_path
from sycamorefall.platform.tests.router_client import send_request

CRASHING_BODY = b"crashes the engine"


@pytest.fixture
def fleet(site):
    """Three connected routers and eight engines."""
    for number in range(8):
        engine = site.add_upstream(f"e{number}", "engine")
        engine.crash_on_body = CRASHING_BODY
    started = test_whole_path.LONG_STARTED
    first = site.add_router("front-a-1", extra_settings=started)
    seeds = f"{started}[peers]\naddresses = 127.0.0.1:{first.control}\n"
    routers = [first] + [
        site.add_router(f"front-a-{number}", extra_settings=seeds)
        for number in (2, 3)
    ]
    site_module.wait_until(
        lambda: test_whole_path.read_router_counts(routers) == {3}
    )
    return routers


CRASHING_PART = "dead"

MAX_SENDS = 5 + 3
"""Requests with a part that crashes engines that may reach engines: those of
the five crashes that operators bear, and three after these."""


@pytest.fixture
def fleet_with_part(site):
    """Three connected routers; eight engines that crash on a part."""
    for number in range(8):
        engine = site.add_upstream(f"e{number}", "engine")
        engine.crash_on_part = CRASHING_PART
        site.restart_after_crash(f"e{number}", 1.5)
    started = test_whole_path.LONG_STARTED
    first = site.add_router("front-a-1", extra_settings=started)
    seeds = f"{started}[peers]\naddresses = 127.0.0.1:{first.control}\n"
    routers = [first] + [
        site.add_router(f"front-a-{number}", extra_settings=seeds)
        for number in (2, 3)
    ]
    site_module.wait_until(
        lambda: test_whole_path.read_router_counts(routers) == {3}
    )
    return routers


def send_prompt(router, number, *parts):
    """Sends a prompt of its own after shared parts; returns the status."""
    prompt = ",".join(f"{part}:200" for part in (*parts, f"a{number:x}"))
    try:
        return send_request(
            router,
            f"/draft/{number}",
            body=b"%d" % number,
            **{"Token-Usage": "800,5", "Prompt-Prefix": prompt},
        )[1]
    except (OSError, http.client.HTTPException):
        return 0


def count_sends_of_part(site):
    return sum(
        one.count_runs_with_part(CRASHING_PART)
        for one in list(site.upstreams.values())
    )


@pytest.mark.parametrize("parts", [("aa", CRASHING_PART), (CRASHING_PART,)])
def test_part_that_crashes_engines_is_refused(site, fleet_with_part, parts):
    # Guards against requests that have nothing but a part of their prompts in
    # common and crash one engine after the other, and against refusing sound
    # ones that share their caller and their other parts.
    with concurrent.futures.ThreadPoolExecutor(16) as pool:
        sent, served = [], []
        for number in range(60):
            router = fleet_with_part[number % 3]
            sent.append(pool.submit(send_prompt, router, number, *parts))
            sound = [
                pool.submit(send_prompt, router, 1000 + 3 * number + k, "aa")
                for k in range(3)
            ]
            time.sleep(0.1)
            served += [one.result() == 200 for one in sound]
    assert count_sends_of_part(site) <= MAX_SENDS
    assert all(served[-90:])
    assert [one.result() for one in sent[-10:]] == [503] * 10


MAX_REFUSED_TIME = 2 * 3.0
"""Seconds after the last crash from which on sound prompts must be served: two
of the times in which routers learn of each other's news."""


def crash_by_part(routers, *parts):
    """Sends prompts with the crashing part until all routers refuse them."""
    number = itertools.count(5000)
    for router in routers:
        site_module.wait_until(
            lambda one=router: (
                send_prompt(one, next(number), *parts, CRASHING_PART) == 503
            )
        )


def test_sound_prompts_of_the_caller_are_served_beside_a_harmful_part(
    site, fleet_with_part
):
    # Guards against refusing all prompts of a caller: they begin with one part,
    # which one router has served, but not just before the crashes.
    assert send_prompt(fleet_with_part[0], 1, "aa") == 200
    time.sleep(1.1 * quarantine.PROOF_LEAD)
    crash_by_part(fleet_with_part, "aa")
    for number, router in enumerate(fleet_with_part * 4, 10):
        assert send_prompt(router, number, "aa") == 200
    assert count_sends_of_part(site) <= MAX_SENDS


def test_sound_prompts_are_served_again_after_a_trial(site, fleet_with_part):
    # Guards against refusing all prompts of a caller for long: their first part
    # was never seen without the harmful one.
    crash_by_part(fleet_with_part, "aa")
    number = itertools.count(10)

    def count_served():
        return sum(
            send_prompt(one, next(number), "aa") == 200
            for one in fleet_with_part
        )

    site_module.wait_until(
        lambda: count_served() == len(fleet_with_part), MAX_REFUSED_TIME
    )
    for router in fleet_with_part * 4:
        assert send_prompt(router, next(number), "aa") == 200
        assert send_prompt(router, next(number), "aa", CRASHING_PART) == 503
    assert count_sends_of_part(site) <= MAX_SENDS


def count_crashed_upstreams(site):
    return sum(one.crashed for one in site.upstreams.values())


@pytest.mark.parametrize("path", ["/draft/x", "/answer/x"])
def test_request_that_crashes_engines_reaches_no_fourth_one(site, fleet, path):
    # Guards against a request that crashes one engine after the other, because
    # the caller repeats it at other routers or because a router retries it.
    for number in range(9):
        router = fleet[number % len(fleet)]
        _, status, response_headers, _ = send_request(
            router, path, prompt=True, body=CRASHING_BODY
        )
        assert status in (502, 503)
        time.sleep(0.2)
    assert count_crashed_upstreams(site) == 3
    assert (status, response_headers.get("retry-after")) == (503, None)
    for router in fleet:
        assert send_request(router, path, prompt=True, body=b"sound")[1] == 200


def test_reset_connections_are_not_counted_as_crashes(site):
    # Guards against quarantining harmless requests because a running engine
    # resets the connections while it responds to them.
    engine = site.add_upstream("e1", "engine")
    engine.truncate_after = 2
    router = site.add_router()
    for _ in range(4):
        with pytest.raises(http.client.IncompleteRead):
            send_request(router, "/draft/x", prompt=True)
    engine.truncate_after = None
    assert send_request(router, "/draft/x", prompt=True)[1] == 200


def test_quarantined_request_is_explained_by_its_fingerprint(
    site, fleet, capsys
):
    # Guards against logs that don't show which request is refused and which
    # crashes are the reason.
    for number in range(4):
        router = fleet[number % len(fleet)]
        send_request(router, "/draft/x", prompt=True, body=CRASHING_BODY)
        time.sleep(0.2)
    logs = [str(path) for path in sorted(site.folder.glob("front-*.log"))]
    texts = [pathlib.Path(path).read_text() for path in logs]
    added = [text for text in texts if "quarantine.added" in text]
    assert len(added) == len(fleet)
    (fingerprint,) = {
        re.search('"fingerprint": ?"([0-9a-f]{32})", ?"crashed"', text)[1]
        for text in added
    }
    assert command.main(["explain", fingerprint, *logs]) == 0
    text = capsys.readouterr().out
    assert "upstreams that ran it crashed" in text
    crashed = [one.name for one in site.upstreams.values() if one.crashed]
    assert len(crashed) == 3
    assert all(name in text for name in crashed)
