"""Admission, waiting, and refusal of requests at a router."""

import pytest

from benchmarks import admission as bench
from sycamorefall import admission, membership
from sycamorefall.router import attempt_lifecycle, sweep
from sycamorefall.router.tests import fakes


def serve_at_interval(router, start, count, interval):
    """Admits and completes a request per interval; one always waits."""
    for index in range(count):
        now = start + index * interval
        router.run(now)
        router.admit(now)
        if index:
            router.end(now, router.claim(now))
    return start + count * interval


def admit_many(router, now, count, **options):
    return [router.admit(now, **options) for _ in range(count)]


def test_wait_beyond_the_deadline_is_answered_at_once():
    router = fakes.Router()
    now = serve_at_interval(router, 0.0, 20, interval=1.0)
    admit_many(router, now, 9)
    deep = [router.admit(now, timeout=8.0)[1] for _ in range(12)]
    refused = [entry for answers in deep for entry in answers]
    assert {entry[1:3] for entry in refused} == {
        ("wait_exceeds_deadline", "no")
    }
    # Earlier deadlines are served first: about eight requests fit in 8 s.
    assert len(refused) == 4
    assert [entry[3] for entry in refused] == [19, 19, 19, 19]


def test_outdated_slow_rate_does_not_refuse_forever():
    """Upstreams get fast again after a time in which a slow rate was measured.

    By the slow rate, callers would be refused while all slots are free: with no
    request admitted, none departs, and the rate never changes. Therefore one
    request is always admitted, and each departure updates the rate.
    """
    router = fakes.Router()
    now = serve_at_interval(router, 0.0, 12, interval=10.0)
    router.run(now)
    while router.claim(now):
        pass
    assert router.admit(now, timeout=1.0)[1] == []
    assert router.admit(now, timeout=1.0)[1] != []
    refused = 0
    for _ in range(60):
        now += 0.02
        router.run(now)
        refused += len(router.admit(now, timeout=1.0)[1])
        router.claim(now)
    assert refused < 40
    assert router.admit(now, timeout=1.0)[1] == []


def test_caller_with_less_time_than_most_requests_run_may_wait():
    """Most responses take eight seconds; a caller's timeout is six.

    Some responses are short, so the request may be served in time. It must not
    be refused for the run time alone whenever another request waits.
    """
    router = fakes.Router()
    now = serve_at_interval(router, 0.0, 12, interval=0.1)
    sent = router.claim(now)
    router.admit(now)
    router.state.run_times["assistant"] = admission.RunTime(8.0, now)
    router.end(now + 8.0, sent)
    assert router.admit(now, timeout=6.0)[1] == []
    assert router.admit(now, timeout=6.0)[1] == []
    deep = [router.admit(now, timeout=6.0)[1] for _ in range(35)]
    assert any(deep)


def test_old_drain_rate_of_an_idle_team_is_dropped():
    router = fakes.Router()
    now = serve_at_interval(router, 0.0, 12, interval=2.0)
    while router.claim(now):
        pass
    assert router.state.drain_rates
    now += admission.RATE_LIFETIME + 1.0
    router.run(now)
    router.run(now + 1.0)
    assert not router.state.drain_rates
    assert all(
        not answers for _, answers in admit_many(router, now, 20, timeout=3.0)
    )


def test_state_of_idle_teams_is_dropped():
    """With 31,000 teams that call now and then, memory must stay bounded."""
    router = fakes.Router()
    for index in range(2000):
        now = index * 0.1
        team = f"team-{index}"
        router.admit(now, team=team)
        router.run(now)
        router.end(now, router.claim(now, team))
    assert len(router.state.drain_rates) <= 10 * admission.RATE_LIFETIME + 10
    assert len(router.state.retry_budgets.teams) <= 10 * 60 + 10
    router.run(now + 300.0)
    router.run(now + 301.0)
    assert not router.state.drain_rates
    assert not router.state.retry_budgets.teams
    assert len(router.state.deadlines) <= 1100


def test_wait_that_grows_beyond_the_deadline_is_answered_then():
    """Requests depart steadily, then the upstreams hang while callers wait.

    If requests were only checked at admission, each caller would wait until its
    deadline. It must get an answer as soon as the estimated wait is too long.
    The head of the queue, which may be the next to leave, is kept longest.
    """
    router = fakes.Router()
    now = serve_at_interval(router, 0.0, 20, interval=0.5)
    numbers = [n for n, _ in admit_many(router, now, 10, timeout=30.0)]
    answered_after = {}
    for step in range(1, 130):
        for number, kind, ran, retry in router.run(now + step * 0.25):
            answered_after[number] = step * 0.25
            assert (kind, ran) in {
                ("wait_exceeds_deadline", "no"),
                ("deadline_exceeded", "no"),
            }
            assert retry >= 1
    late = [answered_after[number] for number in numbers]
    assert late == sorted(late, reverse=True)
    assert late[0] == 30.0
    assert late[-1] < 20.0
    assert sum(seconds < 29.0 for seconds in late) >= 8


