"""Tests of shared prompt parts that engines copy instead of computing them."""

import dataclasses

from hypothesis import given, strategies
import msgspec

from sycamorefall import messages
from sycamorefall.direct import (
    caches,
    catalog,
    core,
    exchange,
    homes,
    prompt_reports,
    prompts,
    upstreams,
)
from sycamorefall.direct import state as state_module
from sycamorefall.direct.tests import fakes

PAPER = (("paper", 9000),)
LISTING = [fakes.create_upstream_entry(f"e{n}", port=n) for n in range(1, 5)]
FETCH_RATE = 700_000.0


def create_state(fetch_rate=FETCH_RATE):
    """Creates a router whose paper has three homes among four engines."""
    state = fakes.create_state(listing=LISTING)
    engine = catalog.Engine(4, 100_000, fetch_rate)
    state.catalog.services["engine"] = catalog.Service("engine", 100, engine)
    state.part_usage.uses["paper"] = (2.5 * homes.USES_PER_HOME, 0.0)
    return state


def rank(state):
    service = state.catalog.services["engine"]
    return homes.rank_engines(state.table, service, "paper")


def send_to(state, upstream, now=0.0, parts=PAPER, tokens=9500):
    """Sends a prompt to the only engine with free slots; returns the effect."""
    for one in state.table.by_name.values():
        one.peer_load.running = 0 if one is upstream else one.listed.slots
    number, sent = fakes.submit_request(
        state, now, "draft", tokens=tokens, parts=parts
    )
    assert sent.upstream == upstream.listed.name
    core.cancel_request(state, number, now)
    return sent


def test_missing_part_is_fetched_from_an_engine_that_was_sent_it():
    # Guards against repeated prefill of a part that another engine has cached.
    # If a paper's home is full, another engine gets the next request. Its
    # prefill of the paper delays its callers by 100 ms; a copy takes 13 ms.
    state = create_state()
    first, second, third, _ = rank(state)
    send_to(state, second)
    sent = send_to(state, third)
    assert sent.source == second.listed.address
    assert sent.fetches == 9500, "includes the own part of the same session"
    assert sent.reads == int(9500 * third.prefill_rate / FETCH_RATE) + 1


def test_engine_that_was_sent_the_part_fetches_nothing():
    # Guards against a transfer for each request, in which the engines' links
    # carry parts that the target has cached already.
    state = create_state()
    first, second, *_ = rank(state)
    send_to(state, first)
    send_to(state, second)
    assert send_to(state, first).source is None


def test_part_is_fetched_from_its_home_if_no_holder_is_known():
    # Guards against repeated prefill after a router starts. It knows of no
    # sends yet, but the home of a part holds what other routers sent there.
    state = create_state()
    first, second, *_ = rank(state)
    sent = send_to(state, second)
    assert (sent.source, sent.fetches) == (first.listed.address, 0)
    assert sent.reads == 9500, "the tokens cached at the home are not known"


def test_parts_are_not_fetched_from_another_software_version():
    # Guards against an engine that goes on with memory that another software
    # version has written, which is known or taken to have the part.
    state = create_state()
    versions = {"e1": "v1", "e2": "v2", "e3": "v2", "e4": "v1"}
    listing = [
        dataclasses.replace(one, software_version=versions[one.name])
        for one in LISTING
    ]
    core.apply_listing(state, 0.0, listing)
    paper_homes = rank(state)[:3]
    for holder in paper_homes:
        send_to(state, holder)
    by_address = {one.address: one.software_version for one in listing}
    for target in paper_homes:
        target.cache = caches.CacheEstimate()
        sent = send_to(state, target)
        version = target.listed.software_version
        assert by_address[sent.source] == version


def test_nothing_is_fetched_from_a_suspended_engine():
    # Guards against a fetch from an engine that has crashed, for which the
    # target would wait in vain.
    state = create_state()
    first, second, third, _ = rank(state)
    send_to(state, first)
    upstreams.suspend_upstream(first, 0.0)
    assert send_to(state, third).source == second.listed.address
    for one in rank(state):
        if one is not third:
            upstreams.suspend_upstream(one, 0.0)
    assert send_to(state, third, parts=(("other", 9000),)).source is None


def test_short_parts_and_engines_without_support_are_not_fetched():
    # Guards against transfers of short parts, which delay more useful ones on
    # the same link, and against fetches by engines that don't support them.
    state = create_state()
    first, second, *_ = rank(state)
    short = (("paper", 100),)
    assert send_to(state, second, parts=short, tokens=600).source is None
    state = create_state(fetch_rate=0.0)
    first, second, *_ = rank(state)
    send_to(state, first)
    assert send_to(state, second).source is None


def deliver_load(load, load_exchange, state, now=0.0):
    """Delivers a load message of `front-2` to a router."""
    envelope = messages.Envelope("front-2", 1, 1, load)
    exchange.handle_load(load_exchange, state, now, envelope)


