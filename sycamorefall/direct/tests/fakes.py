"""A router's decisions with a small catalog, for the tests of this package."""

from sycamorefall import settings
from sycamorefall.direct import (
    catalog,
    core,
    effects,
    exchange,
    prompts,
    upstreams,
)
from sycamorefall.direct import state as state_module

HOST = "site.example"

_KINDS = {
    "draft": catalog.RouteKind.STREAM,
    "answer": catalog.RouteKind.RESUMABLE_STREAM,
    "book": catalog.RouteKind.AT_MOST_ONCE,
    "look": catalog.RouteKind.IDEMPOTENT,
}


def create_catalog(
    version=1, keys=("mill", "trader"), without=(), fetch_rate=0.0
):
    routes = [
        catalog.Route(
            name=name,
            host=HOST,
            prefix=f"/{name}/",
            kind=kind,
            shares=(
                catalog.Share("engine" if kind.streamed else "ledger", 1.0),
            ),
            timeout=3.0,
            target_latency=0.5,
            max_upstreams=2 if kind.retryable else 1,
            public=not kind.streamed,
        )
        for name, kind in _KINDS.items()
        if name not in without
    ]
    engine = catalog.Engine(4, 100_000, fetch_rate)
    services = [
        catalog.Service("engine", 100, engine),
        catalog.Service("ledger", 100),
    ]
    teams = {f"key-{team}": catalog.Team(team) for team in keys}
    return catalog.create_catalog(
        version, routes, services, teams, True, 50_000.0
    )


def create_upstream_entry(
    name, service="engine", port=1, leaving=False, listed_revision=1
):
    return upstreams.UpstreamEntry(
        name,
        service,
        settings.Address("127.0.0.1", port),
        "a",
        4,
        leaving,
        listed_revision,
    )


STANDARD_LISTING = [
    create_upstream_entry("e1", port=1),
    create_upstream_entry("e2", port=2),
    create_upstream_entry("l1", "ledger", port=3),
    create_upstream_entry("l2", "ledger", port=4),
]


def create_state(now=0.0, listing=STANDARD_LISTING, **bounds):
    state = state_module.create_state("a", settings.BoundSettings(**bounds), 1)
    core.apply_catalog(state, now, create_catalog())
    core.apply_listing(state, now, list(listing))
    core.record_proof(state, now, now)
    return state


def create_exchange(name="front-1", port=1):
    seeds = ("127.0.0.1:1", "127.0.0.1:2")
    return exchange.Exchange(name, f"127.0.0.1:{port}", seeds)


def create_request(route, team="mill", time_left=3.0, tokens=1000, parts=()):
    prompt = None
    if _KINDS[route].streamed:
        own = tokens - sum(size for _, size in parts)
        prompt = prompts.Prompt(tokens, 50, (*parts, ("own", own)))
    return state_module.NewRequest(
        HOST,
        f"/{route}/x",
        f"key-{team}" if team else "",
        time_left,
        prompt,
        "POST",
        f"/{route}/x",
    )


def submit_request(state, now, route, **more):
    """Takes a request; gives its number and its one effect, if any."""
    number, done = core.handle_request(
        state, now, create_request(route, **more)
    )
    assert len(done) <= 1
    return number, done[0] if done else None


def list_error_kinds(done):
    return [
        effect.kind
        for effect in done
        if isinstance(effect, effects.AnswerError)
    ]


def list_sends(done):
    return [
        effect for effect in done if isinstance(effect, effects.SendRequest)
    ]


def list_addresses(told):
    """Lists where messages may go, by name."""
    names = exchange.list_addresses(told)
    return {name: exchange.find_address(told, name) for name in names}
