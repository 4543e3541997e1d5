"""State of a router that sends directly to upstreams."""

__all__ = [
    "Attempt",
    "DirectState",
    "Disconnect",
    "NewRequest",
    "Placement",
    "Request",
    "create_state",
    "find_upstream",
    "get_or_create_accounts",
    "get_or_create_recent_targets",
]

import dataclasses
import random

from sycamorefall import settings
from sycamorefall.direct import (
    budget,
    fair_queue,
    prompts,
    stopping,
    upstreams,
)
from sycamorefall.direct import catalog as catalog_module
from sycamorefall.direct import freshness as freshness_module
from sycamorefall.direct import latency_targets as latency_targets_module
from sycamorefall.direct import overload as overload_module
from sycamorefall.direct import patience as patience_module
from sycamorefall.direct import quarantine as quarantine_module


@dataclasses.dataclass(slots=True, frozen=True)
class NewRequest:
    """A request as a caller sent it.

    Attributes:
        host: Host header.
        path: Path without query.
        key: The caller's key; empty if none was sent.
        time_left: Seconds that the caller will wait; None if it didn't say.
        prompt: What it asks of an engine, if it is for one.
        method: HTTP method.
        target: Path and query, exactly as received.
        body: Complete request body.
    """

    host: str
    path: str
    key: str = ""
    time_left: float | None = None
    prompt: prompts.Prompt | None = None
    method: str = ""
    target: str = ""
    body: bytes = b""


@dataclasses.dataclass(slots=True)
class Attempt:
    """A request on its way at an upstream.

    Attributes:
        number: Counts the sends of the request, from 1.
        upstream: The incarnation.
        born: Its life under that name; see `upstreams.UpstreamEntry`.
        sent_at: When it was sent.
        unread: Prompt tokens it adds until it begins to answer.
        queued: Prompt tokens that were ahead of it, its own included.
        memory: Tokens it takes of the engine's cache.
        cost: Cost units that its team was charged.
        charged_at: When that was.
        response_started: Whether its answer has begun.
    """

    number: int
    upstream: str
    sent_at: float
    born: int = 0
    unread: int = 0
    queued: int = 0
    memory: int = 0
    cost: int = 0
    charged_at: float = 0.0
    response_started: bool = False


@dataclasses.dataclass(slots=True)
class Request:
    """A request in progress.

    Attributes:
        number: Counts the requests of this process.
        new: What the caller sent.
        route: Its route.
        service: The service chosen for it.
        team: Its team's name; empty on public routes.
        arrived_at: When it was whole.
        answer_by: When its caller or its route's timeout ends.
        target_at: When the first part of its answer is due.
        give_up_at: When it is refused if it still waits.
        sends: Times it was sent.
        possible_runs: Upstreams that may have run it.
        tried: Upstreams that had it.
        attempt: Where it is now; None while it waits.
        forwarding_started: Whether the caller has a part of the answer.
        part_uses: How often its last shared part was asked for lately.
        fingerprint: Its fingerprint; empty until it is computed.
    """

    number: int
    new: NewRequest
    route: catalog_module.Route
    service: str
    team: str
    arrived_at: float
    answer_by: float
    target_at: float
    give_up_at: float
    sends: int = 0
    possible_runs: int = 0
    tried: set[str] = dataclasses.field(default_factory=set)
    attempt: Attempt | None = None
    forwarding_started: bool = False
    part_uses: float = 0.0
    fingerprint: bytes = b""


@dataclasses.dataclass(slots=True, frozen=True)
class Placement:
    """A prompt that an engine was sent.

    Attributes:
        upstream: The incarnation.
        prompt: The prompt.
        new_tokens: Tokens of its shared parts that the engine wasn't known to
            hold.
    """

    upstream: str
    prompt: prompts.Prompt
    new_tokens: int


@dataclasses.dataclass(slots=True)
class Disconnect:
    """Connections to an upstream that were lost with requests in progress.

    Attributes:
        since: When the first one was lost.
        fingerprints: Fingerprints of the requests.
        checks: Reachability checks that were started.
        crashed: Whether a check found that the upstream has crashed.
    """

    since: float
    fingerprints: set[bytes] = dataclasses.field(default_factory=set)
    checks: int = 1
    crashed: bool = False


