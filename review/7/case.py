"""An engine that was cut off for some seconds gets no request ever after."""

import pathlib
import random
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from lib2 import site as site_module
from lib2 import traffic as traffic_module

CUT_AT = 6.0
"""Seconds after the start of the traffic at which the engine is cut off."""

CUT_FOR = 7.0
"""Seconds for which it is cut off."""

SETTLED = 6.0
"""Seconds after its entry is back from which on the rule is checked."""

DURATION = 50.0
"""Seconds of traffic."""

HEARTBEAT = 1.2
"""Seconds between two heartbeats of a worker. Its entry is removed when three
are missing, and is back with the first one after the cut."""

EVENTS = 30
"""Events of a stream of the engine, which takes 0.6 s."""

TIMEOUT_MS = 1500
"""Timeout of the engine's route, and deadline of its clients."""


def _cut_off(site: site_module.Site, worker, link) -> None:
    """Cuts a worker off from the routers and from the store."""
    site.call_soon(link.cut)
    site.note("link", "the engine is cut off")
    began = time.monotonic()
    time.sleep(random.uniform(2 * HEARTBEAT, 3 * HEARTBEAT))
    site.expire(worker)
    time.sleep(began + CUT_FOR - time.monotonic())
    site.call_soon(link.mend)
    site.note("link", "the engine is reachable")
    time.sleep(random.uniform(0.0, HEARTBEAT))
    site.register(worker)


def _run(site: site_module.Site) -> bool:
    site.configure(
        7,
        [
            site_module.build_route(
                "draft", "streaming", "engines", TimeoutMs=TIMEOUT_MS
            ),
            site_module.build_route("grade", "streaming", "engines-b"),
        ],
    )
    engine, link = site.add_cuttable_worker("i-e1", "engines", weights=1)
    engine.events = EVENTS
    for number in (1, 2):
        site.add_worker(f"i-b{number}", "engines-b", weights=1)
    routers = site.add_routers(2)
    for router in routers:
        router.start()
    for router in routers:
        router.wait_until_ready()
    traffic = traffic_module.Traffic(
        site,
        [
            traffic_module.Tenant(
                "hule930", "/draft/x", 20, (0.2, 0.5), TIMEOUT_MS
            ),
            traffic_module.Tenant("tavo114", "/grade/x", 14, (0.2, 0.5)),
        ],
    )

    def cut_off() -> None:
        time.sleep(CUT_AT)
        if site_module.is_troubled():
            _cut_off(site, engine, link)

    traffic.run(DURATION, cut_off)
    calm_from = CUT_AT + CUT_FOR + HEARTBEAT + SETTLED
    return traffic.is_unfair("hule930", calm_from, DURATION)


if __name__ == "__main__":
    site_module.exit_with_verdict(_run)
