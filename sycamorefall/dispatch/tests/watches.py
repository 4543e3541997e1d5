"""Watches over requests whose sidecar is never heard again, in a play."""

import dataclasses

from sycamorefall.dispatch.tests import model
from sycamorefall.router import intake
from sycamorefall.sidecar import claiming

MOVE_AFTER = 2.0
"""Seconds of unanswered queries after which a request that may run again is
to wait for another sidecar; see docs/design/outcomes.md."""

GONE_AFTER = 10.0
"""Seconds of unanswered queries after which a sidecar may be taken for gone;
no caller is to be held longer by it. See docs/design/outcomes.md."""

CLAIM_SECONDS = 2.0
"""Seconds in which a free sidecar learns of a waiting request and claims it,
one lost announcement included."""

TAKE_OVER_SECONDS = 1.0
"""Seconds in which a check, an announcement and a claim follow each other."""


@dataclasses.dataclass(slots=True)
class Watch:
    """A request whose sidecar is never heard again by its router.

    Attributes:
        request: Name of the request.
        router: VM name and incarnation of its router.
        number: Number of the request at the router.
        attempt_id: The attempt that was lost.
        next_query_at: When the sidecar would next have been queried, by the
            fleet's time.
        room_since: Since when another sidecar has had room for the request;
            infinite if none has.
    """

    request: str
    router: tuple[str, int]
    number: int
    attempt_id: str
    next_query_at: float
    room_since: float = float("inf")


def watch_requests(play, sidecar: str) -> list[Watch]:
    """Creates watches over the requests that run at a sidecar as it is lost.

    Args:
        play: The play, see `silence.Play`.
        sidecar: VM name of the sidecar.

    Returns:
        The watches.
    """
    watches: list[Watch] = []
    for attempt_id, connection in play.connections.items():
        name, incarnation = connection.router
        state = play.processes[name].state
        number = state.request_by_attempt.get(attempt_id)
        lost = connection.order.sidecar == sidecar
        if lost and number is not None and attempt_id in play.runs:
            router = name, incarnation
            watches.append(
                Watch(connection.request, router, number, attempt_id, play.now)
            )
    return watches


def check_watches(play) -> None:
    """Notes which lost attempts were let go, and which hold their requests."""
    for watch in list(play.watches):
        name, incarnation = watch.router
        state = play.processes[name].state
        request = state.requests.get(watch.number)
        moved = play.latest[watch.request] != watch.attempt_id
        replaced = play.processes[name].incarnation != incarnation
        if request is None or moved or replaced:
            play.watches.remove(watch)
            since = play.now - watch.next_query_at
            play.let_go_after[watch.request] = since
            continue
        if play.processes[name].frozen:
            continue
        attempt = request.attempt
        if attempt is not None and attempt.unanswered_since is None:
            due = max(
                attempt.next_query_at,
                attempt.last_heard_at + attempt.check_interval,
            )
            due -= play.processes[name].clock_offset
            watch.next_query_at = max(watch.next_query_at, due)
        if play.now > _compute_bound(play, state, request, watch):
            play.watches.remove(watch)
            play.waited_longer.append((watch.request, request.state.value))


def _has_room(play, name: str) -> bool:
    process = play.processes[name]
    return (
        not process.frozen
        and not play.is_cut(name)
        and claiming.may_claim(process.state)
        and claiming.count_free_slots(process.state) > 0
    )


def _compute_bound(play, state, request, watch: Watch) -> float:
    """Computes until when a lost attempt may hold its request.

    Until a sidecar is gone, a request without another place is held for it.
    """
    new = request.new
    now = play.clock(watch.router[0])
    budget = state.retry_budgets.teams.get(new.team)
    queue = state.waiting.queues.get(new.service, {}).get(new.team)
    waits = queue is not None and watch.number in queue.arrivals
    may_move = waits or (
        new.idempotent
        and not (request.attempt and request.attempt.forwarding_started)
        and (budget is None or budget.tokens >= 1.0)
        and intake.find_outage(state, now, new.service) is None
    )
    has_room = any(_has_room(play, name) for name in model.SIDECARS)
    if not (may_move and has_room):
        watch.room_since = float("inf")
    elif watch.room_since == float("inf"):
        watch.room_since = play.now
    paused = sum(
        silence.end - silence.begin
        for silence in play.silences
        if silence.vm == watch.router[0]
    )
    lost_at = watch.next_query_at + paused
    move_by = max(
        lost_at + MOVE_AFTER + TAKE_OVER_SECONDS,
        watch.room_since + CLAIM_SECONDS,
    )
    give_up_by = lost_at + GONE_AFTER + TAKE_OVER_SECONDS
    return move_by if waits else min(move_by, give_up_by)
