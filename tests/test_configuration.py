"""Replication of configuration text and VM list, on real processes.

The platform fails or publishes old or conflicting values.
"""

import contextlib
import urllib.error

import pytest

from standins import fleet as fleet_module
from tests import conftest

CHANGED_TEAMS = {**conftest.TEAMS, "large": 3.0}
RECHANGED_TEAMS = {**conftest.TEAMS, "large": 4.0}

POLL_INTERVAL = 60.0
"""Seconds between two polls, longer than any of these tests waits."""


@pytest.fixture(scope="module")
def single_watcher_fleet(tmp_path_factory):
    """A fleet in which one process watches and the others rarely poll."""
    fleet = conftest.start_small_fleet(
        tmp_path_factory.mktemp("fleet"),
        platform_settings=f"watchers = 1\npoll_interval = {POLL_INTERVAL}",
    )
    yield fleet
    fleet_module.kill_fleet(fleet)


def build_text(teams):
    return fleet_module.build_configuration_text(teams, conftest.SERVICES)


def read_status(fleet, name):
    return fleet_module.call(fleet.nodes[name].data, "/status")


def read_replication(fleet, name):
    return read_status(fleet, name)["replication"]


def count_failures(fleet, name):
    return read_status(fleet, name)["platform"]["failures"]


def list_digests(fleet):
    return {read_replication(fleet, name)["digest"] for name in fleet.nodes}


def wait_for_all(fleet, what, check):
    for name in fleet.nodes:
        fleet_module.wait_until(
            lambda n=name: check(read_status(fleet, n)), f"{what} at {name}"
        )


