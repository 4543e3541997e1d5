"""Routers are stopped in turn while clients keep using open connections."""

import asyncio
import contextlib
import pathlib
import random
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

import fleet  # noqa: E402

ROUTERS = 12
WORKERS = 3
CLIENTS = 12
PLAY_SECONDS = 95.0
GAP_SECONDS = 1.0
GRACE_SECONDS = 8.0
PAUSE_RANGE = (0.335, 0.37)
"""Seconds between an answer and the next request of the same client."""

HOST = "ficu95.example"


class Play:
    """State of one run."""

    def __init__(self, record, trouble):
        self.record = record
        self.trouble = trouble
        self.random = random.Random(56)
        self.count = 0
        self.sent = 0
        self.answered = 0
        self.lost = []
        self.stops = {}

    def next_id(self):
        """Returns the id of a new attempt."""
        self.count += 1
        return f"attempt{self.count:05d}"


def create_configuration():
    """Returns the configuration: two streaming routes to one service."""
    route = {
        "Host": HOST,
        "Kind": "streaming",
        "Priority": 1,
        "Service": "assistant",
        "MaxAttempts": 1,
    }
    draft = {"Name": "r-draft", "Prefix": "/draft/", "TimeoutMs": 15000}
    tag = {"Name": "r-tag", "Prefix": "/tag/", "TimeoutMs": 3000}
    return {
        "Version": 7,
        "Routes": [
            route | draft | {"TargetLatencyMs": 800},
            route | tag | {"TargetLatencyMs": 500},
        ],
        "Services": [{"Name": "assistant", "MaxConnections": 240}],
        "Limits": {"MaxBodyBytes": 4194304, "IdleTimeoutMs": 15000},
    }


async def exchange(play, router, connection, target, deadline):
    """Sends a request on an open connection.

    Returns:
        Whether the connection may be used again.
    """
    reader, writer = connection
    attempt = play.next_id()
    headers = {
        "Host": HOST,
        "Attempt-Id": attempt,
        "Request-Deadline-Ms": str(int(deadline * 1000)),
    }
    sent_at = time.monotonic()
    status, body, complete, response = None, bytearray(), False, {}
    play.sent += 1
    play.record(f"client sends {attempt} ({target}) to {router.name}")
    try:
        async with asyncio.timeout(deadline):
            writer.write(fleet.format_request("GET", target, headers))
            first, response = await fleet.read_head(reader)
            status = int(first.split()[1])
            complete = await fleet.read_body(reader, response, body)
    except TimeoutError:
        play.record(f"client gives {attempt} up at its deadline")
        return False
    except (OSError, asyncio.IncompleteReadError):
        pass
    seconds = time.monotonic() - sent_at
    play.record(
        f"client has {attempt}: status {status}, complete {complete}, "
        f"after {seconds:.3f} s"
    )
    if complete:
        play.answered += 1
        return response.get("connection", "").lower() != "close"
    play.lost.append((attempt, router, sent_at, time.monotonic()))
    return False


async def run_client(play, routers, end):
    """Uses one connection after the other, each as long as it may be used."""
    while time.monotonic() < end:
        ready = [one for one in routers if one.in_rotation]
        if not ready:
            await asyncio.sleep(0.1)
            continue
        router = play.random.choice(ready)
        try:
            connection = await asyncio.open_connection("127.0.0.1", router.port)
        except OSError:
            await asyncio.sleep(0.1)
            continue
        usable = True
        while usable and time.monotonic() < end:
            events = play.random.randint(60, 90)
            usable = await exchange(
                play, router, connection, f"/draft/{events}", 15.0
            )
            await asyncio.sleep(play.random.uniform(*PAUSE_RANGE))
            if usable:
                usable = await exchange(play, router, connection, "/tag/4", 3.0)
                await asyncio.sleep(play.random.uniform(*PAUSE_RANGE))
        connection[1].close()


