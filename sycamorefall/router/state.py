"""State of a router's decision logic, which is lost with the process."""

__all__ = [
    "Attempt",
    "Hint",
    "NewRequest",
    "Request",
    "RequestState",
    "RouterState",
    "find_request",
]

import dataclasses
import enum
import random

from sycamorefall import (
    admission,
    configuration,
    dispatch,
    membership,
    sharing,
)


class RequestState(enum.Enum):
    """Processing state of a request.

    WAITING: in a queue, or delayed before a retry.
    IN_PROGRESS: sent to a sidecar; the attempt is in progress. If the sidecar
        is silent, the request may wait in its queue at the same time.
    AWAITING_OUTCOME: the connection broke; the sidecar is queried for the
        outcome.
    """

    WAITING = "waiting"
    IN_PROGRESS = "handed_out"
    AWAITING_OUTCOME = "asking"


@dataclasses.dataclass(slots=True, frozen=True)
class NewRequest:
    """A caller's request as parsed, before admission.

    Attributes:
        service: Name of the service.
        team: Name of the team that the request is accounted to.
        method: HTTP method of the request to the upstream.
        path: Path and query of the request to the upstream.
        headers: Headers that are forwarded to the upstream.
        timeout: Seconds that the caller waits.
        idempotent: Whether the request may run more than once.
        cost_hint: The caller's rough estimate of the cost, in cost units; 0 if
            none.
    """

    service: str
    team: str
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    timeout: float
    idempotent: bool
    cost_hint: float = 0.0


ANNOUNCE_RATE = 3300.0
"""Bytes per second of announcements of a router without links."""

HEARTBEAT_RATE = 50.0
"""Bytes per second that heartbeats use per link, in both directions."""

ANNOUNCE_BURST = 4800.0
"""Maximum bytes of announcements that a router may accumulate."""


@dataclasses.dataclass(slots=True)
class Hint:
    """Free slots of a sidecar, as last reported by it.

    Attributes:
        incarnation: The sidecar's incarnation.
        slots: Free slots, minus those reserved since the report.
        clock_seconds: Time of the sidecar's clock at the report, in whole
            seconds.
    """

    incarnation: int
    slots: int
    clock_seconds: int = 0


@dataclasses.dataclass(slots=True)
class Attempt:
    """One try to run a request at a sidecar.

    Attributes:
        attempt_id: ID, unique over all routers, incarnations and attempts.
        sidecar: VM name of the sidecar.
        incarnation: The sidecar's incarnation when the attempt was created.
        started_at: When the request was sent to the sidecar.
        query_until: Time from which the outcome is no longer queried.
        next_query_at: When the sidecar is queried next.
        offered: Whether the attempt is an offer, made without a claim.
        forwarding_started: Whether the caller already has part of the response.
        paused: Whether reading the response is paused for a slow caller.
        received: Bytes of the response's body received so far.
        last_heard_at: When a part of the response or a report was last
            received.
        check_interval: Seconds of silence after which the sidecar is queried.
        unanswered_since: When the sidecar was first queried without a report
            since; None if no query is open.
        received_when_behind: Bytes received when a report first said that the
            sidecar had sent more; None if no report does.
        behind_since: When that report arrived.
        seeking: Whether its request waits in its queue for another sidecar
            while this attempt is kept.
    """

    attempt_id: str
    sidecar: str
    incarnation: int
    started_at: float = 0.0
    query_until: float = 0.0
    next_query_at: float = 0.0
    offered: bool = False
    forwarding_started: bool = False
    paused: bool = False
    received: int = 0
    last_heard_at: float = 0.0
    check_interval: float = 0.0
    unanswered_since: float | None = None
    received_when_behind: int | None = None
    behind_since: float = 0.0
    seeking: bool = False


@dataclasses.dataclass(slots=True)
class Request:
    """A request that this router has to answer.

    Attributes:
        number: Number of the request, unique within the router's incarnation.
        new: The request as parsed.
        arrived: When the request arrived.
        deadline: When the caller stops waiting.
        state: Processing state.
        attempt: The current attempt, if any.
        attempts: Number of attempts so far.
        failures: Number of attempts that may have run but brought no response.
    """

    number: int
    new: NewRequest
    arrived: float
    deadline: float
    state: RequestState = RequestState.WAITING
    attempt: Attempt | None = None
    attempts: int = 0
    failures: int = 0


