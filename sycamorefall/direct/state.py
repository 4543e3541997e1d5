"""State of the decision logic of a router that sends directly to upstreams."""

__all__ = [
    "Attempt",
    "DirectState",
    "Disconnect",
    "IncomingRequest",
    "Placement",
    "Request",
    "compute_silence",
    "create_state",
    "find_upstream",
    "get_or_create_accounts",
    "get_or_create_recent_targets",
    "get_or_create_response_lengths",
]

import dataclasses
import random

from sycamorefall import settings
from sycamorefall.direct import (
    budget,
    fair_queue,
    prompts,
    stopping,
    stream_origins,
    stream_pace,
    upstreams,
)
from sycamorefall.direct import catalog as catalog_module
from sycamorefall.direct import freshness as freshness_module
from sycamorefall.direct import known_parts as known_parts_module
from sycamorefall.direct import latency_targets as latency_targets_module
from sycamorefall.direct import overload as overload_module
from sycamorefall.direct import patience as patience_module
from sycamorefall.direct import quarantine as quarantine_module
from sycamorefall.direct import unread_demand as unread_demand_module


@dataclasses.dataclass(slots=True, frozen=True)
class IncomingRequest:
    """A request as received from a caller.

    Attributes:
        host: Host header.
        path: Path without query.
        key: The caller's API key; empty if none was sent.
        time_left: Seconds that the caller will wait for the response; None if
            the request doesn't state them.
        prompt: Sizes and shared parts of the prompt; None if the request is not
            for an engine.
        method: HTTP method.
        target: Path and query, exactly as received.
        body: Complete request body.
        attempt_id: Id that the caller gave to this request; empty if none.
        resumes: Id of the caller's earlier request that brought the first
            event of the stream that this one goes on with; None if it names
            none.
        last_event_id: Id of the last event that the caller has received of that
            stream; empty if it states none.
    """

    host: str
    path: str
    key: str = ""
    time_left: float | None = None
    prompt: prompts.Prompt | None = None
    method: str = ""
    target: str = ""
    body: bytes = b""
    attempt_id: str = ""
    resumes: str | None = None
    last_event_id: str = ""


@dataclasses.dataclass(slots=True)
class Attempt:
    """An attempt to run a request at an upstream, still in progress.

    Attributes:
        number: Number of the attempt among those of its request, from 1.
        upstream: Name of the upstream.
        process: The upstream as it was when the request was sent. It may no
            longer be listed.
        sent_at: Time at which the request was sent.
        start_time: Start time of the upstream's process, which distinguishes a
            restarted process; see `upstreams.UpstreamEntry`.
        unread: Prompt tokens that the engine still has to process for the
            request before the response starts.
        queued: Prompt tokens that the engine had to process when the request
            was sent, including the request's own.
        memory: Tokens that the request takes up in the engine's KV cache.
        cost: Cost units that the request's team was charged.
        charged_at: Time of the charge.
        response_started: Whether the first part of the response has arrived.
        last_byte_at: When the latest bytes of the response arrived.
        last_event_at: When the latest event of the response arrived.
        began_at: When the first event of the response arrived.
        proven: Whether the response has gone on for long enough to show that
            the prompt doesn't crash the upstream.
        origin: Origin of the streams of the upstream's process; see
            `stream_origins`.
        is_probe: Whether the request was sent to a suspended upstream.
        paused_until: Time until which this router didn't read the response, as
            its caller is slow; infinity while it doesn't.
    """

    number: int
    upstream: str
    process: upstreams.Upstream
    sent_at: float
    start_time: int = 0
    unread: int = 0
    queued: int = 0
    memory: int = 0
    cost: int = 0
    charged_at: float = 0.0
    response_started: bool = False
    last_byte_at: float = float("-inf")
    last_event_at: float = 0.0
    began_at: float = 0.0
    proven: bool = False
    origin: int = 0
    is_probe: bool = False
    paused_until: float = float("-inf")