def wait_for_revision(fleet):
    revision = fleet.revision
    wait_for_all(
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


def publish_with_revision(fleet, revision, teams):
    body = {"revision": revision, "text": build_text(teams)}
    fleet_module.call(fleet.platform, "/test/config", body)


def test_change_reaches_all_processes_with_one_read_of_the_platform(
    single_watcher_fleet,
):
    # Guards against a fleet size that is bounded by the platform's capacity:
    # if each process read a changed text from the platform, every change would
    # cost as many reads as there are processes.
    before = fleet_module.call(single_watcher_fleet.platform, "/test/reads")[
        "values"
    ]
    fleet_module.publish_text(single_watcher_fleet, build_text(CHANGED_TEAMS))
    wait_for_revision(single_watcher_fleet)
    after = fleet_module.call(single_watcher_fleet.platform, "/test/reads")[
        "values"
    ]
    # One watch returns the text. A change of the watching process during the
    # test adds up to two reads.
    assert 1 <= after - before <= 3
    watching = [
        name
        for name in single_watcher_fleet.nodes
        if read_replication(single_watcher_fleet, name)["watching"]
    ]
    assert len(watching) <= 2


def test_vm_list_reaches_all_processes_through_peers(single_watcher_fleet):
    fleet_module.publish_vms(single_watcher_fleet)
    revision = single_watcher_fleet.vms_revision
    wait_for_all(
        single_watcher_fleet,
        "the VM list",
        lambda status: status["vms_revision"] == revision,
    )


def test_invalid_text_is_refused_by_all_processes_and_a_valid_one_adopted(
    single_watcher_fleet,
):
    # An operator publishes a text with a typing error. All processes must
    # report the same line and keep the previous text in force, and then adopt
    # the corrected text.
    current = single_watcher_fleet.revision
    fleet_module.publish_text(single_watcher_fleet, "[service a]\nkind = odd\n")
    wait_for_all(
        single_watcher_fleet,
        "refusal",
        lambda status: "line 2" in status["refusal"],
    )
    statuses = [
        read_status(single_watcher_fleet, n) for n in single_watcher_fleet.nodes
    ]
    assert {status["revision"] for status in statuses} == {current}
    assert len({status["refusal"] for status in statuses}) == 1
    fleet_module.publish_text(single_watcher_fleet, build_text(RECHANGED_TEAMS))
    wait_for_revision(single_watcher_fleet)
    wait_for_all(
        single_watcher_fleet, "no refusal", lambda status: not status["refusal"]
    )


def test_restart_with_a_stale_platform_does_not_restore_the_old_text(
    single_watcher_fleet,
):
    # The platform is restored from a backup and publishes an old text. A
    # router that restarts then has no stored revision to compare with, and
    # would apply the old weights if it did not ask its peers.
    current = single_watcher_fleet.revision
    publish_with_revision(single_watcher_fleet, 1, conftest.TEAMS)
    restart(single_watcher_fleet, "router-0")
    fleet_module.wait_until(
        lambda: is_ready(single_watcher_fleet, "router-0"), "ready"
    )
    assert read_status(single_watcher_fleet, "router-0")["revision"] == current
    fleet_module.wait_until(
        lambda: (
            "lower"
            in str(read_replication(single_watcher_fleet, "router-0")["alarms"])
        ),
        "the alarm",
    )
    publish_with_revision(single_watcher_fleet, current, RECHANGED_TEAMS)


@pytest.mark.parametrize("fault", ["down", "overloaded", "garbage", "slow"])
def test_restart_with_a_failing_platform_uses_the_documents_of_peers(
    single_watcher_fleet, fault
):
    # A router restarts while the platform fails. Its settings name a peer,
    # from which it gets the configuration text and the VM list.
    node = single_watcher_fleet.nodes["router-1"]
    node.peers = (f"127.0.0.1:{single_watcher_fleet.nodes['ledger-0'].data}",)
    set_fault(single_watcher_fleet, fault)
    restart(single_watcher_fleet, "router-1")
    fleet_module.wait_until(
        lambda: is_ready(single_watcher_fleet, "router-1"), "ready"
    )
    status = read_status(single_watcher_fleet, "router-1")
    assert status["revision"] == single_watcher_fleet.revision
    assert status["vms_revision"] == single_watcher_fleet.vms_revision
    set_fault(single_watcher_fleet, "")


def test_restart_without_platform_and_peers_is_not_ready(single_watcher_fleet):
    # Neither the platform nor a peer responds to a router that has just
    # started. If it reported ready, callers would be sent to a router without
    # a configuration.
    node = single_watcher_fleet.nodes["router-1"]
    node.peers = ()
    set_fault(single_watcher_fleet, "down")
    restart(single_watcher_fleet, "router-1")
    fleet_module.wait_until(
        lambda: (
            read_status(single_watcher_fleet, "router-1")["platform"][
                "failures"
            ]
            > 2
        ),
        "failed reads",
    )
    assert not is_ready(single_watcher_fleet, "router-1")
    assert not read_replication(single_watcher_fleet, "router-1")["settled"]
    set_fault(single_watcher_fleet, "")
    fleet_module.wait_until(
        lambda: is_ready(single_watcher_fleet, "router-1"), "ready"
    )


def test_conflicting_texts_of_one_revision_converge_and_are_reported(
    single_watcher_fleet,
):
    # Two operators publish at once during a split brain of the platform, which
    # publishes two texts under the same revision. Without a common rule, the
    # teams' weights would differ between routers.
    fleet = single_watcher_fleet
    port = fleet_module.start_platform(fleet, "other-platform")
    body = {"revision": fleet.vms_revision, "vms": fleet_module.list_vms(fleet)}
    fleet_module.call(port, "/test/vms", body)
    fleet.nodes["ledger-1"].platform = port
    restart(fleet, "ledger-1")
    conflicting = {
        "revision": fleet.revision + 1,
        "text": build_text(CHANGED_TEAMS),
    }
    fleet_module.call(port, "/test/config", conflicting)
    fleet_module.publish_text(fleet, build_text(conftest.TEAMS))
    # The restarts guarantee that both texts are read: a process reads its
    # platform when it starts.
    for name in ("ledger-1", "router-0"):
        restart(fleet, name)
    wait_for_revision(fleet)
    wait_for_all(
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
