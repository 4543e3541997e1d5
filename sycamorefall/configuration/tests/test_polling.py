"""Rate of platform reads, in steady state and when all processes restart."""

import collections

from sycamorefall.configuration import polling

FLEET = 1280
SPREAD = 4.0
LIMIT = 2000


def create_all_schedules(now=0.0):
    return [
        polling.create_read_schedule(120.0, SPREAD, seed, now)
        for seed in range(2 * FLEET)
    ]


def count_peak(times):
    return max(collections.Counter(int(time) for time in times).values())


def test_all_processes_choose_the_same_watchers():
    names = [f"vm-{index}" for index in range(FLEET)]
    chosen = polling.choose_watchers(names, 7, 4)
    assert len(chosen) == 4
    assert chosen == polling.choose_watchers(reversed(names), 7, 4)
    assert chosen != polling.choose_watchers(names, 8, 4)


def test_restart_of_the_whole_fleet_stays_below_the_read_limit():
    # A failed update restarts all processes within the same second. If each
    # read both values at once, the fleet would send 2,560 reads, more than the
    # platform serves, and most processes would start without a configuration.
    assert (
        count_peak(schedule.next_read_at for schedule in create_all_schedules())
        < LIMIT / 2
    )


def test_fleet_backs_off_while_the_platform_refuses_reads():
    # The platform answers 503 to all reads. Retries at an unchanged rate would
    # keep it overloaded, so the rate has to fall and the reads stay spread.
    schedules = create_all_schedules()
    times = []
    for schedule in schedules:
        while schedule.next_read_at < 120.0:
            times.append(schedule.next_read_at)
            polling.record_failure(schedule, schedule.next_read_at)
    assert count_peak(times) < LIMIT
    late = [time for time in times if time > 60.0]
    assert count_peak(late) < LIMIT / 10


def test_retry_after_of_the_platform_is_honored_up_to_a_maximum():
    schedule = polling.create_read_schedule(120.0, 0.0, 1, 0.0)
    polling.record_failure(schedule, 0.0, retry_after=50.0)
    assert 50.0 <= schedule.next_read_at <= 75.0
    polling.record_failure(schedule, 0.0, retry_after=1e9)
    assert schedule.next_read_at <= 1.5 * polling.MAX_RETRY_AFTER


def test_watch_answered_at_once_without_a_change_backs_off():
    # A platform that doesn't support `wait` answers each watch at once. A
    # watcher that repeated it at once would send reads without a pause.
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


def test_new_watcher_reads_unconditionally_to_detect_a_rollback():
    schedule = polling.create_read_schedule(120.0, 0.0, 1, 0.0)
    read = polling.plan_read(schedule, known=5)
    polling.record_response(schedule, 0.0, read, useful=True)
    assert polling.plan_read(schedule, known=5) == polling.PlannedRead(5, 0.0)
    polling.set_watching(schedule, 0.0, True)
    assert polling.plan_read(schedule, known=5).after is None
    assert schedule.next_read_at <= polling.WATCH_START_SPREAD