@dataclasses.dataclass(slots=True)
class DirectState:
    """Everything a router that sends directly knows.

    Attributes:
        failure_domain: Where it stands.
        bounds: Bounds of its settings.
        freshness: Lease on the configuration.
        random: Source of draws and jitter.
        stop: The process's stop, once it is to end.
        catalog: Configuration in force; None until the first is known.
        table: The upstreams.
        requests: Requests in progress by number.
        running: How many of them are at an upstream. Counted, as the loop
            asks at each of its passes whether there is one: looking for one
            among 450 that wait took 20 us, and the whole pass takes 3 us now.
        service_queues: Waiting requests by service.
        accounts: What teams received, by service.
        budgets: Second sends, by service.
        urgency: How soon answers are due, by service.
        deadlines: Heap of (time, request).
        uses: How often prompt parts were asked for lately.
        patience: How long callers are ready to wait, by route.
        total_unread_sent: Prompt tokens sent to be read since the other routers
            were last told.
        placements: Prompts with long shared parts sent since then.
        quarantine: Requests suspected of crashing upstreams.
        disconnects: Lost connections, by the process that may have crashed.
        overload: How late the process was lately.
        routers: Routers that were heard lately, this one included.
        dispatch_needed: Whether a place may have come free for a waiting
            request.
        last_dispatch_at: When waiting requests were last looked at.
        min_dispatch_interval: Seconds until they may be looked at again.
        stalls_checked_at: When upstreams were last looked at for silence.
        last_number: Number of the last request.
    """

    failure_domain: str
    bounds: settings.BoundSettings
    freshness: freshness_module.Freshness
    random: random.Random
    stop: stopping.Stop
    catalog: catalog_module.Catalog | None = None
    table: upstreams.UpstreamTable = dataclasses.field(
        default_factory=upstreams.UpstreamTable
    )
    requests: dict[int, Request] = dataclasses.field(default_factory=dict)
    running: int = 0
    service_queues: dict[str, fair_queue.ServiceQueue] = dataclasses.field(
        default_factory=dict
    )
    accounts: dict[str, fair_queue.TeamAccounts] = dataclasses.field(
        default_factory=dict
    )
    budgets: dict[str, budget.RetryBudget] = dataclasses.field(
        default_factory=dict
    )
    urgency: dict[str, latency_targets_module.RecentTargets] = (
        dataclasses.field(default_factory=dict)
    )
    deadlines: list[tuple[float, int]] = dataclasses.field(default_factory=list)
    uses: prompts.PartUsage = dataclasses.field(
        default_factory=prompts.PartUsage
    )
    patience: dict[str, patience_module.Patience] = dataclasses.field(
        default_factory=dict
    )
    total_unread_sent: int = 0
    placements: list[Placement] = dataclasses.field(default_factory=list)
    quarantine: quarantine_module.Quarantine = dataclasses.field(
        default_factory=quarantine_module.Quarantine
    )
    disconnects: dict[quarantine_module.Crash, Disconnect] = dataclasses.field(
        default_factory=dict
    )
    overload: overload_module.Overload = dataclasses.field(
        default_factory=overload_module.Overload
    )
    routers: int = 1
    dispatch_needed: bool = False
    last_dispatch_at: float = 0.0
    min_dispatch_interval: float = 0.0
    stalls_checked_at: float = 0.0
    last_number: int = 0


def create_state(
    failure_domain: str, bounds: settings.BoundSettings, seed: int
) -> DirectState:
    """Creates the state of a process that knows nothing yet.

    Args:
        failure_domain: Where the process stands.
        bounds: Bounds of its settings.
        seed: Seed of its draws.

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
    )


def get_or_create_accounts(
    state: DirectState, service: str
) -> fair_queue.TeamAccounts:
    """Finds what teams received of a service."""
    known = state.accounts.get(service)
    if known is None:
        known = state.accounts[service] = fair_queue.TeamAccounts()
    return known


def find_upstream(
    state: DirectState, attempt: Attempt
) -> upstreams.Upstream | None:
    """Finds the upstream of an attempt; None if it is gone or lives anew."""
    upstream = state.table.by_name.get(attempt.upstream)
    if upstream is None or upstream.listed.born != attempt.born:
        return None
    return upstream


def get_or_create_recent_targets(
    state: DirectState, service: str
) -> latency_targets_module.RecentTargets:
    """Finds how soon answers of a service are due."""
    known = state.urgency.get(service)
    if known is None:
        known = state.urgency[service] = latency_targets_module.RecentTargets()
    return known
