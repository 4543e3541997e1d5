"""Streams that were begun before all routers were killed never go on."""

import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from lib2 import site as site_module
from lib2 import streams

STREAMS = 24
"""Streams that are begun, and new ones that are begun after the kill."""

DEADLINE = 15.0
"""Seconds for which clients wait for a stream."""

EVENTS = 600
"""Events of a stream, which takes 12 s."""

READ_FOR = 2.0
"""Seconds for which clients read before the disruption."""

DOWN = 0.9
"""Seconds until the platform starts the processes again."""

CONTACT = 3.0
"""`ContactMs`: a machine is in touch when it has run for so long."""


def _run(site: site_module.Site) -> bool:
    site.configure(
        7,
        [
            site_module.build_route(
                "answer",
                "streaming",
                "engines",
                StreamResume=True,
                MaxAttempts=2,
                TimeoutMs=15000,
            )
        ],
    )
    for number in (1, 2, 3):
        engine = site.add_worker(f"i-e{number}", "engines", weights=1)
        engine.events = EVENTS
    routers = site.add_routers(3)
    for router in routers:
        router.start()
    for router in routers:
        router.wait_until_ready()
    time.sleep(CONTACT)
    begun = [_begin(site, routers, number) for number in range(STREAMS)]
    until = time.monotonic() + READ_FOR
    while time.monotonic() < until:
        for client in begun:
            client.read()
    if site_module.is_troubled():
        for router in routers:
            router.end()
        site.note("operator", "all routers are killed at once")
        time.sleep(DOWN)
        for router in routers:
            router.start()
        for router in routers:
            router.wait_until_ready()
        time.sleep(CONTACT + 0.2)
    for client in begun:
        client.close()
    went_on = sum(
        client.send(routers[(number + 1) % len(routers)])
        for number, client in enumerate(begun)
    )
    new = [_begin(site, routers, number) for number in range(STREAMS)]
    new_begun = sum(not client.is_broken for client in new)
    for client in [*begun, *new]:
        client.close()
    site.note("result", f"{went_on} of {STREAMS} streams taken up went on")
    site.note("result", f"{new_begun} of {STREAMS} new streams began")
    return went_on / STREAMS < new_begun / STREAMS / 2


def _begin(
    site: site_module.Site, routers: list[site_module.Router], number: int
) -> streams.StreamClient:
    client = streams.StreamClient(site, "/answer/x", "hule930", DEADLINE)
    client.send(routers[number % len(routers)])
    return client


if __name__ == "__main__":
    site_module.exit_with_verdict(_run)
