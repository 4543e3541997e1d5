"""Tests of the directory of VMs: late, old and missing lists and messages."""

import pytest

from sycamorefall import membership


def make_entry(name, role="upstream", state="live"):
    return membership.VmEntry(
        name,
        membership.VmRole(role),
        "domain-1",
        "10.0.0.1:1",
        "10.0.0.1:2",
        "assistant" if role == "upstream" else "",
        membership.VmState(state),
    )


def make_list(revision, *entries):
    return membership.VmList(revision, entries)


@pytest.fixture
def directory():
    created = membership.Directory()
    membership.apply_vm_list(
        created,
        make_list(5, make_entry("engine"), make_entry("router", "router")),
    )
    return created


def list_usable(directory, now):
    usable = membership.list_usable_upstreams(directory, now, "assistant")
    return [vm.name for vm in usable]


def record_message(directory, now, incarnation, stopping=False, name="engine"):
    return membership.record_peer_message(
        directory, now, name, incarnation, stopping
    )


def test_late_message_of_a_replaced_process_is_ignored(directory):
    # A sidecar restarts. A message of its old process is delayed on a slow link
    # and arrives after the first one of the new process. If it were accepted,
    # the VM would seem to have restarted again, and to be stopping.
    assert record_message(directory, 1.0, incarnation=10, stopping=True)
    assert record_message(directory, 2.0, incarnation=20)
    assert not record_message(directory, 2.1, incarnation=10, stopping=True)
    assert directory.peers["engine"].incarnation == 20
    assert list_usable(directory, 2.2) == ["engine"]
    assert directory.outdated == 1


def test_process_whose_clock_was_set_back_is_accepted_after_a_timeout(
    directory,
):
    # A VM's clock is set back before its process restarts, so the new process
    # has a lower incarnation. If it were always ignored, its upstream would
    # never get a request.
    record_message(directory, 1.0, incarnation=20)
    assert not record_message(directory, 2.0, incarnation=10)
    now = 1.5 + membership.FORGET_AFTER
    assert record_message(directory, now, incarnation=10)
    assert list_usable(directory, now) == ["engine"]


def test_silent_peer_is_unusable_but_not_dropped(directory):
    record_message(directory, 1.0, incarnation=10)
    suspect_at = 1.5 + membership.SUSPECT_AFTER
    assert list_usable(directory, suspect_at) == []
    assert directory.peers["engine"].incarnation == 10
    assert record_message(directory, suspect_at, incarnation=10)
    assert list_usable(directory, suspect_at) == ["engine"]


def test_message_without_stopping_keeps_the_last_reported_state(directory):
    record_message(directory, 1.0, incarnation=10, stopping=True)
    record_message(directory, 1.1, incarnation=10, stopping=None)
    assert list_usable(directory, 1.2) == []
    record_message(directory, 1.3, incarnation=11, stopping=None)
    assert list_usable(directory, 1.4) == ["engine"]


def test_older_vm_list_does_not_make_a_leaving_vm_live(directory):
    # Operators mark an upstream as leaving. Then the platform is restored from
    # a backup in which it is live. If this list were applied, new requests
    # would be sent to a VM that is about to be removed.
    record_message(directory, 1.0, incarnation=10)
    leaving = make_entry("engine", state="leaving")
    membership.apply_vm_list(directory, make_list(6, leaving))
    assert list_usable(directory, 1.1) == []
    assert not membership.apply_vm_list(
        directory, make_list(5, make_entry("engine"))
    )
    assert list_usable(directory, 1.2) == []
    assert directory.older_seen == 1


def test_vm_removed_from_the_list_is_kept_while_it_sends_messages(directory):
    # An upstream is removed from the list while requests run there. If its
    # entry were dropped at once, their outcomes could not be queried.
    record_message(directory, 1.0, incarnation=10)
    membership.apply_vm_list(
        directory, make_list(6, make_entry("router", "router"))
    )
    assert "engine" in directory.vms
    assert list_usable(directory, 1.1) == []
    record_message(directory, 20.0, incarnation=10)
    assert not membership.drop_departed(directory, 40.0)
    assert membership.drop_departed(directory, 60.0)
    assert "engine" not in directory.vms


def test_vm_removed_and_listed_again_is_usable(directory):
    record_message(directory, 1.0, incarnation=10)
    membership.apply_vm_list(directory, make_list(6))
    membership.apply_vm_list(directory, make_list(7, make_entry("engine")))
    record_message(directory, 2.0, incarnation=10)
    assert list_usable(directory, 2.1) == ["engine"]
    assert not membership.drop_departed(directory, 99.0)


def test_two_lists_with_one_revision_converge(directory):
    one = make_list(6, make_entry("engine"))
    two = make_list(6, make_entry("engine", state="leaving"))
    other = membership.Directory()
    for offered in (one, two):
        membership.apply_vm_list(directory, offered)
    for offered in (two, one):
        membership.apply_vm_list(other, offered)
    assert directory.document == other.document
