"""Judges the requests of a run by what callers and upstreams saw."""

import dataclasses
import math

from soak import callers, fleet

CONTACT_TIME = 3.0
"""Seconds after a fault from outside for which losses there are excused."""

LOSS_SLACK = 0.2
"""Seconds within which an unread request may cross a close."""

NOT_RUN_STATUSES = (408, 421, 429, 503)
"""Statuses that promise that a request has not run and never will."""

LATE_SEND = 3.0
"""Seconds after SIGTERM until which a request may still be at work at the end
of the grace time."""


@dataclasses.dataclass(slots=True)
class Verdict:
    """What a run showed.

    Attributes:
        counts: Number of requests by what they came to.
        lost: Requests that ended without an answer, with no excuse.
        excused: Number of those with one, by excuse.
        others: Requests that broke another promise, with its name.
    """

    counts: dict[str, int]
    lost: list[tuple[callers.Outcome, list]]
    excused: dict[str, int]
    others: list[tuple[str, callers.Outcome, list]]


def judge(
    outcomes: list[callers.Outcome],
    runs: dict[str, list[tuple[str, str, float]]],
    routers: list[fleet.Router],
    broken_upstreams: list[tuple[str, float, float]],
    silent_links: list[tuple[str, float, float]],
    link_ends: dict[int, list[fleet.LinkEnd]],
) -> Verdict:
    """Judges all requests.

    Args:
        outcomes: What callers saw.
        runs: What upstreams ran, by request.
        routers: The routers, with the faults on them.
        broken_upstreams: Upstream, begin and end of each fault by which it
            breaks answers off.
        silent_links: Upstream, begin and end of each time in which its link
            held bytes.
        link_ends: How routers ended callers' connections, by the port of the
            caller.
    """
    verdict = Verdict({}, [], {}, [])
    by_name = {router.name: router for router in routers}
    for outcome in outcomes:
        run = runs.get(outcome.request, [])
        begun = [one for one in run if one[1] == "begun"]
        key = str(outcome.status) if outcome.whole else "no answer"
        verdict.counts[key] = verdict.counts.get(key, 0) + 1
        once = not outcome.kind.repeatable
        refused = outcome.whole and outcome.status in NOT_RUN_STATUSES
        if once and refused and begun:
            verdict.others.append(("REFUSED", outcome, run))
        if once and len(begun) > 1:
            verdict.others.append(("TWICE", outcome, run))
        if outcome.whole:
            continue
        if outcome.error == "another body":
            verdict.others.append(("MIXED", outcome, run))
            continue
        excuse = _find_excuse(
            outcome,
            run,
            by_name[outcome.router],
            broken_upstreams,
            silent_links,
            link_ends.get(outcome.port, []),
        )
        if excuse:
            verdict.excused[excuse] = verdict.excused.get(excuse, 0) + 1
        else:
            verdict.lost.append((outcome, run))
    return verdict


def _find_end(outcome, link_ends) -> fleet.LinkEnd | None:
    """Returns how the router ended a request's connection, if it did."""
    known = [
        end
        for end in link_ends
        if outcome.connected_at <= end.at <= outcome.ended_at + LOSS_SLACK
    ]
    return known[-1] if known else None


def _find_crossing(outcome, end) -> str:
    """Returns how an unread request crossed the close of its connection.

    It ends soon after it was sent, and the relay in front of the router tells
    whether the router ended the connection before the request reached it, or
    shortly after.
    """
    if end is None or outcome.ended_at - outcome.sent_at > LOSS_SLACK:
        return ""
    if end.passed_on_at is None:
        return "no router listened"
    if end.passed_on_at < outcome.sent_at:
        return "unread, closed before it arrived"
    if end.at - end.passed_on_at <= LOSS_SLACK:
        return "unread, crossed the close"
    return ""


def _find_excuse(
    outcome, run, router, broken_upstreams, silent_links, link_ends
) -> str:
    """Returns why a request without an answer is not lost; empty if it is."""
    sent, ended = outcome.sent_at, outcome.ended_at
    if outcome.status and ended - sent >= outcome.kind.time_left - 0.1:
        return "deadline of an answer that has begun"
    if any(
        begin < ended + 0.1 and sent - CONTACT_TIME < end
        for begin, end in router.disturbed
    ):
        return "router disturbed"
    begun = [one for one in run if one[1] == "begun"]
    link_end = _find_end(outcome, link_ends)
    answered = link_end.at if link_end else ended
    for name, begin, end in broken_upstreams:
        was_there = any(one == name and at < end for one, _, at in begun)
        # A send that was given up before may be read later by an upstream that
        # stands still, and a slow caller sees the end later.
        went_on = any(end < at < answered for _, _, at in begun)
        if was_there and not went_on and begin < ended + 0.1 and end > sent:
            return "upstream broke off"
    if not run and (crossing := _find_crossing(outcome, link_end)):
        return crossing
    ends = [at for _, change, at in run if change != "begun"]
    worked_until = (
        math.inf if len(ends) < len(begun) else max(ends, default=0.0)
    )
    # A slow caller may see the end of its connection long after the kill, and
    # so may an upstream that stands still.
    seen_first = min(ended, worked_until)
    for stopped in router.stopped_at:
        last_sixth = stopped + fleet.GRACE * 5 / 6
        killed = stopped + fleet.GRACE
        was_at_work = begun and last_sixth < seen_first <= killed + 1.0
        if stopped <= ended and sent <= stopped + LATE_SEND and was_at_work:
            return "still at work at the end of the grace time"
        if ended >= killed and any(
            begin < killed < end and name in {one for one, _, _ in run}
            for name, begin, end in silent_links
        ):
            return "answer on a silent link at the end of the grace time"
    return ""
