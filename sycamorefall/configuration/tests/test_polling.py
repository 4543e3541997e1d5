"""Reads of the platform stay few, also when all processes start at once."""

import collections

from sycamorefall.configuration import polling

FLEET = 1280
SPREAD = 4.0
LIMIT = 2000


def start_all(now=0.0):
    return [
        polling.create_read_schedule(120.0, SPREAD, seed, now)
        for seed in range(2 * FLEET)
    ]


def count_peak(times):
    return max(collections.Counter(int(time) for time in times).values())


def test_watchers_are_few_and_the_same_for_all():
    names = [f"vm-{index}" for index in range(FLEET)]
    chosen = polling.choose_watchers(names, 7, 4)
    assert len(chosen) == 4
    assert chosen == polling.choose_watchers(reversed(names), 7, 4)
    assert chosen != polling.choose_watchers(names, 8, 4)


def test_fleet_that_restarts_at_once_stays_under_the_platforms_limit():
    # A failed update restarts all processes in the same second. Reading both
    # values at once they would send 2,560 reads, more than the platform
    # serves, and most would start without a configuration.
    assert count_peak(one.next_read_at for one in start_all()) < LIMIT / 2


def test_fleet_backs_off_from_a_platform_that_refuses():
    # The platform answers 503 to all. Reads repeated at the old pace would
    # keep it down; those of a fleet must get fewer and stay spread.
    schedules = start_all()
    times = []
    for schedule in schedules:
        while schedule.next_read_at < 120.0:
            times.append(schedule.next_read_at)
            polling.record_failure(schedule, schedule.next_read_at)
    assert count_peak(times) < LIMIT
    late = [time for time in times if time > 60.0]
    assert count_peak(late) < LIMIT / 10


def test_platforms_advice_is_followed():
    schedule = polling.create_read_schedule(120.0, 0.0, 1, 0.0)
    polling.record_failure(schedule, 0.0, retry_after=50.0)
    assert 50.0 <= schedule.next_read_at <= 75.0
    polling.record_failure(schedule, 0.0, retry_after=1e9)
    assert schedule.next_read_at <= 1.5 * polling.MAX_RETRY_AFTER


def test_watch_that_is_answered_at_once_with_nothing_is_backed_off():
    # A platform that doesn't know `wait` answers each watch at once. A
    # watcher that went on at once would send reads without pause.
    schedule = polling.create_read_schedule(120.0, 0.0, 1, 0.0)
    polling.set_watching(schedule, 0.0, True)
    first = polling.plan_read(schedule, known=0)
    polling.record_response(schedule, 0.0, first, useful=True)
    now, reads = schedule.next_read_at, 0
    while now < 60.0:
        read = polling.plan_read(schedule, known=5)
        assert read == polling.PlannedRead(5, polling.WATCH_WAIT)
        polling.record_response(schedule, now, read, useful=False)
        now, reads = schedule.next_read_at, reads + 1
    assert reads < 12


def test_new_watcher_reads_whole_so_that_a_platform_set_back_is_seen():
    schedule = polling.create_read_schedule(120.0, 0.0, 1, 0.0)
    read = polling.plan_read(schedule, known=5)
    polling.record_response(schedule, 0.0, read, useful=True)
    assert polling.plan_read(schedule, known=5) == polling.PlannedRead(5, 0.0)
    polling.set_watching(schedule, 0.0, True)
    assert polling.plan_read(schedule, known=5).after is None
    assert schedule.next_read_at <= polling.WATCH_START_SPREAD
