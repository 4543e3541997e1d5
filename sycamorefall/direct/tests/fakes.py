"""Helpers that create router state, catalogs and requests for tests."""

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

TIME_SINCE_START = 60.0
"""Seconds for which the router of a created state has been running."""

_KINDS = {
    "draft": catalog.RouteKind.STREAM,
    "answer": catalog.RouteKind.RESUMABLE_STREAM,
    "book": catalog.RouteKind.AT_MOST_ONCE,
    "look": catalog.RouteKind.IDEMPOTENT,
}


def create_catalog(
    version=1,
    keys=("mill", "trader"),
    excluded=(),
    fetch_rate=0.0,
    cold_seconds=0.0,
    cold_rate=0.0,
):
    """Creates a catalog with a key for each team in `keys`.

    Args:
        version: Version of the configuration.
        keys: Names of the teams that have a key.
        excluded: Names of the routes to leave out.
        fetch_rate: Tokens per second that an engine copies from the cache of
            another one.
        cold_seconds: Seconds for which an upstream is cold after its start.
        cold_rate: Requests per second that a cold upstream takes.
    """
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
        if name not in excluded
    ]
    engine = catalog.Engine(4, 100_000, fetch_rate)
    services = [
        catalog.Service("engine", 100, engine, cold_seconds, cold_rate),
        catalog.Service("ledger", 100, None, cold_seconds, cold_rate),
    ]
    teams = {f"key-{team}": catalog.Team(team) for team in keys}
    return catalog.create_catalog(
        version, routes, services, teams, True, 50_000.0
    )


def create_upstream_entry(
    name,
    service="engine",
    port=1,
    leaving=False,
    listed_revision=1,
    failure_domain="a",
    cold_remaining=0.0,
    changed_revision=1,
    software_version="v1",
    start_time=0,
):
    return upstreams.UpstreamEntry(
        name,
        service,
        settings.Address("127.0.0.1", port),
        failure_domain,
        4,
        leaving,
        listed_revision,
        start_time,
        cold_remaining=cold_remaining,
        changed_revision=changed_revision,
        software_version=software_version,
    )


STANDARD_LISTING = [
    create_upstream_entry("e1", port=1),
    create_upstream_entry("e2", port=2),
    create_upstream_entry("l1", "ledger", port=3),
    create_upstream_entry("l2", "ledger", port=4),
]


def create_state(now=0.0, listing=STANDARD_LISTING, **bounds):
    state = state_module.create_state(
        "a", settings.BoundSettings(**bounds), 1, now - TIME_SINCE_START
    )
    core.apply_catalog(state, now, create_catalog())
    core.apply_listing(state, now, list(listing))
    core.record_proof(state, now, now)
    return state


def create_exchange(name="front-1", port=1):
    seeds = ("127.0.0.1:1", "127.0.0.1:2")
    return exchange.Exchange(name, f"127.0.0.1:{port}", seeds)


def create_request(route, team="mill", time_left=3.0, tokens=1000, parts=()):
    """Creates a request on one of the routes of `create_catalog`.

    Streaming routes get a prompt of `tokens` tokens, of which the shared
    `parts`, (key, tokens) each, come first.
    """
    prompt = None
    if _KINDS[route].streamed:
        own = tokens - sum(size for _, size in parts)
        prompt = prompts.Prompt(tokens, 50, (*parts, ("own", own)))
    return state_module.IncomingRequest(
        HOST,
        f"/{route}/x",
        f"key-{team}" if team else "",
        time_left,
        prompt,
        "POST",
        f"/{route}/x",
    )


def submit_request(state, now, route, **more):
    """Submits a request; returns its number and its only effect, if any."""
    number, pending = core.handle_request(
        state, now, create_request(route, **more)
    )
    assert len(pending) <= 1
    return number, pending[0] if pending else None


def list_error_kinds(pending):
    return [
        effect.kind
        for effect in pending
        if isinstance(effect, effects.AnswerError)
    ]


def list_sends(pending):
    return [
        effect for effect in pending if isinstance(effect, effects.SendRequest)
    ]


def list_addresses(load_exchange):
    """Returns the addresses of the routers that may be sent to, by name."""
    names = exchange.list_addresses(load_exchange)
    return {name: exchange.find_address(load_exchange, name) for name in names}
