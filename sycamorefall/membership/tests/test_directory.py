"""The list joined with heartbeats: late, lost, older, cut off."""

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


def beat(directory, now, incarnation, stopping=False, name="engine"):
    return membership.record_peer_message(
        directory, now, name, incarnation, stopping
    )


def test_late_message_of_a_replaced_process_changes_nothing(directory):
    # A sidecar restarts, and a message of its old process, held up on a slow
    # link, comes after the first of the new one. Taken for news it would say
    # that the VM restarted once more, and bring the old "stopping" back.
    assert beat(directory, 1.0, incarnation=10, stopping=True)
    assert beat(directory, 2.0, incarnation=20)
    assert not beat(directory, 2.1, incarnation=10, stopping=True)
    assert directory.peers["engine"].incarnation == 20
    assert list_usable(directory, 2.2) == ["engine"]
    assert directory.outdated == 1


def test_process_whose_clock_was_set_back_is_believed_in_the_end(directory):
    # A VM's clock is set back before its process restarts, so the new one
    # has a lower number. Were it ignored for ever, the upstream would idle.
    beat(directory, 1.0, incarnation=20)
    assert not beat(directory, 2.0, incarnation=10)
    now = 1.5 + membership.FORGET_AFTER
    assert beat(directory, now, incarnation=10)
    assert list_usable(directory, now) == ["engine"]


def test_silent_peer_gets_nothing_new_and_is_not_forgotten(directory):
    beat(directory, 1.0, incarnation=10)
    late = 1.5 + membership.SUSPECT_AFTER
    assert list_usable(directory, late) == []
    assert directory.peers["engine"].incarnation == 10
    assert beat(directory, late, incarnation=10)
    assert list_usable(directory, late) == ["engine"]


def test_message_that_says_nothing_of_stopping_keeps_what_was_said(directory):
    beat(directory, 1.0, incarnation=10, stopping=True)
    beat(directory, 1.1, incarnation=10, stopping=None)
    assert list_usable(directory, 1.2) == []
    beat(directory, 1.3, incarnation=11, stopping=None)
    assert list_usable(directory, 1.4) == ["engine"]


def test_leaving_holds_against_a_platform_that_goes_back(directory):
    # Operators mark an upstream as leaving, then the platform is restored
    # from a copy in which it is live. New work would go to a VM that is
    # about to be taken away.
    beat(directory, 1.0, incarnation=10)
    leaving = make_entry("engine", state="leaving")
    membership.apply_vm_list(directory, make_list(6, leaving))
    assert list_usable(directory, 1.1) == []
    assert not membership.apply_vm_list(
        directory, make_list(5, make_entry("engine"))
    )
    assert list_usable(directory, 1.2) == []
    assert directory.older_seen == 1


def test_vm_dropped_from_the_list_is_reachable_while_it_talks(directory):
    # An upstream is dropped from the list with work in progress. If it were
    # forgotten at once, the outcome of that work could not be asked for.
    beat(directory, 1.0, incarnation=10)
    membership.apply_vm_list(
        directory, make_list(6, make_entry("router", "router"))
    )
    assert "engine" in directory.vms
    assert list_usable(directory, 1.1) == []
    beat(directory, 20.0, incarnation=10)
    assert not membership.drop_departed(directory, 40.0)
    assert membership.drop_departed(directory, 60.0)
    assert "engine" not in directory.vms


def test_vm_dropped_and_listed_again_is_live_again(directory):
    beat(directory, 1.0, incarnation=10)
    membership.apply_vm_list(directory, make_list(6))
    membership.apply_vm_list(directory, make_list(7, make_entry("engine")))
    beat(directory, 2.0, incarnation=10)
    assert list_usable(directory, 2.1) == ["engine"]
    assert not membership.drop_departed(directory, 99.0)


def test_two_lists_under_one_revision_become_the_same_one(directory):
    one = make_list(6, make_entry("engine"))
    two = make_list(6, make_entry("engine", state="leaving"))
    other = membership.Directory()
    for offered in (one, two):
        membership.apply_vm_list(directory, offered)
    for offered in (two, one):
        membership.apply_vm_list(other, offered)
    assert directory.document == other.document