@dataclasses.dataclass(slots=True)
class Request:
    """A request in progress.

    Attributes:
        number: Number of the request, unique within this process.
        incoming: The request as received from the caller.
        route: Route of the request.
        service: Name of the service chosen for the request.
        team: Name of the caller's team; empty on public routes.
        arrived_at: Time at which the whole request had been received.
        deadline: The earlier of the caller's deadline and the end of
            the route's timeout, counted from the earliest time at which the
            request may have arrived.
        unread_for: Seconds for which the request may have lain unread. The
            caller's deadline may be that much later.
        target_at: Time at which the first part of the response is due.
        give_up_at: Time at which the request is refused if it still waits.
        sends: Number of attempts so far.
        arrivals: Number of ended attempts of which a part was sent, so that
            the upstream may have counted the request.
        possible_runs: Number of ended attempts in which the upstream may have
            run the request.
        tried: Names of the upstreams that the request was sent to.
        attempt: The attempt in progress; None while the request waits.
        forwarding_started: Whether the caller has received a part of the
            response.
        events: Number of events of the response after its first one.
        part_uses: Decayed number of recent requests with the same last shared
            prompt part.
        part_known: Whether an engine may have been sent that part.
        fingerprint: Fingerprint of the request; empty until it is computed.
        origin: Origin of the stream that the request goes on with; None as long
            as any upstream may run it.
        stream_key: Key of the request's stream; None if its caller can't name
            it. See `stream_origins`.
        resumes: Whether another request has begun the stream.
        awaits_origin: Whether the request waits for the origin of its stream.
        known_origin: What was known of the stream when it was taken up; None
            if it wasn't, or nothing was known.
        tried_parts: Fingerprints of the quarantined parts that the request is
            let through to try; see `trials`.
        abandoned: Name of the silent upstream at which this router last aborted
            an attempt of the request; empty if it aborted none.
    """

    number: int
    incoming: IncomingRequest
    route: catalog_module.Route
    service: str
    team: str
    arrived_at: float
    deadline: float
    target_at: float
    give_up_at: float
    unread_for: float = 0.0
    sends: int = 0
    arrivals: int = 0
    possible_runs: int = 0
    tried: set[str] = dataclasses.field(default_factory=set)
    attempt: Attempt | None = None
    forwarding_started: bool = False
    events: int = 0
    part_uses: float = 0.0
    part_known: bool = True
    fingerprint: bytes = b""
    origin: int | None = None
    stream_key: int | None = None
    resumes: bool = False
    awaits_origin: bool = False
    known_origin: stream_origins.KnownOrigin | None = None
    tried_parts: frozenset[bytes] = frozenset()
    abandoned: str = ""


@dataclasses.dataclass(slots=True, frozen=True)
class Placement:
    """A prompt that was sent to an engine.

    Attributes:
        upstream: Name of the engine.
        prompt: The prompt.
        new_tokens: Tokens of the prompt's shared parts that the engine was not
            known to have cached.
    """

    upstream: str
    prompt: prompts.Prompt
    new_tokens: int


@dataclasses.dataclass(slots=True)
class Disconnect:
    """Connections to an upstream that were lost with requests in progress.

    Attributes:
        since: Time at which the first connection was lost.
        suspects: Fingerprints of the requests, and of the shared parts of
            prompts that the upstream had not begun to answer, each with its
            sources; see `evidence.Evidence`.
        tried: Fingerprints of the parts that were tried there.
        checks: Number of reachability checks started so far.
        crashed: Whether a check found that the upstream has crashed.
    """

    since: float
    suspects: dict[bytes, frozenset[bytes]] = dataclasses.field(
        default_factory=dict
    )
    tried: set[bytes] = dataclasses.field(default_factory=set)
    checks: int = 1
    crashed: bool = False


