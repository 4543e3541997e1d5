"""A request whose path belongs to no route is run by a route's service."""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from lib2 import site as site_module

TARGETS = ("//never/order/x", "//never/look/x", "//never/draft/x")
"""Targets of which the path begins with no route's prefix."""


def _run(site: site_module.Site) -> bool:
    site.configure(
        7,
        [
            site_module.build_route("draft", "streaming", "engines"),
            site_module.build_route("look", "safe", "ledger", MaxAttempts=2),
            site_module.build_route("order", "unsafe", "ledger", Public=True),
        ],
    )
    workers = [
        site.add_worker("i-e1", "engines", weights=1),
        site.add_worker("i-l1", "ledger"),
    ]
    routers = site.add_routers(2)
    for router in routers:
        router.start()
    for router in routers:
        router.wait_until_ready()
    prefix = "/" if site_module.is_troubled() else "/never"
    for router in routers:
        for target in TARGETS:
            site.send(
                router,
                prefix + target.removeprefix("/"),
                is_prompt="draft" in target,
                key=None if "order" in target else site_module.KEY,
            )
        if site.send(router, "/order/x", key=None).status != 200:
            raise RuntimeError("the ledger doesn't serve")
    ran = [run for worker in workers for run in worker.runs]
    wrong = [run for run in ran if "never" in run[2]]
    for attempt, method, path, _ in wrong:
        site.note("result", f"ran {attempt} {method} {path}: no route has it")
    return bool(wrong)


if __name__ == "__main__":
    site_module.exit_with_verdict(_run)