@dataclasses.dataclass(slots=True)
class RouterState:
    """State of a router's decision logic.

    Attributes:
        vm: VM name of this router.
        incarnation: Incarnation of this process.
        versions: The configuration in force.
        directory: The VMs of the fleet.
        links: The sidecars to which this router is linked.
        waiting: Queues of waiting requests.
        requests: Requests not yet answered, by number.
        request_by_attempt: Request number by attempt ID.
        awaiting_outcome: Numbers of requests for whose outcome a sidecar is
            queried.
        seeking: Numbers of requests that wait for another sidecar while their
            attempt is kept.
        checks: Heap of (time, attempt ID) at which attempts are checked
            for stalls; may contain attempts that have ended.
        deadlines: Heap of (deadline, request number); may contain answered
            requests.
        drain_rates: Drain rate of each queue by service and team, least recent
            departure first.
        run_times: Run-time estimate by service.
        retry_budgets: Retry budgets of the teams.
        backoffs: Heap of (time, request number) of failed requests that are
            queued again at that time; may contain answered requests.
        outages: Time since which a service can't run requests, by service.
        unswept_queues: Queues not yet visited in the current sweep.
        next_sweep_at: When waiting requests are next swept.
        announced_counts: Waiting requests as known to the sidecars that claim,
            by service and team: the last announced count minus the requests
            that have left since.
        informed_sidecars: Sidecars to which waiting requests were announced, by
            service and team.
        last_counts: Waiting requests at the last recorded change, by service
            and team.
        changed_queues: Services and teams whose count changed since the last
            announcement of changes.
        services_with_new_requests: Services with requests that arrived since
            offers were last made.
        hints: Free slots by service and sidecar.
        announcement_budget: Byte budget of announcements.
        rng: Source of random choices.
        last_announcement: Sequence number of the last announcement.
        last_request: Number of the last request.
        next_heartbeat_at: When the next heartbeat is due.
        next_full_announcement_at: Earliest time of the next full announcement.
        stopping: Whether new requests are refused.
        late_answers: Number of dropped responses and reports that matched no
            attempt.
    """

    vm: str
    incarnation: int
    versions: configuration.VersionState = dataclasses.field(
        default_factory=configuration.VersionState
    )
    directory: membership.Directory = dataclasses.field(
        default_factory=membership.Directory
    )
    links: membership.Links = dataclasses.field(
        default_factory=membership.Links
    )
    waiting: sharing.WaitingQueues = dataclasses.field(
        default_factory=sharing.WaitingQueues
    )
    requests: dict[int, Request] = dataclasses.field(default_factory=dict)
    request_by_attempt: dict[str, int] = dataclasses.field(default_factory=dict)
    awaiting_outcome: set[int] = dataclasses.field(default_factory=set)
    seeking: set[int] = dataclasses.field(default_factory=set)
    checks: list[tuple[float, str]] = dataclasses.field(default_factory=list)
    deadlines: list[tuple[float, int]] = dataclasses.field(default_factory=list)
    drain_rates: dict[tuple[str, str], admission.DrainRate] = dataclasses.field(
        default_factory=dict
    )
    run_times: dict[str, admission.RunTime] = dataclasses.field(
        default_factory=dict
    )
    retry_budgets: dispatch.RetryBudgets = dataclasses.field(
        default_factory=dispatch.RetryBudgets
    )
    backoffs: list[tuple[float, int]] = dataclasses.field(default_factory=list)
    outages: dict[str, float] = dataclasses.field(default_factory=dict)
    unswept_queues: list[tuple[str, str]] = dataclasses.field(
        default_factory=list
    )
    next_sweep_at: float = 0.0
    announced_counts: dict[tuple[str, str], int] = dataclasses.field(
        default_factory=dict
    )
    informed_sidecars: dict[tuple[str, str], set[str]] = dataclasses.field(
        default_factory=dict
    )
    last_counts: dict[tuple[str, str], int] = dataclasses.field(
        default_factory=dict
    )
    changed_queues: set[tuple[str, str]] = dataclasses.field(
        default_factory=set
    )
    services_with_new_requests: set[str] = dataclasses.field(
        default_factory=set
    )
    hints: dict[str, dict[str, Hint]] = dataclasses.field(default_factory=dict)
    announcement_budget: sharing.ByteBudget = dataclasses.field(
        default_factory=lambda: sharing.ByteBudget(
            ANNOUNCE_RATE, ANNOUNCE_BURST, ANNOUNCE_BURST
        )
    )
    rng: random.Random = dataclasses.field(default_factory=random.Random)
    last_announcement: int = 0
    last_request: int = 0
    next_heartbeat_at: float = 0.0
    next_full_announcement_at: float = 0.0
    stopping: bool = False
    late_answers: int = 0

    def __post_init__(self):
        """Seeds the random choices, reproducibly and differently per router."""
        self.rng.seed(f"{self.vm}/{self.incarnation}")


def find_request(state: RouterState, attempt_id: str) -> Request | None:
    """Looks up the request whose current attempt has a given ID.

    A late or repeated response or report belongs to an earlier attempt or to
    another incarnation. It matches no request, is counted and dropped.

    Args:
        state: The router's state; `late_answers` is incremented on a miss.
        attempt_id: ID of the attempt.

    Returns:
        The request, or None.
    """
    number = state.request_by_attempt.get(attempt_id)
    if number is None:
        state.late_answers += 1
        return None
    return state.requests[number]
