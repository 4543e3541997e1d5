"""Queues of the requests that wait at a router, by service and team."""

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

MAX_STALE_ENTRIES = 64
"""Outdated entries of the length heap, besides one per queue, that are kept.

With more of them the heap is rebuilt.
"""


@dataclasses.dataclass(slots=True)
class TeamQueue:
    """Waiting requests of one team at one service.

    Attributes:
        arrivals: Arrival time by request, oldest request first.
        deadlines: Sorted (deadline, request) of all waiting requests. A
            removal shifts the items behind it. At the few hundred requests
            that may wait this is cheaper than a heap, in which the requests
            before a deadline can't be counted by bisection.
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
        length_heap: Heap of (-length / weight, service, team). Each queue
            has an entry that is at least as long as the queue, and may have
            outdated ones: adding a request pushes an entry, removing one
            does not.
        queue_count: Queues that hold requests.
    """

    queues: dict[str, dict[str, TeamQueue]] = dataclasses.field(
        default_factory=dict
    )
    total: int = 0
    length_heap: list[tuple[float, str, str]] = dataclasses.field(
        default_factory=list
    )
    queue_count: int = 0


def add_request(
    waiting: WaitingQueues,
    service: str,
    team: str,
    request: int,
    arrived: float,
    deadline: float,
    weight: float | None = None,
) -> None:
    """Adds a request to the queue of its service and team.

    Args:
        waiting: The queues; changed.
        service: The service.
        team: The team.
        request: Number of the request at this router; increases with each
            arrival.
        arrived: When the request arrived at this router.
        deadline: When the request's caller stops waiting.
        weight: The team's weight; unchanged if None.
    """
    teams = waiting.queues.setdefault(service, {})
    queue = teams.get(team)
    if queue is None:
        queue = teams[team] = TeamQueue()
        waiting.queue_count += 1
    if weight is not None:
        queue.weight = weight
    is_requeued = bool(queue.arrivals) and request < next(
        reversed(queue.arrivals)
    )
    queue.arrivals[request] = arrived
    if is_requeued:
        # A request that is queued again must not become the newest one, as
        # the newest is dropped first on overflow, and it has waited longest.
        queue.arrivals = dict(sorted(queue.arrivals.items()))
    bisect.insort(queue.deadlines, (deadline, request))
    waiting.total += 1
    _push_length(waiting, service, team, queue)


def _push_length(
    waiting: WaitingQueues, service: str, team: str, queue: TeamQueue
) -> None:
    if len(waiting.length_heap) > 2 * waiting.queue_count + MAX_STALE_ENTRIES:
        waiting.length_heap = [
            (
                _compute_heap_key(waiting.queues[name][queue_team]),
                name,
                queue_team,
            )
            for name, queue_team in list_queues(waiting)
        ]
        heapq.heapify(waiting.length_heap)
    entry = (_compute_heap_key(queue), service, team)
    heapq.heappush(waiting.length_heap, entry)


def _compute_heap_key(queue: TeamQueue) -> float:
    return -len(queue.arrivals) / queue.weight


def remove_request(
    waiting: WaitingQueues,
    service: str,
    team: str,
    request: int,
    deadline: float,
) -> bool:
    """Removes a request from its queue.

    Args:
        waiting: The queues; changed.
        service: The service.
        team: The team.
        request: Number of the request.
        deadline: The deadline with which the request was added.

    Returns:
        Whether the request was waiting.
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
    waiting.queue_count -= 1
    if not teams:
        del waiting.queues[service]


def pop_earliest(waiting: WaitingQueues, service: str, team: str) -> int | None:
    """Removes the team's request with the earliest deadline.

    Returns:
        The request's number, or None if no request of the team waits.
    """
    queue = waiting.queues.get(service, {}).get(team)
    if queue is None:
        return None
    deadline, request = queue.deadlines[0]
    remove_request(waiting, service, team, request, deadline)
    return request


def peek_newest(waiting: WaitingQueues, service: str, team: str) -> int | None:
    """Returns the team's request that arrived last, without removing it.

    Returns:
        The request's number, or None if no request of the team waits.
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
    """Counts a team's waiting requests that leave before a new one.

    Args:
        waiting: The queues.
        service: The service.
        team: The team.
        deadline: The new request's deadline.

    Returns:
        Number of requests whose deadline is not later.
    """
    queue = waiting.queues.get(service, {}).get(team)
    if queue is None:
        return 0
    return bisect.bisect_right(queue.deadlines, (deadline, math.inf))


def list_deadlines(
    waiting: WaitingQueues, service: str, team: str
) -> list[tuple[float, int]]:
    """Lists (deadline, request) of a team's requests, sorted by deadline."""
    queue = waiting.queues.get(service, {}).get(team)
    return list(queue.deadlines) if queue else []


def get_oldest_arrival(
    waiting: WaitingQueues, service: str, team: str
) -> float | None:
    """Returns the arrival time of the team's oldest request, or None."""
    queue = waiting.queues.get(service, {}).get(team)
    return next(iter(queue.arrivals.values())) if queue else None


def find_longest_queue(waiting: WaitingQueues) -> tuple[str, str] | None:
    """Finds the queue with the most requests in proportion to its weight.

    If the top entry of the heap is longer than its queue is now, the entry is
    corrected and sifted down. No queue is longer than its longest entry, so
    the first correct entry at the top belongs to the longest queue. An entry
    is corrected at most as often as requests left its queue. The amortized
    cost of a call is thus low, however many teams have waiting requests.

    Args:
        waiting: The queues; only outdated heap entries are changed.

    Returns:
        Service and team, or None if no request waits.
    """
    while waiting.length_heap:
        length, service, team = waiting.length_heap[0]
        queue = waiting.queues.get(service, {}).get(team)
        if queue is None:
            heapq.heappop(waiting.length_heap)
            continue
        true = _compute_heap_key(queue)
        if length >= true:
            return service, team
        heapq.heapreplace(waiting.length_heap, (true, service, team))
    return None


def list_queues(waiting: WaitingQueues) -> list[tuple[str, str]]:
    """Lists (service, team) of all nonempty queues."""
    return [
        (service, team)
        for service, teams in waiting.queues.items()
        for team in teams
    ]
