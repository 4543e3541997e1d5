"""Requests waiting at a router, per service and team, within bounds."""

__all__ = [
    "TeamQueue",
    "WaitingQueues",
    "count_waiting",
    "find_longest_queue",
    "join_queue",
    "leave_queue",
    "list_queues",
    "peek_oldest",
    "pop_earliest",
    "pop_newest",
]

import dataclasses
import heapq


@dataclasses.dataclass(slots=True)
class TeamQueue:
    """Waiting requests of one team at one service.

    Attributes:
        arrivals: Time of arrival by request, oldest first.
        deadlines: Heap of (deadline, request); may hold requests that left.
    """

    arrivals: dict[int, float] = dataclasses.field(default_factory=dict)
    deadlines: list[tuple[float, int]] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class WaitingQueues:
    """All requests waiting at a router.

    Attributes:
        queues: Team queues by service and team; empty ones are dropped.
        total: Waiting requests over all queues.
    """

    queues: dict[str, dict[str, TeamQueue]] = dataclasses.field(
        default_factory=dict
    )
    total: int = 0


def join_queue(
    waiting: WaitingQueues,
    service: str,
    team: str,
    request: int,
    arrived: float,
    deadline: float,
) -> None:
    """Adds a request.

    Args:
        waiting: The queues; changed.
        service: The service.
        team: The team.
        request: Number of the request at this router.
        arrived: When the request came to this router.
        deadline: When its caller stops waiting.
    """
    teams = waiting.queues.setdefault(service, {})
    queue = teams.setdefault(team, TeamQueue())
    queue.arrivals[request] = arrived
    heapq.heappush(queue.deadlines, (deadline, request))
    waiting.total += 1


def leave_queue(
    waiting: WaitingQueues, service: str, team: str, request: int
) -> bool:
    """Takes a request out.

    Returns:
        Whether it was waiting.
    """
    queue = waiting.queues.get(service, {}).get(team)
    if queue is None or request not in queue.arrivals:
        return False
    del queue.arrivals[request]
    waiting.total -= 1
    if not queue.arrivals:
        _drop_queue(waiting, service, team)
    elif len(queue.deadlines) > 2 * len(queue.arrivals) + 16:
        _compact_heap(queue)
    return True


def _drop_queue(waiting: WaitingQueues, service: str, team: str) -> None:
    teams = waiting.queues[service]
    del teams[team]
    if not teams:
        del waiting.queues[service]


def _compact_heap(queue: TeamQueue) -> None:
    queue.deadlines = [
        entry for entry in queue.deadlines if entry[1] in queue.arrivals
    ]
    heapq.heapify(queue.deadlines)


def pop_earliest(waiting: WaitingQueues, service: str, team: str) -> int | None:
    """Takes out the team's request with the earliest deadline.

    Returns:
        The request, or None if the team has nothing waiting.
    """
    queue = waiting.queues.get(service, {}).get(team)
    while queue is not None and queue.deadlines:
        _, request = heapq.heappop(queue.deadlines)
        if leave_queue(waiting, service, team, request):
            return request
    return None


def pop_newest(waiting: WaitingQueues, service: str, team: str) -> int | None:
    """Takes out the team's request that came last.

    Returns:
        The request, or None if the team has nothing waiting.
    """
    queue = waiting.queues.get(service, {}).get(team)
    if queue is None:
        return None
    request = next(reversed(queue.arrivals))
    leave_queue(waiting, service, team, request)
    return request


def count_waiting(waiting: WaitingQueues, service: str, team: str) -> int:
    """Counts a team's waiting requests at a service."""
    queue = waiting.queues.get(service, {}).get(team)
    return len(queue.arrivals) if queue else 0


def peek_oldest(
    waiting: WaitingQueues, service: str, team: str
) -> float | None:
    """Tells when the team's oldest waiting request arrived."""
    queue = waiting.queues.get(service, {}).get(team)
    return next(iter(queue.arrivals.values())) if queue else None


def find_longest_queue(waiting: WaitingQueues) -> tuple[str, str] | None:
    """Finds the service and team with the most requests waiting."""
    return max(
        list_queues(waiting),
        key=lambda pair: count_waiting(waiting, *pair),
        default=None,
    )


def list_queues(waiting: WaitingQueues) -> list[tuple[str, str]]:
    """Lists (service, team) of all queues that hold requests."""
    return [
        (service, team)
        for service, teams in waiting.queues.items()
        for team in teams
    ]