def test_prompts_sent_by_another_router_are_counted():
    # Guards against cache estimates that ignore other routers. If several
    # routers send a paper's requests to two engines and each counts only its
    # own sends, it has the paper computed again or fetched from an engine that
    # does not hold it.
    here, there = create_state(), create_state()
    load_exchange, other_exchange = (
        fakes.create_exchange(),
        fakes.create_exchange("front-2", 2),
    )
    _, second, third, _ = rank(there)
    send_to(there, second)
    deliver_load(
        exchange.build_load_message(other_exchange, there, 0.0),
        load_exchange,
        here,
    )
    source = here.table.by_name[second.listed.name]
    target = here.table.by_name[third.listed.name]
    assert send_to(here, source).source is None, "the engine has the part"
    assert send_to(here, target).fetches == 9500


def test_each_prompt_is_reported_once_and_short_ones_are_not():
    # Guards against control traffic that grows with the square of the request
    # rate: loads are sent many times a second and must not repeat prompts.
    state, load_exchange = create_state(), fakes.create_exchange()
    first, second, *_ = rank(state)
    send_to(state, first)
    send_to(state, second, parts=(("short", 100),), tokens=600)
    load = exchange.build_load_message(load_exchange, state, 0.0)
    assert [one.upstream for one in load.prompts] == [first.listed.name]
    assert [size for _, size in load.prompts[0].parts] == [9000]
    assert load.prompts[0].own == 500
    assert exchange.build_load_message(load_exchange, state, 1.0).prompts == ()


def test_reported_prompts_of_unknown_upstreams_are_ignored():
    # Guards against errors if another router reports a prompt at an engine
    # that is not in the local listing yet, or at an upstream that is no engine.
    state, load_exchange = create_state(), fakes.create_exchange()
    parts = ((1, 9000),)
    sent = [messages.SentPrompt(name, parts, 0) for name in ("e9", "l1")]
    load = messages.RouterLoad(1, "127.0.0.1:2", prompts=tuple(sent))
    deliver_load(load, load_exchange, state)
    first, *_ = rank(state)
    assert send_to(state, first).fetches == 0


@given(
    sends=strategies.lists(strategies.floats(0.0, 0.2), max_size=200),
    routers=strategies.integers(1, 370),
)
def test_reported_prompts_stay_within_the_control_traffic_budget(
    sends, routers
):
    # Guards against control traffic of more than 7 KB/s per router, whatever
    # the number of requests and routers. If each router reported all prompts
    # to all others, a site of 30 would need 9 KB/s for the prompts alone.
    state, load_exchange = create_state(), fakes.create_exchange()
    state.routers = routers
    parts = (("5c1e07a2", 2520), ("91bd3f06", 3780), ("e4402b7d", 2890))
    prompt = prompts.Prompt(9190, 50, parts)
    now, size = 0.0, 0
    for pause in sends:
        now += pause
        placement = state_module.Placement("e1", prompt, 6300)
        state.placements += [placement] * 10
        load = exchange.build_load_message(load_exchange, state, now)
        size += sum(len(msgspec.msgpack.encode(one)) for one in load.prompts)
    sent, received = size * (routers - 1), size * (routers - 1)
    assert sent + received <= 5500 * (now + 1.0) + 2 * 25 * routers


def test_newly_cached_prompts_are_reported_first():
    # Guards against a limit on reported prompts that drops new ones. An engine
    # is sent a paper for the first time while other papers are used again. If
    # the new one is not reported, no engine fetches it from there.
    state, load_exchange = create_state(), fakes.create_exchange()
    state.routers = int(prompt_reports.MAX_PROMPTS_PER_SECOND) + 1
    first, second, *_ = rank(state)
    send_to(state, first)
    exchange.build_load_message(load_exchange, state, 0.0)
    send_to(state, first)
    send_to(state, second)
    load = exchange.build_load_message(load_exchange, state, 1.0)
    assert [one.upstream for one in load.prompts] == [second.listed.name]


def test_cache_estimate_never_exceeds_the_capacity():
    # Guards against a cache estimate without evictions: engines would fetch
    # parts that the source evicted long ago, and compute them after all.
    cache = caches.CacheEstimate()
    for number in range(50):
        caches.record_parts(cache, ((number % 7, 9000),), 40_000, 500)
        assert cache.tokens == sum(cache.parts.values()) <= 40_000


def test_grown_part_counts_with_its_cached_length():
    # Guards against an estimate that takes an engine that has the first turn
    # of a session cached to hold the tenth turn as well, though the session's
    # own part grows with each turn. The engine's queue then appears empty.
    cache = caches.CacheEstimate()
    first = prompts.Prompt(1000, 50, (("paper", 900), ("session", 100)))
    caches.record_parts(cache, first.digests, 10_000)
    grown = prompts.Prompt(4900, 50, (("paper", 900), ("session", 4000)))
    assert caches.count_cached_tokens(cache, grown) == 1000
