"""Rules of the play of a router whose upstreams fall silent.

A pick is a number that chooses one of the candidates that there are.
"""

from sycamorefall.direct import core, outcomes
from sycamorefall.direct.tests import silent_upstreams

ROUTES = ("draft", "answer", "answer", "book", "look", "look")
TEAMS = ("mill", "trader")
SERVICES = silent_upstreams.SERVICES
BOUNDS = (
    {},
    {"retry_ratio": 0.0, "retry_extra": 0.0},
    {"retry_ratio": 0.0, "retry_extra": 16.0},
)
FATES = (
    outcomes.AttemptEnd.NOT_RUN,
    outcomes.AttemptEnd.NOT_SENT,
    silent_upstreams.UNOPENED,
)
FAILURES = (outcomes.AttemptEnd.FAILED, outcomes.AttemptEnd.BROKEN)
CONFIGURATIONS = (
    (TEAMS, SERVICES),
    (TEAMS, SERVICES),
    (TEAMS, ("engine",)),
    (TEAMS, ("ledger",)),
    (("mill",), SERVICES),
)
WAYS = ("reset", "lost", "restart", "announce", "unlist")
SILENCES = (0.2, 0.6, 0.9, 1.2, 1.6, 2.3, 3.0, 5.0, 8.0)
WAITS = (1, 2, 4, 10, 22, 30, 50)
TIMES_LEFT = (0.5, 3.0, 12.0, 12.0, 12.0)
WORK = (0.05, 0.3, 1.0, 2.0, 4.0)
DISTURBANCES = (
    *("start", "fail", "cancel", "link", "stop"),
    *("meet", "meet", "meet", "configure", "configure"),
)

MAX_PROCESSES = 10

MAX_PLAIN_WORK = 0.3
"""Seconds that a plain service that isn't silent needs at most, so that silence
is the only reason for a late answer."""


def submit(world, routes, team, time_left, work, steps):
    """Lets callers send requests; time passes."""
    for route in routes:
        is_plain = route in ("book", "look")
        seconds = min(work, MAX_PLAIN_WORK) if is_plain else work
        world.submit(route, team, time_left, seconds)
    world.wait(steps)


def list_serving(world):
    """Lists the live processes that have runs."""
    return [one for one in world.list_live() if one.runs]


def list_sending(world):
    """Lists the requests whose processes send."""
    return [
        number
        for process in list_serving(world)
        if process.sends(world.now)
        for number in process.runs
    ]


def fall_silent(world, pick, seconds, frozen, steps):
    """Lets a process that has runs fall silent; time passes."""
    serving = list_serving(world)
    world.fall_silent(serving[pick % len(serving)], seconds, frozen)
    world.wait(steps)


def fall_silent_together(world, service, seconds, steps):
    """Lets all processes of a service fall silent; time passes."""
    for process in world.list_live(service):
        world.fall_silent(process, seconds)
    world.wait(steps)


def end_process(world, pick, way):
    """Ends, restarts or takes out of use a process that has runs."""
    serving = list_serving(world)
    process = serving[pick % len(serving)]
    match way:
        case "reset" | "lost":
            world.vanish(process, way == "reset")
        case "restart":
            world.restart(process)
        case "announce" | "unlist":
            world.leave(process, way == "announce")


def lapse(world, pick):
    """Lets the entry of a process that has runs lapse for a moment."""
    serving = list_serving(world)
    process = serving[pick % len(serving)]
    world.leave(process, announced=False)
    world.wait(10)
    process.listed = process.alive
    world.wait(10)


def fail_run(world, pick):
    sending = list_sending(world)
    end = FAILURES[pick % len(FAILURES)]
    world.end_run(sending[pick % len(sending)], end)


def fill(world, service, kept, full):
    """Fills the upstreams of a service but for some, or makes room there."""
    names = {one.name for one in world.list_live(service)}
    world.fill(set(sorted(names)[kept:]), full)


def crowd(world, service, kept):
    """Fills all upstreams of a service but some, and those by callers."""
    fill(world, service, 2, full=False)
    fill(world, service, kept, full=True)
    routes = ["answer", "draft"] if service == "engine" else ["look", "book"]
    submit(world, routes * 6, "mill", 12.0, 4.0, 2)


def disturb(world, kind, pick):
    """Plays one of the less frequent rules if there is a candidate for it."""
    match kind:
        case "start" if len(world.list_live()) < MAX_PROCESSES:
            world.start_process(SERVICES[pick % len(SERVICES)])
        case "meet":
            world.fates = [FATES[pick % 3], FATES[pick // 3 % 3]]
        case "fail" if list_sending(world):
            fail_run(world, pick)
        case "cancel" if world.calls:
            numbers = sorted(world.calls)
            world.cancel(numbers[pick % len(numbers)])
        case "configure":
            world.configure(*CONFIGURATIONS[pick % len(CONFIGURATIONS)])
        case "link":
            world.linked = not world.linked
        case "stop":
            core.begin_stop(world.state, world.now, world.now)
