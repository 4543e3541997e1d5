"""Shared parts that engines copy from each other in place of reading them."""

from hypothesis import given, strategies
import msgspec

from sycamorefall import messages
from sycamorefall.direct import (
    caches,
    catalog,
    core,
    exchange,
    homes,
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
    state.uses.uses["paper"] = (2.5 * homes.USES_PER_HOME, 0.0)
    return state


def rank(state):
    service = state.catalog.services["engine"]
    return homes.rank_engines(state.table, service, "paper")


def send_to(state, upstream, now=0.0, parts=PAPER, tokens=9500):
    """Has a prompt sent to the only engine that has room; gives its send."""
    for one in state.table.by_name.values():
        one.others.running = 0 if one is upstream else one.listed.slots
    number, sent = fakes.submit_request(
        state, now, "draft", tokens=tokens, parts=parts
    )
    assert sent.upstream == upstream.listed.name
    core.cancel_request(state, number, now)
    return sent


def test_engine_without_the_part_fetches_it_from_one_that_was_sent_it():
    # A paper's engine is full, so another one gets the next request and reads
    # the paper for 100 ms; its callers wait behind that. The first engine has
    # it in its cache, and could have passed it on in 13 ms.
    state = create_state()
    first, second, third, _ = rank(state)
    send_to(state, second)
    sent = send_to(state, third)
    assert sent.source == second.listed.address
    assert sent.fetches == 9500, "the same session's own part too"
    assert sent.reads == int(9500 * third.prefill_rate / FETCH_RATE) + 1


def test_engine_that_was_sent_the_part_fetches_nothing():
    # Each request would set up a transfer, and the engines' links would carry
    # what both ends hold.
    state = create_state()
    first, second, *_ = rank(state)
    send_to(state, first)
    send_to(state, second)
    assert send_to(state, first).source is None


def test_home_of_the_part_is_asked_where_no_holder_is_known():
    # A router has just started and knows of no send. Its requests would all
    # be read anew, though the part's home holds what the others sent there.
    state = create_state()
    first, second, *_ = rank(state)
    sent = send_to(state, second)
    assert (sent.source, sent.fetches) == (first.listed.address, 0)
    assert sent.reads == 9500, "what the home holds is not known"


def test_engine_that_fails_is_not_asked():
    # The holder has crashed. Whoever is to fetch from it waits for an answer
    # that never comes.
    state = create_state()
    first, second, third, _ = rank(state)
    send_to(state, first)
    upstreams.suspend_upstream(first, 0.0)
    assert send_to(state, third).source == second.listed.address
    for one in rank(state):
        if one is not third:
            upstreams.suspend_upstream(one, 0.0)
    assert send_to(state, third, parts=(("other", 9000),)).source is None


def test_nothing_is_fetched_that_is_not_worth_it_or_not_possible():
    # Transfers wait for each other on a link, so those of short parts delay
    # those that save much; and some engines can't fetch at all.
    state = create_state()
    first, second, *_ = rank(state)
    short = (("paper", 100),)
    assert send_to(state, second, parts=short, tokens=600).source is None
    state = create_state(fetch_rate=0.0)
    first, second, *_ = rank(state)
    send_to(state, first)
    assert send_to(state, second).source is None


def pass_on(load, told, state, now=0.0):
    """Hands what `front-2` tells to a router."""
    envelope = messages.Envelope("front-2", 1, 1, load)
    exchange.handle_load(told, state, now, envelope)


def test_what_another_router_sent_is_known():
    # Five routers send a paper's requests to two engines. Each knows only of
    # its own, takes an engine for one that lacks the paper, and has it read
    # or fetched from where it isn't.
    here, there = create_state(), create_state()
    told, heard = fakes.create_exchange(), fakes.create_exchange("front-2", 2)
    _, second, third, _ = rank(there)
    send_to(there, second)
    pass_on(exchange.build_load_message(heard, there, 0.0), told, here)
    source = here.table.by_name[second.listed.name]
    target = here.table.by_name[third.listed.name]
    assert send_to(here, source).source is None, "it has the part"
    assert send_to(here, target).fetches == 9500


def test_each_send_is_told_once_and_short_ones_are_not():
    # Loads go out many times a second. Were each to repeat the prompts, the
    # control traffic would grow with the square of the rate.
    state, told = create_state(), fakes.create_exchange()
    first, second, *_ = rank(state)
    send_to(state, first)
    send_to(state, second, parts=(("short", 100),), tokens=600)
    load = exchange.build_load_message(told, state, 0.0)
    assert [one.upstream for one in load.prompts] == [first.listed.name]
    assert [size for _, size in load.prompts[0].parts] == [9000]
    assert load.prompts[0].own == 500
    assert exchange.build_load_message(told, state, 1.0).prompts == ()


def test_prompts_told_of_upstreams_that_are_not_known_do_no_harm():
    # A router hears of an engine that its own listing doesn't have yet, and
    # of one that is no engine.
    state, told = create_state(), fakes.create_exchange()
    parts = ((1, 9000),)
    sent = [messages.SentPrompt(name, parts, 0) for name in ("e9", "l1")]
    load = messages.RouterLoad(1, "127.0.0.1:2", prompts=tuple(sent))
    pass_on(load, told, state)
    first, *_ = rank(state)
    assert send_to(state, first).fetches == 0


@given(
    sends=strategies.lists(strategies.floats(0.0, 0.2), max_size=200),
    routers=strategies.integers(1, 370),
)
def test_telling_prompts_fits_the_budget_of_control_traffic(sends, routers):
    # Control may take 7 KB/s of a router, however many requests and routers
    # there are. Were each router to tell all it sends to all others, a site
    # of 30 would need 9 KB/s for this alone.
    state, told = create_state(), fakes.create_exchange()
    state.routers = routers
    parts = (("5c1e07a2", 2520), ("91bd3f06", 3780), ("e4402b7d", 2890))
    prompt = prompts.Prompt(9190, 50, parts)
    now, size = 0.0, 0
    for pause in sends:
        now += pause
        placement = state_module.Placement("e1", prompt, 6300)
        state.placements += [placement] * 10
        load = exchange.build_load_message(told, state, now)
        size += sum(len(msgspec.msgpack.encode(one)) for one in load.prompts)
    sent, heard = size * (routers - 1), size * (routers - 1)
    assert sent + heard <= 5500 * (now + 1.0) + 2 * 25 * routers


def test_news_are_told_before_what_is_known():
    # An engine is sent a paper for the first time while others use theirs
    # again. If the budget leaves the new one out, nobody fetches from there.
    state, told = create_state(), fakes.create_exchange()
    state.routers = int(exchange.MAX_PROMPTS_PER_SECOND) + 1
    first, second, *_ = rank(state)
    send_to(state, first)
    exchange.build_load_message(told, state, 0.0)
    send_to(state, first)
    send_to(state, second)
    load = exchange.build_load_message(told, state, 1.0)
    assert [one.upstream for one in load.prompts] == [second.listed.name]


def test_cache_never_counts_more_than_it_holds():
    # An engine is taken to hold all that it was ever sent; it is asked for
    # parts that it dropped long ago, and the target reads them after all.
    cache = caches.CacheEstimate()
    for number in range(50):
        caches.record_parts(cache, ((number % 7, 9000),), 40_000, 500)
        assert cache.tokens == sum(cache.parts.values()) <= 40_000


def test_part_that_has_grown_counts_as_long_as_it_was():
    # A session's own part grows with each turn. An engine that holds the
    # first turn was taken to hold all of the tenth, and its queue was taken
    # to be empty.
    cache = caches.CacheEstimate()
    first = prompts.Prompt(1000, 50, (("paper", 900), ("session", 100)))
    caches.record_parts(cache, first.digests, 10_000)
    grown = prompts.Prompt(4900, 50, (("paper", 900), ("session", 4000)))
    assert caches.count_cached_tokens(cache, grown) == 1000
