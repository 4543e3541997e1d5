"""Requests waiting at a router, per service and team, within bounds."""

__all__ = [
    "TeamQueue",
    "WaitingQueues",
    "add_request",
    "count_requests_ahead",
    "count_waiting",
    "find_longest_queue",
    "get_oldest_arrival",
    "list_deadlines",
    "list_queues",
    "peek_newest",
    "pop_earliest",
    "remove_request",
]

import bisect
import dataclasses
import heapq
import math

SPARE_ENTRIES = 64
"""Outdated entries that the order by length may hold beside its own."""


@dataclasses.dataclass(slots=True)
class TeamQueue:
    """Waiting requests of one team at one service.

    Attributes:
        arrivals: Time of arrival by request, oldest first.
        deadlines: Sorted (deadline, request) of all waiting requests. Taking
            one out moves the rest, which at the few hundred that may wait
            is cheaper than a heap that can't be counted in.
        weight: The team's weight.
    """

    arrivals: dict[int, float] = dataclasses.field(default_factory=dict)
    deadlines: list[tuple[float, int]] = dataclasses.field(default_factory=list)
    weight: float = 1.0


@dataclasses.dataclass(slots=True)
class WaitingQueues:
    """All requests waiting at a router.

    Attributes:
        queues: Team queues by service and team; empty ones are dropped.
        total: Waiting requests over all queues.
        lengths: Heap of (-length by weight, service, team). Each queue has an
            entry that is at least as long as the queue is, and may have
            outdated ones: joining adds an entry, leaving adds none.
        count: Queues that hold requests.
    """

    queues: dict[str, dict[str, TeamQueue]] = dataclasses.field(
        default_factory=dict
    )
    total: int = 0
    lengths: list[tuple[float, str, str]] = dataclasses.field(
        default_factory=list
    )
    count: int = 0


def add_request(
    waiting: WaitingQueues,
    service: str,
    team: str,
    request: int,
    arrived: float,
    deadline: float,
    weight: float | None = None,
) -> None:
    """Adds a request.

    Args:
        waiting: The queues; changed.
        service: The service.
        team: The team.
        request: Number of the request at this router, growing with arrival.
        arrived: When the request came to this router.
        deadline: When its caller stops waiting.
        weight: The team's weight; as known before if None.
    """
    teams = waiting.queues.setdefault(service, {})
    queue = teams.get(team)
    if queue is None:
        queue = teams[team] = TeamQueue()
        waiting.count += 1
    if weight is not None:
        queue.weight = weight
    is_back = bool(queue.arrivals) and request < next(reversed(queue.arrivals))
    queue.arrivals[request] = arrived
    if is_back:
        # A request that waits again is not the newest: it would be the first
        # to be lost on overflow, after it has waited longest.
        queue.arrivals = dict(sorted(queue.arrivals.items()))
    bisect.insort(queue.deadlines, (deadline, request))
    waiting.total += 1
    _note_length(waiting, service, team, queue)


def _note_length(
    waiting: WaitingQueues, service: str, team: str, queue: TeamQueue
) -> None:
    if len(waiting.lengths) > 2 * waiting.count + SPARE_ENTRIES:
        waiting.lengths = [
            (_measure_queue(waiting.queues[name][owner]), name, owner)
            for name, owner in list_queues(waiting)
        ]
        heapq.heapify(waiting.lengths)
    entry = (_measure_queue(queue), service, team)
    heapq.heappush(waiting.lengths, entry)


def _measure_queue(queue: TeamQueue) -> float:
    return -len(queue.arrivals) / queue.weight


def remove_request(
    waiting: WaitingQueues,
    service: str,
    team: str,
    request: int,
    deadline: float,
) -> bool:
    """Takes a request out.

    Args:
        waiting: The queues; changed.
        service: The service.
        team: The team.
        request: The request.
        deadline: Its deadline, as when it joined.

    Returns:
        Whether it was waiting.
    """
    queue = waiting.queues.get(service, {}).get(team)
    if queue is None or request not in queue.arrivals:
        return False
    del queue.deadlines[
        bisect.bisect_left(queue.deadlines, (deadline, request))
    ]
    del queue.arrivals[request]
    waiting.total -= 1
    if not queue.arrivals:
        _drop_queue(waiting, service, team)
    return True


def _drop_queue(waiting: WaitingQueues, service: str, team: str) -> None:
    teams = waiting.queues[service]
    del teams[team]
    waiting.count -= 1
    if not teams:
        del waiting.queues[service]


def pop_earliest(waiting: WaitingQueues, service: str, team: str) -> int | None:
    """Takes out the team's request with the earliest deadline.

    Returns:
        The request, or None if the team has nothing waiting.
    """
    queue = waiting.queues.get(service, {}).get(team)
    if queue is None:
        return None
    deadline, request = queue.deadlines[0]
    remove_request(waiting, service, team, request, deadline)
    return request


def peek_newest(waiting: WaitingQueues, service: str, team: str) -> int | None:
    """Finds the team's request that came last.

    Returns:
        The request, or None if the team has nothing waiting.
    """
    queue = waiting.queues.get(service, {}).get(team)
    return next(reversed(queue.arrivals)) if queue else None


def count_waiting(waiting: WaitingQueues, service: str, team: str) -> int:
    """Counts a team's waiting requests at a service."""
    queue = waiting.queues.get(service, {}).get(team)
    return len(queue.arrivals) if queue else 0


def count_requests_ahead(
    waiting: WaitingQueues, service: str, team: str, deadline: float
) -> int:
    """Counts a team's waiting requests that go before a new one.

    Args:
        waiting: The queues.
        service: The service.
        team: The team.
        deadline: The new request's deadline.

    Returns:
        Requests whose deadline is not later.
    """
    queue = waiting.queues.get(service, {}).get(team)
    if queue is None:
        return 0
    return bisect.bisect_right(queue.deadlines, (deadline, math.inf))


def list_deadlines(
    waiting: WaitingQueues, service: str, team: str
) -> list[tuple[float, int]]:
    """Lists a team's waiting requests as (deadline, request), in order."""
    queue = waiting.queues.get(service, {}).get(team)
    return list(queue.deadlines) if queue else []


def get_oldest_arrival(
    waiting: WaitingQueues, service: str, team: str
) -> float | None:
    """Tells when the team's oldest waiting request arrived."""
    queue = waiting.queues.get(service, {}).get(team)
    return next(iter(queue.arrivals.values())) if queue else None


def find_longest_queue(waiting: WaitingQueues) -> tuple[str, str] | None:
    """Finds the service and team with the most requests waiting by weight.

    An entry at the top of the order that is longer than its queue is now is
    put right and sinks; no queue can be longer than its own entry, so the
    first entry that is true is the longest. Each entry sinks at most as often
    as requests left its queue, so a call costs little however many teams
    have work waiting.

    Args:
        waiting: The queues; only the order by length is put right.

    Returns:
        Service and team, or None if nothing waits.
    """
    while waiting.lengths:
        length, service, team = waiting.lengths[0]
        queue = waiting.queues.get(service, {}).get(team)
        if queue is None:
            heapq.heappop(waiting.lengths)
            continue
        true = _measure_queue(queue)
        if length >= true:
            return service, team
        heapq.heapreplace(waiting.lengths, (true, service, team))
    return None


def list_queues(waiting: WaitingQueues) -> list[tuple[str, str]]:
    """Lists (service, team) of all queues that hold requests."""
    return [
        (service, team)
        for service, teams in waiting.queues.items()
        for team in teams
    ]
