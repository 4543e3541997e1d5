"""Tests of router processes while the store is restored from a copy."""

import pytest

from standins import site as site_module
from sycamorefall.platform.tests.router_client import (
    read_metric,
    send_request,
    store_configuration,
)

LOST_WRITES = 40


@pytest.fixture
def routers(site):
    """Two routers that know each other; upstream `e1` gets their requests."""
    site.add_upstream("e1", "engine")
    first = site.add_router("front-a-1")
    seeds = f"[peers]\naddresses = 127.0.0.1:{first.control}\n"
    return [first, site.add_router("front-a-2", extra_settings=seeds)]


def restore_earlier_copy(site, routers):
    """Restores the store to a copy from before `LOST_WRITES` changes.

    The last of them is a configuration, which is written again.
    """
    copy = site.store.copy()
    for number in range(LOST_WRITES):
        site.store.put("op/other", number)
    store_configuration(site, 5)
    for router in routers:
        site_module.wait_until(
            lambda router=router: read_metric(router, "revision") == 5
        )
    site.store.unavailable = True
    site.store.restore(copy)
    site.store.unavailable = False
    store_configuration(site, 5)


def get_status(router, path="/draft/x", **options):
    return send_request(router, path, prompt=True, **options)[1]


def test_changes_after_a_restoration_take_effect(site, routers):
    # Guards against routers that take the lower revisions of a restored store
    # for earlier ones, and go without each change until it exceeds the old one.
    restore_earlier_copy(site, routers)
    extra = site_module.build_route("nowhere", "streaming", "engine")
    store_configuration(
        site,
        9,
        {"trader": ["k-trader"]},
        [*site_module.STANDARD_ROUTES, extra],
    )
    for router in routers:
        site_module.wait_until(
            lambda router=router: (
                get_status(router, "/nowhere/x", key="k-trader") == 200
            )
        )
        assert get_status(router) == 401


def test_upstreams_follow_the_entries_of_a_restored_store(site, routers):
    # Guards against requests to an upstream whose entry was deleted after a
    # restoration, while one that registered gets none.
    restore_earlier_copy(site, routers)
    site.store.delete("servers/e1")
    site.add_upstream("e2", "engine")
    old, new = site.upstreams["e1"], site.upstreams["e2"]
    for router in routers:

        def is_served_by_the_new_one(router=router):
            before = len(new.runs), len(old.runs)
            status = get_status(router)
            after = len(new.runs), len(old.runs)
            return status == 200 and after == (before[0] + 1, before[1])

        site_module.wait_until(is_served_by_the_new_one)
