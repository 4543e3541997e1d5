"""Spreading of text and list on real processes, with a failing platform."""

import contextlib
import urllib.error

import pytest

from standins import fleet as fleet_module
from tests import conftest

CHANGED = {**conftest.TEAMS, "large": 3.0}
AGAIN = {**conftest.TEAMS, "large": 4.0}

STAND_ALONE = 60.0
"""Seconds between polls: longer than any of these tests waits."""


@pytest.fixture(scope="module")
def spread_fleet(tmp_path_factory):
    """A fleet in which one process watches and the others hardly poll."""
    fleet = conftest.start_small_fleet(
        tmp_path_factory.mktemp("fleet"),
        platform_settings=f"watchers = 1\npoll_interval = {STAND_ALONE}",
    )
    yield fleet
    fleet_module.kill_fleet(fleet)


def write_text(teams):
    return fleet_module.write_text(teams, conftest.SERVICES)


def read_status(fleet, name):
    return fleet_module.call(fleet.nodes[name].data, "/status")


def read_replication(fleet, name):
    return read_status(fleet, name)["replication"]


def count_failures(fleet, name):
    return read_status(fleet, name)["platform"]["failures"]


def list_digests(fleet):
    return {read_replication(fleet, name)["digest"] for name in fleet.nodes}


def wait_everywhere(fleet, what, check):
    for name in fleet.nodes:
        fleet_module.wait_until(
            lambda n=name: check(read_status(fleet, n)), f"{what} at {name}"
        )


def wait_revision(fleet):
    revision = fleet.revision
    wait_everywhere(
        fleet,
        f"revision {revision}",
        lambda status: status["revision"] >= revision,
    )


def restart(fleet, name):
    node = fleet.nodes[name]
    node.process.kill()
    node.process.wait()
    fleet_module.start_node(fleet, node)


def is_ready(fleet, name):
    with contextlib.suppress(urllib.error.HTTPError):
        return fleet_module.call(fleet.nodes[name].data, "/ready")["ready"]
    return False


def set_fault(fleet, fault):
    fleet_module.call(fleet.platform, "/test/fault", {"fault": fault})


def publish_as(fleet, revision, teams):
    body = {"revision": revision, "text": write_text(teams)}
    fleet_module.call(fleet.platform, "/test/config", body)


def test_change_is_in_force_everywhere_and_read_from_the_platform_once(
    spread_fleet,
):
    # Operators change a weight in a large fleet. If each process read it
    # from the platform, every change would cost as many reads as there are
    # processes, and the platform's limit would be the fleet's.
    before = fleet_module.call(spread_fleet.platform, "/test/reads")["values"]
    fleet_module.publish_text(spread_fleet, write_text(CHANGED))
    wait_revision(spread_fleet)
    after = fleet_module.call(spread_fleet.platform, "/test/reads")["values"]
    # One watch answers; a turn to watch that falls into the test adds two.
    assert 1 <= after - before <= 3
    watching = [
        name
        for name in spread_fleet.nodes
        if read_replication(spread_fleet, name)["watching"]
    ]
    assert len(watching) <= 2


def test_list_reaches_all_by_the_peers(spread_fleet):
    fleet_module.publish_vms(spread_fleet)
    revision = spread_fleet.vms_revision
    wait_everywhere(
        spread_fleet,
        "the list",
        lambda status: status["vms_revision"] == revision,
    )


def test_bad_text_is_refused_everywhere_alike_and_a_good_one_follows(
    spread_fleet,
):
    # An operator saves a text with a typing error. Each process must name
    # the same line and keep on serving by the text before it; the corrected
    # text then takes its place.
    held = spread_fleet.revision
    fleet_module.publish_text(spread_fleet, "[service a]\nkind = odd\n")
    wait_everywhere(
        spread_fleet, "refusal", lambda status: "line 2" in status["refusal"]
    )
    statuses = [read_status(spread_fleet, n) for n in spread_fleet.nodes]
    assert {status["revision"] for status in statuses} == {held}
    assert len({status["refusal"] for status in statuses}) == 1
    fleet_module.publish_text(spread_fleet, write_text(AGAIN))
    wait_revision(spread_fleet)
    wait_everywhere(
        spread_fleet, "no refusal", lambda status: not status["refusal"]
    )