async def check_readiness(router):
    """Takes a router out of rotation after two misses, as the platform does."""
    misses = 0
    while True:
        misses = 0 if await router.is_ready() else misses + 1
        router.in_rotation = misses < 2
        await asyncio.sleep(1.0)


async def stop_and_start(play, fleet_, router):
    """Stops a router with SIGTERM, kills it after the grace, starts it."""
    play.record(f"SIGTERM to {router.name}")
    stopped_at = time.monotonic()
    play.stops.setdefault(router.name, []).append(stopped_at)
    router.send_signal(signal.SIGTERM)
    while router.process.poll() is None:
        if time.monotonic() - stopped_at > GRACE_SECONDS:
            play.record(f"SIGKILL to {router.name}")
            router.process.kill()
        await asyncio.sleep(0.01)
    play.record(f"{router.name} has ended")
    router.start(fleet_.command)
    await router.wait_ready()
    play.record(f"{router.name} is back")


async def roll(play, fleet_, end):
    """Stops and starts the routers in turn, over and over."""
    busy = {}
    number = 0
    while time.monotonic() < end - 10.0:
        router = fleet_.routers[number % len(fleet_.routers)]
        number += 1
        if router.name in busy:
            await busy.pop(router.name)
        if router.in_rotation:
            busy[router.name] = asyncio.create_task(
                stop_and_start(play, fleet_, router)
            )
        await asyncio.sleep(GAP_SECONDS)
    for task in busy.values():
        await task


def list_lost(play, workers):
    """Lists the requests that were passed on and never answered.

    Counted are those whose connection ended without a complete answer within
    the grace of a SIGTERM of their router, after a worker began to run them.
    """
    found = []
    for attempt, router, sent_at, ended_at in play.lost:
        ran = [one for one in workers if attempt in one.runs]
        stops = [
            one
            for one in play.stops.get(router.name, [])
            if one <= ended_at <= one + GRACE_SECONDS + 1.0
        ]
        if not ran or not stops:
            continue
        in_last_sixth = ended_at - stops[-1] > GRACE_SECONDS * 5 / 6
        if in_last_sixth and sent_at - stops[-1] <= 3.0:
            continue
        found.append(attempt)
        play.record(
            f"LOST: {attempt} was sent {sent_at - stops[-1]:.3f} s after the "
            f"SIGTERM of {router.name}, ran at {ran[0].name}, and its "
            f"connection ended {ended_at - sent_at:.3f} s later without answer"
        )
    return found


async def play_case(record, trouble):
    """Plays the case; returns whether the rule was broken."""
    play = Play(record, trouble)
    store_port, *ports = fleet.find_free_ports(1 + WORKERS)
    store = fleet.Store(store_port)
    await store.start()
    workers = [
        fleet.Worker(f"i-{number}", "assistant", port, record)
        for number, port in enumerate(ports)
    ]
    for worker in workers:
        await worker.start(store)
    store.put("op/config", create_configuration())
    fleet_ = fleet.Fleet(ROUTERS, store_port)
    tasks = []
    try:
        await fleet_.start()
        for router in fleet_.routers:
            router.in_rotation = True
            tasks.append(asyncio.create_task(check_readiness(router)))
        end = time.monotonic() + PLAY_SECONDS
        clients = [
            asyncio.create_task(run_client(play, fleet_.routers, end))
            for _ in range(CLIENTS)
        ]
        if trouble:
            await roll(play, fleet_, end)
        await asyncio.gather(*clients)
    finally:
        for task in tasks:
            task.cancel()
        with contextlib.suppress(ProcessLookupError):
            fleet_.stop()
    lost = list_lost(play, workers)
    stops = sum(map(len, play.stops.values()))
    summary = (
        f"{stops} SIGTERMs, {play.sent} requests, {play.answered} answered, "
        f"{len(lost)} lost"
    )
    record(summary)
    print(summary)
    return bool(lost)


if __name__ == "__main__":
    sys.exit(fleet.run_case(play_case, FOLDER))
