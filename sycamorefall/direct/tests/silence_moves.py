"""Checks of where a router sends requests while upstreams are silent."""

import copy

from sycamorefall.direct import (
    budget,
    dispatching,
    effects,
    eligibility,
    engine_measurement,
    freshness,
    placement_constraints,
    upstreams,
)
from sycamorefall.direct.tests import silent_upstreams

EPSILON = 1e-6

RETRYABLE = ("answer", "look")

BEGUN_LIMIT = 1.0
"""Seconds of silence after which a request whose response has begun moves."""

UNBEGUN_LIMIT = 2.0

PLAIN_LIMIT = 0.5

CHECK_INTERVAL = 0.1
"""Seconds between two checks for silent upstreams."""

RETURN_LIMIT = 0.5
"""Seconds from the first byte after a silence to the next request."""

PLAIN_SLOTS = 8


def has_retry(world, service):
    """Returns whether a retry is left, without taking it."""
    known = copy.deepcopy(
        dispatching.get_or_create_budget(world.state, service)
    )
    return budget.take_retry(known, world.now)


def may_send(world, request):
    """Returns whether a request may be sent again if there is room."""
    router = world.state
    if request.service not in router.catalog.services:
        return False
    if request.deadline - world.now < 2 * silent_upstreams.STEP:
        return False
    return not request.team or freshness.is_fresh(router.freshness, world.now)


def has_room(world, upstream, request):
    """Returns whether the load of an upstream lets it take a request."""
    router = world.state
    engine = router.catalog.services[request.service].engine
    if engine is None:
        return upstream.running < PLAIN_SLOTS
    load = engine_measurement.measure_engine_load(
        copy.copy(upstream), engine, world.now
    )
    constraints = placement_constraints.compute_constraints(
        router, world.now, request
    )
    obstacle = eligibility.find_obstacle(load, engine, constraints, False)
    return obstacle is None


class MoveCheck:
    """Finds requests that stay at a silent upstream though another is free.

    Attributes:
        since: Time since which each request could move, by its number.
    """

    def __init__(self, findings):
        self.findings = findings
        self.since = {}

    def watch(self, world):
        movable = [
            call for call in world.calls.values() if _may_move(world, call)
        ]
        numbers = {call.number for call in movable}
        self.since = {n: at for n, at in self.since.items() if n in numbers}
        limit = CHECK_INTERVAL + silent_upstreams.STEP + EPSILON
        for call in movable:
            since = self.since.setdefault(call.number, world.now)
            if world.now - since > limit:
                del self.since[call.number]
                self.findings.add("stays", world, call, f"since {since:.2f}")


def _may_move(world, call):
    """Returns whether a request is due to move and has a place to go."""
    send = call.current
    if call.route not in RETRYABLE or send is None or send.fate is not None:
        return False
    if any(one.end not in silent_upstreams.DECLINED for one in call.sends[:-1]):
        return False
    request = world.state.requests[call.number]
    if request.attempt is None or not _is_silent(world, call, request.attempt):
        return False
    if not may_send(world, request) or not has_retry(world, call.service):
        return False
    busy = {one.name for one in world.processes if one.runs}
    return any(
        one.listed.name not in busy | request.tried
        and not one.running
        and upstreams.is_usable(one, world.now)
        and has_room(world, one, request)
        for one in upstreams.list_upstreams(world.state.table, call.service)
    )


def _is_silent(world, call, attempt):
    send = call.current
    if call.service == "ledger":
        return world.now - send.at > PLAIN_LIMIT + EPSILON
    limit = BEGUN_LIMIT if attempt.response_started else UNBEGUN_LIMIT
    return world.now - max(send.process.heard_at, send.at) > limit + EPSILON


class ReturnCheck:
    """Finds upstreams that send again after a silence and get no requests.

    Attributes:
        since: Time of the first byte after the silence by upstream, as long as
            requests have waited for the upstream ever since.
        sent_at: Time of the last send to each upstream.
    """

    def __init__(self, findings):
        self.findings = findings
        self.since = {}
        self.sent_at = {}

    def observe(self, world, pending):
        for effect in pending:
            if isinstance(effect, effects.SendRequest):
                self.sent_at[effect.upstream] = world.now

    def watch(self, world):
        for process in world.list_live():
            if process.back_at == world.now:
                self.since[process] = world.now
        self.since = {
            process: since
            for process, since in self.since.items()
            if self.sent_at.get(process.name, -1.0) < since
            and _is_awaited(world, process)
        }
        for process, since in list(self.since.items()):
            if world.now - since > RETURN_LIMIT + EPSILON:
                del self.since[process]
                self.findings.by_check["idles"].append(
                    f"{world.now:.2f} s: {process.name} sends since {since:.2f}"
                )


def _is_awaited(world, process):
    """Returns whether requests wait that an upstream could take now."""
    table, service = world.state.table, process.entry.service
    upstream = table.by_name.get(process.name)
    if (
        upstream not in upstreams.list_upstreams(table, service)
        or upstream.listed.start_time != process.entry.start_time
        or upstreams.is_leaving(upstream)
        or not process.sends(world.now)
        or not process.runs
    ):
        return False
    waiting = [
        one
        for one in world.state.requests.values()
        if one.attempt is None and one.service == service
    ]
    return bool(waiting) and all(
        process.name not in one.tried
        and may_send(world, one)
        and (not one.arrivals or has_retry(world, service))
        and has_room(world, upstream, one)
        for one in waiting
    )