def test_restart_under_a_stale_platform_does_not_bring_the_old_text_back(
    spread_fleet,
):
    # The platform is restored from a backup and shows an old text. A router
    # that restarts just then has no memory: the old text looks new to it,
    # and its callers would be served by weights replaced long ago.
    held = spread_fleet.revision
    publish_as(spread_fleet, 1, conftest.TEAMS)
    restart(spread_fleet, "router-0")
    fleet_module.wait_until(lambda: is_ready(spread_fleet, "router-0"), "ready")
    assert read_status(spread_fleet, "router-0")["revision"] == held
    fleet_module.wait_until(
        lambda: (
            "lower" in str(read_replication(spread_fleet, "router-0")["alarms"])
        ),
        "the alarm",
    )
    publish_as(spread_fleet, held, AGAIN)


@pytest.mark.parametrize("fault", ["down", "overloaded", "garbage", "slow"])
def test_restart_under_a_failing_platform_takes_the_peers_documents(
    spread_fleet, fault
):
    # The platform fails, in one way or another, and a router is replaced
    # meanwhile. Its settings name a peer, which knows text and list.
    node = spread_fleet.nodes["router-1"]
    node.peers = (f"127.0.0.1:{spread_fleet.nodes['ledger-0'].data}",)
    set_fault(spread_fleet, fault)
    restart(spread_fleet, "router-1")
    fleet_module.wait_until(lambda: is_ready(spread_fleet, "router-1"), "ready")
    status = read_status(spread_fleet, "router-1")
    assert status["revision"] == spread_fleet.revision
    assert status["vms_revision"] == spread_fleet.vms_revision
    set_fault(spread_fleet, "")


def test_restart_cut_off_from_all_is_not_ready(spread_fleet):
    # Neither platform nor peers answer a router that has just started. Were
    # it to say ready, callers would be sent to a router that knows nothing.
    node = spread_fleet.nodes["router-1"]
    node.peers = ()
    set_fault(spread_fleet, "down")
    restart(spread_fleet, "router-1")
    fleet_module.wait_until(
        lambda: (
            read_status(spread_fleet, "router-1")["platform"]["failures"] > 2
        ),
        "failed reads",
    )
    assert not is_ready(spread_fleet, "router-1")
    assert not read_replication(spread_fleet, "router-1")["settled"]
    set_fault(spread_fleet, "")
    fleet_module.wait_until(lambda: is_ready(spread_fleet, "router-1"), "ready")


def test_two_texts_under_one_revision_become_one_and_are_shown(spread_fleet):
    # Two operators publish at once and the platform, split, shows each half
    # of its readers another text under the same number. Without a rule that
    # all share, the teams' weights would differ from router to router.
    fleet = spread_fleet
    port = fleet_module.start_platform(fleet, "other-platform")
    body = {"revision": fleet.vms_revision, "vms": fleet_module.list_vms(fleet)}
    fleet_module.call(port, "/test/vms", body)
    fleet.nodes["ledger-1"].platform = port
    restart(fleet, "ledger-1")
    other = {"revision": fleet.revision + 1, "text": write_text(CHANGED)}
    fleet_module.call(port, "/test/config", other)
    fleet_module.publish_text(fleet, write_text(conftest.TEAMS))
    # Both texts are read in any case: each platform has a watcher or a
    # process that starts and so reads it.
    for name in ("ledger-1", "router-0"):
        restart(fleet, name)
    wait_revision(fleet)
    wait_everywhere(
        fleet,
        "conflict",
        lambda status: "two texts" in status["replication"]["conflict"],
    )
    fleet_module.wait_until(
        lambda: (
            len({read_replication(fleet, n)["digest"] for n in fleet.nodes})
            == 1
        ),
        "one digest",
    )
