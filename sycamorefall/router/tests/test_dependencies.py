"""Calls by upstreams: accounting, time limits, and freedom from deadlock."""

import collections

import hypothesis
from hypothesis import strategies
import msgspec
import pytest
from returns import result

from sycamorefall import admission, configuration, errors
from sycamorefall.router import dependencies
from sycamorefall.router import state as state_module
from sycamorefall.router.tests import fakes

KEYS = {name: configuration.hash_key(name) for name in ("mill", "flood")}
TEXT = fakes.TEXT + "".join(
    f"[team {name}-keyed]\nkeys_sha256 = {KEYS[name]}\n" for name in KEYS
)
PARENT = admission.Parent("mill-keyed", "assistant", "router-0/1/7/1", 4.0)


def new_request(service="ledger", timeout=100.0):
    return state_module.NewRequest(
        service, "mill-keyed", "POST", "/", (), timeout, idempotent=True
    )


@pytest.fixture
def router():
    return fakes.Router(TEXT)


def issue(router, parent):
    return admission.issue_token(router.state.versions.configuration, parent)


def test_call_is_accounted_to_its_parents_team_and_ends_with_its_time(router):
    token = issue(router, PARENT)
    caller = dependencies.identify_caller(router.state, "flood", token)
    assert caller.team == "mill-keyed"
    bound = dependencies.bind_request(router.state, new_request(), caller)
    assert bound.unwrap().timeout == 4.0
    bound = dependencies.bind_request(
        router.state, new_request(timeout=1.0), caller
    )
    assert bound.unwrap().timeout == 1.0


def test_caller_with_a_key_of_its_own_is_bound_to_nothing(router):
    caller = dependencies.identify_caller(router.state, "flood", None)
    assert caller == dependencies.Caller("flood-keyed")
    new = new_request("assistant")
    bound = dependencies.bind_request(router.state, new, caller)
    assert bound == result.Success(new)


def test_team_cannot_call_in_the_name_of_another(router):
    """A team forges a token that names another team.

    The team knows its own key and can sign with it, but with no other key.
    """
    in_force = router.state.versions.configuration
    own = in_force.teams["flood-keyed"].keys_sha256
    forged_teams = {"mill-keyed": configuration.Team("mill-keyed", own)}
    forger = configuration.Configuration(
        forged_teams, in_force.services, in_force.limits, {}
    )
    token = admission.issue_token(forger, PARENT)
    assert dependencies.identify_caller(router.state, "flood", token) is None
    stranger = admission.Parent("nobody", "assistant", "x", 4.0)
    assert issue(router, stranger) is None


@hypothesis.given(strategies.text(max_size=80), strategies.integers(0, 100))
def test_malformed_token_is_refused(text, place):
    router = fakes.Router(TEXT)
    in_force = router.state.versions.configuration
    assert admission.verify_token(in_force, text) is None
    token = issue(router, PARENT)
    place %= len(token) - 4
    other = "A" if token[place] != "A" else "B"
    spoiled = token[:place] + other + token[place + 1 :]
    assert admission.verify_token(in_force, spoiled) is None


def test_upstream_may_call_only_what_its_service_depends_on(router):
    token = issue(router, msgspec.structs.replace(PARENT, service="ledger"))
    caller = dependencies.identify_caller(router.state, "", token)
    for service in ("assistant", "ledger"):
        bound = dependencies.bind_request(
            router.state, new_request(service), caller
        )
        assert bound.failure() is errors.ErrorKind.UNDECLARED_DEPENDENCY


CHAIN = """
[limits]
waiting_per_team = {per_team}
waiting_per_router = {per_router}
[service front]
kind = plain
depends_on = middle
[service middle]
kind = plain
depends_on = back
[service back]
kind = plain
[team mill]
keys_sha256 = {key}
"""

CHILD = {"front": "middle", "middle": "back"}


@hypothesis.given(
    strategies.integers(1, 6),
    strategies.integers(1, 6),
    strategies.integers(1, 12),
)
def test_parents_and_children_at_one_router_cannot_block_each_other(
    per_team, per_router, parents
):
    """Services with one slot each form a chain; every request calls the next.

    All requests wait at one router with the tightest limits. If parents could
    keep their children out, all would wait forever with their slots in use.
    Every request must end without time passing.
    """
    text = CHAIN.format(
        per_team=per_team, per_router=per_router, key=KEYS["mill"]
    )
    upstreams = {f"{name}-0": name for name in ("front", "middle", "back")}
    router = fakes.Router(text, upstreams)
    slots = dict.fromkeys(upstreams)
    parent_of = {}
    ended = collections.Counter()

    def settle(number, kind):
        ended[kind] += 1
        run = parent_of.pop(number, None)
        if run is not None:
            finish(run)

    def finish(run):
        vm, sent = run
        slots[vm] = None
        router.end(0.0, sent)
        settle(sent.request, "answered")

    def call(vm, sent):
        service = CHILD.get(sent.order.service)
        if service is None:
            finish((vm, sent))
            return
        parent = admission.Parent(
            "mill",
            sent.order.service,
            sent.order.attempt_id,
            sent.order.remaining,
        )
        caller = dependencies.identify_caller(
            router.state, "", issue(router, parent)
        )
        bound = dependencies.bind_request(
            router.state, new_request(service), caller
        )
        send(service, bound.unwrap().timeout, (vm, sent))

    def send(service, timeout, run=None):
        number = router.state.last_request + 1
        parent_of[number] = run
        _, answers = router.admit(0.0, timeout=timeout, service=service)
        for refused, kind, *_ in answers:
            settle(refused, kind)

    for _ in range(parents):
        send("front", 100.0)
    for _ in range(10 * parents):
        for vm, service in upstreams.items():
            if slots[vm] is None:
                sent = router.claim(0.0, service=service, sidecar=vm)
                if sent is not None:
                    slots[vm] = sent
                    call(vm, sent)
    assert not any(slots.values())
    assert not router.state.requests
    assert ended["answered"] >= min(parents, per_team, per_router)
    assert set(ended) <= {"answered", "too_many_waiting"}


def test_services_that_depend_on_each_other_are_refused():
    text = CHAIN.format(per_team=1, per_router=1, key=KEYS["mill"])
    cyclic = text.replace(
        "[service back]\n", "[service back]\ndepends_on = front\n"
    )
    error = configuration.parse_configuration(cyclic).failure()
    assert "cycle" in error.reason
