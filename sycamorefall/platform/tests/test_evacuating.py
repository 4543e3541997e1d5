"""Evacuations of failure domains, as the operators write them to the store."""

import pytest

from standins import site as site_module
from sycamorefall import command, errors
from sycamorefall.platform import documents
from sycamorefall.platform.tests.router_client import send_request
from sycamorefall.platform.tests.test_translation import (
    create_raw_record,
    create_record,
)

PREFIX = "op/evacuate/"


@pytest.fixture
def domains(site):
    """A router of failure domain a, and an upstream in each of two domains."""
    site.add_upstream("e1", "engine")
    site.add_upstream("e2", "engine")
    site.register_upstream("e2", "engine", zone="b")
    return site


def count_records(site, kind):
    log = (site.folder / "front-a-1.log").read_text()
    return log.count(f'"{kind}"')


def send_requests(site, router, count=10):
    """Sends requests; returns how many of them each upstream ran.

    Their prompts share no part, so their homes are spread over the upstreams.
    """
    before = {name: len(one.runs) for name, one in site.upstreams.items()}
    for number in range(count):
        parts = {"Prompt-Prefix": f"a{number:x}:800,bb:300"}
        sent = send_request(router, f"/draft/{number}", prompt=True, **parts)
        assert sent[1] == 200
    return {
        name: len(one.runs) - before[name]
        for name, one in site.upstreams.items()
    }


def test_evacuated_domain_gets_no_requests_until_it_is_in_use_again(domains):
    # Guards against requests to upstreams of a domain in which the operators
    # are at work, and against a domain that stays unused afterwards.
    router = domains.add_router()
    for name, other in (("a", "e2"), ("b", "e1")):
        known = count_records(domains, "domains.evacuated")
        domains.store.put(PREFIX + name, {})
        site_module.wait_until(
            lambda n=known: count_records(domains, "domains.evacuated") > n, 2.5
        )
        assert send_requests(domains, router)[other] == 10
        domains.store.delete(PREFIX + name)
        site_module.wait_until(
            lambda n=known: count_records(domains, "domains.evacuated") > n + 1,
            2.5,
        )


def test_router_that_starts_during_an_evacuation_obeys_it(domains):
    # Guards against a router that knows only evacuations that begin while it
    # runs.
    domains.store.put(PREFIX + "a", {})
    router = domains.add_router()
    assert send_requests(domains, router) == {"e1": 0, "e2": 10}


def test_refusal_is_explained_by_the_evacuation(domains, capsys):
    # Guards against refusals for which the operators find no reason.
    for name in "ab":
        domains.store.put(PREFIX + name, {})
    router = domains.add_router()
    request, status, headers, _ = send_request(router, "/draft/x", prompt=True)
    assert status == 503 and "retry-after" in headers
    log = domains.folder / "front-a-1.log"
    site_module.wait_until(lambda: request in log.read_text())
    assert command.main(["explain", request, str(log)]) == 0
    assert "2 evacuated" in capsys.readouterr().out


def test_invalid_evacuations_are_logged_once_and_ignored(domains):
    # Guards against a router that stops sending because of an evacuation that
    # names no failure domain, or that another program wrote.
    domains.store.put(PREFIX + "a", "unreadable")
    domains.store.put(PREFIX + "c", {})
    router = domains.add_router()
    assert min(send_requests(domains, router, 30).values()) > 0
    assert count_records(domains, "platform.refused") == 1
    assert count_records(domains, "evacuation.unknown_domains") == 1


def test_evacuation_is_decoded():
    key = PREFIX + "b"
    record = create_record({}, key)
    assert documents.decode_evacuated_domain(record, PREFIX) == "b"


@pytest.mark.parametrize(
    "record",
    [
        create_record([], PREFIX + "b"),
        create_record({}, PREFIX),
        create_raw_record(PREFIX + "b", "%%%"),
    ],
)
def test_invalid_evacuation_is_refused(record):
    with pytest.raises(errors.ConfigurationRefused):
        documents.decode_evacuated_domain(record, PREFIX)
