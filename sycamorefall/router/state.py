"""State of a router's decisions. All of it is lost with the process."""

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
    """Where a request stands."""

    WAITING = "waiting"
    HANDED_OUT = "handed_out"
    ASKING = "asking"


@dataclasses.dataclass(slots=True, frozen=True)
class NewRequest:
    """A caller's request as it comes in.

    Attributes:
        service: The service.
        team: The team.
        method: HTTP method towards the upstream.
        path: Path and query towards the upstream.
        headers: Headers to pass on.
        timeout: Seconds the caller waits.
        idempotent: Whether it may be run again.
        cost_hint: The caller's rough estimate in cost units, 0 if none.
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
"""Bytes per second that a router without links may send for announcements."""

HEARTBEAT_RATE = 50.0
"""Bytes per second that the heartbeats of a link take, both ways."""

ANNOUNCE_BURST = 4800.0
"""Bytes of announcements that a router may save up."""


@dataclasses.dataclass(slots=True)
class Hint:
    """Free slots of a sidecar, as it last hinted.

    Attributes:
        incarnation: The sidecar's process.
        slots: Free slots, less what was offered since.
        clock_seconds: The sidecar's clock then, in whole seconds.
    """

    incarnation: int
    slots: int
    clock_seconds: int = 0


@dataclasses.dataclass(slots=True)
class Attempt:
    """A hand-out of a request to a sidecar.

    Attributes:
        attempt_id: Unique over all routers, incarnations and attempts.
        sidecar: VM name of the sidecar.
        incarnation: The sidecar's process when it claimed.
        started: When it was handed out.
        ask_until: When to give up asking for its outcome.
        ask_next: When to ask again.
        offered: Whether no claim asked for it.
        begun: Whether the caller already has part of the answer.
        paused: Whether this router reads no further for a slow caller.
        received: Bytes of the answer that have come.
        heard_at: When something of the answer last came.
        check_interval: Seconds of silence until its outcome is asked for.
        asked_since: Since when a question for it is open, or None.
        behind: Bytes received when the sidecar first said that it had sent
            more, or None.
    """

    attempt_id: str
    sidecar: str
    incarnation: int
    started: float = 0.0
    ask_until: float = 0.0
    ask_next: float = 0.0
    offered: bool = False
    begun: bool = False
    paused: bool = False
    received: int = 0
    heard_at: float = 0.0
    check_interval: float = 0.0
    asked_since: float | None = None
    behind: int | None = None


@dataclasses.dataclass(slots=True)
class Request:
    """A request that this router answers for.

    Attributes:
        number: Its number at this router's incarnation.
        new: What came in.
        arrived: When it came.
        deadline: When its caller stops waiting.
        state: Where it stands.
        attempt: The current hand-out, if there is one.
        attempts: Hand-outs so far.
        failures: Attempts that may have run and gave no answer.
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
    """Everything a router decides from.

    Attributes:
        vm: This router's VM name.
        incarnation: This process's number.
        versions: The configuration in force.
        directory: The VMs of the fleet.
        links: The sidecars that it is linked to.
        waiting: Queues of requests not handed out.
        requests: Requests not yet answered, by number.
        request_by_attempt: Request number by attempt.
        awaiting_outcome: Numbers of requests whose outcome a sidecar is asked
            for.
        checks: Heap of (time, attempt) at which silent attempts are checked;
            may hold attempts that are over.
        deadlines: Heap of (deadline, request); may hold answered requests.
        rates: Drain rate by service and team, least recent departure first.
        run_times: Run time by service.
        budgets: Retry budgets of the teams.
        backoffs: Heap of (time, request) of failed requests that stay out of
            the queues until then; may hold answered requests.
        outages: Since when work of a service can't be run, by service.
        unswept: Queues not yet looked at in the current sweep.
        next_sweep: When waiting work is looked at next.
        announced: What sidecars that claimed believe to wait, by service
            and team: the last announced count, less what left since.
        told: Sidecars that believe something to wait, by service and team.
        counted: Count at the last change, by service and team.
        changed: Services and teams whose count changed and was not looked at
            for an announcement yet.
        fresh: Services that a request has just come for.
        hints: Free slots by service and sidecar.
        announcing: What may be sent for announcements.
        chance: Source of random choices.
        announcements: Sequence number of the last announcement.
        last_request: Number of the last request.
        next_heartbeat: When the next heartbeat is due.
        next_digest: When the next digest of waiting work is due.
        stopping: Whether no new request is taken.
        late_answers: Answers that matched no attempt, dropped.
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
    checks: list[tuple[float, str]] = dataclasses.field(default_factory=list)
    deadlines: list[tuple[float, int]] = dataclasses.field(default_factory=list)
    rates: dict[tuple[str, str], admission.DrainRate] = dataclasses.field(
        default_factory=dict
    )
    run_times: dict[str, admission.RunTime] = dataclasses.field(
        default_factory=dict
    )
    budgets: dispatch.RetryBudgets = dataclasses.field(
        default_factory=dispatch.RetryBudgets
    )
    backoffs: list[tuple[float, int]] = dataclasses.field(default_factory=list)
    outages: dict[str, float] = dataclasses.field(default_factory=dict)
    unswept: list[tuple[str, str]] = dataclasses.field(default_factory=list)
    next_sweep: float = 0.0
    announced: dict[tuple[str, str], int] = dataclasses.field(
        default_factory=dict
    )
    told: dict[tuple[str, str], set[str]] = dataclasses.field(
        default_factory=dict
    )
    counted: dict[tuple[str, str], int] = dataclasses.field(
        default_factory=dict
    )
    changed: set[tuple[str, str]] = dataclasses.field(default_factory=set)
    fresh: set[str] = dataclasses.field(default_factory=set)
    hints: dict[str, dict[str, Hint]] = dataclasses.field(default_factory=dict)
    announcing: sharing.ByteBudget = dataclasses.field(
        default_factory=lambda: sharing.ByteBudget(
            ANNOUNCE_RATE, ANNOUNCE_BURST, ANNOUNCE_BURST
        )
    )
    chance: random.Random = dataclasses.field(default_factory=random.Random)
    announcements: int = 0
    last_request: int = 0
    next_heartbeat: float = 0.0
    next_digest: float = 0.0
    stopping: bool = False
    late_answers: int = 0

    def __post_init__(self):
        """Seeds the choices: alike in each run, different at each router."""
        self.chance.seed(f"{self.vm}/{self.incarnation}")


def find_request(state: RouterState, attempt_id: str) -> Request | None:
    """Finds the request whose current attempt this is.

    Guards against late and repeated answers: what belongs to an earlier
    attempt, or to another incarnation, matches nothing and is counted.

    Args:
        state: The router; the count of late answers may rise.
        attempt_id: The attempt that something was heard of.

    Returns:
        The request, or None.
    """
    number = state.request_by_attempt.get(attempt_id)
    if number is None:
        state.late_answers += 1
        return None
    return state.requests[number]