@pytest.mark.parametrize(
    ("lost", "kind"),
    [("engine-0", "no_upstream"), ("ledger-0", "dependency_unavailable")],
)
def test_waiting_requests_are_answered_when_the_last_upstream_fails(lost, kind):
    """The last upstream of a service, or of its dependency, fails.

    Waiting requests would otherwise be held until their deadline, up to an
    hour. They are answered after a short grace period; new ones are refused at
    once.
    """
    router = fakes.Router()
    number, _ = router.admit(0.0)
    assert router.run(1.0) == []
    router.live.discard(lost)
    answers = [router.run(1.0 + step * 0.25) for step in range(1, 40)]
    answered = [(i, found) for i, found in enumerate(answers) if found]
    assert [found for _, found in answered] == [[(number, kind, "no", 1)]]
    # Suspected after a silence, refused after the grace period that follows.
    seconds = membership.SUSPECT_AFTER + sweep.OUTAGE_GRACE
    assert seconds - 0.5 <= answered[0][0] * 0.25 <= seconds + 0.5
    assert [entry[1] for entry in router.admit(11.0)[1]] == [kind]
    assert router.state.waiting.total == 0


def test_requests_wait_through_a_restart_of_the_only_upstream():
    router = fakes.Router()
    number, _ = router.admit(0.0)
    router.live.discard("engine-0")
    answers = [router.run(step * 0.25) for step in range(1, 11)]
    router.live.add("engine-0")
    answers += [router.run(2.75 + step * 0.25) for step in range(40)]
    assert not any(answers)
    assert router.claim(13.0).request == number


def test_flooding_team_loses_its_newest_when_the_router_is_full():
    """One team fills the router to its limit, then requests of others arrive.

    If the last arrival were refused, a flood would lock out all other teams.
    Instead, the team with the most waiting requests by weight loses its newest.
    """
    router = fakes.Router()
    large = [n for n, _ in admit_many(router, 0.0, 25, team="large")]
    flood = [n for n, _ in admit_many(router, 0.0, 15, team="flood")]
    small, answers = router.admit(0.0, team="mill")
    assert answers == [(flood[-1], "too_many_waiting", "no", 1)]
    assert small in router.state.requests
    assert set(large) <= set(router.state.requests)
    _, answers = router.admit(0.0, team="flood")
    assert [entry[0] for entry in answers] == [small + 1]


def test_requeued_request_is_not_the_newest():
    """A sidecar refuses a request that has waited long.

    Back in its queue, the request must not count as the newest: on overflow it
    would be shed in place of requests that have just arrived.
    """
    router = fakes.Router()
    first, _ = router.admit(0.0, timeout=10.0)
    numbers = [n for n, _ in admit_many(router, 1.0, 39)]
    sent = router.claim(2.0)
    assert sent.request == first
    router.admit(2.0)
    router.end(2.0, sent, attempt_lifecycle.AttemptEnd.REFUSED)
    _, answers = router.admit(2.0, team="flood")
    lost = [entry[0] for entry in answers]
    assert first not in lost
    assert set(lost).isdisjoint(numbers[:-1])


def test_refused_retry_is_not_reported_as_not_run():
    """An attempt breaks after it started; its retry is refused while waiting.

    The answer must not say "not run": the upstream may have run the request.
    """
    router = fakes.Router()
    number, _ = router.admit(0.0)
    router.end(1.0, router.claim(1.0), attempt_lifecycle.AttemptEnd.FAILED)
    router.run(2.0)
    router.live.discard("engine-0")
    answers = [
        entry for step in range(40) for entry in router.run(2.0 + step * 0.25)
    ]
    assert [entry[:3] for entry in answers] == [
        (number, "no_upstream", "unknown")
    ]


def test_retry_stays_out_of_the_queue_for_a_while():
    router = fakes.Router()
    number, _ = router.admit(0.0)
    router.end(1.0, router.claim(1.0), attempt_lifecycle.AttemptEnd.FAILED)
    assert router.claim(1.001) is None
    assert router.run(1.06) == []
    assert router.claim(1.06).request == number


def test_upstreams_that_fail_everything_get_few_retries():
    """Every attempt fails. With two retries each, the load would triple.

    Retries must stay within a tenth of the requests plus the reserve; the other
    requests are answered at once.
    """
    router = fakes.Router()
    attempts = 0
    for index in range(200):
        now = index * 0.1
        router.run(now)
        router.admit(now)
        while sent := router.claim(now):
            attempts += 1
            router.end(now, sent, attempt_lifecycle.AttemptEnd.FAILED)
    assert 200 + 20 <= attempts <= 200 + 20 + 5 + 1
    assert router.state.retry_budgets.refused > 100


@pytest.mark.parametrize(
    ("load", "most_missed"),
    [
        ("light (0.8)", 0.0),
        ("overload (1.5)", 0.015),
        ("one team floods", 0.01),
        ("slow, then fast again", 0.01),
    ],
)
def test_admitted_requests_are_served_in_time(load, most_missed):
    shares = bench.run_load(bench.LOADS[load], seconds=90.0)
    assert shares["missed"] <= most_missed
    assert shares["refused, but a slot came free"] <= 0.01
