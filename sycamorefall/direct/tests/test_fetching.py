"""Shared parts that engines copy from each other in place of reading them."""

from sycamorefall.direct import catalog, core, homes, upstreams
from sycamorefall.direct.tests import fakes

PAPER = (("paper", 9000),)
LISTING = [fakes.list_one(f"e{n}", port=n) for n in range(1, 5)]
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
    number, sent = fakes.take(state, now, "draft", tokens=tokens, parts=parts)
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
    assert sent.reads == int(9500 * third.reading_rate / FETCH_RATE) + 1


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
    upstreams.bar_upstream(first, 0.0)
    assert send_to(state, third).source == second.listed.address
    for one in rank(state):
        if one is not third:
            upstreams.bar_upstream(one, 0.0)
    assert send_to(state, third, parts=(("other", 9000),)).source is None


def test_nothing_is_fetched_that_is_not_worth_it_or_not_possible():
    # Setting up a transfer takes longer than reading a short part, and some
    # engines can't fetch at all.
    state = create_state()
    first, second, *_ = rank(state)
    short = (("paper", 100),)
    assert send_to(state, second, parts=short, tokens=600).source is None
    state = create_state(fetch_rate=0.0)
    first, second, *_ = rank(state)
    send_to(state, first)
    assert send_to(state, second).source is None