@dataclasses.dataclass(slots=True)
class DirectState:
    """State of the decision logic of one router process.

    Attributes:
        failure_domain: Failure domain of the router's VM.
        bounds: Time and retry bounds from the settings.
        freshness: Lease on the configuration.
        random: Random number generator for routing and jitter.
        stop: Progress of the process's graceful stop.
        started_at: When the process started, by its own clock.
        catalog: Configuration in force; None until the first one is known.
        table: The listed upstreams.
        requests: Requests in progress by number.
        running: Number of requests in progress that are at an upstream. Kept as
            a count because each pass of the event loop reads it: searching 450
            waiting requests for a running one took 20 us, while the whole pass
            takes 3 us with the count.
        service_queues: Waiting requests by service.
        moving: Numbers of requests that are to be sent to another upstream as
            theirs is stalled, in the order in which they are tried.
        accounts: Cost units that the teams received, by service.
        budgets: Retry budgets by service.
        recent_targets: Target latencies of recent requests, by service.
        response_lengths: Lengths of streamed responses, by service and route.
        deadlines: Heap of (time, request number).
        part_usage: Decayed numbers of recent requests by shared prompt part.
        known_parts: Shared parts of prompts that engines were sent.
        patience: Times that callers are willing to wait, by route.
        total_unread_sent: Prompt tokens that this process has ever sent to
            engines for processing.
        placements: Prompts with long shared parts sent since the placements
            were last collected for a report to the other routers.
        quarantine: Requests and parts of prompts suspected of crashing
            upstreams.
        origins: Origins of streams that callers may take up.
        disconnects: Lost connections, by the process that may have crashed.
        overload: Recent lateness of the event loop.
        unread_demand: Recent requests that were refused unread.
        routers: Number of routers heard from recently, including this one.
        vm: Name of this router's VM; empty until it is set.
        knows_others: Whether this router knows what other routers recently gave
            to teams.
        domain_routers: VM names of the routers in this router's failure
            domain, including this one; empty while they are not known.
        settles_at: When the platform's records count as complete again after a
            restoration.
        evacuated_domains: Failure domains whose upstreams get no requests.
        dispatch_needed: Whether capacity may have become free for a waiting
            request.
        last_dispatch_at: Time of the last try to send waiting requests.
        min_dispatch_interval: Minimum seconds from that try to the next one.
        stalls_checked_at: Time of the last check for stalled upstreams.
        last_number: Number of the latest request.
    """

    failure_domain: str
    bounds: settings.BoundSettings
    freshness: freshness_module.Freshness
    random: random.Random
    stop: stopping.Stop
    started_at: float
    catalog: catalog_module.Catalog | None = None
    table: upstreams.UpstreamTable = dataclasses.field(
        default_factory=upstreams.UpstreamTable
    )
    requests: dict[int, Request] = dataclasses.field(default_factory=dict)
    running: int = 0
    service_queues: dict[str, fair_queue.ServiceQueue] = dataclasses.field(
        default_factory=dict
    )
    moving: dict[int, None] = dataclasses.field(default_factory=dict)
    accounts: dict[str, fair_queue.TeamAccounts] = dataclasses.field(
        default_factory=dict
    )
    budgets: dict[str, budget.RetryBudget] = dataclasses.field(
        default_factory=dict
    )
    recent_targets: dict[str, latency_targets_module.RecentTargets] = (
        dataclasses.field(default_factory=dict)
    )
    response_lengths: dict[str, dict[str, stream_pace.ResponseLengths]] = (
        dataclasses.field(default_factory=dict)
    )
    deadlines: list[tuple[float, int]] = dataclasses.field(default_factory=list)
    part_usage: prompts.PartUsage = dataclasses.field(
        default_factory=prompts.PartUsage
    )
    known_parts: known_parts_module.KnownParts = dataclasses.field(
        default_factory=known_parts_module.KnownParts
    )
    patience: dict[str, patience_module.Patience] = dataclasses.field(
        default_factory=dict
    )
    total_unread_sent: int = 0
    placements: list[Placement] = dataclasses.field(default_factory=list)
    quarantine: quarantine_module.Quarantine = dataclasses.field(
        default_factory=quarantine_module.Quarantine
    )
    origins: stream_origins.StreamOrigins = dataclasses.field(
        default_factory=stream_origins.StreamOrigins
    )
    disconnects: dict[quarantine_module.Crash, Disconnect] = dataclasses.field(
        default_factory=dict
    )
    overload: overload_module.Overload = dataclasses.field(
        default_factory=overload_module.Overload
    )
    unread_demand: unread_demand_module.UnreadDemand = dataclasses.field(
        default_factory=unread_demand_module.UnreadDemand
    )
    routers: int = 1
    knows_others: bool = True
    vm: str = ""
    domain_routers: frozenset[str] = frozenset()
    settles_at: float = float("-inf")
    evacuated_domains: frozenset[str] = frozenset()
    dispatch_needed: bool = False
    last_dispatch_at: float = 0.0
    min_dispatch_interval: float = 0.0
    stalls_checked_at: float = 0.0
    last_number: int = 0


def create_state(
    failure_domain: str, bounds: settings.BoundSettings, seed: int, now: float
) -> DirectState:
    """Creates the state of a process without configuration or upstreams.

    Args:
        failure_domain: Failure domain of the process's VM.
        bounds: Time and retry bounds from the settings.
        seed: Seed of the random number generator.
        now: Current time of the process's clock, at its start.

    Returns:
        The state.
    """
    lease = freshness_module.Freshness(bounds.revocation)
    return DirectState(
        failure_domain,
        bounds,
        lease,
        random.Random(seed),
        stopping.Stop(bounds.grace),
        now,
    )


def get_or_create_accounts(
    state: DirectState, service: str
) -> fair_queue.TeamAccounts:
    """Returns the team accounts of a service; creates them if missing."""
    team_accounts = state.accounts.get(service)
    if team_accounts is None:
        team_accounts = state.accounts[service] = fair_queue.TeamAccounts()
    return team_accounts


def find_upstream(
    state: DirectState, attempt: Attempt
) -> upstreams.Upstream | None:
    """Finds the upstream of an attempt.

    Returns:
        The upstream; None if it is no longer listed or its process was
        restarted since the attempt was sent.
    """
    upstream = state.table.by_name.get(attempt.upstream)
    if upstream is None or upstream.listed.start_time != attempt.start_time:
        return None
    return upstream if upstream.origin == attempt.origin else None


def compute_silence(attempt: Attempt, now: float) -> float:
    """Computes for how many seconds an attempt's upstream has sent no bytes.

    Bytes that it sends for any request of this router count. While this router
    doesn't read the response, the upstream isn't silent.
    """
    heard_at = attempt.process.last_byte_at
    return now - max(heard_at, attempt.sent_at, attempt.paused_until)


def get_or_create_recent_targets(
    state: DirectState, service: str
) -> latency_targets_module.RecentTargets:
    """Returns a service's recent target latencies; creates them if missing."""
    targets = state.recent_targets.get(service)
    if targets is None:
        targets = state.recent_targets[service] = (
            latency_targets_module.RecentTargets()
        )
    return targets


def get_or_create_response_lengths(
    state: DirectState, service: str, route: str
) -> stream_pace.ResponseLengths:
    """Returns the lengths of a route's responses; creates them if missing."""
    by_route = state.response_lengths.setdefault(service, {})
    lengths = by_route.get(route)
    if lengths is None:
        lengths = by_route[route] = stream_pace.ResponseLengths()
    return lengths
